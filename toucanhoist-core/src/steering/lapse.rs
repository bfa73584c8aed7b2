//! Removals of targets that may only have lapsed.
//!
//! A target that cannot renew its entry while the store is away may be removed, and be back soon after. Such
//! removals are set aside for a while; an entry that is back by then stays. What is set aside is not claimed
//! to others: a host that was told otherwise would never ask for it.

use std::collections::{BTreeMap, BTreeSet};

use super::{Changes, Entry, Key, Registry, Topic, Version};

/// Removals that wait.
#[derive(Debug, Default)]
pub(super) struct Aside {
    /// Version up to which targets were known when the first was set aside.
    claim: Option<Version>,
    removals: Vec<(Key, Entry)>,
}

impl Registry {
    /// Sets the removals of targets aside; returns the other entries.
    pub fn defer_removals(&mut self, entries: Vec<(Key, Entry)>) -> Vec<(Key, Entry)> {
        let (removals, others): (Vec<_>, Vec<_>) =
            entries.into_iter().partition(|(key, entry)| self.may_be_lapse(key, entry));
        if !removals.is_empty() {
            let claim = self.version(Topic::Targets);
            let aside = self.aside.get_or_insert_with(|| Aside { claim, ..Aside::default() });
            aside.removals.extend(removals);
        }
        others
    }

    /// Returns the removal of an entry that waits since an era before that of `version`.
    pub(super) fn deferred_removal(&self, key: &Key, version: Version) -> Option<Entry> {
        let removals = self.aside.iter().flat_map(|aside| &aside.removals);
        let earlier =
            removals.filter(|(name, entry)| name == key && entry.version.era < version.era);
        earlier.map(|(_, entry)| entry).max_by_key(|entry| entry.version).cloned()
    }

    /// Whether an entry is the removal of a target that may only have lapsed. One from before the store came
    /// back from a copy, or kept against a row of the copy, is none.
    fn may_be_lapse(&self, key: &Key, entry: &Entry) -> bool {
        let era = self.version(Topic::Targets).unwrap_or_default().era;
        let is_kept = || self.entry(key).is_some_and(|known| known.version == entry.version);
        key.topic() == Topic::Targets
            && entry.value.is_none()
            && entry.version.era >= era
            && !is_kept()
    }

    /// Takes in the removals that were set aside; returns the keys that changed, and what to tell
    /// other hosts. `None` if there are none.
    pub fn apply_deferred_removals(&mut self) -> Option<(BTreeSet<Key>, Changes)> {
        let Aside { claim, removals } = self.aside.take()?;
        let changed = self.apply_all(&removals);
        let topic = Topic::Targets;
        let after = self.known_since(topic, claim);
        let upto = self.version(topic).unwrap_or_default();
        // What was told meanwhile was not claimed: all of it is told again.
        let is_told = |(key, entry): &(&Key, &Entry)| {
            key.topic() == topic && claim.is_none_or(|claim| entry.version > claim)
        };
        let told = self.entries().filter(is_told);
        let entries = told.map(|(key, entry)| (key.clone(), entry.clone())).collect();
        Some((changed, Changes { topic, after, upto, entries }))
    }

    /// Returns the version up to which other hosts may count on this one to tell all of a topic; `None`
    /// if it was never read.
    pub fn advertised_version(&self, topic: Topic) -> Option<Version> {
        match &self.aside {
            Some(aside) if topic == Topic::Targets => aside.claim,
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

    /// Returns [`Registry::complete_version`] as far as this host tells all.
    pub fn advertised_complete_version(&self) -> Version {
        let claim = self.aside.as_ref().map(|aside| aside.claim.unwrap_or_default());
        claim.map_or(self.complete_version(), |claim| claim.min(self.complete_version()))
    }
}
