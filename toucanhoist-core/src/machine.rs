/*!
The machine of a host, and how its memory and descriptors are shared out.

A client decides how many connections it opens, how much it sends on each, and when it reads its answers. Each port
has a number of connections of its own, so that one that is full takes nothing from the others, and callers together
have one [budget](crate::memory) of bytes beyond the buffers that each connection has. The budget holds at least one
body of the largest size; connections share what it and the process leave. On a small machine such a body takes nearly
half of the memory, so further connections of callers are admitted out of the budget while no such body is held.
docs/LIMITS.md adds them up.
*/

/// Memory of a process without clients, with its log.
const PROCESS_BYTES: usize = 26_000_000;
/// Parts into which memory and descriptors are divided.
const PARTS: usize = 64;
/// Parts of the memory for the budget of callers, which connections leave to it.
const HELD_PARTS: usize = 15;
/// Parts of the memory for snapshots that are being sent to other hosts.
const SNAPSHOTS_PARTS: usize = 1;
/// Budget that holds a body of the largest size that the users' pages allow, 64 MiB, and what is received of it at the
/// same time.
const BODY_BYTES: usize = 71_000_000;
/// Memory that a machine needs beside that budget.
const BESIDE_BODY_BYTES: usize = 89_000_000;

/// Memory of a connection of each kind: the buffers of the HTTP library, the task, and the kernel's buffers.
pub const CALLER_BYTES: usize = 60 * 1_024;
const SHORT_BYTES: usize = 52 * 1_024;
const PEER_BYTES: usize = 40 * 1_024;
const TUNNEL_BYTES: usize = 72 * 1_024;
const TARGET_BYTES: usize = 32 * 1_024;
/// Descriptors of one tunnel.
const TUNNEL_DESCRIPTORS: usize = 2;

/// What connections of a kind get.
#[derive(Clone, Copy, Debug)]
struct Use {
    /// Parts of the memory that is left for connections.
    memory_parts: usize,
    /// Parts of the descriptors.
    descriptor_parts: usize,
    /// Memory of one.
    bytes: usize,
    /// Descriptors of one.
    descriptors: usize,
}

const CALLERS: Use =
    Use { memory_parts: 45, descriptor_parts: 34, bytes: CALLER_BYTES, descriptors: 1 };
const DIRECTORY: Use =
    Use { memory_parts: 2, descriptor_parts: 4, bytes: SHORT_BYTES, descriptors: 1 };
const CHECKS: Use =
    Use { memory_parts: 1, descriptor_parts: 1, bytes: SHORT_BYTES, descriptors: 1 };
const PEERS: Use = Use { memory_parts: 3, descriptor_parts: 4, bytes: PEER_BYTES, descriptors: 1 };
const TUNNELS: Use = Use {
    memory_parts: 4,
    descriptor_parts: 8,
    bytes: TUNNEL_BYTES,
    descriptors: TUNNEL_DESCRIPTORS,
};
const TARGETS: Use =
    Use { memory_parts: 8, descriptor_parts: 8, bytes: TARGET_BYTES, descriptors: 1 };

/// Resources of a machine that clients use up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Machine {
    /// Memory, in bytes.
    pub memory: usize,
    /// Descriptors that a process may have open.
    pub descriptors: usize,
}

impl Default for Machine {
    /// Returns the machine of the users' small sites.
    fn default() -> Machine {
        Machine { memory: 260_000_000, descriptors: 4_100 }
    }
}

/// What each use of a machine gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Allotment {
    /// Connections of callers.
    pub callers: usize,
    /// Those of them that have memory of their own; the others take it from the budget.
    pub callers_assured: usize,
    /// Connections to the directory, or of operators.
    pub directory: usize,
    /// Connections for readiness checks, and as many for metrics.
    pub checks: usize,
    /// Connections of other hosts.
    pub peers: usize,
    /// Tunnels that are carried for other hosts.
    pub tunnels: usize,
    /// Connections to targets.
    pub targets: usize,
    /// Bytes of requests and answers beyond the buffers of connections.
    pub held: usize,
    /// Bytes of snapshots that are being sent to other hosts.
    pub snapshots: usize,
}

impl Machine {
    /// Shares out the machine.
    pub fn allotment(self) -> Allotment {
        let held_only = self.memory / PARTS * HELD_PARTS;
        let held = held_only.max(BODY_BYTES.min(self.memory.saturating_sub(BESIDE_BODY_BYTES)));
        let snapshots = self.memory / PARTS * SNAPSHOTS_PARTS;
        let left = self.memory.saturating_sub(held + snapshots + PROCESS_BYTES);
        let connections = |share: Use| {
            let by_memory = left / PARTS * share.memory_parts / share.bytes;
            let by_descriptors =
                self.descriptors * share.descriptor_parts / PARTS / share.descriptors;
            by_memory.min(by_descriptors).max(1)
        };
        let callers_assured = connections(CALLERS);
        let callers = callers_assured + (held - held_only) / CALLER_BYTES;
        let by_descriptors = self.descriptors * CALLERS.descriptor_parts / PARTS;
        Allotment {
            callers: callers.min(by_descriptors).max(callers_assured),
            callers_assured,
            directory: connections(DIRECTORY),
            checks: connections(CHECKS),
            peers: connections(PEERS),
            tunnels: connections(TUNNELS),
            targets: connections(TARGETS),
            held,
            snapshots,
        }
    }
}

impl Allotment {
    /// Returns the connections that are open when all uses take what they may.
    pub fn connections(&self) -> usize {
        let Allotment { callers, directory, checks, peers, tunnels, targets, .. } = *self;
        callers + directory + 2 * checks + peers + TUNNEL_DESCRIPTORS * tunnels + targets
    }

    /// Returns the memory that all of it comes to, with that of the process itself.
    pub fn bytes(&self) -> usize {
        let Allotment { directory, checks, peers, tunnels, targets, held, snapshots, .. } = *self;
        let short = directory + 2 * checks;
        let of_clients = self.callers_assured * CALLER_BYTES + short * SHORT_BYTES;
        let of_hosts = peers * PEER_BYTES + tunnels * TUNNEL_BYTES;
        of_clients + of_hosts + targets * TARGET_BYTES + held + snapshots + PROCESS_BYTES
    }
}
