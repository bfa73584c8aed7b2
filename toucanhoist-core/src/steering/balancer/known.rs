//! One target as a host knows it.

use std::time::Duration;

use twox_hash::XxHash64;

use super::{
    Tag,
    fleet::{Fleet, Near, Region},
};
use crate::{
    clock::Time,
    id,
    steering::{ColdLimit, Load, Outcome, Reading, Target, TargetState, Ticket},
};

/// Requests by which a target may be overbooked, so that it never idles for a round trip.
const OVERBOOKED: f64 = 1.0;
/// Part of its slots that a target gives to objects which it has not handled recently.
const FRESH_PART: f64 = 0.34;
/// Part of a request's time that a full target counts longer, which spreads load.
const BUSY_COST: f64 = 0.15;
/// Seconds that a target which fails every request counts longer.
const FAILURE_COST_S: f64 = 2.0;
/// Multiple of its expected time after which a request without an answer is overdue; few take twice
/// as long as others of their route.
const OVERDUE_MULTIPLE: f64 = 2.0;
/// Time beyond which a target counts as cold still, for reports on their way.
const COLD_MARGIN: Duration = Duration::from_millis(300);

#[derive(Debug)]
pub(super) struct Known {
    pub(super) name: id::Target,
    pub(super) target: Target,
    pub(super) hash: u64,
    pub(super) region: Region,
    pub(super) near: Near,
    pub(super) evacuated: bool,
    pub(super) load: Load,
    /// Requests that wait for it at this host.
    pub(super) queued: u32,
    pub(super) cold_until: Time,
    pub(super) cold: ColdLimit,
    pub(super) cold_share: usize,
    /// The address has another target now.
    pub(super) misdirected: bool,
}

impl Known {
    pub(super) fn new(name: &id::Target, target: Target, fleet: &Fleet) -> Known {
        Known {
            name: name.clone(),
            hash: XxHash64::oneshot(0, name.as_str().as_bytes()),
            region: fleet.region_of(&target.data_centre),
            near: fleet.near(&target.data_centre),
            evacuated: fleet.is_evacuated(&target.data_centre),
            target,
            load: Load::default(),
            queued: 0,
            cold_until: Time::ZERO,
            cold: ColdLimit::default(),
            cold_share: 0,
            misdirected: false,
        }
    }

    /// Takes in a newer entry.
    pub(super) fn update(mut self, entry: &Target, fleet: &Fleet) -> Known {
        if self.target.born != entry.born || self.target.address != entry.address {
            self.load.reset();
        }
        self.target = entry.clone();
        self.region = fleet.region_of(&entry.data_centre);
        self.near = fleet.near(&entry.data_centre);
        self.evacuated = fleet.is_evacuated(&entry.data_centre);
        self.misdirected = false;
        self
    }

    /// Counts it as cold for some time more.
    pub(super) fn extend_cold(&mut self, now: Time, left: Duration) {
        if !left.is_zero() {
            self.cold_until = self.cold_until.max(now + left + COLD_MARGIN);
        }
    }

    /// Returns the target's short name.
    pub(super) fn tag(&self) -> Tag {
        // The lower half is as good a hash as the whole.
        self.hash as Tag
    }

    /// Whether it takes requests, as far as its entry says.
    pub(super) fn is_usable(&self) -> bool {
        self.target.state == TargetState::Ready && !self.misdirected && !self.evacuated
    }

    pub(super) fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Whether it may be used at all by one of the hosts that have `connections` each.
    pub(super) fn is_open(&mut self, now: Time, connections: u32) -> bool {
        let is_probed = self.load.was_unreachable() && self.load.own_requests() > 0;
        let is_spent = self.is_cold(now) && !self.cold.has_room(now, self.cold_share);
        !self.load.is_backing_off(now)
            && self.load.own_requests() < connections
            && !is_probed
            && !is_spent
    }

    /// Whether one more request finds a slot, or will before long. Requests for objects that it has
    /// not handled recently leave some slots to the others, which run several times faster.
    pub(super) fn has_room(&self, load: &Reading, recent: bool) -> bool {
        let slots = f64::from(self.target.slots);
        let most = if recent { slots + OVERBOOKED } else { (slots * FRESH_PART).max(1.0) };
        load.busy < most
    }

    /// Returns the seconds that a request is expected to wait for a slot, where each of those before
    /// it takes `usual_s`.
    pub(super) fn wait_s(&self, load: &Reading, usual_s: f64) -> f64 {
        let slots = f64::from(self.target.slots.max(1));
        let ahead = load.busy + f64::from(self.queued);
        // Those that run are half done on average.
        let ahead = (ahead - slots + 0.5).max(0.0);
        ahead / slots * usual_s * load.slowness.max(1.0)
    }

    /// Returns the seconds that a request is expected to take, with what else counts against the
    /// target.
    pub(super) fn cost(&self, load: &Reading, wait_s: f64, work_s: f64) -> f64 {
        let slots = f64::from(self.target.slots.max(1));
        let busy = (load.busy / slots).min(1.0);
        wait_s
            + work_s * load.slowness.max(1.0)
            + work_s * BUSY_COST * busy
            + FAILURE_COST_S * load.failing
    }

    pub(super) fn learn(&mut self, now: Time, ticket: &Ticket, outcome: Outcome) {
        match outcome {
            Outcome::Answered { took, report, failed } => {
                if let Some(report) = report {
                    self.load.apply_report(now, report);
                }
                self.load.record_outcome(now, failed);
                if let Some(object) = ticket.object {
                    self.load.record_object(object);
                }
                if ticket.is_timing_valid && !failed {
                    self.load.record_time(now, took.as_secs_f64() / ticket.expected_s.max(0.001));
                }
            }
            Outcome::Shed { report } => {
                if let Some(report) = report {
                    self.load.apply_report(now, report);
                }
                let full = report.is_some_and(|report| report.running >= report.slots);
                if !full {
                    self.load.record_outcome(now, true);
                }
            }
            Outcome::Misdirected => self.misdirected = true,
            Outcome::Unreachable => self.load.record_unreachable(now),
            Outcome::Broken => self.load.record_outcome(now, true),
            Outcome::Unanswered => self.learn_overdue(now, ticket, true),
            Outcome::Abandoned => self.learn_overdue(now, ticket, false),
        }
    }

    /// Learns from a request without an answer, which would have taken longer still. One that had its
    /// slot and far more time than it takes counts as failed.
    fn learn_overdue(&mut self, now: Time, ticket: &Ticket, failed: bool) {
        let multiple = now.since(ticket.sent).as_secs_f64() / ticket.expected_s.max(0.001);
        if multiple < OVERDUE_MULTIPLE || ticket.busy >= f64::from(self.target.slots) {
            return;
        }
        self.load.record_time(now, multiple);
        if failed {
            self.load.record_outcome(now, true);
        }
    }
}
