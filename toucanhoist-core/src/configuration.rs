/*!
How a configuration comes into force on every host, and stays.

The platform's table holds the accepted changes, one [`Entry`] a revision. A host holds a
[`Replica`], which takes entries in order and never goes back; a [`Follower`] keeps it up to date. An entry is a [`Delta`] on the
revision before; a [`Snapshot`] in the object store lets a fresh host start without the whole
history. [`tree`] tells a host whom to hand a new entry, and [`effect`] finds what a change takes
out at once. docs/CONFIGURATION.md gives the reasons.
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

/// An accepted change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// Revision that the change made.
    pub revision: id::Revision,
    /// Identifier of the change, by which a lost answer is settled.
    pub change: id::Request,
    /// Who made it.
    pub author: Box<str>,
    /// Why.
    pub reason: Box<str>,
    /// When, in milliseconds of Unix time.
    #[serde(default)]
    pub at_unix_ms: u64,
    /// What differs, for people.
    #[serde(default)]
    pub touches: Vec<Box<str>>,
    /// The change itself.
    pub body: Body,
}

/// The change of an [`Entry`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// The whole configuration.
    Full(Box<Fleet>),
    /// What differs from the revision before.
    Delta(Box<Delta>),
}

/// Position in the history of changes: equal lineages mean equal histories.
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
        let text = format!("{}/{}/{}", parent.0, entry.revision, entry.change);
        Lineage(Digest::of(text.as_bytes()))
    }
}
