//! The choice of a target for one request.
//!
//! Requests for an object go to the same target from all hosts of a region, because a target is several
//! times faster with an object that it handled recently. A target that is full stays the choice while
//! waiting for it costs less than the slower run elsewhere.

use twox_hash::XxHash64;

use super::{
    Known, PlacementRequest, ProcessingTime,
    fleet::{Fleet, Near, Region},
    usual::Usual,
};
use crate::{clock::Time, id, steering::Crossing};

/// Seconds that a request to another region counts longer: two crossings, and dear bytes. One that is
/// to be served elsewhere by plan counts as much longer at home.
const REGION_COST_S: f64 = 0.12;
/// Seconds that a request to another data centre of the region counts longer.
const DATA_CENTRE_COST_S: f64 = 0.01;
/// Seconds by which costs must differ to decide; below, the order that all hosts share does.
const COST_STEP_S: f64 = 0.005;
/// Targets of one region that are looked at, the first in the object's order. With four in five full,
/// one in two hundred requests finds no room among so many.
const CHOICES: usize = 24;

/// A target that may run a request.
pub(super) struct Candidate {
    pub target: id::Target,
    /// Place in the order that all hosts share for the object.
    score: u64,
    cost: f64,
    /// Whether it has room now.
    pub has_room: bool,
    /// Whether it is taken to have handled the object recently, and whether that is certain.
    pub recent: bool,
    pub certain: bool,
    /// Time that the request is expected to wait there, and to take.
    pub wait_s: f64,
    pub work_s: f64,
    /// Why the request would run in its region.
    pub crossing: Crossing,
}

/// What the host knows of a request's service.
pub(super) struct View<'a> {
    pub targets: &'a mut [Known],
    pub fleet: &'a Fleet,
    /// Whether one more request may overflow to another region.
    pub may_overflow: bool,
    /// Whether another region is to serve it by plan.
    pub is_away: bool,
    /// How busy targets are of which nothing is known.
    pub usual: &'a Usual,
    /// Connections that this host may have to one target.
    pub connections: u32,
    /// Time that the request may wait for a target that is full.
    pub wait_max_s: f64,
    pub work: ProcessingTime,
}

/// What was found for a request.
#[derive(Default)]
pub(super) struct Choice {
    /// The target with the least cost: it has room, or is worth waiting for.
    pub best: Option<Candidate>,
    /// Whether any target could serve the request at some time.
    pub usable: bool,
    /// Shortest time until a target that is full has room.
    pub least_wait_s: Option<f64>,
}

/// A target that could serve the request.
struct Usable {
    score: u64,
    at: usize,
    region: Region,
}

/// Chooses a target for a request.
pub(super) fn choose(now: Time, ask: &PlacementRequest, view: View<'_>) -> Choice {
    let usable = usable(ask, &view);
    let is_reached_near = |found: &Usable| {
        let known = &view.targets[found.at];
        known.near != Near::Away && !known.load.is_backing_off(now)
    };
    let is_alone = !usable.iter().any(is_reached_near);
    let may_cross = view.may_overflow || view.is_away || is_alone;
    let mut choice = Choice { usable: !usable.is_empty(), ..Choice::default() };
    let mut last_region = None;
    for Usable { score, at, region } in usable {
        // The first in a region's order is the one that all its hosts choose for the object.
        let is_first = ask.object.is_some() && last_region != Some(region);
        last_region = Some(region);
        let known = &mut view.targets[at];
        let crosses = known.near == Near::Away;
        if (crosses && !may_cross) || !known.is_open(now, view.connections) {
            continue;
        }
        let remembers = ask.object.is_some_and(|object| known.load.has_recent_object(object));
        let recent = is_first || remembers;
        let work_s = view.work.expected(recent);
        let load = known.load.read(now, view.usual.busy(known));
        let wait_s = known.wait_s(&load, view.work.expected(true));
        let has_room = known.has_room(&load, recent || ask.object.is_none());
        if !has_room {
            let least = choice.least_wait_s.unwrap_or(f64::INFINITY);
            choice.least_wait_s = Some(wait_s.min(least));
            if wait_s > view.wait_max_s {
                continue;
            }
        }
        let cost = known.cost(&load, wait_s, work_s) + distance(known.near, view.is_away);
        let is_better = |best: &Candidate| {
            let less = best.cost - cost;
            less > COST_STEP_S || (less > -COST_STEP_S && score > best.score)
        };
        if choice.best.as_ref().is_none_or(is_better) {
            choice.best = Some(Candidate {
                target: known.name.clone(),
                score,
                cost,
                has_room,
                recent,
                certain: remembers || !is_first,
                wait_s,
                work_s,
                crossing: match (crosses, view.is_away) {
                    (false, _) => Crossing::Home,
                    (true, true) => Crossing::Planned,
                    (true, false) => Crossing::Overflow,
                },
            });
        }
    }
    choice
}

/// Returns the targets to look at, by region and in the object's order.
fn usable(ask: &PlacementRequest, view: &View<'_>) -> Vec<Usable> {
    // Without an object, the request's number spreads those of equal cost.
    let object = ask.object.unwrap_or(ask.number);
    let may_serve = |known: &Known| {
        known.is_usable()
            && view.fleet.is_among(known.region, &ask.homes)
            && !ask.tried.contains(&known.name)
    };
    let found = view.targets.iter().enumerate().filter(|(_, known)| may_serve(known));
    let mut found: Vec<Usable> = found
        .map(|(at, known)| Usable { score: mix(known.hash, object), at, region: known.region })
        .collect();
    found.sort_unstable_by_key(|found| (found.region, std::cmp::Reverse(found.score)));
    let mut count = 0;
    let mut last_region = None;
    found.retain(|found| {
        count = if last_region == Some(found.region) { count + 1 } else { 1 };
        last_region = Some(found.region);
        count <= CHOICES
    });
    found
}

fn distance(near: Near, is_away: bool) -> f64 {
    match (near, is_away) {
        (Near::DataCentre, false) => 0.0,
        (Near::Region, false) => DATA_CENTRE_COST_S,
        (Near::DataCentre | Near::Region, true) | (Near::Away, false) => REGION_COST_S,
        (Near::Away, true) => 0.0,
    }
}

/// Returns the rendezvous score of a target for an object.
fn mix(target: u64, object: u64) -> u64 {
    XxHash64::oneshot(target, &object.to_le_bytes())
}
