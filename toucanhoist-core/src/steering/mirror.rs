//! One host's copy of what the store holds, which survives outages and restores of the store.
//!
//! Removals of targets right after an outage are deferred, since the targets may only have been
//! unable to renew their entries. When the store is restored from a backup that is some seconds
//! old, local knowledge takes precedence: targets that had left stay removed, and entries that the
//! backup lacks stay until their writers have had time to write them again.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    Changes, Confirmation, Connectivity, Currency, Entry, Key, Registry, Snapshot, Topic, Version,
    builds::remove_unread, relay::HEARTBEAT_TIMEOUT,
};
use crate::clock::Time;

/// Time for which local knowledge overrides a restored store. Entries of dead targets expire after
/// three renewal intervals of about two seconds each, and operators repeat their writes sooner.
const OVERRIDE_TIME: Duration = Duration::from_secs(10);

/// A host's copy of what the store holds.
#[derive(Debug, Default)]
pub struct Mirror {
    registry: Registry,
    connectivity: Connectivity,
    currency: Currency,
    /// When targets had been confirmed before the first removal that is deferred now.
    deferred_since: Option<Time>,
    /// Since when local knowledge overrides entries of a topic in the restored store.
    overridden_since: BTreeMap<Topic, Time>,
    /// Versions up to which this host has to read topics itself, since a host of an earlier build
    /// could not.
    unread: BTreeMap<Topic, Version>,
}

/// Result of applying an answer of the store.
#[derive(Debug, Default)]
pub struct Update {
    /// Keys whose content changed here.
    pub changed: BTreeSet<Key>,
    /// Changes to send to other hosts.
    pub broadcast: Option<Changes>,
    /// Time for which the store had not answered for the topic.
    pub outage: Option<Duration>,
    /// Version up to which the topic was known before the store was restored, if this answer is the
    /// first one after a restore.
    pub restored: Option<Version>,
}

impl Mirror {
    /// Returns the entries.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Applies a full read of a topic; `None` if the answer predates a restore of the store.
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
        let outage = self.connectivity.mark_answered(now, topic);
        let known = self.registry.version(topic);
        let restored = known.filter(|known| known.era < version.era);
        if restored.is_some() {
            self.connectivity.mark_restored(now);
        }
        let missing = self.registry.missing(topic, version, &entries);
        let removed = self.defer_removals(now, missing);
        let changed = self.registry.replace_with(topic, version, entries, removed);
        self.record_answer(now, topic);
        // A read ends no override; the call only records since when there are any.
        self.expired_overrides(now, topic, version);
        Some(Update { changed, broadcast: None, outage, restored })
    }

    /// Applies the changes of a topic up to a version; `None` if the answer predates a restore of
    /// the store.
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
        let outage = self.connectivity.mark_answered(now, topic);
        let mut entries = self.defer_removals(now, entries);
        entries.extend(self.expired_overrides(now, topic, version));
        let (changed, broadcast) = self.registry.apply_changes(topic, version, entries);
        self.record_answer(now, topic);
        Some(Update { changed, broadcast: Some(broadcast), outage, restored: None })
    }

    /// Returns the store's state of entries whose override period has expired. They are applied
    /// with a version that no other host has received yet, so that all hosts learn of them.
    fn expired_overrides(
        &mut self,
        now: Time,
        topic: Topic,
        version: Version,
    ) -> Vec<(Key, Entry)> {
        let entries = self.registry.overridden(topic, version);
        if entries.is_empty() {
            self.overridden_since.remove(&topic);
            return entries;
        }
        let since = *self.overridden_since.entry(topic).or_insert(now);
        let is_published = self.registry.version(topic).is_some_and(|known| known >= version);
        if is_published || now < since + OVERRIDE_TIME { Vec::new() } else { entries }
    }

    fn is_outdated(&self, topic: Topic, version: Version) -> bool {
        self.registry.version(topic).is_some_and(|known| version.era < known.era)
    }

    fn defer_removals(&mut self, now: Time, entries: Vec<(Key, Entry)>) -> Vec<(Key, Entry)> {
        if !self.connectivity.defers_removals(now) {
            return entries;
        }
        if self.registry.deferred.is_none() {
            self.deferred_since = self.currency.confirmed_at(Topic::Targets);
        }
        self.registry.defer_removals(entries)
    }

    /// Records that another host, which knows a topic up to `version`, had this confirmed at a
    /// time.
    pub fn confirm(&mut self, topic: Topic, version: Version, time: Time) {
        if self.registry.version(topic).is_some_and(|known| known >= version) {
            self.confirm_topic(topic, time);
        }
    }

    fn record_answer(&mut self, now: Time, topic: Topic) {
        self.currency.record_answer(topic, now);
        self.confirm_topic(topic, now);
    }

    /// Records a confirmation, unless removals of the topic are not in force here yet.
    fn confirm_topic(&mut self, topic: Topic, time: Time) {
        if topic != Topic::Targets || self.registry.deferred.is_none() {
            self.currency.confirm(topic, time);
        }
    }

    /// Returns when the store last answered this host for a topic.
    pub fn answered_at(&self, topic: Topic) -> Option<Time> {
        self.currency.answered_at(topic)
    }

    /// Whether another host should be asked what the store has confirmed to it: the store does not
    /// answer here, or has not for a while.
    pub fn needs_confirmation(&self, now: Time) -> bool {
        let is_stale = |confirmed_at| now >= confirmed_at + HEARTBEAT_TIMEOUT;
        self.connectivity.has_outage()
            || self.connectivity.defers_removals(now)
            || self.confirmed_at(Topic::Targets).is_some_and(is_stale)
    }

    /// Returns the entries that are newer than `known`, for another host.
    pub fn snapshot(&self, now: Time, known: &BTreeMap<Topic, Version>) -> Snapshot {
        let confirmation = |topic: Topic| Some((topic, self.currency.confirmation(now, topic)?));
        let confirmed = Topic::ALL.into_iter().filter_map(confirmation).collect();
        Snapshot { confirmed, ..self.registry.newer_than(known) }
    }

    /// Returns when a topic was last confirmed.
    pub fn confirmed_at(&self, topic: Topic) -> Option<Time> {
        self.currency.confirmed_at(topic)
    }

    /// Returns when targets had been confirmed before the first removal that is deferred now.
    pub fn deferred_since(&self) -> Option<Time> {
        self.deferred_since
    }

    /// Records that the store does not answer for a topic; returns whether it had answered until
    /// now, or was not asked yet.
    pub fn mark_unanswered(&mut self, now: Time, topic: Topic) -> bool {
        self.connectivity.mark_unanswered(now, topic, self.registry.complete_version())
    }

    /// Records that this host no longer follows the store.
    pub fn stop_following(&mut self) {
        self.connectivity.stop_following();
    }

    /// Whether the store does not answer this host for a topic.
    pub fn is_unanswered(&self, topic: Topic) -> bool {
        self.connectivity.is_unanswered(topic)
    }

    /// Applies the deferred removals once they can no longer be caused by an outage; returns the
    /// keys that changed, and the changes to send to other hosts.
    pub fn apply_deferred_removals(&mut self, now: Time) -> Option<(BTreeSet<Key>, Changes)> {
        if self.connectivity.defers_removals(now) {
            None
        } else {
            self.registry.apply_deferred_removals()
        }
    }

    /// Merges another host's snapshot, which was requested at `asked_at`; returns the keys that
    /// changed.
    pub fn merge(&mut self, now: Time, asked_at: Time, mut snapshot: Snapshot) -> BTreeSet<Key> {
        for (topic, version) in snapshot.remove_unread() {
            self.record_unread(topic, version);
        }
        for (topic, version) in &snapshot.versions {
            let known = self.registry.version(*topic);
            if known.is_some_and(|known| known.era < version.era) {
                self.connectivity.mark_restored(now);
            }
        }
        let (versions, confirmed) =
            (snapshot.versions.clone(), std::mem::take(&mut snapshot.confirmed));
        if let Some(Confirmation { age, steady }) = confirmed.get(&Topic::Targets) {
            let until = asked_at - *age;
            self.connectivity.record_service(until - *steady, until);
        }
        let removed = self.registry.removed(&snapshot);
        let removed = self.defer_removals(now, removed);
        let entries = self.defer_removals(now, snapshot.entries);
        let changed = self.registry.merge_with(Snapshot { entries, ..snapshot }, removed);
        for (topic, version) in versions {
            if let Some(confirmation) = confirmed.get(&topic) {
                self.confirm(topic, version, asked_at - confirmation.age);
            }
        }
        changed
    }

    /// Applies changes of the store that another host reports; returns the keys that changed.
    pub fn apply_peer_changes(&mut self, changes: &Changes) -> BTreeSet<Key> {
        self.registry.apply_peer_changes(changes)
    }

    /// Applies changes that a host reports which reads entries by the rules with the number
    /// `decoder`; returns the keys that changed.
    pub fn apply_changes_of(&mut self, decoder: u32, mut changes: Changes) -> BTreeSet<Key> {
        if !remove_unread(decoder, &mut changes) {
            return self.apply_peer_changes(&changes);
        }
        self.record_unread(changes.topic, changes.upto);
        self.registry.apply_all(&changes.entries)
    }

    /// Whether this host has to read a topic from the store itself, since a host of an earlier build
    /// could not.
    pub fn has_unread(&self) -> bool {
        let is_unread = |(topic, version): (&Topic, &Version)| {
            self.registry.version(*topic).is_none_or(|known| known < *version)
        };
        self.unread.iter().any(is_unread)
    }

    fn record_unread(&mut self, topic: Topic, version: Version) {
        let known = self.unread.entry(topic).or_default();
        *known = version.max(*known);
    }

    /// Records the heartbeat of a host that the store last answered at a time.
    pub fn record_watcher_heartbeat(&mut self, answered_at: Time) {
        self.connectivity.record_watcher_heartbeat(answered_at);
    }

    /// Records that another host knows all changes up to a version.
    pub fn record_peer_version(&mut self, now: Time, version: Version) {
        self.connectivity.record_peer_version(now, version);
    }
}
