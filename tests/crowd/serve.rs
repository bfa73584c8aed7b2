//! Crowds against an entry host on the product's own platform.

use std::{
    env, fs,
    net::SocketAddr,
    os::unix::fs::PermissionsExt,
    path::PathBuf,
    process,
    sync::atomic::{AtomicU32, Ordering},
};

use {
    rstest::rstest,
    serde_json::json,
    toucanhoist::host::{accounts::Grant, fleet},
    toucanhoist_core::{fleet::Fleet, key::Digest},
    toucanhoist_fakes::{
        cluster::{Cluster, Config, Node},
        process::{Addresses, OPERATOR_TOKEN},
    },
    toucanhoist_store::Write,
};

use crate::{
    CONNECTIONS, TURN,
    callers::{Calls, Crowd, Script, ask, attempt},
    chunk,
    process::{Descriptors, Queues, peak_kb, wait_until_settled},
    script, target,
};

/// Memory of the smallest machine, in MB, and the bound on that of the process.
const MEMORY_MB: u64 = 260;
/// Descriptors that the system gives the process.
const DESCRIPTORS: usize = 512;
/// Descriptors that must be left for connections to targets, the platform and other hosts.
const DESCRIPTORS_LEFT: usize = 64;
/// Key of the only account.
const KEY: &str = "key-of-the-technicians";

/// Starts one host, a target for ordinary callers, and one for the crowd.
async fn spawn() -> Cluster {
    let config = Config {
        binary: limited_binary(),
        hosts: vec![Node::new("entry-1", "hill-1")],
        targets: vec![Node::new("cuts-1", "hill-1")],
        log_level: "info",
    };
    let crowd = target::spawn().await;
    let rows = |targets: &[SocketAddr]| rows("hill-1", &[targets[0], crowd]);
    let cluster = Cluster::spawn(config, rows).await.expect("the cluster starts");
    serves(&cluster).await;
    cluster
}

/// Returns a program that starts the host with few descriptors.
fn limited_binary() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let path = env::temp_dir().join(format!("toucanhoist-crowd-{}-{number}.sh", process::id()));
    let binary = env!("CARGO_BIN_EXE_toucanhoist");
    let script = format!("#!/bin/sh\nulimit -n {DESCRIPTORS}\nexec {binary} \"$@\"\n");
    fs::write(&path, script).expect("the script is writable");
    fs::set_permissions(&path, fs::Permissions::from_mode(0o700)).expect("its mode can be set");
    path
}

fn rows(data_centre: &str, targets: &[SocketAddr]) -> Vec<Write> {
    let route = |service: &str, path: &str, methods: &[&str], repeatable: bool| {
        json!({"service": service, "path": path, "methods": methods, "access": "keyed",
            "repeatable": repeatable, "deadline": "60s"})
    };
    let target = |service: &str, address: SocketAddr| {
        json!({"name": format!("{service}-1"), "service": service, "data_centre": data_centre,
            "address": address})
    };
    let fleet = json!({
        "defaults": {"slots": 1_000, "connections": 2_000},
        "regions": [
            {"name": "hill", "data_centres": ["hill-1"]},
            {"name": "lake", "data_centres": ["lake-1"]},
        ],
        "client_blocks": [{"block": "10.1.0.0/16", "home": "hill-1"}],
        "services": [{"name": "cuts"}, {"name": "crowd"}],
        "targets": [target("cuts", targets[0]), target("crowd", targets[1])],
        "routes": [
            route("cuts", "/records", &["POST"], false), route("cuts", "/", &["GET"], true),
            route("crowd", "/", &["GET"], true),
        ],
        "accounts": [{"name": "technicians", "rate": "100000/s", "burst": 100_000}],
    });
    let change = fleet::Change {
        revision: 1.into(),
        change: 1.into(),
        author: "test".into(),
        reason: "test".into(),
        fleet: Fleet::from_json(&fleet.to_string()).expect("a valid fleet"),
    };
    let account = "technicians".parse().expect("a valid name");
    let grant = Grant { account, author: "test".into(), withdrawn: false };
    let digest = Digest::of(KEY.as_bytes()).to_string();
    let value = serde_json::to_string(&grant).expect("valid JSON");
    let mut writes = fleet::writes(&change);
    writes.push(Write::put("keys", &digest, value.into()));
    writes
}

/// Returns a request that the crowd's target answers.
fn get(path: &str) -> String {
    format!("GET /crowd/{path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\r\n")
}

/// Asks for what ordinary callers and operators ask for; panics if one of them gets no answer.
async fn serves(cluster: &Cluster) {
    let addresses = cluster.hosts[0].addresses();
    let get = format!("GET /cuts/a HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\r\n");
    ask(addresses.callers, &get, 200).await;
    ask(addresses.operators, "GET /ready HTTP/1.1\r\nhost: a\r\n\r\n", 200).await;
}

/// What the process of the first host uses.
struct Usage {
    pid: u32,
    descriptors: Descriptors,
    queues: Queues,
}

impl Usage {
    fn watch(cluster: &Cluster) -> Usage {
        let pid = cluster.hosts[0].pid().expect("a process that runs");
        let Addresses { callers, operators, peers } = cluster.hosts[0].addresses();
        let queues = Queues::watch(vec![callers, operators, peers]);
        Usage { pid, descriptors: Descriptors::watch(pid), queues }
    }

    /// Checks that the process lives within its machine.
    fn check(&self) {
        let peak_kb = peak_kb(self.pid).expect("a process that runs");
        let kernel_kb = self.queues.most_kb();
        let (open, allowed) = (self.descriptors.most(), DESCRIPTORS - DESCRIPTORS_LEFT);
        let (own_mb, kernel_mb) = (peak_kb / 1_024, kernel_kb / 1_024);
        println!("{own_mb} MB, {kernel_mb} MB in the kernel, {open} descriptors");
        assert!(
            peak_kb + kernel_kb <= MEMORY_MB * 1_024,
            "{own_mb} MB and {kernel_mb} MB in the kernel, {MEMORY_MB} allowed"
        );
        assert!(open <= allowed, "{open} descriptors, {allowed} allowed");
    }
}

async fn meet(cluster: &mut Cluster, address: SocketAddr, count: usize, script: &Script) {
    cluster.hosts[0].discard_lines();
    let usage = Usage::watch(cluster);
    let crowd = Crowd::gather(address, count, script).await;
    wait_until_settled(usage.pid).await;
    usage.check();
    serves(cluster).await;
    drop(crowd);
    serves(cluster).await;
    usage.check();
}

#[rstest]
#[case::callers(|a: Addresses| a.callers, "")]
#[case::callers_with_part_of_a_head(|a: Addresses| a.callers, "GET /")]
#[case::operators(|a: Addresses| a.operators, "")]
#[case::operators_with_part_of_a_head(|a: Addresses| a.operators, "GET /")]
#[case::peers(|a: Addresses| a.peers, "")]
#[case::peers_with_a_preface(|a: Addresses| a.peers, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_at_serve_of_connections(
    #[case] port: fn(Addresses) -> SocketAddr,
    #[case] beginning: &str,
) {
    let _turn = TURN.lock().await;
    let mut cluster = spawn().await;
    let address = port(cluster.hosts[0].addresses());
    let script = script(beginning, "", 0);
    meet(&mut cluster, address, CONNECTIONS, &script).await;
}

#[rstest]
#[case::stated("content-length: 1000000", "a", 990_000)]
#[case::chunked("transfer-encoding: chunked", chunk(4_096), 990_000)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_at_serve_of_submissions(
    #[case] framing: &str,
    #[case] repeated: String,
    #[case] length: usize,
) {
    let _turn = TURN.lock().await;
    let mut cluster = spawn().await;
    let beginning = format!(
        "POST /cuts/records HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
         idempotency-key: cut\r\n{framing}\r\n\r\n"
    );
    let script = script(&beginning, &repeated, length);
    let callers = cluster.hosts[0].addresses().callers;
    meet(&mut cluster, callers, 400, &script).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_at_serve_of_long_paths() {
    let _turn = TURN.lock().await;
    let mut cluster = spawn().await;
    let path = "a".repeat(30_000);
    let request = format!("POST /cuts/{path} HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n");
    let length = 200 * request.len();
    let script = script("", &request, length);
    let callers = cluster.hosts[0].addresses().callers;
    meet(&mut cluster, callers, 60, &script).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_at_serve_of_unread_answers() {
    let _turn = TURN.lock().await;
    let mut cluster = spawn().await;
    let callers = cluster.hosts[0].addresses().callers;
    meet(&mut cluster, callers, CONNECTIONS, &script(&get("large"), "", 0)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_at_serve_of_endless_heads_of_answers() {
    let _turn = TURN.lock().await;
    let mut cluster = spawn().await;
    let callers = cluster.hosts[0].addresses().callers;
    meet(&mut cluster, callers, CONNECTIONS, &script(&get("head"), "", 0)).await;
}

/// Answers that wait to be sent, on connections that were fast before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_at_serve_of_answers_that_wait_to_be_sent() {
    let _turn = TURN.lock().await;
    let mut cluster = spawn().await;
    let callers = cluster.hosts[0].addresses().callers;
    let large = get("large");
    let script =
        Script { read: 4 * target::LARGE_BYTES, ..script(&large.repeat(4), &large, 8_000) };
    meet(&mut cluster, callers, 250, &script).await;
}

/// Bodies of operators' requests, which carry the operators' token.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_at_serve_of_bodies_of_operators() {
    let _turn = TURN.lock().await;
    let mut cluster = spawn().await;
    let operators = cluster.hosts[0].addresses().operators;
    let beginning = format!(
        "PUT /configuration HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {OPERATOR_TOKEN}\r\n\
         content-length: 200000000\r\n\r\n"
    );
    meet(&mut cluster, operators, 20, &script(&beginning, "a", 30_000_000)).await;
}

/// Messages without end to the port for hosts, without the fleet's secret.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_at_serve_of_messages_without_the_secret() {
    let _turn = TURN.lock().await;
    let cluster = spawn().await;
    let usage = Usage::watch(&cluster);
    let peers = cluster.hosts[0].addresses().peers;
    let mut calls = Vec::new();
    for _ in 0..10 {
        calls.push(Calls::begin(peers, 50, 2_000_000).await);
    }
    wait_until_settled(usage.pid).await;
    usage.check();
    serves(&cluster).await;
    drop(calls);
    serves(&cluster).await;
    usage.check();
}

/// A forwarded request is answered although its host's port for hosts becomes full.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_at_serve_beside_a_forwarded_request() {
    let _turn = TURN.lock().await;
    let config = Config {
        binary: limited_binary(),
        hosts: vec![Node::new("entry-1", "hill-1"), Node::new("entry-2", "lake-1")],
        targets: vec![Node::new("cuts-1", "lake-1")],
        log_level: "info",
    };
    let rows = |targets: &[SocketAddr]| rows("lake-1", &[targets[0], targets[0]]);
    let cluster = Cluster::spawn(config, rows).await.expect("the cluster starts");
    let [near, far] = [0, 1].map(|index| cluster.hosts[index].addresses());
    let get = |path: &str| {
        format!("GET /cuts/{path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\r\n")
    };
    ask(near.callers, &get("a"), 200).await;
    let slow = get("a?delay_ms=5000");
    let crowd = script("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "", 0);
    let (answer, _crowd) = tokio::join!(attempt(near.callers, &slow), async {
        while cluster.targets[0].counters().running.load(Ordering::Relaxed) == 0 {
            tokio::task::yield_now().await;
        }
        Crowd::gather(far.peers, CONNECTIONS, &crowd).await
    });
    let answer = answer.expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}
