use std::{collections::VecDeque, sync::Arc};

use super::{Body, Entry, Lineage, Snapshot};
use crate::{fleet::Fleet, id};

const TAIL_ENTRIES_MAX: usize = 256;

/// One host's replica of the configuration. Its revision never decreases.
#[derive(Clone, Debug)]
pub struct Replica {
    revision: id::Revision,
    lineage: Lineage,
    fleet: Arc<Fleet>,
    /// The latest entries, from which other hosts' pulls are answered.
    tail: VecDeque<Arc<Entry>>,
}

/// Outcome of applying an entry to a [`Replica`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[must_use]
pub enum Outcome {
    /// The entry is in force now.
    Applied,
    /// The entry's revision is in force or was before.
    Known,
    /// Entries before it are missing.
    Gap,
    /// The entry contradicts the history: another change has its revision, or its delta does not
    /// fit.
    Contradiction,
}

impl Default for Replica {
    fn default() -> Replica {
        Replica {
            revision: id::Revision::default(),
            lineage: Lineage::root(),
            fleet: Arc::default(),
            tail: VecDeque::new(),
        }
    }
}

impl Replica {
    /// Returns the revision in force.
    pub fn revision(&self) -> id::Revision {
        self.revision
    }

    /// Returns the lineage of the revision in force.
    pub fn lineage(&self) -> Lineage {
        self.lineage
    }

    /// Returns the configuration in force.
    pub fn fleet(&self) -> &Arc<Fleet> {
        &self.fleet
    }

    /// Returns the latest entry, if it is in memory.
    pub fn last(&self) -> Option<&Arc<Entry>> {
        self.tail.back()
    }

    /// Applies an accepted change if it follows the revision in force.
    pub fn apply(&mut self, entry: Arc<Entry>) -> Outcome {
        if entry.revision <= self.revision {
            return self.compare(&entry);
        }
        let fleet = match &entry.body {
            Body::Full(fleet) => Some((**fleet).clone()),
            Body::Delta(_) if entry.revision != self.revision.next() => return Outcome::Gap,
            Body::Delta(delta) => delta.apply(&self.fleet),
        };
        let Some(fleet) = fleet else { return Outcome::Contradiction };
        self.revision = entry.revision;
        self.lineage = self.lineage.after(&entry);
        self.fleet = Arc::new(fleet);
        match entry.body {
            // Whole configurations are not kept in the tail; hosts that lack one get a snapshot.
            Body::Full(_) => self.tail.clear(),
            Body::Delta(_) => self.tail.push_back(entry),
        }
        if self.tail.len() > TAIL_ENTRIES_MAX {
            self.tail.pop_front();
        }
        Outcome::Applied
    }

    /// Installs a snapshot if it is ahead, and returns whether it was.
    pub fn install(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.revision <= self.revision {
            return false;
        }
        self.revision = snapshot.revision;
        self.lineage = snapshot.lineage;
        self.fleet = Arc::new(snapshot.fleet);
        self.tail.clear();
        true
    }

    /// Returns the entries after `revision`, or `None` if they are not all in memory.
    pub fn since(&self, revision: id::Revision) -> Option<Vec<Arc<Entry>>> {
        if revision >= self.revision {
            return Some(Vec::new());
        }
        if self.tail.front()?.revision > revision.next() {
            return None;
        }
        Some(self.tail.iter().filter(|entry| entry.revision > revision).cloned().collect())
    }

    fn compare(&self, entry: &Entry) -> Outcome {
        match self.tail.iter().find(|known| known.revision == entry.revision) {
            Some(known) if known.change != entry.change => Outcome::Contradiction,
            _ => Outcome::Known,
        }
    }
}
