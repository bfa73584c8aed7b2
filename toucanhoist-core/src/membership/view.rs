use std::{fmt, net::SocketAddr};

use twox_hash::XxHash64;

use crate::id;

const REFUTATION_BITS: u32 = 20;

/// Number that orders successive processes of one host and their records; a later one is higher.
///
/// The upper bits identify the process, the lower ones count its refutations.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Returns the first incarnation of a process that starts at a Unix time in milliseconds.
    pub fn of_process(start_unix_ms: u64) -> Incarnation {
        Incarnation(start_unix_ms << REFUTATION_BITS)
    }

    /// Returns the number of the process.
    pub fn process(self) -> u64 {
        self.0 >> REFUTATION_BITS
    }

    /// Returns the incarnation with which this process refutes a record of incarnation `refuted`.
    pub fn refuting(self, refuted: Incarnation) -> Incarnation {
        if self.process() == refuted.process() {
            Incarnation(self.0.max(refuted.0) + 1)
        } else {
            Incarnation::of_process(self.process().max(refuted.process()) + 1)
        }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// State of a member; among records of one incarnation the later state prevails.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum State {
    /// Answers probes.
    Live,
    /// Did not answer a probe.
    Suspect,
    /// Is shutting down.
    Leaving,
    /// Is gone: it did not refute a suspicion in time, or it has left.
    Dead,
}

/// Record of an entry host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name.
    pub name: id::EntryHost,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Data centre.
    pub data_centre: id::DataCentre,
    /// URL for callers.
    pub callers: Box<str>,
    /// Address for other entry hosts.
    pub peers: SocketAddr,
    /// State.
    pub state: State,
}

/// The members that a host knows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct View {
    /// Members, sorted by name; the host itself is one of them.
    pub members: Vec<Member>,
}

impl View {
    /// Returns the members that accept new work.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| matches!(m.state, State::Live | State::Suspect))
    }

    /// Returns the live members of a data centre.
    pub fn in_data_centre<'a>(
        &'a self,
        data_centre: &'a id::DataCentre,
    ) -> impl Iterator<Item = &'a Member> {
        self.live().filter(move |m| m.data_centre == *data_centre)
    }

    /// Returns the member with a name.
    pub fn member(&self, name: &id::EntryHost) -> Option<&Member> {
        self.members.iter().find(|m| m.name == *name)
    }

    /// Returns the `count` live members of a data centre that hold a role, chosen by rendezvous
    /// hashing.
    pub fn holders(&self, data_centre: &id::DataCentre, role: &str, count: usize) -> Vec<&Member> {
        let mut members: Vec<&Member> =
            self.live().filter(|m| m.data_centre == *data_centre).collect();
        members.sort_by_key(|m| {
            std::cmp::Reverse((rendezvous_score(m.name.as_str(), role), m.name.clone()))
        });
        members.truncate(count);
        members
    }

    /// Returns the owner of `key` among the live members of a data centre, chosen by rendezvous
    /// hashing.
    pub fn owner(&self, data_centre: &id::DataCentre, key: &str) -> Option<&Member> {
        self.live()
            .filter(|m| m.data_centre == *data_centre)
            .max_by_key(|m| rendezvous_score(m.name.as_str(), key))
    }
}

impl State {
    /// Returns the state's name.
    pub fn as_str(self) -> &'static str {
        match self {
            State::Live => "live",
            State::Suspect => "suspect",
            State::Leaving => "leaving",
            State::Dead => "dead",
        }
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Member {
    /// Whether this record prevails over `other`, a record of the same name.
    pub fn supersedes(&self, other: &Member) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}

/// Returns the rendezvous score of a member for a key.
pub fn rendezvous_score(member: &str, key: &str) -> u64 {
    XxHash64::oneshot(XxHash64::oneshot(0, member.as_bytes()), key.as_bytes())
}
