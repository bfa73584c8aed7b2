//! Deferred removals of targets whose entries may only have expired during an outage.
//!
//! A target that cannot renew its entry while the store is unavailable may be removed and return
//! soon after. Such removals are deferred for a while, and an entry that has returned by then
//! stays. Meanwhile the host does not advertise the versions of deferred removals: a host that
//! counted them as known would never ask for them.

use std::collections::{BTreeMap, BTreeSet};

use super::{Changes, Entry, Key, Registry, Topic, Version};

/// Removals that have been deferred.
#[derive(Debug, Default)]
pub(super) struct Deferred {
    /// Version up to which targets were known when the first removal was deferred.
    advertised: Option<Version>,
    removals: Vec<(Key, Entry)>,
}

impl Registry {
    /// Defers the removals of targets among `entries`; returns the other entries.
    pub fn defer_removals(&mut self, entries: Vec<(Key, Entry)>) -> Vec<(Key, Entry)> {
        let (removals, others): (Vec<_>, Vec<_>) =
            entries.into_iter().partition(|(key, entry)| self.may_be_expiry(key, entry));
        if !removals.is_empty() {
            let advertised = self.version(Topic::Targets);
            let deferred =
                self.deferred.get_or_insert_with(|| Deferred { advertised, ..Deferred::default() });
            deferred.removals.extend(removals);
        }
        others
    }

    /// Returns the deferred removal of an entry from an earlier era than that of `version`.
    pub(super) fn deferred_removal(&self, key: &Key, version: Version) -> Option<Entry> {
        let removals = self.deferred.iter().flat_map(|deferred| &deferred.removals);
        let earlier =
            removals.filter(|(name, entry)| name == key && entry.version.era < version.era);
        earlier.map(|(_, entry)| entry).max_by_key(|entry| entry.version).cloned()
    }

    /// Whether an entry is the removal of a target whose entry may only have expired. That cannot
    /// hold for removals from before a restore of the store, nor for those that override a row of the
    /// restored store.
    fn may_be_expiry(&self, key: &Key, entry: &Entry) -> bool {
        let era = self.version(Topic::Targets).unwrap_or_default().era;
        let is_kept = || self.entry(key).is_some_and(|known| known.version == entry.version);
        key.topic() == Topic::Targets
            && entry.value.is_none()
            && entry.version.era >= era
            && !is_kept()
    }

    /// Applies the deferred removals; returns the keys that changed, and the changes to send to
    /// other hosts. `None` if there are none.
    pub fn apply_deferred_removals(&mut self) -> Option<(BTreeSet<Key>, Changes)> {
        let Deferred { advertised, removals } = self.deferred.take()?;
        let changed = self.apply_all(&removals);
        let topic = Topic::Targets;
        let after = self.history_after(topic, advertised);
        let upto = self.version(topic).unwrap_or_default();
        // Entries that were sent meanwhile were not covered by the advertised version, so all of
        // them are sent again.
        let is_unadvertised = |(key, entry): &(&Key, &Entry)| {
            key.topic() == topic && advertised.is_none_or(|advertised| entry.version > advertised)
        };
        let unadvertised = self.entries().filter(is_unadvertised);
        let entries = unadvertised.map(|(key, entry)| (key.clone(), entry.clone())).collect();
        Some((changed, Changes { topic, after, upto, entries }))
    }

    /// Returns the version up to which other hosts may rely on this one to send all changes of a
    /// topic; `None` if it was never read.
    pub fn advertised_version(&self, topic: Topic) -> Option<Version> {
        match &self.deferred {
            Some(deferred) if topic == Topic::Targets => deferred.advertised,
            _ => self.version(topic),
        }
    }

    /// Returns [`Registry::advertised_version`] of each topic that was read.
    pub fn advertised_versions(&self) -> BTreeMap<Topic, Version> {
        Topic::ALL
            .into_iter()
            .filter_map(|topic| Some((topic, self.advertised_version(topic)?)))
            .collect()
    }

    /// Returns [`Registry::complete_version`], limited to what this host advertises.
    pub fn advertised_complete_version(&self) -> Version {
        let advertised =
            self.deferred.as_ref().map(|deferred| deferred.advertised.unwrap_or_default());
        advertised
            .map_or(self.complete_version(), |advertised| advertised.min(self.complete_version()))
    }
}
