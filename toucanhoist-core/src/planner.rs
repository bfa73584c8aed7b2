/*!
Which regions serve which callers.

A [`Planner`] turns the configuration's room into a [`Plan`]: for each service and region of origin,
the part of the callers that use another region, and which. Each host plans on its own, and the same
from the same configuration. The parts move in steps: one step moves at most half of the shift cap (the
other half is left for requests between hosts), and no step follows before the interval has passed and
callers' cached look-ups have lapsed.
*/

use std::{collections::HashMap, time::Duration};

use twox_hash::XxHash64;

use crate::{
    catalog::{Catalog, Service},
    clock::Time,
    id,
};

/// Part of the shift cap that look-ups may use.
pub const LOOK_UP_SHARE: f64 = 0.5;
/// Parts that differ by less are the same.
const PART_EPSILON: f64 = 1e-9;

/// Which regions callers use, by service and region of origin.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    services: HashMap<id::Service, Vec<Origin>>,
}

/// Where callers of one region go.
#[derive(Clone, Debug, PartialEq)]
struct Origin {
    region: id::Region,
    /// Part of the service's slots that the region has when nothing drains.
    size: f64,
    /// Regions that the callers use, their own included; the parts add up to 1.
    parts: Vec<Part>,
}

#[derive(Clone, Debug, PartialEq)]
struct Part {
    region: id::Region,
    part: f64,
}

impl Origin {
    fn part(&self, region: &id::Region) -> f64 {
        let found = self.parts.iter().find(|part| part.region == *region);
        found.map_or(0.0, |part| part.part)
    }
}

impl Plan {
    /// Returns the region that callers of a client block use, if not their own.
    ///
    /// The region is drawn by weighted rendezvous hashing, so that a change of the parts moves few
    /// more blocks than it must.
    pub fn region(
        &self,
        service: &id::Service,
        home: &id::Region,
        block: u64,
    ) -> Option<&id::Region> {
        let origin = self.origin(service, home)?;
        if origin.part(home) >= 1.0 {
            return None;
        }
        let key = |part: &&Part| {
            let drawn = uniform(XxHash64::oneshot(block, part.region.as_str().as_bytes()));
            -drawn.max(f64::MIN_POSITIVE).ln() / part.part
        };
        let used = origin.parts.iter().filter(|part| part.part > 0.0);
        let least = used.min_by(|a, b| key(a).total_cmp(&key(b)))?;
        (least.region != *home).then_some(&least.region)
    }

    /// Returns the part of a region's callers that use a region for a service.
    pub fn share(&self, service: &id::Service, home: &id::Region, region: &id::Region) -> f64 {
        let unplanned = if home == region { 1.0 } else { 0.0 };
        self.origin(service, home).map_or(unplanned, |origin| origin.part(region))
    }

    /// Returns the services for which some callers use another region than their own.
    pub fn diverted_services(&self) -> impl Iterator<Item = &id::Service> {
        let stays = |origin: &Origin| origin.part(&origin.region) >= 1.0;
        let moving = self.services.iter().filter(move |(_, origins)| !origins.iter().all(stays));
        moving.map(|(name, _)| name)
    }

    fn origin(&self, service: &id::Service, home: &id::Region) -> Option<&Origin> {
        let origins = self.services.get(service)?;
        origins.iter().find(|origin| origin.region == *home)
    }
}

/// Plans in steps.
#[derive(Debug, Default)]
pub struct Planner {
    plan: Plan,
    stepped: HashMap<id::Service, Time>,
    started: bool,
}

impl Planner {
    /// Takes the next step towards the configuration; returns the plan and whether it has changed.
    ///
    /// A process that has just started takes the whole way: other hosts have gone it already.
    pub fn update(&mut self, now: Time, catalog: &Catalog) -> (&Plan, bool) {
        let before = self.plan.clone();
        let defaults = &catalog.fleet().defaults;
        let pause = defaults.shift_interval.as_duration() + defaults.lookup_max_age.as_duration();
        self.plan.services.retain(|name, _| catalog.service(name).is_some());
        for service in catalog.services() {
            let aims = aims(catalog, service);
            let origins = self.plan.services.remove(&service.name).unwrap_or_default();
            let next = match self.started && !origins.is_empty() {
                true => self.step(now, service, &origins, aims, pause),
                false => aims,
            };
            self.plan.services.insert(service.name.clone(), next);
        }
        self.started |= catalog.revision() > id::Revision::default();
        let changed = self.plan != before;
        (&self.plan, changed)
    }

    /// Moves the parts towards `aims` by one step, if its time has come.
    fn step(
        &mut self,
        now: Time,
        service: &Service,
        origins: &[Origin],
        mut aims: Vec<Origin>,
        pause: Duration,
    ) -> Vec<Origin> {
        let from = |home: &id::Region, region: &id::Region| {
            let found = origins.iter().find(|origin| origin.region == *home);
            found.map_or(0.0, |origin| origin.part(region))
        };
        let way = |aim: &Origin| -> f64 {
            let ways = aim.parts.iter().map(|p| (p.part - from(&aim.region, &p.region)).abs());
            ways.sum::<f64>() * aim.size
        };
        let whole: f64 = aims.iter().map(way).sum();
        let waits = self.stepped.get(&service.name).is_some_and(|&last| now.since(last) < pause);
        let part = match whole > PART_EPSILON {
            true if waits => 0.0,
            true => (service.shift_cap * LOOK_UP_SHARE / whole).min(1.0),
            false => 1.0,
        };
        if part > 0.0 && whole > PART_EPSILON {
            self.stepped.insert(service.name.clone(), now);
        }
        for aim in &mut aims {
            for to in &mut aim.parts {
                let from = from(&aim.region, &to.region);
                to.part = from + (to.part - from) * part;
            }
        }
        aims
    }
}

/// Returns where callers go once all steps are taken: what a region has lost of its slots goes to the
/// others, by the slots that they have.
fn aims(catalog: &Catalog, service: &Service) -> Vec<Origin> {
    let slots = |region: &id::Region, draining: bool| -> u32 {
        let inside =
            service.targets.iter().filter(|t| catalog.region(&t.data_centre) == Some(region));
        inside.filter(|t| draining || !t.draining).map(|t| t.slots).sum()
    };
    let regions = catalog.fleet().regions.iter().map(|region| &region.name);
    let all: u32 = regions.clone().map(|region| slots(region, true)).sum();
    let origin = |home: &id::Region| {
        let configured = slots(home, true);
        let elsewhere: u32 = regions.clone().filter(|r| *r != home).map(|r| slots(r, false)).sum();
        let lost = match configured > 0 && elsewhere > 0 {
            true => 1.0 - f64::from(slots(home, false)) / f64::from(configured),
            false => 0.0,
        };
        let part = |region: &id::Region| Part {
            region: region.clone(),
            part: match region == home {
                true => 1.0 - lost,
                false => lost * f64::from(slots(region, false)) / f64::from(elsewhere.max(1)),
            },
        };
        Origin {
            region: home.clone(),
            size: f64::from(configured) / f64::from(all.max(1)),
            parts: regions.clone().map(part).collect(),
        }
    };
    regions.clone().map(origin).collect()
}

/// Returns a number from 0 to 1 that stands for a hash.
#[allow(clippy::cast_precision_loss, reason = "the upper bits of a hash are enough")]
fn uniform(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
