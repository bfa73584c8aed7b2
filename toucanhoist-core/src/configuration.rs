/*!
Replication of the fleet's configuration to every host.

The platform's table holds the accepted changes, one [`Entry`] a revision. A host holds a
[`Replica`], which applies entries in order and never returns to an earlier revision; a [`Follower`]
keeps it up to date. An entry is a [`Delta`] to the previous revision; a [`Snapshot`] in the object
store lets a new host start without the whole history. [`tree`] determines to which hosts a host
forwards a new entry, and [`effect`] finds how much capacity a change removes at once.
docs/CONFIGURATION.md gives the reasons.
*/

mod delta;
pub mod effect;
mod follower;
mod replica;
mod snapshot;
pub mod tree;

use serde::{Deserialize, Serialize};

pub use self::{
    delta::{Delta, Splice},
    follower::{Envelope, Follower, Message, Reach, Step},
    replica::{Outcome, Replica},
    snapshot::{Pointer, Snapshot},
};
use crate::{fleet::Fleet, id, key::Digest};

/// An accepted change of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// Revision that the change created.
    pub revision: id::Revision,
    /// Identifier of the change, which shows after a lost answer whether the change was accepted.
    pub change: id::Request,
    /// Author of the change.
    pub author: Box<str>,
    /// Reason that the author gave.
    pub reason: Box<str>,
    /// Time of the change, in milliseconds of Unix time.
    #[serde(default)]
    pub at_unix_ms: u64,
    /// Readable list of what the change touches.
    #[serde(default)]
    pub touches: Vec<Box<str>>,
    /// The change itself.
    pub body: Body,
}

/// Content of an [`Entry`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// The whole configuration.
    Full(Box<Fleet>),
    /// The difference from the previous revision.
    Delta(Box<Delta>),
}

/// Hash chain over the history of changes: equal lineages mean equal histories.
///
/// An entry with a whole configuration starts a new chain.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lineage(Digest);

impl Lineage {
    /// Returns the lineage of the empty configuration.
    pub fn root() -> Lineage {
        Lineage(Digest::of(b""))
    }

    /// Returns the lineage after `entry`.
    pub fn after(self, entry: &Entry) -> Lineage {
        let parent = match entry.body {
            Body::Full(_) => Lineage::root(),
            Body::Delta(_) => self,
        };
        let link = format!("{}/{}/{}", parent.0, entry.revision, entry.change);
        Lineage(Digest::of(link.as_bytes()))
    }
}
