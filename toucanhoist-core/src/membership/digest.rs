use std::collections::BTreeMap;

use twox_hash::XxHash64;

use super::{Member, State, Summary};
use crate::id;

/// Incremental digest of a set of member records.
///
/// It is the XOR of the hashes of the records. Dead members are left out, because hosts remove them
/// at different times.
#[derive(Clone, Debug, Default)]
pub struct Digest {
    all: u64,
    data_centres: BTreeMap<id::DataCentre, u64>,
}

impl Digest {
    /// Adds a record, or removes it if it was added before.
    pub fn toggle(&mut self, member: &Member) {
        if member.state == State::Dead {
            return;
        }
        let hash = hash(member);
        self.all ^= hash;
        match self.data_centres.get_mut(&member.data_centre) {
            Some(digest) => *digest ^= hash,
            None => {
                self.data_centres.insert(member.data_centre.clone(), hash);
            }
        }
    }

    /// Returns the digest of all records.
    pub fn all(&self) -> u64 {
        self.all
    }

    /// Returns the digest of each data centre.
    pub fn summaries(&self) -> Vec<Summary> {
        let summary = |(data_centre, digest): (&id::DataCentre, &u64)| Summary {
            data_centre: data_centre.clone(),
            digest: *digest,
        };
        self.data_centres.iter().map(summary).collect()
    }

    /// Returns the data centres whose digest differs from the one in `summaries`.
    pub fn differing(&self, summaries: &[Summary]) -> Vec<id::DataCentre> {
        let remote: BTreeMap<&id::DataCentre, u64> =
            summaries.iter().map(|s| (&s.data_centre, s.digest)).collect();
        let mut names: Vec<&id::DataCentre> =
            self.data_centres.keys().chain(remote.keys().copied()).collect();
        names.sort();
        names.dedup();
        let local = |name: &id::DataCentre| self.data_centres.get(name).copied().unwrap_or(0);
        let differs =
            |name: &&id::DataCentre| local(name) != remote.get(name).copied().unwrap_or(0);
        names.into_iter().filter(differs).cloned().collect()
    }
}

fn hash(member: &Member) -> u64 {
    let name = XxHash64::oneshot(member.incarnation.0, member.name.as_str().as_bytes());
    XxHash64::oneshot(name, member.state.as_str().as_bytes())
}
