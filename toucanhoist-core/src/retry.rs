/*!
Budgets of retries.

Each request of a service adds a fraction of a retry to its [`Budget`], and a retry takes a whole
one. Retries thus stay a bounded share of the traffic even when every target fails.
*/

const BUDGET_MAX: f64 = 10.0;
const PERCENT: f64 = 100.0;

/// Retries that a service may make.
#[derive(Clone, Debug)]
pub struct Budget {
    retries: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { retries: BUDGET_MAX }
    }
}

impl Budget {
    /// Counts a request of a service that allows `percent` retries for each hundred requests.
    pub fn earn(&mut self, percent: u32) {
        self.retries = (self.retries + f64::from(percent) / PERCENT).min(BUDGET_MAX);
    }

    /// Takes a retry; returns whether one was left.
    pub fn take(&mut self) -> bool {
        let granted = self.retries >= 1.0;
        if granted {
            self.retries -= 1.0;
        }
        granted
    }
}
