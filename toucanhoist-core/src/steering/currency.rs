//! Until when a host's copy of the store is known to be complete.
//!
//! An answer of the store confirms that the copy holds everything acknowledged until then. A host
//! that does not follow the store has this from others. The age of the last confirmation bounds the
//! time for which a change can have been in force at the store and unknown here.

use std::{collections::BTreeMap, time::Duration};

use {
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
};

use super::Topic;
use crate::clock::Time;

/// Time between two confirmations above which the store may have been away in between; twice the
/// time between two answers.
const STEADY_GAP_MAX: Duration = Duration::from_millis(900);

/// Way by which a change reached a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// An answer of the store.
    Store,
    /// Changes that a watcher broadcasts.
    Broadcast,
    /// Another host's snapshot.
    Snapshot,
    /// The end of a deferral.
    Deferral,
}

impl Way {
    /// Returns the name that logs and metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            Way::Store => "store",
            Way::Broadcast => "broadcast",
            Way::Snapshot => "snapshot",
            Way::Deferral => "deferral",
        }
    }
}

/// How a change reached a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Way.
    pub way: Way,
    /// When the topic had last been confirmed before; `None` if it never was.
    pub confirmed_at: Option<Time>,
}

impl Arrival {
    /// Returns the longest time for which the change can have been in force at the store before
    /// `now`; `None` if that is not known.
    pub fn delay_max(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.since(confirmed_at))
    }
}

/// What a host tells another one of its confirmations of a topic.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Confirmation {
    /// Time since the last one.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Time for which each had followed soon after the one before.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub steady: Duration,
}

/// Confirmations of one topic.
#[derive(Clone, Copy, Debug)]
struct Confirmed {
    at: Time,
    /// Since when each has followed soon after the one before.
    steady_since: Time,
}

/// Last confirmation of each topic.
#[derive(Debug, Default)]
pub struct Currency {
    confirmed: BTreeMap<Topic, Confirmed>,
    /// Last answers of the store to this host.
    answered_at: BTreeMap<Topic, Time>,
}

impl Currency {
    /// Records that a topic's entries here are all that the store had acknowledged at a time.
    pub fn confirm(&mut self, topic: Topic, time: Time) {
        let new = Confirmed { at: time, steady_since: time };
        let confirmed = self.confirmed.entry(topic).or_insert(new);
        if time > confirmed.at + STEADY_GAP_MAX {
            *confirmed = new;
        }
        confirmed.at = time.max(confirmed.at);
    }

    /// Records an answer of the store to this host.
    pub fn record_answer(&mut self, topic: Topic, time: Time) {
        self.answered_at.insert(topic, time);
    }

    /// Returns when a topic was last confirmed.
    pub fn confirmed_at(&self, topic: Topic) -> Option<Time> {
        Some(self.confirmed.get(&topic)?.at)
    }

    /// Returns when the store last answered this host for a topic.
    pub fn answered_at(&self, topic: Topic) -> Option<Time> {
        self.answered_at.get(&topic).copied()
    }

    /// Returns what to tell another host of a topic.
    pub fn confirmation(&self, now: Time, topic: Topic) -> Option<Confirmation> {
        let Confirmed { at, steady_since } = self.confirmed.get(&topic)?;
        Some(Confirmation { age: now.since(*at), steady: at.since(*steady_since) })
    }
}
