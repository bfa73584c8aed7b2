//! Decides for one host which target runs a request, which request waits and which is refused.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::Duration,
};

use twox_hash::XxHash64;

use super::{
    Ask, ColdLimit, Config, Load, Outcome, Placement, Refused, RetryBudget, ServiceTerms, Target,
    Ticket, Try, Work, budget,
};
use crate::{clock::Time, id, membership::score, room::shift::Shift};

mod choice;
mod known;
mod neighbours;

use self::{
    choice::{Candidate, Choice, View},
    known::Known,
    neighbours::Neighbours,
};

pub use self::neighbours::{TELL_HOSTS_MIN, TELL_INTERVAL, Tag};

/// Requests that wait for one service at one host; more than that cannot be served in time.
const WAITING_MAX: usize = 64;
/// Part of the objective that a request may wait in any case.
const WAIT_PART_MIN: f64 = 0.25;
/// Part of the objective in which a request that waits must have ended.
const WAIT_PART_MAX: f64 = 0.95;
/// Time in which a request that finds no room at all may come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);
/// Completions from which the rate of a service is estimated.
const COMPLETIONS: usize = 32;
const COMPLETIONS_MIN: usize = 4;
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
    neighbours: Neighbours,
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
            neighbours: Neighbours::default(),
        }
    }

    /// Whether a data centre is in the host's region.
    pub fn is_near(&self, data_centre: &id::DataCentre) -> bool {
        self.settings.regions.get(data_centre) == self.region.as_ref()
    }

    /// Returns how many requests this host has at each target, for the other hosts of its region.
    pub fn requests(&self) -> HashMap<Tag, u32> {
        let busy = self.targets.values().filter(|known| known.load.own() > 0);
        busy.map(|known| (known.tag(), known.load.own())).collect()
    }

    /// Takes in how many requests another host has at each target.
    pub fn hear(&mut self, now: Time, host: id::EntryHost, requests: HashMap<Tag, u32>) {
        self.neighbours.hear(now, host, requests);
        self.neighbours.forget(now);
        self.set_told();
    }

    fn set_told(&mut self) {
        let requests = self.neighbours.requests();
        for known in self.targets.values_mut() {
            known.load.tell(requests.get(&known.tag()).copied().map_or(0.0, f64::from));
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
            queued: 0,
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
        if self.neighbours.forget(now) {
            self.set_told();
        }
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
        for target in &service.targets {
            if let Some(known) = self.targets.get_mut(target) {
                known.queued = 0;
            }
        }
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
        let refuse = |reason, wait_s: f64| {
            let wait = Duration::from_secs_f64(wait_s.clamp(0.0, RETRY_AFTER_MAX.as_secs_f64()));
            Some(Placement::Refuse { reason, retry_after: wait.max(RETRY_AFTER_MIN) })
        };
        let wait_max_s = self.give_up(now, ask).since(now).as_secs_f64();
        let choice = self.choose(now, ask, wait_max_s);
        if !choice.usable {
            return refuse(Refused::NoTarget, 0.0);
        }
        let Some(best) = choice.best else {
            let wait_s =
                choice.least_wait_s.unwrap_or_else(|| self.expected_wait_s(now, ask, ahead));
            let hopeless = choice.least_wait_s.is_some() || wait_s >= wait_max_s;
            return if hopeless { refuse(Refused::NoRoom, wait_s) } else { None };
        };
        let left_s = ask.deadline.since(now).as_secs_f64();
        if best.wait_s > 0.0 && best.wait_s + best.work_s > left_s {
            return refuse(Refused::NoRoom, best.wait_s);
        }
        if best.has_room {
            return Some(Placement::Send(self.send(now, ask, best)));
        }
        if wait_max_s <= 0.0 || ahead >= WAITING_MAX {
            return refuse(Refused::NoRoom, best.wait_s);
        }
        if let Some(known) = self.targets.get_mut(&best.name) {
            known.queued += 1;
        }
        None
    }

    fn choose(&mut self, now: Time, ask: &Ask, wait_max_s: f64) -> Choice {
        let (interval, cap) = (self.settings.shift_interval, self.settings.shift_cap);
        let hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        let service = self.service(now, &ask.service);
        let work = service.work.entry(ask.route.name.clone());
        let work = *work.or_insert_with(|| Work::new(ask.route.objective));
        let may_cross = service.shift.may_cross(now, interval, cap);
        let terms = service.terms.as_ref();
        let connections = terms.map_or(u32::MAX, |terms| (terms.connections_max / hosts).max(2));
        let Some(service) = self.services.get(&ask.service) else {
            return Choice { best: None, usable: false, least_wait_s: None };
        };
        let view = View {
            targets: &service.targets,
            known: &mut self.targets,
            regions: &self.settings.regions,
            evacuated: &self.evacuated,
            data_centre: &self.settings.data_centre,
            region: self.region.as_ref(),
            may_cross,
            connections,
            wait_max_s,
            work,
        };
        choice::choose(now, ask, view)
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
        known.load.send();
        Ticket {
            number: ask.number,
            target: best.name,
            address: known.target.address,
            service: ask.service.clone(),
            route: ask.route.name.clone(),
            object: ask.object,
            recent: best.recent,
            expected_s: best.work_s,
            busy,
            teaches: best.certain && busy < f64::from(known.target.slots) && !known.is_cold(now),
        }
    }

    /// Returns the seconds until a request with `ahead` requests before it is expected to find room.
    fn expected_wait_s(&self, now: Time, ask: &Ask, ahead: usize) -> f64 {
        let Some(service) = self.services.get(&ask.service) else { return 0.0 };
        let done = service.completions.len();
        let since = service.completions.front().map_or(Duration::ZERO, |&first| now.since(first));
        if done < COMPLETIONS_MIN || since.is_zero() {
            return 0.0;
        }
        let number = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        since.as_secs_f64() / number(done) * number(ahead + 1)
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
