use std::{borrow::Cow, fmt, str::FromStr};

use {
    schemars::{JsonSchema, Schema, SchemaGenerator, json_schema},
    serde_with::{DeserializeFromStr, SerializeDisplay},
};

use crate::Error;

const SECONDS_PER_DAY: u64 = 86_400;
const MONTH_DAYS: [u8; 12] = [31, 29, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];

/// A calendar day in UTC, written as `YYYY-MM-DD`.
#[derive(
    Clone, Copy, Debug, DeserializeFromStr, Eq, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct Day {
    year: u16,
    month: u8,
    day: u8,
}

impl Day {
    /// Returns the day of a Unix time in seconds.
    pub fn of_unix(seconds: u64) -> Day {
        // Years start on 1 March here, from 1 March of year 0, so that a leap day is the last of a
        // year.
        let days = seconds / SECONDS_PER_DAY + 719_468;
        let (era, day_of_era) = (days / 146_097, days % 146_097);
        let year_of_era =
            (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
        let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
        let from_march = (5 * day_of_year + 2) / 153;
        let day = day_of_year - (153 * from_march + 2) / 5 + 1;
        let month = if from_march < 10 { from_march + 3 } else { from_march - 9 };
        let year = era * 400 + year_of_era + u64::from(month <= 2);
        Day {
            year: u16::try_from(year).unwrap_or(u16::MAX),
            month: u8::try_from(month).unwrap_or(u8::MAX),
            day: u8::try_from(day).unwrap_or(u8::MAX),
        }
    }
}

impl fmt::Display for Day {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:04}-{:02}-{:02}", self.year, self.month, self.day)
    }
}

impl FromStr for Day {
    type Err = Error;

    fn from_str(text: &str) -> Result<Day, Error> {
        let day = parse(text).filter(|_| text.len() == 10);
        day.ok_or_else(|| Error::unit(text, "a day as YYYY-MM-DD"))
    }
}

fn parse(text: &str) -> Option<Day> {
    let mut parts = text.split('-');
    let year = parts.next()?.parse().ok()?;
    let month: u8 = parts.next()?.parse().ok()?;
    let day: u8 = parts.next()?.parse().ok()?;
    let last_day = *MONTH_DAYS.get(usize::from(month).checked_sub(1)?)?;
    let is_day = (1..=last_day).contains(&day) && parts.next().is_none();
    is_day.then_some(Day { year, month, day })
}

impl JsonSchema for Day {
    fn schema_name() -> Cow<'static, str> {
        "Day".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({"type": "string", "format": "date"})
    }
}
