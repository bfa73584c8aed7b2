/*!
Requests that run at most once.

A submission is named by its account, its service and the caller's key. Its [`Record`] is written
to the platform's table before anything is sent to a target, by a conditional write, and changes
only by conditional writes:

- absent to running: an [`Attempt`] holds the submission and may send it until its [`Fence`];
- running to answered, released (no target received any of it) or open (it may have run);
- running to open by any host that has watched the record for longer than its lease;
- released to running again, with a higher number;
- open to settled by an operator, or to answered or released by its holder, who knows better.

Only a released record, or the absence of one, lets a request run. So it runs at most once: a
holder that released its attempt never sends it afterwards, and one whose record was opened by
another host has reached its fence before.

[`Batcher`] puts the writes of many submissions into one transaction. [`Watch`] opens records whose
holder has gone and deletes old ones.
*/

use crate::{id, key::Digest};

mod attempt;
mod batcher;
mod record;
mod watch;

pub use self::{
    attempt::{Action, Attempt, Event, Fence, Holder},
    batcher::{Batch, Batcher, BatcherConfig, Command, Outcome, Rejection, Ticket, Written},
    record::{Content, Header, Record, State, StoredAnswer},
    watch::{Step, Watch},
};

/// What names a submission, and what it holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Submission {
    /// Client account.
    pub account: id::Account,
    /// Service.
    pub service: id::Service,
    /// Key that the caller chose.
    pub key: Box<str>,
    /// Digest of the request.
    pub digest: Digest,
    /// The request.
    pub request: id::Request,
}

impl Submission {
    /// Returns the key of its row.
    ///
    /// Names hold no `/`, so no two submissions share a row.
    pub fn row(&self) -> Box<str> {
        format!("{}/{}/{}", self.account, self.service, self.key).into()
    }
}

/// What a conditional write expects of its row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// There is no such row.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// A row as it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Version of the transaction that wrote it.
    pub version: u64,
    /// Value.
    pub value: Box<str>,
}

/// A conditional write of one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// Key of the row.
    pub row: Box<str>,
    /// What the row must be.
    pub expect: Expect,
    /// New value; `None` deletes the row.
    pub value: Option<Box<str>>,
}
