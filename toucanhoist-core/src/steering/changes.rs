//! Changes that one host tells others of.

use std::collections::BTreeSet;

use super::{Entry, Key, Registry, Topic, Version};

/// All changes of a topic between two versions.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes {
    /// Topic.
    pub topic: Topic,
    /// Version after which they begin: a host that knows all until then knows all up to `upto` with
    /// them.
    pub after: Version,
    /// Version of the last.
    pub upto: Version,
    /// Entries that changed.
    pub entries: Vec<(Key, Entry)>,
}

impl Registry {
    /// Takes in all that changed of a topic up to a version, as the store says; returns the keys that
    /// changed here, and what to tell other hosts.
    ///
    /// Entries that are known here already are told too: another host may have missed them.
    pub fn apply_changes(
        &mut self,
        topic: Topic,
        upto: Version,
        entries: Vec<(Key, Entry)>,
    ) -> (BTreeSet<Key>, Changes) {
        let after = self.known_since(topic, self.advertised_version(topic));
        let changed = self.apply_all(&entries);
        self.advance(topic, upto);
        let upto = self.advertised_version(topic).unwrap_or_default();
        (changed, Changes { topic, after, upto, entries })
    }

    /// Takes in what another host tells; returns the keys that changed.
    pub fn apply_peer_changes(&mut self, changes: &Changes) -> BTreeSet<Key> {
        let changed = self.apply_all(&changes.entries);
        // Between eras, what was known here and is not in the store's copy remains to be found.
        let follows = |known: Version| known >= changes.after && known.era == changes.upto.era;
        if self.version(changes.topic).is_some_and(follows) {
            self.advance(changes.topic, changes.upto);
        }
        changed
    }
}
