//! No target receives a caller's key, wherever in the request the caller puts it.

use std::sync::atomic::Ordering;

use {
    base64::{Engine, engine::general_purpose::STANDARD},
    http::StatusCode,
    rstest::rstest,
};

use super::support::{Cluster, KEY, OTHER_KEY, empty, get, keyed};

fn percent_encoded(key: &str) -> String {
    key.bytes().map(|byte| format!("%{byte:02X}")).collect()
}

fn encodings(key: &str) -> Vec<String> {
    vec![
        key.to_owned(),
        format!("Bearer {key}"),
        format!("a=1; key={key}; b=2"),
        format!("\"{key}\""),
        key.to_uppercase(),
        percent_encoded(key),
        STANDARD.encode(key),
        format!("Basic {}", STANDARD.encode(format!("user:{key}"))),
    ]
}

#[rstest]
#[case::own(KEY)]
#[case::of_another_account(OTHER_KEY)]
#[tokio::test]
async fn a_key_in_another_header_is_kept_from_the_target(#[case] key: &str) {
    let (cluster, _target) = Cluster::with_fake_target().await;
    // Another account's key in upper case is not a key, so it is not withheld.
    for value in encodings(key).into_iter().filter(|v| key == KEY || *v != key.to_uppercase()) {
        for path in ["/near/a", "/far/a", "/near/open/a"] {
            let request = keyed(path)
                .header("x-api-key", &value)
                .header("cookie", &value)
                .header("x-auth", "kept")
                .header("x-auth", &value)
                .header("proxy-authorization", &value);
            let (status, report) = cluster.json(empty(request)).await;
            assert_eq!(status, StatusCode::OK, "{value}: {report}");
            assert_not_received(&report.to_string(), key);
            assert!(!report.to_string().contains(&value), "{value} reached the target");
        }
    }
    assert!(cluster.metrics().await.contains("toucanhoist_headers_withheld_total"));
}

fn assert_not_received(report: &str, key: &str) {
    for encoding in encodings(key) {
        assert!(!report.contains(&encoding), "the target received {encoding}: {report}");
    }
}

#[tokio::test]
async fn a_key_without_authorization_is_kept_from_the_target_of_an_open_route() {
    let (cluster, _target) = Cluster::with_fake_target().await;
    for value in [KEY.to_owned(), percent_encoded(KEY), STANDARD.encode(format!("farmers:{KEY}"))] {
        let request = get("/near/open/a").header("x-api-key", &value);
        let (status, report) = cluster.json(empty(request)).await;
        assert_eq!(status, StatusCode::OK);
        assert!(!report.to_string().contains(&value), "{report}");
    }
}

#[rstest]
#[case::query(format!("/near/open/a?key={KEY}"))]
#[case::escaped_query(format!("/near/open/a?key={}", percent_encoded(KEY)))]
#[case::encoded_query(format!("/near/open/a?key={}", STANDARD.encode(KEY)))]
#[case::path(format!("/near/open/{KEY}"))]
#[case::other_query(format!("/near/open/a?key={OTHER_KEY}"))]
#[tokio::test]
async fn a_key_in_the_path_or_query_is_refused(#[case] path: String) {
    let (cluster, target) = Cluster::with_fake_target().await;
    for request in [get(&path), keyed(&path)] {
        let (status, problem) = cluster.json(empty(request)).await;
        assert_eq!(status, StatusCode::BAD_REQUEST);
        assert_eq!(problem["code"], "bad-request");
        assert!(!problem.to_string().contains(KEY), "{problem}");
    }
    assert_eq!(target.counters().runs.load(Ordering::Relaxed), 0);
}

#[rstest]
#[case::basic(vec![("authorization", format!("Basic {}", STANDARD.encode(format!("farmers:{KEY}"))))])]
#[case::other_scheme(vec![("authorization", format!("Digest {KEY}"))])]
#[case::no_scheme(vec![("authorization", KEY.to_owned())])]
#[case::empty(vec![("authorization", "Bearer ".to_owned())])]
#[case::repeated(vec![
    ("authorization", format!("Bearer {KEY}")),
    ("Authorization", format!("Bearer {KEY}")),
])]
#[case::other_header(vec![("x-api-key", KEY.to_owned())])]
#[case::cookie(vec![("cookie", format!("key={KEY}"))])]
#[case::proxy(vec![("proxy-authorization", format!("Bearer {KEY}"))])]
#[tokio::test]
async fn a_key_in_the_wrong_place_opens_no_keyed_route(#[case] headers: Vec<(&str, String)>) {
    let (cluster, target) = Cluster::with_fake_target().await;
    let mut request = get("/near/a");
    for (name, value) in &headers {
        request = request.header(*name, value);
    }
    let (status, problem) = cluster.json(empty(request)).await;
    assert_eq!(status, StatusCode::UNAUTHORIZED);
    assert_eq!(problem["code"], "key-refused");
    assert!(!problem.to_string().contains(KEY), "{problem}");
    assert_eq!(target.counters().runs.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn a_key_is_taken_with_any_case_of_the_scheme() {
    let (cluster, _target) = Cluster::with_fake_target().await;
    for scheme in ["Bearer", "bearer", "BEARER"] {
        let request = get("/near/a").header("AUTHORIZATION", format!("{scheme} {KEY}"));
        let (status, report) = cluster.json(empty(request)).await;
        assert_eq!(status, StatusCode::OK);
        assert_not_received(&report.to_string(), KEY);
    }
}
