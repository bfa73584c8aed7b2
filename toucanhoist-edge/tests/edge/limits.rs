//! What the limits allow is served, and what they do not is refused before it is held.

use {
    rstest::rstest,
    tokio::{io::AsyncWriteExt, net::TcpStream},
    toucanhoist_core::steering::{Config, Key, Limits, Value},
    toucanhoist_edge::host::Edge,
};

use super::support::{
    Behaviour, FakeTarget, Memory, config, entry, get, header, host, name, put_config, read, send,
    site, status, wait_until_ready,
};

const BODY_BYTES: usize = 64 * 1_024 * 1_024;

fn head(fields: &str) -> String {
    format!("GET /open/a HTTP/1.1\r\nhost: site.example\r\n{fields}\r\n")
}

async fn large_site(target: &FakeTarget) -> (Edge, std::sync::Arc<Memory>) {
    let store = Memory::new();
    let limits = Limits { body_bytes: BODY_BYTES, ..Limits::default() };
    put_config(&store, Config { limits, ..config(1) });
    store.put(Key::Target(name("t1")), Some(Value::Target(entry(target.address))));
    let edge = host("h1", &store, Vec::new()).await;
    wait_until_ready(&edge).await;
    (edge, store)
}

#[rstest]
#[case::stated(false)]
#[case::chunked(true)]
#[tokio::test]
async fn a_body_at_the_limit_is_served(#[case] is_chunked: bool) {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = large_site(&target).await;
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
    let (status, head, body) = send(callers, &post(100_000)).await;
    assert_eq!(status, 503, "{head}{body}");
    assert!(body.contains("not-run") && header(&head, "retry-after").is_some(), "{head}{body}");
    assert_eq!(target.request_count(), before);
    assert_eq!(send(callers, &post(500)).await.0, 200);
    assert_eq!(get(callers, "/safe/a", "r-1").await.0, 200);
    drop(taken);
    assert_eq!(send(callers, &post(100_000)).await.0, 200);
}
