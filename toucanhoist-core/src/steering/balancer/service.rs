//! One service at one host: its targets, the requests that wait for one, and what was learned.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::{
    Attempt, ColdLimit, Placement, PlacementRequest, ProcessingTime, Refused, RetryBudget,
    ServiceTerms, Settings, Ticket,
    choice::{self, Candidate, Choice, View},
    fleet::Fleet,
    known::Known,
    split::{self, Split, Supply},
    usual::Usual,
};
use crate::{
    clock::Time,
    id,
    room::shift::Shift,
    steering::{Crossing, Outcome},
};

/// Requests that wait for one service at one host; more than that cannot be served in time.
const WAITING_MAX: usize = 64;
/// Part of the objective that a request may wait in any case.
const WAIT_PART_MIN: f64 = 0.25;
/// Part of the objective in which a request that waits is expected to have ended; the rest is for work that takes
/// longer than usual.
const WAIT_PART_MAX: f64 = 0.8;
/// Time in which a request that finds no room at all may come back.
pub(super) const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);
/// Completions from which the rate of a service is estimated.
const COMPLETIONS: usize = 32;
const COMPLETIONS_MIN: usize = 4;

#[derive(Debug)]
pub(super) struct Service {
    pub terms: Option<ServiceTerms>,
    pub targets: Vec<Known>,
    waiting: Vec<PlacementRequest>,
    work: HashMap<Box<str>, ProcessingTime>,
    retries: RetryBudget,
    shift: Shift,
    split: Split,
    /// Part of the requests that other regions should serve; `None` after a change of what it is
    /// worked out from.
    planned: Option<f64>,
    completions: VecDeque<Time>,
    /// Whether a request has ended since those that wait were looked at.
    freed: bool,
    usual: Usual,
}

impl Service {
    pub(super) fn new(now: Time) -> Service {
        Service {
            terms: None,
            targets: Vec::new(),
            waiting: Vec::new(),
            work: HashMap::new(),
            retries: RetryBudget::default(),
            shift: Shift::new(now),
            split: Split::default(),
            planned: None,
            completions: VecDeque::new(),
            freed: false,
            usual: Usual::default(),
        }
    }

    /// Notes that targets, hosts or evacuations have changed.
    pub(super) fn replan(&mut self) {
        self.planned = None;
    }

    pub(super) fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Whether requests wait, and one has ended since they were looked at.
    pub(super) fn is_freed(&self) -> bool {
        self.freed && self.is_waiting()
    }

    pub(super) fn known(&mut self, name: &id::Target) -> Option<&mut Known> {
        self.targets.iter_mut().find(|known| known.name == *name)
    }

    /// Takes a target out.
    pub(super) fn remove(&mut self, name: &id::Target) -> Option<Known> {
        let at = self.targets.iter().position(|known| known.name == *name)?;
        self.replan();
        Some(self.targets.swap_remove(at))
    }

    pub(super) fn insert(&mut self, settings: &Settings, fleet: &Fleet, known: Known) {
        self.targets.push(known);
        self.replan();
        let at = self.targets.len() - 1;
        self.set_cold_share(settings, fleet, at);
    }

    /// Counts targets as cold that are in a data centre which takes requests again.
    pub(super) fn set_cold(&mut self, now: Time, data_centre: &id::DataCentre) {
        let cold = self.terms.as_ref().map_or(Duration::ZERO, |terms| terms.cold_time);
        let there =
            self.targets.iter_mut().filter(|known| known.target.data_centre == *data_centre);
        there.for_each(|known| known.extend_cold(now, cold));
    }

    /// Sets the host's share of what each cold target tolerates.
    pub(super) fn set_cold_shares(&mut self, settings: &Settings, fleet: &Fleet) {
        (0..self.targets.len()).for_each(|at| self.set_cold_share(settings, fleet, at));
    }

    fn set_cold_share(&mut self, settings: &Settings, fleet: &Fleet, at: usize) {
        let Some(terms) = &self.terms else { return };
        let rate = terms.cold_rate * settings.cold_factor + settings.cold_extra;
        let known = &mut self.targets[at];
        known.cold_share = ColdLimit::share(rate, fleet.rank(&known.name), fleet.hosts());
    }

    /// Takes in a request; it waits until [`Service::serve`] decides on it, unless the budget of repeats
    /// is used up. Returns whether it was taken in.
    pub(super) fn admit(
        &mut self,
        now: Time,
        settings: &Settings,
        fleet: &Fleet,
        ask: PlacementRequest,
    ) -> bool {
        match ask.attempt {
            Attempt::First => {
                self.retries.request(now, &settings.retries);
                self.shift.arrive(now, settings.shift_interval, settings.overflow_cap());
                self.follow_plan(now, settings, fleet);
            }
            Attempt::Unsent => {}
            Attempt::Retry if self.retries.take(now, &settings.retries, fleet.hosts()) => {}
            Attempt::Retry => return false,
        }
        let place = self.waiting.iter().position(|other| other.priority > ask.priority);
        self.waiting.insert(place.unwrap_or(self.waiting.len()), ask);
        true
    }

    fn follow_plan(&mut self, now: Time, settings: &Settings, fleet: &Fleet) {
        let Some(hosts) = fleet.hosts_of() else { return };
        let planned = *self.planned.get_or_insert_with(|| {
            let mut supplies: Vec<Supply> =
                hosts.iter().map(|&hosts| Supply { slots: 0, hosts }).collect();
            for known in self.targets.iter().filter(|known| known.is_usable()) {
                supplies[known.region.0].slots += known.target.slots;
            }
            split::planned(&supplies, fleet.region())
        });
        self.split.follow(now, planned, settings.shift_interval, settings.plan_cap());
    }

    pub(super) fn cancel(&mut self, number: u64) {
        self.waiting.retain(|ask| ask.number != number);
    }

    /// Learns how a request ended at its target.
    pub(super) fn end(&mut self, now: Time, ticket: &Ticket, outcome: Outcome) {
        self.freed = true;
        let known = self.targets.iter_mut().find(|known| known.name == ticket.target);
        if let Some(known) = known {
            known.load.end();
            if known.target.address == ticket.address {
                known.learn(now, ticket, outcome);
            }
            self.usual.learn(now, known);
            if known.misdirected {
                self.replan();
            }
        }
        if self.completions.len() == COMPLETIONS {
            self.completions.pop_front();
        }
        self.completions.push_back(now);
        if let Outcome::Answered { took, failed: false, .. } = outcome {
            if ticket.is_timing_valid {
                if let Some(work) = self.work.get_mut(&ticket.route) {
                    work.learn(ticket.recent, took);
                }
            }
        }
    }

    /// Decides on the requests that wait, the most urgent first.
    pub(super) fn serve(
        &mut self,
        now: Time,
        settings: &Settings,
        fleet: &Fleet,
    ) -> Vec<(u64, Placement)> {
        self.freed = false;
        for known in &mut self.targets {
            known.queued = 0;
        }
        let mut decided = Vec::new();
        let mut kept = Vec::new();
        for ask in std::mem::take(&mut self.waiting) {
            match self.decide(now, settings, fleet, &ask, kept.len()) {
                Some(placement) => decided.push((ask.number, placement)),
                None => kept.push(ask),
            }
        }
        self.waiting = kept;
        decided
    }

    /// Decides on one request with `ahead` requests waiting before it; `None` lets it wait.
    fn decide(
        &mut self,
        now: Time,
        settings: &Settings,
        fleet: &Fleet,
        ask: &PlacementRequest,
        ahead: usize,
    ) -> Option<Placement> {
        let refuse = |reason, wait_s: f64| {
            let wait = Duration::from_secs_f64(wait_s.clamp(0.0, RETRY_AFTER_MAX.as_secs_f64()));
            Some(Placement::Refuse { reason, retry_after: wait.max(RETRY_AFTER_MIN) })
        };
        let wait_max_s = self.give_up(now, ask).since(now).as_secs_f64();
        let choice = self.choose(now, settings, fleet, ask, wait_max_s);
        if !choice.usable {
            return refuse(Refused::NoTarget, 0.0);
        }
        let Some(best) = choice.best else {
            let wait_s = choice.least_wait_s.unwrap_or_else(|| self.expected_wait_s(now, ahead));
            let hopeless = choice.least_wait_s.is_some() || wait_s >= wait_max_s;
            return if hopeless { refuse(Refused::NoRoom, wait_s) } else { None };
        };
        let left_s = ask.deadline.since(now).as_secs_f64();
        if best.wait_s > 0.0 && best.wait_s + best.work_s > left_s {
            return refuse(Refused::NoRoom, best.wait_s);
        }
        if best.has_room {
            return Some(Placement::Send(self.send(now, settings, ask, best)));
        }
        if wait_max_s <= 0.0 || ahead >= WAITING_MAX {
            return refuse(Refused::NoRoom, best.wait_s);
        }
        if let Some(known) = self.known(&best.target) {
            known.queued += 1;
        }
        None
    }

    fn choose(
        &mut self,
        now: Time,
        settings: &Settings,
        fleet: &Fleet,
        ask: &PlacementRequest,
        wait_max_s: f64,
    ) -> Choice {
        let hosts = u32::try_from(fleet.hosts()).unwrap_or(u32::MAX);
        let work = self.work.entry(ask.route.name.clone());
        let work = *work.or_insert_with(|| ProcessingTime::new(ask.route.objective));
        let terms = self.terms.as_ref();
        let connections = terms.map_or(u32::MAX, |terms| (terms.connections_max / hosts).max(2));
        let cap = settings.overflow_cap();
        let view = View {
            may_overflow: self.shift.may_cross(now, settings.shift_interval, cap),
            is_away: self.split.is_away(ask.object.unwrap_or(ask.number)),
            targets: &mut self.targets,
            fleet,
            usual: &self.usual,
            connections,
            wait_max_s,
            work,
        };
        choice::choose(now, ask, view)
    }

    fn send(
        &mut self,
        now: Time,
        settings: &Settings,
        ask: &PlacementRequest,
        best: Candidate,
    ) -> Ticket {
        if best.crossing == Crossing::Overflow {
            self.shift.cross(settings.overflow_cap());
        }
        let found = self.targets.iter_mut().find(|known| known.name == best.target);
        let known = found.expect("a candidate is a known target");
        let busy = known.load.busy(now, self.usual.busy(known));
        if known.is_cold(now) {
            known.cold.send(now);
        }
        known.load.send();
        Ticket {
            number: ask.number,
            target: best.target,
            address: known.target.address,
            service: ask.service.clone(),
            route: ask.route.name.clone(),
            object: ask.object,
            crossing: best.crossing,
            recent: best.recent,
            sent: now,
            expected_s: best.work_s,
            busy,
            is_timing_valid: best.certain
                && busy < f64::from(known.target.slots)
                && !known.is_cold(now),
        }
    }

    /// Returns the seconds until a request with `ahead` requests before it is expected to find room.
    fn expected_wait_s(&self, now: Time, ahead: usize) -> f64 {
        let done = self.completions.len();
        let since = self.completions.front().map_or(Duration::ZERO, |&first| now.since(first));
        if done < COMPLETIONS_MIN || since.is_zero() {
            return 0.0;
        }
        let number = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        since.as_secs_f64() / number(done) * number(ahead + 1)
    }

    /// Returns the time at which a request that waits is refused.
    fn give_up(&self, now: Time, ask: &PlacementRequest) -> Time {
        let work_s = self.work.get(&ask.route.name).map_or(0.0, |work| work.expected(true));
        let left_s = ask.deadline.since(now).as_secs_f64();
        let latest = now + Duration::from_secs_f64((left_s - work_s).max(0.0));
        let Some(objective) = ask.route.objective else { return latest };
        let objective_s = objective.as_secs_f64();
        let patience_s = (objective_s * WAIT_PART_MAX - work_s).max(objective_s * WAIT_PART_MIN);
        latest.min(ask.arrived + Duration::from_secs_f64(patience_s))
    }
}
