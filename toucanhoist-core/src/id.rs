/*!
Identifiers.

Operators choose names: 1 to 63 characters of `a-z`, `0-9`, `-`, `_` and `.`. The system assigns
numbers.
*/

use std::{borrow::Cow, fmt, str::FromStr};

use {
    schemars::{JsonSchema, Schema, SchemaGenerator, json_schema},
    serde_with::{DeserializeFromStr, SerializeDisplay},
};

use crate::Error;

const NAME_MAX_BYTES: usize = 63;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
        )]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the name's text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<$name, Error> {
                if is_name(text) { Ok($name(text.into())) } else { Err(Error::name(text)) }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl JsonSchema for $name {
            fn schema_name() -> Cow<'static, str> {
                concat!(stringify!($name), "Name").into()
            }

            fn json_schema(_: &mut SchemaGenerator) -> Schema {
                json_schema!({"type": "string", "pattern": "^[a-z0-9._-]{1,63}$"})
            }
        }
    )*};
}

names! {
    /// Name of a region.
    Region
    /// Name of a data centre.
    DataCentre
    /// Name of an entry host.
    EntryHost
    /// Name of a client account.
    Account
    /// Name of a service.
    Service
    /// Name of a target.
    Target
}

fn is_name(text: &str) -> bool {
    let allowed = |b: u8| matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.');
    (1..=NAME_MAX_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

/// Identifier of a caller's request, unique in the fleet.
#[derive(
    Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct Request(u128);

impl From<u128> for Request {
    fn from(number: u128) -> Request {
        Request(number)
    }
}

impl Request {
    /// Returns the identifier as a number.
    pub fn as_u128(self) -> u128 {
        self.0
    }
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Request {
    type Err = Error;

    fn from_str(text: &str) -> Result<Request, Error> {
        let digits = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
        match u128::from_str_radix(text, 16) {
            Ok(number) if digits => Ok(Request(number)),
            _ => Err(Error::unit(text, "a request id of 32 hexadecimal digits")),
        }
    }
}

/// Number of an accepted configuration; later ones are higher.
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
pub struct Revision(u64);

impl Revision {
    /// Returns the revision as a number.
    pub fn as_u64(self) -> u64 {
        self.0
    }

    /// Returns the next revision.
    pub fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}

impl From<u64> for Revision {
    fn from(number: u64) -> Revision {
        Revision(number)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Revision {
    type Err = Error;

    fn from_str(text: &str) -> Result<Revision, Error> {
        text.parse().map(Revision).map_err(|_| Error::unit(text, "a revision, a whole number"))
    }
}
