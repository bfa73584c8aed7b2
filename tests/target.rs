//! Connections to targets, with a target that sends scripted bytes over TCP.

use std::{
    io,
    net::SocketAddr,
    slice,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use {
    bytes::Bytes,
    http::{HeaderMap, Method},
    http_body_util::BodyExt,
    rstest::rstest,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::mpsc,
        time::Instant,
    },
    toucanhoist::host::{
        exchange::{Head, Payload},
        target,
    },
    toucanhoist_core::refusal::{Code, Refusal, Verdict},
};

const FIRST: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";
const SECOND: &str = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond";

/// Connections that a handle may have open.
const CONNECTIONS_MAX: usize = 16;

/// Starts a target that sends `answers` in turn, one for each request, and reports the connection
/// on which each request arrived.
async fn target(answers: &'static [&'static str]) -> (SocketAddr, mpsc::UnboundedReceiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("valid address");
    let (sender, receiver) = mpsc::unbounded_channel();
    let answers = Arc::new(Mutex::new(answers.iter()));
    tokio::spawn(async move {
        for connection in 0.. {
            let Ok((stream, _)) = listener.accept().await else { return };
            tokio::spawn(serve(stream, connection, sender.clone(), Arc::clone(&answers)));
        }
    });
    (address, receiver)
}

async fn serve(
    mut stream: TcpStream,
    connection: usize,
    requests: mpsc::UnboundedSender<usize>,
    answers: Arc<Mutex<slice::Iter<'static, &'static str>>>,
) {
    while read_request(&mut stream).await {
        let _ = requests.send(connection);
        let Some(answer) = answers.lock().expect("no panic").next() else { return };
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> bool {
    let mut content = Vec::new();
    while !content.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => content.push(byte),
            Err(_) => return false,
        }
    }
    true
}

fn head(deadline: Instant, repeatable: bool) -> Head {
    Head {
        request: 7.into(),
        service: "cuts".parse().expect("valid name"),
        account: None,
        method: Method::GET,
        path_and_query: "/".into(),
        headers: HeaderMap::new(),
        deadline,
        repeatable,
        fingerprint: None,
        key: None,
    }
}

fn short_deadline() -> Instant {
    Instant::now() + Duration::from_millis(300)
}

async fn run(
    handle: &target::Handle,
    address: SocketAddr,
    head: &Head,
) -> Result<io::Result<Bytes>, Refusal> {
    let mut payload = Payload::Buffered(Bytes::new());
    let answer = handle.run("cuts-1", address, head, &mut payload).await?;
    Ok(answer.body.collect().await.map(|body| body.to_bytes()))
}

#[tokio::test]
async fn a_complete_answer_leaves_the_connection_open() {
    let (address, mut connections) = target(&[FIRST, SECOND]).await;
    let handle = target::spawn(CONNECTIONS_MAX);
    for _ in 0..2 {
        run(&handle, address, &head(short_deadline(), true))
            .await
            .expect("an answer head")
            .expect("a complete answer");
        // Another task returns the connection to the pool.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!((connections.recv().await, connections.recv().await), (Some(0), Some(0)));
}

#[rstest]
#[case::surplus_bytes("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirstXX")]
#[case::a_surplus_answer(
    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirstHTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\ncrossed"
)]
#[tokio::test]
async fn surplus_bytes_reach_no_other_request(#[case] answer: &'static str) {
    let answers: &'static [&'static str] = Box::leak(Box::new([answer, SECOND]));
    let (address, mut connections) = target(answers).await;
    let handle = target::spawn(CONNECTIONS_MAX);
    let first = run(&handle, address, &head(short_deadline(), true)).await.expect("an answer head");
    assert_eq!(first.expect("a complete answer"), "first");
    let second =
        run(&handle, address, &head(short_deadline(), true)).await.expect("an answer head");
    assert_eq!(second.expect("a complete answer"), "second");
    assert_eq!((connections.recv().await, connections.recv().await), (Some(0), Some(1)));
}

#[rstest]
#[case::short("HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nshort")]
#[case::broken_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nshort\r\n")]
#[tokio::test]
async fn an_incomplete_answer_is_an_error(#[case] answer: &'static str) {
    let answers: &'static [&'static str] = Box::leak(Box::new([answer]));
    let (address, _connections) = target(answers).await;
    let handle = target::spawn(CONNECTIONS_MAX);
    let head = head(short_deadline(), true);
    let reading = tokio::time::timeout_at(head.deadline, run(&handle, address, &head)).await;
    assert!(!matches!(reading, Ok(Ok(Ok(_)))), "{reading:?}");
}

#[tokio::test]
async fn a_late_answer_reaches_no_other_request() {
    let (address, mut connections) = target(&["", SECOND]).await;
    let handle = target::spawn(CONNECTIONS_MAX);
    let late = run(&handle, address, &head(short_deadline(), true)).await.expect_err("no answer");
    assert_eq!((late.code, late.verdict), (Code::DeadlineExceeded, Verdict::MayHaveRun));
    let second =
        run(&handle, address, &head(short_deadline(), true)).await.expect("an answer head");
    assert_eq!(second.expect("a complete answer"), "second");
    assert_eq!((connections.recv().await, connections.recv().await), (Some(0), Some(1)));
}

#[tokio::test]
async fn nothing_is_sent_after_the_deadline() {
    let (address, mut connections) = target(&[FIRST]).await;
    let handle = target::spawn(CONNECTIONS_MAX);
    let past = Instant::now() - Duration::from_millis(1);
    let refused =
        run(&handle, address, &head(past, false)).await.expect_err("the deadline has passed");
    assert_eq!(refused.verdict, Verdict::NotRun, "{refused}");
    assert!(connections.try_recv().is_err(), "the target got the request");
}

#[tokio::test]
async fn a_deadline_that_passes_while_connecting_is_not_run() {
    let (address, mut connections) = target(&[FIRST]).await;
    let handle = target::spawn(CONNECTIONS_MAX);
    let head = head(Instant::now() + Duration::from_millis(10), false);
    // Blocks the only thread, so that the connection and the timer are ready at the same poll.
    let pause = async { thread::sleep(Duration::from_millis(30)) };
    let (refused, ()) = tokio::join!(run(&handle, address, &head), pause);
    let refused = refused.expect_err("the deadline has passed");
    assert_eq!(refused.verdict, Verdict::NotRun, "{refused}");
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert!(connections.try_recv().is_err(), "the target got the request");
}

#[tokio::test]
async fn a_submission_has_a_connection_of_its_own() {
    let (address, mut connections) = target(&[FIRST, SECOND]).await;
    let handle = target::spawn(CONNECTIONS_MAX);
    run(&handle, address, &head(short_deadline(), true))
        .await
        .expect("an answer head")
        .expect("a complete answer");
    tokio::time::sleep(Duration::from_millis(20)).await;
    run(&handle, address, &head(short_deadline(), false))
        .await
        .expect("an answer head")
        .expect("a complete answer");
    assert_eq!((connections.recv().await, connections.recv().await), (Some(0), Some(1)));
}

/// When all connections are in use, a request is refused at once as not run; an idle one is closed for another target.
#[tokio::test]
async fn connections_to_all_targets_are_bounded() {
    let (first, _requests) = target(&[FIRST]).await;
    let (second, _more_requests) = target(&[SECOND]).await;
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let silent_address = silent.local_addr().expect("an address");
    let handle = target::spawn(1);
    for (address, expected) in [(first, "first"), (second, "second")] {
        let deadline = Instant::now() + Duration::from_secs(60);
        let answer = run(&handle, address, &head(deadline, true)).await.expect("an answer head");
        assert_eq!(answer.expect("a complete answer"), expected);
        // Another task returns the connection to the pool.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let deadline = Instant::now() + Duration::from_secs(60);
    let waiting = tokio::spawn({
        let handle = handle.clone();
        async move { run(&handle, silent_address, &head(deadline, true)).await }
    });
    let _connection = silent.accept().await.expect("a connection");
    let refusal = run(&handle, first, &head(deadline, true)).await.expect_err("a refusal");
    assert_eq!((refusal.code, refusal.verdict), (Code::NoRoom, Verdict::NotRun));
    assert!(refusal.retry_after.is_some());
    waiting.abort();
}
