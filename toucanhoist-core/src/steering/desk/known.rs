//! One target as a host knows it.

use super::Tag;
use crate::{
    clock::Time,
    steering::{ColdLimit, Load, Outcome, Target, Ticket},
};

/// Part of its slots by which a target may be overbooked, so that it never idles for a round trip.
const OVERBOOKED_PART: f64 = 0.25;
/// Part of its slots that a target gives to objects which it has not handled recently.
const FRESH_PART: f64 = 0.34;
/// Part of a request's time that a full target counts longer, which spreads load.
const BUSY_COST: f64 = 0.15;
/// Seconds that a target which fails every request counts longer.
const FAILURE_COST_S: f64 = 2.0;

#[derive(Debug)]
pub(super) struct Known {
    pub(super) target: Target,
    pub(super) hash: u64,
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
    /// Returns the target's short name.
    pub(super) fn tag(&self) -> Tag {
        // The lower half is as good a hash as the whole.
        self.hash as Tag
    }

    pub(super) fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Whether it may be used at all by one of the hosts that have `connections` each.
    pub(super) fn is_open(&mut self, now: Time, connections: u32) -> bool {
        let is_probed = self.load.was_closed() && self.load.own() > 0;
        let is_spent = self.is_cold(now) && !self.cold.has_room(now, self.cold_share);
        !self.load.is_closed(now) && self.load.own() < connections && !is_probed && !is_spent
    }

    /// Whether one more request finds a slot, or will before long. Requests for objects that it has
    /// not handled recently leave some slots to the others, which run several times faster.
    pub(super) fn has_room(&self, now: Time, recent: bool) -> bool {
        let slots = f64::from(self.target.slots);
        let most = if recent {
            slots + (slots * OVERBOOKED_PART).max(1.0)
        } else {
            (slots * FRESH_PART).max(1.0)
        };
        self.load.busy(now) < most
    }

    /// Returns the seconds that a request is expected to wait for a slot, where each of those before
    /// it takes `usual_s`.
    pub(super) fn wait_s(&self, now: Time, usual_s: f64) -> f64 {
        let slots = f64::from(self.target.slots.max(1));
        let ahead = self.load.busy(now) + f64::from(self.queued);
        // Those that run are half done on average.
        let ahead = (ahead - slots + 0.5).max(0.0);
        ahead / slots * usual_s * self.load.slowness(now).max(1.0)
    }

    /// Returns the seconds that a request is expected to take, with what else counts against the
    /// target.
    pub(super) fn cost(&self, now: Time, wait_s: f64, work_s: f64) -> f64 {
        let slots = f64::from(self.target.slots.max(1));
        let busy = (self.load.busy(now) / slots).min(1.0);
        wait_s
            + work_s * self.load.slowness(now).max(1.0)
            + work_s * BUSY_COST * busy
            + FAILURE_COST_S * self.load.failing(now)
    }

    pub(super) fn learn(&mut self, now: Time, ticket: &Ticket, outcome: Outcome) {
        match outcome {
            Outcome::Answered { took, report, failed } => {
                if let Some(report) = report {
                    self.load.report(now, report);
                }
                self.load.ended(now, failed);
                if let Some(object) = ticket.object {
                    self.load.remember(object);
                }
                if ticket.teaches && !failed {
                    self.load.took(now, took.as_secs_f64() / ticket.expected_s.max(0.001));
                }
            }
            Outcome::Shed { report } => {
                if let Some(report) = report {
                    self.load.report(now, report);
                }
                let full = report.is_some_and(|report| report.running >= report.slots);
                if !full {
                    self.load.ended(now, true);
                }
            }
            Outcome::Misdirected => self.misdirected = true,
            Outcome::Unreachable => self.load.close(now),
            Outcome::Broken => self.load.ended(now, true),
            Outcome::Abandoned => {}
        }
    }
}
