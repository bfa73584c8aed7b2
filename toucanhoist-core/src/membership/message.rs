use std::net::SocketAddr;

use super::Member;
use crate::id;

/// A message between the detectors of two hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// The sender, as it sees itself.
    pub from: Member,
    /// Revision of the configuration in force at the sender.
    pub revision: id::Revision,
    /// Era of the store that the revision counts in; 0 where revisions never go back.
    pub era: u64,
    /// Digest of all that the sender knows.
    pub digest: u64,
    /// Records that the receiver may lack.
    pub records: Vec<Member>,
    /// Data centres that the sender, a delegate, has not heard from.
    pub unreachable: Vec<id::DataCentre>,
    /// What the message is for.
    pub body: Body,
}

/// What a message is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Body {
    /// Asks for an acknowledgement.
    Ping {
        /// Number that the acknowledgement repeats.
        probe: u64,
    },
    /// Acknowledges a ping.
    Ack {
        /// Number of the ping.
        probe: u64,
        /// Digests of the data centres, when the digests of all differ.
        summaries: Vec<Summary>,
    },
    /// Asks for a ping of another host on the sender's behalf.
    Relay {
        /// Number that the acknowledgement repeats.
        probe: u64,
        /// Address of the other host.
        target: SocketAddr,
    },
    /// Asks for the records of data centres; the message holds the sender's.
    Pull {
        /// The data centres.
        data_centres: Vec<id::DataCentre>,
    },
    /// Brings records.
    Records,
}

/// Digest of what is known of a data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Summary {
    /// The data centre.
    pub data_centre: id::DataCentre,
    /// The digest.
    pub digest: u64,
}

/// A message to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Envelope {
    /// Address for other entry hosts of the receiver.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}
