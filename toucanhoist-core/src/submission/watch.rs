//! Records that their holders have left behind.

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::Time,
    submission::{Expect, Record, State, Write},
};

/// Time beyond a lease that a record is watched for: covers the difference of two clocks' rates and
/// the time between the fence's check and the write that it guards.
const LEASE_GUARD: Duration = Duration::from_secs(2);
const WATCHED_MAX: usize = 100_000;

/// What to do about a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Leave it.
    Leave,
    /// It is running; its holder's lease ends after this time at the latest.
    Wait(Duration),
    /// Write it.
    Write(Write),
}

/// Running records that a host has seen, each with the time at which it was first seen.
///
/// Clocks of two hosts are never compared: a lease that began before the record was first seen here
/// ends before its length has passed here.
#[derive(Debug, Default)]
pub struct Watch {
    seen: HashMap<Box<str>, Sighting>,
}

#[derive(Clone, Copy, Debug)]
struct Sighting {
    version: u64,
    at: Time,
}

impl Watch {
    /// Creates a watch that has seen nothing.
    pub fn new() -> Watch {
        Watch::default()
    }

    /// Notes a record and decides whether it has to be opened.
    pub fn observe(
        &mut self,
        now: Time,
        unix_s: u64,
        row: &str,
        version: u64,
        record: &Record,
    ) -> Step {
        if record.state != State::Running {
            self.seen.remove(row);
            return Step::Leave;
        }
        let watched_for = Duration::from_millis(record.lease_ms).saturating_add(LEASE_GUARD);
        let passed = now.since(self.sighting(now, row, version).at);
        if passed < watched_for {
            return Step::Wait(watched_for.saturating_sub(passed));
        }
        let reason = "the host that ran it has gone".into();
        let opened = Record { state: State::Open { reason }, changed_s: unix_s, ..record.clone() };
        Step::Write(Write {
            row: row.into(),
            expect: Expect::Version(version),
            value: Some(opened.to_json()),
        })
    }

    /// Decides whether a record is older than `retention` and can be deleted.
    pub fn expire(
        unix_s: u64,
        retention: Duration,
        row: &str,
        version: u64,
        record: &Record,
    ) -> Option<Write> {
        let expires = match record.state {
            State::Answered(_) | State::Released | State::Settled { .. } => true,
            State::Running | State::Open { .. } => false,
        };
        let age = Duration::from_secs(unix_s.saturating_sub(record.changed_s));
        (expires && age >= retention).then(|| Write {
            row: row.into(),
            expect: Expect::Version(version),
            value: None,
        })
    }

    /// Returns the rows that are watched.
    pub fn rows(&self) -> impl Iterator<Item = &str> {
        self.seen.keys().map(|row| &**row)
    }

    /// Stops watching a row.
    pub fn forget(&mut self, row: &str) {
        self.seen.remove(row);
    }

    fn sighting(&mut self, now: Time, row: &str, version: u64) -> Sighting {
        let first = Sighting { version, at: now };
        match self.seen.get_mut(row) {
            Some(sighting) if sighting.version == version => *sighting,
            Some(sighting) => {
                *sighting = first;
                first
            }
            None => {
                // A row that finds no place is seen anew each time, and so opened later.
                if self.seen.len() < WATCHED_MAX {
                    self.seen.insert(row.into(), first);
                }
                first
            }
        }
    }
}
