//! Times until which targets want no requests of this host.
//!
//! They outlive the target's entry: an entry may be missing for a moment, and return for the same
//! start of the target.

use std::collections::BTreeMap;

use crate::{clock::Time, id};

/// Holds that have not expired, by target.
#[derive(Debug, Default)]
pub(super) struct Holds {
    holds: BTreeMap<id::Target, Hold>,
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    born: u64,
    until: Time,
}

impl Holds {
    /// Records that the incarnation of a target that was born at `born` wants nothing until a time.
    /// Of several times of an incarnation, the latest holds.
    pub(super) fn record(&mut self, now: Time, target: &id::Target, born: u64, until: Time) {
        self.holds.retain(|_, hold| now < hold.until);
        let hold = self.holds.entry(target.clone()).or_insert(Hold { born, until });
        if hold.born < born {
            *hold = Hold { born, until };
        } else if hold.born == born {
            hold.until = hold.until.max(until);
        }
    }

    /// Returns until when an incarnation of a target wants nothing.
    pub(super) fn until(&self, target: &id::Target, born: u64) -> Option<Time> {
        self.holds.get(target).filter(|hold| hold.born == born).map(|hold| hold.until)
    }
}
