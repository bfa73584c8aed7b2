//! Decides for one host which target runs a request, which request waits and which is refused.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use twox_hash::XxHash64;

use super::{
    ColdLimit, Config, Load, Report, RetryBudget, Route, ServiceTerms, Target, TargetState, Work,
    budget,
};
use crate::{clock::Time, id, membership::score, room::shift::Shift};

/// Requests that wait for one service at one host; more than that cannot be served in time.
const WAITING_MAX: usize = 64;
/// Part of its slots by which a target may be overbooked, so that it never idles for a round trip.
const OVERBOOKED_PART: f64 = 0.25;
/// Seconds that a request to another region counts longer: two crossings, and dear bytes.
const REGION_COST_S: f64 = 0.12;
/// Seconds that a request to another data centre of the region counts longer.
const DATA_CENTRE_COST_S: f64 = 0.01;
/// Part of a request's time that a full target counts longer, which spreads load.
const BUSY_COST: f64 = 0.15;
/// Seconds that a target which fails every request counts longer.
const FAILURE_COST_S: f64 = 2.0;
/// Part of the objective that a request may wait in any case.
const WAIT_PART_MIN: f64 = 0.25;
/// Part of the objective in which a request that waits must have ended.
const WAIT_PART_MAX: f64 = 0.95;
/// Time in which a request that finds no room at all may come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);
/// Completions from which the rate of a service is estimated.
const COMPLETIONS: usize = 32;
/// Time beyond which a target counts as cold still, for reports on their way.
const COLD_MARGIN: Duration = Duration::from_millis(300);

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

/// A request that asks for a target.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Number of the request at this host.
    pub number: u64,
    /// Its route.
    pub route: Arc<Route>,
    /// Its service.
    pub service: id::Service,
    /// Object that it is about, on routes with affinity.
    pub object: Option<u64>,
    /// Priority, 0 the highest.
    pub priority: u8,
    /// Time at which it arrived.
    pub arrived: Time,
    /// Time after which an answer is of no use.
    pub deadline: Time,
    /// Regions that may serve it; empty for all.
    pub homes: Vec<id::Region>,
    /// Targets that it was sent to before.
    pub tried: Vec<id::Target>,
    /// Whether it asks for the first time.
    pub attempt: Try,
}

/// Whether a request asks for the first time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Try {
    /// It asks for the first time.
    First,
    /// Nothing of it was sent so far.
    Unsent,
    /// A target has seen it; the budget of repeats counts it.
    Repeat,
}

/// A request's place at a target.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Number of the request.
    pub number: u64,
    /// Target.
    pub target: id::Target,
    /// Its address.
    pub address: SocketAddr,
    /// Its service.
    pub service: id::Service,
    /// Its route's name.
    pub route: Box<str>,
    /// Whether the target is taken to know the object.
    pub recent: bool,
    /// Time that the request is expected to take there, in seconds.
    pub expected_s: f64,
    /// Requests that the target held, as far as this host knew.
    pub busy: f64,
    /// Whether the target was idle enough that the request's time teaches something.
    pub teaches: bool,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refused {
    /// No target of the service may serve it.
    NoTarget,
    /// All targets are full, and it would wait too long.
    NoRoom,
    /// Too much is sent again.
    NoBudget,
}

impl Refused {
    /// Returns the reason's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Refused::NoTarget => "no-target",
            Refused::NoRoom => "no-room",
            Refused::NoBudget => "no-budget",
        }
    }
}

/// What becomes of a request.
#[derive(Clone, Debug)]
pub enum Placement {
    /// It is sent.
    Send(Ticket),
    /// It is refused and has not run.
    Refuse {
        /// Why.
        reason: Refused,
        /// Time after which it may come back.
        retry_after: Duration,
    },
}

/// How a request ended at its target.
#[derive(Clone, Copy, Debug)]
pub enum Outcome {
    /// The target answered.
    Answered {
        /// Time from sending to the answer.
        took: Duration,
        /// Load that the target reports.
        report: Option<Report>,
        /// Whether the answer is a failure.
        failed: bool,
    },
    /// The target did not run it.
    Shed {
        /// Load that the target reports.
        report: Option<Report>,
    },
    /// Another target has the address.
    Misdirected,
    /// The target could not be reached; nothing was sent.
    Unreachable,
    /// The connection ended without a whole answer.
    Broken,
    /// No answer was waited for any longer.
    Abandoned,
}

#[derive(Debug)]
struct Known {
    target: Target,
    hash: u64,
    load: Load,
    cold_until: Time,
    cold: ColdLimit,
    cold_share: usize,
    /// The address has another target now.
    misdirected: bool,
}

#[derive(Debug)]
struct Service {
    terms: Option<ServiceTerms>,
    targets: Vec<id::Target>,
    waiting: Vec<Ask>,
    work: HashMap<Box<str>, Work>,
    retries: RetryBudget,
    shift: Shift,
    completions: VecDeque<Time>,
}

/// The decisions of one host.
#[derive(Debug)]
pub struct Desk {
    settings: Settings,
    region: Option<id::Region>,
    hosts: Vec<id::EntryHost>,
    targets: HashMap<id::Target, Known>,
    services: HashMap<id::Service, Service>,
    evacuated: BTreeSet<id::DataCentre>,
}

/// A target that may run a request.
struct Candidate {
    name: id::Target,
    cost: f64,
    recent: bool,
    /// Time that it is expected to wait there, and to take.
    wait_s: f64,
    work_s: f64,
    crosses: bool,
}

impl Desk {
    /// Creates a desk that knows no targets.
    pub fn new(settings: Settings) -> Desk {
        let region = settings.regions.get(&settings.data_centre).cloned();
        Desk {
            hosts: vec![settings.host.clone()],
            settings,
            region,
            targets: HashMap::new(),
            services: HashMap::new(),
            evacuated: BTreeSet::new(),
        }
    }

    /// Sets the hosts that may send to targets, this one among them.
    pub fn set_hosts(&mut self, mut hosts: Vec<id::EntryHost>) {
        if !hosts.contains(&self.settings.host) {
            hosts.push(self.settings.host.clone());
        }
        self.hosts = hosts;
        self.set_cold_shares();
    }

    /// Returns the number of hosts that may send to targets.
    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }

    /// Takes in a configuration.
    pub fn set_config(&mut self, now: Time, config: &Config) {
        for service in self.services.values_mut() {
            service.terms = None;
        }
        for terms in &config.services {
            self.service(now, &terms.name).terms = Some(terms.clone());
        }
        self.set_cold_shares();
    }

    /// Takes in a target's entry, or that it has gone.
    pub fn set_target(&mut self, now: Time, name: &id::Target, entry: Option<&Target>) {
        let Some(entry) = entry else {
            if let Some(known) = self.targets.remove(name) {
                self.service(now, &known.target.service).targets.retain(|other| other != name);
            }
            return;
        };
        let known = self.targets.remove(name);
        if let Some(known) = &known {
            if known.target.service != entry.service {
                self.service(now, &known.target.service).targets.retain(|other| other != name);
            }
        }
        let mut known = known.unwrap_or_else(|| Known {
            target: entry.clone(),
            hash: XxHash64::oneshot(0, name.as_str().as_bytes()),
            load: Load::default(),
            cold_until: Time::ZERO,
            cold: ColdLimit::default(),
            cold_share: 0,
            misdirected: false,
        });
        let restarted = known.target.born != entry.born || known.target.address != entry.address;
        if restarted {
            known.load.restart();
        }
        known.misdirected = false;
        if !entry.cold_left.is_zero() {
            known.cold_until = known.cold_until.max(now + entry.cold_left + COLD_MARGIN);
        }
        known.target = entry.clone();
        self.targets.insert(name.clone(), known);
        let targets = &mut self.service(now, &entry.service).targets;
        if !targets.contains(name) {
            targets.push(name.clone());
        }
        self.set_cold_share(name);
    }

    /// Sets the data centres under evacuation; targets of one that is taken back count as cold.
    pub fn set_evacuated(&mut self, now: Time, evacuated: BTreeSet<id::DataCentre>) {
        for known in self.targets.values_mut() {
            let data_centre = &known.target.data_centre;
            if self.evacuated.contains(data_centre) && !evacuated.contains(data_centre) {
                let terms = self.services.get(&known.target.service).and_then(|s| s.terms.as_ref());
                let cold = terms.map_or(Duration::ZERO, |terms| terms.cold_time);
                known.cold_until = known.cold_until.max(now + cold + COLD_MARGIN);
            }
        }
        self.evacuated = evacuated;
    }

    /// Asks for a target, and returns what is decided by that. A request that is not among what is
    /// decided waits; [`Desk::poll`] tells later what becomes of it.
    pub fn ask(&mut self, now: Time, ask: Ask) -> Vec<(u64, Placement)> {
        let terms = self.settings.retries;
        let (interval, cap) = (self.settings.shift_interval, self.settings.shift_cap);
        let hosts = self.hosts.len();
        let number = ask.number;
        let service_name = ask.service.clone();
        let service = self.service(now, &ask.service);
        match ask.attempt {
            Try::First => {
                service.retries.request(now, &terms);
                service.shift.arrive(now, interval, cap);
            }
            Try::Unsent => {}
            Try::Repeat if service.retries.take(now, &terms, hosts) => {}
            Try::Repeat => {
                let retry_after = RETRY_AFTER_MIN;
                return vec![(
                    number,
                    Placement::Refuse { reason: Refused::NoBudget, retry_after },
                )];
            }
        }
        let place = service
            .waiting
            .iter()
            .position(|other| other.priority > ask.priority)
            .unwrap_or(service.waiting.len());
        service.waiting.insert(place, ask);
        self.serve(now, &service_name)
    }

    /// Decides what can be decided of the requests that wait.
    pub fn poll(&mut self, now: Time) -> Vec<(u64, Placement)> {
        let names: Vec<id::Service> = self
            .services
            .iter()
            .filter(|(_, service)| !service.waiting.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        names.iter().flat_map(|name| self.serve(now, name)).collect()
    }

    /// Whether requests wait.
    pub fn is_waiting(&self) -> bool {
        self.services.values().any(|service| !service.waiting.is_empty())
    }

    /// Takes back a request that waits.
    pub fn cancel(&mut self, number: u64) {
        for service in self.services.values_mut() {
            service.waiting.retain(|ask| ask.number != number);
        }
    }

    /// Learns how a request ended at its target.
    pub fn end(&mut self, now: Time, ticket: &Ticket, outcome: Outcome) {
        if let Some(known) = self.targets.get_mut(&ticket.target) {
            known.load.end();
            if known.target.address == ticket.address {
                known.learn(now, ticket, outcome);
            }
        }
        let Some(service) = self.services.get_mut(&ticket.service) else { return };
        if service.completions.len() == COMPLETIONS {
            service.completions.pop_front();
        }
        service.completions.push_back(now);
        if let Outcome::Answered { took, failed: false, .. } = outcome {
            if ticket.teaches {
                if let Some(work) = service.work.get_mut(&ticket.route) {
                    work.learn(ticket.recent, took);
                }
            }
        }
    }

    /// Decides on the requests that wait for a service, the most urgent first.
    fn serve(&mut self, now: Time, name: &id::Service) -> Vec<(u64, Placement)> {
        let Some(service) = self.services.get_mut(name) else { return Vec::new() };
        let waiting = std::mem::take(&mut service.waiting);
        let mut decided = Vec::new();
        let mut kept = Vec::new();
        for ask in waiting {
            match self.decide(now, &ask, kept.len()) {
                Some(placement) => decided.push((ask.number, placement)),
                None => kept.push(ask),
            }
        }
        if let Some(service) = self.services.get_mut(name) {
            service.waiting = kept;
        }
        decided
    }

    /// Decides on one request with `ahead` requests waiting before it; `None` lets it wait.
    fn decide(&mut self, now: Time, ask: &Ask, ahead: usize) -> Option<Placement> {
        let refuse = |reason, retry_after| Some(Placement::Refuse { reason, retry_after });
        let (best, usable) = self.best(now, ask);
        if let Some(best) = best {
            let left = ask.deadline.since(now).as_secs_f64();
            if best.wait_s > 0.0 && best.wait_s + best.work_s > left {
                return refuse(Refused::NoRoom, RETRY_AFTER_MIN);
            }
            return Some(Placement::Send(self.send(now, ask, best)));
        }
        if !usable {
            return refuse(Refused::NoTarget, RETRY_AFTER_MIN);
        }
        let wait = self.expected_wait(now, ask, ahead);
        let give_up = self.give_up(now, ask);
        if now + wait >= give_up || ahead >= WAITING_MAX {
            return refuse(Refused::NoRoom, wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX));
        }
        None
    }

    /// Returns the target with the least cost, and whether any could serve the request later.
    fn best(&mut self, now: Time, ask: &Ask) -> (Option<Candidate>, bool) {
        let (interval, cap) = (self.settings.shift_interval, self.settings.shift_cap);
        let hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        let Some(service) = self.services.get_mut(&ask.service) else { return (None, false) };
        let may_cross = service.shift.may_cross(now, interval, cap);
        let work = *service
            .work
            .entry(ask.route.name.clone())
            .or_insert_with(|| Work::new(ask.route.objective));
        let connections =
            service.terms.as_ref().map_or(u32::MAX, |terms| (terms.connections_max / hosts).max(2));
        let mut usable = false;
        let mut first: HashMap<Option<&id::Region>, u64> = HashMap::new();
        let mut open: Vec<(&id::Target, u64)> = Vec::new();
        for name in &service.targets {
            let Some(known) = self.targets.get(name) else { continue };
            let region = self.settings.regions.get(&known.target.data_centre);
            let is_home = ask.homes.is_empty() || region.is_some_and(|r| ask.homes.contains(r));
            let open_for_all = known.target.state == TargetState::Ready
                && !known.misdirected
                && !self.evacuated.contains(&known.target.data_centre);
            if !open_for_all || !is_home || ask.tried.contains(name) {
                continue;
            }
            usable = true;
            let score = ask.object.map_or(0, |object| mix(known.hash, object));
            let best = first.entry(region).or_default();
            *best = score.max(*best);
            open.push((name, score));
        }
        let mut best: Option<Candidate> = None;
        for (name, score) in open {
            let Some(known) = self.targets.get_mut(name) else { continue };
            let region = self.settings.regions.get(&known.target.data_centre);
            let crosses = region != self.region.as_ref();
            if (crosses && !may_cross) || !known.has_room(now, connections) {
                continue;
            }
            let is_first = ask.object.is_some() && first.get(&region) == Some(&score);
            let recent = is_first || ask.object.is_some_and(|object| known.load.remembers(object));
            let work_s = work.expected(recent);
            let wait_s = known.wait_s(now, work.expected(true));
            let mut cost = known.cost(now, wait_s, work_s);
            if crosses {
                cost += REGION_COST_S;
            } else if known.target.data_centre != self.settings.data_centre {
                cost += DATA_CENTRE_COST_S;
            }
            if best.as_ref().is_none_or(|best| cost < best.cost) {
                best =
                    Some(Candidate { name: name.clone(), cost, recent, wait_s, work_s, crosses });
            }
        }
        (best, usable)
    }

    fn send(&mut self, now: Time, ask: &Ask, best: Candidate) -> Ticket {
        let cap = self.settings.shift_cap;
        if let Some(service) = self.services.get_mut(&ask.service).filter(|_| best.crosses) {
            service.shift.cross(cap);
        }
        let known = self.targets.get_mut(&best.name).expect("a candidate is a known target");
        let busy = known.load.busy(now);
        if known.is_cold(now) {
            known.cold.send(now);
        }
        known.load.send(ask.object);
        Ticket {
            number: ask.number,
            target: best.name,
            address: known.target.address,
            service: ask.service.clone(),
            route: ask.route.name.clone(),
            recent: best.recent,
            expected_s: best.work_s,
            busy,
            teaches: busy < f64::from(known.target.slots) && !known.is_cold(now),
        }
    }

    /// Returns the time until a request with `ahead` requests before it is expected to find room.
    fn expected_wait(&self, now: Time, ask: &Ask, ahead: usize) -> Duration {
        let Some(service) = self.services.get(&ask.service) else { return RETRY_AFTER_MAX };
        let done = service.completions.len();
        let since = service.completions.front().map_or(Duration::ZERO, |&first| now.since(first));
        if done < 4 || since.is_zero() {
            return Duration::ZERO;
        }
        let number = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        let each_s = since.as_secs_f64() / number(done);
        Duration::from_secs_f64((each_s * number(ahead + 1)).min(60.0))
    }

    /// Returns the time at which a request that waits is refused.
    fn give_up(&self, now: Time, ask: &Ask) -> Time {
        let work = self.services.get(&ask.service).and_then(|s| s.work.get(&ask.route.name));
        let work_s = work.map_or(0.0, |work| work.expected(true));
        let left_s = ask.deadline.since(now).as_secs_f64();
        let latest = now + Duration::from_secs_f64((left_s - work_s).max(0.0));
        let Some(objective) = ask.route.objective else { return latest };
        let objective_s = objective.as_secs_f64();
        let patience_s = (objective_s * WAIT_PART_MAX - work_s).max(objective_s * WAIT_PART_MIN);
        latest.min(ask.arrived + Duration::from_secs_f64(patience_s))
    }

    fn service(&mut self, now: Time, name: &id::Service) -> &mut Service {
        self.services.entry(name.clone()).or_insert_with(|| Service {
            terms: None,
            targets: Vec::new(),
            waiting: Vec::new(),
            work: HashMap::new(),
            retries: RetryBudget::default(),
            shift: Shift::new(now),
            completions: VecDeque::new(),
        })
    }

    fn set_cold_shares(&mut self) {
        let names: Vec<id::Target> = self.targets.keys().cloned().collect();
        names.iter().for_each(|name| self.set_cold_share(name));
    }

    /// Sets the host's share of what a cold target tolerates.
    fn set_cold_share(&mut self, name: &id::Target) {
        let Some(known) = self.targets.get_mut(name) else { return };
        let terms = self.services.get(&known.target.service).and_then(|s| s.terms.as_ref());
        let Some(terms) = terms else { return };
        let rate = terms.cold_rate * self.settings.cold_factor + self.settings.cold_extra;
        let own = score(self.settings.host.as_str(), name.as_str());
        let before =
            self.hosts.iter().filter(|host| score(host.as_str(), name.as_str()) > own).count();
        known.cold_share = ColdLimit::share(rate, before, self.hosts.len());
    }
}

impl Known {
    fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    fn has_room(&mut self, now: Time, connections: u32) -> bool {
        let slots = f64::from(self.target.slots);
        let most = slots + (slots * OVERBOOKED_PART).max(1.0);
        if self.load.is_closed(now) || self.load.own() >= connections {
            return false;
        }
        if self.load.was_closed() && self.load.own() > 0 {
            return false;
        }
        if self.is_cold(now) && !self.cold.has_room(now, self.cold_share) {
            return false;
        }
        self.load.busy(now) < most
    }

    /// Returns the seconds that a request is expected to wait for a slot, where each of those before
    /// it takes `usual_s`.
    fn wait_s(&self, now: Time, usual_s: f64) -> f64 {
        let slots = f64::from(self.target.slots.max(1));
        let ahead = (self.load.busy(now) - slots + 1.0).max(0.0);
        ahead / slots * usual_s * self.load.slowness(now).max(1.0)
    }

    /// Returns the seconds that a request is expected to take, with what else counts against the
    /// target.
    fn cost(&self, now: Time, wait_s: f64, work_s: f64) -> f64 {
        let slots = f64::from(self.target.slots.max(1));
        let busy = (self.load.busy(now) / slots).min(1.0);
        wait_s
            + work_s * self.load.slowness(now).max(1.0)
            + work_s * BUSY_COST * busy
            + FAILURE_COST_S * self.load.failing(now)
    }

    fn learn(&mut self, now: Time, ticket: &Ticket, outcome: Outcome) {
        match outcome {
            Outcome::Answered { took, report, failed } => {
                if let Some(report) = report {
                    self.load.report(now, report);
                }
                self.load.ended(now, failed);
                if ticket.teaches && !failed {
                    self.load.took(now, took.as_secs_f64() / ticket.expected_s.max(0.001));
                }
            }
            Outcome::Shed { report } => {
                if let Some(report) = report {
                    self.load.report(now, report);
                }
                let full = report.is_some_and(|report| report.running >= report.slots);
                if !full {
                    self.load.ended(now, true);
                }
            }
            Outcome::Misdirected => self.misdirected = true,
            Outcome::Unreachable => self.load.close(now),
            Outcome::Broken => self.load.ended(now, true),
            Outcome::Abandoned => {}
        }
    }
}

/// Returns the rendezvous score of a target for an object.
fn mix(target: u64, object: u64) -> u64 {
    XxHash64::oneshot(target, &object.to_le_bytes())
}
