//! What callers sent and got, and what targets ran; broken promises are found here.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Requests a second of an account over all hosts, and beyond.
pub const RATE: f64 = 60.0;
pub const BURST: f64 = 60.0;
/// Window of the check of rates.
const WINDOW: Duration = Duration::from_secs(5);
/// Part of the rate, and requests, by which a window may be over it.
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;

#[derive(Debug)]
struct Request {
    /// Whether it may run once at most.
    once: bool,
    account: &'static str,
    runs: u32,
    /// Status of its answer; 0 for a connection that closed without one.
    answer: Option<u16>,
}

#[derive(Debug, Default)]
struct State {
    requests: HashMap<Box<str>, Request>,
    /// Times at which requests of accounts with a limit ran.
    runs: BTreeMap<&'static str, Vec<Instant>>,
    broken: Vec<String>,
    /// Answers by status.
    answers: BTreeMap<u16, u32>,
}

/// What was sent, what ran and what was answered.
#[derive(Debug, Default)]
pub struct Ledger {
    state: Mutex<State>,
}

impl Ledger {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a broken promise.
    pub fn broken(&self, what: String) {
        self.state().broken.push(what);
    }

    /// Notes a request that a caller sends.
    pub fn sent(&self, id: &str, once: bool, account: &'static str) {
        let request = Request { once, account, runs: 0, answer: None };
        self.state().requests.insert(id.into(), request);
    }

    /// Notes a request that a target runs, with the account that it was told.
    pub fn ran(&self, id: &str, account: Option<&str>, with_key: bool) {
        let mut state = self.state();
        let State { requests, runs, broken, .. } = &mut *state;
        let Some(request) = requests.get_mut(id) else {
            if id != "probe" {
                broken.push(format!("{id}: no caller sent what ran"));
            }
            return;
        };
        request.runs += 1;
        if request.once && request.runs > 1 {
            broken.push(format!("{id}: ran {} times", request.runs));
        }
        if request.once && request.answer.is_some_and(promises_not_run) {
            broken.push(format!("{id}: ran after a refusal that says it has not"));
        }
        if account != Some(request.account) || with_key {
            broken.push(format!("{id}: ran for {account:?}, key {with_key}"));
        }
        runs.entry(request.account).or_default().push(Instant::now());
    }

    /// Whether a target has run a request.
    pub fn has_run(&self, id: &str) -> bool {
        self.state().requests.get(id).is_some_and(|request| request.runs > 0)
    }

    /// Notes the answer to a request; 0 stands for a connection that closed without one.
    pub fn answered(&self, id: &str, status: u16) {
        let mut state = self.state();
        *state.answers.entry(status).or_default() += 1;
        let State { requests, broken, .. } = &mut *state;
        let Some(request) = requests.get_mut(id) else { return };
        request.answer = Some(status);
        if request.once && request.runs > 0 && promises_not_run(status) {
            broken.push(format!("{id}: ran and was refused with {status}"));
        }
    }

    /// Returns answers by status so far.
    pub fn answers(&self) -> BTreeMap<u16, u32> {
        self.state().answers.clone()
    }

    /// Returns the promises that were broken.
    pub fn check(&self) -> Vec<String> {
        let state = self.state();
        let mut broken = state.broken.clone();
        for (account, runs) in &state.runs {
            let most = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERSHOOT) + SLACK;
            for (first, start) in runs.iter().enumerate() {
                let inside = runs[first..].partition_point(|run| *run < *start + WINDOW);
                if inside as f64 > most {
                    broken.push(format!("{account}: {inside} requests in a window of {most}"));
                    break;
                }
            }
        }
        broken
    }
}

fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
