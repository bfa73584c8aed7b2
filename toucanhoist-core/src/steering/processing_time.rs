//! Learned processing times of requests, with and without an object that the target has handled
//! recently.

use std::time::Duration;

/// Weight of a new time in the moving average.
const LEARNING_RATE: f64 = 0.08;
/// Initial estimates, as shares of the objective.
const INITIAL_FRESH: f64 = 1.5;
const INITIAL_RECENT: f64 = 0.45;
/// Objective of a route that states none.
const OBJECTIVE_DEFAULT: Duration = Duration::from_millis(500);

/// Processing times of the requests of one route at an idle target of ordinary speed.
#[derive(Clone, Copy, Debug)]
pub struct ProcessingTime {
    recent: f64,
    fresh: f64,
}

impl ProcessingTime {
    /// Estimates times from the route's objective.
    pub fn new(objective: Option<Duration>) -> ProcessingTime {
        let objective = objective.unwrap_or(OBJECTIVE_DEFAULT).as_secs_f64();
        ProcessingTime { recent: objective * INITIAL_RECENT, fresh: objective * INITIAL_FRESH }
    }

    /// Returns the expected time, in seconds; `recent` says whether the target handled the object
    /// recently.
    pub fn expected(&self, recent: bool) -> f64 {
        if recent { self.recent } else { self.fresh }
    }

    /// Learns the time of a request that did not queue.
    pub fn learn(&mut self, recent: bool, took: Duration) {
        let estimate = if recent { &mut self.recent } else { &mut self.fresh };
        *estimate += (took.as_secs_f64() - *estimate) * LEARNING_RATE;
    }
}
