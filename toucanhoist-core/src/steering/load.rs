//! What a host knows about one target's load, speed and failures.

use std::{collections::VecDeque, time::Duration};

use crate::clock::Time;

/// Time constant with which the unattributed load of a report decays.
const REPORT_DECAY_S: f64 = 2.0;
/// Weight of a new report in the unattributed load.
const REPORT_WEIGHT: f64 = 0.6;
/// Weight of a request's time in the target's slowness.
const SLOWNESS_WEIGHT: f64 = 0.15;
const SLOWNESS_MIN: f64 = 0.5;
const SLOWNESS_MAX: f64 = 30.0;
/// Time constant with which slowness and failures decay, so that the target is tried again.
const OBSERVATION_DECAY_S: f64 = 4.0;
/// Weight of a request's outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// Multiple of the expected time from which a target counts as slow enough to be reported to other
/// hosts; few requests take twice as long as others of their kind.
const SLOW_MULTIPLE: f64 = 2.0;
/// Failure rate from which other hosts should know.
const FAILING_SHARE: f64 = 0.1;
/// Weight of another host's request relative to an own one: it may reach the target over a
/// different path.
const PEER_WEIGHT: f64 = 0.5;
/// Age at which observations are dropped that were not sent to other hosts; older ones are of no
/// use to them.
const UNSENT_MAX_AGE: Duration = Duration::from_secs(1);
/// Time for which an unreachable target is not used; it doubles with each failure.
const BACK_OFF_MIN: Duration = Duration::from_millis(250);
const BACK_OFF_MAX: Duration = Duration::from_secs(2);
/// Objects that a target is assumed to have cached.
const OBJECTS_MAX: usize = 16;

/// Load that a target reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at the same time.
    pub slots: u32,
}

/// What a host has observed of a target's speed and failures in a short time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Observations {
    /// Requests whose processing time was measured.
    pub times: u32,
    /// Sum of their times, as multiples of the expected times.
    pub multiples: f64,
    /// Requests that ended.
    pub ends: u32,
    /// Requests among them that failed.
    pub failed: u32,
}

impl Observations {
    /// Adds other observations.
    pub fn add(&mut self, other: Observations) {
        self.times += other.times;
        self.multiples += other.multiples;
        self.ends += other.ends;
        self.failed += other.failed;
    }

    fn is_bad(&self) -> bool {
        self.failed > 0 || self.multiples > SLOW_MULTIPLE * f64::from(self.times)
    }
}

/// A target's load, speed and failures at one point in time.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// Requests that the target is expected to hold, from all hosts.
    pub busy: f64,
    /// How many times longer than usual its requests take.
    pub slowness: f64,
    /// Share of its requests that fail.
    pub failing: f64,
}

/// Load, speed and failures of one target as seen by one host.
#[derive(Clone, Debug)]
pub struct Load {
    own: u32,
    /// Requests that other hosts report.
    peer_requests: f64,
    /// Requests that the target reported beyond those of this host and of the reporting hosts.
    unattributed: f64,
    reported_at: Time,
    slowness: f64,
    failing: f64,
    learned_at: Time,
    /// Observations that other hosts have not received yet, and since when they are collected.
    unsent: Observations,
    unsent_since: Time,
    back_off_until: Time,
    back_off: Duration,
    objects: VecDeque<u64>,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            own: 0,
            peer_requests: 0.0,
            unattributed: 0.0,
            reported_at: Time::ZERO,
            slowness: 1.0,
            failing: 0.0,
            learned_at: Time::ZERO,
            unsent: Observations::default(),
            unsent_since: Time::ZERO,
            back_off_until: Time::ZERO,
            back_off: BACK_OFF_MIN,
            objects: VecDeque::new(),
        }
    }
}

impl Load {
    /// Returns the host's own requests at the target.
    pub fn own_requests(&self) -> u32 {
        self.own
    }

    /// Returns the current values; `typical` is the load that is assumed if the target has not
    /// reported lately.
    pub fn read(&self, now: Time, typical: f64) -> Reading {
        let decay = self.observation_decay(now);
        Reading {
            busy: self.busy(now, typical),
            slowness: 1.0 + (self.slowness - 1.0) * decay,
            failing: self.failing * decay,
        }
    }

    /// Returns the requests that the target is expected to hold, from all hosts. The older its last
    /// report, the closer the value is to `typical`.
    pub fn busy(&self, now: Time, typical: f64) -> f64 {
        let known = f64::from(self.own) + self.peer_requests;
        let decay = self.report_decay(now);
        let unreported = (typical - known).max(0.0) * (1.0 - decay);
        (known + self.unattributed * decay + unreported).max(f64::from(self.own))
    }

    /// Returns the remaining weight of the last report.
    fn report_decay(&self, now: Time) -> f64 {
        (-now.since(self.reported_at).as_secs_f64() / REPORT_DECAY_S).exp()
    }

    /// Sets the requests that other hosts report.
    pub fn set_peer_requests(&mut self, requests: f64) {
        self.peer_requests = requests;
    }

    /// Whether the target was unreachable and is not used for now.
    pub fn is_backing_off(&self, now: Time) -> bool {
        now < self.back_off_until
    }

    /// Returns the time until the target is used again after it was unreachable.
    pub fn back_off_left(&self, now: Time) -> Duration {
        self.back_off_until.since(now)
    }

    /// Whether the target was unreachable at the last try.
    pub fn was_unreachable(&self) -> bool {
        self.back_off_until != Time::ZERO
    }

    /// Whether the target recently handled a request of this host for an object.
    pub fn has_recent_object(&self, object: u64) -> bool {
        self.objects.contains(&object)
    }

    /// Counts a request that is sent.
    pub fn send(&mut self) {
        self.own += 1;
    }

    /// Records that the target has handled an object.
    pub fn record_object(&mut self, object: u64) {
        self.objects.retain(|known| *known != object);
        if self.objects.len() == OBJECTS_MAX {
            self.objects.pop_front();
        }
        self.objects.push_back(object);
    }

    /// Counts a request that has ended.
    pub fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Applies a load report of the target.
    pub fn apply_report(&mut self, now: Time, report: Report) {
        let total = f64::from(report.running) + f64::from(report.waiting);
        let unattributed = total - f64::from(self.own) - self.peer_requests;
        let decayed = self.unattributed * self.report_decay(now);
        self.unattributed = decayed + (unattributed - decayed) * REPORT_WEIGHT;
        self.reported_at = now;
    }

    /// Records a request's time, as a multiple of the expected time.
    pub fn record_time(&mut self, now: Time, multiple: f64) {
        let multiples = multiple.clamp(SLOWNESS_MIN, SLOWNESS_MAX);
        self.observe(now, Observations { times: 1, multiples, ..Observations::default() });
    }

    /// Records a request without an answer that the path to the target may have lost. Other hosts
    /// are not told, as their paths may be whole. `multiple` is its time, as a multiple of the
    /// expected time, if that was overdue.
    pub fn record_silence(&mut self, now: Time, multiple: Option<f64>) {
        let multiples = multiple.map_or(0.0, |m| m.clamp(SLOWNESS_MIN, SLOWNESS_MAX));
        let times = u32::from(multiple.is_some());
        self.apply(now, &Observations { times, multiples, ends: 1, failed: 1 }, 1.0);
    }

    /// Discards observations that were made over a path that has turned out to be lost.
    pub fn discard_observations(&mut self, now: Time) {
        (self.slowness, self.failing, self.learned_at) = (1.0, 0.0, now);
        (self.unsent, self.unsent_since) = (Observations::default(), now);
        (self.back_off_until, self.back_off) = (Time::ZERO, BACK_OFF_MIN);
    }

    /// Records whether a request failed.
    pub fn record_outcome(&mut self, now: Time, failed: bool) {
        self.observe(
            now,
            Observations { ends: 1, failed: u32::from(failed), ..Observations::default() },
        );
        if !failed {
            (self.back_off_until, self.back_off) = (Time::ZERO, BACK_OFF_MIN);
        }
    }

    /// Adds observations of other hosts.
    pub fn add_peer_observations(&mut self, now: Time, observations: &Observations) {
        self.apply(now, observations, PEER_WEIGHT);
    }

    /// Returns the observations since the last call, if other hosts should know them: the target is
    /// slow or failing, or other hosts may believe it to be.
    pub fn take_observations(&mut self, now: Time) -> Option<Observations> {
        self.drop_stale(now);
        let observations = std::mem::take(&mut self.unsent);
        self.unsent_since = now;
        let known = self.read(now, 0.0);
        let is_known_bad = known.slowness > SLOW_MULTIPLE || known.failing > FAILING_SHARE;
        let has_observations = observations.times + observations.ends > 0;
        (has_observations && (is_known_bad || observations.is_bad())).then_some(observations)
    }

    /// Applies an observation of an own request, and keeps it for other hosts.
    fn observe(&mut self, now: Time, observations: Observations) {
        self.apply(now, &observations, 1.0);
        self.drop_stale(now);
        self.unsent.add(observations);
    }

    /// Drops observations that are too old to be sent.
    fn drop_stale(&mut self, now: Time) {
        if now >= self.unsent_since + UNSENT_MAX_AGE {
            (self.unsent, self.unsent_since) = (Observations::default(), now);
        }
    }

    fn apply(&mut self, now: Time, observations: &Observations, request_weight: f64) {
        let Reading { slowness, failing, .. } = self.read(now, 0.0);
        // Each of several requests has the weight that it would have alone.
        let weight =
            |weight: f64, count: u32| 1.0 - (1.0 - weight * request_weight).powf(f64::from(count));
        let mean = |sum: f64, count: u32| sum / f64::from(count.max(1));
        let times = weight(SLOWNESS_WEIGHT, observations.times);
        let ends = weight(FAILURE_WEIGHT, observations.ends);
        let multiple =
            mean(observations.multiples, observations.times).clamp(SLOWNESS_MIN, SLOWNESS_MAX);
        self.slowness = slowness + (multiple - slowness) * times;
        self.failing =
            failing + (mean(f64::from(observations.failed), observations.ends) - failing) * ends;
        self.learned_at = now;
    }

    /// Records that the target cannot be reached.
    pub fn record_unreachable(&mut self, now: Time) {
        if self.is_backing_off(now) {
            return;
        }
        self.back_off_until = now + self.back_off;
        self.back_off = (self.back_off * 2).min(BACK_OFF_MAX);
    }

    /// Discards what belongs to an earlier incarnation; requests in progress still count.
    pub fn reset(&mut self) {
        *self = Load { own: self.own, peer_requests: self.peer_requests, ..Load::default() };
    }

    fn observation_decay(&self, now: Time) -> f64 {
        if self.slowness == 1.0 && self.failing == 0.0 {
            return 1.0;
        }
        (-now.since(self.learned_at).as_secs_f64() / OBSERVATION_DECAY_S).exp()
    }
}
