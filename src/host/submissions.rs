//! Submissions: requests that run at most once, which records at the platform ensure.
//!
//! [`recorder`] writes records by group commit and watches the records of other hosts. Each
//! submission runs in a task of its own ([`run`]), which continues when the caller disconnects, so
//! that the answer is stored. [`sweep`] marks records whose holder is gone as open and deletes old
//! ones.

use std::time::{Duration, SystemTime};

use {
    tokio::time,
    tokio_util::task::TaskTracker,
    toucanhoist_core::{
        event::Event,
        submission::{BatcherConfig, Holder},
    },
};

use super::{Context, fleet};

mod answers;
mod recorder;
mod register;
mod run;
mod sweep;

pub use self::{
    register::{OpenSubmission, Settlement},
    run::run,
};

/// Table of the records at the platform.
const TABLE: &str = "submissions";

/// Handle of the tasks.
#[derive(Clone)]
pub struct Handle {
    context: Context,
    recorder: recorder::Handle,
    holder: Holder,
    running: TaskTracker,
}

impl Handle {
    /// Waits at most `limit` until the outcome of every submission is written.
    ///
    /// Returns the number of submissions whose outcome is not written.
    pub async fn flush(&self, limit: Duration) -> usize {
        self.running.close();
        if time::timeout(limit, self.running.wait()).await.is_err() {
            let unfinished = self.running.len();
            self.context.journal.note(Event::SubmissionsLeft, &[("count", &unfinished)]);
            return unfinished;
        }
        0
    }

    /// Returns the number of submissions whose outcome is not written yet.
    pub fn unfinished(&self) -> usize {
        self.running.len()
    }
}

/// Spawns the tasks.
pub fn spawn(context: Context, fleet: fleet::Handle) -> Handle {
    let holder = Holder { name: context.settings.name.clone(), incarnation: context.incarnation.0 };
    let recorder = recorder::spawn(context.clone(), BatcherConfig::default());
    sweep::spawn(context.clone(), fleet, recorder.clone());
    Handle { context, recorder, holder, running: TaskTracker::new() }
}

/// Returns the Unix time in seconds, on which only the retention depends.
fn unix_s() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs()
}
