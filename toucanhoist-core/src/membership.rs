/*!
Who is in the fleet.

A [`View`] is the one typed picture of the entry hosts that routing, client accounts and keys read.
A [`Detector`] makes it: a failure detector in the manner of SWIM, with suspicion and incarnation
numbers. Hosts of one data centre probe each other; a few delegates of each data centre exchange
digests with other data centres. Rumours travel on these messages, and digests repair what rumours
missed. docs/MEMBERSHIP.md gives the reasons.
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
