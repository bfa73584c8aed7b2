//! Selection of the hosts of a region that follow the store and relay its changes to the others.
//!
//! Calls to the store are expensive, and their rate is bounded over the whole fleet. So a few
//! watchers of each region follow the store: the first live members by rank. They send each change
//! to the other hosts of the region, and a heartbeat with the versions that they know at short
//! intervals. Hosts rank by the capacity of their machines, since a watcher sends each change many
//! times over its link, and by rendezvous hashing among equals.
//!
//! A heartbeat says when the store last answered its sender. When the answers of too few watchers
//! are recent, further hosts take over in rank order, in groups that double, so that the last host
//! of a large region is not much later than the first. A host also asks the store itself when what
//! it knows has not been confirmed for as long, whatever the heartbeats say. So no host depends for
//! longer on hosts that are rejected by the store, cut off or slow, however many they are.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    clock::Time,
    id,
    membership::{Member, State, View, rendezvous_score},
};

/// Watchers of a region; one may fail without a gap.
const WATCHERS: usize = 2;
/// Age of the store's answers to the watchers after which the next hosts take over: the interval
/// of answers and that of heartbeats, and a part of the time in which changes must be in force.
pub(super) const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time that a group of hosts has to take over and send before the next group does: a call to the
/// store and a tick.
const TAKEOVER_STEP: Duration = Duration::from_millis(200);
/// Hosts whose heartbeats are remembered; more than a region has.
const HEARTBEATS_MAX: usize = 4_096;
/// Time for which a heartbeat is remembered; longer than any takeover timeout.
const HEARTBEAT_RETENTION: Duration = Duration::from_secs(60);
/// Time after the fleet's first start in which the members become known. A host that starts later
/// reads the store at once, so that it serves again soon.
const MEMBERSHIP_SETTLE_TIME: Duration = Duration::from_millis(500);

/// Interval at which watchers send the versions that they know.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// One host's part in relaying changes of the store.
#[derive(Debug)]
pub struct Relay {
    host: id::EntryHost,
    region: Option<id::Region>,
    regions: BTreeMap<id::DataCentre, id::Region>,
    started: Time,
    active_from: Time,
    /// When the store last answered each host that sent a heartbeat.
    last_answers: BTreeMap<SocketAddr, Time>,
    /// When all that this host knows was last confirmed.
    confirmed_at: Option<Time>,
    /// Capacities of the hosts' machines; 0 for a host that does not report one.
    capacities: BTreeMap<id::EntryHost, u32>,
    /// Live hosts of the region, by rank.
    region_hosts: Vec<(id::EntryHost, SocketAddr)>,
    /// This host's rank; `None` until it is known as live.
    rank: Option<usize>,
    peers: Vec<SocketAddr>,
}

impl Relay {
    /// Creates the relay of a host that starts now; `first_start` says whether the whole fleet
    /// starts for the first time.
    pub fn new(
        now: Time,
        first_start: bool,
        host: id::EntryHost,
        data_centre: &id::DataCentre,
        regions: BTreeMap<id::DataCentre, id::Region>,
    ) -> Relay {
        let region = regions.get(data_centre).cloned();
        Relay {
            host,
            region,
            regions,
            started: now,
            active_from: if first_start { now + MEMBERSHIP_SETTLE_TIME } else { now },
            last_answers: BTreeMap::new(),
            confirmed_at: None,
            capacities: BTreeMap::new(),
            region_hosts: Vec::new(),
            rank: None,
            peers: Vec::new(),
        }
    }

    /// Whether a data centre is in the host's region.
    pub fn is_in_region(&self, data_centre: &id::DataCentre) -> bool {
        self.regions.get(data_centre) == self.region.as_ref()
    }

    /// Sets the members.
    pub fn set_view(&mut self, view: &View) {
        let is_live_in_region = |member: &&Member| {
            self.is_in_region(&member.data_centre)
                && matches!(member.state, State::Live | State::Suspect)
        };
        let hosts = view.members.iter().filter(is_live_in_region);
        self.region_hosts = hosts.map(|member| (member.name.clone(), member.peers)).collect();
        let others = self.region_hosts.iter().filter(|(name, _)| *name != self.host);
        self.peers = others.map(|(_, peers)| *peers).collect();
        self.sort_hosts();
    }

    /// Sets the capacities of the hosts' machines.
    pub fn set_capacities(&mut self, capacities: BTreeMap<id::EntryHost, u32>) {
        self.capacities = capacities;
        self.sort_hosts();
    }

    fn sort_hosts(&mut self) {
        let rank = |name: &id::EntryHost| {
            let capacity = self.capacities.get(name).copied().unwrap_or_default();
            std::cmp::Reverse((capacity, rendezvous_score(name.as_str(), "watcher")))
        };
        self.region_hosts.sort_by_cached_key(|(name, _)| rank(name));
        self.rank = self.region_hosts.iter().position(|(name, _)| *name == self.host);
    }

    /// Records the heartbeat of a host that the store last answered at `answered_at`.
    pub fn record_heartbeat(&mut self, now: Time, from: SocketAddr, answered_at: Time) {
        self.last_answers.retain(|_, answered_at| now < *answered_at + HEARTBEAT_RETENTION);
        if self.last_answers.len() < HEARTBEATS_MAX || self.last_answers.contains_key(&from) {
            self.last_answers.insert(from, answered_at);
        }
    }

    /// Sets when all that this host knows was last confirmed.
    pub fn set_confirmed(&mut self, confirmed_at: Option<Time>) {
        self.confirmed_at = confirmed_at;
    }

    /// Whether the host follows the store. It relays changes to its region while it is connected.
    pub fn is_active(&self, now: Time) -> bool {
        match self.rank.filter(|rank| *rank >= WATCHERS) {
            None => now >= self.active_from,
            Some(rank) => {
                let timeout = HEARTBEAT_TIMEOUT + TAKEOVER_STEP * (rank / WATCHERS).ilog2();
                let covered_until = self.covered_until(rank);
                let current_until = self.confirmed_at.unwrap_or(covered_until).min(covered_until);
                now >= current_until + timeout
            }
        }
    }

    /// Returns the time since the store last answered enough hosts ranked above this one.
    pub fn uncovered(&self, now: Time) -> Duration {
        now.since(self.covered_until(self.rank.unwrap_or_default()))
    }

    /// Returns when the store last answered enough hosts ranked above `rank`.
    fn covered_until(&self, rank: usize) -> Time {
        // A host that is not known yet counts as ranked above this one.
        let ranks_higher = |from: &SocketAddr| {
            let other_rank = self.region_hosts.iter().position(|(_, peers)| peers == from);
            other_rank.is_none_or(|other_rank| other_rank < rank)
        };
        let of_higher = self.last_answers.iter().filter(|(from, _)| ranks_higher(from));
        let mut answers: Vec<Time> = of_higher.map(|(_, answered_at)| *answered_at).collect();
        answers.sort_unstable();
        answers.iter().rev().nth(WATCHERS - 1).copied().unwrap_or(self.started)
    }

    /// Returns the other hosts of the region.
    pub fn peers(&self) -> &[SocketAddr] {
        &self.peers
    }
}
