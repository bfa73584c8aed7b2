//! One host's copy of what the store holds, through absences of the store and its return from a copy.
//!
//! Removals of targets right after an absence wait, as the target may only not have been able to renew its
//! entry. When the store comes back from a copy that is some seconds old, what is known goes before the
//! copy: what had left stays away, and what the copy lacks stays until who wrote it can have written it
//! again.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{Changes, Connectivity, Entry, Key, Registry, Snapshot, Topic, Version};
use crate::clock::Time;

/// Time for which what is known is held against the store's copy: entries of targets that do not live lapse
/// after three heartbeats of some two seconds, and operators write theirs again before.
const HOLD: Duration = Duration::from_secs(10);

/// A host's copy of what the store holds.
#[derive(Debug, Default)]
pub struct Mirror {
    registry: Registry,
    touch: Connectivity,
    /// Since when something of a topic is held against the store's copy.
    held: BTreeMap<Topic, Time>,
}

/// What an answer of the store brought.
#[derive(Debug, Default)]
pub struct Update {
    /// Keys of which the content changed here.
    pub changed: BTreeSet<Key>,
    /// What to tell other hosts.
    pub broadcast: Option<Changes>,
    /// Time for which the store had not answered for the topic.
    pub outage: Option<Duration>,
    /// Version up to which the topic was known before the store came back from a copy, if it has since.
    pub restored: Option<Version>,
}

impl Mirror {
    /// Returns the entries.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Takes in all entries of a topic, as the store says; `None` if the answer dates from before the store
    /// came back from a copy.
    pub fn apply_read(
        &mut self,
        now: Time,
        topic: Topic,
        version: Version,
        entries: Vec<(Key, Entry)>,
    ) -> Option<Update> {
        if self.is_outdated(topic, version) {
            return None;
        }
        let outage = self.touch.mark_answered(now, topic);
        let known = self.registry.version(topic);
        let restored = known.filter(|known| known.era < version.era);
        if restored.is_some() {
            self.touch.mark_restored(now);
        }
        let missing = self.registry.missing(topic, version, &entries);
        let removed = self.set_aside(now, missing);
        let changed = self.registry.replace_with(topic, version, entries, removed);
        // Nothing is released by a read; the time begins for which it is held.
        self.released(now, topic, version);
        Some(Update { changed, broadcast: None, outage, restored })
    }

    /// Takes in the changes of a topic up to a version, as the store says; `None` if the answer dates from
    /// before the store came back from a copy.
    pub fn apply_changes(
        &mut self,
        now: Time,
        topic: Topic,
        version: Version,
        entries: Vec<(Key, Entry)>,
    ) -> Option<Update> {
        if self.is_outdated(topic, version) {
            return None;
        }
        let outage = self.touch.mark_answered(now, topic);
        let mut entries = self.set_aside(now, entries);
        entries.extend(self.released(now, topic, version));
        let (changed, told) = self.registry.apply_changes(topic, version, entries);
        Some(Update { changed, broadcast: Some(told), outage, restored: None })
    }

    /// Returns what was held against the store's copy long enough, as the store has it. It goes with a version
    /// that no host was told of yet, so that all learn of it.
    fn released(&mut self, now: Time, topic: Topic, version: Version) -> Vec<(Key, Entry)> {
        let held = self.registry.overridden(topic, version);
        if held.is_empty() {
            self.held.remove(&topic);
            return held;
        }
        let since = *self.held.entry(topic).or_insert(now);
        let is_told = self.registry.version(topic).is_some_and(|known| known >= version);
        if is_told || now < since + HOLD { Vec::new() } else { held }
    }

    fn is_outdated(&self, topic: Topic, version: Version) -> bool {
        self.registry.version(topic).is_some_and(|known| version.era < known.era)
    }

    fn set_aside(&mut self, now: Time, entries: Vec<(Key, Entry)>) -> Vec<(Key, Entry)> {
        if self.touch.defers_removals(now) {
            self.registry.defer_removals(entries)
        } else {
            entries
        }
    }

    /// Notes that the store does not answer for a topic; returns whether it did until now, or was not asked
    /// yet.
    pub fn mark_unanswered(&mut self, now: Time, topic: Topic) -> bool {
        self.touch.mark_unanswered(now, topic, self.registry.complete_version())
    }

    /// Notes that this host no longer asks the store.
    pub fn stop_following(&mut self) {
        self.touch.stop_following();
    }

    /// Whether the store answers for all topics.
    pub fn is_connected(&self) -> bool {
        self.touch.is_connected()
    }

    /// Takes in the removals that were set aside, once they are no lapses; returns the keys that changed, and
    /// what to tell other hosts.
    pub fn apply_deferred_removals(&mut self, now: Time) -> Option<(BTreeSet<Key>, Changes)> {
        if self.touch.defers_removals(now) { None } else { self.registry.apply_deferred_removals() }
    }

    /// Takes in another host's snapshot; returns the keys that changed.
    pub fn merge(&mut self, now: Time, snapshot: Snapshot) -> BTreeSet<Key> {
        for (topic, version) in &snapshot.versions {
            let known = self.registry.version(*topic);
            if known.is_some_and(|known| known.era < version.era) {
                self.touch.mark_restored(now);
            }
        }
        let removed = self.registry.removed(&snapshot);
        let removed = self.set_aside(now, removed);
        let entries = self.set_aside(now, snapshot.entries);
        self.registry.merge_with(Snapshot { entries, ..snapshot }, removed)
    }

    /// Takes in what another host tells of the store's changes; returns the keys that changed.
    pub fn apply_peer_changes(&mut self, changes: &Changes) -> BTreeSet<Key> {
        self.registry.apply_peer_changes(changes)
    }

    /// Takes in the word of a host that is in touch with the store.
    pub fn record_watcher_heartbeat(&mut self, now: Time) {
        self.touch.record_watcher_heartbeat(now);
    }

    /// Takes in that a host knows all up to a version.
    pub fn record_peer_version(&mut self, now: Time, version: Version) {
        self.touch.record_peer_version(now, version);
    }
}
