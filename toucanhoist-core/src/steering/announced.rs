//! Limits that targets announce in their answers.

use std::fmt;

use crate::unit::Rate;

/// What an answer of a target says about the requests that the target takes from all hosts
/// together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Announced {
    /// It names no limit.
    #[default]
    Unlimited,
    /// It names a limit.
    Limit(Rate),
    /// It names something that is not a rate.
    Unreadable,
    /// What it names was recorded when its head arrived, and may be outdated at the end of its
    /// body.
    Recorded,
}

impl Announced {
    /// Parses the value of a header in requests a second; `None` if the answer has no such header.
    pub fn parse(value: Option<&str>) -> Announced {
        let Some(value) = value else { return Announced::Unlimited };
        match value.trim().parse::<f64>() {
            Ok(rate) if rate.is_finite() && rate >= 0.0 => Announced::Limit(Rate::per_second(rate)),
            _ => Announced::Unreadable,
        }
    }
}

impl fmt::Display for Announced {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Announced::Unlimited => f.write_str("none"),
            Announced::Limit(rate) => rate.fmt(f),
            Announced::Unreadable => f.write_str("unreadable"),
            Announced::Recorded => f.write_str("recorded"),
        }
    }
}
