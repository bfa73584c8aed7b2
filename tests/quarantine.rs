//! Quarantine of a request that crashes targets, on a running host.

use std::{net::SocketAddr, sync::Arc};

use {
    bytes::Bytes,
    http::{Request, StatusCode},
    http_body_util::{BodyExt, Full},
    serde_json::Value,
    toucanhoist::host::fleet,
    toucanhoist_core::fleet::Fleet,
    toucanhoist_fakes::{
        platform::{Faulty, Server},
        process::{Config, Host, send},
        target,
    },
    toucanhoist_store::{Platform, Transaction},
};

async fn get(host: &Host, path: &str) -> (StatusCode, Value) {
    let request = Request::builder()
        .uri(path)
        .header("host", "callers")
        .body(Full::new(Bytes::new()))
        .expect("valid request");
    let answer = send(host.addresses().callers, request).await.expect("an answer");
    let status = answer.status();
    let content = answer.into_body().collect().await.expect("a complete answer").to_bytes();
    (status, serde_json::from_slice(&content).unwrap_or_default())
}

async fn call_operator_api(host: &Host, method: &str, path: &str) -> (StatusCode, Value) {
    let answer = host.call_operator_api(method, path, Bytes::new()).await.expect("an answer");
    let status = answer.status();
    let content = answer.into_body().collect().await.expect("a complete answer").to_bytes();
    (status, serde_json::from_slice(&content).unwrap_or_default())
}

async fn spawn_targets() -> Vec<target::Server> {
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("valid address");
    let mut targets = Vec::new();
    for name in ["curves-1", "curves-2"] {
        let config = target::Config { name: name.into(), data_centre: "lake-1".into() };
        targets.push(target::Server::bind(any_port, config).await.expect("the target starts"));
    }
    targets
}

fn change(targets: &[target::Server]) -> fleet::Change {
    let target = |(i, target): (usize, &target::Server)| {
        let number = i + 1;
        let address = target.address();
        format!(
            r#"{{"name": "curves-{number}", "service": "curves", "data_centre": "lake-1",
                "address": "{address}"}}"#
        )
    };
    let targets: Vec<String> = targets.iter().enumerate().map(target).collect();
    let text = format!(
        r#"{{
            "defaults": {{"slots": 1}},
            "regions": [{{"name": "lake", "data_centres": ["lake-1"]}}],
            "services": [{{"name": "curves"}}],
            "targets": [{}],
            "routes": [{{"service": "curves", "path": "/", "methods": ["GET"],
                "access": "open", "repeatable": true}}]
        }}"#,
        targets.join(",")
    );
    fleet::Change {
        revision: 1.into(),
        change: 1.into(),
        author: "test".into(),
        reason: "test".into(),
        fleet: Fleet::from_json(&text).expect("valid fleet"),
    }
}

async fn spawn_host(change: &fleet::Change) -> (Host, Server) {
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("valid address");
    let faulty = Arc::new(Faulty::new());
    let transaction = Transaction { checks: Vec::new(), writes: fleet::writes(change) };
    faulty.transact(transaction).await.expect("the platform is up");
    let platform = Server::bind(any_port, Arc::clone(&faulty)).await.expect("the platform starts");
    let config = Config {
        binary: env!("CARGO_BIN_EXE_toucanhoist").into(),
        name: "entry-1".into(),
        data_centre: "lake-1".into(),
        platform: platform.address(),
        log_level: "info",
    };
    let host = Host::spawn(config).await.expect("the host starts");
    faulty.memory().set_hosts(vec![host.listed()]);
    host.wait_until_ready(1).await.expect("the host is ready in time");
    (host, platform)
}

#[tokio::test]
async fn a_request_that_crashes_two_targets_is_quarantined_until_it_is_released() {
    let targets = spawn_targets().await;
    let (host, _platform) = spawn_host(&change(&targets)).await;
    let crashing_path = "/curves/plot-7?break_off=1";
    let mut attempts = 0;
    let refused = loop {
        attempts += 1;
        let (status, problem) = get(&host, crashing_path).await;
        if problem["code"] == "quarantined" {
            break (status, problem);
        }
        assert!(problem["verdict"] == "may-have-run" && attempts < 50, "{status} {problem}");
    };
    assert_eq!(refused.0, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.1["verdict"], "not-run");
    assert_eq!(get(&host, "/curves/plot-7").await.0, StatusCode::OK);

    let (_, entries) = call_operator_api(&host, "GET", "/quarantine").await;
    assert_eq!(entries[0]["stage"], "held", "{entries}");
    assert_eq!(entries[0]["targets"], serde_json::json!(["curves-1", "curves-2"]));
    let path = format!("/quarantine/{}", entries[0]["fingerprint"].as_str().expect("a string"));
    assert_eq!(call_operator_api(&host, "DELETE", &path).await.0, StatusCode::OK);
    let (_, problem) = get(&host, crashing_path).await;
    assert_eq!(problem["verdict"], "may-have-run");
}
