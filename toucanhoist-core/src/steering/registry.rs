//! What all hosts know about the fleet: entries with their versions.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{
    Confirmation, Entry, Era, Key, TargetState, Topic, Value, Version,
    builds::DECODER,
    deferral::Deferred,
    precedence::{reverts, supersedes},
};

/// All entries that a host knows.
#[derive(Debug, Default)]
pub struct Registry {
    entries: BTreeMap<Key, Entry>,
    versions: BTreeMap<Topic, Version>,
    /// Versions after which all changes are known one by one; removals before that are not known.
    history_start: BTreeMap<Topic, Version>,
    /// Highest version of any entry that was received, by topic.
    newest: BTreeMap<Topic, Version>,
    /// Targets that a restored store still holds although they were known to have left.
    disputed: BTreeMap<Key, Entry>,
    pub(super) deferred: Option<Deferred>,
}

impl Registry {
    /// Returns the version up to which nothing is known to be missing here.
    ///
    /// Versions of all topics come from one counter. A topic with an entry beyond its known version
    /// has a gap, and any change may lie in that gap.
    pub fn complete_version(&self) -> Version {
        let known = |topic| self.version(topic).unwrap_or_default();
        let gaps = self.newest.iter().filter(|&(&topic, &newest)| newest > known(topic));
        let gap = gaps.map(|(&topic, _)| known(topic)).min();
        gap.or_else(|| self.newest.values().max().copied()).unwrap_or_default()
    }

    /// Returns the entries.
    pub fn entries(&self) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries.iter()
    }

    /// Returns an entry.
    pub fn entry(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns an entry's content.
    pub fn value(&self, key: &Key) -> Option<&Value> {
        self.entry(key)?.value.as_ref()
    }

    /// Returns the latest era of the store that was received; `None` if none was.
    pub fn era(&self) -> Option<Era> {
        self.newest.values().chain(self.versions.values()).map(|version| version.era).max()
    }

    /// Returns the version up to which a topic is known; `None` if it was never read.
    pub fn version(&self, topic: Topic) -> Option<Version> {
        self.versions.get(&topic).copied()
    }

    /// Applies an entry unless what is known takes precedence; returns whether the content changed.
    ///
    /// A configuration never goes back to a lower revision, whatever the versions are. After a
    /// restore of the store, a target that has left or is draining stays so until the store holds
    /// an entry that is newer than its backup.
    pub fn apply(&mut self, key: Key, entry: Entry) -> bool {
        let newest = self.newest.entry(key.topic()).or_default();
        *newest = entry.version.max(*newest);
        if self.is_removed(&key, &entry) {
            return false;
        }
        self.accept(key, entry)
    }

    /// Stores an entry that has not been removed since, if it takes precedence.
    fn accept(&mut self, key: Key, entry: Entry) -> bool {
        let before = self.value(&key).cloned();
        self.record_absence(&key, &entry);
        self.merge_entry(&key, entry);
        self.value(&key) != before.as_ref()
    }

    fn merge_entry(&mut self, key: &Key, entry: Entry) {
        let Some(known) = self.entries.get_mut(key) else {
            self.entries.insert(key.clone(), entry);
            return;
        };
        let version = known.version.max(entry.version);
        let disputed = disputed_row(known, &entry).cloned();
        if supersedes(known, &entry) {
            *known = Entry { version, ..entry };
            self.disputed.remove(key);
        } else if known.version.era < version.era {
            known.version = version;
        }
        self.disputed.extend(disputed.map(|row| (key.clone(), row)));
    }

    /// Records that a target which the store lists in a new era was absent at the known version.
    fn record_absence(&mut self, key: &Key, entry: &Entry) {
        let is_target = matches!(entry.value, Some(Value::Target(_)));
        let known = self.version(key.topic()).filter(|known| known.era < entry.version.era);
        let Some(version) = known.filter(|_| is_target) else { return };
        if let Some(removal) = self.deferred_removal(key, entry.version) {
            self.entries.insert(key.clone(), removal);
        }
        let absent = Entry { version, value: None };
        let present = self.entries.entry(key.clone()).or_insert(absent);
        if present.value.is_none() {
            present.version = version.max(present.version);
        }
    }

    /// Whether an entry has been removed since: everything up to the topic's version is known, and
    /// the entry is not among it.
    fn is_removed(&self, key: &Key, entry: &Entry) -> bool {
        let Some(upto) = self.version(key.topic()) else { return false };
        let is_earlier = entry.version.era < upto.era;
        match &entry.value {
            None => return false,
            // A live target writes its entry again after the restore.
            Some(Value::Target(target)) if is_earlier && target.state == TargetState::Ready => {
                return true;
            }
            Some(Value::Target(_)) => {}
            // An entry that the restored store lacks has not necessarily been removed.
            Some(_) if is_earlier => return false,
            Some(_) => {}
        }
        // Entries of an earlier era are kept although the restored store does not list them.
        let is_absent = |known: &Entry| {
            let is_kept_entry = !is_earlier && known.version.era < upto.era;
            let is_disputed = known.version == entry.version && self.disputed.contains_key(key);
            is_kept_entry || known.value.is_none() && !is_disputed
        };
        entry.version <= upto && self.entry(key).is_none_or(is_absent)
    }

    /// Returns the store's state of the entries of a topic for which local knowledge overrides the
    /// restored store. They get the version `upto`, which has not been reported to other hosts yet.
    pub fn overridden(&self, topic: Topic, upto: Version) -> Vec<(Key, Entry)> {
        let disputed = self.disputed.iter().filter(|(key, _)| key.topic() == topic);
        let returned = disputed
            .map(|(key, row)| (key.clone(), Entry { version: upto, value: row.value.clone() }));
        let is_unwritten = |(key, entry): &(&Key, &Entry)| {
            topic == Topic::Operator
                && matches!(key, Key::Evacuation(_))
                && entry.value.is_some()
                && entry.version.era < upto.era
        };
        let unwritten = self.entries.iter().filter(is_unwritten);
        let ended = unwritten.map(|(key, _)| (key.clone(), Entry { version: upto, value: None }));
        returned.chain(ended).collect()
    }

    /// Applies entries as [`Registry::apply`] does; returns the keys that changed.
    pub fn apply_all(&mut self, entries: &[(Key, Entry)]) -> BTreeSet<Key> {
        let newer = entries.iter().filter(|(key, entry)| self.apply(key.clone(), entry.clone()));
        newer.map(|(key, _)| key.clone()).collect()
    }

    /// Drops disputed rows of a topic up to `version` that are neither in `entries`, which are all
    /// entries of the topic at that version, nor in `disputed`.
    fn drop_disputed(
        &mut self,
        topic: Topic,
        version: Version,
        entries: &[(Key, Entry)],
        disputed: &[(Key, Entry)],
    ) {
        let present = entries.iter().chain(disputed).filter(|(_, entry)| entry.value.is_some());
        let listed: BTreeSet<&Key> = present.map(|(key, _)| key).collect();
        let is_covered = |key: &Key, row: &Entry| key.topic() == topic && row.version <= version;
        self.disputed.retain(|key, row| listed.contains(key) || !is_covered(key, row));
    }

    /// Applies removals of entries that are known up to their versions; returns their keys.
    fn remove_all(&mut self, removed: Vec<(Key, Entry)>) -> BTreeSet<Key> {
        let keys = removed.iter().map(|(key, _)| key.clone()).collect();
        self.entries.extend(removed);
        keys
    }

    /// Records that all changes of a topic up to `version` are known.
    pub fn advance(&mut self, topic: Topic, version: Version) {
        let known = self.versions.entry(topic).or_default();
        *known = version.max(*known);
    }

    /// Returns the removals that a full read of a topic at `version` implies: the entries that it
    /// does not hold, without value. Evacuations and hosts that a restored store lacks stay, since
    /// their writers write them again.
    pub fn missing(
        &self,
        topic: Topic,
        version: Version,
        entries: &[(Key, Entry)],
    ) -> Vec<(Key, Entry)> {
        let with_value = entries.iter().filter(|(_, entry)| entry.value.is_some());
        let present: BTreeMap<&Key, Era> =
            with_value.map(|(key, entry)| (key, entry.version.era)).collect();
        let is_missing = |(key, entry): &(&Key, &Entry)| {
            key.topic() == topic
                && **key != Key::Config
                && entry.value.is_some()
                && entry.version <= version
                && (entry.version.era == version.era || topic == Topic::Targets)
                && present.get(key).is_none_or(|era| *era < entry.version.era)
        };
        let missing = self.entries.iter().filter(is_missing);
        missing.map(|(key, _)| (key.clone(), Entry { version, value: None })).collect()
    }

    /// Replaces all entries of a topic by those at `version`; entries that are missing have been
    /// removed. Returns the keys that changed.
    pub fn replace(
        &mut self,
        topic: Topic,
        version: Version,
        entries: Vec<(Key, Entry)>,
    ) -> BTreeSet<Key> {
        let removed = self.missing(topic, version, &entries);
        self.replace_with(topic, version, entries, removed)
    }

    /// Replaces all entries of a topic by those at `version`, with the removals that they imply.
    pub(super) fn replace_with(
        &mut self,
        topic: Topic,
        version: Version,
        entries: Vec<(Key, Entry)>,
        removed: Vec<(Key, Entry)>,
    ) -> BTreeSet<Key> {
        self.drop_disputed(topic, version, &entries, &[]);
        let mut changed = self.remove_all(removed);
        let is_latest = self.version(topic).is_none_or(|known| known <= version);
        for (key, entry) in entries {
            // The store lists these entries now, so none of them has been removed.
            let has_changed = if is_latest {
                self.accept(key.clone(), entry)
            } else {
                self.apply(key.clone(), entry)
            };
            changed.extend(has_changed.then_some(key));
        }
        self.advance(topic, version);
        self.start_history(topic, version);
        changed
    }

    /// Records that removals of a topic before `version` are not known here.
    fn start_history(&mut self, topic: Topic, version: Version) {
        let since = self.history_start.entry(topic).or_default();
        *since = version.max(*since);
    }

    /// Returns the entries newer than `known`, for another host. Topics of which not every change
    /// since then is known are included whole.
    pub fn newer_than(&self, known: &BTreeMap<Topic, Version>) -> Snapshot {
        let is_whole = |topic: &Topic| {
            let since = self.history_start.get(topic);
            known.get(topic).is_none_or(|known| since.is_some_and(|since| known < since))
        };
        let whole: BTreeSet<Topic> = Topic::ALL.into_iter().filter(is_whole).collect();
        let is_newer = |(key, entry): &(&Key, &Entry)| {
            let topic = key.topic();
            whole.contains(&topic) || known.get(&topic).is_none_or(|&known| entry.version > known)
        };
        let entries = self.entries.iter().filter(is_newer);
        Snapshot {
            entries: entries.map(|(key, entry)| (key.clone(), entry.clone())).collect(),
            versions: self.advertised_versions(),
            whole,
            disputed: self.disputed.iter().map(|(key, row)| (key.clone(), row.clone())).collect(),
            decoder: DECODER,
            ..Snapshot::default()
        }
    }

    /// Returns the versions up to which the topics are known.
    pub fn versions(&self) -> &BTreeMap<Topic, Version> {
        &self.versions
    }

    /// Returns the version after which every change of a topic since `advertised` is known.
    pub(super) fn history_after(&self, topic: Topic, advertised: Option<Version>) -> Version {
        advertised.max(self.history_start.get(&topic).copied()).unwrap_or_default()
    }

    /// Merges another host's snapshot; returns the keys that changed.
    pub fn merge(&mut self, snapshot: Snapshot) -> BTreeSet<Key> {
        let removed = self.removed(&snapshot);
        self.merge_with(snapshot, removed)
    }

    /// Merges another host's snapshot, with the removals that it implies.
    pub(super) fn merge_with(
        &mut self,
        snapshot: Snapshot,
        removed: Vec<(Key, Entry)>,
    ) -> BTreeSet<Key> {
        for topic in &snapshot.whole {
            if let Some(version) = snapshot.versions.get(topic) {
                let Snapshot { entries, disputed, .. } = &snapshot;
                self.drop_disputed(*topic, *version, entries, disputed);
            }
        }
        let mut changed = self.remove_all(removed);
        changed.extend(self.apply_all(&snapshot.entries));
        changed.extend(self.apply_all(&snapshot.disputed));
        for (topic, version) in snapshot.versions {
            self.advance(topic, version);
            if snapshot.whole.contains(&topic) {
                self.start_history(topic, version);
            }
        }
        changed
    }

    /// Returns the removals that another host's snapshot implies beyond its own entries.
    pub(super) fn removed(&self, snapshot: &Snapshot) -> Vec<(Key, Entry)> {
        let whole = snapshot.versions.iter().filter(|(topic, _)| snapshot.whole.contains(topic));
        let missing =
            whole.flat_map(|(topic, version)| self.missing(*topic, *version, &snapshot.entries));
        // A removal that overrides a row of the restored store is recorded under that row's
        // version.
        let is_kept = |key: &Key| snapshot.disputed.iter().any(|(disputed, _)| disputed == key);
        missing.filter(|(key, _)| !is_kept(key)).collect()
    }
}

/// What a host knows, as sent to another host.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Snapshot {
    /// Entries by key.
    pub entries: Vec<(Key, Entry)>,
    /// Versions up to which the topics are known.
    pub versions: BTreeMap<Topic, Version>,
    /// Topics of which all entries are included: entries that are missing have been removed.
    pub whole: BTreeSet<Topic>,
    /// Rows of the restored store that are considered outdated.
    #[serde(rename = "doubts")]
    pub disputed: Vec<(Key, Entry)>,
    /// What the store has confirmed to the host; empty from hosts of earlier versions.
    #[serde(default)]
    pub confirmed: BTreeMap<Topic, Confirmation>,
    /// In a message, further entries and disputed rows, which earlier builds cannot decode.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub further: Vec<(Key, Entry)>,
    /// See `further`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub further_disputed: Vec<(Key, Entry)>,
    /// Number of the rules by which the host reads entries; 0 from hosts of earlier builds.
    #[serde(default)]
    pub decoder: u32,
}

/// Returns the later of two entries if it is a row of a restored store that lists a target which
/// had left before.
fn disputed_row<'a>(one: &'a Entry, other: &'a Entry) -> Option<&'a Entry> {
    let is_earlier = one.version.era < other.version.era || one.value.is_none();
    let (earlier, later) = if is_earlier { (one, other) } else { (other, one) };
    let is_restored = earlier.version.era < later.version.era
        || earlier.version == later.version && later.version.era > Era::default();
    (is_restored && earlier.value.is_none() && reverts(earlier, later)).then_some(later)
}
