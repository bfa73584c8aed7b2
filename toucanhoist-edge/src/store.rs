/*!
The store that all entry hosts follow.

[`Store`] is the edge of a process: a platform's client reads, follows and writes, and decodes what it
reads into the core's types. [`follow`] keeps at it for one topic, through outages and lost history.
*/

use std::{sync::Arc, time::Duration};

use {
    async_trait::async_trait,
    tokio::{
        sync::mpsc,
        time::{self, Instant},
    },
    toucanhoist_core::{
        id,
        steering::{Entry, EntryHost, Key, Topic},
    },
};

/// Time for which the store holds a call when nothing changes.
const FOLLOW_WAIT: Duration = Duration::from_secs(10);
/// Pauses after a call that failed; they double from the first to the last.
const PAUSE_FIRST: Duration = Duration::from_millis(100);
const PAUSE_LAST: Duration = Duration::from_millis(800);
/// Pause after changes, so that one call brings what changed together.
const GATHER_OPERATOR: Duration = Duration::from_millis(20);
const GATHER_TARGETS: Duration = Duration::from_millis(150);
const GATHER_HOSTS: Duration = Duration::from_millis(1_000);

/// A call that did not succeed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// The changes after the given version are no longer kept.
    #[error("the store no longer keeps the history after version {0}")]
    HistoryGone(u64),
    /// The store did not answer, or refused.
    #[error("the store is not available: {0}")]
    Unavailable(Box<str>),
}

/// Entries of a topic.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Entries by key.
    pub entries: Vec<(Key, Entry)>,
    /// Version up to which they are complete.
    pub version: u64,
}

/// The store's service.
#[async_trait]
pub trait Store: Send + Sync + 'static {
    /// Reads all entries of a topic.
    ///
    /// # Errors
    ///
    /// The store is not available.
    async fn read(&self, topic: Topic) -> Result<Batch, Error>;

    /// Waits up to `wait` for entries that changed after a version, removed ones too.
    ///
    /// # Errors
    ///
    /// The store is not available, or no longer keeps the changes.
    async fn follow(&self, topic: Topic, after: u64, wait: Duration) -> Result<Batch, Error>;

    /// Registers an entry host.
    ///
    /// # Errors
    ///
    /// The store is not available; the entry may have been written.
    async fn register(&self, name: &id::EntryHost, host: &EntryHost) -> Result<(), Error>;
}

/// What following a topic brings.
#[derive(Debug)]
pub enum News {
    /// All entries of a topic; what is missing has been removed.
    All(Topic, Batch),
    /// Entries that changed.
    Changed(Topic, Batch),
    /// The store cannot be reached for this topic.
    Lost(Topic, Error),
}

/// Follows a topic until the receiver is gone.
pub async fn follow(store: Arc<dyn Store>, topic: Topic, news: mpsc::Sender<News>) {
    let mut pause = PAUSE_FIRST;
    let mut known: Option<u64> = None;
    loop {
        let outcome = match known {
            None => store.read(topic).await.map(|batch| (batch.version, News::All(topic, batch))),
            Some(after) => store
                .follow(topic, after, FOLLOW_WAIT)
                .await
                .map(|batch| (batch.version.max(after), News::Changed(topic, batch))),
        };
        let (message, rest) = match outcome {
            Ok((version, message)) => {
                known = Some(version);
                pause = PAUSE_FIRST;
                (message, gather(topic))
            }
            Err(error) => {
                if matches!(error, Error::HistoryGone(_)) {
                    known = None;
                }
                let rest = pause.mul_f64(rand::random_range(0.75..1.25));
                pause = (pause * 2).min(PAUSE_LAST);
                (News::Lost(topic, error), rest)
            }
        };
        if news.send(message).await.is_err() {
            return;
        }
        time::sleep(rest).await;
    }
}

/// Registers an entry host, however long it takes.
pub async fn register(store: Arc<dyn Store>, name: id::EntryHost, host: EntryHost) -> Duration {
    let begun = Instant::now();
    let mut pause = PAUSE_FIRST;
    while store.register(&name, &host).await.is_err() {
        time::sleep(pause.mul_f64(rand::random_range(0.75..1.25))).await;
        pause = (pause * 2).min(PAUSE_LAST);
    }
    begun.elapsed()
}

fn gather(topic: Topic) -> Duration {
    match topic {
        Topic::Operator => GATHER_OPERATOR,
        Topic::Targets => GATHER_TARGETS,
        Topic::Hosts => GATHER_HOSTS,
    }
}
