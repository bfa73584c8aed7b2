//! What all hosts know of the fleet, entry by entry with its version.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{
    Entry, Era, Key, TargetState, Topic, Value, Version,
    lapse::Aside,
    precedence::{goes_back, supersedes},
};

/// All entries that a host knows.
#[derive(Debug, Default)]
pub struct Registry {
    entries: BTreeMap<Key, Entry>,
    versions: BTreeMap<Topic, Version>,
    /// Versions from which on all changes are known one by one; what was removed before is not.
    since: BTreeMap<Topic, Version>,
    /// Highest version of any entry that was offered, by topic.
    newest: BTreeMap<Topic, Version>,
    /// Targets that a copy of the store holds, though they were known to have left.
    doubts: BTreeMap<Key, Entry>,
    pub(super) aside: Option<Aside>,
}

impl Registry {
    /// Returns the version up to which nothing is known to be missing here.
    ///
    /// Versions of all topics come from one counter. A topic with an entry beyond the version up to which
    /// it is known has a gap; what lies in it may be anything.
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
    pub(super) fn entry(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns an entry's content.
    pub fn value(&self, key: &Key) -> Option<&Value> {
        self.entry(key)?.value.as_ref()
    }

    /// Returns the latest era of the store that was heard of; `None` until anything was.
    pub fn era(&self) -> Option<Era> {
        self.newest.values().chain(self.versions.values()).map(|version| version.era).max()
    }

    /// Returns the version up to which a topic is known; `None` if it was never read.
    pub fn version(&self, topic: Topic) -> Option<Version> {
        self.versions.get(&topic).copied()
    }

    /// Takes in an entry, unless what is known goes before it; returns whether the content changed.
    ///
    /// A configuration never goes back to a lower revision, whatever the versions say. Between eras of the
    /// store, a target that has left or is draining stays so until the store says more than its copy.
    pub fn apply(&mut self, key: Key, entry: Entry) -> bool {
        let newest = self.newest.entry(key.topic()).or_default();
        *newest = entry.version.max(*newest);
        if self.is_over(&key, &entry) {
            return false;
        }
        self.take(key, entry)
    }

    /// Takes in an entry that is not over.
    fn take(&mut self, key: Key, entry: Entry) -> bool {
        let before = self.value(&key).cloned();
        self.note_absence(&key, &entry);
        self.join(&key, entry);
        self.value(&key) != before.as_ref()
    }

    fn join(&mut self, key: &Key, entry: Entry) {
        let Some(known) = self.entries.get_mut(key) else {
            self.entries.insert(key.clone(), entry);
            return;
        };
        let version = known.version.max(entry.version);
        let doubt = doubtful(known, &entry).cloned();
        if supersedes(known, &entry) {
            *known = Entry { version, ..entry };
            self.doubts.remove(key);
        } else if known.version.era < version.era {
            known.version = version;
        }
        self.doubts.extend(doubt.map(|row| (key.clone(), row)));
    }

    /// Notes that a target which the store names in a new era was not there up to the version that is known.
    fn note_absence(&mut self, key: &Key, entry: &Entry) {
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

    /// Whether an entry has been removed since: all up to the topic's version is known, and does not hold it.
    fn is_over(&self, key: &Key, entry: &Entry) -> bool {
        let Some(upto) = self.version(key.topic()) else { return false };
        let is_earlier = entry.version.era < upto.era;
        match &entry.value {
            None => return false,
            // One that lives writes its entry again.
            Some(Value::Target(target)) if is_earlier && target.state == TargetState::Ready => {
                return true;
            }
            Some(Value::Target(_)) => {}
            // What a copy of the store lacks need not be gone.
            Some(_) if is_earlier => return false,
            Some(_) => {}
        }
        // What is known from an era before is held although the store does not name it.
        let is_absent = |known: &Entry| {
            let is_held = !is_earlier && known.version.era < upto.era;
            let is_doubted = known.version == entry.version && self.doubts.contains_key(key);
            is_held || known.value.is_none() && !is_doubted
        };
        entry.version <= upto && self.entry(key).is_none_or(is_absent)
    }

    /// Returns what is held against the store's copy of a topic, as the store has it at `upto`, a version that
    /// has not been told yet.
    pub fn overridden(&self, topic: Topic, upto: Version) -> Vec<(Key, Entry)> {
        let doubts = self.doubts.iter().filter(|(key, _)| key.topic() == topic);
        let returned = doubts
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

    /// Takes in entries, as [`Registry::apply`] does; returns the keys that changed.
    pub fn apply_all(&mut self, entries: &[(Key, Entry)]) -> BTreeSet<Key> {
        let newer = entries.iter().filter(|(key, entry)| self.apply(key.clone(), entry.clone()));
        newer.map(|(key, _)| key.clone()).collect()
    }

    /// Forgets doubts about targets that all entries of a topic at `version` do not name, nor other doubts.
    fn forget_doubts(
        &mut self,
        topic: Topic,
        version: Version,
        entries: &[(Key, Entry)],
        doubts: &[(Key, Entry)],
    ) {
        let present = entries.iter().chain(doubts).filter(|(_, entry)| entry.value.is_some());
        let named: BTreeSet<&Key> = present.map(|(key, _)| key).collect();
        let is_past = |key: &Key, row: &Entry| key.topic() == topic && row.version <= version;
        self.doubts.retain(|key, row| named.contains(key) || !is_past(key, row));
    }

    /// Takes in removals of entries that are known up to their versions; returns their keys.
    fn remove_all(&mut self, removed: Vec<(Key, Entry)>) -> BTreeSet<Key> {
        let keys = removed.iter().map(|(key, _)| key.clone()).collect();
        self.entries.extend(removed);
        keys
    }

    /// Notes that all changes of a topic up to `version` are in.
    pub fn advance(&mut self, topic: Topic, version: Version) {
        let known = self.versions.entry(topic).or_default();
        *known = version.max(*known);
    }

    /// Returns what a full read of a topic at `version` shows to have been removed: the entries that it
    /// does not hold, without value. Evacuations and hosts that a copy of the store lacks stay: who wrote
    /// them writes them again.
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

    /// Takes in all entries of a topic as they were at `version`; what is missing has been removed.
    /// Returns the keys that changed.
    pub fn replace(
        &mut self,
        topic: Topic,
        version: Version,
        entries: Vec<(Key, Entry)>,
    ) -> BTreeSet<Key> {
        let removed = self.missing(topic, version, &entries);
        self.replace_with(topic, version, entries, removed)
    }

    /// Takes in all entries of a topic as they were at `version`, and what was removed.
    pub(super) fn replace_with(
        &mut self,
        topic: Topic,
        version: Version,
        entries: Vec<(Key, Entry)>,
        removed: Vec<(Key, Entry)>,
    ) -> BTreeSet<Key> {
        self.forget_doubts(topic, version, &entries, &[]);
        let mut changed = self.remove_all(removed);
        let is_latest = self.version(topic).is_none_or(|known| known <= version);
        for (key, entry) in entries {
            // All that the store names now is there.
            let has_changed = if is_latest {
                self.take(key.clone(), entry)
            } else {
                self.apply(key.clone(), entry)
            };
            changed.extend(has_changed.then_some(key));
        }
        self.advance(topic, version);
        self.begin(topic, version);
        changed
    }

    /// Notes that what was removed of a topic before `version` is not known here.
    fn begin(&mut self, topic: Topic, version: Version) {
        let since = self.since.entry(topic).or_default();
        *since = version.max(*since);
    }

    /// Returns what is newer than `known`, for another host; all of a topic of which not every change since is
    /// known.
    pub fn newer_than(&self, known: &BTreeMap<Topic, Version>) -> Snapshot {
        let is_whole = |topic: &Topic| {
            let since = self.since.get(topic);
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
            disputed: self.doubts.iter().map(|(key, row)| (key.clone(), row.clone())).collect(),
        }
    }

    /// Returns the versions up to which the topics are known.
    pub fn versions(&self) -> &BTreeMap<Topic, Version> {
        &self.versions
    }

    /// Returns the version after which every change of a topic is known that came after `claim`.
    pub(super) fn known_since(&self, topic: Topic, claim: Option<Version>) -> Version {
        claim.max(self.since.get(&topic).copied()).unwrap_or_default()
    }

    /// Takes in another host's snapshot; returns the keys that changed.
    pub fn merge(&mut self, snapshot: Snapshot) -> BTreeSet<Key> {
        let removed = self.removed(&snapshot);
        self.merge_with(snapshot, removed)
    }

    /// Takes in another host's snapshot with what it shows to have been removed.
    pub(super) fn merge_with(
        &mut self,
        snapshot: Snapshot,
        removed: Vec<(Key, Entry)>,
    ) -> BTreeSet<Key> {
        for topic in &snapshot.whole {
            if let Some(version) = snapshot.versions.get(topic) {
                let Snapshot { entries, disputed, .. } = &snapshot;
                self.forget_doubts(*topic, *version, entries, disputed);
            }
        }
        let mut changed = self.remove_all(removed);
        changed.extend(self.apply_all(&snapshot.entries));
        changed.extend(self.apply_all(&snapshot.disputed));
        for (topic, version) in snapshot.versions {
            self.advance(topic, version);
            if snapshot.whole.contains(&topic) {
                self.begin(topic, version);
            }
        }
        changed
    }

    /// Returns what another host's snapshot shows to have been removed, beside what it says.
    pub(super) fn removed(&self, snapshot: &Snapshot) -> Vec<(Key, Entry)> {
        let whole = snapshot.versions.iter().filter(|(topic, _)| snapshot.whole.contains(topic));
        let missing =
            whole.flat_map(|(topic, version)| self.missing(*topic, *version, &snapshot.entries));
        // A removal that was kept against a row of the store's copy stands under its own version.
        let is_kept = |key: &Key| snapshot.disputed.iter().any(|(doubt, _)| doubt == key);
        missing.filter(|(key, _)| !is_kept(key)).collect()
    }
}

/// What a host knows, for another host.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Snapshot {
    /// Entries by key.
    pub entries: Vec<(Key, Entry)>,
    /// Versions up to which the topics are known.
    pub versions: BTreeMap<Topic, Version>,
    /// Topics of which all entries are there: what is missing has been removed.
    pub whole: BTreeSet<Topic>,
    /// Rows of the store's copy that are held to be over.
    #[serde(rename = "doubts")]
    pub disputed: Vec<(Key, Entry)>,
}

/// Returns the later one of two entries, if the store's copy names a target with it that had left before.
fn doubtful<'a>(one: &'a Entry, other: &'a Entry) -> Option<&'a Entry> {
    let is_earlier = one.version.era < other.version.era || one.value.is_none();
    let (earlier, later) = if is_earlier { (one, other) } else { (other, one) };
    let is_restored = earlier.version.era < later.version.era
        || earlier.version == later.version && later.version.era > Era::default();
    (is_restored && earlier.value.is_none() && goes_back(earlier, later)).then_some(later)
}
