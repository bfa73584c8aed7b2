//! Member records: merging those that arrive and gossiping those that change.

use rand::RngExt;

use super::{Detector, Incarnation, Known, Member, State, Transition, Update, is_due};
use crate::{clock::Time, id};

impl Detector {
    /// Whether a repair is due because another host's `digest` differs from this host's; if so,
    /// records that it has started.
    pub(super) fn may_repair(&mut self, now: Time, digest: u64) -> bool {
        // While updates are being gossiped, digests differ without a need for repair.
        let factor = if self.updates.is_empty() { 1 } else { 10 };
        let is_due = is_due(self.repaired_at, now, self.config.repair_interval * factor);
        let repairs = is_due && digest != self.digest.all();
        if repairs {
            self.repaired_at = Some(now);
        }
        repairs
    }

    /// Returns the records of data centres. If there are more than `records_max`, a run that starts
    /// at a random record is returned, so that each is sent eventually.
    pub(super) fn records(&mut self, data_centres: &[id::DataCentre]) -> Vec<Member> {
        let mut members: Vec<Member> = self
            .known
            .values()
            .map(|known| &known.member)
            .chain([&self.me])
            .filter(|member| data_centres.contains(&member.data_centre))
            .cloned()
            .collect();
        if members.len() > self.config.records_max {
            let start = self.rng.random_range(0..members.len());
            members.rotate_left(start);
            members.truncate(self.config.records_max);
        }
        members
    }

    pub(super) fn merge(&mut self, now: Time, record: Member) {
        self.merge_from(now, record, false);
    }

    /// Merges a record and gossips it, unless a repair brought it and only this host lacked the
    /// member: other hosts then have the record already.
    pub(super) fn merge_from(&mut self, now: Time, record: Member, is_repair: bool) {
        if record.name == self.me.name {
            self.refute(&record);
            return;
        }
        if !self.has_room_for(&record) {
            return;
        }
        let (from, before) = match self.known.get(&record.name) {
            Some(known) if !record.supersedes(&known.member) => return,
            Some(known) => (Some(known.member.state), Some(known.member.incarnation)),
            None => (None, None),
        };
        if from.is_none() {
            self.add_to_rounds(now, &record);
        }
        let is_same_process = before.is_some_and(|b| b.process() == record.incarnation.process());
        self.transitions.push(Transition {
            name: record.name.clone(),
            incarnation: record.incarnation,
            from,
            to: record.state,
        });
        if is_repair && from.is_none() {
            self.changes += 1;
        } else {
            self.gossip(&record.name);
        }
        self.update_suspicion(now, &record);
        self.digest.toggle(&record);
        let config = self.config;
        match self.known.get_mut(&record.name) {
            Some(known) => {
                self.digest.toggle(&known.member);
                known.update(now, record, is_same_process, &config);
            }
            None => {
                let name = record.name.clone();
                let known =
                    Known { member: record, changed_at: now, deaths: 0, held_until: Time::ZERO };
                self.known.insert(name, known);
            }
        }
    }

    /// Whether a record may be taken. Anyone who reaches the host's port may name hosts, so those that are not known
    /// otherwise have limited room.
    pub(super) fn has_room_for(&self, record: &Member) -> bool {
        let name = &record.data_centre;
        let is_known = self.known.contains_key(&record.name)
            || self.registered.contains(&record.name)
            || record.name == self.me.name;
        let has_data_centre = *name == self.me.data_centre || self.data_centres.contains(name);
        is_known
            || self.known.len() < self.config.members_max
                && (has_data_centre || self.data_centres.len() < self.config.data_centres_max)
    }

    /// Adds a new member to the round of probes, or its data centre to the round of exchanges.
    pub(super) fn add_to_rounds(&mut self, now: Time, record: &Member) {
        let name = &record.data_centre;
        if *name == self.me.data_centre {
            self.probe_round.push(record.peers);
        } else if !self.data_centres.contains(name) {
            let index = self.rng.random_range(0..=self.data_centres.len());
            self.data_centres.insert(index, name.clone());
            self.last_received.entry(name.clone()).or_insert(now);
        }
    }

    /// Starts or ends the suspicion of a member of this host's data centre.
    pub(super) fn update_suspicion(&mut self, now: Time, record: &Member) {
        if record.data_centre != self.me.data_centre {
            return;
        }
        match record.state {
            State::Suspect => {
                self.suspects.insert(record.name.clone(), now);
            }
            State::Live | State::Leaving | State::Dead => {
                self.suspects.remove(&record.name);
            }
        }
    }

    /// Refutes another host's record of this host if it would prevail over this host's own.
    pub(super) fn refute(&mut self, record: &Member) {
        let is_newer = record.incarnation > self.me.incarnation;
        let is_wrong = record.incarnation == self.me.incarnation && record.state > self.me.state;
        if is_newer || is_wrong {
            self.set_own(self.me.incarnation.refuting(record.incarnation), self.me.state);
        }
    }

    pub(super) fn set_own(&mut self, incarnation: Incarnation, state: State) {
        self.digest.toggle(&self.me);
        self.me.incarnation = incarnation;
        self.me.state = state;
        self.digest.toggle(&self.me);
        self.gossip(&self.me.name.clone());
    }

    /// Queues the record of a member to be gossiped.
    pub(super) fn gossip(&mut self, name: &id::EntryHost) {
        self.changes += 1;
        self.updates.retain(|update| update.name != *name);
        self.updates.push(Update { name: name.clone(), transmissions: 0 });
    }

    /// Returns the updates for one message, those with the fewest transmissions first, and drops
    /// updates that have been sent often enough.
    pub(super) fn take_updates(&mut self) -> Vec<Member> {
        let members = u32::try_from(self.known.len() + 2).unwrap_or(u32::MAX);
        let transmissions_max = 2 * (members.ilog2() + 1);
        self.updates.sort_by_key(|update| update.transmissions);
        let mut records = Vec::new();
        for update in self.updates.iter_mut().take(self.config.updates_max) {
            update.transmissions += 1;
            if update.name == self.me.name {
                records.push(self.me.clone());
            } else if let Some(known) = self.known.get(&update.name) {
                records.push(known.member.clone());
            }
        }
        self.updates.retain(|update| update.transmissions < transmissions_max);
        records
    }
}
