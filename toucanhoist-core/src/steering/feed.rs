//! When a host calls the store for a topic, and for how long it waits for the answer.
//!
//! A call that finds nothing new is held by the store until something changes. The store may lose
//! such a call while its connection lives, and then never answers it. So a call is held for a short
//! time only, and one without an answer soon after is followed by another; a slow store may answer
//! either. The time of the last answer thus says how current a host is, within a fraction of a
//! second.

use std::time::Duration;

use super::Topic;

/// Time between two answers about targets while nothing changes. With a heartbeat interval, it stays
/// below the time after which other hosts take over.
const ANSWER_INTERVAL_TARGETS: Duration = Duration::from_millis(450);
/// The same for the configuration. Answers about targets show whether the store answers at all, so
/// this only bounds the time for which a lost call goes unnoticed.
const ANSWER_INTERVAL_OPERATOR: Duration = Duration::from_millis(1_350);
/// The same for entry hosts, which nothing waits for.
const ANSWER_INTERVAL_HOSTS: Duration = Duration::from_millis(5_000);
/// Time beyond the wait in which an answer is expected; a slow store takes some 300 ms.
const ANSWER_MARGIN: Duration = Duration::from_millis(400);
/// Time after which a call that does not wait is followed by another one.
const REPEAT_TIMEOUT: Duration = Duration::from_millis(500);
/// Bounds of the exponential backoff after refused calls. After an outage of the store, a call must
/// succeed early enough for removals to be deferred and still be in force in time.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
const BACKOFF_MAX: Duration = Duration::from_millis(500);
/// Pauses after an answer, by topic, so that one call returns a batch of changes.
const BATCH_INTERVAL_OPERATOR: Duration = Duration::from_millis(20);
const BATCH_INTERVAL_TARGETS: Duration = Duration::from_millis(150);
const BATCH_INTERVAL_HOSTS: Duration = Duration::from_millis(1_000);

/// How a call to the store failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedFailure {
    /// The store no longer keeps the changes since the known version.
    HistoryGone,
    /// There was no answer yet.
    Unanswered,
    /// The store refused the call, or the connection failed.
    Refused,
}

/// The calls for one topic.
#[derive(Clone, Debug)]
pub struct Feed {
    topic: Topic,
    backoff: Duration,
    wait: Duration,
    must_read: bool,
}

impl Feed {
    /// Creates the calls for a topic. The first one does not wait, so that it shows at once whether
    /// the store can be reached.
    pub fn new(topic: Topic) -> Feed {
        Feed { topic, backoff: BACKOFF_MIN, wait: Duration::ZERO, must_read: false }
    }

    /// Begins again after a time in which the topic was not followed.
    pub fn restart(&mut self) {
        self.wait = Duration::ZERO;
    }

    /// Whether the next call must read the whole topic.
    pub fn must_read(&self) -> bool {
        self.must_read
    }

    /// Returns for how long the store may hold the next call.
    pub fn wait(&self) -> Duration {
        self.wait
    }

    /// Returns the time after which the next call is followed by another one if there is no answer.
    pub fn timeout(&self) -> Duration {
        if self.wait.is_zero() { REPEAT_TIMEOUT } else { self.wait + ANSWER_MARGIN }
    }

    /// Records an answer; returns the pause before the next call.
    pub fn record_answer(&mut self) -> Duration {
        let (interval, pause) = match self.topic {
            Topic::Operator => (ANSWER_INTERVAL_OPERATOR, BATCH_INTERVAL_OPERATOR),
            Topic::Targets => (ANSWER_INTERVAL_TARGETS, BATCH_INTERVAL_TARGETS),
            Topic::Hosts => (ANSWER_INTERVAL_HOSTS, BATCH_INTERVAL_HOSTS),
        };
        (self.must_read, self.backoff, self.wait) = (false, BACKOFF_MIN, interval - pause);
        pause
    }

    /// Records a failure; returns the pause before the next call, by a `jitter` around 1.
    pub fn record_failure(&mut self, failure: FeedFailure, jitter: f64) -> Duration {
        self.must_read |= failure == FeedFailure::HistoryGone;
        let has_waited = !std::mem::take(&mut self.wait).is_zero();
        // The store may have lost the call, and answer the next one.
        if failure == FeedFailure::Unanswered {
            return if has_waited { Duration::ZERO } else { BACKOFF_MIN.mul_f64(jitter) };
        }
        let pause = self.backoff.mul_f64(jitter);
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
        pause
    }
}
