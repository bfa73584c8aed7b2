use std::{fmt, net::SocketAddr, str::FromStr};

use {
    async_trait::async_trait,
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    toucanhoist_core::id,
};

use crate::Error;

/// Version of the tables, which each transaction raises.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Version(u64);

impl Version {
    /// Returns the version as a number.
    pub fn as_u64(self) -> u64 {
        self.0
    }

    /// Returns the next version.
    pub fn next(self) -> Version {
        Version(self.0 + 1)
    }
}

impl From<u64> for Version {
    fn from(number: u64) -> Version {
        Version(number)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Version {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Version, Self::Err> {
        text.parse().map(Version)
    }
}

/// A row of a table. A row without a value has been deleted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Key of the row.
    pub key: Box<str>,
    /// Version of the transaction that last wrote the row.
    pub version: Version,
    /// Value; `None` if the row has been deleted.
    pub value: Option<Box<str>>,
}

/// State that a transaction requires of a row.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(Version),
}

/// A condition of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Check {
    /// Name of the table.
    pub table: Box<str>,
    /// Key of the row.
    pub key: Box<str>,
    /// Required state of the row.
    pub expect: Expect,
}

impl Check {
    /// Creates a condition.
    pub fn new(table: &str, key: &str, expect: Expect) -> Check {
        Check { table: table.into(), key: key.into(), expect }
    }
}

/// A change of a row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Write {
    /// Name of the table.
    pub table: Box<str>,
    /// Key of the row.
    pub key: Box<str>,
    /// New value; `None` deletes the row.
    pub value: Option<Box<str>>,
}

impl Write {
    /// Creates a change that sets a row.
    pub fn put(table: &str, key: &str, value: Box<str>) -> Write {
        Write { table: table.into(), key: key.into(), value: Some(value) }
    }

    /// Creates a change that deletes a row.
    pub fn delete(table: &str, key: &str) -> Write {
        Write { table: table.into(), key: key.into(), value: None }
    }
}

/// Changes that take effect atomically, if all conditions hold.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Transaction {
    /// Conditions, all of which must hold.
    pub checks: Vec<Check>,
    /// Changes to apply.
    pub writes: Vec<Write>,
}

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The host runs.
    Live,
    /// The host is shutting down.
    Leaving,
}

/// An entry of the platform's list of hosts, which may be out of date.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedHost {
    /// Name of the host.
    pub name: id::EntryHost,
    /// Data centre of the host.
    pub data_centre: id::DataCentre,
    /// Address for other entry hosts.
    pub peers: SocketAddr,
    /// URL for callers.
    pub callers: Box<str>,
    /// State of the host.
    pub state: ListedState,
}

/// Operations of the platform.
#[async_trait]
pub trait Platform: Send + Sync {
    /// Applies a transaction and returns its version.
    ///
    /// # Errors
    ///
    /// A condition did not hold, the platform is not available, or the outcome is unknown.
    async fn transact(&self, transaction: Transaction) -> Result<Version, Error>;

    /// Reads rows, in the order of `keys`; a missing or deleted row is `None`.
    ///
    /// # Errors
    ///
    /// The platform is not available, or its response was not received or could not be decoded.
    async fn read(&self, table: &str, keys: &[Box<str>]) -> Result<Vec<Option<Row>>, Error>;

    /// Reads up to `limit` rows of a table that changed after `after`, including deleted rows, in
    /// order of version.
    ///
    /// # Errors
    ///
    /// The platform is not available, or its response was not received or could not be decoded.
    async fn scan(&self, table: &str, after: Version, limit: usize) -> Result<Vec<Row>, Error>;

    /// Writes an object, replacing any earlier content.
    ///
    /// # Errors
    ///
    /// The platform is not available, or the outcome is unknown.
    async fn put_object(&self, name: &str, content: Bytes) -> Result<(), Error>;

    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// The platform is not available, or its response was not received or could not be decoded.
    async fn get_object(&self, name: &str) -> Result<Option<Bytes>, Error>;

    /// Reads the list of hosts.
    ///
    /// # Errors
    ///
    /// The platform is not available, or its response was not received or could not be decoded.
    async fn hosts(&self) -> Result<Vec<ListedHost>, Error>;
}
