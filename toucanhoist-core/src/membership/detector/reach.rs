//! Which data centres can be reached, and the exchanges of delegates that find out.

use std::net::SocketAddr;

use rand::{RngExt, seq::SliceRandom};

use super::{Detector, Envelope, Member, State};
use crate::{clock::Time, id, membership::rendezvous_score};

const DELEGATE: &str = "delegate";
const FAILED_EXCHANGES_MAX: u32 = 3;
const DOUBTED_PROBES: usize = 4;

impl Detector {
    /// Returns the data centres that cannot be reached from this one, sorted.
    pub fn unreachable(&self, now: Time) -> Vec<id::DataCentre> {
        if self.is_delegate() {
            return self.silent(now);
        }
        let stale = self.config.probe_interval * 20;
        let delegates = self.delegates();
        let mut reports = self
            .reports
            .iter()
            .filter(|(name, report)| delegates.contains(name) && now.since(report.at) < stale)
            .map(|(_, report)| &report.unreachable);
        let Some(first) = reports.next() else { return Vec::new() };
        let rest: Vec<_> = reports.collect();
        first.iter().filter(|name| rest.iter().all(|r| r.contains(name))).cloned().collect()
    }

    pub(super) fn silent(&self, now: Time) -> Vec<id::DataCentre> {
        let rounds = u32::try_from(self.data_centres.len().max(2)).unwrap_or(u32::MAX);
        let limit = self.config.exchange_interval * rounds * self.config.silent_rounds;
        let limit = limit.max(self.config.suspicion);
        let silent = |name: &&id::DataCentre| {
            if self.doubts.get(*name).is_some_and(|failed| *failed >= FAILED_EXCHANGES_MAX) {
                return true;
            }
            let heard = self.heard.get(*name).copied().max(self.delegate_since);
            heard.is_none_or(|heard| now.since(heard) > limit)
        };
        let mut names: Vec<id::DataCentre> =
            self.data_centres.iter().filter(silent).cloned().collect();
        names.sort();
        names
    }

    /// Counts a failed exchange with another data centre, so that it is soon tried again.
    pub(super) fn doubt(&mut self, target: SocketAddr) {
        let known = self.known.values().find(|known| known.member.peers == target);
        let Some(known) = known else { return };
        let name = &known.member.data_centre;
        if *name != self.me.data_centre && known.member.state != State::Dead {
            *self.doubts.entry(name.clone()).or_insert(0) += 1;
        }
    }

    /// Takes up what another delegate could not reach, to try it next.
    pub(super) fn share_doubts(&mut self, unreachable: &[id::DataCentre]) {
        if !self.is_delegate() {
            return;
        }
        for name in unreachable.iter().filter(|name| self.data_centres.contains(name)) {
            // One failure of its own confirms what another delegate found.
            self.doubts.entry(name.clone()).or_insert(FAILED_EXCHANGES_MAX - 1);
        }
    }

    /// Probes the next data centre, and a few of the doubted ones.
    pub(super) fn probe_remote_data_centres(&mut self, now: Time) -> Vec<Envelope> {
        let mut names: Vec<id::DataCentre> = self.doubts.keys().cloned().collect();
        names.shuffle(&mut self.rng);
        names.truncate(DOUBTED_PROBES);
        if let Some(next) = self.data_centres.pop() {
            self.data_centres.insert(0, next.clone());
            names.push(next);
        }
        names.sort();
        names.dedup();
        names.into_iter().filter_map(|name| self.probe_remote(now, &name)).collect()
    }

    /// Probes a delegate of another data centre, or any of its hosts if it has been silent.
    pub(super) fn probe_remote(&mut self, now: Time, name: &id::DataCentre) -> Option<Envelope> {
        let remote = self.known.values().map(|k| &k.member).filter(|m| m.data_centre == *name);
        let mut peers: Vec<&Member> = remote.collect();
        let is_silent = self.silent(now).contains(name);
        if !is_silent && peers.iter().any(|member| member.state != State::Dead) {
            peers.retain(|member| member.state != State::Dead);
            // Few receivers bound the connections that a delegate holds.
            peers.sort_by_key(|m| std::cmp::Reverse(rendezvous_score(m.name.as_str(), DELEGATE)));
            peers.truncate(self.config.delegates);
        }
        let peers: Vec<SocketAddr> = peers.into_iter().map(|member| member.peers).collect();
        if peers.is_empty() {
            return None;
        }
        let place = match self.doubts.get(name) {
            // Another one each time, so that a single dead host does not cut its data centre off.
            Some(failed) => usize::try_from(*failed).unwrap_or(0) % peers.len(),
            None => self.rng.random_range(0..peers.len()),
        };
        Some(self.ping(now, peers[place], None))
    }

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

    /// Whether the host exchanges digests with other data centres for its own.
    pub fn is_delegate(&self) -> bool {
        self.delegate_since.is_some()
    }
}
