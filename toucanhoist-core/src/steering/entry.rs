//! What the registry holds of operators, targets and entry hosts.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use {
    serde::{Deserialize, Serialize},
    serde_with::serde_as,
};

use super::{Config, Version};
use crate::id;

/// A group of entries that is read and followed together.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Topic {
    /// Configuration and evacuations.
    Operator,
    /// Targets that registered themselves.
    Targets,
    /// Entry hosts.
    Hosts,
}

impl Topic {
    /// Every topic.
    pub const ALL: [Topic; 3] = [Topic::Operator, Topic::Targets, Topic::Hosts];

    /// Returns the topic's number in messages between hosts.
    pub fn number(self) -> u32 {
        match self {
            Topic::Operator => 0,
            Topic::Targets => 1,
            Topic::Hosts => 2,
        }
    }

    /// Returns the topic with a number.
    pub fn from_number(number: u32) -> Option<Topic> {
        Topic::ALL.into_iter().find(|topic| topic.number() == number)
    }

    /// Returns the name that logs use.
    pub fn as_str(self) -> &'static str {
        match self {
            Topic::Operator => "operator",
            Topic::Targets => "targets",
            Topic::Hosts => "hosts",
        }
    }
}

/// Name of an entry.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Key {
    /// The configuration.
    Config,
    /// Evacuation of a data centre.
    Evacuation(#[serde_as(as = "id::Text")] id::DataCentre),
    /// A target.
    Target(#[serde_as(as = "id::Text")] id::Target),
    /// An entry host.
    Host(#[serde_as(as = "id::Text")] id::EntryHost),
}

impl Key {
    /// Returns the topic that the entry belongs to.
    pub fn topic(&self) -> Topic {
        match self {
            Key::Config | Key::Evacuation(_) => Topic::Operator,
            Key::Target(_) => Topic::Targets,
            Key::Host(_) => Topic::Hosts,
        }
    }
}

/// Content of an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Value {
    /// The configuration.
    Config(Arc<Config>),
    /// A data centre is under evacuation.
    Evacuation,
    /// A target.
    Target(Target),
    /// An entry host.
    Host(EntryHost),
    /// A value that cannot be decoded; it is never used.
    Unreadable,
}

/// State that a target reports.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TargetState {
    /// It takes requests.
    Ready,
    /// It is shutting down and takes no new requests.
    Draining,
}

impl TargetState {
    /// Returns the state's name.
    pub fn as_str(self) -> &'static str {
        match self {
            TargetState::Ready => "ready",
            TargetState::Draining => "draining",
        }
    }
}

/// A target as it registered itself.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// Service that it runs.
    #[serde_as(as = "id::Text")]
    pub service: id::Service,
    /// Address.
    pub address: SocketAddr,
    /// Data centre that it is in.
    #[serde_as(as = "id::Text")]
    pub data_centre: id::DataCentre,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// State.
    pub state: TargetState,
    /// Remaining warm-up time at the moment of the write.
    pub cold_left: Duration,
    /// Start time, which distinguishes the incarnations of a target.
    pub born: u64,
}

/// An entry host as it registered itself.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryHost {
    /// Data centre that it is in.
    #[serde_as(as = "id::Text")]
    pub data_centre: id::DataCentre,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other entry hosts.
    pub peers: SocketAddr,
    /// Number of the process, higher with each start.
    pub epoch: u64,
    /// Capacity of its machine, for comparison between hosts; 0 if unknown.
    #[serde(default)]
    pub capacity: u32,
}

/// An entry; one without value has been removed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// Version that the store gave it.
    pub version: Version,
    /// Content.
    pub value: Option<Value>,
}
