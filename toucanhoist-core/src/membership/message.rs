use std::net::SocketAddr;

use super::Member;
use crate::id;

/// A message between the detectors of two hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// The sender's own record.
    pub from: Member,
    /// Revision of the configuration in force at the sender.
    pub revision: id::Revision,
    /// Era of the store that the revision counts in; 0 where revisions never go back.
    pub era: u64,
    /// Digest of all records that the sender knows.
    pub digest: u64,
    /// Records that the receiver may lack.
    pub records: Vec<Member>,
    /// Data centres that the sender cannot reach; set only by delegates.
    pub unreachable: Vec<id::DataCentre>,
    /// Purpose of the message.
    pub body: Body,
}

/// Purpose of a message.
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
        /// Digests by data centre, if the digests of all records differ.
        summaries: Vec<Summary>,
    },
    /// Asks for a ping of another host on behalf of the sender (SWIM's ping-req).
    Relay {
        /// Number that the acknowledgement repeats.
        probe: u64,
        /// Address of the other host.
        target: SocketAddr,
    },
    /// Asks for the records of data centres; the message carries those of the sender.
    Pull {
        /// The data centres.
        data_centres: Vec<id::DataCentre>,
    },
    /// Answers a pull with records.
    Records,
}

/// Digest of the records of one data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Summary {
    /// The data centre.
    pub data_centre: id::DataCentre,
    /// The digest.
    pub digest: u64,
}

/// A message with the address of its receiver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Envelope {
    /// Receiver's address for other entry hosts.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}
