//! The choice of a target for one request.
//!
//! Requests for an object go to the same target from all hosts of a region, because a target is
//! several times faster with an object that it handled recently. A full target remains the choice
//! while waiting for it costs less than the slower run elsewhere.

use twox_hash::XxHash64;

use super::{
    PlacementRequest, ProcessingTime, TrackedTarget,
    paths::Paths,
    topology::{Proximity, Region, Topology},
    tracked_target::Turn,
    typical_load::TypicalLoad,
};
use crate::{clock::Time, id, steering::Crossing};

/// Cost of another region, in seconds: two crossings and expensive traffic. A request that the plan
/// diverts is charged the same cost at home instead.
const REGION_COST_S: f64 = 0.12;
/// Cost of another data centre of the region, in seconds.
const DATA_CENTRE_COST_S: f64 = 0.01;
/// Difference in cost, in seconds, from which the cost decides. Below it the rendezvous score does,
/// which is the same at all hosts.
const COST_STEP_S: f64 = 0.005;
/// Targets of one region that are considered, the highest scores first. If four in five targets are
/// full, one in two hundred requests finds no room among this many.
const CANDIDATES_MAX: usize = 24;

/// A target that may run a request.
pub(super) struct Candidate {
    pub target: id::Target,
    /// Rendezvous score for the object; the same at all hosts.
    score: u64,
    cost: f64,
    /// Whether it has room now.
    pub has_room: bool,
    /// Whether it is assumed to have handled the object recently.
    pub recent: bool,
    /// Whether `recent` is known; otherwise it only follows from the target being the object's
    /// first choice in its region.
    pub certain: bool,
    /// Expected wait for a slot, in seconds.
    pub wait_s: f64,
    /// Expected processing time, in seconds.
    pub processing_s: f64,
    /// Why the request would run in its region.
    pub crossing: Crossing,
}

/// What the host knows about a request's service.
pub(super) struct Context<'a> {
    pub targets: &'a mut [TrackedTarget],
    pub topology: &'a Topology,
    pub paths: &'a Paths,
    /// Whether one more request may overflow to another region.
    pub may_overflow: bool,
    /// Whether the plan diverts the request to another region.
    pub is_diverted: bool,
    /// Load of targets that have not reported lately.
    pub typical_load: &'a TypicalLoad,
    /// Connections that this host may have to one target.
    pub connections: u32,
    /// Time that the request may wait for a target that is full.
    pub wait_max_s: f64,
    pub processing_time: ProcessingTime,
}

/// Result of the search for a target.
#[derive(Default)]
pub(super) struct Choice {
    /// The target with the lowest cost: it has room, or is worth waiting for.
    pub best: Option<Candidate>,
    /// Whether any target could serve the request, now or later.
    pub has_eligible: bool,
    /// Shortest wait for a full target.
    pub least_wait_s: Option<f64>,
    /// Targets whose limit allows no request of this host now.
    next_turn: NextTurn,
    /// Whether a target is unavailable for another reason, and may become available.
    may_recover: bool,
    /// Shortest time until a target may be reached again.
    reachable_s: Option<f64>,
}

/// When this host may next send a request to a target with a limit.
#[derive(Default)]
struct NextTurn {
    /// Shortest wait for a turn; infinite if other hosts have all turns.
    wait_s: Option<f64>,
    rate_per_s: f64,
}

impl NextTurn {
    fn add(&mut self, wait_s: f64, rate_per_s: f64) {
        self.wait_s = Some(self.wait_s.map_or(wait_s, |least| least.min(wait_s)));
        self.rate_per_s += rate_per_s;
    }
}

impl Choice {
    /// Returns the wait for a turn at a target with a limit, in seconds, for a request with `ahead`
    /// others before it; `None` if no such target could serve it, or another target may become
    /// available first.
    pub(super) fn next_turn_s(&self, ahead: usize) -> Option<f64> {
        let wait_s = self.next_turn.wait_s?;
        if wait_s.is_infinite() {
            let may_recover = self.may_recover || self.reachable_s.is_some();
            return (!may_recover).then_some(wait_s);
        }
        Some(wait_s + ahead as f64 / self.next_turn.rate_per_s)
    }

    /// Returns the time until a target may be reached, in seconds, if all are out of reach now.
    pub(super) fn unreachable_s(&self) -> Option<f64> {
        let is_only_reason =
            self.least_wait_s.is_none() && self.next_turn.wait_s.is_none() && !self.may_recover;
        self.reachable_s.filter(|_| self.best.is_none() && is_only_reason)
    }

    fn add_unreachable(&mut self, wait_s: f64) {
        self.reachable_s = Some(self.reachable_s.map_or(wait_s, |least| least.min(wait_s)));
    }
}

/// A target that could serve the request.
struct Eligible {
    score: u64,
    index: usize,
    region: Region,
}

/// Chooses a target for a request.
pub(super) fn choose(now: Time, request: &PlacementRequest, context: Context<'_>) -> Choice {
    let eligible = eligible_targets(request, &context);
    let isolation = context.paths.isolation(now, context.topology);
    let unreachable_for = |target: &TrackedTarget| {
        let wait = isolation.filter(|_| context.paths.is_unlikely(&target.name));
        let wait = wait.unwrap_or_default();
        wait.max(target.load.back_off_left(now))
    };
    let is_reachable_in_region = |candidate: &Eligible| {
        let target = &context.targets[candidate.index];
        target.proximity != Proximity::Remote && unreachable_for(target).is_zero()
    };
    let is_region_unreachable = !eligible.iter().any(is_reachable_in_region);
    let may_cross = context.may_overflow || context.is_diverted || is_region_unreachable;
    let mut choice = Choice { has_eligible: !eligible.is_empty(), ..Choice::default() };
    let mut last_region = None;
    for Eligible { score, index, region } in eligible {
        // The first target in a region's order is the one that all its hosts choose for the object.
        let is_first = request.object.is_some() && last_region != Some(region);
        last_region = Some(region);
        let target = &mut context.targets[index];
        let crosses = target.proximity == Proximity::Remote;
        if crosses && !may_cross {
            continue;
        }
        let unreachable_for = unreachable_for(target);
        if !unreachable_for.is_zero() {
            choice.add_unreachable(unreachable_for.as_secs_f64());
            continue;
        }
        if !target.is_available(now, context.connections) {
            choice.may_recover = true;
            continue;
        }
        match target.turn(now) {
            Turn::Now => {}
            Turn::After { wait, rate_per_s } => {
                choice.next_turn.add(wait.as_secs_f64(), rate_per_s);
                continue;
            }
            Turn::Never => {
                choice.next_turn.add(f64::INFINITY, 0.0);
                continue;
            }
        }
        let has_object = request.object.is_some_and(|object| target.load.has_recent_object(object));
        let recent = is_first || has_object;
        let processing_s = context.processing_time.expected(recent);
        let load = target.load.read(now, context.typical_load.busy(target));
        let wait_s = target.wait_s(&load, context.processing_time.expected(true));
        let has_room = target.has_room(&load, recent || request.object.is_none());
        if !has_room {
            let least = choice.least_wait_s.unwrap_or(f64::INFINITY);
            choice.least_wait_s = Some(wait_s.min(least));
            if wait_s > context.wait_max_s {
                continue;
            }
        }
        let cost = target.cost(&load, wait_s, processing_s)
            + distance_cost_s(target.proximity, context.is_diverted);
        let is_better = |best: &Candidate| {
            let saving = best.cost - cost;
            saving > COST_STEP_S || (saving > -COST_STEP_S && score > best.score)
        };
        if choice.best.as_ref().is_none_or(is_better) {
            choice.best = Some(Candidate {
                target: target.name.clone(),
                score,
                cost,
                has_room,
                recent,
                certain: has_object || !is_first,
                wait_s,
                processing_s,
                crossing: match (crosses, context.is_diverted) {
                    (false, _) => Crossing::Home,
                    (true, true) => Crossing::Planned,
                    (true, false) => Crossing::Overflow,
                },
            });
        }
    }
    choice
}

/// Returns the targets to consider, by region and descending score.
fn eligible_targets(request: &PlacementRequest, context: &Context<'_>) -> Vec<Eligible> {
    // Without an object, the request's number spreads requests over targets of equal cost.
    let object = request.object.unwrap_or(request.number);
    let may_serve = |target: &TrackedTarget| {
        target.is_usable()
            && context.topology.is_allowed(target.region, &request.homes)
            && !request.tried.contains(&target.name)
    };
    let is_certain = |target: &TrackedTarget| may_serve(target) && !target.is_reported_leaving();
    let has_certain = context.targets.iter().any(is_certain);
    let candidates =
        context.targets.iter().enumerate().filter(|(_, target)| {
            may_serve(target) && (!has_certain || !target.is_reported_leaving())
        });
    let mut candidates: Vec<Eligible> = candidates
        .map(|(index, target)| Eligible {
            score: rendezvous_score(target.hash, object),
            index,
            region: target.region,
        })
        .collect();
    candidates
        .sort_unstable_by_key(|candidate| (candidate.region, std::cmp::Reverse(candidate.score)));
    let mut count = 0;
    let mut last_region = None;
    candidates.retain(|candidate| {
        count = if last_region == Some(candidate.region) { count + 1 } else { 1 };
        last_region = Some(candidate.region);
        count <= CANDIDATES_MAX
    });
    candidates
}

fn distance_cost_s(proximity: Proximity, is_diverted: bool) -> f64 {
    match (proximity, is_diverted) {
        (Proximity::DataCentre, false) => 0.0,
        (Proximity::Region, false) => DATA_CENTRE_COST_S,
        (Proximity::DataCentre | Proximity::Region, true) | (Proximity::Remote, false) => {
            REGION_COST_S
        }
        (Proximity::Remote, true) => 0.0,
    }
}

/// Returns the rendezvous score of a target for an object.
fn rendezvous_score(target: u64, object: u64) -> u64 {
    XxHash64::oneshot(target, &object.to_le_bytes())
}
