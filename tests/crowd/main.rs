//! Crowds of clients that do not keep to the protocol, against the system's own processes.
//!
//! Each test states its crowd, the limits of the machine, and bounds that follow from these. It checks that the process
//! lives, that its memory and descriptors stay under the bounds, and that an ordinary request is answered beside the
//! crowd and afterwards. Time decides nothing but that a test is given up as hung. One test runs at a time.

#![allow(missing_docs, reason = "the modules of one test")]

use std::{net::SocketAddr, sync::atomic::Ordering, time::Duration};

use {rstest::rstest, tokio::sync::Mutex};

use crate::{
    addresses::Addresses,
    callers::{Script, drip},
    edge::{FEW_DESCRIPTORS, Host, LITTLE_MEMORY, Log},
};

#[path = "../common/addresses.rs"]
mod addresses;
mod callers;
mod datagrams;
mod edge;
mod process;
mod serve;
#[allow(dead_code, reason = "faults are for another test")]
#[path = "../soak/store.rs"]
mod store;
mod target;

/// Held by the test that runs.
static TURN: Mutex<()> = Mutex::const_new(());

/// Callers of one crowd.
const CALLERS: usize = 200;
/// Callers of one crowd whose requests reach a target.
const REQUESTS: usize = 250;
/// Connections of a crowd that takes up all descriptors of the machine.
const CONNECTIONS: usize = 900;

fn script(beginning: &str, repeated: &str, length: usize) -> Script {
    let beginning = beginning.to_owned().into();
    Script { beginning, read: 0, repeated: repeated.into(), length }
}

/// Returns a chunk of a body.
fn chunk(bytes: usize) -> String {
    format!("{bytes:x}\r\n{}\r\n", "a".repeat(bytes))
}

/// Returns a request that waits, with a head of the shortest fields.
fn many_fields() -> String {
    let fields = "a:\r\n".repeat(4_000);
    format!("GET /reads/wait HTTP/1.1\r\nhost: site.example\r\n{fields}\r\n")
}

/// Returns requests that are answered, and so long that a host reads much at once, and one that waits.
fn pipelined() -> String {
    let field = "a".repeat(15_000);
    let answered = format!("GET /none/a HTTP/1.1\r\nhost: site.example\r\nx-a: {field}\r\n\r\n");
    answered.repeat(30) + "GET /reads/wait HTTP/1.1\r\nhost: site.example\r\n\r\n"
}

#[rstest]
#[case::one_field(CALLERS, "GET /reads/a HTTP/1.1\r\nhost: site.example\r\nx-a: ", "a", 380_000)]
#[case::one_line(CALLERS, "GET /reads/", "a", 380_000)]
#[case::empty_lines(CALLERS, "", "\r\n", 380_000)]
#[case::stated_bodies(
    CALLERS,
    "POST /writes/a HTTP/1.1\r\nhost: site.example\r\ncontent-length: 1000000\r\n\r\n",
    "a",
    990_000
)]
#[case::chunked_bodies(
    CALLERS,
    "POST /writes/a HTTP/1.1\r\nhost: site.example\r\ntransfer-encoding: chunked\r\n\r\n",
    chunk(4_096),
    990_000
)]
#[case::bodies_without_route(
    CALLERS,
    "POST /none/a HTTP/1.1\r\nhost: site.example\r\ncontent-length: 1000000\r\n\r\n",
    "a",
    990_000
)]
#[case::pipelined_requests(60, pipelined(), "GET / HTTP/1.1\r\n\r\n", 600_000)]
#[case::unread_answers(REQUESTS, "GET /reads/large HTTP/1.1\r\nhost: site.example\r\n\r\n", "", 0)]
#[case::endless_heads_of_answers(
    REQUESTS,
    "GET /reads/head HTTP/1.1\r\nhost: site.example\r\n\r\n",
    "",
    0
)]
#[case::many_fields(CALLERS, many_fields(), "", 0)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_callers_within_memory(
    #[case] count: usize,
    #[case] beginning: String,
    #[case] repeated: String,
    #[case] length: usize,
) {
    let _turn = TURN.lock().await;
    let mut host = Host::spawn(LITTLE_MEMORY, Log::Discarded).await;
    let callers = host.addresses.callers;
    host.meet(&[callers], count, &script(&beginning, &repeated, length)).await;
}

#[rstest]
#[case::callers(|a: &Addresses| vec![a.callers])]
#[case::directory(|a: &Addresses| vec![a.directory])]
#[case::readiness(|a: &Addresses| vec![a.readiness])]
#[case::metrics(|a: &Addresses| vec![a.metrics])]
#[case::peers(|a: &Addresses| vec![a.peers])]
#[case::all(|a: &Addresses| vec![a.callers, a.directory, a.readiness, a.metrics, a.peers])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_connections_within_descriptors(
    #[case] ports: fn(&Addresses) -> Vec<SocketAddr>,
    #[values("", "GET /")] beginning: &str,
) {
    let _turn = TURN.lock().await;
    let mut host = Host::spawn(FEW_DESCRIPTORS, Log::Discarded).await;
    let addresses = ports(&host.addresses);
    let count = CONNECTIONS / addresses.len();
    host.meet(&addresses, count, &script(beginning, "", 0)).await;
}

#[rstest]
#[case::field("GET /reads/a HTTP/1.1\r\nhost: site.example\r\nx-a: ", "a")]
#[case::empty_lines("", "\r\n")]
#[case::behind_a_body(
    "POST /calm/a HTTP/1.1\r\nhost: site.example\r\ncontent-length: 1\r\n\r\na\
     GET /reads/a HTTP/1.1\r\nx-a: ",
    "a"
)]
#[case::body_of_years(
    "POST /short/a HTTP/1.1\r\nhost: site.example\r\nx-remaining-ms: 99999999999999\r\n\
     transfer-encoding: chunked\r\n\r\n",
    "1\r\na\r\n"
)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_slow_senders_ends(#[case] beginning: &str, #[case] repeated: &str) {
    let _turn = TURN.lock().await;
    let mut host = Host::spawn(LITTLE_MEMORY, Log::Discarded).await;
    drip(host.addresses.callers, beginning, repeated, Duration::from_millis(20)).await;
    host.serves().await;
    host.check();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_long_identifiers_with_an_unread_log() {
    let _turn = TURN.lock().await;
    let mut host = Host::spawn(LITTLE_MEMORY, Log::Unread).await;
    let request = format!(
        "GET /none/a HTTP/1.1\r\nhost: site.example\r\nx-request-id: {}\r\n\r\n",
        "a".repeat(15_000)
    );
    let callers = host.addresses.callers;
    host.meet(&[callers], 60, &script("", &request, 100 * request.len())).await;
}

/// Refusals that nobody reads, with more requests behind them than a host reads.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_unread_refusals_within_memory() {
    let _turn = TURN.lock().await;
    let mut host = Host::spawn(LITTLE_MEMORY, Log::Discarded).await;
    let request = format!(
        "GET /none/a HTTP/1.1\r\nhost: site.example\r\nx-request-id: {}\r\n\r\n",
        "a".repeat(4_000)
    );
    let callers = host.addresses.callers;
    host.meet(&[callers], 500, &script("", &request, 200 * request.len())).await;
}

/// Answers that wait to be sent, on connections that were fast before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_answers_that_wait_to_be_sent_within_memory() {
    let _turn = TURN.lock().await;
    let mut host = Host::spawn(LITTLE_MEMORY, Log::Discarded).await;
    let request = "GET /reads/large HTTP/1.1\r\nhost: site.example\r\n\r\n";
    let script = Script {
        read: 4 * target::LARGE_BYTES,
        ..script(&request.repeat(4), request, 100 * request.len())
    };
    let callers = host.addresses.callers;
    host.meet(&[callers], 60, &script).await;
}

/// Snapshots of a large registry that nobody reads.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_unread_snapshots_within_memory() {
    let _turn = TURN.lock().await;
    let mut host = Host::spawn(LITTLE_MEMORY, Log::Discarded).await;
    host.register_targets(5_000).await;
    let peers = host.addresses.peers;
    let request = "GET /registry HTTP/1.1\r\nhost: peer\r\n\r\n";
    host.meet(&[peers], CALLERS, &script(request, "", 0)).await;
}

/// A snapshot without end, from a host that says that it knows more.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_a_snapshot_without_end_within_memory() {
    let _turn = TURN.lock().await;
    let mut host = Host::spawn(LITTLE_MEMORY, Log::Discarded).await;
    let (address, connections) = target::spawn_endless().await;
    while connections.load(Ordering::Relaxed) == 0 {
        datagrams::send(host.addresses.peers, 1, |_| datagrams::newer_host(address)).await;
        host.serves().await;
    }
    host.settle().await;
    host.check();
    host.serves().await;
}

/// Datagrams that name many hosts or targets, or that unpack to far more than they are.
#[rstest]
#[case::members(datagrams::members, 20_000)]
#[case::fingerprints(datagrams::suspicions, 20_000)]
#[case::changes(datagrams::changes, 3)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowd_of_datagrams_within_memory(
    #[case] datagram: fn(u32) -> Vec<u8>,
    #[case] count: u32,
) {
    let _turn = TURN.lock().await;
    let mut host = Host::spawn(LITTLE_MEMORY, Log::Discarded).await;
    datagrams::send(host.addresses.peers, count, datagram).await;
    host.settle().await;
    host.check();
    host.serves().await;
    host.check();
}
