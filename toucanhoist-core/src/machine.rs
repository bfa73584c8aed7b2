/*!
The machine of a host, and how its memory and descriptors are shared out.

A client decides how many connections it opens, how much it sends on each, and when it reads its answers. Each port
has a number of connections of its own, so that one that is full takes nothing from the others, and callers together
have one [budget](crate::memory) of bytes beyond the buffers that each connection has. All of these are fractions of
what the machine has. docs/LIMITS.md adds them up.
*/

/// Parts into which memory and descriptors are divided.
const PARTS: usize = 64;
/// Parts of the memory for the budget of callers; more than the largest body that the users' pages allow.
const HELD_PARTS: usize = 18;
/// Parts of the descriptors for callers, for the directory, for each kind of check, for other hosts, for tunnels,
/// and for targets. Connections of a use get half as many parts of the memory.
const CALLERS_PARTS: usize = 34;
const DIRECTORY_PARTS: usize = 4;
const CHECKS_PARTS: usize = 1;
const PEERS_PARTS: usize = 4;
const TUNNELS_PARTS: usize = 8;
const TARGETS_PARTS: usize = 8;
/// Descriptors of one tunnel.
const TUNNEL_DESCRIPTORS: usize = 2;
/// Memory of one connection: the buffers of the HTTP library, and the task.
pub const CONNECTION_BYTES: usize = 32 * 1_024;

/// Resources of a machine that clients use up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Machine {
    /// Memory, in bytes.
    pub memory: usize,
    /// Descriptors that a process may have open.
    pub descriptors: usize,
}

impl Default for Machine {
    /// Returns the smallest machine that hosts run on.
    fn default() -> Machine {
        Machine { memory: 260_000_000, descriptors: 4_100 }
    }
}

/// What each use of a machine gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Allotment {
    /// Connections of callers.
    pub callers: usize,
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
}

impl Machine {
    /// Shares out the machine.
    pub fn allotment(self) -> Allotment {
        Allotment {
            callers: self.connections(CALLERS_PARTS),
            directory: self.connections(DIRECTORY_PARTS),
            checks: self.connections(CHECKS_PARTS),
            peers: self.connections(PEERS_PARTS),
            tunnels: (self.connections(TUNNELS_PARTS) / TUNNEL_DESCRIPTORS).max(1),
            targets: self.connections(TARGETS_PARTS),
            held: self.memory / PARTS * HELD_PARTS,
        }
    }

    fn connections(self, parts: usize) -> usize {
        let memory = self.memory / PARTS * parts / 2;
        (self.descriptors * parts / PARTS).min(memory / CONNECTION_BYTES).max(1)
    }
}

impl Allotment {
    /// Returns the connections that are open when all uses take what they may.
    pub fn connections(&self) -> usize {
        let Allotment { callers, directory, checks, peers, tunnels, targets, .. } = *self;
        callers + directory + 2 * checks + peers + TUNNEL_DESCRIPTORS * tunnels + targets
    }

    /// Returns the memory that all of it comes to.
    pub fn bytes(&self) -> usize {
        self.connections() * CONNECTION_BYTES + self.held
    }
}
