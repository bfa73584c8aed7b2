use std::{fmt, net::SocketAddr, str::FromStr};

use {
    async_trait::async_trait,
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    toucanhoist_core::id,
};

use crate::Error;

/// Version of the table: it rises with each transaction.
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

    /// Returns the version that follows.
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

/// A row of a table. A row without value has been deleted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Key.
    pub key: Box<str>,
    /// Version of the transaction that wrote it.
    pub version: Version,
    /// Value.
    pub value: Option<Box<str>>,
}

/// What a transaction expects of a row.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// There is no such row.
    Absent,
    /// The row has this version.
    Version(Version),
}

/// A condition of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Check {
    /// Table.
    pub table: Box<str>,
    /// Key of the row.
    pub key: Box<str>,
    /// What the row must be.
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
    /// Table.
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

/// Changes that take effect together, if all conditions hold.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Transaction {
    /// Conditions.
    pub checks: Vec<Check>,
    /// Changes.
    pub writes: Vec<Write>,
}

/// What the platform's list says of a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// Live.
    Live,
    /// Leaving.
    Leaving,
}

/// An entry of the platform's list of hosts, which may lag.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedHost {
    /// Name.
    pub name: id::EntryHost,
    /// Data centre.
    pub data_centre: id::DataCentre,
    /// Address for other entry hosts.
    pub peers: SocketAddr,
    /// URL for callers.
    pub callers: Box<str>,
    /// State.
    pub state: ListedState,
}

/// The platform's service.
#[async_trait]
pub trait Platform: Send + Sync {
    /// Applies a transaction and returns the version it made.
    ///
    /// # Errors
    ///
    /// A condition did not hold, the platform is not available, or the outcome is unknown.
    async fn transact(&self, transaction: Transaction) -> Result<Version, Error>;

    /// Reads rows; a missing or deleted one is `None`.
    ///
    /// # Errors
    ///
    /// The platform is not available.
    async fn read(&self, table: &str, keys: &[Box<str>]) -> Result<Vec<Option<Row>>, Error>;

    /// Reads the rows of a table that changed after `after`, deleted ones too, in order of version.
    ///
    /// # Errors
    ///
    /// The platform is not available.
    async fn scan(&self, table: &str, after: Version, limit: usize) -> Result<Vec<Row>, Error>;

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// The platform is not available, or the outcome is unknown.
    async fn put_object(&self, name: &str, content: Bytes) -> Result<(), Error>;

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// The platform is not available.
    async fn get_object(&self, name: &str) -> Result<Option<Bytes>, Error>;

    /// Reads the list of hosts.
    ///
    /// # Errors
    ///
    /// The platform is not available.
    async fn hosts(&self) -> Result<Vec<ListedHost>, Error>;
}
