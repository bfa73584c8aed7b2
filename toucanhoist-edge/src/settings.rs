/*!
Settings of an entry host that sends straight to targets.

They are JSON. Fields that are not known are ignored, so that a platform may add to them.
*/

use std::{collections::BTreeMap, fs, io, net::SocketAddr, path::Path, time::Duration};

use {
    serde::{Deserialize, Serialize},
    serde_with::{DurationSecondsWithFrac, serde_as},
    toucanhoist_core::id,
};

/// Settings of one entry host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Settings {
    /// Name of the entry host.
    pub name: id::EntryHost,
    /// Data centre that it is in.
    pub data_centre: id::DataCentre,
    /// Regions of all data centres.
    pub regions: BTreeMap<id::DataCentre, id::Region>,
    /// Addresses that it listens on.
    pub listen: Listen,
    /// Addresses for other entry hosts of some of them, to start from; they may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Address of the store.
    pub store: SocketAddr,
    /// What the machine gives the host.
    #[serde(default)]
    pub machine: Machine,
    /// Bounds that the fleet keeps.
    pub bounds: Bounds,
}

/// What a machine gives an entry host; without it the host takes no duty for others before hosts that say.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Machine {
    /// Part of a processor's time.
    pub processor_share: f64,
    /// Capacity of its link, in Mbit/s.
    pub link_mbps: f64,
}

impl Machine {
    /// Returns a figure to compare machines by, for duties that take both: a hundredth of a processor goes
    /// with 1 Mbit/s.
    pub fn capacity(&self) -> u32 {
        // A figure without fraction is enough, and a cast keeps within its range.
        (self.processor_share * 100.0).min(self.link_mbps).max(0.0) as u32
    }
}

/// Addresses that an entry host listens on.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For checks of its readiness.
    pub readiness: SocketAddr,
    /// For callers that ask which hosts to use.
    pub directory: SocketAddr,
    /// For other entry hosts, datagrams and connections.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// Bounds that the fleet keeps.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Bounds {
    /// Time from a signal to stop until the process is killed, in seconds.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub grace_s: Duration,
    /// Repeated sends for each request of a service.
    pub retry_ratio: f64,
    /// Repeated sends of a service beside, over all hosts.
    pub retry_extra: f64,
    /// Window in which both are counted, in seconds.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub retry_window_s: Duration,
    /// Factor on the rate that a cold target tolerates.
    pub cold_factor: f64,
    /// Requests a second to a cold target beside that rate.
    pub cold_extra: f64,
    /// Longest time for which callers keep an answer of the directory, in seconds.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub directory_ttl_s: Duration,
    /// Part of a region's requests that may change the region in which they run at once.
    pub shift_cap: f64,
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or its content is not valid; the error names the file and the place.
    pub fn read(path: &Path) -> io::Result<Settings> {
        let named =
            |error: io::Error| io::Error::new(error.kind(), format!("{}: {error}", path.display()));
        let text = fs::read_to_string(path).map_err(named)?;
        Settings::from_json(&text).map_err(|error| named(error.into()))
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
