//! What a host knows of one target's load, speed and failures.

use std::{collections::VecDeque, time::Duration};

use crate::clock::Time;

/// Time in which a report's difference from what other hosts tell fades to 1/e.
const REPORT_FADE_S: f64 = 2.0;
/// Weight of a new report of other hosts' requests.
const REPORT_WEIGHT: f64 = 0.6;
/// Weight of a request's time in the target's slowness.
const SLOWNESS_WEIGHT: f64 = 0.15;
const SLOWNESS_MIN: f64 = 0.5;
const SLOWNESS_MAX: f64 = 30.0;
/// Time in which slowness and failures fade to 1/e, so that the target is tried again.
const MEMORY_FADE_S: f64 = 4.0;
/// Weight of a request's outcome in the part that fails.
const FAILURE_WEIGHT: f64 = 0.25;
/// Multiple of the usual time from which a target is slow enough that other hosts should know; few
/// take twice as long as others of their kind.
const SLOW_MULTIPLE: f64 = 2.0;
/// Part of requests that fail from which other hosts should know.
const FAILING_PART: f64 = 0.1;
/// Weight of a request of another host, as a part of an own one's: it may reach the target on other ways.
const SEEN_PART: f64 = 0.5;
/// Time for which what was seen is collected for other hosts, if nobody takes it; older news is no news.
const SEEN_MAX: Duration = Duration::from_secs(1);
/// Time for which an unreachable target is left alone; it doubles with each failure.
const CLOSED_FIRST: Duration = Duration::from_millis(250);
const CLOSED_MAX: Duration = Duration::from_secs(2);
/// Objects that a target is taken to remember.
const OBJECTS_MAX: usize = 16;

/// What a target says of its load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at the same time.
    pub slots: u32,
}

/// What a host has seen of a target's speed and failures in a short time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Observations {
    /// Requests whose time says something.
    pub times: u32,
    /// Sum of their times, as multiples of what was expected.
    pub multiples: f64,
    /// Requests that ended.
    pub ends: u32,
    /// Requests among them that failed.
    pub failed: u32,
}

impl Observations {
    /// Adds what was seen beside it.
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

/// What counts of a target's load, speed and failures at one time.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// Requests that the target is expected to hold, from all hosts.
    pub busy: f64,
    /// How many times longer than usual its requests take.
    pub slowness: f64,
    /// Part of its requests that fails.
    pub failing: f64,
}

/// Load, speed and failures of one target as one host sees them.
#[derive(Clone, Debug)]
pub struct Load {
    own: u32,
    /// Requests that other hosts tell of.
    told: f64,
    /// Requests that the target reported beyond those of this host and those told of.
    untold: f64,
    reported: Time,
    slowness: f64,
    failing: f64,
    learned: Time,
    /// What was seen since other hosts were last told, and since when.
    seen: Observations,
    seen_since: Time,
    closed_until: Time,
    closed_for: Duration,
    objects: VecDeque<u64>,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            own: 0,
            told: 0.0,
            untold: 0.0,
            reported: Time::ZERO,
            slowness: 1.0,
            failing: 0.0,
            learned: Time::ZERO,
            seen: Observations::default(),
            seen_since: Time::ZERO,
            closed_until: Time::ZERO,
            closed_for: CLOSED_FIRST,
            objects: VecDeque::new(),
        }
    }
}

impl Load {
    /// Returns the host's own requests there.
    pub fn own_requests(&self) -> u32 {
        self.own
    }

    /// Returns what counts now, of a target that holds `usual` requests if nothing is known of it.
    pub fn read(&self, now: Time, usual: f64) -> Reading {
        let fade = self.fade(now);
        Reading {
            busy: self.busy(now, usual),
            slowness: 1.0 + (self.slowness - 1.0) * fade,
            failing: self.failing * fade,
        }
    }

    /// Returns the requests that the target is expected to hold, from all hosts; `usual`, as far as its last
    /// report is old.
    pub fn busy(&self, now: Time, usual: f64) -> f64 {
        let known = f64::from(self.own) + self.told;
        let fade = self.report_fade(now);
        let unreported = (usual - known).max(0.0) * (1.0 - fade);
        (known + self.untold * fade + unreported).max(f64::from(self.own))
    }

    /// Returns how much the last report still counts.
    fn report_fade(&self, now: Time) -> f64 {
        (-now.since(self.reported).as_secs_f64() / REPORT_FADE_S).exp()
    }

    /// Sets the requests that other hosts tell of.
    pub fn set_peer_requests(&mut self, requests: f64) {
        self.told = requests;
    }

    /// Whether it was found unreachable and is left alone.
    pub fn is_backing_off(&self, now: Time) -> bool {
        now < self.closed_until
    }

    /// Whether it was unreachable when it was last tried.
    pub fn was_unreachable(&self) -> bool {
        self.closed_until != Time::ZERO
    }

    /// Whether it handled a request of this host for an object recently.
    pub fn has_recent_object(&self, object: u64) -> bool {
        self.objects.contains(&object)
    }

    /// Counts a request that is sent.
    pub fn send(&mut self) {
        self.own += 1;
    }

    /// Learns that the target has handled an object.
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

    /// Takes in what the target says of its load.
    pub fn apply_report(&mut self, now: Time, report: Report) {
        let total = f64::from(report.running + report.waiting);
        let untold = total - f64::from(self.own) - self.told;
        let known = self.untold * self.report_fade(now);
        self.untold = known + (untold - known) * REPORT_WEIGHT;
        self.reported = now;
    }

    /// Learns a request's time, as a multiple of what was expected.
    pub fn record_time(&mut self, now: Time, multiple: f64) {
        let multiples = multiple.clamp(SLOWNESS_MIN, SLOWNESS_MAX);
        self.see(now, Observations { times: 1, multiples, ..Observations::default() });
    }

    /// Learns whether a request failed there.
    pub fn record_outcome(&mut self, now: Time, failed: bool) {
        self.see(
            now,
            Observations { ends: 1, failed: u32::from(failed), ..Observations::default() },
        );
        if !failed {
            (self.closed_until, self.closed_for) = (Time::ZERO, CLOSED_FIRST);
        }
    }

    /// Learns what other hosts have seen.
    pub fn add_peer_observations(&mut self, now: Time, seen: &Observations) {
        self.learn(now, seen, SEEN_PART);
    }

    /// Returns what was seen since the last call, if other hosts should know: the target is slow or
    /// failing, or they may take it to be.
    pub fn take_observations(&mut self, now: Time) -> Option<Observations> {
        self.drop_old(now);
        let seen = std::mem::take(&mut self.seen);
        self.seen_since = now;
        let known = self.read(now, 0.0);
        let is_known_bad = known.slowness > SLOW_MULTIPLE || known.failing > FAILING_PART;
        let any = seen.times + seen.ends > 0;
        (any && (is_known_bad || seen.is_bad())).then_some(seen)
    }

    /// Learns from an own request, and keeps it for other hosts.
    fn see(&mut self, now: Time, seen: Observations) {
        self.learn(now, &seen, 1.0);
        self.drop_old(now);
        self.seen.add(seen);
    }

    /// Drops what was seen too long ago to tell.
    fn drop_old(&mut self, now: Time) {
        if now >= self.seen_since + SEEN_MAX {
            (self.seen, self.seen_since) = (Observations::default(), now);
        }
    }

    fn learn(&mut self, now: Time, seen: &Observations, part: f64) {
        let Reading { slowness, failing, .. } = self.read(now, 0.0);
        // Each of several requests counts as much as if it had ended alone.
        let weight = |weight: f64, count: u32| 1.0 - (1.0 - weight * part).powf(f64::from(count));
        let mean = |sum: f64, count: u32| sum / f64::from(count.max(1));
        let times = weight(SLOWNESS_WEIGHT, seen.times);
        let ends = weight(FAILURE_WEIGHT, seen.ends);
        let multiple = mean(seen.multiples, seen.times).clamp(SLOWNESS_MIN, SLOWNESS_MAX);
        self.slowness = slowness + (multiple - slowness) * times;
        self.failing = failing + (mean(f64::from(seen.failed), seen.ends) - failing) * ends;
        self.learned = now;
    }

    /// Learns that the target cannot be reached.
    pub fn record_unreachable(&mut self, now: Time) {
        if self.is_backing_off(now) {
            return;
        }
        self.closed_until = now + self.closed_for;
        self.closed_for = (self.closed_for * 2).min(CLOSED_MAX);
    }

    /// Forgets what belongs to an earlier incarnation; requests under way still count.
    pub fn reset(&mut self) {
        *self = Load { own: self.own, told: self.told, ..Load::default() };
    }

    fn fade(&self, now: Time) -> f64 {
        if self.slowness == 1.0 && self.failing == 0.0 {
            return 1.0;
        }
        (-now.since(self.learned).as_secs_f64() / MEMORY_FADE_S).exp()
    }
}
