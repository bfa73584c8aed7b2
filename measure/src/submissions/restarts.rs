//! Rolling restarts of processes under load.

use std::{
    error::Error,
    io,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Request, client::conn::http1, header},
    hyper_util::rt::TokioIo,
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    serde_json::{Value, json},
    tokio::{net::TcpStream, runtime, time},
    toucanhoist::host::{accounts::Grant, fleet},
    toucanhoist_core::{fleet::Fleet, key::Digest},
    toucanhoist_fakes::{
        cluster::{Cluster, Config, Node},
        process::Signal,
    },
    toucanhoist_store::Write,
};

const KEY: &str = "key-of-the-technicians";
const HOSTS: usize = 8;
const TARGETS: usize = 8;
const CALLERS: usize = 24;
const RESTARTS: u32 = 50;
/// Hosts that restart at the same time, one in each data centre.
const AT_ONCE: usize = 2;
const RESEND_PAUSE: Duration = Duration::from_millis(50);
const SENDS_MAX: u32 = 400;

/// Outcomes of the submissions, from the callers' answers and the targets' counters.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Restarts {
    pub restarts: u32,
    pub submissions: usize,
    pub answered: usize,
    pub refused: usize,
    pub open: usize,
    pub interrupted: usize,
    pub doubled: usize,
    pub lost: usize,
}

/// State that all callers share.
struct Load {
    addresses: Mutex<Vec<SocketAddr>>,
    stopped: AtomicBool,
    submissions: AtomicUsize,
    answered: AtomicUsize,
    refused: AtomicUsize,
    open: AtomicUsize,
    interrupted: AtomicUsize,
    answered_keys: Mutex<Vec<String>>,
}

/// Outcome of one send.
enum SendOutcome {
    Answered {
        closes: bool,
    },
    Refused {
        closes: bool,
    },
    Open,
    /// The connection closed after the request had been sent and before the answer was complete.
    Interrupted,
    /// The request was not sent, since no connection could be opened or an idle one was closed.
    NotSent,
}

pub(super) fn run(seed: u64) -> Result<Restarts, Box<dyn Error>> {
    runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?
        .block_on(restart_all(seed))
}

async fn restart_all(seed: u64) -> Result<Restarts, Box<dyn Error>> {
    let data_centre = |i: usize| if i % 2 == 0 { "lake-1" } else { "hill-1" };
    let config = Config {
        binary: binary()?,
        hosts: (0..HOSTS).map(|i| Node::new(&format!("entry-{}", i + 1), data_centre(i))).collect(),
        targets: (0..TARGETS)
            .map(|i| Node::new(&format!("cuts-{}", i + 1), data_centre(i)))
            .collect(),
        // The log line with the addresses of a host is at this level.
        log_level: "info",
    };
    let mut cluster = Cluster::spawn(config, rows).await?;
    let load = Arc::new(Load {
        addresses: Mutex::new(addresses(&cluster)),
        stopped: AtomicBool::new(false),
        submissions: AtomicUsize::new(0),
        answered: AtomicUsize::new(0),
        refused: AtomicUsize::new(0),
        open: AtomicUsize::new(0),
        interrupted: AtomicUsize::new(0),
        answered_keys: Mutex::new(Vec::new()),
    });
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| tokio::spawn(run_caller(Arc::clone(&load), seed, caller)))
        .collect();
    time::sleep(Duration::from_millis(500)).await;
    let mut restarts = 0;
    while restarts < RESTARTS {
        restarts += restart_some(&mut cluster, &load, restarts as usize).await?;
        eprintln!("{restarts} of {RESTARTS} restarts");
    }
    time::sleep(Duration::from_millis(500)).await;
    load.stopped.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await?;
    }
    Ok(count(&cluster, &load, restarts))
}

/// Restarts some hosts gracefully, as a rolling update does.
async fn restart_some(
    cluster: &mut Cluster,
    load: &Load,
    first: usize,
) -> Result<u32, Box<dyn Error>> {
    let chosen: Vec<usize> = (0..AT_ONCE).map(|i| (first + i) % HOSTS).collect();
    // Callers look hosts up, and a look-up no longer returns a leaving host.
    let is_returned = |index: &usize| !chosen.contains(index);
    let remaining =
        (0..HOSTS).filter(is_returned).map(|i| cluster.hosts[i].addresses().callers).collect();
    *load.addresses.lock().unwrap_or_else(PoisonError::into_inner) = remaining;
    for index in &chosen {
        cluster.hosts[*index].signal(Signal::SIGTERM)?;
    }
    for index in &chosen {
        if cluster.hosts[*index].wait().await? != Some(0) {
            return Err("a host did not exit with code 0".into());
        }
    }
    for index in &chosen {
        cluster.replace(*index).await?;
    }
    *load.addresses.lock().unwrap_or_else(PoisonError::into_inner) = addresses(cluster);
    Ok(AT_ONCE as u32)
}

fn addresses(cluster: &Cluster) -> Vec<SocketAddr> {
    cluster.hosts.iter().map(|host| host.addresses().callers).collect()
}

fn count(cluster: &Cluster, load: &Load, restarts: u32) -> Restarts {
    let mut runs = std::collections::HashMap::new();
    for target in &cluster.targets {
        for (key, times) in target.counters().runs_by_key() {
            *runs.entry(key).or_insert(0) += times;
        }
    }
    let answered = load.answered_keys.lock().unwrap_or_else(PoisonError::into_inner);
    Restarts {
        restarts,
        submissions: load.submissions.load(Ordering::SeqCst),
        answered: load.answered.load(Ordering::SeqCst),
        refused: load.refused.load(Ordering::SeqCst),
        open: load.open.load(Ordering::SeqCst),
        interrupted: load.interrupted.load(Ordering::SeqCst),
        doubled: runs.values().filter(|times| **times > 1).count(),
        lost: answered.iter().filter(|key| !runs.contains_key(key.as_str())).count(),
    }
}

/// Sends one submission after the other, on one connection until it is closed.
async fn run_caller(load: Arc<Load>, seed: u64, caller: usize) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed ^ caller as u64);
    let mut connection = None;
    for i in 0.. {
        if load.stopped.load(Ordering::SeqCst) {
            return;
        }
        load.submissions.fetch_add(1, Ordering::SeqCst);
        let key = format!("cut-{caller}-{i}");
        for _ in 0..SENDS_MAX {
            let address = {
                let addresses = load.addresses.lock().unwrap_or_else(PoisonError::into_inner);
                addresses[rng.random_range(0..addresses.len())]
            };
            let outcome = send(&mut connection, address, &key).await;
            if matches!(
                outcome,
                SendOutcome::Answered { closes: true }
                    | SendOutcome::Refused { closes: true }
                    | SendOutcome::Interrupted
            ) {
                connection = None;
            }
            match outcome {
                SendOutcome::Answered { .. } => {
                    load.answered.fetch_add(1, Ordering::SeqCst);
                    load.answered_keys
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(key.clone());
                    break;
                }
                SendOutcome::Open => {
                    load.open.fetch_add(1, Ordering::SeqCst);
                    break;
                }
                SendOutcome::Refused { .. } => {
                    load.refused.fetch_add(1, Ordering::SeqCst);
                    time::sleep(RESEND_PAUSE).await;
                }
                SendOutcome::Interrupted => {
                    load.interrupted.fetch_add(1, Ordering::SeqCst);
                }
                SendOutcome::NotSent => time::sleep(RESEND_PAUSE).await,
            }
        }
    }
}

async fn send(
    connection: &mut Option<http1::SendRequest<Full<Bytes>>>,
    address: SocketAddr,
    key: &str,
) -> SendOutcome {
    let mut sender = match connection.take().filter(|sender| !sender.is_closed()) {
        Some(sender) => sender,
        None => match connect(address).await {
            Ok(sender) => sender,
            Err(_) => return SendOutcome::NotSent,
        },
    };
    if sender.ready().await.is_err() {
        // The connection was closed while idle, so the request was not sent.
        return SendOutcome::NotSent;
    }
    let request = Request::builder()
        .method("POST")
        .uri("/cuts/records?delay_ms=5")
        .header(header::HOST, "callers")
        .header(header::AUTHORIZATION, format!("Bearer {KEY}"))
        .header("idempotency-key", key)
        .body(Full::new(Bytes::from_static(b"42 decitonnes")))
        .expect("valid request");
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            let is_unsent = error.take_message().is_some();
            return if is_unsent { SendOutcome::NotSent } else { SendOutcome::Interrupted };
        }
    };
    let closes = response.headers().get(header::CONNECTION).is_some_and(|v| v == "close");
    let verdict = response.headers().get("toucanhoist-verdict").cloned();
    if response.into_body().collect().await.is_err() {
        return SendOutcome::Interrupted;
    }
    *connection = (!closes).then_some(sender);
    match verdict.as_ref().and_then(|verdict| verdict.to_str().ok()) {
        Some("ran") => SendOutcome::Answered { closes },
        Some("not-run") => SendOutcome::Refused { closes },
        _ => SendOutcome::Open,
    }
}

async fn connect(address: SocketAddr) -> io::Result<http1::SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Returns the path of the binary `toucanhoist`, in the directory of this one.
fn binary() -> io::Result<PathBuf> {
    let path = std::env::current_exe()?.with_file_name("toucanhoist");
    if path.exists() {
        return Ok(path);
    }
    Err(io::Error::other("build the binary first: cargo build --release"))
}

fn rows(targets: &[SocketAddr]) -> Vec<Write> {
    let data_centre = |i: usize| if i % 2 == 0 { "lake-1" } else { "hill-1" };
    let target = |(i, address): (usize, &SocketAddr)| {
        json!({
            "name": format!("cuts-{}", i + 1), "service": "cuts", "data_centre": data_centre(i),
            "address": address,
        })
    };
    let targets: Vec<Value> = targets.iter().enumerate().map(target).collect();
    let fleet = json!({
        "regions": [{"name": "lake", "data_centres": ["lake-1", "hill-1"]}],
        "client_blocks": [{"block": "10.1.0.0/16", "home": "lake-1"}],
        "services": [{"name": "cuts"}],
        "targets": targets,
        "routes": [{
            "service": "cuts", "path": "/records", "methods": ["POST"],
            "access": "keyed", "repeatable": false, "deadline": "2s",
        }],
        "accounts": [{"name": "technicians", "rate": "100000/s", "burst": 100000}],
    });
    let change = fleet::Change {
        revision: 1.into(),
        change: 1.into(),
        author: "measure".into(),
        reason: "measure".into(),
        fleet: Fleet::from_json(&fleet.to_string()).expect("valid fleet"),
    };
    let grant = Grant {
        account: "technicians".parse().expect("valid name"),
        author: "measure".into(),
        withdrawn: false,
    };
    let digest = Digest::of(KEY.as_bytes()).to_string();
    let mut writes = fleet::writes(&change);
    let value = serde_json::to_string(&grant).expect("valid JSON");
    writes.push(Write::put("keys", &digest, value.into()));
    writes
}
