//! Randomised soak test: entry hosts run as processes under injected faults, while callers and targets check
//! the guarantees.
//!
//! Faults come in series and overlap: hosts are killed, stopped, paused and restarted; the store is away, slow, loses answers
//! or its history, or is restored from a backup; links are delayed, reset or silent one way; hosts lose their paths to targets;
//! targets fail and are replaced; versions of the configuration have values that cannot be read. At the end all hosts crash at
//! once, one is cut off from all targets, and all but one lose the store alone while one target drains and another is removed
//! without notice. Not played: calls that the store loses.
//!
//! Short runs with fixed seeds are part of the regular tests. To run more seeds:
//! `SOAK_FROM=100 SOAK_SEEDS=50 cargo test --test soak -- --ignored --nocapture`. `SOAK_HOSTS=40` runs so many
//! hosts instead of four. With `SOAK_EARLIER_BUILD=PROGRAM` hosts run that program until they are first restarted.
//! The logs of runs with violations are kept, and with `SOAK_KEEP=1` those of all runs.

#![allow(missing_docs, reason = "the modules of one test")]

use std::{
    env, fs,
    net::SocketAddr,
    path::Path,
    process,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use {
    rstest::rstest,
    tokio::{sync::Mutex, task::JoinSet, time},
};

use crate::{
    addresses::Addresses,
    caller::{ACCOUNTS, Caller},
    faults::Faults,
    host::{Host, ZONES},
    ledger::Ledger,
    steady::SteadyState,
    store::Store,
    target::Target,
};

#[path = "../common/addresses.rs"]
mod addresses;
mod caller;
mod faults;
mod host;
mod ledger;
mod operator;
mod proxy;
mod steady;
mod store;
mod target;

const HOSTS: usize = 4;
const TARGETS: usize = 6;
const CALLERS: u64 = 10;
/// Time during which faults are injected.
const FAULTS_TIME: Duration = Duration::from_secs(7);
/// Time without faults before the recovery is measured.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time over which answers are counted after the recovery.
const RECOVERY_SAMPLE: Duration = Duration::from_secs(1);
/// Time within which all hosts must serve the newest configuration after a crash: the users' bound.
const RECOVERY_MAX: Duration = Duration::from_secs(15);
/// Fraction of the answers after the recovery that must be neither failures nor refusals for lack of capacity.
const SERVED_FRACTION: f64 = 0.9;
/// Time after which callers of a host that is cut off from all targets must be served, and the time over which
/// they are counted: the users' bounds, as are the next two.
const CUT_GRACE: Duration = Duration::from_secs(3);
const CUT_SAMPLE: Duration = Duration::from_secs(2);
/// Failures that are tolerated at the host: a number, and one in so many requests.
const CUT_FAILED_MAX: u32 = 10;
const CUT_FAILED_ONE_IN: u32 = 50;
/// Time between the loss of the store and the removals, by seed a multiple of it.
const STORE_LOSS_LEAD: Duration = Duration::from_millis(400);
/// Limit that a target names at the end of a run; callers send it twenty times as much without.
const LIMIT_PER_SECOND: f64 = 2.0;
/// Time-out for the first successful answer.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// The store, the hosts and the targets of a run.
pub struct Cluster {
    pub store: Arc<Store>,
    pub hosts: Arc<Vec<Host>>,
    pub targets: Mutex<Vec<Target>>,
    pub ledger: Arc<Ledger>,
    pub steady: Arc<SteadyState>,
    pub next_target: AtomicU64,
}

async fn start(folder: &Path, hosts: usize) -> Cluster {
    let (store, store_address) = Store::serve().await;
    let (ledger, steady) = (Arc::new(Ledger::default()), Arc::new(SteadyState::new()));
    store.put_text("op", "config", Some(operator::config(1)));
    let mut targets = Vec::new();
    for number in 0..TARGETS {
        let zone = ZONES[number % ZONES.len()].0;
        let id = format!("i-{number}");
        targets.push(Target::spawn(id, "curves", zone, &store, &ledger, &steady).await);
    }
    let mut addresses = Vec::new();
    for _ in 0..hosts {
        addresses.push(Addresses::find().await);
    }
    let seeds: Vec<SocketAddr> = addresses.iter().map(|addresses| addresses.peers).collect();
    let mut hosts = Vec::new();
    for (number, addresses) in addresses.iter().enumerate() {
        hosts.push(Host::spawn(number, folder, addresses, &seeds, store_address).await);
    }
    let next_target = AtomicU64::new(100);
    let (hosts, targets) = (Arc::new(hosts), Mutex::new(targets));
    Cluster { store, hosts, targets, ledger, steady, next_target }
}

/// Runs one seed; returns the violated guarantees.
async fn run_seed(seed: u64, hosts: usize) -> Vec<String> {
    let folder = env::temp_dir().join(format!("toucanhoist-soak-{}-{seed}", process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let cluster = Arc::new(start(&folder, hosts).await);
    let (ended, next) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(1)));
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let (hosts, ledger) = (Arc::clone(&cluster.hosts), Arc::clone(&cluster.ledger));
        let (ended, next) = (Arc::clone(&ended), Arc::clone(&next));
        let seed = seed.wrapping_mul(1_000) + number;
        callers.spawn(Caller { hosts, ledger, ended, next, seed }.run());
    }
    let mut violations = Vec::new();
    if time::timeout(START_TIMEOUT, wait_until_served(&cluster)).await.is_err() {
        violations.push("no request was served after the start".to_owned());
    }
    let version = Faults::new(Arc::clone(&cluster), seed).run(FAULTS_TIME).await;
    crash_all_hosts(&cluster, version + 1).await;
    if time::timeout(RECOVERY_MAX, wait_until_in_force(&cluster, version + 1)).await.is_err() {
        violations
            .push("a configuration that was written before all hosts crashed is lost".to_owned());
    } else {
        violations.extend(use_withdrawn_key(&cluster, version).await);
    }
    time::sleep(SETTLE_TIME).await;
    let before = cluster.ledger.answers();
    time::sleep(RECOVERY_SAMPLE).await;
    let after = cluster.ledger.answers();
    violations.extend(cut_a_host(&cluster, seed).await);
    lose_the_store(&cluster, seed).await;
    limit_a_target(&cluster).await;
    ended.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}
    let count = |status: u16| after.get(&status).unwrap_or(&0) - before.get(&status).unwrap_or(&0);
    let served = count(200) + count(429);
    let all: u32 = after.keys().map(|status| count(*status)).sum();
    if f64::from(served) < f64::from(all) * SERVED_FRACTION || all == 0 {
        violations.push(format!(
            "{served} of {all} answers were successes or rate limits after the recovery"
        ));
    }
    violations.extend(cluster.ledger.violations());
    println!("seed {seed}: {:?}, {} violations", cluster.ledger.answers(), violations.len());
    if violations.is_empty() && env::var_os("SOAK_KEEP").is_none() {
        // If the folder cannot be removed, it stays; the result does not depend on it.
        let _ = fs::remove_dir_all(&folder);
    } else {
        println!("logs in {}", folder.display());
    }
    violations
}

/// Cuts a host off from all targets for a while; returns the violation if its callers are served far less often
/// than others.
async fn cut_a_host(cluster: &Cluster, seed: u64) -> Option<String> {
    let number = usize::try_from(seed).expect("a small number") % cluster.hosts.len();
    let host = &cluster.hosts[number];
    faults::cut_host(cluster, host, &ZONES, Some(proxy::Cut::Hang)).await;
    time::sleep(CUT_GRACE).await;
    let before = cluster.ledger.host_answers();
    time::sleep(CUT_SAMPLE).await;
    let after = cluster.ledger.host_answers();
    faults::cut_host(cluster, host, &ZONES, None).await;
    let count = |is_counted: &dyn Fn(usize) -> bool| {
        let counted = after.iter().filter(|(host, _)| is_counted(**host));
        counted.fold((0, 0), |(all, served), (host, (all_after, served_after))| {
            let (all_before, served_before) = before.get(host).copied().unwrap_or_default();
            (all + all_after - all_before, served + served_after - served_before)
        })
    };
    let (all_here, served_here) = count(&|host| host == number);
    let (all_there, served_there) = count(&|host| host != number);
    let has_failed = all_here - served_here > CUT_FAILED_MAX + all_here / CUT_FAILED_ONE_IN
        && 3 * served_here * all_there < 2 * served_there * all_here;
    (has_failed || all_here == 0).then(|| {
        format!(
            "h{number}, cut off from all targets, served {served_here} of {all_here} requests, the other hosts \
             {served_there} of {all_there}"
        )
    })
}

/// Cuts all hosts but one off from the store only, and stops two targets, one of them without notice. The targets
/// check that no host sends them requests too long after the store's acknowledgement: the host that is left has to
/// ask the store itself, whether it followed it before or not, and tells the others.
async fn lose_the_store(cluster: &Cluster, seed: u64) {
    let number = usize::try_from(seed).expect("a small number");
    let hosts = cluster.hosts.iter().enumerate();
    let cut: Vec<_> = hosts.filter(|(index, _)| *index != number % cluster.hosts.len()).collect();
    cut.iter().for_each(|(_, host)| host.store.set_fault(proxy::Fault::StalledDownstream));
    time::sleep(STORE_LOSS_LEAD * (seed % 4) as u32).await;
    let (drained, removed) = {
        let mut targets = cluster.targets.lock().await;
        let index = number % (targets.len() - 1);
        (targets.remove(index), targets.remove(index))
    };
    tokio::join!(drained.drain(), removed.remove());
    cut.iter().for_each(|(_, host)| host.store.set_fault(proxy::Fault::None));
}

/// Has a target name a limit for a while, far below what it got before.
async fn limit_a_target(cluster: &Cluster) {
    cluster.targets.lock().await[0].set_limit(LIMIT_PER_SECOND);
    time::sleep(target::LIMIT_GRACE + target::LIMIT_WINDOW * 2).await;
    cluster.targets.lock().await[0].end_limit();
}

/// Writes a configuration, kills all hosts at once, and starts them again.
async fn crash_all_hosts(cluster: &Cluster, version: u64) {
    cluster.store.put_text("op", "config", Some(operator::config(version)));
    for host in cluster.hosts.iter() {
        host.kill().await;
    }
    for host in cluster.hosts.iter() {
        host.restart().await;
    }
}

/// Waits until every host serves the route that is named after a version of the configuration.
async fn wait_until_in_force(cluster: &Cluster, version: u64) {
    for host in cluster.hosts.iter() {
        while caller::probe(host, &format!("/idle{version}/x"), ACCOUNTS[0].1).await != Some(200) {
            time::sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Sends the key that only an earlier version has to every host; returns the violations.
async fn use_withdrawn_key(cluster: &Cluster, version: u64) -> Vec<String> {
    let mut violations = Vec::new();
    for (number, host) in cluster.hosts.iter().enumerate() {
        let status = caller::probe(host, "/reads/x", &operator::guest_key(version)).await;
        if status != Some(401) {
            violations.push(format!("h{number} answers a withdrawn key with {status:?}"));
        }
    }
    violations
}

async fn wait_until_served(cluster: &Cluster) {
    while !cluster.ledger.answers().contains_key(&200) {
        time::sleep(Duration::from_millis(50)).await;
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_run_violates_no_guarantee(#[values(1, 2)] seed: u64) {
    let violations = run_seed(seed, HOSTS).await;
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

/// Runs the seeds that `SOAK_FROM` and `SOAK_SEEDS` select.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "takes minutes; see the head of the file"]
async fn many_seeds_violate_no_guarantee() {
    let number = |name: &str, default| {
        env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let (from, seeds) = (number("SOAK_FROM", 1), number("SOAK_SEEDS", 50));
    let hosts = usize::try_from(number("SOAK_HOSTS", HOSTS as u64)).expect("a small number");
    let mut failed = Vec::new();
    for seed in from..from + seeds {
        let violations = run_seed(seed, hosts).await;
        if !violations.is_empty() {
            println!("seed {seed}: {violations:#?}");
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds {failed:?}");
}
