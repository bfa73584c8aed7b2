//! What a target said of itself, ordered so that hosts agree on the latest statement.

use std::time::Duration;

use crate::{id, unit::Rate};

/// What a target said of its limit, and whether it leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// Start time of the target, which distinguishes its incarnations.
    pub born: u64,
    /// Number of the statement among those of the incarnation, from 1.
    pub version: u64,
    /// Requests that it takes from all hosts; `None` if it names no limit any more.
    pub limit: Option<Rate>,
    /// Whether it leaves; an incarnation that leaves never returns.
    pub is_leaving: bool,
}

impl Statement {
    /// Whether this statement replaces another one of the same target. Of two with the same
    /// version, which different hosts received at the same time, the stricter one counts.
    pub fn supersedes(&self, other: &Statement) -> bool {
        match (self.born, self.version).cmp(&(other.born, other.version)) {
            std::cmp::Ordering::Less => false,
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Equal => is_stricter(self.limit, other.limit),
        }
    }

    /// Returns the later of two statements of a target, which leaves if its incarnation said so in either.
    pub fn joined(&self, other: &Statement) -> Statement {
        let latest = if self.supersedes(other) { *self } else { *other };
        let is_leaving = [self, other].iter().any(|one| one.born == latest.born && one.is_leaving);
        Statement { is_leaving, ..latest }
    }
}

/// Whether a limit allows less than another one.
pub(super) fn is_stricter(limit: Option<Rate>, other: Option<Rate>) -> bool {
    match (limit, other) {
        (Some(limit), Some(other)) => limit < other,
        (Some(_), None) => true,
        (None, _) => false,
    }
}

/// A statement as one host reports it to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The target.
    pub target: id::Target,
    /// What it said.
    pub statement: Statement,
    /// Time since an answer of the target last said so.
    pub age: Duration,
}
