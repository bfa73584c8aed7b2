//! Submissions to separate processes run at most once, whatever fails.

use std::time::Duration;

use {
    bytes::Bytes,
    http::{Request, StatusCode},
    http_body_util::Full,
    nix::sys::signal::Signal,
    rstest::rstest,
    toucanhoist_fakes::platform::Faults,
};

use crate::support::{KEY, exchange, resend_while, runs, spawn_cluster, submission, submit};

mod support;

#[rstest]
#[case::small("")]
#[case::large("answer_bytes=100000")]
#[tokio::test]
async fn a_resend_gets_the_same_answer_on_any_host(#[case] query: &str) {
    let cluster = spawn_cluster(2, 1).await.expect("the cluster starts");
    let first = submit(&cluster, 0, "cut-1", query).await.expect("an answer");
    assert_eq!((first.status, first.verdict()), (StatusCode::OK, "ran"));
    for host in [0, 1] {
        let again = submit(&cluster, host, "cut-1", query).await.expect("an answer");
        assert_eq!((again.status, again.verdict()), (StatusCode::OK, "ran"));
        assert_eq!(again.bytes, first.bytes);
    }
    assert_eq!(runs(&cluster, "cut-1"), 1);

    let address = cluster.hosts[0].addresses().callers;
    let other = exchange(address, submission("cut-1", query, "43 decitonnes")).await;
    let other = other.expect("an answer");
    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!((other.code(), other.verdict()), ("idempotency-key-reused", "not-run"));
    assert_eq!(runs(&cluster, "cut-1"), 1);
}

#[rstest]
#[case::crash_before("crash-before", 0)]
#[case::crash_after("crash-after", 1)]
#[case::truncated("truncate", 1)]
#[tokio::test]
async fn a_failure_after_the_first_byte_leaves_the_outcome_open(
    #[case] fault: &str,
    #[case] expected_runs: u32,
) {
    let cluster = spawn_cluster(2, 1).await.expect("the cluster starts");
    // The first host forwards to the second, which is in the target's data centre.
    for (host, key) in [(0, "cut-far"), (1, "cut-near")] {
        let first =
            submit(&cluster, host, key, &format!("fault={fault}")).await.expect("an answer");
        assert_eq!(first.verdict(), "may-have-run", "{first:?}");
        let again = submit(&cluster, 1 - host, key, &format!("fault={fault}")).await;
        let again = again.expect("an answer");
        assert_eq!((again.code(), again.verdict()), ("outcome-open", "may-have-run"));
        assert_eq!(runs(&cluster, key), expected_runs);
    }
}

#[tokio::test]
async fn a_truncated_answer_is_an_error_when_forwarded_too() {
    let cluster = spawn_cluster(2, 1).await.expect("the cluster starts");
    for host in [0, 1] {
        let request = Request::builder()
            .uri("/cuts/plot-7?fault=truncate")
            .header("host", "callers")
            .header("authorization", format!("Bearer {KEY}"))
            .body(Full::new(Bytes::new()))
            .expect("valid request");
        let answer = exchange(cluster.hosts[host].addresses().callers, request).await;
        assert!(answer.is_err(), "{answer:?}");
    }
}

#[tokio::test]
async fn a_refused_connection_lets_a_resend_run() {
    let mut cluster = spawn_cluster(2, 1).await.expect("the cluster starts");
    let target = cluster.targets.remove(0);
    let address = target.address();
    drop(target);
    for host in [0, 1] {
        let first = submit(&cluster, host, "cut-1", "").await.expect("an answer");
        assert_eq!(first.verdict(), "not-run", "{first:?}");
    }
    let config =
        toucanhoist_fakes::target::Config { name: "cuts-1".into(), data_centre: "hill-1".into() };
    let target =
        toucanhoist_fakes::target::Server::bind(address, config).await.expect("a free port");
    cluster.targets.push(target);
    // For a while after it was unreachable, the hosts do not use the target; nothing runs then
    // either.
    let again = loop {
        let again = submit(&cluster, 0, "cut-1", "").await.expect("an answer");
        if again.verdict() != "not-run" {
            break again;
        }
        assert_eq!(runs(&cluster, "cut-1"), 0);
        tokio::time::sleep(Duration::from_millis(100)).await;
    };
    assert_eq!((again.status, again.verdict()), (StatusCode::OK, "ran"), "{again:?}");
    assert_eq!(runs(&cluster, "cut-1"), 1);
}

#[tokio::test]
async fn a_store_outage_refuses_submissions_as_not_run() {
    let cluster = spawn_cluster(2, 1).await.expect("the cluster starts");
    cluster.platform.set_faults(Faults { down: true, ..Faults::default() });
    let refused = submit(&cluster, 0, "cut-1", "").await.expect("an answer");
    assert_eq!((refused.code(), refused.verdict()), ("store-unavailable", "not-run"));
    assert!(refused.headers.contains_key("retry-after"));
    cluster.platform.set_faults(Faults::default());
    let again = resend_while(&cluster, 1, "cut-1", "store-unavailable").await;
    assert_eq!(again.verdict(), "ran");
    assert_eq!(runs(&cluster, "cut-1"), 1);
}

#[tokio::test]
async fn answers_that_the_store_loses_are_settled_by_reading_back() {
    let cluster = spawn_cluster(2, 1).await.expect("the cluster starts");
    cluster.platform.set_faults(Faults { lose_answers: true, ..Faults::default() });
    let first = submit(&cluster, 0, "cut-1", "").await.expect("an answer");
    assert_eq!((first.status, first.verdict()), (StatusCode::OK, "ran"), "{first:?}");
    let again = submit(&cluster, 1, "cut-1", "").await.expect("an answer");
    assert_eq!(again.bytes, first.bytes);
    assert_eq!(runs(&cluster, "cut-1"), 1);
}

#[tokio::test]
async fn resends_at_the_same_moment_run_once() {
    let cluster = spawn_cluster(3, 2).await.expect("the cluster starts");
    let sends = (0..24).map(|i| submit(&cluster, i % 3, "cut-1", "delay_ms=50"));
    let answers = futures_util::future::join_all(sends).await;
    for answer in answers {
        let answer = answer.expect("an answer");
        assert!(answer.verdict() == "ran" || answer.code() == "still-running", "{answer:?}");
    }
    let last = resend_while(&cluster, 0, "cut-1", "still-running").await;
    // The digest covers the query, so this is another request.
    assert_eq!(last.code(), "idempotency-key-reused");
    assert_eq!(runs(&cluster, "cut-1"), 1);
}

#[tokio::test]
async fn the_answer_is_stored_when_the_caller_disconnects() {
    let cluster = spawn_cluster(2, 1).await.expect("the cluster starts");
    let abandoned = submit(&cluster, 0, "cut-1", "delay_ms=300");
    assert!(tokio::time::timeout(Duration::from_millis(100), abandoned).await.is_err());
    let again = loop {
        let again = submit(&cluster, 1, "cut-1", "delay_ms=300").await.expect("an answer");
        if again.code() != "still-running" {
            break again;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    assert_eq!(again.verdict(), "ran", "{again:?}");
    assert_eq!(runs(&cluster, "cut-1"), 1);
}

#[tokio::test]
async fn a_killed_host_leaves_an_open_submission_that_an_operator_settles() {
    let mut cluster = spawn_cluster(2, 1).await.expect("the cluster starts");
    let (killed, ()) = tokio::join!(submit(&cluster, 0, "cut-1", "delay_ms=1000"), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        cluster.hosts[0].signal(Signal::SIGKILL).expect("the process runs");
    });
    assert!(killed.is_err(), "{killed:?}");
    cluster.hosts[0].wait().await.expect("the process has ended");
    let resend = || submit(&cluster, 1, "cut-1", "delay_ms=1000");
    assert_eq!(resend().await.expect("an answer").code(), "still-running");
    let open = loop {
        let again = resend().await.expect("an answer");
        if again.code() != "still-running" {
            break again;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    };
    assert_eq!((open.code(), open.verdict()), ("outcome-open", "may-have-run"));
    assert_eq!(runs(&cluster, "cut-1"), 1);

    let settlement = serde_json::json!({
        "submission": "technicians/cuts/cut-1", "ran": true,
        "author": "anna", "reason": "seen in the target's log",
    });
    let settled = cluster.hosts[1]
        .call_operator_api("POST", "/submissions/settle", settlement.to_string().into())
        .await
        .expect("an answer");
    assert_eq!(settled.status(), StatusCode::OK);
    let last = resend().await.expect("an answer");
    assert_eq!((last.code(), last.verdict()), ("outcome-settled", "ran"));
    assert_eq!(runs(&cluster, "cut-1"), 1);
}
