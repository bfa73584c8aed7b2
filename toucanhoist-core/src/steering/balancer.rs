//! Decides for one host which target runs a request, which request waits and which one is refused.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use super::{
    Announced, Attempt, ColdLimit, Config, Failure, LimitReport, Observations, Outcome, Path,
    Placement, PlacementRequest, ProcessingTime, Refused, RetryBudget, ServiceTerms, Step, Target,
    TargetState, Ticket, budget,
    limit::{self, Knowledge, Source},
};
use crate::{clock::Time, id};

mod choice;
mod holds;
mod paths;
mod peers;
mod service;
mod split;
mod topology;
mod tracked_target;
mod typical_load;

use self::{
    holds::Holds,
    paths::{Paths, Wanted},
    peers::Peers,
    service::Service,
    topology::{Proximity, Topology},
    tracked_target::TrackedTarget,
};

pub use self::peers::{LOAD_EXCHANGE_HOSTS_MIN, LOAD_EXCHANGE_INTERVAL, Tag};

/// What a balancer needs to know about its host and its fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host.
    pub host: id::EntryHost,
    /// Data centre that the host is in.
    pub data_centre: id::DataCentre,
    /// Regions by data centre.
    pub regions: BTreeMap<id::DataCentre, id::Region>,
    /// Terms of the retry budget.
    pub retries: budget::Terms,
    /// Share of a region's requests that may move to another region in each interval.
    pub shift_cap: f64,
    /// Interval of the shift cap.
    pub shift_interval: Duration,
    /// Factor on the rate that a cold target tolerates.
    pub cold_factor: f64,
    /// Requests a second that are allowed in addition.
    pub cold_extra: f64,
    /// When the host was restarted; what it sent to targets before is not known. `None` at the
    /// first start of the fleet.
    pub restarted: Option<Time>,
    /// Seed of the choice of the hosts that are told of limits.
    pub seed: u64,
}

/// Share of the shift cap that is reserved for changes of the plan; overflowing requests may use
/// the rest.
const PLAN_CAP_SHARE: f64 = 0.25;

/// Longest time for which a target that asks for no requests gets none; a longer one may be a mistake.
pub const HOLD_MAX: Duration = Duration::from_secs(60);

impl Settings {
    /// Returns the share of the requests by which the plan may change in each interval.
    fn plan_cap(&self) -> f64 {
        self.shift_cap * PLAN_CAP_SHARE
    }

    /// Returns the share of the requests by which overflow may grow in each interval.
    fn overflow_cap(&self) -> f64 {
        self.shift_cap * (1.0 - PLAN_CAP_SHARE)
    }
}

/// Placement decisions of one host.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    topology: Topology,
    services: HashMap<id::Service, Service>,
    /// Service of each target.
    targets: HashMap<id::Target, id::Service>,
    peers: Peers,
    limits: Knowledge,
    holds: Holds,
    paths: Paths,
}

/// A connection that is tried to learn whether the direct path to a target works.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Target.
    pub target: id::Target,
    /// Its address.
    pub address: SocketAddr,
    /// Attempts.
    pub steps: Vec<Step>,
}

impl Balancer {
    /// Creates a balancer without targets.
    pub fn new(settings: Settings) -> Balancer {
        let topology =
            Topology::new(settings.host.clone(), settings.data_centre.clone(), &settings.regions);
        Balancer {
            topology,
            limits: Knowledge::new(settings.seed),
            holds: Holds::default(),
            settings,
            services: HashMap::new(),
            targets: HashMap::new(),
            peers: Peers::default(),
            paths: Paths::default(),
        }
    }

    /// Whether a data centre is in the host's region.
    pub fn is_in_region(&self, data_centre: &id::DataCentre) -> bool {
        self.topology.proximity(data_centre) != Proximity::Remote
    }

    /// Returns how many requests this host has at each target, for the other hosts of its region.
    pub fn own_requests(&self) -> HashMap<Tag, u32> {
        let targets = self.services.values().flat_map(|service| &service.targets);
        let busy = targets.filter(|target| target.load.own_requests() > 0);
        busy.map(|target| (target.tag(), target.load.own_requests())).collect()
    }

    /// Returns what this host has observed of slow or failing targets since the last call, for the
    /// other hosts of its region.
    pub fn take_observations(&mut self, now: Time) -> HashMap<Tag, Observations> {
        let targets = self.services.values_mut().flat_map(|service| &mut service.targets);
        targets
            .filter(|target| !self.paths.has_failed(&target.name))
            .filter_map(|target| Some((target.tag(), target.load.take_observations(now)?)))
            .collect()
    }

    /// Sets how many requests another host has at each target.
    pub fn set_peer_requests(
        &mut self,
        now: Time,
        host: id::EntryHost,
        requests: HashMap<Tag, u32>,
    ) {
        self.peers.set_requests(now, host, requests);
    }

    /// Adds what another host has observed of slow or failing targets.
    pub fn add_peer_observations(
        &mut self,
        observations: impl IntoIterator<Item = (Tag, Observations)>,
    ) {
        self.peers.add_observations(observations);
    }

    /// Applies what peers reported, if anything has changed.
    fn apply_peer_reports(&mut self, now: Time) {
        let Some(requests) = self.peers.sum_if_changed(now) else { return };
        let observations = self.peers.take_observations();
        for target in self.services.values_mut().flat_map(|service| &mut service.targets) {
            let tag = target.tag();
            target.load.set_peer_requests(requests.get(&tag).copied().map_or(0.0, f64::from));
            if let Some(observations) = observations.get(&tag) {
                target.load.add_peer_observations(now, observations);
            }
        }
    }

    /// Sets the hosts that have registered, with their data centres.
    pub fn set_hosts(&mut self, now: Time, hosts: BTreeMap<id::EntryHost, id::DataCentre>) {
        self.topology.set_hosts(hosts);
        for service in self.services.values_mut() {
            service.set_cold_shares(&self.settings, &self.topology);
            service.set_limit_places(now, &self.topology);
            service.replan();
        }
    }

    /// Applies a configuration.
    pub fn set_config(&mut self, now: Time, config: &Config) {
        for service in self.services.values_mut() {
            service.terms = None;
        }
        for terms in &config.services {
            let service = self.services.entry(terms.name.clone());
            let service = service.or_insert_with(|| Service::new(now, self.settings.restarted));
            service.terms = Some(terms.clone());
            service.set_cold_shares(&self.settings, &self.topology);
        }
    }

    /// Sets a target's entry; `None` removes the target.
    pub fn set_target(&mut self, now: Time, name: &id::Target, entry: Option<&Target>) {
        let is_same = |known: &Target, entry: &Target| {
            (known.address, known.born) == (entry.address, entry.born)
        };
        let is_known = self.entry(name).zip(entry).is_some_and(|(known, new)| is_same(known, new));
        if !is_known {
            self.paths.remove(name);
        }
        let service = self.targets.remove(name);
        let target = service.and_then(|service| self.services.get_mut(&service)?.remove(name));
        let Some(entry) = entry else {
            if let Some(mut target) = target {
                target.withdraw();
            }
            return;
        };
        if entry.state == TargetState::Draining {
            self.limits.record_leaving(now, name, entry.born, Source::Entry);
        }
        let mut target = match target {
            Some(target) => target.update(entry, &self.topology),
            None => {
                TrackedTarget::new(self.settings.restarted, name, entry.clone(), &self.topology)
            }
        };
        target.extend_cold(now, entry.cold_left);
        self.targets.insert(name.clone(), entry.service.clone());
        let service = self.services.entry(entry.service.clone());
        let service = service.or_insert_with(|| Service::new(now, self.settings.restarted));
        service.insert(&self.settings, &self.topology, target);
        self.apply_limit(now, name);
        self.apply_hold(name);
    }

    /// Sets the data centres under evacuation. Targets of a data centre whose evacuation ends count
    /// as cold.
    pub fn set_evacuated(&mut self, now: Time, evacuated: BTreeSet<id::DataCentre>) {
        let reopened = self.topology.set_evacuated(evacuated);
        for service in self.services.values_mut() {
            service.replan();
            for target in &mut service.targets {
                target.evacuated = self.topology.is_evacuated(&target.entry.data_centre);
                if target.evacuated {
                    target.withdraw();
                }
            }
            reopened.iter().for_each(|data_centre| service.set_cold(now, data_centre));
        }
    }

    /// Accepts a request, and returns the decisions that are possible now. A request without a
    /// decision waits; [`Balancer::poll`] returns the decision later.
    pub fn place(&mut self, now: Time, request: PlacementRequest) -> Vec<(u64, Placement)> {
        self.apply_peer_reports(now);
        let number = request.number;
        if !self.services.contains_key(&request.service) {
            self.services
                .insert(request.service.clone(), Service::new(now, self.settings.restarted));
        }
        let service = self.services.get_mut(&request.service).expect("it was just inserted");
        if service.admit(now, &self.settings, &self.topology, request) {
            return service.serve(now, &self.settings, &self.topology, &self.paths);
        }
        let (reason, retry_after) = (Refused::NoBudget, service::RETRY_AFTER_MIN);
        vec![(number, Placement::Refuse { reason, retry_after })]
    }

    /// Returns the decisions that are possible now on waiting requests.
    pub fn poll(&mut self, now: Time) -> Vec<(u64, Placement)> {
        self.apply_peer_reports(now);
        self.serve(now, Service::is_waiting)
    }

    /// Returns decisions for the services at which a request has ended since the last decision.
    pub fn poll_freed(&mut self, now: Time) -> Vec<(u64, Placement)> {
        self.serve(now, Service::has_freed_capacity)
    }

    fn serve(&mut self, now: Time, which: impl Fn(&Service) -> bool) -> Vec<(u64, Placement)> {
        let services = self.services.values_mut().filter(|service| which(service));
        services
            .flat_map(|service| service.serve(now, &self.settings, &self.topology, &self.paths))
            .collect()
    }

    /// Whether requests wait.
    pub fn is_waiting(&self) -> bool {
        self.services.values().any(Service::is_waiting)
    }

    /// Cancels a waiting request.
    pub fn cancel(&mut self, number: u64) {
        self.services.values_mut().for_each(|service| service.cancel(number));
    }

    /// Records how a request ended at its target.
    pub fn end(&mut self, now: Time, ticket: &Ticket, outcome: Outcome) {
        if let Some(service) = self.services.get_mut(&ticket.service) {
            service.end(now, &mut self.paths, ticket, outcome);
        }
        match outcome {
            Outcome::Answered { announced, .. } => self.record_limit(now, ticket, announced, true),
            Outcome::Shed { announced, .. } => self.record_limit(now, ticket, announced, false),
            _ => {}
        }
    }

    /// Returns the attempts to connect to a target, for a request that may be handled in `homes`, or
    /// anywhere if that is empty.
    pub fn plan_connection(
        &self,
        now: Time,
        target: &id::Target,
        homes: &[id::Region],
    ) -> Vec<Step> {
        let Some(entry) = self.entry(target) else { return Vec::new() };
        let wanted = Wanted { target, data_centre: &entry.data_centre, homes };
        self.paths.plan(now, &self.topology, wanted)
    }

    /// Records how an attempt to connect ended.
    pub fn record_connection(
        &mut self,
        now: Time,
        target: &id::Target,
        path: &Path,
        result: Result<(), Failure>,
    ) {
        let service = self.targets.get(target).and_then(|service| self.services.get_mut(service));
        let Some(target) = service.and_then(|service| service.target_mut(target)) else { return };
        let data_centre = &target.entry.data_centre;
        if self.paths.record(now, &target.name, data_centre, path, result) {
            target.load.discard_observations(now);
        }
    }

    /// Returns whether this host can carry a tunnel to a target at an address.
    ///
    /// # Errors
    ///
    /// It has no path to the target, or to any, or the target wants no requests of this host.
    pub fn check_tunnel(
        &self,
        now: Time,
        target: &id::Target,
        address: SocketAddr,
    ) -> Result<(), Failure> {
        match self.target(target) {
            Some(known) if known.entry.address == address && known.accepts(now) => {
                self.paths.check_tunnel(target)
            }
            _ => Err(Failure::NoPath),
        }
    }

    /// Returns the connections that are to be tried now, to learn whether direct paths work.
    pub fn due_probes(&mut self, now: Time) -> Vec<Probe> {
        let due = self.paths.due_probes(now);
        let probe = |(target, tries_others): (id::Target, bool)| {
            let address = self.address(&target)?;
            let direct = Step { path: Path::Direct, delay: Duration::ZERO };
            let mut steps = vec![direct.clone()];
            if tries_others {
                let others = self.plan_connection(now, &target, &[]);
                steps.extend(others.into_iter().filter(|step| *step != direct));
            }
            Some(Probe { target, address, steps })
        };
        due.into_iter().filter_map(probe).collect()
    }

    /// Whether this host reaches no targets, as far as it knows.
    pub fn is_cut_off(&self) -> bool {
        self.paths.is_cut_off()
    }

    fn target(&self, name: &id::Target) -> Option<&TrackedTarget> {
        let service = self.services.get(self.targets.get(name)?)?;
        service.targets.iter().find(|known| known.name == *name)
    }

    fn entry(&self, target: &id::Target) -> Option<&Target> {
        Some(&self.target(target)?.entry)
    }

    fn address(&self, target: &id::Target) -> Option<SocketAddr> {
        Some(self.entry(target)?.address)
    }

    /// Records that a target says in an answer that it leaves.
    pub fn record_leaving(&mut self, now: Time, name: &id::Target, born: u64) {
        if self.limits.record_leaving(now, name, born, Source::Answer) {
            self.apply_limit(now, name);
        }
    }

    /// Has an incarnation of a target get no requests of this host for some time.
    pub fn hold(&mut self, now: Time, name: &id::Target, born: u64, time: Duration) {
        self.holds.record(now, name, born, now + time.min(HOLD_MAX));
        self.apply_hold(name);
    }

    /// Applies what is known of the time until which a target wants no requests of this host.
    fn apply_hold(&mut self, name: &id::Target) {
        let service = self.targets.get(name).and_then(|service| self.services.get_mut(service));
        let Some(target) = service.and_then(|service| service.target_mut(name)) else { return };
        if let Some(until) = self.holds.until(name, target.entry.born) {
            target.hold(until);
        }
    }

    /// Records what an answer announces whose body has not ended yet.
    pub fn record_announced(&mut self, now: Time, ticket: &Ticket, announced: Announced) {
        self.record_limit(now, ticket, announced, true);
    }

    /// Records what an answer announces; `ran` says whether the target ran the request.
    fn record_limit(&mut self, now: Time, ticket: &Ticket, announced: Announced, ran: bool) {
        if self.limits.record(now, ticket, announced, ran) {
            self.apply_limit(now, &ticket.target);
        }
    }

    /// Applies what is known of a target's limit to its turns.
    fn apply_limit(&mut self, now: Time, name: &id::Target) {
        let service = self.targets.get(name).and_then(|service| self.services.get_mut(service));
        let Some(target) = service.and_then(|service| service.target_mut(name)) else { return };
        let known = self.limits.get(name, target.entry.born);
        target.set_limit(now, &self.topology, known);
        target.set_leaving(self.limits.leaving(name, target.entry.born));
    }

    /// Merges what another host knows of the limits of targets.
    pub fn merge_limits(&mut self, now: Time, reports: Vec<LimitReport>) {
        for target in self.limits.merge(now, reports) {
            self.apply_limit(now, &target);
        }
    }

    /// Returns what other hosts should know of the limits of targets, by host.
    pub fn due_limit_reports(&mut self, now: Time) -> BTreeMap<id::EntryHost, Vec<LimitReport>> {
        if self.limits.is_empty() {
            return BTreeMap::new();
        }
        let others: Vec<&id::EntryHost> = self.topology.other_hosts().collect();
        self.limits.due_reports(now, &others, |target| self.targets.contains_key(target))
    }

    /// Whether limits should be reported to other hosts at once.
    pub fn has_unsent_limits(&self) -> bool {
        self.limits.has_unsent()
    }

    /// Returns the limits that this host has learned of since the last call.
    pub fn take_learned_limits(&mut self) -> Vec<limit::Learned> {
        self.limits.take_learned()
    }

    /// Returns how many targets have a limit, as far as this host knows.
    pub fn limited_targets(&self) -> usize {
        self.limits.limited()
    }
}
