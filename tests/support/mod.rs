//! A cluster in two data centres, for tests of submissions with processes.

#![allow(dead_code)]

use std::{io, net::SocketAddr, time::Duration};

use {
    bytes::Bytes,
    http::{HeaderMap, Request, StatusCode},
    http_body_util::{BodyExt, Full},
    serde_json::{Value, json},
    toucanhoist::host::{accounts::Grant, fleet},
    toucanhoist_core::{fleet::Fleet, key::Digest},
    toucanhoist_fakes::{
        cluster::{Cluster, Config, Node},
        process::send,
    },
    toucanhoist_store::Write,
};

/// Key of the only account.
pub const KEY: &str = "key-of-the-technicians";

const SERVED_TIMEOUT: Duration = Duration::from_secs(30);

/// A complete answer as a caller received it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body as JSON; null if it is not JSON.
    pub content: Value,
    /// Body as received.
    pub bytes: Bytes,
}

impl Answer {
    /// Returns the verdict.
    pub fn verdict(&self) -> &str {
        self.headers.get("toucanhoist-verdict").map_or("", |value| value.to_str().unwrap_or(""))
    }

    /// Returns the code of a refusal.
    pub fn code(&self) -> &str {
        self.content["code"].as_str().unwrap_or("")
    }
}

/// Starts entry hosts in two data centres, with targets in the second.
pub async fn spawn_cluster(hosts: usize, targets: usize) -> io::Result<Cluster> {
    let entry_host = |i: usize| {
        Node::new(&format!("entry-{}", i + 1), if i % 2 == 0 { "lake-1" } else { "hill-1" })
    };
    let target = |i: usize| Node::new(&format!("cuts-{}", i + 1), "hill-1");
    let config = Config {
        binary: env!("CARGO_BIN_EXE_toucanhoist").into(),
        hosts: (0..hosts).map(entry_host).collect(),
        targets: (0..targets).map(target).collect(),
        log_level: "info",
    };
    let cluster = Cluster::spawn(config, rows).await?;
    wait_until_targets_serve(&cluster).await?;
    Ok(cluster)
}

/// Waits until a read succeeds through the first host: a new owner of targets listens for digests of
/// earlier owners before it assigns slots.
async fn wait_until_targets_serve(cluster: &Cluster) -> io::Result<()> {
    let polling = async {
        loop {
            let request = Request::builder()
                .uri("/cuts/warm")
                .header("host", "callers")
                .header("authorization", format!("Bearer {KEY}"))
                .body(Full::new(Bytes::new()))
                .map_err(io::Error::other)?;
            let answer = exchange(cluster.hosts[0].addresses().callers, request).await?;
            if answer.status == StatusCode::OK {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(SERVED_TIMEOUT, polling).await.map_err(io::Error::other)?
}

fn rows(targets: &[SocketAddr]) -> Vec<Write> {
    let target = |(i, address): (usize, &SocketAddr)| {
        json!({
            "name": format!("cuts-{}", i + 1), "service": "cuts", "data_centre": "hill-1",
            "address": address,
        })
    };
    let targets: Vec<Value> = targets.iter().enumerate().map(target).collect();
    let fleet = json!({
        "regions": [
            {"name": "lake", "data_centres": ["lake-1"]},
            {"name": "hill", "data_centres": ["hill-1"]},
        ],
        "client_blocks": [{"block": "10.1.0.0/16", "home": "lake-1"}],
        "services": [{"name": "cuts"}],
        "targets": targets,
        "routes": [
            {
                "service": "cuts", "path": "/records", "methods": ["POST"],
                "access": "keyed", "repeatable": false, "deadline": "2s",
            },
            {
                "service": "cuts", "path": "/", "methods": ["GET"],
                "access": "keyed", "repeatable": true, "deadline": "2s",
            },
        ],
        "accounts": [{"name": "technicians", "rate": "100000/s", "burst": 100000}],
    });
    let change = fleet::Change {
        revision: 1.into(),
        change: 1.into(),
        author: "test".into(),
        reason: "test".into(),
        fleet: Fleet::from_json(&fleet.to_string()).expect("valid fleet"),
    };
    let grant = Grant {
        account: "technicians".parse().expect("valid name"),
        author: "test".into(),
        withdrawn: false,
    };
    let digest = Digest::of(KEY.as_bytes()).to_string();
    let mut writes = fleet::writes(&change);
    let value = serde_json::to_string(&grant).expect("valid JSON");
    writes.push(Write::put("keys", &digest, value.into()));
    writes
}

/// Returns the request of a submission.
pub fn submission(key: &str, query: &str, content: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method("POST")
        .uri(format!("/cuts/records?{query}"))
        .header("host", "callers")
        .header("authorization", format!("Bearer {KEY}"))
        .header("idempotency-key", key)
        .body(Full::new(Bytes::copy_from_slice(content.as_bytes())))
        .expect("valid request")
}

/// Sends a submission to an entry host.
pub async fn submit(cluster: &Cluster, host: usize, key: &str, query: &str) -> io::Result<Answer> {
    let request = submission(key, query, "42 decitonnes");
    exchange(cluster.hosts[host].addresses().callers, request).await
}

/// Sends a request on a new connection and reads the complete answer.
pub async fn exchange(address: SocketAddr, request: Request<Full<Bytes>>) -> io::Result<Answer> {
    let answer = send(address, request).await?;
    let (parts, body) = answer.into_parts();
    let bytes = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let content = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    Ok(Answer { status: parts.status, headers: parts.headers, content, bytes })
}

/// Resends a submission until the answer's code is not `code`.
pub async fn resend_while(cluster: &Cluster, host: usize, key: &str, code: &str) -> Answer {
    loop {
        let answer = submit(cluster, host, key, "").await.expect("an answer");
        if answer.code() != code {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Returns how often the targets ran a submission.
pub fn runs(cluster: &Cluster, key: &str) -> u32 {
    let runs_of = |target: &toucanhoist_fakes::target::Server| {
        target.counters().runs_by_key().get(key).copied().unwrap_or(0)
    };
    cluster.targets.iter().map(runs_of).sum()
}
