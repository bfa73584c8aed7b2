/*!
Settings of an entry host that sends requests directly to targets.

They are read from JSON. Unknown fields are ignored, so that a platform may add its own.
*/

use std::{
    collections::BTreeMap,
    fs, io,
    net::{IpAddr, SocketAddr},
    path::Path,
    time::Duration,
};

use {
    serde::{Deserialize, Serialize},
    serde_with::{DurationSecondsWithFrac, serde_as},
    toucanhoist_core::{
        id,
        machine::{self, Allotment},
    },
};

use crate::process;

const BYTES_PER_MB: f64 = 1e6;

/// Settings of one entry host.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Settings {
    /// Name of the entry host.
    #[serde_as(as = "id::Text")]
    pub name: id::EntryHost,
    /// Data centre that it is in.
    #[serde_as(as = "id::Text")]
    pub data_centre: id::DataCentre,
    /// Regions of all data centres.
    #[serde_as(as = "BTreeMap<id::Text, id::Text>")]
    pub regions: BTreeMap<id::DataCentre, id::Region>,
    /// Addresses that it listens on.
    pub listen: Listen,
    /// Address from which it connects to targets; by default the system chooses one. A machine with several
    /// networks may reach targets through one of them only.
    #[serde(default)]
    pub connect_from: Option<IpAddr>,
    /// Peer addresses of some entry hosts, to join the cluster through; they may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Address of the store.
    pub store: SocketAddr,
    /// Resources of the machine.
    #[serde(default)]
    pub machine: Machine,
    /// Limits that the fleet must keep.
    pub bounds: Bounds,
}

/// Resources that a machine gives an entry host. Hosts that state none come last when hosts are chosen to
/// follow the store for their region, or to be listed to callers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Machine {
    /// Fraction of one processor's time.
    pub processor_share: f64,
    /// Capacity of its link, in Mbit/s.
    pub link_mbps: f64,
    /// Memory, in MB; by default that of the users' small sites.
    pub memory_mb: f64,
    /// Descriptors that the process may have open; by default those of the users' small sites. The system's limit for
    /// the process holds if it is lower.
    pub descriptors: usize,
}

impl Default for Machine {
    fn default() -> Machine {
        let machine::Machine { memory, descriptors } = machine::Machine::default();
        let memory_mb = memory as f64 / BYTES_PER_MB;
        Machine { processor_share: 0.0, link_mbps: 0.0, memory_mb, descriptors }
    }
}

impl Machine {
    /// Returns what each use of the machine gets.
    pub fn allotment(&self) -> Allotment {
        // The cast saturates.
        let memory = (self.memory_mb * BYTES_PER_MB) as usize;
        let descriptors = self.descriptors.min(process::descriptors_max());
        machine::Machine { memory, descriptors }.allotment()
    }

    /// Returns a score by which machines are compared for tasks that need both processor and link: a hundredth
    /// of a processor counts as much as 1 Mbit/s, and the scarcer of the two decides.
    pub fn capacity(&self) -> u32 {
        // Whole numbers are precise enough, and the cast saturates.
        (self.processor_share * 100.0).min(self.link_mbps).max(0.0) as u32
    }
}

/// Addresses that an entry host listens on.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For readiness checks.
    pub readiness: SocketAddr,
    /// For the directory.
    pub directory: SocketAddr,
    /// For other entry hosts, UDP and TCP.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// Limits that the fleet must keep.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Bounds {
    /// Time from SIGTERM until the process is killed, in seconds.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub grace_s: Duration,
    /// Retries for each request of a service.
    pub retry_ratio: f64,
    /// Retries of a service beyond that, over all hosts.
    pub retry_extra: f64,
    /// Window over which requests and retries are counted, in seconds.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub retry_window_s: Duration,
    /// Factor on the rate that a service states for its cold targets.
    pub cold_factor: f64,
    /// Requests a second that a cold target may get beyond that rate.
    pub cold_extra: f64,
    /// Longest time for which callers may cache an answer of the directory, in seconds.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub directory_ttl_s: Duration,
    /// Fraction of a region's requests that may move to another region at once.
    pub shift_cap: f64,
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or its content is not valid; the error names the file and the position.
    pub fn read(path: &Path) -> io::Result<Settings> {
        let with_path =
            |error: io::Error| io::Error::new(error.kind(), format!("{}: {error}", path.display()));
        let text = fs::read_to_string(path).map_err(with_path)?;
        Settings::from_json(&text).map_err(|error| with_path(error.into()))
    }

    /// Reads settings from JSON text.
    ///
    /// # Errors
    ///
    /// The text is not valid; the error gives line and column.
    pub fn from_json(text: &str) -> serde_json::Result<Settings> {
        serde_json::from_str(text)
    }

    /// Returns the region that the host is in.
    pub fn region(&self) -> Option<&id::Region> {
        self.regions.get(&self.data_centre)
    }
}
