//! An entry host between callers and targets, over loopback.

use std::{sync::Arc, time::Duration};

use {
    rstest::rstest,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time,
    },
    toucanhoist_core::steering::{Key, TargetState, Value},
};

#[path = "edge/cut.rs"]
mod cut;
#[path = "edge/endless.rs"]
mod endless;
#[path = "edge/feed.rs"]
mod feed;
#[path = "edge/incomplete.rs"]
mod incomplete;
#[path = "edge/leaving.rs"]
mod leaving;
#[path = "edge/limits.rs"]
mod limits;
#[path = "edge/malformed.rs"]
mod malformed;
#[path = "edge/odd_configuration.rs"]
mod odd_configuration;
#[path = "edge/odd_entries.rs"]
mod odd_entries;
#[path = "edge/odd_names.rs"]
mod odd_names;
#[path = "edge/quota.rs"]
mod quota;
#[path = "edge/restore.rs"]
mod restore;
#[path = "edge/status.rs"]
mod status_line;
#[path = "edge/streamed.rs"]
mod streamed;
mod support;

use support::{
    Behaviour, FakeTarget, KEY, LARGE_BODY_BYTES, config, entry, get, header, host, name,
    put_config, read, request, send, site, status, wait_until_ready,
};

#[tokio::test]
async fn a_request_is_forwarded_and_its_answer_is_returned() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = site(&[("t1", &target)]).await;
    let text = "POST /once/cut?x=1 HTTP/1.1\r\nhost: site.example\r\n\
                toucanhoist-request-id: r-7\r\ntoucanhoist-remaining-ms: 4000\r\n\
                authorization: Bearer k-farm\r\ntoucanhoist-account: forged\r\n\
                cookie: a=b; toucanhoist-object=17\r\nx-other: kept\r\nconnection: x-hop\r\n\
                x-hop: dropped\r\ncontent-length: 5\r\n\r\nhello";
    let (status, head, body) = send(edge.addresses().callers, text).await;
    assert_eq!((status, &*body), (200, "/once/cut?x=1"));
    assert_eq!(header(&head, "toucanhoist-request-id").as_deref(), Some("r-7"));
    let sent = target.last_request();
    assert!(sent.starts_with("POST /once/cut?x=1 HTTP/1.1"), "{sent}");
    assert!(sent.ends_with("hello"), "{sent}");
    for (name, value) in [
        ("toucanhoist-request-id", Some("r-7")),
        ("toucanhoist-account", Some("farm")),
        ("toucanhoist-target", Some("t1")),
        ("x-other", Some("kept")),
        ("x-hop", None),
        ("authorization", None),
        ("host", Some("site.example")),
    ] {
        assert_eq!(header(&sent, name).as_deref(), value, "{name} in {sent}");
    }
    let remaining: u64 =
        header(&sent, "toucanhoist-remaining-ms").and_then(|l| l.parse().ok()).expect("a time");
    assert!((1..=4_000).contains(&remaining), "{remaining}");
}

#[rstest]
#[case::unknown_host("GET /safe/ HTTP/1.1\r\nhost: other.example\r\n\r\n", 404)]
#[case::unknown_path("GET /none/ HTTP/1.1\r\nhost: site.example\r\n\r\n", 404)]
#[case::no_key("GET /safe/ HTTP/1.1\r\nhost: site.example\r\n\r\n", 401)]
#[case::wrong_key(
    "GET /safe/ HTTP/1.1\r\nhost: site.example\r\nauthorization: Bearer x\r\n\r\n",
    401
)]
#[case::open("GET /open/ HTTP/1.1\r\nhost: site.example\r\n\r\n", 200)]
#[case::large("POST /open/ HTTP/1.1\r\nhost: site.example\r\ncontent-length: 1001\r\n\r\n", 413)]
#[tokio::test]
async fn requests_that_the_configuration_does_not_allow_are_refused(
    #[case] text: &str,
    #[case] expected: u16,
) {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = site(&[("t1", &target)]).await;
    let before = target.request_count();
    assert_eq!(send(edge.addresses().callers, text).await.0, expected);
    assert_eq!(target.request_count() - before, usize::from(expected == 200));
}

/// Expected status for the caller, and number of sends to the two targets together, by the behaviour of the
/// target that is chosen first.
#[rstest]
#[case::shed(Behaviour::Shed, 200, 200, 2, 2)]
#[case::misdirect(Behaviour::Misdirect, 200, 200, 2, 2)]
#[case::fail(Behaviour::Fail, 200, 500, 2, 1)]
#[case::unavailable(Behaviour::Unavailable, 200, 502, 2, 1)]
#[case::broken(Behaviour::Break, 200, 502, 2, 1)]
#[case::truncated(Behaviour::Truncate, 200, 502, 2, 1)]
#[case::crossed(Behaviour::Cross, 200, 502, 2, 1)]
#[case::surplus(Behaviour::Surplus, 200, 200, 1, 1)]
#[tokio::test]
async fn an_at_most_once_request_is_repeated_only_if_it_certainly_did_not_run(
    #[case] behaviour: Behaviour,
    #[case] safe_status: u16,
    #[case] once_status: u16,
    #[case] safe_sends: usize,
    #[case] once_sends: usize,
) {
    for (path, expected, sends) in
        [("/safe/a", safe_status, safe_sends), ("/once/a", once_status, once_sends)]
    {
        let ((status, head, body), sent) = support::send_to_faulty(behaviour, path).await;
        assert_eq!(status, expected, "{path}: {head}{body}");
        assert_ne!(body, "not yours");
        assert_eq!(sent, sends, "{path} was sent {sent} times");
    }
}

#[tokio::test]
async fn a_surplus_answer_is_never_returned_for_the_next_request() {
    let target = FakeTarget::spawn(Behaviour::Surplus).await;
    let (edge, _store) = site(&[("t1", &target)]).await;
    for number in 0..10 {
        let (status, _, body) =
            get(edge.addresses().callers, &format!("/safe/{number}"), &format!("r-{number}")).await;
        assert!(status != 200 || body == format!("/safe/{number}"), "{status} {body}");
    }
}

/// The copy arrives on a connection that is idle, or that the next request already uses.
#[rstest]
#[case::in_use("/safe/", 0)]
#[case::in_use_once("/once/", 0)]
#[case::idle("/safe/", 60)]
#[case::idle_once("/once/", 60)]
#[tokio::test]
async fn a_late_copy_of_an_answer_is_never_returned_for_the_next_request(
    #[case] prefix: &str,
    #[case] pause_ms: u64,
) {
    let target = FakeTarget::spawn(Behaviour::LateCopy).await;
    let (edge, _store) = site(&[("t1", &target)]).await;
    let mut served = 0;
    for number in 0..10 {
        let path = format!("{prefix}{number}");
        let (status, _, body) = get(edge.addresses().callers, &path, &format!("r-{number}")).await;
        assert!(status != 200 || body == path, "{status} {body}");
        served += u32::from(status == 200);
        time::sleep(Duration::from_millis(pause_ms)).await;
    }
    assert!(served > 0, "some requests succeed");
}

#[tokio::test]
async fn a_request_beyond_its_routes_timeout_ends_with_504() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = site(&[("t1", &target)]).await;
    target.set_behaviour(Behaviour::Hang);
    assert_eq!(get(edge.addresses().callers, "/short/a", "r-1").await.0, 504);
}

#[tokio::test]
async fn a_request_to_an_unreachable_target_is_refused_as_not_run() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, store) = site(&[("t1", &target)]).await;
    // Bound and not listening: connections are refused, and no other test gets the port.
    let unused = tokio::net::TcpSocket::new_v4().expect("a socket");
    unused.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let address = unused.local_addr().expect("an address");
    let mut unreachable = entry(address);
    unreachable.born = 2;
    store.put(Key::Target(name("t1")), Some(Value::Target(unreachable)));
    let (status, head, _) = loop {
        let answer = get(edge.addresses().callers, "/once/a", "r-1").await;
        if answer.0 != 200 {
            break answer;
        }
    };
    assert_eq!(status, 503);
    assert!(header(&head, "retry-after").is_some(), "{head}");
}

#[tokio::test]
async fn an_answer_that_is_larger_than_the_buffer_is_returned_whole() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = site(&[("t1", &target)]).await;
    target.set_behaviour(Behaviour::Large);
    let (status, head, body) = get(edge.addresses().callers, "/safe/a", "r-1").await;
    assert_eq!((status, body.len()), (200, LARGE_BODY_BYTES), "{head}");
}

#[tokio::test]
async fn a_request_beyond_its_targets_limit_is_refused_at_once() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = site(&[("t1", &target)]).await;
    target.set_behaviour(Behaviour::Limit);
    let (status, head, _) = get(edge.addresses().callers, "/safe/a", "r-1").await;
    assert_eq!(status, 200);
    assert_eq!(header(&head, "toucanhoist-limit").as_deref(), Some("0.01"));
    let before = target.request_count();
    for number in 2..6 {
        let (status, head, body) =
            get(edge.addresses().callers, "/once/a", &format!("r-{number}")).await;
        assert_eq!(status, 503, "{head}{body}");
        assert!(body.contains("not-run") && body.contains("limited"), "{body}");
        assert!(header(&head, "retry-after").is_some(), "{head}");
    }
    assert_eq!(target.request_count(), before);
}

#[tokio::test]
async fn a_draining_target_gets_no_more_requests() {
    let targets =
        [FakeTarget::spawn(Behaviour::Answer).await, FakeTarget::spawn(Behaviour::Answer).await];
    let (edge, store) = site(&[("t1", &targets[0]), ("t2", &targets[1])]).await;
    let mut leaving = entry(targets[0].address);
    leaving.state = TargetState::Draining;
    store.put(Key::Target(name("t1")), Some(Value::Target(leaving)));
    let mut served_elsewhere = 0;
    while served_elsewhere < 20 {
        let before = targets[0].request_count();
        assert_eq!(get(edge.addresses().callers, "/safe/a", "r").await.0, 200);
        served_elsewhere =
            if targets[0].request_count() == before { served_elsewhere + 1 } else { 0 };
    }
}

#[tokio::test]
async fn a_withdrawn_key_stops_working_on_an_open_connection() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, store) = site(&[("t1", &target)]).await;
    let mut stream = TcpStream::connect(edge.addresses().callers).await.expect("a connection");
    let text = request("GET", "/safe/a", "r-1", Some(KEY), "");
    stream.write_all(text.as_bytes()).await.expect("a request");
    assert_eq!(status(&read(&mut stream).await.expect("an answer").0), 200);
    let mut changed = config(2);
    changed.accounts[0].keys.clear();
    put_config(&store, changed);
    loop {
        stream.write_all(text.as_bytes()).await.expect("a request");
        match status(&read(&mut stream).await.expect("an answer").0) {
            200 => {}
            other => break assert_eq!(other, 401),
        }
    }
}

#[tokio::test]
async fn a_host_without_the_store_gets_the_registry_from_another() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (first, store) = site(&[("t1", &target)]).await;
    let unavailable = support::Memory::new();
    unavailable.set_unavailable(true);
    let second = host("h2", &unavailable, vec![first.addresses().peers]).await;
    wait_until_ready(&second).await;
    assert_eq!(get(second.addresses().callers, "/safe/a", "r-1").await.0, 200);
    // Later changes arrive too.
    let mut changed = config(2);
    changed.hosts[0].routes.truncate(1);
    put_config(&store, changed);
    while get(second.addresses().callers, "/once/a", "r-2").await.0 != 404 {
        time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn a_host_keeps_serving_while_the_store_is_unavailable() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, store) = site(&[("t1", &target)]).await;
    store.set_unavailable(true);
    for _ in 0..20 {
        assert_eq!(get(edge.addresses().callers, "/safe/a", "r").await.0, 200);
        time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn the_directory_lists_hosts_of_the_region_and_omits_one_that_leaves() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (first, store) = site(&[("t1", &target)]).await;
    let second = host("h2", &store, vec![first.addresses().peers]).await;
    wait_until_ready(&second).await;
    let ask = "GET /hosts?region=north HTTP/1.1\r\nhost: x\r\n\r\n";
    let (first_address, second_address) =
        (first.addresses().callers.to_string(), second.addresses().callers.to_string());
    loop {
        let (status, _, body) = send(first.addresses().directory, ask).await;
        assert_eq!(status, 200);
        if body.contains(&first_address) && body.contains(&second_address) {
            break;
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    let ready = "GET /ready HTTP/1.1\r\nhost: x\r\n\r\n";
    let addresses = second.addresses();
    assert_eq!(send(addresses.readiness, ready).await.0, 200);
    let leaving = tokio::spawn(second.shutdown());
    while send(first.addresses().directory, ask).await.2.contains(&second_address) {
        time::sleep(Duration::from_millis(20)).await;
    }
    leaving.await.expect("a graceful end");
}

#[tokio::test]
async fn a_shutdown_answers_all_requests_and_closes_open_connections_with_an_answer() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = site(&[("t1", &target)]).await;
    let addresses = edge.addresses();
    let mut stream = TcpStream::connect(addresses.callers).await.expect("a connection");
    let leaving = tokio::spawn(edge.shutdown());
    let mut answers = 0;
    loop {
        let text = request("GET", "/safe/a", &format!("r-{answers}"), Some(KEY), "");
        if stream.write_all(text.as_bytes()).await.is_err() {
            break;
        }
        let Some((head, _)) = read(&mut stream).await else { break };
        assert_eq!(status(&head), 200);
        answers += 1;
        if header(&head, "connection").as_deref() == Some("close") {
            break;
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    assert!(answers > 0);
    leaving.await.expect("a graceful end");
}

/// Time after the start of a planned stop from which no request is taken: the users' bound.
const TAKEN_MAX: Duration = Duration::from_secs(3);

/// The connection is idle, or answers a request when the time is reached.
#[rstest]
#[case::idle(false)]
#[case::busy(true)]
#[tokio::test]
async fn no_request_is_taken_late_in_a_planned_stop(#[case] is_busy: bool) {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = site(&[("t1", &target)]).await;
    let mut stream = TcpStream::connect(edge.addresses().callers).await.expect("a connection");
    let text = |id| request("POST", "/once/a", id, Some(KEY), "");
    if is_busy {
        target.set_behaviour(Behaviour::AwaitTwo);
        stream.write_all(text("r-1").as_bytes()).await.expect("a request");
    }
    let leaving = tokio::spawn(edge.shutdown());
    time::sleep(TAKEN_MAX).await;
    let before = target.request_count();
    // The host may have closed the connection already.
    let _ = stream.write_all(text("r-2").as_bytes()).await;
    if is_busy {
        // Ends the first request at its target.
        target.requests.lock().expect("no panic").push("another".to_owned());
        let (head, _) = read(&mut stream).await.expect("the answer to the first request");
        assert_eq!(status(&head), 200);
        assert_eq!(header(&head, "connection").as_deref(), Some("close"));
    }
    assert!(read(&mut stream).await.is_none(), "the late request was answered");
    leaving.await.expect("a graceful end");
    assert_eq!(target.request_count(), before + usize::from(is_busy));
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = site(&[("t1", &target)]).await;
    let mut stream = TcpStream::connect(edge.addresses().callers).await.expect("a connection");
    let texts =
        (0..5).map(|n| request("GET", &format!("/safe/{n}"), &format!("r-{n}"), Some(KEY), ""));
    stream.write_all(texts.collect::<String>().as_bytes()).await.expect("requests");
    for number in 0..5 {
        let (head, body) = read(&mut stream).await.expect("an answer");
        assert_eq!((status(&head), body), (200, format!("/safe/{number}")));
    }
}

#[tokio::test]
async fn invalid_requests_do_not_reach_a_target() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = site(&[("t1", &target)]).await;
    let before = target.request_count();
    for bytes in
        [&b"\x00\xff\x16\x03\x01nonsense\r\n\r\n"[..], b"GET / HTTP/9.9\r\n\r\n", b"\r\n\r\n\r\n"]
    {
        let mut stream = TcpStream::connect(edge.addresses().callers).await.expect("a connection");
        stream.write_all(bytes).await.expect("bytes");
        stream.shutdown().await.expect("an end");
        let mut answer = Vec::new();
        // The host may close the connection without an answer.
        let _ = stream.read_to_end(&mut answer).await;
        assert!(!answer.starts_with(b"HTTP/1.1 2"), "{}", String::from_utf8_lossy(&answer));
    }
    assert_eq!(target.request_count(), before);
    let answer = Arc::new(get(edge.addresses().callers, "/safe/a", "r-1").await);
    assert_eq!(answer.0, 200);
}

/// Sends two pipelined requests on one connection; returns status and body of the answers in order.
async fn pipeline(address: std::net::SocketAddr, requests: [&str; 2]) -> Vec<(u16, String)> {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(requests.concat().as_bytes()).await.expect("requests");
    let mut answers = Vec::new();
    for _ in requests {
        let (head, body) = read(&mut stream).await.expect("an answer");
        answers.push((status(&head), body));
    }
    answers
}

fn get_text(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: site.example\r\ntoucanhoist-request-id: {id}\r\n\
         toucanhoist-remaining-ms: 5000\r\nauthorization: Bearer {KEY}\r\n\r\n"
    )
}

#[tokio::test]
async fn a_repeatable_pipelined_request_is_sent_early() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = site(&[("t1", &target)]).await;
    target.set_behaviour(Behaviour::AwaitTwo);
    let (first, second) = (get_text("/safe/1", "r-1"), get_text("/safe/2", "r-2"));
    let answers = pipeline(edge.addresses().callers, [&first, &second]).await;
    assert_eq!(answers, [(200, "/safe/1".to_owned()), (200, "/safe/2".to_owned())]);
}

#[tokio::test]
async fn an_at_most_once_pipelined_request_waits_for_its_turn() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = site(&[("t1", &target)]).await;
    target.set_behaviour(Behaviour::Hang);
    let mut stream = TcpStream::connect(edge.addresses().callers).await.expect("a connection");
    let text = get_text("/safe/1", "r-1") + &get_text("/once/2", "r-2");
    stream.write_all(text.as_bytes()).await.expect("requests");
    time::sleep(Duration::from_millis(200)).await;
    assert!(!target.last_request().contains("/once/"), "{}", target.last_request());
}

#[tokio::test]
async fn a_request_inside_a_body_is_not_parsed_as_a_request() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = site(&[("t1", &target)]).await;
    let inner = get_text("/safe/smuggled", "r-3");
    let first = request("POST", "/once/1", "r-1", Some(KEY), &inner);
    let second = get_text("/safe/2", "r-2");
    let answers = pipeline(edge.addresses().callers, [&first, &second]).await;
    assert_eq!(answers, [(200, "/once/1".to_owned()), (200, "/safe/2".to_owned())]);
    let sent = target.requests.lock().expect("no panic").clone();
    assert!(!sent.iter().any(|request| request.starts_with("GET /safe/smuggled")), "{sent:?}");
}

#[tokio::test]
async fn a_pipelined_request_is_cancelled_with_its_connection() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = site(&[("t1", &target)]).await;
    target.set_behaviour(Behaviour::Hang);
    let mut stream = TcpStream::connect(edge.addresses().callers).await.expect("a connection");
    let text = get_text("/safe/1", "r-1") + &get_text("/safe/2", "r-2");
    stream.write_all(text.as_bytes()).await.expect("requests");
    while !target.last_request().contains("/safe/2") {
        time::sleep(Duration::from_millis(5)).await;
    }
    drop(stream);
    // The leases of the cancelled requests are released, so that later requests are served.
    target.set_behaviour(Behaviour::Answer);
    for number in 0..8 {
        let answer = get(edge.addresses().callers, "/safe/3", &format!("r-{number}")).await;
        assert_eq!(answer.0, 200);
    }
}
