//! Removals of targets that may only have lapsed.
//!
//! Entries of targets that are removed right after an outage of the store may have lapsed only because
//! the target could not renew them. Such removals wait for [`LAPSE_HOLD`]; an entry that is back by then
//! stays.

use std::collections::BTreeSet;

use toucanhoist_core::{
    clock::Time,
    event::Event,
    steering::{Changes, Entry, Key, Topic},
};

use super::{LAPSE_HOLD, OUTAGE_MIN, Task};
use crate::store::Batch;

impl Task {
    /// Notes that the store answers for a topic again.
    pub(super) fn regain(&mut self, now: Time, topic: Topic) {
        let Some(since) = self.lost.remove(&topic) else { return };
        let away = now.since(since);
        if topic == Topic::Targets && away >= OUTAGE_MIN {
            self.lapse_until = now + LAPSE_HOLD;
        }
        let (topic, away_ms) = (topic.as_str(), away.as_millis());
        self.parts.journal.note(Event::PlatformUp, &[("topic", &topic), ("away_ms", &away_ms)]);
    }

    /// Holds the removals that may be those of targets which could not renew their entries; returns the
    /// other entries.
    pub(super) fn hold_lapses(
        &mut self,
        now: Time,
        entries: Vec<(Key, Entry)>,
    ) -> Vec<(Key, Entry)> {
        let is_lapse = |(key, entry): &(Key, Entry)| {
            now < self.lapse_until && key.topic() == Topic::Targets && entry.value.is_none()
        };
        let (lapses, others): (Vec<_>, Vec<_>) = entries.into_iter().partition(is_lapse);
        self.held.extend(lapses);
        others
    }

    pub(super) fn replace(&mut self, now: Time, topic: Topic, batch: Batch) -> BTreeSet<Key> {
        if topic != Topic::Targets || now >= self.lapse_until {
            return self.registry.replace(topic, batch.version, batch.entries);
        }
        self.held.extend(self.registry.missing(topic, batch.version, &batch.entries));
        self.registry.follow(topic, batch.version, batch.entries).0
    }

    /// Applies the removals that were held.
    pub(super) fn apply_held(&mut self, now: Time) {
        let held = std::mem::take(&mut self.held);
        let applied = self.registry.apply_all(&held);
        self.publish(now, &applied);
        self.applied_late.extend(held);
        self.tell_late();
    }

    /// Tells of removals that were applied after a hold.
    pub(super) fn tell_late(&self) {
        let reach = self.registry.version(Topic::Targets).unwrap_or_default();
        let entries = self.applied_late.clone();
        self.tell_changes(&Changes { topic: Topic::Targets, after: reach, upto: reach, entries });
    }
}
