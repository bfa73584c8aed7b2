//! Reports of other hosts about their requests at targets.
//!
//! Hosts of a region send each other the number of their requests at each target at short
//! intervals. A target's own reports arrive too rarely at a host that sends only a fraction of the
//! target's requests. For the same reason hosts send their observations of slow or failing targets.

use std::{collections::HashMap, time::Duration};

use crate::{clock::Time, id, steering::Observations};

/// Age at which a host's report no longer counts.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Hosts in a region from which load is exchanged; fewer hosts learn enough from the targets'
/// reports.
pub const LOAD_EXCHANGE_HOSTS_MIN: usize = 5;
/// Interval of the exchange.
pub const LOAD_EXCHANGE_INTERVAL: Duration = Duration::from_millis(150);

/// Short identifier of a target in messages between hosts.
pub type Tag = u32;

/// Time for which reports are collected before they are summed; a sum costs as much as a placement
/// among hundreds of targets.
const COLLECTION_TIME: Duration = Duration::from_millis(50);

/// Reports of other hosts.
#[derive(Debug, Default)]
pub(super) struct Peers {
    hosts: HashMap<id::EntryHost, Peer>,
    /// Observations of slow and failing targets since the last sum.
    observations: HashMap<Tag, Observations>,
    /// Whether a report has arrived since the last sum.
    changed: bool,
    summed_at: Time,
}

#[derive(Debug)]
struct Peer {
    received_at: Time,
    requests: HashMap<Tag, u32>,
}

impl Peers {
    /// Sets how many requests a host has at each target.
    pub(super) fn set_requests(
        &mut self,
        now: Time,
        host: id::EntryHost,
        requests: HashMap<Tag, u32>,
    ) {
        self.hosts.insert(host, Peer { received_at: now, requests });
        self.changed = true;
    }

    /// Adds what a host has observed of slow and failing targets.
    pub(super) fn add_observations(
        &mut self,
        observations: impl IntoIterator<Item = (Tag, Observations)>,
    ) {
        observations.into_iter().for_each(|(tag, observations)| {
            self.observations.entry(tag).or_default().add(observations)
        });
    }

    /// Returns the observations of slow and failing targets since the last call.
    pub(super) fn take_observations(&mut self) -> HashMap<Tag, Observations> {
        std::mem::take(&mut self.observations)
    }

    /// Returns the requests of all other hosts by target, if they have changed. Hosts whose report
    /// has timed out are dropped.
    pub(super) fn sum_if_changed(&mut self, now: Time) -> Option<HashMap<Tag, u32>> {
        if now.since(self.summed_at) < COLLECTION_TIME {
            return None;
        }
        self.summed_at = now;
        let host_count = self.hosts.len();
        self.hosts.retain(|_, peer| now.since(peer.received_at) < PEER_TIMEOUT);
        if !std::mem::take(&mut self.changed) && self.hosts.len() == host_count {
            return None;
        }
        let mut sum = HashMap::new();
        for (tag, count) in self.hosts.values().flat_map(|peer| &peer.requests) {
            *sum.entry(*tag).or_default() += count;
        }
        Some(sum)
    }
}
