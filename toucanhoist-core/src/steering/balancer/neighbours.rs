//! What other hosts tell of their requests at targets.
//!
//! Hosts of a region tell each other at short intervals how many requests they have at each target. A
//! target's own reports come too seldom to a host that sends it only a part of its requests. For the same
//! reason they tell what they have seen of targets that are slow or failing.

use std::{collections::HashMap, time::Duration};

use crate::{clock::Time, id, steering::Observations};

/// Time after which what a host told no longer counts.
const SILENCE_MAX: Duration = Duration::from_millis(1_000);

/// Hosts of a region from which on they tell each other of their requests; fewer learn enough from
/// the targets' reports.
pub const LOAD_EXCHANGE_HOSTS_MIN: usize = 5;
/// Interval at which they tell.
pub const LOAD_EXCHANGE_INTERVAL: Duration = Duration::from_millis(150);

/// Short name of a target in messages between hosts.
pub type Tag = u32;

/// Time for which what was told is collected before it is summed up; a sum costs as much as a
/// placement among hundreds of targets.
const COLLECT_TIME: Duration = Duration::from_millis(50);

/// What other hosts tell of their requests.
#[derive(Debug, Default)]
pub(super) struct Neighbours {
    hosts: HashMap<id::EntryHost, Neighbour>,
    /// What was told of slow and failing targets since the last sum.
    seen: HashMap<Tag, Observations>,
    /// Whether there is something that no sum holds.
    changed: bool,
    summed: Time,
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
        self.changed = true;
    }

    /// Takes in what a host has seen of slow and failing targets.
    pub(super) fn hear_seen(&mut self, seen: impl IntoIterator<Item = (Tag, Observations)>) {
        seen.into_iter().for_each(|(tag, seen)| self.seen.entry(tag).or_default().add(seen));
    }

    /// Returns what was told of slow and failing targets since the last call.
    pub(super) fn take_seen(&mut self) -> HashMap<Tag, Observations> {
        std::mem::take(&mut self.seen)
    }

    /// Returns the requests of all other hosts by target, if they have changed; hosts that have told
    /// nothing for long are forgotten.
    pub(super) fn news(&mut self, now: Time) -> Option<HashMap<Tag, u32>> {
        if now.since(self.summed) < COLLECT_TIME {
            return None;
        }
        self.summed = now;
        let known = self.hosts.len();
        self.hosts.retain(|_, neighbour| now.since(neighbour.heard) < SILENCE_MAX);
        if !std::mem::take(&mut self.changed) && self.hosts.len() == known {
            return None;
        }
        let mut sum = HashMap::new();
        for (tag, count) in self.hosts.values().flat_map(|neighbour| &neighbour.requests) {
            *sum.entry(*tag).or_default() += count;
        }
        Some(sum)
    }
}
