//! Without the operators' token nothing can be changed, and only health and readiness can be read.

use {
    bytes::Bytes,
    http::{Request, StatusCode},
    http_body_util::{BodyExt, Full},
    toucanhoist_fakes::process::send,
};

use super::support::{Cluster, TOKEN, empty, header, keyed};

const PATHS: [&str; 12] = [
    "/metrics",
    "/status",
    "/explain/00000000000000000000000000000000",
    "/configuration",
    "/configuration/history",
    "/configuration/effect",
    "/configuration/hosts",
    "/keys",
    "/keys/withdraw",
    "/quarantine",
    "/no-such-path",
    "/",
];

#[tokio::test]
async fn a_missing_or_wrong_token_is_refused_on_every_path_and_method() {
    let (cluster, _target) = Cluster::with_fake_target().await;
    let invalid = [
        String::new(),
        "Bearer ".into(),
        "Bearer wrong".into(),
        TOKEN.into(),
        format!("Basic {TOKEN}"),
        format!("Bearer {}", &TOKEN[1..]),
        format!("Bearer {TOKEN}x"),
    ];
    for path in PATHS {
        for method in ["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"] {
            for token in &invalid {
                let request = Request::builder()
                    .method(method)
                    .uri(path)
                    .header("host", "operators")
                    .header("authorization", token)
                    .body(Full::new(Bytes::from_static(b"{}")))
                    .expect("valid request");
                let answer = send(cluster.operators(), request).await.expect("an answer");
                assert_eq!(answer.status(), StatusCode::UNAUTHORIZED, "{method} {path} {token}");
                let content =
                    answer.into_body().collect().await.expect("a complete answer").to_bytes();
                let content = String::from_utf8_lossy(&content);
                assert!(!content.contains("revision"), "{method} {path}: {content}");
            }
        }
    }
}

#[tokio::test]
async fn health_and_readiness_need_no_token() {
    let (cluster, _target) = Cluster::with_fake_target().await;
    for path in ["/health", "/ready"] {
        let request =
            Request::builder().uri(path).header("host", "operators").body(Full::default());
        let request = request.expect("valid request");
        let answer = send(cluster.operators(), request).await.expect("an answer");
        assert_eq!(answer.status(), StatusCode::OK, "{path}");
    }
}

#[tokio::test]
async fn metrics_count_requests_by_code_and_verdict() {
    let (cluster, _target) = Cluster::with_fake_target().await;
    let answer = cluster.send(empty(keyed("/near/a"))).await;
    assert_eq!(header(&answer, "toucanhoist-verdict"), "ran");
    let metrics = cluster.metrics().await;
    for name in [
        r#"toucanhoist_requests_total{code="2xx",verdict="ran"}"#,
        "toucanhoist_request_seconds_bucket{le=",
        "toucanhoist_requests_in_flight ",
        "toucanhoist_events_total{event=\"placed\"}",
    ] {
        assert!(metrics.contains(name), "{name} is missing: {metrics}");
    }
}
