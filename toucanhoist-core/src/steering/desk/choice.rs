//! The choice of a target for one request.
//!
//! Requests for an object go to the same target from all hosts of a region, because a target is several
//! times faster with an object that it handled recently. A target that is full stays the choice while
//! waiting for it costs less than the slower run elsewhere.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use twox_hash::XxHash64;

use super::{Ask, Known, Work};
use crate::{clock::Time, id, steering::TargetState};

/// Seconds that a request to another region counts longer: two crossings, and dear bytes.
const REGION_COST_S: f64 = 0.12;
/// Seconds that a request to another data centre of the region counts longer.
const DATA_CENTRE_COST_S: f64 = 0.01;
/// Seconds by which costs must differ to decide; below, the order that all hosts share does.
const COST_STEP_S: f64 = 0.005;

/// A target that may run a request.
pub(super) struct Candidate {
    pub name: id::Target,
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
    /// Whether it is in another region than the host.
    pub crosses: bool,
}

/// What the host knows of a request's service.
pub(super) struct View<'a> {
    pub targets: &'a [id::Target],
    pub known: &'a mut HashMap<id::Target, Known>,
    pub regions: &'a BTreeMap<id::DataCentre, id::Region>,
    pub evacuated: &'a BTreeSet<id::DataCentre>,
    pub data_centre: &'a id::DataCentre,
    pub region: Option<&'a id::Region>,
    /// Whether one more request may go to another region.
    pub may_cross: bool,
    /// Connections that this host may have to one target.
    pub connections: u32,
    /// Time that the request may wait for a target that is full.
    pub wait_max_s: f64,
    pub work: Work,
}

/// What was found for a request.
pub(super) struct Choice {
    /// The target with the least cost: it has room, or is worth waiting for.
    pub best: Option<Candidate>,
    /// Whether any target could serve the request at some time.
    pub usable: bool,
    /// Shortest time until a target that is full has room.
    pub least_wait_s: Option<f64>,
}

/// Chooses a target for a request.
pub(super) fn choose(now: Time, ask: &Ask, view: View<'_>) -> Choice {
    let mut first: HashMap<Option<&id::Region>, u64> = HashMap::new();
    let mut allowed: Vec<(&id::Target, u64)> = Vec::new();
    for name in view.targets {
        let Some(known) = view.known.get(name) else { continue };
        let region = view.regions.get(&known.target.data_centre);
        let is_home = ask.homes.is_empty() || region.is_some_and(|r| ask.homes.contains(r));
        let is_usable = known.target.state == TargetState::Ready
            && !known.misdirected
            && !view.evacuated.contains(&known.target.data_centre);
        if !is_usable || !is_home || ask.tried.contains(name) {
            continue;
        }
        // Without an object, the request's number spreads those of equal cost.
        let score = mix(known.hash, ask.object.unwrap_or(ask.number));
        let best = first.entry(region).or_default();
        *best = score.max(*best);
        allowed.push((name, score));
    }
    let mut choice = Choice { best: None, usable: !allowed.is_empty(), least_wait_s: None };
    for (name, score) in allowed {
        let Some(known) = view.known.get_mut(name) else { continue };
        let region = view.regions.get(&known.target.data_centre);
        let crosses = region != view.region;
        if (crosses && !view.may_cross) || !known.is_open(now, view.connections) {
            continue;
        }
        let is_first = ask.object.is_some() && first.get(&region) == Some(&score);
        let remembers = ask.object.is_some_and(|object| known.load.remembers(object));
        let recent = is_first || remembers;
        let work_s = view.work.expected(recent);
        let wait_s = known.wait_s(now, view.work.expected(true));
        let has_room = known.has_room(now, recent || ask.object.is_none());
        if !has_room {
            let least = choice.least_wait_s.unwrap_or(f64::INFINITY);
            choice.least_wait_s = Some(wait_s.min(least));
            if wait_s > view.wait_max_s {
                continue;
            }
        }
        let mut cost = known.cost(now, wait_s, work_s);
        if crosses {
            cost += REGION_COST_S;
        } else if known.target.data_centre != *view.data_centre {
            cost += DATA_CENTRE_COST_S;
        }
        let is_better = |best: &Candidate| {
            let less = best.cost - cost;
            less > COST_STEP_S || (less > -COST_STEP_S && score > best.score)
        };
        if choice.best.as_ref().is_none_or(is_better) {
            choice.best = Some(Candidate {
                name: name.clone(),
                score,
                cost,
                has_room,
                recent,
                certain: remembers || !is_first,
                wait_s,
                work_s,
                crosses,
            });
        }
    }
    choice
}

/// Returns the rendezvous score of a target for an object.
fn mix(target: u64, object: u64) -> u64 {
    XxHash64::oneshot(target, &object.to_le_bytes())
}
