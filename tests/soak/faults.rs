//! Injects random faults, which may overlap.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use {
    nix::sys::signal::Signal,
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    tokio::{
        task::JoinSet,
        time::{self, Instant},
    },
};

use crate::{
    Cluster,
    host::{Host, ZONES},
    operator, proxy, store,
    target::{self, Target},
};

/// A fault, or a change by the operator.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Kill,
    Terminate,
    Pause,
    Hangup,
    Store(store::Fault),
    StoreLink(proxy::Fault),
    TargetLink(proxy::Fault),
    Target(target::Fault),
    /// A host loses its paths to the targets of some data centres.
    Cut(proxy::Cut),
    Replace,
    Configure,
    Evacuate,
}

const KINDS: [Kind; 27] = [
    Kind::Kill,
    Kind::Kill,
    Kind::Terminate,
    Kind::Terminate,
    Kind::Pause,
    Kind::Hangup,
    Kind::Store(store::Fault::Unavailable),
    Kind::Store(store::Fault::Slow),
    Kind::Store(store::Fault::AnswerLost),
    Kind::Store(store::Fault::HistoryGone),
    Kind::StoreLink(proxy::Fault::Reset),
    Kind::StoreLink(proxy::Fault::StalledDownstream),
    Kind::TargetLink(proxy::Fault::Delayed),
    Kind::TargetLink(proxy::Fault::Reset),
    Kind::TargetLink(proxy::Fault::StalledUpstream),
    Kind::Target(target::Fault::Slow),
    Kind::Target(target::Fault::Hang),
    Kind::Target(target::Fault::Close),
    Kind::Replace,
    Kind::Configure,
    Kind::Target(target::Fault::Failing),
    Kind::Evacuate,
    Kind::TargetLink(proxy::Fault::StalledDownstream),
    Kind::Cut(proxy::Cut::Hang),
    Kind::Cut(proxy::Cut::Hang),
    Kind::Cut(proxy::Cut::Reset),
    Kind::Cut(proxy::Cut::Reset),
];

/// Separates the random numbers of restores from those of other faults.
const RESTORE_SEED: u64 = 0x5d4e;

/// Draws and injects faults.
pub struct Faults {
    cluster: Arc<Cluster>,
    seed: u64,
    rng: Xoshiro256PlusPlus,
    version: Arc<AtomicU64>,
}

impl Faults {
    pub fn new(cluster: Arc<Cluster>, seed: u64) -> Faults {
        let rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        Faults { cluster, seed, rng, version: Arc::new(AtomicU64::new(1)) }
    }

    /// Repeatedly restores the store from a backup, and later lets operators and targets write again what the
    /// restore has lost.
    async fn restore(cluster: Arc<Cluster>, seed: u64, end: Instant) {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed ^ RESTORE_SEED);
        let mut wait = move |range| time::sleep(Duration::from_millis(rng.random_range(range)));
        while Instant::now() < end {
            let backup = cluster.store.backup();
            wait(300..3_000).await;
            cluster.steady.begin();
            cluster.store.set_fault(store::Fault::Unavailable);
            wait(50..600).await;
            cluster.store.restore(backup);
            cluster.store.set_fault(store::Fault::None);
            wait(100..1_500).await;
            cluster.store.rewrite_lost();
            cluster.steady.end();
        }
    }

    /// Injects faults for some time, and waits until all have ended; returns the last version of the
    /// configuration.
    pub async fn run(mut self, time: Duration) -> u64 {
        let end = Instant::now() + time;
        let mut running = JoinSet::new();
        running.spawn(Faults::restore(Arc::clone(&self.cluster), self.seed, end));
        while Instant::now() < end {
            let kind = KINDS[self.rng.random_range(0..KINDS.len())];
            let selector = self.rng.random_range(0..1_000);
            let duration = Duration::from_millis(self.rng.random_range(200..1_600));
            let (cluster, version) = (Arc::clone(&self.cluster), Arc::clone(&self.version));
            running
                .spawn(async move { inject(&cluster, kind, selector, duration, &version).await });
            time::sleep(Duration::from_millis(self.rng.random_range(150..800))).await;
        }
        while running.join_next().await.is_some() {}
        self.version.load(Ordering::Relaxed)
    }
}

async fn inject(
    cluster: &Cluster,
    kind: Kind,
    selector: usize,
    duration: Duration,
    version: &AtomicU64,
) {
    let host = &cluster.hosts[selector % cluster.hosts.len()];
    cluster.steady.begin();
    match kind {
        Kind::Kill => {
            host.kill().await;
            time::sleep(duration).await;
            host.restart().await;
        }
        Kind::Terminate => terminate(cluster, host, selector, duration).await,
        Kind::Pause => {
            host.record_disruption();
            host.signal(Signal::SIGSTOP).await;
            time::sleep(duration).await;
            host.signal(Signal::SIGCONT).await;
            host.record_disruption();
        }
        Kind::Hangup => host.signal(Signal::SIGHUP).await,
        Kind::Store(fault) => {
            cluster.store.set_fault(fault);
            time::sleep(duration).await;
            cluster.store.set_fault(store::Fault::None);
        }
        Kind::StoreLink(fault) => {
            host.store.set_fault(fault);
            time::sleep(duration).await;
            host.store.set_fault(proxy::Fault::None);
        }
        Kind::TargetLink(fault) => {
            let id = choose_target(cluster, selector).await;
            with_target(cluster, &id, |target| target.proxy.set_fault(fault)).await;
            time::sleep(duration).await;
            with_target(cluster, &id, |target| target.proxy.set_fault(proxy::Fault::None)).await;
        }
        Kind::Target(fault) => {
            let id = choose_target(cluster, selector).await;
            with_target(cluster, &id, |target| target.set_fault(fault)).await;
            time::sleep(duration).await;
            with_target(cluster, &id, |target| target.set_fault(target::Fault::None)).await;
        }
        Kind::Cut(cut) => {
            // One, two or all data centres.
            let zones = &ZONES[..1 + selector / 7 % ZONES.len()];
            cut_host(cluster, host, zones, Some(cut)).await;
            time::sleep(duration).await;
            cut_host(cluster, host, &ZONES, None).await;
        }
        Kind::Replace => replace(cluster, selector).await,
        Kind::Configure => {
            let version = version.fetch_add(1, Ordering::Relaxed) + 1;
            cluster.store.put_text("op", "config", Some(operator::config(version)));
        }
        Kind::Evacuate => {
            let key = format!("evacuate/{}", ZONES[selector % ZONES.len()].0);
            cluster.store.put("op", &key, Some(serde_json::json!({})));
            time::sleep(duration).await;
            cluster.store.put("op", &key, None);
        }
    }
    cluster.steady.end();
}

/// Stops a host with SIGTERM, and starts it again.
async fn terminate(cluster: &Cluster, host: &Host, selector: usize, duration: Duration) {
    if !host.is_running().await {
        return;
    }
    let disruptions = host.disruptions();
    host.signal(Signal::SIGTERM).await;
    if !host.has_ended().await {
        if host.disruptions() == disruptions {
            let number = selector % cluster.hosts.len();
            cluster.ledger.record_violation(format!("h{number} did not end within its grace time"));
        }
        host.kill().await;
    }
    time::sleep(duration).await;
    host.restart().await;
}

/// Cuts a host off from the targets of some data centres, or ends that. Targets that start later are reached.
pub async fn cut_host(
    cluster: &Cluster,
    host: &Host,
    zones: &[(&str, &str)],
    cut: Option<proxy::Cut>,
) {
    let targets = cluster.targets.lock().await;
    let is_in = |target: &&Target| zones.iter().any(|(zone, _)| *zone == target.zone);
    targets.iter().filter(is_in).for_each(|target| target.proxy.set_cut(host.source, cut));
}

async fn choose_target(cluster: &Cluster, selector: usize) -> String {
    let targets = cluster.targets.lock().await;
    targets[selector % targets.len()].id.clone()
}

/// Changes a target, unless it has been replaced.
async fn with_target(cluster: &Cluster, id: &str, change: impl Fn(&Target)) {
    let targets = cluster.targets.lock().await;
    targets.iter().filter(|target| target.id == id).for_each(change);
}

/// Replaces a target: starts a new one, then drains an old one.
async fn replace(cluster: &Cluster, selector: usize) {
    let number = cluster.next_target.fetch_add(1, Ordering::Relaxed);
    let zone = ZONES[selector % ZONES.len()].0;
    let (store, ledger, steady) = (&cluster.store, &cluster.ledger, &cluster.steady);
    let id = format!("i-{number}");
    let new = Target::spawn(id, "curves", zone, store, ledger, steady).await;
    let old = {
        let mut targets = cluster.targets.lock().await;
        targets.push(new);
        let index = selector % (targets.len() - 1);
        targets.remove(index)
    };
    old.drain().await;
}
