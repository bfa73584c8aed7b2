/*!
Settings of one process.

They contain what an entry host must know before it can reach anything else: its name, its data
centre, its addresses, the platform and the secrets. The fleet's configuration is not part of them;
the platform stores it.
*/

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use {
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
    toucanhoist_core::{
        Error, Fault, fleet, id,
        key::Digest,
        machine::{self, Allotment},
        unit::Span,
    },
    toucanhoist_edge::process,
};

const BYTES_PER_MB: usize = 1_000_000;

/// Settings of one entry host.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the entry host.
    pub name: id::EntryHost,
    /// Data centre of the entry host.
    pub data_centre: id::DataCentre,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Addresses at which others reach it, if they differ from those it listens on.
    #[serde(default)]
    pub advertise: Advertise,
    /// The platform.
    pub platform: Platform,
    /// Entry hosts to contact first.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Secrets that authenticate entry hosts to each other: the first is sent, all are accepted.
    pub fleet_secrets: Vec<Box<str>>,
    /// SHA-256 digest of the operators' token.
    #[schemars(with = "String")]
    pub operator_token_sha256: Digest,
    /// TLS for the callers' and operators' listeners, which otherwise use plain HTTP.
    #[serde(default)]
    pub tls: Option<Tls>,
    /// Logs.
    #[serde(default)]
    pub log: Log,
    /// Resources of the machine.
    #[serde(default)]
    pub machine: Machine,
}

/// Resources of the machine that the process may use. By default they are those of the users' small sites.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Machine {
    /// Memory, in MB.
    pub memory_mb: u32,
    /// Descriptors; the system's limit for the process holds if it is lower.
    pub descriptors: u32,
}

impl Default for Machine {
    fn default() -> Machine {
        let machine::Machine { memory, descriptors } = machine::Machine::default();
        Machine { memory_mb: saturated(memory / BYTES_PER_MB), descriptors: saturated(descriptors) }
    }
}

impl Machine {
    /// Returns what each use of the machine gets.
    pub fn allotment(self) -> Allotment {
        let size = |number| usize::try_from(number).unwrap_or(usize::MAX);
        let memory = size(self.memory_mb).saturating_mul(BYTES_PER_MB);
        let descriptors = size(self.descriptors).min(process::descriptors_max());
        machine::Machine { memory, descriptors }.allotment()
    }
}

fn saturated(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// PEM files of a certificate. They are reloaded when they change.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate chain.
    pub certificate: PathBuf,
    /// Private key.
    pub key: PathBuf,
}

/// Addresses that an entry host listens on.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    #[schemars(with = "String")]
    pub callers: SocketAddr,
    /// For operators.
    #[schemars(with = "String")]
    pub operators: SocketAddr,
    /// For other entry hosts.
    #[schemars(with = "String")]
    pub peers: SocketAddr,
}

/// Addresses at which others reach an entry host.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Advertise {
    /// URL for callers.
    pub callers: Option<Box<str>>,
    /// Address for other entry hosts.
    #[schemars(with = "Option<String>")]
    pub peers: Option<SocketAddr>,
}

/// The platform.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of its service.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Time-out of a call.
    #[serde(default = "platform_timeout")]
    pub timeout: Span,
}

fn platform_timeout() -> Span {
    Span::from_millis(1_000)
}

/// An entry host to contact first.
#[derive(Clone, Debug, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Name.
    pub name: id::EntryHost,
    /// Data centre.
    pub data_centre: id::DataCentre,
    /// URL for callers.
    pub callers: Box<str>,
    /// Address for other entry hosts.
    #[schemars(with = "String")]
    pub peers: SocketAddr,
}

/// Logs.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Format of the log lines.
    pub format: Format,
    /// Lowest level of the lines that are written.
    pub level: Level,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// `name=value` pairs.
    #[default]
    Text,
    /// A JSON object.
    Json,
}

/// Lowest level of the log lines that are written.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Errors.
    Error,
    /// Errors and warnings.
    Warn,
    /// Errors, warnings and all decisions.
    #[default]
    Info,
    /// All lines, with details for developers.
    Debug,
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or its content has faults.
    pub fn read(path: &Path) -> Result<Settings, Error> {
        let text = fs::read_to_string(path).map_err(|error| {
            let problem = error.to_string().into();
            Error::document(vec![Fault { pointer: "".into(), problem, nearest: None }])
        })?;
        Settings::from_json(&text)
    }

    /// Reads settings from JSON text.
    ///
    /// # Errors
    ///
    /// The text has faults; the error lists all of them.
    pub fn from_json(text: &str) -> Result<Settings, Error> {
        let settings: Settings = fleet::parse(text)?;
        if settings.fleet_secrets.is_empty() {
            let fault = Fault {
                pointer: "/fleet_secrets".into(),
                problem: "[] found, allowed: one or two secrets".into(),
                nearest: None,
            };
            return Err(Error::document(vec![fault]));
        }
        Ok(settings)
    }

    /// Returns the URL for callers, for a listener that is bound to `bound`.
    pub fn callers_url(&self, bound: SocketAddr) -> Box<str> {
        let scheme = if self.tls.is_some() { "https" } else { "http" };
        self.advertise.callers.clone().unwrap_or_else(|| format!("{scheme}://{bound}").into())
    }
}
