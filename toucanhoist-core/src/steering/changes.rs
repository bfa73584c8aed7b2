//! Changes that one host reports to others.

use std::collections::BTreeSet;

use super::{Entry, Key, Registry, Topic, Version};

/// All changes of a topic between two versions.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes {
    /// Topic.
    pub topic: Topic,
    /// Version after which they begin. A host that knows all changes until then knows all up to
    /// `upto` once it has applied these.
    pub after: Version,
    /// Version of the last change.
    pub upto: Version,
    /// Entries that changed.
    pub entries: Vec<(Key, Entry)>,
}

impl Registry {
    /// Applies all changes of a topic up to a version, as the store returned them; returns the keys
    /// that changed here, and the changes to report to other hosts.
    ///
    /// Entries that are already known here are reported too, since another host may have missed
    /// them.
    pub fn apply_changes(
        &mut self,
        topic: Topic,
        upto: Version,
        entries: Vec<(Key, Entry)>,
    ) -> (BTreeSet<Key>, Changes) {
        let after = self.history_after(topic, self.advertised_version(topic));
        let changed = self.apply_all(&entries);
        self.advance(topic, upto);
        let upto = self.advertised_version(topic).unwrap_or_default();
        (changed, Changes { topic, after, upto, entries })
    }

    /// Applies what another host reports; returns the keys that changed.
    pub fn apply_peer_changes(&mut self, changes: &Changes) -> BTreeSet<Key> {
        let changed = self.apply_all(&changes.entries);
        // After a restore, entries that are known here and missing from the store have yet to be
        // found by a full read, so changes of a newer era do not advance the version.
        let follows = |known: Version| known >= changes.after && known.era == changes.upto.era;
        if self.version(changes.topic).is_some_and(follows) {
            self.advance(changes.topic, changes.upto);
        }
        changed
    }
}
