//! What the limits allow is served, and what they do not is refused before it is held.

use {
    rstest::rstest,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
    toucanhoist_core::steering::{Config, Key, Limits, Value},
    toucanhoist_edge::{
        host::Edge,
        settings::{Machine, Settings},
    },
};

use super::support::{
    Behaviour, FakeTarget, Memory, config, entry, get, header, name, put_config, read, send,
    settings, site, spawn, status, wait_until_ready,
};

const HEAD_BYTES: usize = 16 * 1_024;
const BODY_BYTES: usize = 64 * 1_024 * 1_024;

fn head(fields: &str) -> String {
    format!("GET /open/a HTTP/1.1\r\nhost: site.example\r\n{fields}\r\n")
}

fn padded(bytes: usize) -> String {
    let rest = head("x-a: \r\n").len();
    head(&format!("x-a: {}\r\n", "a".repeat(bytes - rest)))
}

#[rstest]
#[case::more_fields_than_the_library_takes_by_default(head(&"x-a: aaaaaaaaaaaaa\r\n".repeat(120)), 200)]
#[case::shortest_fields(head(&"a:\r\n".repeat(4_000)), 200)]
#[case::at_the_limit(padded(HEAD_BYTES), 200)]
#[case::beyond_the_limit(padded(2 * HEAD_BYTES), 431)]
#[case::behind_empty_lines(format!("\r\n\r\n{}", head("")), 200)]
#[tokio::test]
async fn heads_are_served_up_to_the_limit(#[case] text: String, #[case] expected: u16) {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = site(&[("t1", &target)]).await;
    // On a connection that is kept, and on a new one.
    let mut stream = TcpStream::connect(edge.addresses().callers).await.expect("a connection");
    for text in [&head(""), &text] {
        stream.write_all(text.as_bytes()).await.expect("a request");
        let (head, _) = read(&mut stream).await.expect("an answer");
        assert_eq!(status(&head), if text.len() < 100 { 200 } else { expected }, "{head}");
    }
    assert_eq!(send(edge.addresses().callers, &text).await.0, expected);
}

/// A head that is read in small pieces is served like any other, also behind another request.
#[tokio::test]
async fn a_head_in_pieces_is_served() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = site(&[("t1", &target)]).await;
    let mut stream = TcpStream::connect(edge.addresses().callers).await.expect("a connection");
    stream.set_nodelay(true).expect("an option");
    let text = head("x-a: b\r\n").repeat(3);
    for piece in text.as_bytes().chunks(7) {
        stream.write_all(piece).await.expect("part of a request");
        tokio::task::yield_now().await;
    }
    for _ in 0..3 {
        let (head, body) = read(&mut stream).await.expect("an answer");
        assert_eq!((status(&head), &*body), (200, "/open/a"));
    }
}

/// Heads whose fields the HTTP library could not hold are refused like others that are too large.
#[tokio::test]
async fn more_fields_than_the_library_holds_are_refused() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let limits = Limits { header_bytes: 200_000, ..Limits::default() };
    let (edge, _store) = site_with(&target, limits, Machine::default()).await;
    let callers = edge.addresses().callers;
    assert_eq!(send(callers, &head(&"a:\r\n".repeat(40_000))).await.0, 431);
    assert_eq!(send(callers, &head(&"a:\r\n".repeat(20_000))).await.0, 200);
}

async fn site_with(
    target: &FakeTarget,
    limits: Limits,
    machine: Machine,
) -> (Edge, std::sync::Arc<Memory>) {
    let store = Memory::new();
    put_config(&store, Config { limits, ..config(1) });
    store.put(Key::Target(name("t1")), Some(Value::Target(entry(target.address))));
    let edge = spawn(Settings { machine, ..settings("h1", Vec::new()) }, &store).await;
    wait_until_ready(&edge).await;
    (edge, store)
}

async fn large_site(target: &FakeTarget) -> (Edge, std::sync::Arc<Memory>) {
    let limits = Limits { body_bytes: BODY_BYTES, ..Limits::default() };
    site_with(target, limits, Machine::default()).await
}

/// Machines of 160 MB are the smallest that the users have.
#[rstest]
#[case::stated(false, 260.0)]
#[case::chunked(true, 260.0)]
#[case::stated_smallest_machine(false, 160.0)]
#[case::chunked_smallest_machine(true, 160.0)]
#[tokio::test]
async fn a_body_at_the_limit_is_served(#[case] is_chunked: bool, #[case] memory_mb: f64) {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let limits = Limits { body_bytes: BODY_BYTES, ..Limits::default() };
    let machine = Machine { memory_mb, ..Machine::default() };
    let (edge, _store) = site_with(&target, limits, machine).await;
    let mut stream = TcpStream::connect(edge.addresses().callers).await.expect("a connection");
    let framing = match is_chunked {
        true => "transfer-encoding: chunked".to_owned(),
        false => format!("content-length: {BODY_BYTES}"),
    };
    let text = format!("POST /open/a HTTP/1.1\r\nhost: site.example\r\n{framing}\r\n\r\n");
    stream.write_all(text.as_bytes()).await.expect("a head");
    let piece = vec![b'a'; 1_024 * 1_024];
    for _ in 0..BODY_BYTES / piece.len() {
        if is_chunked {
            stream.write_all(format!("{:x}\r\n", piece.len()).as_bytes()).await.expect("a size");
        }
        stream.write_all(&piece).await.expect("part of a body");
        if is_chunked {
            stream.write_all(b"\r\n").await.expect("the end of a chunk");
        }
    }
    if is_chunked {
        stream.write_all(b"0\r\n\r\n").await.expect("the end of a body");
    }
    let (head, body) = read(&mut stream).await.expect("an answer");
    assert_eq!((status(&head), &*body), (200, "/open/a"));
    let sent = target.last_request();
    assert_eq!(header(&sent, "content-length"), Some(BODY_BYTES.to_string()));
    drop(stream);
    assert_eq!(edge.shared().memory.held(), 0);
}

/// A request that cannot be served is refused before its body has arrived, and its connection serves the next one.
#[rstest]
#[case::route("/none/a", "", 404)]
#[case::key("/once/a", "", 401)]
#[tokio::test]
async fn a_refusal_does_not_wait_for_the_body(
    #[case] path: &str,
    #[case] fields: &str,
    #[case] expected: u16,
) {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = site(&[("t1", &target)]).await;
    let mut stream = TcpStream::connect(edge.addresses().callers).await.expect("a connection");
    let text = format!(
        "POST {path} HTTP/1.1\r\nhost: site.example\r\n{fields}content-length: 900\r\n\r\naaa"
    );
    stream.write_all(text.as_bytes()).await.expect("part of a request");
    let (head, _) = read(&mut stream).await.expect("an answer");
    assert_eq!(status(&head), expected, "{head}");
    stream.write_all("a".repeat(897).as_bytes()).await.expect("the rest");
    stream.write_all(self::head("").as_bytes()).await.expect("another request");
    let (head, body) = read(&mut stream).await.expect("an answer");
    assert_eq!((status(&head), &*body), (200, "/open/a"));
}

/// When the memory for requests is used up, large requests are refused as not run, and small ones are served.
#[tokio::test]
async fn requests_are_refused_when_the_memory_is_used_up() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = large_site(&target).await;
    let memory = &edge.shared().memory;
    let mut taken = Vec::new();
    while let Some(share) = memory.take(1_024) {
        taken.push(share);
    }
    let post = |length: usize| {
        format!(
            "POST /open/a HTTP/1.1\r\nhost: site.example\r\ncontent-length: {length}\r\n\r\n{}",
            "a".repeat(length)
        )
    };
    let callers = edge.addresses().callers;
    let before = target.request_count();
    for text in [post(100_000), head(&"a:\r\n".repeat(4_000))] {
        let (status, head, body) = send(callers, &text).await;
        assert_eq!(status, 503, "{head}{body}");
        assert!(body.contains("not-run") && header(&head, "retry-after").is_some(), "{head}{body}");
    }
    assert_eq!(target.request_count(), before);
    assert_eq!(send(callers, &post(500)).await.0, 200);
    assert_eq!(get(callers, "/safe/a", "r-1").await.0, 200);
    // Large answers are streamed instead of being held.
    target.set_behaviour(Behaviour::Large);
    let mut stream = TcpStream::connect(callers).await.expect("a connection");
    let text = head("connection: close\r\n");
    stream.write_all(text.as_bytes()).await.expect("a request");
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.expect("an answer");
    assert!(received.len() > super::support::LARGE_BODY_BYTES, "{}", received.len());
    drop(taken);
    target.set_behaviour(Behaviour::Answer);
    assert_eq!(send(callers, &post(100_000)).await.0, 200);
}
