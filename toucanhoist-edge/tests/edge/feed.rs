//! How soon a host hears of a change whose feed is never answered.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use {
    async_trait::async_trait,
    tokio::{
        sync::{mpsc, watch},
        time::{self, Instant},
    },
    toucanhoist_core::{
        id,
        steering::{Entry, EntryHost, Key, Topic, Version},
    },
    toucanhoist_edge::store::{self, Batch, Error, Notification, Store, Subscription},
};

use crate::support::name;

/// Time within which a change must be in force, less what relaying it takes.
const CHANGE_DELAY_MAX: Duration = Duration::from_secs(2);
/// Calls a second that a host may make for one topic while nothing changes.
const CALLS_PER_SECOND_MAX: u64 = 3;

/// A store that drops the calls that wait for changes while it is away, as after a failover.
#[derive(Default)]
struct Forgetful {
    is_away: AtomicBool,
    version: AtomicU64,
    calls: AtomicU64,
}

impl Forgetful {
    fn batch(&self, after: u64) -> Batch {
        let version = Version::from(self.version.load(Ordering::Relaxed));
        let removal = (Key::Target(name("t1")), Entry { version, value: None });
        let entries = if version > after.into() { vec![removal] } else { Vec::new() };
        Batch { entries, version, ..Batch::default() }
    }
}

#[async_trait]
impl Store for Forgetful {
    async fn read(&self, _: Topic) -> Result<Batch, Error> {
        Ok(self.batch(u64::MAX))
    }

    async fn follow(&self, _: Topic, after: Version, wait: Duration) -> Result<Batch, Error> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let end = Instant::now() + wait;
        let answer_time = Duration::from_millis(4);
        loop {
            if self.is_away.load(Ordering::Relaxed) {
                // The call is never answered, not even when the store is back.
                time::sleep(wait.max(Duration::from_secs(2)) + Duration::from_millis(1_500)).await;
                return Err(Error::Unavailable("timed out".into()));
            }
            time::sleep(answer_time).await;
            let batch = self.batch(after.number);
            if !batch.entries.is_empty() || Instant::now() >= end {
                return Ok(batch);
            }
        }
    }

    async fn register(&self, _: &id::EntryHost, _: &EntryHost) -> Result<(), Error> {
        Ok(())
    }
}

fn spawn(store: &Arc<Forgetful>) -> mpsc::Receiver<Notification> {
    let versions = BTreeMap::from(Topic::ALL.map(|topic| (topic, Version::from(1))));
    let subscription = Subscription { is_active: true, is_available: true, versions };
    let (sender, receiver) = watch::channel(subscription);
    // The subscription lasts as long as the test.
    std::mem::forget(sender);
    let (notifications, notified) = mpsc::channel(16);
    tokio::spawn(store::follow(Arc::clone(store) as _, Topic::Targets, receiver, notifications));
    notified
}

/// Waits for a change; returns after which time it arrived.
async fn change_delay(notified: &mut mpsc::Receiver<Notification>, since: Instant) -> Duration {
    loop {
        let notification = notified.recv().await.expect("the topic is followed");
        if let Notification::Changed(_, Batch { entries, .. }) = notification {
            if !entries.is_empty() {
                return since.elapsed();
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_feed_that_is_never_answered_delays_no_change_beyond_its_bound() {
    let store = Arc::new(Forgetful { version: 1.into(), ..Forgetful::default() });
    let mut notified = spawn(&store);
    time::sleep(Duration::from_millis(300)).await;
    // Away for a moment: calls that wait are dropped, later ones are answered.
    store.is_away.store(true, Ordering::Relaxed);
    time::sleep(Duration::from_millis(100)).await;
    store.is_away.store(false, Ordering::Relaxed);
    let changed_at = Instant::now();
    store.version.store(2, Ordering::Relaxed);
    let delay = change_delay(&mut notified, changed_at).await;
    assert!(delay <= CHANGE_DELAY_MAX, "heard after {delay:?}");
}

#[tokio::test(start_paused = true)]
async fn an_idle_feed_makes_few_calls() {
    let store = Arc::new(Forgetful { version: 1.into(), ..Forgetful::default() });
    let mut notified = spawn(&store);
    let drained = async { while notified.recv().await.is_some() {} };
    let _ = time::timeout(Duration::from_secs(30), drained).await;
    let calls = store.calls.load(Ordering::Relaxed);
    assert!(calls <= 30 * CALLS_PER_SECOND_MAX, "{calls} calls in 30 s");
}
