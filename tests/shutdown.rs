//! A graceful shutdown interrupts no request; a second signal ends the process immediately.

use std::{net::SocketAddr, time::Duration};

use {
    http::StatusCode, http_body_util::BodyExt, hyper::client::conn::http1, hyper_util::rt::TokioIo,
    nix::sys::signal::Signal, tokio::net::TcpStream,
};

use crate::support::{runs, spawn_cluster, submission, submit};

mod support;

#[tokio::test]
async fn a_graceful_shutdown_finishes_running_requests() {
    let mut cluster = spawn_cluster(2, 1).await.expect("the cluster starts");
    let (answer, ()) = tokio::join!(submit(&cluster, 0, "cut-1", "delay_ms=1600"), async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        cluster.hosts[0].signal(Signal::SIGTERM).expect("the process runs");
    });
    let answer = answer.expect("the request is answered");
    assert_eq!((answer.status, answer.verdict()), (StatusCode::OK, "ran"));
    assert_eq!(cluster.hosts[0].wait().await.expect("the process ends"), Some(0));
    let again = submit(&cluster, 1, "cut-1", "delay_ms=1600").await.expect("an answer");
    assert_eq!(again.bytes, answer.bytes);
    assert_eq!(runs(&cluster, "cut-1"), 1);
}

/// Sends requests on one connection until a response says `connection: close`, as callers do.
async fn send_until_told_to_close(address: SocketAddr, caller: usize) -> Vec<String> {
    let mut sent = Vec::new();
    let stream = TcpStream::connect(address).await.expect("the host listens");
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.expect("the connection works");
    tokio::spawn(connection);
    for i in 0.. {
        let key = format!("cut-{caller}-{i}");
        let request = submission(&key, "delay_ms=5", "42 decitonnes");
        let answer = sender.send_request(request).await.expect("a request on an open connection");
        let closes = answer.headers().get("connection").is_some_and(|value| value == "close");
        assert_eq!(answer.status(), StatusCode::OK);
        answer.into_body().collect().await.expect("a complete answer");
        sent.push(key);
        if closes {
            break;
        }
    }
    sent
}

#[tokio::test]
async fn callers_on_open_connections_lose_nothing() {
    let mut cluster = spawn_cluster(2, 3).await.expect("the cluster starts");
    let address = cluster.hosts[0].addresses().callers;
    let callers =
        futures_util::future::join_all((0..6).map(|c| send_until_told_to_close(address, c)));
    let (sent, ()) = tokio::join!(callers, async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        cluster.hosts[0].signal(Signal::SIGTERM).expect("the process runs");
    });
    assert_eq!(cluster.hosts[0].wait().await.expect("the process ends"), Some(0));
    for key in sent.iter().flatten() {
        assert_eq!(runs(&cluster, key), 1, "{key}");
    }
}

#[tokio::test]
async fn a_second_signal_ends_the_process_immediately_and_logs_open_submissions() {
    let mut cluster = spawn_cluster(2, 1).await.expect("the cluster starts");
    let (interrupted, ()) = tokio::join!(submit(&cluster, 0, "cut-1", "delay_ms=1900"), async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        cluster.hosts[0].signal(Signal::SIGTERM).expect("the process runs");
        tokio::time::sleep(Duration::from_millis(200)).await;
        cluster.hosts[0].signal(Signal::SIGTERM).expect("the process runs");
    });
    assert!(interrupted.is_err(), "{interrupted:?}");
    assert_eq!(cluster.hosts[0].wait().await.expect("the process ends"), Some(1));
    tokio::time::sleep(Duration::from_millis(100)).await;
    let lines = cluster.hosts[0].take_lines();
    let shutdown_forced =
        lines.iter().find(|line| line.contains("event=1004")).expect("the event is logged");
    assert!(shutdown_forced.contains("submissions_left=1"), "{shutdown_forced}");
}
