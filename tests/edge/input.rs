//! Requests that are malformed, too large, too slow or forged.

use std::sync::atomic::Ordering;

use {
    bytes::Bytes,
    http::{Method, StatusCode},
    http_body_util::Full,
    rstest::rstest,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time,
    },
};

use super::support::{Cluster, KEY, empty, get, header, keyed, read_to_end, until};

/// Returns the value of a header in the text of an answer.
fn raw_header<'a>(answer: &'a str, name: &str) -> &'a str {
    let lines = answer.lines().take_while(|line| !line.is_empty());
    let mut pairs = lines.filter_map(|line| line.split_once(": "));
    pairs.find(|(found, _)| *found == name).map_or("", |(_, value)| value)
}

#[rstest]
#[case::no_request(b"NONSENSE\r\n\r\n".to_vec(), 400, "bad-request")]
#[case::bad_version(b"GET /near/a HTTP/9.1\r\nhost: a\r\n\r\n".to_vec(), 400, "bad-request")]
#[case::space_in_name(b"GET /near/a HTTP/1.1\r\nhost : a\r\n\r\n".to_vec(), 400, "bad-request")]
#[case::two_lengths(
    b"PUT /near/a HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd".to_vec(),
    400,
    "bad-request"
)]
#[case::invalid_length(
    b"PUT /near/a HTTP/1.1\r\nhost: a\r\ncontent-length: +3\r\n\r\nabc".to_vec(),
    400,
    "bad-request"
)]
#[case::not_chunked(
    b"PUT /near/a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip\r\n\r\n".to_vec(),
    400,
    "bad-request"
)]
#[case::chunked_then_other(
    b"PUT /near/a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked, gzip\r\n\r\n".to_vec(),
    400,
    "bad-request"
)]
#[case::large_header(large_header(), 431, "head-too-large")]
#[case::many_headers(many_headers(), 431, "head-too-large")]
#[tokio::test]
async fn an_invalid_request_gets_a_complete_refusal(
    #[case] request: Vec<u8>,
    #[case] status: u16,
    #[case] code: &str,
) {
    let (cluster, target) = Cluster::with_fake_target().await;
    let answer = cluster.raw(&request).await;
    assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
    assert!(answer.contains(&format!(r#""code":"{code}""#)), "{answer}");
    assert_eq!(raw_header(&answer, "toucanhoist-verdict"), "not-run");
    assert_eq!(raw_header(&answer, "content-type"), "application/problem+json");

    let id = raw_header(&answer, "toucanhoist-request-id");
    let explained = cluster.explain(0, id).await;
    assert_eq!(explained["decisions"][0]["event"], 2301, "{explained}");
    assert!(
        cluster.metrics().await.contains(&format!("toucanhoist_refusals_total{{code=\"{code}\""))
    );
    assert_eq!(target.counters().runs.load(Ordering::Relaxed), 0);
}

fn large_header() -> Vec<u8> {
    format!("GET /near/a HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "x".repeat(64 * 1024)).into()
}

fn many_headers() -> Vec<u8> {
    let headers: String = (0..200).map(|i| format!("x-{i}: 1\r\n")).collect();
    format!("GET /near/a HTTP/1.1\r\nhost: a\r\n{headers}\r\n").into()
}

/// An error response that `hyper` writes after an ordinary answer on the same connection is
/// replaced by a refusal too.
#[tokio::test]
async fn an_invalid_second_request_gets_a_complete_refusal() {
    let (cluster, _target) = Cluster::with_fake_target().await;
    let answer = cluster.raw(b"GET /near/open/a HTTP/1.1\r\nhost: a\r\n\r\nNONSENSE\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert_eq!(answer.matches("toucanhoist-request-id: ").count(), 2, "{answer}");
    assert!(answer.contains(r#""code":"bad-request""#), "{answer}");
}

/// An answer whose body looks like one of `hyper`'s error responses is not replaced.
#[tokio::test]
async fn an_answer_that_looks_like_a_refusal_is_forwarded_unchanged() {
    use super::support::Script;
    const LOOKALIKE: &[u8] =
        b"HTTP/1.1 200 OK\r\ncontent-length: 28\r\n\r\nHTTP/1.1 400 Bad Request\r\n\r\n";
    let target = Script::bind(LOOKALIKE).await.expect("a free port");
    let cluster = Cluster::spawn(target.address, target.address).await;
    let answer =
        cluster.raw(b"GET /near/open/a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").await;
    assert!(answer.ends_with("\r\n\r\nHTTP/1.1 400 Bad Request\r\n\r\n"), "{answer}");
}

/// Request smuggling: whichever of the two framings is used, the other must not add a second
/// request.
#[rstest]
#[case::length_first("content-length: 5\r\ntransfer-encoding: chunked\r\n")]
#[case::chunked_first("transfer-encoding: chunked\r\ncontent-length: 5\r\n")]
#[tokio::test]
async fn a_request_with_both_framings_runs_once_and_ends_the_connection(#[case] framing: &str) {
    let (cluster, target) = Cluster::with_fake_target().await;
    let smuggled =
        format!("GET /near/smuggled HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\r\n");
    let request = format!(
        "PUT /near/a HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n{framing}\r\n0\r\n\r\n{smuggled}"
    );
    let answer = cluster.raw(request.as_bytes()).await;
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
    assert!(answer.contains(r#""body_length":0"#), "{answer}");
    assert!(!answer.contains("smuggled"), "{answer}");
    assert_eq!(target.counters().runs.load(Ordering::Relaxed), 1);
}

#[rstest]
#[case::announced(false)]
#[case::chunked(true)]
#[tokio::test]
async fn a_submission_over_the_limit_is_refused(#[case] chunked: bool) {
    let (cluster, target) = Cluster::with_fake_target().await;
    let framing = if chunked { "transfer-encoding: chunked" } else { "content-length: 2097152" };
    let head = format!(
        "POST /near/records/1 HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
         idempotency-key: 1\r\n{framing}\r\n\r\n"
    );
    let content = "x".repeat(2_097_152);
    let request = if chunked { format!("{head}200000\r\n{content}\r\n0\r\n\r\n") } else { head };
    let answer = cluster.raw(request.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    assert_eq!(raw_header(&answer, "toucanhoist-verdict"), "not-run");
    assert_eq!(target.counters().runs.load(Ordering::Relaxed), 0);
}

#[rstest]
#[case::service("GET", "/nothing/a", 404, "unknown-service")]
#[case::invalid_service("GET", "/Near%20/a", 404, "unknown-service")]
#[case::no_service("GET", "/", 404, "unknown-service")]
#[case::method("DELETE", "/near/a", 405, "method-not-allowed")]
#[case::method_of_look_up("POST", "/lookup?service=near", 405, "method-not-allowed")]
#[case::no_key("GET", "/near/a", 401, "key-refused")]
#[case::dot_segment("GET", "/near/open/../a", 400, "bad-request")]
#[case::encoded_dot_segment("GET", "/near/open/%2E%2e/a", 400, "bad-request")]
#[case::encoded_slash("GET", "/near/open/..%2fa", 400, "bad-request")]
#[case::no_parameter("GET", "/lookup", 400, "bad-request")]
#[case::bad_client("GET", "/lookup?service=near&client=x", 400, "bad-request")]
#[case::unknown_look_up("GET", "/lookup?service=none&client=10.1.2.3", 404, "unknown-service")]
#[tokio::test]
async fn a_refusal_has_a_code_an_id_and_an_entry_in_the_log(
    #[case] method: Method,
    #[case] path: &str,
    #[case] status: u16,
    #[case] code: &str,
) {
    let (cluster, target) = Cluster::with_fake_target().await;
    let is_405 = status == 405;
    let answer = cluster.send(empty(get(path).method(method))).await;
    assert_eq!(answer.status().as_u16(), status);
    assert_eq!(header(&answer, "content-type"), "application/problem+json");
    assert_eq!(header(&answer, "toucanhoist-verdict"), "not-run");
    assert_eq!(header(&answer, "allow").is_empty(), !is_405);
    let id = header(&answer, "toucanhoist-request-id").to_owned();
    let explained = cluster.explain(0, &id).await;
    let decisions = explained["decisions"].as_array().expect("decisions");
    let refused = decisions.iter().find(|decision| decision["event"] == 2004).expect("a refusal");
    assert_eq!(refused["fields"]["code"], code);
    assert_eq!(target.counters().runs.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn a_caller_cannot_forge_the_account() {
    let (cluster, _target) = Cluster::with_fake_target().await;
    let request = keyed("/near/a")
        .header("Toucanhoist-Account", "technicians")
        .header("toucanhoist-account", "others")
        .header("toucanhoist_account", "technicians")
        .header("toucanhoist.account", "technicians")
        .header("toucanhoist-request-id", "0")
        .header("connection", "toucanhoist-account");
    let (status, report) = cluster.json(empty(request)).await;
    assert_eq!(status, StatusCode::OK);
    let reserved: Vec<&serde_json::Value> = report["headers"]
        .as_array()
        .expect("headers")
        .iter()
        .filter(|pair| pair[0].as_str().is_some_and(|name| name.starts_with("toucanhoist")))
        .collect();
    assert_eq!(reserved.len(), 2, "{report}");
    assert!(reserved.iter().any(|pair| pair[0] == "toucanhoist-account" && pair[1] == "farmers"));
    assert!(!report.to_string().contains("technicians"));
}

#[tokio::test]
async fn hop_by_hop_headers_are_not_forwarded() {
    let (cluster, _target) = Cluster::with_fake_target().await;
    let request = keyed("/near/a")
        .header("connection", "x-named, keep-alive")
        .header("x-named", "1")
        .header("keep-alive", "timeout=5")
        .header("te", "trailers")
        .header("upgrade", "websocket")
        .header("proxy-connection", "keep-alive")
        .header("expect", "100-continue")
        .header("x-kept", "1");
    let (status, report) = cluster.json(empty(request)).await;
    assert_eq!(status, StatusCode::OK);
    let names: Vec<&str> = report["headers"]
        .as_array()
        .expect("headers")
        .iter()
        .filter_map(|pair| pair[0].as_str())
        .collect();
    for name in
        ["connection", "x-named", "keep-alive", "te", "upgrade", "proxy-connection", "expect"]
    {
        assert!(!names.contains(&name), "{name} reached the target: {report}");
    }
    assert!(names.contains(&"x-kept") && names.contains(&"via"), "{report}");
}

#[tokio::test]
async fn a_half_closed_connection_of_a_caller_cancels_its_request() {
    let (cluster, target) = Cluster::with_fake_target().await;
    let running = || target.counters().running.load(Ordering::Relaxed);
    let mut stream = TcpStream::connect(cluster.callers()).await.expect("the connection works");
    let request = b"GET /near/open/a?delay_ms=60000 HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(request).await.expect("the connection works");
    until("the target runs the request", || running() == 1).await;
    stream.shutdown().await.expect("the connection works");
    assert_eq!(read_to_end(&mut stream).await, "");
    until("the target stops running the request", || running() == 0).await;
    assert!(cluster.metrics().await.contains("toucanhoist_requests_abandoned_total"));
}

#[tokio::test]
async fn a_connection_that_ends_within_a_head_is_logged() {
    let (cluster, _target) = Cluster::with_fake_target().await;
    let mut stream = TcpStream::connect(cluster.callers()).await.expect("the connection works");
    stream.write_all(b"GET /near/open/a HTTP/1.1\r\nho").await.expect("the connection works");
    stream.shutdown().await.expect("the connection works");
    assert_eq!(read_to_end(&mut stream).await, "");
    let metrics = cluster.metrics().await;
    assert!(metrics.contains(r#"toucanhoist_events_total{event="head-broken"}"#), "{metrics}");
}

#[tokio::test]
async fn a_slow_head_ends_the_connection() {
    let (cluster, _target) = Cluster::with_fake_target().await;
    let mut stream = TcpStream::connect(cluster.callers()).await.expect("the connection works");
    stream.write_all(b"GET /near/open/a HTTP/1.1\r\nho").await.expect("the connection works");
    time::pause();
    assert_eq!(read_to_end(&mut stream).await, "");
    time::resume();
    let metrics = cluster.metrics().await;
    assert!(metrics.contains(r#"toucanhoist_events_total{event="sender-slow"}"#), "{metrics}");
}

#[tokio::test]
async fn a_slow_body_is_abandoned_at_the_deadline() {
    let (cluster, target) = Cluster::with_fake_target().await;
    let mut stream = TcpStream::connect(cluster.callers()).await.expect("the connection works");
    let request = format!(
        "POST /near/records/1 HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
         connection: close\r\nidempotency-key: 1\r\nexpect: 100-continue\r\n\
         content-length: 100\r\n\r\nslow"
    );
    stream.write_all(request.as_bytes()).await.expect("the connection works");
    // The host reads the body after it has sent this.
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).await.expect("the connection works");
    assert_eq!(interim, *b"HTTP/1.1 100 Continue\r\n\r\n");
    time::pause();
    let answer = read_to_end(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
    assert_eq!(raw_header(&answer, "toucanhoist-verdict"), "not-run");
    assert_eq!(target.counters().runs.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn an_expectation_is_answered_only_for_an_accepted_request() {
    let (cluster, _target) = Cluster::with_fake_target().await;
    let request = |key: &str| {
        format!(
            "PUT /near/a HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {key}\r\n\
             connection: close\r\nexpect: 100-continue\r\ncontent-length: 5\r\n\r\nhello"
        )
    };
    let answer = cluster.raw(request(KEY).as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK"), "{answer}");
    assert!(answer.contains(r#""body_length":5"#), "{answer}");
    let answer = cluster.raw(request("no-such-key").as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 401 "), "{answer}");
}

#[tokio::test]
async fn a_chunked_upload_reaches_the_target_whole() {
    let (cluster, _target) = Cluster::with_fake_target().await;
    for service in ["near", "far"] {
        let request = format!(
            "PUT /{service}/a HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
             connection: close\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"
        );
        let answer = cluster.raw(request.as_bytes()).await;
        assert!(answer.contains(r#""body_length":11"#), "{answer}");
        assert!(
            answer.contains("b94d27b9934d3e08a52e52d7da7dabfac484efe37a5380ee9088f7ace2efcde9"),
            "{answer}"
        );
    }
}

#[tokio::test]
async fn a_large_upload_reaches_the_target_whole() {
    let (cluster, _target) = Cluster::with_fake_target().await;
    let content = Bytes::from(vec![7; 3_000_000]);
    for service in ["near", "far"] {
        let request = keyed(&format!("/{service}/a"))
            .method("PUT")
            .body(Full::new(content.clone()))
            .expect("valid request");
        let (status, report) = cluster.json(request).await;
        assert_eq!(status, StatusCode::OK, "{report}");
        assert_eq!(report["body_length"], 3_000_000);
    }
}
