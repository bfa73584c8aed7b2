use std::{collections::VecDeque, sync::Arc};

use super::{Body, Entry, Lineage, Snapshot};
use crate::{fleet::Fleet, id};

const TAIL_ENTRIES_MAX: usize = 256;

/// The configuration of one host. Its revision never decreases.
#[derive(Clone, Debug)]
pub struct Replica {
    revision: id::Revision,
    lineage: Lineage,
    fleet: Arc<Fleet>,
    tail: VecDeque<Arc<Entry>>,
}

/// What became of an entry that was offered to a [`Replica`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[must_use]
pub enum Outcome {
    /// It is in force now.
    Applied,
    /// It was in force before.
    Known,
    /// Entries before it are missing.
    Gap,
    /// It contradicts the history: another change has its revision, or it does not fit.
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

    /// Returns the position in the history.
    pub fn lineage(&self) -> Lineage {
        self.lineage
    }

    /// Returns the configuration in force.
    pub fn fleet(&self) -> &Arc<Fleet> {
        &self.fleet
    }

    /// Returns the latest entry, if it is at hand.
    pub fn last(&self) -> Option<&Arc<Entry>> {
        self.tail.back()
    }

    /// Puts an accepted change in force if it follows what is in force.
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
            // A whole document is kept once; hosts that lack it get a snapshot.
            Body::Full(_) => self.tail.clear(),
            Body::Delta(_) => self.tail.push_back(entry),
        }
        if self.tail.len() > TAIL_ENTRIES_MAX {
            self.tail.pop_front();
        }
        Outcome::Applied
    }

    /// Takes a snapshot if it is ahead, and returns whether it was.
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

    /// Returns the entries after `revision`, or `None` if they are not at hand.
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
