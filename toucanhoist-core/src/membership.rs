/*!
Membership of the fleet.

A [`View`] lists the entry hosts with their states; routing, client accounts and keys read it. A
[`Detector`] maintains it: a failure detector like SWIM, with suspicion and incarnation numbers.
Hosts of one data centre probe each other; a few delegates of each data centre exchange digests with
other data centres. Updates are piggybacked on these messages (gossip), and an exchange of records
repairs the differences that digests show. docs/MEMBERSHIP.md gives the reasons.
*/

mod detector;
mod digest;
mod message;
mod view;

pub use self::{
    detector::{Config, Detector, Stamp, Transition},
    digest::Digest,
    message::{Body, Envelope, Message, Summary},
    view::{Incarnation, Member, State, View, rendezvous_score},
};
