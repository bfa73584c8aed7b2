//! One service at one host: its targets, waiting requests and learned times.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::{
    Attempt, ColdLimit, Placement, PlacementRequest, ProcessingTime, Refused, RetryBudget,
    ServiceTerms, Settings, Ticket,
    choice::{self, Candidate, Choice, Context},
    paths::Paths,
    split::{self, Split, Supply},
    topology::Topology,
    tracked_target::TrackedTarget,
    typical_load::TypicalLoad,
};
use crate::{
    clock::Time,
    id,
    room::shift::Shift,
    steering::{Crossing, Outcome},
};

/// Requests that may wait for one service at one host; more could not be served in time.
const WAITING_MAX: usize = 64;
/// Share of the objective for which a request may wait in any case.
const WAIT_SHARE_MIN: f64 = 0.25;
/// Share of the objective by which a waiting request is expected to have ended; the rest is a
/// margin for slow requests.
const WAIT_SHARE_MAX: f64 = 0.8;
/// Bounds of the time after which a refused caller may retry.
pub(super) const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);
/// Number of completions from which the throughput of a service is estimated.
const COMPLETIONS_MAX: usize = 32;
const COMPLETIONS_MIN: usize = 4;

#[derive(Debug)]
pub(super) struct Service {
    pub terms: Option<ServiceTerms>,
    pub targets: Vec<TrackedTarget>,
    waiting: Vec<PlacementRequest>,
    processing_times: HashMap<Box<str>, ProcessingTime>,
    retries: RetryBudget,
    shift: Shift,
    split: Split,
    /// Planned share of the requests for other regions; `None` after one of its inputs has changed.
    planned: Option<f64>,
    completions: VecDeque<Time>,
    /// Whether a request has ended since the last decision on waiting requests.
    has_freed_slot: bool,
    typical_load: TypicalLoad,
}

impl Service {
    pub(super) fn new(now: Time, restarted: Option<Time>) -> Service {
        Service {
            terms: None,
            targets: Vec::new(),
            waiting: Vec::new(),
            processing_times: HashMap::new(),
            retries: RetryBudget::new(restarted),
            shift: Shift::new(now),
            split: Split::default(),
            planned: None,
            completions: VecDeque::new(),
            has_freed_slot: false,
            typical_load: TypicalLoad::default(),
        }
    }

    /// Records that targets, hosts or evacuations have changed.
    pub(super) fn replan(&mut self) {
        self.planned = None;
    }

    pub(super) fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Whether requests wait, and one has ended since the last decision on them.
    pub(super) fn has_freed_capacity(&self) -> bool {
        self.has_freed_slot && self.is_waiting()
    }

    pub(super) fn target_mut(&mut self, name: &id::Target) -> Option<&mut TrackedTarget> {
        self.targets.iter_mut().find(|target| target.name == *name)
    }

    /// Removes a target.
    pub(super) fn remove(&mut self, name: &id::Target) -> Option<TrackedTarget> {
        let index = self.targets.iter().position(|target| target.name == *name)?;
        self.replan();
        Some(self.targets.swap_remove(index))
    }

    pub(super) fn insert(
        &mut self,
        settings: &Settings,
        topology: &Topology,
        target: TrackedTarget,
    ) {
        self.targets.push(target);
        self.replan();
        let index = self.targets.len() - 1;
        self.set_cold_share(settings, topology, index);
    }

    /// Counts the targets of a data centre as cold, since its evacuation has ended.
    pub(super) fn set_cold(&mut self, now: Time, data_centre: &id::DataCentre) {
        let cold_time = self.terms.as_ref().map_or(Duration::ZERO, |terms| terms.cold_time);
        let targets =
            self.targets.iter_mut().filter(|target| target.entry.data_centre == *data_centre);
        targets.for_each(|target| target.extend_cold(now, cold_time));
    }

    /// Sets the host's share of the rate that each cold target tolerates.
    pub(super) fn set_cold_shares(&mut self, settings: &Settings, topology: &Topology) {
        (0..self.targets.len()).for_each(|index| self.set_cold_share(settings, topology, index));
    }

    /// Sets the host's place among those that share the limit of each target.
    pub(super) fn set_limit_places(&mut self, now: Time, topology: &Topology) {
        self.targets.iter_mut().for_each(|target| target.set_limit_place(now, topology));
    }

    fn set_cold_share(&mut self, settings: &Settings, topology: &Topology, index: usize) {
        let Some(terms) = &self.terms else { return };
        let rate = terms.cold_rate * settings.cold_factor + settings.cold_extra;
        let target = &mut self.targets[index];
        // The others divide the whole rate among themselves until they know of this host.
        target.cold_share = match topology.is_registered() {
            true => ColdLimit::share(rate, topology.rank(&target.name), topology.host_count()),
            false => 0,
        };
    }

    /// Adds a request, which waits until [`Service::serve`] decides on it. Returns `false` if the
    /// retry budget is used up.
    pub(super) fn admit(
        &mut self,
        now: Time,
        settings: &Settings,
        topology: &Topology,
        request: PlacementRequest,
    ) -> bool {
        match request.attempt {
            Attempt::First => {
                self.retries.request(now, &settings.retries);
                self.shift.arrive(now, settings.shift_interval, settings.overflow_cap());
                self.follow_plan(now, settings, topology);
            }
            Attempt::Unsent => {}
            Attempt::Retry if self.retries.take(now, &settings.retries, topology.host_count()) => {}
            Attempt::Retry => return false,
        }
        let position = self.waiting.iter().position(|other| other.priority > request.priority);
        self.waiting.insert(position.unwrap_or(self.waiting.len()), request);
        true
    }

    fn follow_plan(&mut self, now: Time, settings: &Settings, topology: &Topology) {
        let Some(hosts) = topology.hosts_by_region() else { return };
        let planned = *self.planned.get_or_insert_with(|| {
            let mut supplies: Vec<Supply> =
                hosts.iter().map(|&hosts| Supply { slots: 0, hosts }).collect();
            for target in self.targets.iter().filter(|target| target.is_usable()) {
                supplies[target.region.0].slots += u64::from(target.entry.slots);
            }
            split::planned_share(&supplies, topology.region())
        });
        self.split.follow(now, planned, settings.shift_interval, settings.plan_cap());
    }

    pub(super) fn cancel(&mut self, number: u64) {
        self.waiting.retain(|request| request.number != number);
    }

    /// Records how a request ended at its target.
    pub(super) fn end(&mut self, now: Time, paths: &mut Paths, ticket: &Ticket, outcome: Outcome) {
        self.has_freed_slot = true;
        let target = self.targets.iter_mut().find(|target| target.name == ticket.target);
        if let Some(target) = target {
            target.load.end();
            if target.entry.address == ticket.address {
                let is_path_whole = paths.record_outcome(now, ticket, &target.entry, outcome);
                target.record_outcome(now, ticket, outcome, is_path_whole);
            }
            self.typical_load.learn(now, target);
            if target.misdirected {
                self.replan();
            }
        }
        if self.completions.len() == COMPLETIONS_MAX {
            self.completions.pop_front();
        }
        self.completions.push_back(now);
        if let Outcome::Answered { took, failed: false, .. } = outcome {
            if ticket.is_timing_valid {
                if let Some(processing_time) = self.processing_times.get_mut(&ticket.route) {
                    processing_time.learn(ticket.recent, took);
                }
            }
        }
    }

    /// Decides on the waiting requests, the most urgent first.
    pub(super) fn serve(
        &mut self,
        now: Time,
        settings: &Settings,
        topology: &Topology,
        paths: &Paths,
    ) -> Vec<(u64, Placement)> {
        self.has_freed_slot = false;
        for target in &mut self.targets {
            target.queued = 0;
        }
        let mut decided = Vec::new();
        let mut kept = Vec::new();
        for request in std::mem::take(&mut self.waiting) {
            match self.decide(now, settings, topology, paths, &request, kept.len()) {
                Some(placement) => decided.push((request.number, placement)),
                None => kept.push(request),
            }
        }
        self.waiting = kept;
        decided
    }

    /// Decides on one request with `ahead` requests waiting before it; `None` if it keeps waiting.
    fn decide(
        &mut self,
        now: Time,
        settings: &Settings,
        topology: &Topology,
        paths: &Paths,
        request: &PlacementRequest,
        ahead: usize,
    ) -> Option<Placement> {
        let refuse = |reason, wait_s: f64| {
            let wait = Duration::from_secs_f64(wait_s.clamp(0.0, RETRY_AFTER_MAX.as_secs_f64()));
            Some(Placement::Refuse { reason, retry_after: wait.max(RETRY_AFTER_MIN) })
        };
        let wait_max_s = self.give_up_at(now, request).since(now).as_secs_f64();
        let choice = self.choose(now, settings, topology, paths, request, wait_max_s);
        if !choice.has_eligible {
            return refuse(Refused::NoTarget, 0.0);
        }
        if let Some(wait_s) = choice.unreachable_s() {
            if wait_s >= wait_max_s || paths.is_cut_off() {
                return refuse(Refused::Unreachable, wait_s);
            }
        }
        let Some(best) = choice.best else {
            if let Some(turn_s) = choice.next_turn_s(ahead) {
                if turn_s < wait_max_s && ahead < WAITING_MAX {
                    return None;
                }
                if choice.least_wait_s.is_none_or(|wait_s| turn_s < wait_s) {
                    return refuse(Refused::Limited, turn_s);
                }
            }
            let wait_s = choice.least_wait_s.unwrap_or_else(|| self.expected_wait_s(now, ahead));
            let hopeless = choice.least_wait_s.is_some() || wait_s >= wait_max_s;
            return if hopeless { refuse(Refused::NoRoom, wait_s) } else { None };
        };
        let left_s = request.deadline.since(now).as_secs_f64();
        if best.wait_s > 0.0 && best.wait_s + best.processing_s > left_s {
            return refuse(Refused::NoRoom, best.wait_s);
        }
        if best.has_room {
            return Some(Placement::Send(self.send(now, settings, paths, request, best)));
        }
        if wait_max_s <= 0.0 || ahead >= WAITING_MAX {
            return refuse(Refused::NoRoom, best.wait_s);
        }
        if let Some(target) = self.target_mut(&best.target) {
            target.queued += 1;
        }
        None
    }

    fn choose(
        &mut self,
        now: Time,
        settings: &Settings,
        topology: &Topology,
        paths: &Paths,
        request: &PlacementRequest,
        wait_max_s: f64,
    ) -> Choice {
        let hosts = u32::try_from(topology.host_count()).unwrap_or(u32::MAX);
        let processing_time = self.processing_times.entry(request.route.name.clone());
        let processing_time =
            *processing_time.or_insert_with(|| ProcessingTime::new(request.route.objective));
        let terms = self.terms.as_ref();
        let connections = terms.map_or(u32::MAX, |terms| (terms.connections_max / hosts).max(2));
        let cap = settings.overflow_cap();
        let context = Context {
            may_overflow: self.shift.may_cross(now, settings.shift_interval, cap),
            is_diverted: self.split.is_diverted(request.object.unwrap_or(request.number)),
            targets: &mut self.targets,
            topology,
            paths,
            typical_load: &self.typical_load,
            connections,
            wait_max_s,
            processing_time,
        };
        choice::choose(now, request, context)
    }

    fn send(
        &mut self,
        now: Time,
        settings: &Settings,
        paths: &Paths,
        request: &PlacementRequest,
        best: Candidate,
    ) -> Ticket {
        if best.crossing == Crossing::Overflow {
            self.shift.cross(settings.overflow_cap());
        }
        let found = self.targets.iter_mut().find(|target| target.name == best.target);
        let target = found.expect("a candidate is a known target");
        let busy = target.load.busy(now, self.typical_load.busy(target));
        target.send(now);
        Ticket {
            number: request.number,
            fresh_after: paths.fresh_after(&best.target),
            via: None,
            target: best.target,
            address: target.entry.address,
            service: request.service.clone(),
            route: request.route.name.clone(),
            object: request.object,
            crossing: best.crossing,
            recent: best.recent,
            sent: now,
            expected_s: best.processing_s,
            busy,
            limit: target.limit(),
            limit_version: target.limit_version(),
            born: target.entry.born,
            gate: target.gate(),
            is_timing_valid: best.certain
                && busy < f64::from(target.entry.slots)
                && !target.is_cold(now),
        }
    }

    /// Returns the seconds until a request is expected to find room, with `ahead` requests before
    /// it.
    fn expected_wait_s(&self, now: Time, ahead: usize) -> f64 {
        let completed = self.completions.len();
        let since = self.completions.front().map_or(Duration::ZERO, |&first| now.since(first));
        if completed < COMPLETIONS_MIN || since.is_zero() {
            return 0.0;
        }
        let number = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        since.as_secs_f64() / number(completed) * number(ahead + 1)
    }

    /// Returns the time at which a request that waits is refused.
    fn give_up_at(&self, now: Time, request: &PlacementRequest) -> Time {
        let processing_s =
            self.processing_times.get(&request.route.name).map_or(0.0, |time| time.expected(true));
        let left_s = request.deadline.since(now).as_secs_f64();
        let latest = now + Duration::from_secs_f64((left_s - processing_s).max(0.0));
        let Some(objective) = request.route.objective else { return latest };
        let objective_s = objective.as_secs_f64();
        let wait_s =
            (objective_s * WAIT_SHARE_MAX - processing_s).max(objective_s * WAIT_SHARE_MIN);
        latest.min(request.arrived + Duration::from_secs_f64(wait_s))
    }
}
