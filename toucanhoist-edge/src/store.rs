/*!
The store that all entry hosts follow.

[`Store`] is the interface to the store of a platform. An implementation reads, follows and writes entries,
and decodes them into the core's types. [`follow`] follows one topic, and recovers from outages and lost
history.
*/

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use {
    async_trait::async_trait,
    tokio::{
        sync::{mpsc, watch},
        task::JoinSet,
        time,
    },
    toucanhoist_core::{
        id,
        steering::{Entry, EntryHost, Era, Feed, FeedFailure, Key, Topic, Version},
    },
};

/// Bounds of the exponential backoff after failed registrations.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
const BACKOFF_MAX: Duration = Duration::from_millis(800);
/// Calls for one topic that may be pending at the same time.
const CALLS_MAX: usize = 4;

/// Upper bound of the random delay before hosts register again.
const REGISTER_JITTER_MAX: Duration = Duration::from_millis(1_000);

/// A failed call to the store.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// The store no longer keeps the changes after the version, or was restored from a backup since.
    #[error("the store no longer keeps the history after version {0}")]
    HistoryGone(Version),
    /// The store did not answer, or refused the call.
    #[error("the store is not available: {0}")]
    Unavailable(Box<str>),
    /// There is no answer yet to a call.
    #[error("no answer within {0:?}")]
    Unanswered(Duration),
}

impl Error {
    fn failure(&self) -> FeedFailure {
        match self {
            Error::HistoryGone(_) => FeedFailure::HistoryGone,
            Error::Unavailable(_) => FeedFailure::Refused,
            Error::Unanswered(_) => FeedFailure::Unanswered,
        }
    }
}

/// Entries of one topic.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Entries with their keys.
    pub entries: Vec<(Key, Entry)>,
    /// Version up to which the entries are complete.
    pub version: Version,
    /// What cannot be read of the entries.
    pub faults: Vec<Fault>,
}

/// An entry, or a value in one, that cannot be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Name of the row.
    pub entry: Box<str>,
    /// JSON pointer to the value; empty if nothing of the entry can be used.
    pub pointer: Box<str>,
    /// Why it cannot be read.
    pub reason: Box<str>,
}

/// Interface to the store.
#[async_trait]
pub trait Store: Send + Sync + 'static {
    /// Reads all entries of a topic.
    ///
    /// # Errors
    ///
    /// The store is not available.
    async fn read(&self, topic: Topic) -> Result<Batch, Error>;

    /// Waits up to `wait` for entries that changed or were removed after a version.
    ///
    /// # Errors
    ///
    /// The store is not available, or no longer keeps the changes.
    async fn follow(&self, topic: Topic, after: Version, wait: Duration) -> Result<Batch, Error>;

    /// Registers an entry host.
    ///
    /// # Errors
    ///
    /// The store is not available; the entry may have been written all the same.
    async fn register(&self, name: &id::EntryHost, host: &EntryHost) -> Result<(), Error>;
}

/// Outcome of a call to the store for a followed topic.
#[derive(Debug)]
pub enum Notification {
    /// All entries of a topic; any other entry has been removed.
    All(Topic, Batch),
    /// Entries that changed or were removed.
    Changed(Topic, Batch),
    /// A call for the topic failed.
    Failed(Topic, Error),
}

/// Whether the host follows the store, and from which versions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Subscription {
    /// Whether the host follows the store.
    pub is_active: bool,
    /// Whether the store answers about targets, as far as is known. While it does not, the other
    /// topics are not asked about: the calls of one topic show when it answers again.
    pub is_available: bool,
    /// Versions up to which topics are known; a topic without a version is read in full.
    pub versions: BTreeMap<Topic, Version>,
}

impl Subscription {
    fn allows(&self, topic: Topic) -> bool {
        self.is_active && (self.is_available || topic == Topic::Targets)
    }
}

/// Follows a topic while the subscription is active, until the receiver is dropped.
pub async fn follow(
    store: Arc<dyn Store>,
    topic: Topic,
    mut subscription: watch::Receiver<Subscription>,
    notifications: mpsc::Sender<Notification>,
) {
    let mut feed = Feed::new(topic);
    let mut calls = Calls { store, topic, pending: JoinSet::new() };
    loop {
        if !subscription.borrow().is_active {
            feed.restart();
        }
        let is_due = |subscription: &Subscription| subscription.allows(topic);
        if subscription.wait_for(is_due).await.is_err() {
            return;
        }
        let known = subscription.borrow_and_update().versions.get(&topic).copied();
        let known = known.filter(|_| !feed.must_read());
        let outcome = tokio::select! {
            outcome = calls.ask(known, &feed) => outcome,
            Ok(_) = subscription.wait_for(|subscription| !subscription.is_active) => {
                calls.abandon();
                continue;
            }
        };
        let (notification, pause) = match outcome {
            Ok(notification) => (notification, feed.record_answer()),
            Err(error) => {
                let pause = feed.record_failure(error.failure(), rand::random_range(0.75..1.25));
                (Notification::Failed(topic, error), pause)
            }
        };
        if notifications.send(notification).await.is_err() {
            return;
        }
        time::sleep(pause).await;
    }
}

/// Calls for a topic that have not been answered.
struct Calls {
    store: Arc<dyn Store>,
    topic: Topic,
    pending: JoinSet<Result<Notification, Error>>,
}

impl Calls {
    /// Calls the store, unless too many calls are pending, and returns the first answer to any.
    async fn ask(&mut self, known: Option<Version>, feed: &Feed) -> Result<Notification, Error> {
        if self.pending.len() < CALLS_MAX {
            self.pending.spawn(call(Arc::clone(&self.store), self.topic, known, feed.wait()));
        }
        let timeout = feed.timeout();
        let Ok(answer) = time::timeout(timeout, self.first_answer()).await else {
            return Err(Error::Unanswered(timeout));
        };
        self.abandon();
        answer
    }

    /// Returns the first answer; a failure only if no other call is pending.
    async fn first_answer(&mut self) -> Result<Notification, Error> {
        let mut failure = Error::Unavailable("the call did not end".into());
        while let Some(ended) = self.pending.join_next().await {
            match ended {
                Ok(Err(error)) if !matches!(error, Error::HistoryGone(_)) => failure = error,
                Ok(answer) => return answer,
                // A call that panicked counts as a failed one.
                Err(error) => failure = Error::Unavailable(error.to_string().into()),
            }
        }
        Err(failure)
    }

    fn abandon(&mut self) {
        self.pending = JoinSet::new();
    }
}

async fn call(
    store: Arc<dyn Store>,
    topic: Topic,
    known: Option<Version>,
    wait: Duration,
) -> Result<Notification, Error> {
    match known {
        None => store.read(topic).await.map(|batch| Notification::All(topic, batch)),
        Some(after) => {
            store.follow(topic, after, wait).await.map(|batch| Notification::Changed(topic, batch))
        }
    }
}

/// Registers an entry host, with retries until it succeeds, and again in each new era, since the backup that
/// the store was restored from may lack the entry.
pub async fn register(
    store: Arc<dyn Store>,
    name: id::EntryHost,
    host: EntryHost,
    mut era: watch::Receiver<Option<Era>>,
) {
    loop {
        let mut backoff = BACKOFF_MIN;
        // Outages of the store are logged by the tasks that follow it.
        while store.register(&name, &host).await.is_err() {
            time::sleep(backoff.mul_f64(rand::random_range(0.75..1.25))).await;
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
        let Ok(known) = era.wait_for(Option::is_some).await.map(|era| *era) else { return };
        if era.wait_for(|era| *era > known).await.is_err() {
            return;
        }
        time::sleep(REGISTER_JITTER_MAX.mul_f64(rand::random())).await;
    }
}
