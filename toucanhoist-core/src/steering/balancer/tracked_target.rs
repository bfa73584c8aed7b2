//! One target as tracked by a host.

use std::time::Duration;

use twox_hash::XxHash64;

use super::{
    Tag,
    topology::{Proximity, Region, Topology},
};
use crate::{
    clock::Time,
    id,
    steering::{
        ColdLimit, Gate, Load, Outcome, Reading, Target, TargetState, Ticket,
        limit::{Source, Statement, Turns},
    },
    unit::Rate,
};

/// Requests beyond its slots that a target gets, so that it never idles for a round trip.
const OVERBOOKING: f64 = 1.0;
/// Share of a target's slots for objects that it has not handled recently.
const FRESH_SHARE: f64 = 0.34;
/// Cost of a full target, as a share of the processing time; it spreads load.
const BUSY_COST: f64 = 0.15;
/// Cost of a target that fails every request, in seconds.
const FAILURE_COST_S: f64 = 2.0;
/// Multiple of the expected time from which a request without an answer is overdue; few requests
/// take twice as long as others of their route.
const OVERDUE_MULTIPLE: f64 = 2.0;
/// Extra time for which a target counts as cold, since reports may be in transit.
const COLD_MARGIN: Duration = Duration::from_millis(300);

/// When the limit of a target, or the time for which it wants nothing, next allows a request of this host.
#[derive(Clone, Copy, Debug)]
pub(super) enum Turn {
    Now,
    After {
        wait: Duration,
        /// Requests a second that follow.
        rate_per_s: f64,
    },
    /// Other hosts hold the target's rate.
    Never,
}

#[derive(Debug)]
pub(super) struct TrackedTarget {
    pub(super) name: id::Target,
    pub(super) entry: Target,
    pub(super) hash: u64,
    pub(super) region: Region,
    pub(super) proximity: Proximity,
    pub(super) evacuated: bool,
    pub(super) load: Load,
    /// Requests that wait for it at this host.
    pub(super) queued: u32,
    pub(super) cold_until: Time,
    pub(super) cold_limit: ColdLimit,
    pub(super) cold_share: usize,
    /// Whether another target has taken over the address.
    pub(super) misdirected: bool,
    /// What is known of its limit.
    statement: Option<Statement>,
    /// When an answer last named the limit.
    limit_confirmed_at: Time,
    /// Requests that this host may send it, while it has a limit.
    turns: Option<Turns>,
    /// Where this host learned that it leaves.
    leaving: Option<Source>,
    /// Time until which it wants no requests of this host.
    held_until: Time,
    /// Shared by the tickets that were granted since the target was last withdrawn.
    gate: Gate,
}

impl TrackedTarget {
    pub(super) fn new(
        restarted: Option<Time>,
        name: &id::Target,
        entry: Target,
        topology: &Topology,
    ) -> TrackedTarget {
        TrackedTarget {
            name: name.clone(),
            hash: XxHash64::oneshot(0, name.as_str().as_bytes()),
            region: topology.region_of(&entry.data_centre),
            proximity: topology.proximity(&entry.data_centre),
            evacuated: topology.is_evacuated(&entry.data_centre),
            entry,
            load: Load::default(),
            queued: 0,
            cold_until: Time::ZERO,
            cold_limit: ColdLimit::new(restarted),
            cold_share: 0,
            misdirected: false,
            statement: None,
            limit_confirmed_at: Time::ZERO,
            turns: None,
            leaving: None,
            held_until: Time::ZERO,
            gate: Gate::default(),
        }
    }

    /// Applies a newer entry.
    pub(super) fn update(mut self, entry: &Target, topology: &Topology) -> TrackedTarget {
        if self.entry.born != entry.born || self.entry.address != entry.address {
            self.load.reset();
            (self.leaving, self.held_until) = (None, Time::ZERO);
            self.withdraw();
        }
        self.entry = entry.clone();
        self.region = topology.region_of(&entry.data_centre);
        self.proximity = topology.proximity(&entry.data_centre);
        self.evacuated = topology.is_evacuated(&entry.data_centre);
        self.misdirected = false;
        self
    }

    /// Extends the time for which it counts as cold.
    pub(super) fn extend_cold(&mut self, now: Time, left: Duration) {
        if !left.is_zero() {
            self.cold_until = self.cold_until.max(now + left + COLD_MARGIN);
        }
    }

    /// Returns the target's tag.
    pub(super) fn tag(&self) -> Tag {
        // The lower half of the hash is as uniform as the whole.
        self.hash as Tag
    }

    /// Whether its entry allows requests.
    pub(super) fn is_usable(&self) -> bool {
        let has_left = self.leaving.is_some_and(|source| source != Source::Host);
        self.entry.state == TargetState::Ready && !self.misdirected && !self.evacuated && !has_left
    }

    /// Whether another host reports that it leaves. It gets requests only where no other target can serve them,
    /// so that a wrong report cannot take a service away.
    pub(super) fn is_reported_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Returns the gate for a new ticket.
    pub(super) fn gate(&self) -> Gate {
        self.gate.clone()
    }

    /// Keeps requests of earlier tickets that were not sent yet from being sent.
    pub(super) fn withdraw(&mut self) {
        std::mem::take(&mut self.gate).close();
        self.gate.close_until(self.held_until);
    }

    /// Sets where this host learned that it leaves.
    pub(super) fn set_leaving(&mut self, leaving: Option<Source>) {
        self.leaving = leaving;
        if leaving.is_some_and(|source| source != Source::Host) {
            self.gate.close();
        }
    }

    /// Has it get no requests of this host until a time.
    pub(super) fn hold(&mut self, until: Time) {
        self.held_until = self.held_until.max(until);
        self.gate.close_until(self.held_until);
    }

    /// Whether this host may send it a request now, as far as the target says.
    pub(super) fn accepts(&self, now: Time) -> bool {
        self.is_usable() && now >= self.held_until
    }

    pub(super) fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Whether this host may send it a request now, with at most `connections` connections, if it can
    /// be reached.
    pub(super) fn is_available(&mut self, now: Time, connections: u32) -> bool {
        let is_probed = self.load.was_unreachable() && self.load.own_requests() > 0;
        let is_spent = self.is_cold(now) && !self.cold_limit.has_room(now, self.cold_share);
        self.load.own_requests() < connections && !is_probed && !is_spent
    }

    /// Whether one more request finds a free slot, now or soon. Requests for objects that it has
    /// not handled recently leave some slots to the others, which run several times faster.
    pub(super) fn has_room(&self, load: &Reading, recent: bool) -> bool {
        let slots = f64::from(self.entry.slots);
        let most = if recent { slots + OVERBOOKING } else { (slots * FRESH_SHARE).max(1.0) };
        load.busy < most
    }

    /// Returns the expected wait for a slot, in seconds; each request ahead takes `typical_s`.
    pub(super) fn wait_s(&self, load: &Reading, typical_s: f64) -> f64 {
        let slots = f64::from(self.entry.slots.max(1));
        let ahead = load.busy + f64::from(self.queued);
        // Running requests are half done on average.
        let ahead = (ahead - slots + 0.5).max(0.0);
        ahead / slots * typical_s * load.slowness.max(1.0)
    }

    /// Returns the expected time of a request, in seconds, plus the costs of load and failures.
    pub(super) fn cost(&self, load: &Reading, wait_s: f64, processing_s: f64) -> f64 {
        let slots = f64::from(self.entry.slots.max(1));
        let busy = (load.busy / slots).min(1.0);
        wait_s
            + processing_s * load.slowness.max(1.0)
            + processing_s * BUSY_COST * busy
            + FAILURE_COST_S * load.failing
    }

    /// Sets what is known of its limit, and when that was last confirmed.
    pub(super) fn set_limit(
        &mut self,
        now: Time,
        topology: &Topology,
        known: Option<(Statement, Time)>,
    ) {
        let statement = known.map(|(statement, _)| statement);
        self.limit_confirmed_at = known.map_or(Time::ZERO, |(_, confirmed_at)| confirmed_at);
        if std::mem::replace(&mut self.statement, statement) != statement {
            self.set_limit_place(now, topology);
        }
    }

    /// Sets the host's place among those that share its limit.
    pub(super) fn set_limit_place(&mut self, now: Time, topology: &Topology) {
        let Some(limit) = self.limit() else {
            self.turns = None;
            return;
        };
        let place = topology.limit_place(&self.name, self.region);
        match &mut self.turns {
            Some(turns) => turns.set(now, limit, place),
            None => self.turns = Some(Turns::new(now, limit, place)),
        }
    }

    /// Returns the requests a second that it takes from all hosts.
    pub(super) fn limit(&self) -> Option<Rate> {
        self.statement?.limit
    }

    /// Returns the version of what is known of its limit, 0 if nothing is.
    pub(super) fn limit_version(&self) -> u64 {
        self.statement.map_or(0, |statement| statement.version)
    }

    /// Returns when its limit next allows a request of this host.
    pub(super) fn turn(&mut self, now: Time) -> Turn {
        if now < self.held_until {
            let wait = self.held_until.since(now);
            return Turn::After { wait, rate_per_s: f64::from(self.entry.slots.max(1)) };
        }
        let Some(turns) = &mut self.turns else { return Turn::Now };
        match turns.wait(now, self.limit_confirmed_at) {
            Some(wait) if wait.is_zero() => Turn::Now,
            Some(wait) => Turn::After { wait, rate_per_s: turns.rate_per_s() },
            None => Turn::Never,
        }
    }

    /// Counts a request that is sent.
    pub(super) fn send(&mut self, now: Time) {
        if self.is_cold(now) {
            self.cold_limit.send(now);
        }
        if let Some(turns) = &mut self.turns {
            turns.send(now, self.limit_confirmed_at);
        }
        self.load.send();
    }

    /// Records how a request ended. `is_path_whole` says whether a request without an answer is
    /// known to have reached it, since others were answered meanwhile.
    pub(super) fn record_outcome(
        &mut self,
        now: Time,
        ticket: &Ticket,
        outcome: Outcome,
        is_path_whole: bool,
    ) {
        match outcome {
            Outcome::Answered { took, report, failed, .. } => {
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
            Outcome::Shed { report, .. } => {
                if let Some(report) = report {
                    self.load.apply_report(now, report);
                }
                let is_full = report.is_some_and(|report| report.running >= report.slots);
                if !is_full {
                    self.load.record_outcome(now, true);
                }
            }
            Outcome::Misdirected => self.misdirected = true,
            Outcome::Unreachable => self.load.record_unreachable(now),
            Outcome::Unsent => {}
            Outcome::Disconnected if !is_path_whole => self.load.record_silence(now, None),
            Outcome::Broken | Outcome::Disconnected => self.load.record_outcome(now, true),
            Outcome::Unanswered => self.record_overdue(now, ticket, true, is_path_whole),
            Outcome::Abandoned => self.record_overdue(now, ticket, false, true),
        }
    }

    /// Records a request that ended without an answer, and would have taken longer still. If it had
    /// a slot and is overdue, the time until now counts as its time; if `failed` is set, it also
    /// counts as a failure.
    fn record_overdue(&mut self, now: Time, ticket: &Ticket, failed: bool, is_path_whole: bool) {
        let multiple = now.since(ticket.sent).as_secs_f64() / ticket.expected_s.max(0.001);
        if multiple < OVERDUE_MULTIPLE || ticket.busy >= f64::from(self.entry.slots) {
            return;
        }
        if !is_path_whole {
            self.load.record_silence(now, Some(multiple));
            return;
        }
        self.load.record_time(now, multiple);
        if failed {
            self.load.record_outcome(now, true);
        }
    }
}
