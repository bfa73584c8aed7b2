//! The platform's client with a platform that is slow, down or loses responses.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use {
    toucanhoist_fakes::platform::{Faults, Faulty, Server},
    toucanhoist_store::{Check, ErrorKind, Expect, Http, Platform, Transaction, Write},
};

const TIMEOUT: Duration = Duration::from_millis(300);

async fn platform() -> (Arc<Faulty>, Server, Http) {
    let faulty = Arc::new(Faulty::new());
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(any_port, Arc::clone(&faulty)).await.expect("a free port");
    let client = Http::new(server.address(), TIMEOUT);
    (faulty, server, client)
}

fn put(key: &str) -> Transaction {
    Transaction {
        checks: vec![Check::new("t", key, Expect::Absent)],
        writes: vec![Write::put("t", key, "1".into())],
    }
}

/// Waits for the tasks of a dropped server and of its connections to end.
async fn wait_until_closed() {
    tokio::time::sleep(Duration::from_millis(100)).await;
}

async fn contains(faulty: &Faulty, key: &str) -> bool {
    let rows = faulty.memory().read("t", &[key.into()]).await.expect("memory is up");
    rows[0].is_some()
}

#[tokio::test]
async fn a_call_that_times_out_may_have_taken_effect() {
    let (faulty, _server, client) = platform().await;
    faulty.set_faults(Faults { delay: Duration::from_secs(60), ..Faults::default() });
    let error = client.transact(put("a")).await.expect_err("no answer in time");
    assert!(error.is_unknown(), "{error}");
}

#[tokio::test]
async fn a_platform_that_is_down_wrote_nothing() {
    let (faulty, server, client) = platform().await;
    faulty.set_faults(Faults { down: true, ..Faults::default() });
    let error = client.transact(put("a")).await.expect_err("the platform is down");
    assert!(matches!(error.kind(), ErrorKind::Unavailable(_)), "{error}");
    assert!(!contains(&faulty, "a").await);
    let client = Http::new(server.address(), TIMEOUT);
    drop(server);
    wait_until_closed().await;
    let error = client.transact(put("a")).await.expect_err("nothing listens");
    assert!(matches!(error.kind(), ErrorKind::Unavailable(_)), "{error}");
}

#[tokio::test]
async fn a_lost_response_is_unknown_and_the_write_takes_effect() {
    let (faulty, _server, client) = platform().await;
    faulty.set_faults(Faults { lose_answers: true, ..Faults::default() });
    let error = client.transact(put("a")).await.expect_err("the response is lost");
    assert!(error.is_unknown(), "{error}");
    assert!(contains(&faulty, "a").await);
    faulty.set_faults(Faults::default());
    assert!(client.transact(put("a")).await.expect_err("the row exists").is_conflict());
}

/// Idle connections that a restarted platform has closed do not make a call fail.
#[tokio::test]
async fn a_stale_connection_is_replaced() {
    let (faulty, server, client) = platform().await;
    client.transact(put("a")).await.expect("the platform is up");
    let address = server.address();
    drop(server);
    wait_until_closed().await;
    let restarted = loop {
        match Server::bind(address, Arc::clone(&faulty)).await {
            Ok(server) => break server,
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    };
    client.transact(put("b")).await.expect("the platform is up again");
    assert!(contains(&faulty, "b").await);
    drop(restarted);
}
