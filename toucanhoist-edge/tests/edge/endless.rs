//! Targets whose bytes never end.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use {
    rstest::rstest,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time,
    },
    toucanhoist_core::steering::{Key, Value},
    toucanhoist_edge::host::Edge,
};

use super::support::{self, KEY, Memory, config, entry, host, name, put_config, read, request};

/// Time in which a caller must see the end of its answer; many times the route's time-out of 200 ms.
const END_MAX: Duration = Duration::from_secs(20);
/// Bytes that a host and the kernel may hold of one answer that nobody reads.
const IN_FLIGHT_MAX_BYTES: u64 = 32 * 1_024 * 1_024;

/// A target that answers a readiness probe, and any other request with a beginning and then the same bytes
/// until its connection closes.
struct Endless {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
    closed: Arc<AtomicBool>,
}

impl Endless {
    async fn spawn(beginning: &'static str, repeated: &'static str, pause: Duration) -> Endless {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (bytes, closed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let (sent, ended) = (Arc::clone(&bytes), Arc::clone(&closed));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (sent, ended) = (Arc::clone(&sent), Arc::clone(&ended));
                tokio::spawn(answer(stream, beginning, repeated, pause, sent, ended));
            }
        });
        Endless { address, bytes, closed }
    }

    async fn wait_until_closed(&self) {
        let closing = async {
            while !self.closed.load(Ordering::Relaxed) {
                time::sleep(Duration::from_millis(10)).await;
            }
        };
        time::timeout(END_MAX, closing).await.expect("the host closes the connection");
    }
}

async fn answer(
    mut stream: TcpStream,
    beginning: &'static str,
    repeated: &'static str,
    pause: Duration,
    sent: Arc<AtomicU64>,
    ended: Arc<AtomicBool>,
) {
    while let Some((head, _)) = read(&mut stream).await {
        if head.contains("/open/ready") {
            let answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            let _ = stream.write_all(answer.as_bytes()).await;
            continue;
        }
        let _ = stream.write_all(beginning.as_bytes()).await;
        // Slow senders send the bytes once at a time.
        let count = if pause.is_zero() { 65_536 / repeated.len() } else { 1 };
        let repeated = repeated.repeat(count);
        while stream.write_all(repeated.as_bytes()).await.is_ok() {
            sent.fetch_add(repeated.len() as u64, Ordering::Relaxed);
            time::sleep(pause).await;
        }
        ended.store(true, Ordering::Relaxed);
        return;
    }
}

async fn site(target: &Endless) -> (Edge, Arc<Memory>) {
    let store = Memory::new();
    put_config(&store, config(1));
    store.put(Key::Target(name("t1")), Some(Value::Target(entry(target.address))));
    let edge = host("h1", &store, Vec::new()).await;
    support::wait_until_ready(&edge).await;
    (edge, store)
}

async fn send(edge: &Edge) -> TcpStream {
    let mut stream = TcpStream::connect(edge.addresses().callers).await.expect("a connection");
    let text = request("GET", "/short/a", "r-1", Some(KEY), "");
    stream.write_all(text.as_bytes()).await.expect("a request");
    stream
}

/// Reads until the host closes the connection, or has sent a whole answer with a length.
async fn read_answer(stream: &mut TcpStream) -> Vec<u8> {
    let mut received = Vec::new();
    let reading = async {
        let mut buffer = vec![0; 65_536];
        loop {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                // The rest of a long answer is counted elsewhere.
                Ok(length) if received.len() < 65_536 => {
                    received.extend_from_slice(&buffer[..length]);
                }
                Ok(_) => {}
            }
            if is_whole(&received) {
                return;
            }
        }
    };
    time::timeout(END_MAX, reading).await.expect("the answer ends");
    received
}

fn is_whole(received: &[u8]) -> bool {
    let text = String::from_utf8_lossy(received);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = support::header(head, "content-length").and_then(|length| length.parse().ok());
    length.is_some_and(|length: usize| body.len() >= length)
}

const NO_PAUSE: Duration = Duration::ZERO;
const PAUSE: Duration = Duration::from_millis(5);

#[rstest]
#[case::header_lines("HTTP/1.1 200 OK\r\n", "x-more: aaaaaaaaaaaaaaaaaaaaaaaa\r\n", NO_PAUSE)]
#[case::slow_header_lines("HTTP/1.1 200 OK\r\n", "x-more: a\r\n", PAUSE)]
#[case::one_header_line("HTTP/1.1 200 OK\r\nx-more: ", "aaaaaaaa", NO_PAUSE)]
#[case::no_line("", "aaaaaaaa", NO_PAUSE)]
#[case::empty_lines("", "\r\n", NO_PAUSE)]
#[case::interim_answers("", "HTTP/1.1 100 Continue\r\n\r\n", NO_PAUSE)]
#[case::slow_interim_answers("", "HTTP/1.1 102 Processing\r\n\r\n", PAUSE)]
#[case::slow_body("HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\n", "a", PAUSE)]
#[case::slow_chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\na\r\n", PAUSE)]
#[case::chunk_extension(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;a=",
    "aaaaaaaa",
    NO_PAUSE
)]
#[case::trailers(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
    "x-more: a\r\n",
    NO_PAUSE
)]
#[tokio::test]
async fn a_request_whose_answer_never_begins_or_hardly_goes_on_is_refused_as_maybe_run(
    #[case] beginning: &'static str,
    #[case] repeated: &'static str,
    #[case] pause: Duration,
) {
    let target = Endless::spawn(beginning, repeated, pause).await;
    let (edge, _store) = site(&target).await;
    let received = read_answer(&mut send(&edge).await).await;
    let text = String::from_utf8_lossy(&received);
    assert!(["502", "504"].contains(&text.split(' ').nth(1).unwrap_or_default()), "{text}");
    assert!(text.contains("may-have-run"), "{text}");
    target.wait_until_closed().await;
    // Interim answers and empty lines before an answer are not kept.
    let is_kept = !beginning.is_empty() || !repeated.ends_with("\r\n");
    let sent = target.bytes.load(Ordering::Relaxed);
    assert!(!is_kept || sent <= IN_FLIGHT_MAX_BYTES, "{sent} bytes are buffered");
}

#[rstest]
#[case::chunks(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "10\r\naaaaaaaaaaaaaaaa\r\n"
)]
#[case::length("HTTP/1.1 200 OK\r\ncontent-length: 99999999999999\r\n\r\n", "aaaaaaaaaaaaaaaa")]
#[case::connection("HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaaaaaaaaaa")]
#[tokio::test]
async fn a_body_that_never_ends_is_cut_at_the_deadline_and_does_not_look_complete(
    #[case] beginning: &'static str,
    #[case] repeated: &'static str,
    #[values(true, false)] is_read: bool,
) {
    let target = Endless::spawn(beginning, repeated, NO_PAUSE).await;
    let (edge, _store) = site(&target).await;
    let mut caller = send(&edge).await;
    if !is_read {
        target.wait_until_closed().await;
        let sent = target.bytes.load(Ordering::Relaxed);
        assert!(sent <= IN_FLIGHT_MAX_BYTES, "{sent} bytes are buffered");
    }
    let received = read_answer(&mut caller).await;
    let text = String::from_utf8_lossy(&received);
    match text.split(' ').nth(1) {
        Some("200") => assert!(!text.ends_with("\r\n0\r\n\r\n"), "the answer looks complete"),
        // The deadline passed before the host began to answer.
        _ => assert!(text.contains("may-have-run"), "{text}"),
    }
    target.wait_until_closed().await;
}
