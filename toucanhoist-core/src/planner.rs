/*!
Which regions serve which callers.

A [`Planner`] derives a [`Plan`] from the capacity in the configuration: for each service and region
of origin, the share of the callers that use another region, and which one. Each host plans on its
own, and reaches the same plan from the same configuration. The shares move in steps. One step moves
at most half of the shift cap, since the other half is left for requests that hosts forward. The next
step follows only after the interval has passed and callers' cached look-ups have expired.
*/

use std::{collections::HashMap, time::Duration};

use twox_hash::XxHash64;

use crate::{
    catalog::{Catalog, Service},
    clock::Time,
    id,
};

/// Share of the shift cap that look-ups may use.
pub const LOOK_UP_SHARE: f64 = 0.5;
/// Difference below which shares are equal.
const SHARE_EPSILON: f64 = 1e-9;

/// Which regions callers use, by service and region of origin.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    services: HashMap<id::Service, Vec<Origin>>,
}

/// Regions that the callers of one region use.
#[derive(Clone, Debug, PartialEq)]
struct Origin {
    region: id::Region,
    /// Share of the service's slots that the region has when nothing drains.
    size: f64,
    /// Regions that the callers use, including their own; the shares add up to 1.
    shares: Vec<RegionShare>,
}

#[derive(Clone, Debug, PartialEq)]
struct RegionShare {
    region: id::Region,
    share: f64,
}

impl Origin {
    fn share(&self, region: &id::Region) -> f64 {
        let found = self.shares.iter().find(|entry| entry.region == *region);
        found.map_or(0.0, |entry| entry.share)
    }
}

impl Plan {
    /// Returns the region that callers of a client block use, if it is not their own.
    ///
    /// The region is selected by weighted rendezvous hashing, so that a change of the shares moves
    /// few more blocks than necessary.
    pub fn region(
        &self,
        service: &id::Service,
        home: &id::Region,
        block: u64,
    ) -> Option<&id::Region> {
        let origin = self.origin(service, home)?;
        if origin.share(home) >= 1.0 {
            return None;
        }
        let key = |entry: &&RegionShare| {
            let point = uniform(XxHash64::oneshot(block, entry.region.as_str().as_bytes()));
            -point.max(f64::MIN_POSITIVE).ln() / entry.share
        };
        let used = origin.shares.iter().filter(|entry| entry.share > 0.0);
        let least = used.min_by(|a, b| key(a).total_cmp(&key(b)))?;
        (least.region != *home).then_some(&least.region)
    }

    /// Returns the share of a region's callers that use a region for a service.
    pub fn share(&self, service: &id::Service, home: &id::Region, region: &id::Region) -> f64 {
        let unplanned = if home == region { 1.0 } else { 0.0 };
        self.origin(service, home).map_or(unplanned, |origin| origin.share(region))
    }

    /// Returns the services for which some callers use another region than their own.
    pub fn diverted_services(&self) -> impl Iterator<Item = &id::Service> {
        let is_undiverted = |origin: &Origin| origin.share(&origin.region) >= 1.0;
        let diverted =
            self.services.iter().filter(move |(_, origins)| !origins.iter().all(is_undiverted));
        diverted.map(|(name, _)| name)
    }

    fn origin(&self, service: &id::Service, home: &id::Region) -> Option<&Origin> {
        let origins = self.services.get(service)?;
        origins.iter().find(|origin| origin.region == *home)
    }
}

/// Moves a plan step by step towards the configuration.
#[derive(Debug, Default)]
pub struct Planner {
    plan: Plan,
    last_steps: HashMap<id::Service, Time>,
    started: bool,
}

impl Planner {
    /// Takes the next step; returns the plan and whether it has changed.
    ///
    /// A process that has just started applies the configuration at once, since other hosts have
    /// taken the steps already.
    pub fn update(&mut self, now: Time, catalog: &Catalog) -> (&Plan, bool) {
        let before = self.plan.clone();
        let defaults = &catalog.fleet().defaults;
        let pause = defaults.shift_interval.as_duration() + defaults.lookup_max_age.as_duration();
        self.plan.services.retain(|name, _| catalog.service(name).is_some());
        for service in catalog.services() {
            let desired = desired_origins(catalog, service);
            let origins = self.plan.services.remove(&service.name).unwrap_or_default();
            let next = match self.started && !origins.is_empty() {
                true => self.step(now, service, &origins, desired, pause),
                false => desired,
            };
            self.plan.services.insert(service.name.clone(), next);
        }
        self.started |= catalog.revision() > id::Revision::default();
        let changed = self.plan != before;
        (&self.plan, changed)
    }

    /// Moves the shares towards `desired` by one step, if the next step is due.
    fn step(
        &mut self,
        now: Time,
        service: &Service,
        origins: &[Origin],
        mut desired: Vec<Origin>,
        pause: Duration,
    ) -> Vec<Origin> {
        let from = |home: &id::Region, region: &id::Region| {
            let found = origins.iter().find(|origin| origin.region == *home);
            found.map_or(0.0, |origin| origin.share(region))
        };
        let distance = |origin: &Origin| -> f64 {
            let changes =
                origin.shares.iter().map(|p| (p.share - from(&origin.region, &p.region)).abs());
            changes.sum::<f64>() * origin.size
        };
        let remaining: f64 = desired.iter().map(distance).sum();
        let is_too_early =
            self.last_steps.get(&service.name).is_some_and(|&last| now.since(last) < pause);
        let fraction = match remaining > SHARE_EPSILON {
            true if is_too_early => 0.0,
            true => (service.shift_cap * LOOK_UP_SHARE / remaining).min(1.0),
            false => 1.0,
        };
        if fraction > 0.0 && remaining > SHARE_EPSILON {
            self.last_steps.insert(service.name.clone(), now);
        }
        for origin in &mut desired {
            for to in &mut origin.shares {
                let from = from(&origin.region, &to.region);
                to.share = from + (to.share - from) * fraction;
            }
        }
        desired
    }
}

/// Returns the plan after all steps: slots that a region has lost are replaced by those of other
/// regions, in proportion to the slots that they have.
fn desired_origins(catalog: &Catalog, service: &Service) -> Vec<Origin> {
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
        let share = |region: &id::Region| RegionShare {
            region: region.clone(),
            share: match region == home {
                true => 1.0 - lost,
                false => lost * f64::from(slots(region, false)) / f64::from(elsewhere.max(1)),
            },
        };
        Origin {
            region: home.clone(),
            size: f64::from(configured) / f64::from(all.max(1)),
            shares: regions.clone().map(share).collect(),
        }
    };
    regions.clone().map(origin).collect()
}

/// Maps a hash to a number from 0 to 1.
#[allow(clippy::cast_precision_loss, reason = "the upper bits of a hash are enough")]
fn uniform(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
