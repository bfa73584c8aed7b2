//! Which hosts of a region follow the store, and tell the others.
//!
//! Each call to the store costs, and its rate is bounded over the whole fleet. So a few watchers of each
//! region follow it, chosen by rendezvous hashing among the live members, and tell the others of each
//! change, and at short intervals how far they are. A host that hears of no watcher in touch with the store
//! follows the store itself.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    clock::Time,
    id,
    membership::{Member, State, View, score},
};

/// Hosts of a region that follow the store: one may fail without a gap.
const WATCHERS: usize = 2;
/// Time without word from a watcher after which a host follows the store itself: two intervals of
/// their word, and a part of the time in which changes must be in force.
const SILENCE_MAX: Duration = Duration::from_millis(1_200);
/// Time after the fleet's first start in which the members become known. A host that starts later reads
/// the store at once, so that it serves again soon.
const SETTLE: Duration = Duration::from_millis(500);

/// Interval at which watchers tell how far they are.
pub const WORD_INTERVAL: Duration = Duration::from_millis(500);

/// One host's part in passing on what the store says.
#[derive(Debug)]
pub struct Relay {
    host: id::EntryHost,
    region: Option<id::Region>,
    regions: BTreeMap<id::DataCentre, id::Region>,
    settled: Time,
    heard: Time,
    is_watcher: bool,
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
            settled: if first_start { now + SETTLE } else { now },
            heard: now,
            is_watcher: true,
            neighbours: Vec::new(),
        }
    }

    /// Whether a data centre is in the host's region.
    pub fn is_near(&self, data_centre: &id::DataCentre) -> bool {
        self.regions.get(data_centre) == self.region.as_ref()
    }

    /// Takes in the members.
    pub fn set_view(&mut self, view: &View) {
        let is_near = |member: &&Member| {
            self.is_near(&member.data_centre)
                && matches!(member.state, State::Live | State::Suspect)
        };
        let mut near: Vec<&Member> = view.members.iter().filter(is_near).collect();
        let others = near.iter().filter(|member| member.name != self.host);
        self.neighbours = others.map(|member| member.peers).collect();
        near.sort_by_key(|member| std::cmp::Reverse(score(member.name.as_str(), "watcher")));
        let is_live = near.iter().any(|member| member.name == self.host);
        let place = near.iter().position(|member| member.name == self.host);
        self.is_watcher = !is_live || place.is_some_and(|place| place < WATCHERS);
    }

    /// Takes in the word of a watcher that is in touch with the store.
    pub fn heard(&mut self, now: Time) {
        self.heard = self.heard.max(now);
    }

    /// Whether the host follows the store.
    pub fn is_active(&self, now: Time) -> bool {
        (now >= self.settled && self.is_watcher) || now.since(self.heard) >= SILENCE_MAX
    }

    /// Whether the host tells the others of its region.
    pub fn is_watcher(&self) -> bool {
        self.is_watcher
    }

    /// Returns the other hosts of the region.
    pub fn neighbours(&self) -> &[SocketAddr] {
        &self.neighbours
    }
}
