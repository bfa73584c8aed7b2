//! Which hosts of a region follow the store, and tell the others.
//!
//! Each call to the store costs, and its rate is bounded over the whole fleet. So a few watchers of each
//! region follow it, the first ones in an order of the live members, and tell the others of each change, and at
//! short intervals how far they are. The order is by the capacity of their machines, since what they tell goes
//! through their link many times, and by rendezvous hashing among equals. When too few in touch with the store are
//! heard, the others step in by the same order, one after another: who hears enough hosts before it in the
//! order rests. So two hosts tell the others whichever are turned away by the store, cut off or slow.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    clock::Time,
    id,
    membership::{Member, State, View, rendezvous_score},
};

/// Hosts of a region that follow the store: one may fail without a gap.
const WATCHERS: usize = 2;
/// Time without word from enough hosts after which the next one steps in: two intervals of their word, and
/// a part of the time in which changes must be in force.
pub(super) const SILENCE_MAX: Duration = Duration::from_millis(1_200);
/// Time that a host has to step in and tell before the next one does: a call to the store and a tick.
const STEP: Duration = Duration::from_millis(200);
/// Time for which a word is kept; more than any host waits for one.
const WORD_KEEP: Duration = Duration::from_secs(60);
/// Time after the fleet's first start in which the members become known. A host that starts later reads
/// the store at once, so that it serves again soon.
const SETTLE: Duration = Duration::from_millis(500);

/// Interval at which watchers tell how far they are.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// One host's part in passing on what the store says.
#[derive(Debug)]
pub struct Relay {
    host: id::EntryHost,
    region: Option<id::Region>,
    regions: BTreeMap<id::DataCentre, id::Region>,
    started: Time,
    settled: Time,
    /// Last word of each host in touch with the store.
    heard: BTreeMap<SocketAddr, Time>,
    /// What the machines of hosts give them; 0 for a host that does not say.
    capacities: BTreeMap<id::EntryHost, u32>,
    /// Live hosts of the region in their order.
    near: Vec<(id::EntryHost, SocketAddr)>,
    /// This host's place in the order; `None` until it is known as live.
    place: Option<usize>,
    neighbours: Vec<SocketAddr>,
}

impl Relay {
    /// Creates the relay of a host that starts now; `first_start` says whether the whole fleet does,
    /// for the first time.
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
            settled: if first_start { now + SETTLE } else { now },
            heard: BTreeMap::new(),
            capacities: BTreeMap::new(),
            near: Vec::new(),
            place: None,
            neighbours: Vec::new(),
        }
    }

    /// Whether a data centre is in the host's region.
    pub fn is_in_region(&self, data_centre: &id::DataCentre) -> bool {
        self.regions.get(data_centre) == self.region.as_ref()
    }

    /// Takes in the members.
    pub fn set_view(&mut self, view: &View) {
        let is_near = |member: &&Member| {
            self.is_in_region(&member.data_centre)
                && matches!(member.state, State::Live | State::Suspect)
        };
        let near = view.members.iter().filter(is_near);
        self.near = near.map(|member| (member.name.clone(), member.peers)).collect();
        let others = self.near.iter().filter(|(name, _)| *name != self.host);
        self.neighbours = others.map(|(_, peers)| *peers).collect();
        self.arrange();
    }

    /// Takes in what the machines of hosts give them.
    pub fn set_capacities(&mut self, capacities: BTreeMap<id::EntryHost, u32>) {
        self.capacities = capacities;
        self.arrange();
    }

    fn arrange(&mut self) {
        let rank = |name: &id::EntryHost| {
            let capacity = self.capacities.get(name).copied().unwrap_or_default();
            std::cmp::Reverse((capacity, rendezvous_score(name.as_str(), "watcher")))
        };
        self.near.sort_by_cached_key(|(name, _)| rank(name));
        self.place = self.near.iter().position(|(name, _)| *name == self.host);
    }

    /// Takes in the word of a host that is in touch with the store.
    pub fn record_heartbeat(&mut self, now: Time, from: SocketAddr) {
        self.heard.retain(|_, heard| now < *heard + WORD_KEEP);
        self.heard.insert(from, now);
    }

    /// Whether the host follows the store, and tells the others of its region while it is in touch.
    pub fn is_active(&self, now: Time) -> bool {
        match self.place.filter(|place| *place >= WATCHERS) {
            None => now >= self.settled,
            Some(place) => {
                let silence_max = SILENCE_MAX + STEP * (place - WATCHERS) as u32;
                now >= self.enough_until(place) + silence_max
            }
        }
    }

    /// Returns until when enough hosts before a place have been heard.
    fn enough_until(&self, place: usize) -> Time {
        // A host that is not known yet counts as before this one.
        let is_before = |from: &SocketAddr| {
            let theirs = self.near.iter().position(|(_, peers)| peers == from);
            theirs.is_none_or(|theirs| theirs < place)
        };
        let before = self.heard.iter().filter(|(from, _)| is_before(from));
        let mut words: Vec<Time> = before.map(|(_, heard)| *heard).collect();
        words.sort_unstable();
        words.iter().rev().nth(WATCHERS - 1).copied().unwrap_or(self.started)
    }

    /// Returns the other hosts of the region.
    pub fn peers(&self) -> &[SocketAddr] {
        &self.neighbours
    }
}
