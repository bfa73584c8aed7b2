use serde::{Deserialize, Serialize};

use super::{Lineage, Replica};
use crate::{fleet::Fleet, id, key::Digest};

/// A whole configuration, as stored in the object store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// Revision.
    pub revision: id::Revision,
    /// Lineage of the revision.
    pub lineage: Lineage,
    /// The configuration.
    pub fleet: Fleet,
}

/// Location of a [`Snapshot`], with the digest that verifies it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pointer {
    /// Revision of the snapshot.
    pub revision: id::Revision,
    /// Name of the object.
    pub object: Box<str>,
    /// Digest of the object's content.
    pub digest: Digest,
}

impl Snapshot {
    /// Takes the snapshot of a replica.
    pub fn of(replica: &Replica) -> Snapshot {
        Snapshot {
            revision: replica.revision(),
            lineage: replica.lineage(),
            fleet: (**replica.fleet()).clone(),
        }
    }

    /// Returns the object's content.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a configuration can be written as JSON")
    }

    /// Parses an object's content, or returns `None` if it is not the snapshot that `pointer`
    /// names.
    pub fn from_bytes(content: &[u8], pointer: &Pointer) -> Option<Snapshot> {
        if !Digest::of(content).matches(&pointer.digest) {
            return None;
        }
        let snapshot: Snapshot = serde_json::from_slice(content).ok()?;
        (snapshot.revision == pointer.revision).then_some(snapshot)
    }
}
