/*!
Identifiers.

Operators choose names: 1 to 63 characters of `a-z`, `0-9`, `-`, `_` and `.`. Parsing and
deserialisation check this, so that a document of the product's own says what is mistyped. Names
that a platform hands over are any text, bounded in bytes: [`Text`] and the names' `from_text` read
these. The system assigns numbers.
*/

use std::{borrow::Cow, fmt, str::FromStr};

use {
    schemars::{JsonSchema, Schema, SchemaGenerator, json_schema},
    serde::{Deserialize, Deserializer, Serializer, de},
    serde_with::{DeserializeAs, DeserializeFromStr, SerializeAs, SerializeDisplay},
};

use crate::Error;

const NAME_MAX_BYTES: usize = 63;
/// Bytes of a name that a platform hands over. A name travels in a header of a request and in
/// datagrams between hosts.
const TEXT_MAX_BYTES: usize = 16 * 1_024;
/// Characters that an error shows of a name that is too long.
const SHOWN_MAX_CHARS: usize = 40;

/// Serialises names as text, whatever their characters.
#[derive(Debug)]
pub enum Text {}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
        )]
        pub struct $name(Box<str>);

        impl $name {
            /// Creates a name of any characters.
            ///
            /// # Errors
            ///
            /// The text is empty or too long.
            pub fn from_text(text: &str) -> Result<$name, Error> {
                check_length(text)?;
                Ok($name(text.into()))
            }

            /// Whether a document of the product's own may have the name.
            pub fn is_plain(&self) -> bool {
                is_name(&self.0)
            }

            /// Whether a header can carry the name: it has no control characters but tabs, and no
            /// blanks at its ends, which receivers remove (RFC 9110, section 5.5).
            pub fn fits_header(&self) -> bool {
                let is_blank = |byte: &u8| matches!(byte, b' ' | b'\t');
                let bytes = self.0.as_bytes();
                let has_controls = bytes.iter().any(|byte| byte.is_ascii_control() && *byte != b'\t');
                let has_blank_end =
                    bytes.first().is_some_and(is_blank) || bytes.last().is_some_and(is_blank);
                !has_controls && !has_blank_end
            }

            /// Returns the name's text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl SerializeAs<$name> for Text {
            fn serialize_as<S: Serializer>(name: &$name, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&name.0)
            }
        }

        impl<'de> DeserializeAs<'de, $name> for Text {
            fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<$name, D::Error> {
                let text = Cow::<str>::deserialize(deserializer)?;
                $name::from_text(&text).map_err(de::Error::custom)
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

fn check_length(text: &str) -> Result<(), Error> {
    match text.len() {
        1..=TEXT_MAX_BYTES => Ok(()),
        0 => Err(Error::unit(text, "a name of 1 byte or more")),
        _ => {
            let shown: String = text.chars().take(SHOWN_MAX_CHARS).collect();
            Err(Error::unit(&shown, "a name of 16 KiB at most"))
        }
    }
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
