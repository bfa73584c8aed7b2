//! Changes that one host tells others of.

use std::collections::BTreeSet;

use super::{Entry, Key, Registry, Topic};

/// All changes of a topic between two versions.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes {
    /// Topic.
    pub topic: Topic,
    /// Version after which they begin: a host that knows all until then knows all up to `upto` with
    /// them.
    pub after: u64,
    /// Version of the last.
    pub upto: u64,
    /// Entries that changed.
    pub entries: Vec<(Key, Entry)>,
}

impl Registry {
    /// Takes in all that changed of a topic up to a version, as the store says; returns the keys that
    /// changed here, and what to tell other hosts.
    ///
    /// Entries that are known here already are told too: another host may have missed them.
    pub fn follow(
        &mut self,
        topic: Topic,
        upto: u64,
        entries: Vec<(Key, Entry)>,
    ) -> (BTreeSet<Key>, Changes) {
        let after = self.claim(topic).unwrap_or_default();
        let changed = self.apply_all(&entries);
        self.reach(topic, upto);
        let upto = self.claim(topic).unwrap_or_default();
        (changed, Changes { topic, after, upto, entries })
    }

    /// Takes in what another host tells; returns the keys that changed.
    pub fn hear(&mut self, changes: &Changes) -> BTreeSet<Key> {
        let changed = self.apply_all(&changes.entries);
        if self.version(changes.topic).is_some_and(|known| known >= changes.after) {
            self.reach(changes.topic, changes.upto);
        }
        changed
    }
}
