//! A request that crashes targets, through a running host.

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
        .expect("a request");
    let answer = send(host.addresses().callers, request).await.expect("an answer");
    let status = answer.status();
    let content = answer.into_body().collect().await.expect("a whole answer").to_bytes();
    (status, serde_json::from_slice(&content).unwrap_or_default())
}

async fn operate(host: &Host, method: &str, path: &str) -> (StatusCode, Value) {
    let answer = host.operate(method, path, Bytes::new()).await.expect("an answer");
    let status = answer.status();
    let content = answer.into_body().collect().await.expect("a whole answer").to_bytes();
    (status, serde_json::from_slice(&content).unwrap_or_default())
}

async fn spawn_targets() -> Vec<target::Server> {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let mut targets = Vec::new();
    for name in ["curves-1", "curves-2"] {
        let config = target::Config { name: name.into(), data_centre: "lake-1".into() };
        targets.push(target::Server::bind(any, config).await.expect("a target"));
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
        fleet: Fleet::from_json(&text).expect("a valid fleet"),
    }
}

async fn spawn_host(change: &fleet::Change) -> (Host, Server) {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let faulty = Arc::new(Faulty::new());
    let transaction = Transaction { checks: Vec::new(), writes: fleet::writes(change) };
    faulty.transact(transaction).await.expect("the platform is up");
    let platform = Server::bind(any, Arc::clone(&faulty)).await.expect("a platform");
    let config = Config {
        binary: env!("CARGO_BIN_EXE_toucanhoist").into(),
        name: "entry-1".into(),
        data_centre: "lake-1".into(),
        platform: platform.address(),
        log_level: "info",
    };
    let host = Host::spawn(config).await.expect("a host");
    faulty.memory().set_hosts(vec![host.listed()]);
    host.wait_until_ready(1).await.expect("a ready host");
    (host, platform)
}

#[tokio::test]
async fn a_request_that_breaks_off_two_targets_is_held_back_until_it_is_released() {
    let targets = spawn_targets().await;
    let (host, _platform) = spawn_host(&change(&targets)).await;
    let crashing = "/curves/plot-7?break_off=1";
    let mut tries = 0;
    let refused = loop {
        tries += 1;
        let (status, problem) = get(&host, crashing).await;
        if problem["code"] == "quarantined" {
            break (status, problem);
        }
        assert!(problem["verdict"] == "may-have-run" && tries < 50, "{status} {problem}");
    };
    assert_eq!(refused.0, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.1["verdict"], "not-run");
    assert_eq!(get(&host, "/curves/plot-7").await.0, StatusCode::OK);

    let (_, known) = operate(&host, "GET", "/quarantine").await;
    assert_eq!(known[0]["stage"], "held", "{known}");
    assert_eq!(known[0]["targets"], serde_json::json!(["curves-1", "curves-2"]));
    let path = format!("/quarantine/{}", known[0]["fingerprint"].as_str().expect("text"));
    assert_eq!(operate(&host, "DELETE", &path).await.0, StatusCode::OK);
    let (_, problem) = get(&host, crashing).await;
    assert_eq!(problem["verdict"], "may-have-run");
}
