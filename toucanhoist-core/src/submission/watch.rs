//! Detection of records whose holder is gone.

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::Time,
    submission::{Expect, Record, State, Write},
};

/// Time for which a record is watched beyond its lease. It covers the difference between the rates
/// of two clocks, and the time between the check of the fence and the send that it guards.
const LEASE_MARGIN: Duration = Duration::from_secs(2);
const WATCHED_MAX: usize = 100_000;

/// Next step for a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Leave the record as it is.
    Leave,
    /// The record is running; its holder's lease ends after this time at the latest.
    Wait(Duration),
    /// Write the record as open.
    Write(Write),
}

/// Running records that a host has observed, each with the time of the first observation.
///
/// The clocks of two hosts are never compared. A lease starts before its record is first observed,
/// so it has ended once its length has passed since the first observation.
#[derive(Debug, Default)]
pub struct Watch {
    observed: HashMap<Box<str>, Observation>,
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    version: u64,
    first_at: Time,
}

impl Watch {
    /// Creates a watch without records.
    pub fn new() -> Watch {
        Watch::default()
    }

    /// Observes a record and decides whether it has to be opened.
    pub fn observe(
        &mut self,
        now: Time,
        unix_s: u64,
        row: &str,
        version: u64,
        record: &Record,
    ) -> Step {
        if record.state != State::Running {
            self.observed.remove(row);
            return Step::Leave;
        }
        let watch_time = Duration::from_millis(record.lease_ms).saturating_add(LEASE_MARGIN);
        let passed = now.since(self.observation(now, row, version).first_at);
        if passed < watch_time {
            return Step::Wait(watch_time.saturating_sub(passed));
        }
        let reason = "the host that ran it has gone".into();
        let opened = Record { state: State::Open { reason }, changed_s: unix_s, ..record.clone() };
        Step::Write(Write {
            row: row.into(),
            expect: Expect::Version(version),
            value: Some(opened.to_json()),
        })
    }

    /// Returns the write that deletes a record if it is answered, released or settled and has not
    /// changed for `retention`.
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
        self.observed.keys().map(|row| &**row)
    }

    /// Stops watching a row.
    pub fn forget(&mut self, row: &str) {
        self.observed.remove(row);
    }

    /// Returns the first observation of a row's version, which is this one if there was none
    /// before.
    fn observation(&mut self, now: Time, row: &str, version: u64) -> Observation {
        let first = Observation { version, first_at: now };
        match self.observed.get_mut(row) {
            Some(observation) if observation.version == version => *observation,
            Some(observation) => {
                *observation = first;
                first
            }
            None => {
                // While the map is full, a row that is not in it counts as observed for the first
                // time at each call, and is opened later.
                if self.observed.len() < WATCHED_MAX {
                    self.observed.insert(row.into(), first);
                }
                first
            }
        }
    }
}
