//! Datagrams that arrive faster than they are handled.

use {
    prost::Message as _,
    tokio::sync::mpsc,
    toucanhoist_edge::peers::Sender,
    toucanhoist_wire::steering::{Packet, TokensAsk, packet},
};

/// What is received and not handled yet is bounded in bytes, and more is received when it has been handled.
#[tokio::test]
async fn datagrams_that_wait_are_bounded() {
    const BYTES: usize = 50_000;
    let sender = Sender::bind("127.0.0.1:0".parse().expect("an address")).await.expect("a port");
    let receiver = Sender::bind("127.0.0.1:0".parse().expect("an address")).await.expect("a port");
    let to = receiver.local_addr().expect("an address");
    let (queue, mut waiting) = mpsc::unbounded_channel();
    tokio::spawn(receiver.receive(move |received| queue.send(received).is_ok()));
    let ask = || {
        let account = "a".repeat(BYTES);
        packet::Body::TokensAsk(TokensAsk { question: 1, account, tokens: 1.0 })
    };
    let length = Packet { body: Some(ask()) }.encoded_len();
    for _ in 0..200 {
        sender.send(to, ask());
        tokio::task::yield_now().await;
    }
    let mut bytes = 0;
    while waiting.try_recv().is_ok() {
        bytes += length;
    }
    assert!((1..=1 << 20).contains(&bytes), "{bytes}");
    loop {
        sender.send(to, ask());
        tokio::task::yield_now().await;
        if waiting.try_recv().is_ok() {
            return;
        }
    }
}
