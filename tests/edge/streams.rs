//! Large bodies are streamed with bounded buffers, and a cancellation reaches the target.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use {
    http_body_util::BodyExt,
    rstest::rstest,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time,
    },
};

use super::support::{Cluster, KEY, any_port, empty, keyed, until};

/// Maximum of a body's bytes in flight, including the kernel's buffers of each hop.
const IN_FLIGHT_MAX_BYTES: u64 = 32 * 1_024 * 1_024;
const BODY_BYTES: u64 = 128 * 1_024 * 1_024;
/// Time in which a caller must see the end of an answer; many times the route's deadline.
const END_MAX: Duration = Duration::from_secs(20);
const CHUNK_BYTES: usize = 64 * 1_024;

/// A target that counts the bytes of its answers.
struct Counting {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
    closed: Arc<AtomicBool>,
}

impl Counting {
    /// Starts a target that sends a large answer.
    async fn sender() -> Counting {
        let listener = TcpListener::bind(any_port()).await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let bytes = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&bytes);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let _ = stream.read(&mut [0; 4_096]).await;
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
                let _ = stream.write_all(head.as_bytes()).await;
                let chunk = vec![7; CHUNK_BYTES];
                while stream.write_all(&chunk).await.is_ok() {
                    let sent = counted.fetch_add(CHUNK_BYTES as u64, Ordering::Relaxed);
                    if sent + CHUNK_BYTES as u64 >= BODY_BYTES {
                        break;
                    }
                }
            }
        });
        Counting { address, bytes, closed: Arc::default() }
    }

    /// Starts a target whose answers have no end.
    async fn endless_sender() -> Counting {
        let listener = TcpListener::bind(any_port()).await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let target = Counting { address, bytes: Arc::default(), closed: Arc::default() };
        let (bytes, closed) = (Arc::clone(&target.bytes), Arc::clone(&target.closed));
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let _ = stream.read(&mut [0; 4_096]).await;
                let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                let _ = stream.write_all(head.as_bytes()).await;
                let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "a".repeat(CHUNK_BYTES));
                while stream.write_all(chunk.as_bytes()).await.is_ok() {
                    bytes.fetch_add(chunk.len() as u64, Ordering::Relaxed);
                }
                closed.store(true, Ordering::Relaxed);
            }
        });
        target
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// Starts a target that reads no more than the head of a request.
    async fn stalled() -> Counting {
        let listener = TcpListener::bind(any_port()).await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        tokio::spawn(async move {
            let mut open_streams = Vec::new();
            while let Ok((mut stream, _)) = listener.accept().await {
                let _ = stream.read(&mut [0; 1_024]).await;
                open_streams.push(stream);
            }
        });
        Counting { address, bytes: Arc::default(), closed: Arc::default() }
    }
}

/// Waits until a count no longer rises, and returns it.
async fn wait_until_stable(count: &AtomicU64) -> u64 {
    loop {
        let before = count.load(Ordering::Relaxed);
        time::sleep(Duration::from_millis(200)).await;
        if before > 0 && count.load(Ordering::Relaxed) == before {
            return before;
        }
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_answer_waits_for_a_slow_caller(#[values("/near/a", "/far/a")] path: &str) {
    let target = Counting::sender().await;
    let cluster = Cluster::spawn(target.address, target.address).await;
    let answer = cluster.send(empty(keyed(path))).await;
    let in_flight = wait_until_stable(&target.bytes).await;
    assert!(in_flight <= IN_FLIGHT_MAX_BYTES, "{in_flight} bytes are buffered");
    let mut body = answer.into_body();
    let mut received = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.expect("a complete answer");
        received += frame.data_ref().map_or(0, |chunk| chunk.len() as u64);
    }
    assert_eq!(received, BODY_BYTES);
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_upload_waits_for_a_slow_target(#[values("near", "far")] service: &str) {
    let target = Counting::stalled().await;
    let cluster = Cluster::spawn(target.address, target.address).await;
    let mut stream = TcpStream::connect(cluster.callers()).await.expect("the connection works");
    let head = format!(
        "PUT /{service}/a HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("the connection works");
    let sent = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&sent);
    let sending = tokio::spawn(async move {
        let chunk = vec![7; CHUNK_BYTES];
        while stream.write_all(&chunk).await.is_ok() {
            counted.fetch_add(CHUNK_BYTES as u64, Ordering::Relaxed);
        }
    });
    let in_flight = wait_until_stable(&sent).await;
    sending.abort();
    assert!(in_flight <= IN_FLIGHT_MAX_BYTES, "{in_flight} bytes are buffered");
}

#[rstest]
#[tokio::test]
async fn a_caller_that_disconnects_cancels_its_request(#[values("near", "far")] service: &str) {
    let (cluster, target) = Cluster::with_fake_target().await;
    let running = || target.counters().running.load(Ordering::Relaxed);
    let mut stream = TcpStream::connect(cluster.callers()).await.expect("the connection works");
    let request = format!(
        "GET /{service}/a?delay_ms=60000 HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("the connection works");
    until("the target runs the request", || running() == 1).await;
    drop(stream);
    until("the target stops running the request", || running() == 0).await;
}

#[rstest]
#[tokio::test]
async fn a_deadline_cancels_its_request(#[values("near", "far")] service: &str) {
    let (cluster, target) = Cluster::with_fake_target().await;
    let running = || target.counters().running.load(Ordering::Relaxed);
    let request = empty(keyed(&format!("/{service}/a?delay_ms=60000")));
    let sending = toucanhoist_fakes::process::send(cluster.callers(), request);
    let sending = tokio::spawn(sending);
    until("the target runs the request", || running() == 1).await;
    time::pause();
    let answer = sending.await.expect("no panic").expect("an answer");
    assert_eq!(answer.status().as_u16(), 504);
    time::resume();
    until("the target stops running the request", || running() == 0).await;
}

#[rstest]
#[tokio::test]
async fn a_body_that_never_ends_is_cut_at_the_deadline(
    #[values("/near/short/a", "/far/short/a")] path: &str,
    #[values(true, false)] is_read: bool,
) {
    let target = Counting::endless_sender().await;
    let cluster = Cluster::spawn(target.address, target.address).await;
    let answer = cluster.send(empty(keyed(path))).await;
    assert_eq!(answer.status().as_u16(), 200);
    if !is_read {
        until("the connection to the target closes", || target.is_closed()).await;
        let in_flight = target.bytes.load(Ordering::Relaxed);
        assert!(in_flight <= IN_FLIGHT_MAX_BYTES, "{in_flight} bytes are buffered");
    }
    let mut body = answer.into_body();
    let reading = async {
        while let Some(frame) = body.frame().await {
            if frame.is_err() {
                return true;
            }
        }
        false
    };
    let is_broken = time::timeout(END_MAX, reading).await.expect("the answer ends");
    assert!(is_broken, "the answer looks complete");
    until("the connection to the target closes", || target.is_closed()).await;
}
