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
        process::Addresses,
    },
    toucanhoist_store::Write,
};

use crate::{
    CONNECTIONS, TURN,
    callers::{Crowd, Script, ask},
    chunk,
    process::{Descriptors, peak_kb, wait_until_settled},
};

/// Memory of the smallest machine, in MB, and the bound on that of the process.
const MEMORY_MB: u64 = 260;
/// Descriptors that the system gives the process.
const DESCRIPTORS: usize = 512;
/// Descriptors that must be left for connections to targets, the platform and other hosts.
const DESCRIPTORS_LEFT: usize = 64;
/// Key of the only account.
const KEY: &str = "key-of-the-technicians";

/// Starts one host and one target.
async fn spawn() -> Cluster {
    let config = Config {
        binary: limited_binary(),
        hosts: vec![Node::new("entry-1", "hill-1")],
        targets: vec![Node::new("cuts-1", "hill-1")],
        log_level: "info",
    };
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

fn rows(targets: &[SocketAddr]) -> Vec<Write> {
    let route = |path: &str, methods: &[&str], repeatable: bool| {
        json!({"service": "cuts", "path": path, "methods": methods, "access": "keyed",
            "repeatable": repeatable, "deadline": "60s"})
    };
    let fleet = json!({
        "regions": [{"name": "hill", "data_centres": ["hill-1"]}],
        "client_blocks": [{"block": "10.1.0.0/16", "home": "hill-1"}],
        "services": [{"name": "cuts"}],
        "targets": [{"name": "cuts-1", "service": "cuts", "data_centre": "hill-1",
            "address": targets[0]}],
        "routes": [route("/records", &["POST"], false), route("/", &["GET"], true)],
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

/// Asks for what ordinary callers and operators ask for; panics if one of them gets no answer.
async fn serves(cluster: &Cluster) {
    let addresses = cluster.hosts[0].addresses();
    let get = format!("GET /cuts/a HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\r\n");
    ask(addresses.callers, &get, 200).await;
    ask(addresses.operators, "GET /ready HTTP/1.1\r\nhost: a\r\n\r\n", 200).await;
}

/// Checks that the process lives within its machine.
fn check(cluster: &Cluster, descriptors: &Descriptors) {
    let pid = cluster.hosts[0].pid().expect("a process that runs");
    let peak_kb = peak_kb(pid).expect("a process that runs");
    let (open, allowed) = (descriptors.most(), DESCRIPTORS - DESCRIPTORS_LEFT);
    println!("{} MB, {open} descriptors", peak_kb / 1_024);
    assert!(peak_kb <= MEMORY_MB * 1_024, "{} MB, {MEMORY_MB} allowed", peak_kb / 1_024);
    assert!(open <= allowed, "{open} descriptors, {allowed} allowed");
}

async fn meet(cluster: &mut Cluster, address: SocketAddr, count: usize, script: &Script) {
    cluster.hosts[0].discard_lines();
    let pid = cluster.hosts[0].pid().expect("a process that runs");
    let descriptors = Descriptors::watch(pid);
    let crowd = Crowd::gather(address, count, script).await;
    wait_until_settled(pid).await;
    check(cluster, &descriptors);
    serves(cluster).await;
    drop(crowd);
    serves(cluster).await;
    check(cluster, &descriptors);
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
    let script = Script { beginning: beginning.into(), repeated: String::new(), length: 0 };
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
    let script = Script { beginning, repeated, length };
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
    let script = Script { beginning: String::new(), repeated: request, length };
    let callers = cluster.hosts[0].addresses().callers;
    meet(&mut cluster, callers, 60, &script).await;
}
