//! Learned times of requests, with an object that the target has handled recently and without.

use std::time::Duration;

/// Weight of a new time in the learned one.
const WEIGHT: f64 = 0.08;
/// Part of the objective that a request takes, until times have been learned.
const FIRST_FRESH: f64 = 1.5;
const FIRST_RECENT: f64 = 0.45;
/// Objective of a route that states none.
const OBJECTIVE: Duration = Duration::from_millis(500);

/// Times that the requests of one route take at an idle target of ordinary speed.
#[derive(Clone, Copy, Debug)]
pub struct ProcessingTime {
    recent: f64,
    fresh: f64,
}

impl ProcessingTime {
    /// Guesses times from the route's objective.
    pub fn new(objective: Option<Duration>) -> ProcessingTime {
        let objective = objective.unwrap_or(OBJECTIVE).as_secs_f64();
        ProcessingTime { recent: objective * FIRST_RECENT, fresh: objective * FIRST_FRESH }
    }

    /// Returns the expected time, in seconds; `recent` says whether the target handled the object
    /// recently.
    pub fn expected(&self, recent: bool) -> f64 {
        if recent { self.recent } else { self.fresh }
    }

    /// Learns the time of a request that did not queue.
    pub fn learn(&mut self, recent: bool, took: Duration) {
        let known = if recent { &mut self.recent } else { &mut self.fresh };
        *known += (took.as_secs_f64() - *known) * WEIGHT;
    }
}
