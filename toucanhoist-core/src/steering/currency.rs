//! Until when a host's copy of the store is known to be complete.
//!
//! An answer of the store confirms that the copy holds everything acknowledged until then. A host
//! that does not follow the store has this from others. The age of the last confirmation bounds the
//! time for which a change can have been in force at the store and unknown here.

use std::{collections::BTreeMap, time::Duration};

use super::Topic;
use crate::clock::Time;

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

/// Last confirmation of each topic.
#[derive(Debug, Default)]
pub struct Currency {
    confirmed_at: BTreeMap<Topic, Time>,
}

impl Currency {
    /// Records that a topic's entries here are all that the store had acknowledged at a time.
    pub fn confirm(&mut self, topic: Topic, time: Time) {
        let confirmed_at = self.confirmed_at.entry(topic).or_insert(time);
        *confirmed_at = time.max(*confirmed_at);
    }

    /// Returns when a topic was last confirmed.
    pub fn confirmed_at(&self, topic: Topic) -> Option<Time> {
        self.confirmed_at.get(&topic).copied()
    }
}
