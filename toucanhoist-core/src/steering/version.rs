//! The order of what the store returns.
//!
//! The store counts its transactions, so a higher number is newer. When the store is restored from
//! a backup, the count goes back and numbers are given out again. Its era increases with each
//! restore and takes precedence over the number.

use std::{fmt, str::FromStr};

use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::Error;

/// Number of times that the store was restored from a backup; 0 where the store does not report it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Era(u64);

impl Era {
    /// Returns the era as a number.
    pub fn as_u64(self) -> u64 {
        self.0
    }
}

impl From<u64> for Era {
    fn from(number: u64) -> Era {
        Era(number)
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Era {
    type Err = Error;

    fn from_str(text: &str) -> Result<Era, Error> {
        text.trim().parse().map(Era).map_err(|_| Error::unit(text, "an era, a whole number"))
    }
}

/// Position of a transaction in the history of the store.
///
/// ```
/// use toucanhoist_core::steering::Version;
///
/// let before: Version = "1:530".parse()?;
/// let after_a_restore: Version = "2:41".parse()?;
/// assert!(before < after_a_restore);
/// # Ok::<(), toucanhoist_core::Error>(())
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    DeserializeFromStr,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    SerializeDisplay,
)]
pub struct Version {
    /// Era in which the number was given out.
    pub era: Era,
    /// Number of the transaction.
    pub number: u64,
}

impl Version {
    /// Returns the version of a transaction.
    pub fn new(era: Era, number: u64) -> Version {
        Version { era, number }
    }
}

/// A version of a store that was never restored from a backup.
impl From<u64> for Version {
    fn from(number: u64) -> Version {
        Version { era: Era::default(), number }
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.number)
    }
}

impl FromStr for Version {
    type Err = Error;

    fn from_str(text: &str) -> Result<Version, Error> {
        let error = || Error::unit(text, "a version, era:number");
        let (era, number) = text.split_once(':').ok_or_else(error)?;
        Ok(Version { era: era.parse()?, number: number.parse().map_err(|_| error())? })
    }
}
