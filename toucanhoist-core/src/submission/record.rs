//! The record of a submission, as the platform stores it.

use {
    serde::{Deserialize, Serialize},
    serde_with::{base64::Base64, serde_as},
};

use crate::{id, key::Digest};

/// The record of a submission.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Digest of the request's content.
    pub digest: Digest,
    /// Identifier of the request of the attempt.
    pub request: id::Request,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Entry host that holds the attempt.
    pub holder: id::EntryHost,
    /// Incarnation of the holder's process.
    pub incarnation: u64,
    /// Time after the start of the attempt until which the holder may send, in milliseconds.
    pub lease_ms: u64,
    /// Unix time of the last change, in seconds; used only for the retention.
    pub changed_s: u64,
    /// State of the submission.
    pub state: State,
}

/// State of a submission.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Its holder may send it, until its fence.
    Running,
    /// A target ran it and answered.
    Answered(StoredAnswer),
    /// No target received any of it, and its holder will not send it any more.
    Released,
    /// It may have run.
    Open {
        /// What happened.
        reason: Box<str>,
    },
    /// An operator found out that it ran.
    Settled {
        /// Operator that settled it.
        author: Box<str>,
        /// Reason that the operator gave.
        reason: Box<str>,
    },
}

impl State {
    /// Returns the state's name.
    pub fn as_str(&self) -> &'static str {
        match self {
            State::Running => "running",
            State::Answered(_) => "answered",
            State::Released => "released",
            State::Open { .. } => "open",
            State::Settled { .. } => "settled",
        }
    }
}

/// A target's answer, stored for resends.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoredAnswer {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
    /// Target that answered.
    pub target: Box<str>,
    /// Body.
    pub content: Content,
}

/// A header of a stored answer.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Name.
    pub name: Box<str>,
    /// Value.
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
}

/// The body of a stored answer.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Content {
    /// In the record.
    Inline(#[serde_as(as = "Base64")] Vec<u8>),
    /// In the object store, under this name.
    Object(Box<str>),
    /// Not stored, because it is too large.
    Omitted,
}

impl Record {
    /// Parses a row's value; `None` if it is not a valid record.
    pub fn from_json(value: &str) -> Option<Record> {
        serde_json::from_str(value).ok()
    }

    /// Returns the record as a row's value.
    pub fn to_json(&self) -> Box<str> {
        serde_json::to_string(self).expect("a record has only string keys").into()
    }

    /// Whether both records belong to the same attempt.
    pub fn is_same_attempt(&self, other: &Record) -> bool {
        self.request == other.request
            && self.attempt == other.attempt
            && self.incarnation == other.incarnation
    }
}
