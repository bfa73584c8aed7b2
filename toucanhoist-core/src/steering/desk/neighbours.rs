//! What other hosts tell of their requests at targets.
//!
//! Hosts of a region tell each other at short intervals how many requests they have at each target. A
//! target's own reports come too seldom to a host that sends it only a part of its requests.

use std::{collections::HashMap, time::Duration};

use crate::{clock::Time, id};

/// Time after which what a host told no longer counts.
const SILENCE_MAX: Duration = Duration::from_millis(1_000);

/// Hosts of a region from which on they tell each other of their requests; fewer learn enough from
/// the targets' reports.
pub const TELL_HOSTS_MIN: usize = 5;
/// Interval at which they tell.
pub const TELL_INTERVAL: Duration = Duration::from_millis(150);

/// Short name of a target in messages between hosts.
pub type Tag = u32;

/// What other hosts tell of their requests.
#[derive(Debug, Default)]
pub(super) struct Neighbours {
    hosts: HashMap<id::EntryHost, Neighbour>,
}

#[derive(Debug)]
struct Neighbour {
    heard: Time,
    requests: HashMap<Tag, u32>,
}

impl Neighbours {
    /// Takes in how many requests a host has at each target.
    pub(super) fn hear(&mut self, now: Time, host: id::EntryHost, requests: HashMap<Tag, u32>) {
        self.hosts.insert(host, Neighbour { heard: now, requests });
    }

    /// Forgets hosts that have told nothing for long; returns whether there were any.
    pub(super) fn forget(&mut self, now: Time) -> bool {
        let known = self.hosts.len();
        self.hosts.retain(|_, neighbour| now.since(neighbour.heard) < SILENCE_MAX);
        self.hosts.len() < known
    }

    /// Returns the requests of all other hosts by target.
    pub(super) fn requests(&self) -> HashMap<Tag, u32> {
        let mut sum = HashMap::new();
        for (tag, count) in self.hosts.values().flat_map(|neighbour| &neighbour.requests) {
            *sum.entry(*tag).or_default() += count;
        }
        sum
    }
}
