//! Removals of targets right after the store was away: they wait, as the target may only not have been able
//! to renew its entry.

use std::collections::BTreeSet;

use toucanhoist_core::{
    clock::Time,
    event::Event,
    steering::{Entry, Key, Topic},
};

use super::Task;
use crate::store::Batch;

impl Task {
    /// Notes that the store answers for a topic.
    pub(super) fn answered(&mut self, now: Time, topic: Topic) {
        let Some(away) = self.touch.answer(now, topic) else { return };
        let (topic, away_ms) = (topic.as_str(), away.as_millis());
        self.parts.journal.note(Event::PlatformUp, &[("topic", &topic), ("away_ms", &away_ms)]);
    }

    /// Sets removals aside that may be lapses; returns the other entries.
    pub(super) fn set_aside(&mut self, now: Time, entries: Vec<(Key, Entry)>) -> Vec<(Key, Entry)> {
        if self.touch.may_lapse(now) { self.registry.set_aside(entries) } else { entries }
    }

    /// Takes in all entries of a topic.
    pub(super) fn replace(&mut self, now: Time, topic: Topic, batch: Batch) -> BTreeSet<Key> {
        if topic != Topic::Targets || !self.touch.may_lapse(now) {
            return self.registry.replace(topic, batch.version, batch.entries);
        }
        let missing = self.registry.missing(topic, batch.version, &batch.entries);
        self.registry.set_aside(missing);
        self.registry.follow(topic, batch.version, batch.entries).0
    }

    /// Takes in the removals that were set aside, once they are no lapses.
    pub(super) fn settle(&mut self, now: Time) {
        if self.touch.may_lapse(now) {
            return;
        }
        let Some((changed, changes)) = self.registry.settle() else { return };
        self.publish(now, &changed);
        self.tell_changes(now, &changes);
    }
}
