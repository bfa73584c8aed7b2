use toucanhoist_core::steering::{Observations, Tag, Version};

use crate::steering;

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
