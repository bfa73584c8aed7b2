/*!
Quantities with their units, as written in settings.

A quantity is text with its unit (`"200/s"`, `"1500ms"`, `"300Mbit/s"`), so that the settings are
clear without a manual.
*/

use std::{borrow::Cow, fmt, str::FromStr, time::Duration};

use {
    schemars::{JsonSchema, Schema, SchemaGenerator, json_schema},
    serde_with::{DeserializeFromStr, SerializeDisplay},
};

use crate::Error;

macro_rules! schema {
    ($name:ident, $pattern:literal) => {
        impl JsonSchema for $name {
            fn schema_name() -> Cow<'static, str> {
                stringify!($name).into()
            }

            fn json_schema(_: &mut SchemaGenerator) -> Schema {
                json_schema!({"type": "string", "pattern": $pattern})
            }
        }
    };
}

/// Requests a second.
#[derive(Clone, Copy, Debug, DeserializeFromStr, PartialEq, PartialOrd, SerializeDisplay)]
pub struct Rate(f64);

impl Rate {
    /// Creates a rate; a negative one becomes zero.
    pub fn per_second(requests: f64) -> Rate {
        Rate(requests.max(0.0))
    }

    /// Returns the requests a second.
    pub fn as_per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Rate, Error> {
        let number = text.strip_suffix("/s").and_then(|n| n.trim().parse::<f64>().ok());
        match number {
            Some(number) if number.is_finite() && number >= 0.0 => Ok(Rate(number)),
            _ => Err(Error::unit(text, "a rate in requests a second, such as \"200/s\"")),
        }
    }
}

schema!(Rate, r"^[0-9]+(\.[0-9]+)? ?/s$");

/// A length of time.
#[derive(
    Clone, Copy, Debug, DeserializeFromStr, Eq, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct Span(Duration);

impl Span {
    /// Creates a span from milliseconds.
    pub const fn from_millis(millis: u64) -> Span {
        Span(Duration::from_millis(millis))
    }

    /// Returns the span as a [`Duration`].
    pub const fn as_duration(self) -> Duration {
        self.0
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.0.as_millis();
        if millis % 1_000 == 0 { write!(f, "{}s", millis / 1_000) } else { write!(f, "{millis}ms") }
    }
}

impl FromStr for Span {
    type Err = Error;

    fn from_str(text: &str) -> Result<Span, Error> {
        let units = [("ms", 1), ("s", 1_000), ("min", 60_000), ("h", 3_600_000), ("d", 86_400_000)];
        for (suffix, millis) in units {
            let number = text.strip_suffix(suffix).and_then(|n| n.trim().parse::<u64>().ok());
            if let Some(millis) = number.and_then(|n| n.checked_mul(millis)) {
                return Ok(Span::from_millis(millis));
            }
        }
        Err(Error::unit(text, "a whole number with ms, s, min, h or d, such as \"1500ms\""))
    }
}

schema!(Span, r"^[0-9]+ ?(ms|s|min|h|d)$");

/// Capacity of a link, in bits a second.
#[derive(
    Clone, Copy, Debug, DeserializeFromStr, Eq, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct Bandwidth(u64);

const MBIT: u64 = 1_000_000;

impl Bandwidth {
    /// Creates a bandwidth from megabits a second.
    pub const fn from_mbit(mbit: u64) -> Bandwidth {
        Bandwidth(mbit * MBIT)
    }

    /// Returns the bits a second.
    pub const fn as_bits(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Bandwidth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}Mbit/s", self.0 / MBIT)
    }
}

impl FromStr for Bandwidth {
    type Err = Error;

    fn from_str(text: &str) -> Result<Bandwidth, Error> {
        let number = text.strip_suffix("Mbit/s").and_then(|n| n.trim().parse::<u64>().ok());
        let bits = number.and_then(|mbit| mbit.checked_mul(MBIT));
        bits.map(Bandwidth).ok_or_else(|| Error::unit(text, "a capacity such as \"300Mbit/s\""))
    }
}

schema!(Bandwidth, r"^[0-9]+ ?Mbit/s$");

/// Fraction of a whole, from 0 to 1, written as a percentage.
#[derive(Clone, Copy, Debug, DeserializeFromStr, PartialEq, PartialOrd, SerializeDisplay)]
pub struct Share(f64);

impl Share {
    /// Creates a share from a fraction, which is clamped to 0 to 1.
    pub fn new(fraction: f64) -> Share {
        Share(fraction.clamp(0.0, 1.0))
    }

    /// Returns the fraction, from 0 to 1.
    pub fn as_f64(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0 * 100.0)
    }
}

impl FromStr for Share {
    type Err = Error;

    fn from_str(text: &str) -> Result<Share, Error> {
        let percent = text.strip_suffix('%').and_then(|n| n.trim().parse::<f64>().ok());
        match percent {
            Some(percent) if (0.0..=100.0).contains(&percent) => Ok(Share(percent / 100.0)),
            _ => Err(Error::unit(text, "a share from \"0%\" to \"100%\"")),
        }
    }
}

schema!(Share, r"^[0-9]+(\.[0-9]+)? ?%$");
