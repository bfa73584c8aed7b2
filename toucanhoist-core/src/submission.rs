/*!
Requests that run at most once.

A submission is identified by its account, its service and the idempotency key that the caller
chose. Its [`Record`] is created in the platform's table before anything is sent to a target, and
changes only by conditional writes:

- absent to running: an [`Attempt`] holds the submission and may send it until its [`Fence`];
- running to answered, released (no target received any of it) or open (it may have run);
- running to open by any host that has observed the record for longer than its lease;
- released to running again, with a higher attempt number;
- open to settled by an operator, or to answered or released by its holder, which knows the outcome.

A request runs only if its record is absent or released. So it runs at most once: a holder that
released its attempt never sends it afterwards, and a holder whose record was opened by another host
has reached its fence before.

[`Batcher`] combines the writes of many submissions into one transaction. [`Watch`] opens records
whose holder is gone and deletes old ones.
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

/// Identity and content of a submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Submission {
    /// Client account.
    pub account: id::Account,
    /// Service.
    pub service: id::Service,
    /// Idempotency key that the caller chose.
    pub key: Box<str>,
    /// Digest of the request's content.
    pub digest: Digest,
    /// Identifier of the request.
    pub request: id::Request,
}

impl Submission {
    /// Returns the key of the submission's row.
    ///
    /// Names of accounts and services contain no `/`, so no two submissions share a row.
    pub fn row(&self) -> Box<str> {
        format!("{}/{}/{}", self.account, self.service, self.key).into()
    }
}

/// Condition of a write on its row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// A row as read.
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
    /// Condition on the row.
    pub expect: Expect,
    /// New value; `None` deletes the row.
    pub value: Option<Box<str>>,
}
