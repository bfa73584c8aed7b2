//! What the host knows of others, and what it tells on.

use rand::RngExt;

use super::{Detector, Incarnation, Known, Member, Rumour, State, Transition, is_due};
use crate::{clock::Time, id};

impl Detector {
    pub(super) fn may_repair(&mut self, now: Time, theirs: u64) -> bool {
        // Rumours come first: while some are under way, digests differ without need of a repair.
        let patience = if self.rumours.is_empty() { 1 } else { 10 };
        let due = is_due(self.repaired, now, self.config.repair_interval * patience);
        let repairs = due && theirs != self.digest.all();
        if repairs {
            self.repaired = Some(now);
        }
        repairs
    }

    /// Returns records of data centres, beginning anywhere so that all get their turn.
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

    /// Takes a record, and tells others unless it is an old one that only this host lacked.
    pub(super) fn merge_from(&mut self, now: Time, record: Member, is_repair: bool) {
        if record.name == self.me.name {
            self.refute(&record);
            return;
        }
        let (from, before) = match self.known.get(&record.name) {
            Some(known) if !record.supersedes(&known.member) => return,
            Some(known) => (Some(known.member.state), Some(known.member.incarnation)),
            None => (None, None),
        };
        if from.is_none() {
            self.meet(now, &record);
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
            self.rumour(&record.name);
        }
        self.watch(now, &record);
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
                    Known { member: record, changed: now, deaths: 0, held_until: Time::ZERO };
                self.known.insert(name, known);
            }
        }
    }

    /// Notes a member that was not known.
    pub(super) fn meet(&mut self, now: Time, record: &Member) {
        let name = &record.data_centre;
        if *name == self.me.data_centre {
            self.ring.push(record.peers);
        } else if !self.data_centres.contains(name) {
            let place = self.rng.random_range(0..=self.data_centres.len());
            self.data_centres.insert(place, name.clone());
            self.heard.entry(name.clone()).or_insert(now);
        }
    }

    /// Starts or ends the suspicion of a member of the own data centre.
    pub(super) fn watch(&mut self, now: Time, record: &Member) {
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

    pub(super) fn refute(&mut self, said: &Member) {
        let is_newer = said.incarnation > self.me.incarnation;
        let is_wrong = said.incarnation == self.me.incarnation && said.state > self.me.state;
        if is_newer || is_wrong {
            self.set_own(self.me.incarnation.refuting(said.incarnation), self.me.state);
        }
    }

    pub(super) fn set_own(&mut self, incarnation: Incarnation, state: State) {
        self.digest.toggle(&self.me);
        self.me.incarnation = incarnation;
        self.me.state = state;
        self.digest.toggle(&self.me);
        self.rumour(&self.me.name.clone());
    }

    pub(super) fn rumour(&mut self, name: &id::EntryHost) {
        self.changes += 1;
        self.rumours.retain(|rumour| rumour.name != *name);
        self.rumours.push(Rumour { name: name.clone(), sent: 0 });
    }

    /// Takes the least told rumours for one message.
    pub(super) fn take_rumours(&mut self) -> Vec<Member> {
        let members = u32::try_from(self.known.len() + 2).unwrap_or(u32::MAX);
        let most = 2 * (members.ilog2() + 1);
        self.rumours.sort_by_key(|rumour| rumour.sent);
        let mut records = Vec::new();
        for rumour in self.rumours.iter_mut().take(self.config.rumours_max) {
            rumour.sent += 1;
            if rumour.name == self.me.name {
                records.push(self.me.clone());
            } else if let Some(known) = self.known.get(&rumour.name) {
                records.push(known.member.clone());
            }
        }
        self.rumours.retain(|rumour| rumour.sent < most);
        records
    }
}
