//! Records what callers send and get and what targets run, and detects violated guarantees.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Limit of each account over all hosts: requests a second, and burst.
pub const RATE: f64 = 60.0;
pub const BURST: f64 = 60.0;
/// Window over which the rates are checked.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Tolerated excess over the limit in a window: a fraction of it, and a number of requests.
const EXCESS_FRACTION: f64 = 0.1;
const EXCESS_REQUESTS: f64 = 20.0;

#[derive(Debug)]
struct Request {
    /// Whether it must not run twice.
    at_most_once: bool,
    account: &'static str,
    runs: u32,
    /// Status of its answer; 0 if the connection closed without one.
    answer: Option<u16>,
}

#[derive(Debug, Default)]
struct State {
    requests: HashMap<Box<str>, Request>,
    /// Times at which requests ran, by account.
    runs: BTreeMap<&'static str, Vec<Instant>>,
    violations: Vec<String>,
    /// Answers by status.
    answers: BTreeMap<u16, u32>,
    /// Answers of each host, and those that were served or were over a rate.
    host_answers: BTreeMap<usize, (u32, u32)>,
}

/// Record of all requests, runs and answers.
#[derive(Debug, Default)]
pub struct Ledger {
    state: Mutex<State>,
}

impl Ledger {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a violated guarantee.
    pub fn record_violation(&self, description: String) {
        self.state().violations.push(description);
    }

    /// Records a request that a caller sends.
    pub fn record_sent(&self, id: &str, at_most_once: bool, account: &'static str) {
        let request = Request { at_most_once, account, runs: 0, answer: None };
        self.state().requests.insert(id.into(), request);
    }

    /// Records that a target runs a request, with the account that it received, and whether it received a key.
    pub fn record_run(&self, id: &str, account: Option<&str>, has_key: bool) {
        let mut state = self.state();
        let State { requests, runs, violations, .. } = &mut *state;
        let Some(request) = requests.get_mut(id) else {
            if id != "probe" {
                violations.push(format!("{id}: a target ran a request that no caller sent"));
            }
            return;
        };
        request.runs += 1;
        if request.at_most_once && request.runs > 1 {
            violations.push(format!("{id}: ran {} times", request.runs));
        }
        if request.at_most_once && request.answer.is_some_and(promises_not_run) {
            violations.push(format!("{id}: ran after a refusal that promises it did not run"));
        }
        if account != Some(request.account) || has_key {
            violations.push(format!("{id}: a target received account {account:?}, key: {has_key}"));
        }
        runs.entry(request.account).or_default().push(Instant::now());
    }

    /// Whether a target has run a request.
    pub fn has_run(&self, id: &str) -> bool {
        self.state().requests.get(id).is_some_and(|request| request.runs > 0)
    }

    /// Records the answer to a request; status 0 is a connection that closed without an answer.
    pub fn record_answer(&self, id: &str, status: u16) {
        let mut state = self.state();
        *state.answers.entry(status).or_default() += 1;
        let State { requests, violations, .. } = &mut *state;
        let Some(request) = requests.get_mut(id) else { return };
        request.answer = Some(status);
        if request.at_most_once && request.runs > 0 && promises_not_run(status) {
            violations.push(format!(
                "{id}: ran, but was refused with {status}, which promises it did not run"
            ));
        }
    }

    /// Records the answer of a host, with the same statuses.
    pub fn record_host_answer(&self, host: usize, status: u16) {
        let mut state = self.state();
        let (all, served) = state.host_answers.entry(host).or_default();
        *all += 1;
        *served += u32::from(matches!(status, 200 | 429));
    }

    /// Returns the number of answers so far by host, and of those that were served or over a rate.
    pub fn host_answers(&self) -> BTreeMap<usize, (u32, u32)> {
        self.state().host_answers.clone()
    }

    /// Returns the number of answers so far, by status.
    pub fn answers(&self) -> BTreeMap<u16, u32> {
        self.state().answers.clone()
    }

    /// Returns the violated guarantees, including those of the rates.
    pub fn violations(&self) -> Vec<String> {
        let state = self.state();
        let mut violations = state.violations.clone();
        for (account, runs) in &state.runs {
            let limit = (RATE * RATE_WINDOW.as_secs_f64() + BURST) * (1.0 + EXCESS_FRACTION)
                + EXCESS_REQUESTS;
            for (first, start) in runs.iter().enumerate() {
                let count = runs[first..].partition_point(|run| *run < *start + RATE_WINDOW);
                if count as f64 > limit {
                    violations.push(format!(
                        "{account}: {count} requests ran in a window that allows {limit}"
                    ));
                    break;
                }
            }
        }
        violations
    }
}

fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
