//! The path of a request through processes over loopback.

use std::{io, net::SocketAddr, sync::Arc};

use {
    bytes::Bytes,
    http::{Request, StatusCode},
    http_body_util::{BodyExt, Full},
    serde_json::Value,
    toucanhoist::host::{accounts::Grant, fleet},
    toucanhoist_core::{fleet::Fleet, key::Digest},
    toucanhoist_fakes::{
        platform::{Faulty, Server},
        process::{Config, Host, send},
        target,
    },
    toucanhoist_store::{Platform, Transaction, Write},
};

const KEY: &str = "key-of-the-farmers";

struct Cluster {
    hosts: Vec<Host>,
    targets: Vec<target::Server>,
    _platform: Server,
}

impl Cluster {
    /// Starts two entry hosts in two data centres; the only target is in the second.
    async fn spawn() -> io::Result<Cluster> {
        let any_port: SocketAddr = "127.0.0.1:0".parse().expect("valid address");
        let target = target::Server::bind(
            any_port,
            target::Config { name: "curves-1".into(), data_centre: "hill-1".into() },
        )
        .await?;
        let fleet = format!(
            r#"{{
                "regions": [
                    {{"name": "lake", "data_centres": ["lake-1"]}},
                    {{"name": "hill", "data_centres": ["hill-1"]}}
                ],
                "client_blocks": [{{"block": "10.1.0.0/16", "home": "lake-1"}}],
                "services": [{{"name": "curves"}}],
                "targets": [{{
                    "name": "curves-1", "service": "curves", "data_centre": "hill-1",
                    "address": "{}"
                }}],
                "routes": [{{
                    "service": "curves", "path": "/", "methods": ["GET", "POST"],
                    "access": "keyed", "repeatable": true
                }}],
                "accounts": [{{"name": "farmers", "rate": "1000/s", "burst": 1000}}]
            }}"#,
            target.address()
        );
        let faulty = Arc::new(Faulty::new());
        store(&faulty, &fleet).await;
        let platform = Server::bind(any_port, Arc::clone(&faulty)).await?;
        let mut hosts = Vec::new();
        for (name, data_centre) in [("entry-1", "lake-1"), ("entry-2", "hill-1")] {
            let config = Config {
                binary: env!("CARGO_BIN_EXE_toucanhoist").into(),
                name: name.into(),
                data_centre: data_centre.into(),
                platform: platform.address(),
                log_level: "info",
            };
            hosts.push(Host::spawn(config).await?);
        }
        faulty.memory().set_hosts(hosts.iter().map(Host::listed).collect());
        for host in &hosts {
            host.wait_until_ready(2).await?;
        }
        Ok(Cluster { hosts, targets: vec![target], _platform: platform })
    }

    async fn get(&self, host: usize, path: &str, key: &str) -> (StatusCode, Value) {
        let request = Request::builder()
            .uri(path)
            .header("host", "callers")
            .header("authorization", format!("Bearer {key}"))
            .body(Full::new(Bytes::new()))
            .expect("valid request");
        let answer = send(self.hosts[host].addresses().callers, request).await.expect("an answer");
        let status = answer.status();
        let content = answer.into_body().collect().await.expect("a complete answer").to_bytes();
        (status, serde_json::from_slice(&content).expect("valid JSON"))
    }
}

async fn store(platform: &Faulty, fleet: &str) {
    let change = fleet::Change {
        revision: 1.into(),
        change: 1.into(),
        author: "test".into(),
        reason: "test".into(),
        fleet: Fleet::from_json(fleet).expect("valid fleet"),
    };
    let grant = Grant {
        account: "farmers".parse().expect("valid name"),
        author: "test".into(),
        withdrawn: false,
    };
    let digest = Digest::of(KEY.as_bytes()).to_string();
    let value = serde_json::to_string(&grant).expect("valid JSON");
    let mut writes = fleet::writes(&change);
    writes.push(Write::put("keys", &digest, value.into()));
    let transaction = Transaction { checks: Vec::new(), writes };
    platform.transact(transaction).await.expect("the platform is up");
}

#[tokio::test]
async fn a_request_crosses_to_the_data_centre_with_the_target() {
    let cluster = Cluster::spawn().await.expect("the cluster starts");
    let (status, found) = cluster.get(0, "/lookup?service=curves&client=10.1.2.3", KEY).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(found["entry_hosts"][0]["name"], "entry-1");

    let (status, report) = cluster.get(0, "/curves/plot-7", KEY).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(report["target"], "curves-1");
    assert!(!report.to_string().contains(KEY), "the target saw the caller's key: {report}");

    let (status, problem) = cluster.get(0, "/curves/plot-7", "wrong").await;
    assert_eq!(status, StatusCode::UNAUTHORIZED);
    assert_eq!(problem["code"], "key-refused");
    assert_eq!(problem["verdict"], "not-run");
    let runs = cluster.targets[0].counters().runs.load(std::sync::atomic::Ordering::Relaxed);
    assert_eq!(runs, 1);
}
