use std::time::Duration;

use toucanhoist_core::{
    id,
    steering::{LimitReport, Observations, Tag, Version, limit::Statement},
    unit::Rate,
};

use crate::{Error, steering};

/// Upper bound on a target's counts in a message; far more requests than end between two messages.
const COUNT_MAX: u32 = 1_000;

impl From<Version> for steering::Version {
    fn from(version: Version) -> steering::Version {
        steering::Version { era: version.era.as_u64(), number: version.number }
    }
}

impl From<steering::Version> for Version {
    fn from(message: steering::Version) -> Version {
        Version::new(message.era.into(), message.number)
    }
}

impl From<(&Tag, &Observations)> for steering::Seen {
    fn from((tag, observations): (&Tag, &Observations)) -> steering::Seen {
        let Observations { times, multiples, ends, failed } = *observations;
        // Four significant digits suffice, so a single-precision float does.
        steering::Seen { tag: *tag, times, multiples: multiples as f32, ends, failed }
    }
}

impl From<&steering::Seen> for Observations {
    fn from(message: &steering::Seen) -> Observations {
        let (times, ends) = (message.times.min(COUNT_MAX), message.ends.min(COUNT_MAX));
        let multiples = f64::from(message.multiples);
        let multiples = if multiples.is_finite() { multiples.max(0.0) } else { f64::from(times) };
        Observations { times, multiples, ends, failed: message.failed.min(ends) }
    }
}

impl From<LimitReport> for steering::Limit {
    fn from(report: LimitReport) -> steering::Limit {
        let Statement { born, version, limit, is_leaving } = report.statement;
        steering::Limit {
            target: report.target.to_string(),
            born,
            version,
            per_second: limit.map(Rate::as_per_second),
            age_ms: u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX),
            leaving: is_leaving,
        }
    }
}

impl TryFrom<steering::Limit> for LimitReport {
    type Error = Error;

    fn try_from(message: steering::Limit) -> Result<LimitReport, Error> {
        let steering::Limit { target, born, version, per_second, age_ms, leaving } = message;
        let is_rate = |rate: f64| rate.is_finite() && rate >= 0.0;
        if per_second.is_some_and(|rate| !is_rate(rate)) {
            return Err(Error::field("limit"));
        }
        Ok(LimitReport {
            target: id::Target::from_text(&target).map_err(|_| Error::field("target"))?,
            statement: Statement {
                born,
                version,
                limit: per_second.map(Rate::per_second),
                is_leaving: leaving,
            },
            age: Duration::from_millis(age_ms.into()),
        })
    }
}
