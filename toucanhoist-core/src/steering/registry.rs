//! What all hosts know of the fleet, entry by entry with its version.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{Config, lapse::Aside};
use crate::id;

/// A group of entries that is read and followed together.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Topic {
    /// What operators ask for.
    Operator,
    /// Targets that registered themselves.
    Targets,
    /// Entry hosts.
    Hosts,
}

impl Topic {
    /// Every topic.
    pub const ALL: [Topic; 3] = [Topic::Operator, Topic::Targets, Topic::Hosts];

    /// Returns the topic's number in messages between hosts.
    pub fn number(self) -> u32 {
        match self {
            Topic::Operator => 0,
            Topic::Targets => 1,
            Topic::Hosts => 2,
        }
    }

    /// Returns the topic of a number.
    pub fn of_number(number: u32) -> Option<Topic> {
        Topic::ALL.into_iter().find(|topic| topic.number() == number)
    }

    /// Returns the name that logs use.
    pub fn as_str(self) -> &'static str {
        match self {
            Topic::Operator => "operator",
            Topic::Targets => "targets",
            Topic::Hosts => "hosts",
        }
    }
}

/// Name of an entry.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Key {
    /// The configuration.
    Config,
    /// Evacuation of a data centre.
    Evacuation(id::DataCentre),
    /// A target.
    Target(id::Target),
    /// An entry host.
    Host(id::EntryHost),
}

impl Key {
    /// Returns the topic that the entry belongs to.
    pub fn topic(&self) -> Topic {
        match self {
            Key::Config | Key::Evacuation(_) => Topic::Operator,
            Key::Target(_) => Topic::Targets,
            Key::Host(_) => Topic::Hosts,
        }
    }
}

/// Content of an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Value {
    /// The configuration.
    Config(Arc<Config>),
    /// A data centre is under evacuation.
    Evacuation,
    /// A target.
    Target(Target),
    /// An entry host.
    Host(EntryHost),
    /// Something that cannot be read; it names nothing to use.
    Unreadable,
}

/// State that a target reports.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TargetState {
    /// It takes requests.
    Ready,
    /// It is leaving.
    Draining,
}

impl TargetState {
    /// Returns the state's name.
    pub fn as_str(self) -> &'static str {
        match self {
            TargetState::Ready => "ready",
            TargetState::Draining => "draining",
        }
    }
}

/// A target as it registered itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// Service that it runs.
    pub service: id::Service,
    /// Address.
    pub address: SocketAddr,
    /// Data centre that it is in.
    pub data_centre: id::DataCentre,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// State.
    pub state: TargetState,
    /// Time for which it was still cold when it wrote the entry.
    pub cold_left: Duration,
    /// Time of its start, which tells one incarnation from the next.
    pub born: u64,
}

/// An entry host as it registered itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryHost {
    /// Data centre that it is in.
    pub data_centre: id::DataCentre,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other entry hosts.
    pub peers: SocketAddr,
    /// Number of its process, higher with each start.
    pub epoch: u64,
    /// What its machine gives it, as a figure to compare; 0 if it does not say.
    #[serde(default)]
    pub capacity: u32,
}

/// An entry; without value it has been removed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// Version that the store gave it.
    pub version: u64,
    /// Content.
    pub value: Option<Value>,
}

/// All entries that a host knows.
#[derive(Debug, Default)]
pub struct Registry {
    entries: BTreeMap<Key, Entry>,
    versions: BTreeMap<Topic, u64>,
    /// Highest version of any entry that was offered, by topic.
    newest: BTreeMap<Topic, u64>,
    pub(super) aside: Option<Aside>,
}

impl Registry {
    /// Returns the version up to which nothing is known to be missing here.
    ///
    /// Versions of all topics come from one counter. A topic with an entry beyond the version up to which
    /// it is known has a gap; what lies in it may be anything.
    pub fn complete(&self) -> u64 {
        let known = |topic| self.version(topic).unwrap_or_default();
        let gaps = self.newest.iter().filter(|&(&topic, &newest)| newest > known(topic));
        let gap = gaps.map(|(&topic, _)| known(topic)).min();
        gap.or_else(|| self.newest.values().max().copied()).unwrap_or_default()
    }

    /// Returns the entries.
    pub fn entries(&self) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries.iter()
    }

    /// Returns an entry's content.
    pub fn value(&self, key: &Key) -> Option<&Value> {
        self.entries.get(key)?.value.as_ref()
    }

    /// Returns the version up to which a topic is known; `None` if it was never read.
    pub fn version(&self, topic: Topic) -> Option<u64> {
        self.versions.get(&topic).copied()
    }

    /// Takes in an entry, unless a newer one is known; returns whether anything changed.
    ///
    /// A configuration never goes back to a lower revision, whatever the versions say.
    pub fn apply(&mut self, key: Key, entry: Entry) -> bool {
        let newest = self.newest.entry(key.topic()).or_default();
        *newest = entry.version.max(*newest);
        if let Some(known) = self.entries.get(&key) {
            if known.version >= entry.version || reverts(known, &entry) {
                return false;
            }
        }
        self.entries.insert(key, entry);
        true
    }

    /// Takes in entries, as [`Registry::apply`] does; returns the keys that changed.
    pub fn apply_all(&mut self, entries: &[(Key, Entry)]) -> BTreeSet<Key> {
        let newer = entries.iter().filter(|(key, entry)| self.apply(key.clone(), entry.clone()));
        newer.map(|(key, _)| key.clone()).collect()
    }

    /// Notes that all changes of a topic up to `version` are in.
    pub fn reach(&mut self, topic: Topic, version: u64) {
        let known = self.versions.entry(topic).or_default();
        *known = version.max(*known);
    }

    /// Returns what a full read of a topic at `version` shows to have been removed: the entries that it
    /// does not hold, without value.
    pub fn missing(
        &self,
        topic: Topic,
        version: u64,
        entries: &[(Key, Entry)],
    ) -> Vec<(Key, Entry)> {
        let present: BTreeSet<&Key> = entries.iter().map(|(key, _)| key).collect();
        let is_missing = |(key, entry): &(&Key, &Entry)| {
            key.topic() == topic
                && **key != Key::Config
                && entry.value.is_some()
                && entry.version <= version
                && !present.contains(key)
        };
        let missing = self.entries.iter().filter(is_missing);
        missing.map(|(key, _)| (key.clone(), Entry { version, value: None })).collect()
    }

    /// Takes in all entries of a topic as they were at `version`; what is missing has been removed.
    /// Returns the keys that changed.
    pub fn replace(
        &mut self,
        topic: Topic,
        version: u64,
        entries: Vec<(Key, Entry)>,
    ) -> BTreeSet<Key> {
        let mut changed = BTreeSet::new();
        for (key, removed) in self.missing(topic, version, &entries) {
            self.entries.insert(key.clone(), removed);
            changed.insert(key);
        }
        changed.extend(self.apply_all(&entries));
        self.reach(topic, version);
        changed
    }

    /// Returns what is newer than `known`, for another host.
    pub fn newer(&self, known: &BTreeMap<Topic, u64>) -> Snapshot {
        let is_newer = |(key, entry): &(&Key, &Entry)| {
            known.get(&key.topic()).is_none_or(|&known| entry.version > known)
        };
        let entries = self.entries.iter().filter(is_newer);
        Snapshot {
            entries: entries.map(|(key, entry)| (key.clone(), entry.clone())).collect(),
            versions: self.claims(),
        }
    }

    /// Returns the versions up to which the topics are known.
    pub fn versions(&self) -> &BTreeMap<Topic, u64> {
        &self.versions
    }

    /// Takes in another host's snapshot; returns the keys that changed.
    pub fn merge(&mut self, snapshot: Snapshot) -> BTreeSet<Key> {
        let changed = self.apply_all(&snapshot.entries);
        for (topic, version) in snapshot.versions {
            self.reach(topic, version);
        }
        changed
    }
}

/// What a host knows, for another host.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Snapshot {
    /// Entries by key.
    pub entries: Vec<(Key, Entry)>,
    /// Versions up to which the topics are known.
    pub versions: BTreeMap<Topic, u64>,
}

fn reverts(known: &Entry, new: &Entry) -> bool {
    match (&known.value, &new.value) {
        (Some(Value::Config(known)), Some(Value::Config(new))) => new.revision < known.revision,
        (Some(Value::Config(_)), _) => true,
        _ => false,
    }
}
