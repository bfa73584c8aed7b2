//! Reachability of other data centres, which delegates determine by exchanges with them.

use std::net::SocketAddr;

use rand::{RngExt, seq::SliceRandom};

use super::{Detector, Envelope, Member, State};
use crate::{clock::Time, id, membership::rendezvous_score};

const DELEGATE: &str = "delegate";
const FAILED_EXCHANGES_MAX: u32 = 3;
/// Data centres with failed exchanges that are probed in addition to the next one of the round.
const FAILED_PROBES_MAX: usize = 4;

impl Detector {
    /// Returns the data centres that cannot be reached from this one, sorted.
    ///
    /// A host that is not a delegate returns those that every recent report of a delegate names.
    pub fn unreachable(&self, now: Time) -> Vec<id::DataCentre> {
        if self.is_delegate() {
            return self.unresponsive(now);
        }
        let stale = self.config.probe_interval * 20;
        let delegates = self.delegates();
        let mut reports = self
            .reports
            .iter()
            .filter(|(name, report)| delegates.contains(name) && now.since(report.received) < stale)
            .map(|(_, report)| &report.unreachable);
        let Some(first) = reports.next() else { return Vec::new() };
        let rest: Vec<_> = reports.collect();
        first.iter().filter(|name| rest.iter().all(|r| r.contains(name))).cloned().collect()
    }

    /// Returns the data centres with too many failed exchanges or without a message for too long.
    pub(super) fn unresponsive(&self, now: Time) -> Vec<id::DataCentre> {
        let rounds = u32::try_from(self.data_centres.len().max(2)).unwrap_or(u32::MAX);
        let limit = self.config.exchange_interval * rounds * self.config.unresponsive_rounds;
        let limit = limit.max(self.config.suspicion);
        let is_unresponsive = |name: &&id::DataCentre| {
            if self.failed_exchanges.get(*name).is_some_and(|count| *count >= FAILED_EXCHANGES_MAX)
            {
                return true;
            }
            let received = self.last_received.get(*name).copied().max(self.delegate_since);
            received.is_none_or(|received| now.since(received) > limit)
        };
        let mut names: Vec<id::DataCentre> =
            self.data_centres.iter().filter(is_unresponsive).cloned().collect();
        names.sort();
        names
    }

    /// Counts a failed exchange with another data centre, so that it is soon probed again.
    pub(super) fn record_failed_exchange(&mut self, target: SocketAddr) {
        let known = self.known.values().find(|known| known.member.peers == target);
        let Some(known) = known else { return };
        let name = &known.member.data_centre;
        if *name != self.me.data_centre && known.member.state != State::Dead {
            *self.failed_exchanges.entry(name.clone()).or_insert(0) += 1;
        }
    }

    /// Adopts the data centres that another delegate could not reach, so that they are probed next.
    pub(super) fn adopt_failures(&mut self, unreachable: &[id::DataCentre]) {
        if !self.is_delegate() {
            return;
        }
        for name in unreachable.iter().filter(|name| self.data_centres.contains(name)) {
            // One failed exchange of this host then confirms the other delegate's report.
            self.failed_exchanges.entry(name.clone()).or_insert(FAILED_EXCHANGES_MAX - 1);
        }
    }

    /// Probes the next data centre of the round, and a few of those with failed exchanges.
    pub(super) fn probe_remote_data_centres(&mut self, now: Time) -> Vec<Envelope> {
        let mut names: Vec<id::DataCentre> = self.failed_exchanges.keys().cloned().collect();
        names.shuffle(&mut self.rng);
        names.truncate(FAILED_PROBES_MAX);
        if let Some(next) = self.data_centres.pop() {
            self.data_centres.insert(0, next.clone());
            names.push(next);
        }
        names.sort();
        names.dedup();
        names.into_iter().filter_map(|name| self.probe_remote(now, &name)).collect()
    }

    /// Probes a delegate of another data centre, or any of its hosts if it is unresponsive.
    pub(super) fn probe_remote(&mut self, now: Time, name: &id::DataCentre) -> Option<Envelope> {
        let remote = self.known.values().map(|k| &k.member).filter(|m| m.data_centre == *name);
        let mut peers: Vec<&Member> = remote.collect();
        let is_unresponsive = self.unresponsive(now).contains(name);
        if !is_unresponsive && peers.iter().any(|member| member.state != State::Dead) {
            peers.retain(|member| member.state != State::Dead);
            // Probing only delegates bounds the number of connections that a delegate holds.
            peers.sort_by_key(|m| std::cmp::Reverse(rendezvous_score(m.name.as_str(), DELEGATE)));
            peers.truncate(self.config.delegates);
        }
        let peers: Vec<SocketAddr> = peers.into_iter().map(|member| member.peers).collect();
        if peers.is_empty() {
            return None;
        }
        let index = match self.failed_exchanges.get(name) {
            // Another host each time, so that one dead host does not make its data centre
            // unreachable.
            Some(count) => usize::try_from(*count).unwrap_or(0) % peers.len(),
            None => self.rng.random_range(0..peers.len()),
        };
        Some(self.ping(now, peers[index], None))
    }

    /// Returns the hosts of this host's data centre that are delegates in its view.
    pub(super) fn delegates(&self) -> Vec<&id::EntryHost> {
        let mut names: Vec<&id::EntryHost> =
            self.local().map(|member| &member.name).chain([&self.me.name]).collect();
        names.sort_by_key(|name| {
            std::cmp::Reverse((rendezvous_score(name.as_str(), DELEGATE), *name))
        });
        names.truncate(self.config.delegates);
        names
    }

    pub(super) fn is_elected(&self) -> bool {
        self.delegates().contains(&&self.me.name)
    }

    /// Whether the host is a delegate, which exchanges digests with other data centres.
    pub fn is_delegate(&self) -> bool {
        self.delegate_since.is_some()
    }
}
