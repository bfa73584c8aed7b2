//! The task that marks records whose holder is gone as open and deletes old ones.
//!
//! One host does it for the whole fleet, chosen by rendezvous hashing. When two hosts do it at the
//! same time, their conditional writes prevent damage.

use std::{collections::BTreeMap, time::Duration};

use {
    tokio::time,
    toucanhoist_core::{
        event::Event,
        membership,
        submission::{Record, Row, Step, Watch, Write, Written},
    },
    toucanhoist_store::{Error, Version},
};

use super::{TABLE, recorder, recorder::present, unix_s};
use crate::host::{Context, fleet};

const INTERVAL: Duration = Duration::from_secs(1);
const PAGE_ROWS: usize = 500;
const PAGES_PER_TURN: usize = 8;
const WRITE_DEADLINE: Duration = Duration::from_secs(5);
/// Key of the rendezvous hash that chooses the sweeping host.
const SWEEPER: &str = "submissions";

/// Spawns the task.
pub(super) fn spawn(context: Context, fleet: fleet::Handle, recorder: recorder::Handle) {
    let sweep = Sweep {
        context,
        fleet,
        recorder,
        read_version: Version::default(),
        expiry_version: Version::default(),
        running: BTreeMap::new(),
    };
    tokio::spawn(sweep.run());
}

struct Sweep {
    context: Context,
    fleet: fleet::Handle,
    recorder: recorder::Handle,
    /// Version up to which changes have been read.
    read_version: Version,
    /// Version up to which records have been checked for expiry.
    expiry_version: Version,
    /// Records in the state `running`, with their versions.
    running: BTreeMap<Box<str>, (u64, Record)>,
}

impl Sweep {
    async fn run(mut self) {
        let mut ticks = time::interval(INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if !self.is_sweeper() {
                self.running.clear();
                self.read_version = Version::default();
                continue;
            }
            if let Err(error) = self.sweep().await {
                log::debug!(target: "toucanhoist", "submissions were not swept: {error}");
            }
        }
    }

    fn is_sweeper(&self) -> bool {
        let view = self.fleet.view();
        let sweeper = view
            .live()
            .max_by_key(|member| membership::rendezvous_score(member.name.as_str(), SWEEPER));
        sweeper.is_some_and(|member| member.name == self.context.settings.name)
    }

    async fn sweep(&mut self) -> Result<(), Error> {
        self.read_changes().await?;
        for (row, (version, record)) in self.running.clone() {
            if let Step::Write(write) = self.recorder.observe(&row, version, record.clone()).await {
                self.open(&row, &record, write).await;
            }
        }
        self.expire().await
    }

    /// Reads the changes of the table since the last read.
    async fn read_changes(&mut self) -> Result<(), Error> {
        for _ in 0..PAGES_PER_TURN {
            let rows = self.context.platform.scan(TABLE, self.read_version, PAGE_ROWS).await?;
            let Some(last) = rows.last().map(|row| row.version) else { return Ok(()) };
            for row in rows {
                let key = row.key.clone();
                match present(row).and_then(running) {
                    Some(found) => self.running.insert(key, found),
                    None => self.running.remove(&key),
                };
            }
            self.read_version = last;
        }
        Ok(())
    }

    async fn open(&mut self, row: &str, record: &Record, write: Write) {
        let deadline = self.context.clock.now() + WRITE_DEADLINE;
        if let Written::Applied(_) = self.recorder.write(write, deadline).await {
            self.running.remove(row);
            self.context.journal.record(
                Event::SubmissionLapsed,
                record.request,
                &[("submission", &row), ("holder", &record.holder)],
            );
        }
    }

    /// Deletes records whose retention has passed, the oldest first.
    async fn expire(&mut self) -> Result<(), Error> {
        let catalog = self.fleet.catalog();
        let retention = catalog.fleet().defaults.submission_retention.as_duration();
        let rows = self.context.platform.scan(TABLE, self.expiry_version, PAGE_ROWS).await?;
        let mut deletions = Vec::new();
        for row in rows {
            let (key, version) = (row.key.clone(), row.version);
            let row = present(row);
            let record = row.and_then(|row| Record::from_json(&row.value));
            if let Some(record) = record {
                let young = unix_s().saturating_sub(record.changed_s) < retention.as_secs();
                if young {
                    break;
                }
                let expired = Watch::expire(unix_s(), retention, &key, version.as_u64(), &record);
                deletions.extend(expired);
            }
            self.expiry_version = version;
        }
        self.delete(deletions).await;
        Ok(())
    }

    async fn delete(&mut self, deletions: Vec<Write>) {
        if deletions.is_empty() {
            return;
        }
        let deadline = self.context.clock.now() + WRITE_DEADLINE;
        let writes = deletions.into_iter().map(|write| self.recorder.write(write, deadline));
        let written = futures_util::future::join_all(writes).await;
        let deleted =
            written.iter().filter(|written| matches!(written, Written::Applied(_))).count();
        if deleted < written.len() {
            // The next pass starts over and finds the records that could not be deleted.
            self.expiry_version = Version::default();
        }
        self.context.journal.note(Event::SubmissionsExpired, &[("count", &deleted)]);
    }
}

fn running(row: Row) -> Option<(u64, Record)> {
    let record = Record::from_json(&row.value)?;
    (record.state.as_str() == "running").then_some((row.version, record))
}
