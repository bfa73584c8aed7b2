//! Limits that answers with long bodies name.

use std::time::Duration;

use {
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time,
    },
    toucanhoist_core::steering::{Key, Value},
};

use crate::support::{
    KEY, Memory, config, entry, get, header, host, name, put_config, read, request, status,
};

/// Bytes of a body that are more than what a host buffers.
const BODY_BYTES: usize = 280_000;
/// Requests that are sent at once; the limit allows three.
const REQUESTS: usize = 10;

/// Answers requests on a connection; none of the answers names a limit.
async fn answer(mut stream: TcpStream) {
    while let Some((head, _)) = read(&mut stream).await {
        let id = header(&head, "toucanhoist-request-id").unwrap_or_default();
        let answer =
            format!("HTTP/1.1 200 OK\r\ntoucanhoist-request-id: {id}\r\ncontent-length: 0\r\n\r\n");
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

#[tokio::test]
async fn the_end_of_a_long_answer_does_not_bring_back_a_limit_that_ended_meanwhile() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let store = Memory::new();
    put_config(&store, config(1));
    let target = entry(listener.local_addr().expect("an address"));
    store.put(Key::Target(name("t1")), Some(Value::Target(target)));
    let edge = host("h1", &store, Vec::new()).await;
    let address = edge.addresses().callers;

    // The first request gets the head of its answer, with a limit, and most of the body.
    let mut caller = TcpStream::connect(address).await.expect("a connection");
    let text = request("GET", "/safe/long", "r-long", Some(KEY), "");
    let (mut long, id) = loop {
        caller.write_all(text.as_bytes()).await.expect("a request");
        tokio::select! {
            accepted = listener.accept() => {
                let mut stream = accepted.expect("a connection").0;
                let (head, _) = read(&mut stream).await.expect("a request");
                break (stream, header(&head, "toucanhoist-request-id").expect("an id"));
            }
            // The host does not know the target yet.
            refused = read(&mut caller) => {
                assert_eq!(status(&refused.expect("an answer").0), 503);
                time::sleep(Duration::from_millis(20)).await;
            }
        }
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\ntoucanhoist-request-id: {id}\r\ntoucanhoist-limit: 1.0\r\n\
         transfer-encoding: chunked\r\n\r\n{BODY_BYTES:x}\r\n"
    );
    long.write_all(head.as_bytes()).await.expect("a head");
    long.write_all(&vec![b'a'; BODY_BYTES]).await.expect("a body");
    let mut answer_bytes = vec![0; BODY_BYTES];
    caller.read_exact(&mut answer_bytes).await.expect("an answer");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream));
        }
    });

    // A later answer withdraws the limit; its request waits for its turn.
    while get(address, "/safe/short", "r-short").await.0 != 200 {
        time::sleep(Duration::from_millis(50)).await;
    }
    long.write_all(b"\r\n0\r\n\r\n").await.expect("the end of the body");
    answer_bytes.clear();
    while !answer_bytes.ends_with(b"\r\n0\r\n\r\n") {
        answer_bytes.push(caller.read_u8().await.expect("the end of the answer"));
    }
    for number in 0..REQUESTS {
        let (status, head, body) = get(address, "/safe/x", &format!("r-{number}")).await;
        assert_eq!(status, 200, "{head}{body}");
    }
}
