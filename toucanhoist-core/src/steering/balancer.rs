//! Decides for one host which target runs a request, which request waits and which is refused.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use super::{
    Attempt, ColdLimit, Config, Observations, Outcome, Placement, PlacementRequest, ProcessingTime,
    Refused, RetryBudget, ServiceTerms, Target, Ticket, budget,
};
use crate::{clock::Time, id};

mod choice;
mod fleet;
mod known;
mod neighbours;
mod service;
mod split;
mod usual;

use self::{
    fleet::{Fleet, Near},
    known::Known,
    neighbours::Neighbours,
    service::Service,
};

pub use self::neighbours::{LOAD_EXCHANGE_HOSTS_MIN, LOAD_EXCHANGE_INTERVAL, Tag};

/// What a desk needs to know of its host and its fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host.
    pub host: id::EntryHost,
    /// Data centre that the host is in.
    pub data_centre: id::DataCentre,
    /// Regions by data centre.
    pub regions: BTreeMap<id::DataCentre, id::Region>,
    /// Terms of repeated sends.
    pub retries: budget::Terms,
    /// Part of a region's requests that may change the region in which they run, in each interval.
    pub shift_cap: f64,
    /// Interval of that part.
    pub shift_interval: Duration,
    /// Factor on the rate that a cold target tolerates.
    pub cold_factor: f64,
    /// Requests a second beside that rate.
    pub cold_extra: f64,
}

/// Part of the shift cap that is left for changes of the plan; requests that overflow take the rest.
const PLAN_CAP_PART: f64 = 0.25;

impl Settings {
    /// Returns the part of the requests by which the plan may change in each interval.
    fn plan_cap(&self) -> f64 {
        self.shift_cap * PLAN_CAP_PART
    }

    /// Returns the part of the requests by which those that overflow may grow in each interval.
    fn overflow_cap(&self) -> f64 {
        self.shift_cap * (1.0 - PLAN_CAP_PART)
    }
}

/// The decisions of one host.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    fleet: Fleet,
    services: HashMap<id::Service, Service>,
    /// Service of each target.
    targets: HashMap<id::Target, id::Service>,
    neighbours: Neighbours,
}

impl Balancer {
    /// Creates a desk that knows no targets.
    pub fn new(settings: Settings) -> Balancer {
        let fleet =
            Fleet::new(settings.host.clone(), settings.data_centre.clone(), &settings.regions);
        Balancer {
            fleet,
            settings,
            services: HashMap::new(),
            targets: HashMap::new(),
            neighbours: Neighbours::default(),
        }
    }

    /// Whether a data centre is in the host's region.
    pub fn is_in_region(&self, data_centre: &id::DataCentre) -> bool {
        self.fleet.near(data_centre) != Near::Away
    }

    /// Returns how many requests this host has at each target, for the other hosts of its region.
    pub fn own_requests(&self) -> HashMap<Tag, u32> {
        let known = self.services.values().flat_map(|service| &service.targets);
        let busy = known.filter(|known| known.load.own_requests() > 0);
        busy.map(|known| (known.tag(), known.load.own_requests())).collect()
    }

    /// Returns what this host has seen of targets that are slow or failing since the last call, for the
    /// other hosts of its region.
    pub fn take_observations(&mut self, now: Time) -> HashMap<Tag, Observations> {
        let known = self.services.values_mut().flat_map(|service| &mut service.targets);
        known.filter_map(|known| Some((known.tag(), known.load.take_observations(now)?))).collect()
    }

    /// Takes in how many requests another host has at each target.
    pub fn set_peer_requests(
        &mut self,
        now: Time,
        host: id::EntryHost,
        requests: HashMap<Tag, u32>,
    ) {
        self.neighbours.hear(now, host, requests);
    }

    /// Takes in what another host has seen of targets that are slow or failing.
    pub fn add_peer_observations(&mut self, seen: impl IntoIterator<Item = (Tag, Observations)>) {
        self.neighbours.hear_seen(seen);
    }

    /// Takes what neighbours told into account, if there is news.
    fn take_told(&mut self, now: Time) {
        let Some(requests) = self.neighbours.news(now) else { return };
        let seen = self.neighbours.take_seen();
        for known in self.services.values_mut().flat_map(|service| &mut service.targets) {
            let tag = known.tag();
            known.load.set_peer_requests(requests.get(&tag).copied().map_or(0.0, f64::from));
            if let Some(seen) = seen.get(&tag) {
                known.load.add_peer_observations(now, seen);
            }
        }
    }

    /// Sets the hosts that may send to targets, with their data centres; this one is among them.
    pub fn set_hosts(&mut self, hosts: BTreeMap<id::EntryHost, id::DataCentre>) {
        self.fleet.set_hosts(hosts);
        for service in self.services.values_mut() {
            service.set_cold_shares(&self.settings, &self.fleet);
            service.replan();
        }
    }

    /// Takes in a configuration.
    pub fn set_config(&mut self, now: Time, config: &Config) {
        for service in self.services.values_mut() {
            service.terms = None;
        }
        for terms in &config.services {
            let service = self.services.entry(terms.name.clone());
            let service = service.or_insert_with(|| Service::new(now));
            service.terms = Some(terms.clone());
            service.set_cold_shares(&self.settings, &self.fleet);
        }
    }

    /// Takes in a target's entry, or that it has gone.
    pub fn set_target(&mut self, now: Time, name: &id::Target, entry: Option<&Target>) {
        let service = self.targets.remove(name);
        let known = service.and_then(|service| self.services.get_mut(&service)?.remove(name));
        let Some(entry) = entry else { return };
        let mut known = match known {
            Some(known) => known.update(entry, &self.fleet),
            None => Known::new(name, entry.clone(), &self.fleet),
        };
        known.extend_cold(now, entry.cold_left);
        self.targets.insert(name.clone(), entry.service.clone());
        let service = self.services.entry(entry.service.clone());
        let service = service.or_insert_with(|| Service::new(now));
        service.insert(&self.settings, &self.fleet, known);
    }

    /// Sets the data centres under evacuation; targets of one that is taken back count as cold.
    pub fn set_evacuated(&mut self, now: Time, evacuated: BTreeSet<id::DataCentre>) {
        let taken_back = self.fleet.set_evacuated(evacuated);
        for service in self.services.values_mut() {
            service.replan();
            for known in &mut service.targets {
                known.evacuated = self.fleet.is_evacuated(&known.target.data_centre);
            }
            taken_back.iter().for_each(|data_centre| service.set_cold(now, data_centre));
        }
    }

    /// Asks for a target, and returns what is decided by that. A request that is not among what is
    /// decided waits; [`Balancer::poll`] tells later what becomes of it.
    pub fn place(&mut self, now: Time, ask: PlacementRequest) -> Vec<(u64, Placement)> {
        self.take_told(now);
        let number = ask.number;
        if !self.services.contains_key(&ask.service) {
            self.services.insert(ask.service.clone(), Service::new(now));
        }
        let service = self.services.get_mut(&ask.service).expect("it was just inserted");
        if service.admit(now, &self.settings, &self.fleet, ask) {
            return service.serve(now, &self.settings, &self.fleet);
        }
        let (reason, retry_after) = (Refused::NoBudget, service::RETRY_AFTER_MIN);
        vec![(number, Placement::Refuse { reason, retry_after })]
    }

    /// Decides what can be decided of the requests that wait.
    pub fn poll(&mut self, now: Time) -> Vec<(u64, Placement)> {
        self.take_told(now);
        self.serve(now, Service::is_waiting)
    }

    /// Decides on the requests that wait for a service of which a request has ended since.
    pub fn poll_freed(&mut self, now: Time) -> Vec<(u64, Placement)> {
        self.serve(now, Service::is_freed)
    }

    fn serve(&mut self, now: Time, which: impl Fn(&Service) -> bool) -> Vec<(u64, Placement)> {
        let services = self.services.values_mut().filter(|service| which(service));
        services.flat_map(|service| service.serve(now, &self.settings, &self.fleet)).collect()
    }

    /// Whether requests wait.
    pub fn is_waiting(&self) -> bool {
        self.services.values().any(Service::is_waiting)
    }

    /// Takes back a request that waits.
    pub fn cancel(&mut self, number: u64) {
        self.services.values_mut().for_each(|service| service.cancel(number));
    }

    /// Learns how a request ended at its target.
    pub fn end(&mut self, now: Time, ticket: &Ticket, outcome: Outcome) {
        if let Some(service) = self.services.get_mut(&ticket.service) {
            service.end(now, ticket, outcome);
        }
    }
}
