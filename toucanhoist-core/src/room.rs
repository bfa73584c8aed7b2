/*!
Room at targets, and who hands it out.

Each target is placed under one entry host of its own data centre, by rendezvous hashing over that
data centre's live hosts. That owner alone hands work to the target, and so counts its slots
exactly. Requests that find no free slot wait in the owner's bounded queue, which is fair between
client accounts; other hosts send requests to the owner that they expect to serve them first.

A [`Room`] is the part of one host. Its methods take the time and what happened, and leave
[`Action`]s behind, which [`Room::take_actions`] hands out.
*/

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    catalog::{Catalog, Service, Target},
    clock::Time,
    fleet::Value,
    id,
    membership::{Incarnation, Member, State, View, rendezvous_score},
    planner::LOOK_UP_SHARE,
    refusal::{Code, Refusal},
    retry::Budget,
};

mod hint;
mod queue;
pub(crate) mod shift;
mod slots;

pub use self::hint::{Claim, Digest, Echo, Hold, Load};
use self::{
    hint::{Hints, Outlook, expected_wait},
    queue::{Pushed, Queue, Waiting},
    shift::{Allowance, Shift},
    slots::{Slots, Word},
};

const SAME_DATA_CENTRE_LATENCY: Duration = Duration::from_micros(200);
const SAME_REGION_LATENCY: Duration = Duration::from_micros(1_500);
const UNKNOWN_LINK_LATENCY: Duration = Duration::from_millis(40);
const HOLD_START: Duration = Duration::from_millis(50);
const HOLD_WEIGHT: u32 = 16;
const COST_TIE: Duration = Duration::from_millis(1);
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
const LISTEN_AT_START: Duration = Duration::from_millis(500);
/// Gap between calls after which other hosts may have taken over.
const PAUSE_MAX: Duration = Duration::from_secs(1);
/// Part of a link that requests may use, so that other traffic finds room.
const LINK_SHARE: f64 = 0.8;
const BITS_PER_BYTE: f64 = 8.0;

/// Number by which a request for room is answered.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// A request for room.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The request.
    pub request: id::Request,
    /// Service to run it.
    pub service: id::Service,
    /// Client account, on keyed routes.
    pub account: Option<id::Account>,
    /// Weight of the account.
    pub weight: u32,
    /// Time at which the request is given up.
    pub deadline: Time,
    /// Bytes that the request and its answer are expected to have.
    pub bytes: u64,
    /// Whether another entry host sent it, and it must be run here or refused.
    pub forwarded: bool,
    /// Entry hosts that refused it, as not run.
    pub tried: Vec<id::EntryHost>,
    /// Whether it is tried again after a target failed before running it.
    pub retry: bool,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Run it on a target; its slot is taken.
    Run(id::Target),
    /// Hand it to another entry host.
    Forward(id::EntryHost),
    /// Refuse it.
    Refuse(Refusal),
}

/// A decision about a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Action {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// What to do with it.
    pub decision: Decision,
    /// Why.
    pub reason: &'static str,
}

/// How a request on a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The target answered.
    Answered {
        /// Time for which the slot was held.
        held: Duration,
    },
    /// The target refused the request because of its load.
    Shed {
        /// Pause that the target asked for.
        pause: Option<Duration>,
    },
    /// The target could not be reached.
    Unreachable,
    /// The request ended without a sign of the target's state.
    Unknown,
}

/// What an invariant of the room is about.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Invariant {
    /// A target has at most its slots in use.
    Slots,
    /// Only the owner of a target hands it work.
    Owner,
    /// No draining target gets new work.
    Drain,
    /// Traffic between regions stays under its cap.
    Shift,
    /// A queue stays within its bound.
    Queue,
    /// A slot is given back once.
    Release,
}

impl Invariant {
    /// Returns the name that metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            Invariant::Slots => "room-slots",
            Invariant::Owner => "room-owner",
            Invariant::Drain => "room-drain",
            Invariant::Shift => "room-shift",
            Invariant::Queue => "room-queue",
            Invariant::Release => "room-release",
        }
    }
}

/// An owner of targets of a service.
#[derive(Clone, Debug)]
struct Owner {
    host: id::EntryHost,
    distance: Distance,
}

/// How far another host is away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Distance {
    DataCentre,
    Region,
    Far { latency: Duration },
}

impl Distance {
    fn round_trip(self) -> Duration {
        2 * match self {
            Distance::DataCentre => SAME_DATA_CENTRE_LATENCY,
            Distance::Region => SAME_REGION_LATENCY,
            Distance::Far { latency } => latency,
        }
    }

    fn is_far(self) -> bool {
        matches!(self, Distance::Far { .. })
    }
}

/// What a host knows of one service.
#[derive(Debug)]
struct Site {
    owners: Vec<Owner>,
    owned: Vec<id::Target>,
    /// Whether the region has targets of the service, so that crossing is a shift.
    local: bool,
    queue: Queue,
    hold: Duration,
    shift: Shift,
    retries: Budget,
}

impl Site {
    fn new(now: Time) -> Site {
        Site {
            owners: Vec::new(),
            owned: Vec::new(),
            local: false,
            queue: Queue::default(),
            hold: HOLD_START,
            shift: Shift::new(now),
            retries: Budget::default(),
        }
    }
}

/// Room at the targets that one entry host owns.
#[derive(Debug)]
pub struct Room {
    host: id::EntryHost,
    incarnation: Incarnation,
    data_centre: id::DataCentre,
    catalog: Arc<Catalog>,
    view: Arc<View>,
    started: bool,
    observed: Time,
    slots: BTreeMap<id::Target, Slots>,
    sites: HashMap<id::Service, Site>,
    queued: HashMap<Ticket, id::Service>,
    hints: Hints,
    number: u64,
    echoes: HashMap<id::EntryHost, (Incarnation, u64)>,
    links: HashMap<id::Region, Allowance>,
    longest: Duration,
    actions: Vec<Action>,
    violations: Vec<Invariant>,
}

impl Room {
    /// Creates the room of `host`, which has none until [`Room::update`].
    pub fn new(host: id::EntryHost, incarnation: Incarnation, data_centre: id::DataCentre) -> Room {
        Room {
            host,
            incarnation,
            data_centre,
            catalog: Arc::default(),
            view: Arc::default(),
            started: false,
            observed: Time::ZERO,
            slots: BTreeMap::new(),
            sites: HashMap::new(),
            queued: HashMap::new(),
            hints: Hints::default(),
            number: 0,
            echoes: HashMap::new(),
            links: HashMap::new(),
            longest: Duration::ZERO,
            actions: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Takes the actions that have been decided since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the violations of invariants since the last call.
    pub fn take_violations(&mut self) -> Vec<Invariant> {
        std::mem::take(&mut self.violations)
    }

    /// Brings configuration and membership into force.
    pub fn update(&mut self, now: Time, catalog: &Arc<Catalog>, view: &Arc<View>) {
        if Arc::ptr_eq(&self.catalog, catalog) && Arc::ptr_eq(&self.view, view) {
            return;
        }
        self.observe(now);
        let before = (Arc::clone(&self.catalog), Arc::clone(&self.view));
        (self.catalog, self.view) = (Arc::clone(catalog), Arc::clone(view));
        self.longest = longest_deadline(catalog);
        self.hints.retain(|name| view.member(name).is_some_and(|m| m.state != State::Dead));
        self.update_slots(now, &before.0, &before.1);
        self.update_sites(now);
        self.started |= catalog.revision() > id::Revision::default();
        self.tick(now);
    }

    /// Decides where a request goes, now or with a later call.
    pub fn place(&mut self, now: Time, ticket: Ticket, ask: PlacementRequest) {
        self.observe(now);
        let interval = self.catalog.fleet().defaults.shift_interval.as_duration();
        let cap = self.shift_cap(&ask.service);
        let Some(site) = self.sites.get_mut(&ask.service) else {
            let refusal = Refusal::not_run(Code::UnknownService, ask.service.as_str());
            return self.act(ticket, Decision::Refuse(refusal), "unknown service");
        };
        if ask.tried.is_empty() && !ask.retry {
            site.retries.earn(self.catalog.fleet().defaults.retry_percent);
        }
        if !ask.forwarded && ask.tried.is_empty() && !ask.retry {
            site.shift.arrive(now, interval, cap);
        }
        let may_try = !ask.retry || site.retries.take();
        let waiting = Waiting { ticket, ask };
        if !may_try {
            return self.refuse(now, &waiting, "the retry budget of the service is used up");
        }
        if self.run_now(now, &waiting) {
            return;
        }
        if !waiting.ask.forwarded {
            if let Some(owner) = self.better_owner(now, &waiting.ask) {
                return self.forward(now, &waiting, &owner, "shorter expected wait there");
            }
        }
        self.enqueue(now, waiting);
    }

    /// Forgets a request whose asker has gone away, unless it has been answered.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(service) = self.queued.remove(&ticket) {
            if let Some(site) = self.sites.get_mut(&service) {
                site.queue.remove(ticket);
            }
        }
    }

    /// Gives back the slot of a request that has ended.
    pub fn end(&mut self, now: Time, target: &id::Target, outcome: Outcome) {
        self.observe(now);
        let Some(slots) = self.slots.get_mut(target) else { return };
        let service = slots.service.clone();
        let taken = slots.give_back();
        match outcome {
            Outcome::Answered { held } => {
                slots.succeeded(now);
                if let Some(site) = self.sites.get_mut(&service) {
                    site.hold = (site.hold * (HOLD_WEIGHT - 1) + held) / HOLD_WEIGHT;
                }
            }
            Outcome::Shed { pause } => slots.shed(now, pause),
            Outcome::Unreachable => slots.unreachable(now),
            Outcome::Unknown => {}
        }
        self.check(Invariant::Release, taken);
        self.serve(now, &service);
    }

    /// Gives up requests whose deadline has come and opens slots whose time has come.
    pub fn tick(&mut self, now: Time) {
        self.observe(now);
        for slots in self.slots.values_mut() {
            slots.tick(now, self.longest);
        }
        let services: Vec<id::Service> = self.sites.keys().cloned().collect();
        for service in services {
            self.expire(now, &service);
            self.serve(now, &service);
        }
    }

    /// Returns what other hosts are to know.
    pub fn digest(&mut self, now: Time) -> Digest {
        self.number += 1;
        let loads = self.sites.iter().filter(|(_, site)| !site.owned.is_empty());
        let hold = |(name, slots): (&id::Target, &Slots)| Hold {
            target: name.clone(),
            claim: slots.claim(now),
            running: slots.used(),
        };
        let held = self.slots.iter().filter(|(_, s)| s.is_owned() || s.used() > 0);
        let echo = |(host, &(incarnation, number)): (&id::EntryHost, &(Incarnation, u64))| Echo {
            host: host.clone(),
            incarnation,
            number,
        };
        Digest {
            incarnation: self.incarnation,
            number: self.number,
            echoes: self.echoes.iter().map(echo).collect(),
            loads: loads.map(|(name, site)| self.load(now, name, site)).collect(),
            holds: held.map(hold).collect(),
        }
    }

    /// Learns what another host says about its room.
    pub fn apply_digest(&mut self, now: Time, host: &id::EntryHost, digest: Digest) {
        self.observe(now);
        let Some(member) = self.view.member(host) else { return };
        if member.data_centre == self.data_centre {
            if !self.is_newer(host, &digest) {
                return;
            }
            self.hear_holds(now, host, &digest);
        }
        let free: Vec<id::Service> =
            digest.loads.iter().filter(|l| l.free > 0).map(|l| l.service.clone()).collect();
        self.hints.hear(now, host, digest.loads);
        for service in free {
            self.relocate(now, &service);
        }
        let services: Vec<id::Service> = self.sites.keys().cloned().collect();
        for service in services {
            self.serve(now, &service);
        }
    }

    /// Notes a digest of a host of this data centre, unless a later one came before.
    fn is_newer(&mut self, host: &id::EntryHost, digest: &Digest) -> bool {
        let last = self.echoes.get(host).copied();
        let late = last.is_some_and(|(incarnation, number)| {
            incarnation == digest.incarnation && number >= digest.number
        });
        if !late {
            self.echoes.insert(host.clone(), (digest.incarnation, digest.number));
        }
        !late
    }

    fn hear_holds(&mut self, now: Time, host: &id::EntryHost, digest: &Digest) {
        let own = |echo: &&Echo| echo.host == self.host && echo.incarnation == self.incarnation;
        let echo = digest.echoes.iter().find(own).map_or(0, |echo| echo.number);
        let holds: HashMap<&id::Target, &Hold> =
            digest.holds.iter().map(|hold| (&hold.target, hold)).collect();
        let until = now + PAUSE_MAX + self.longest;
        for (name, slots) in &mut self.slots {
            let hold = holds.get(name);
            let rank = |host: &id::EntryHost| rendezvous_score(host.as_str(), name.as_str());
            let word = Word {
                claim: hold.map_or(Claim::None, |hold| hold.claim),
                running: hold.map_or(0, |hold| hold.running),
                echo,
                ranks_lower: rank(host) < rank(&self.host),
                until,
            };
            slots.hear(now, host, word);
        }
    }

    /// Learns that another host had no room for a request of a service.
    pub fn record_refusal(&mut self, now: Time, host: &id::EntryHost, service: &id::Service) {
        self.hints.full(now, host, service);
    }

    /// Learns that another host could not be reached.
    pub fn record_unreachable(&mut self, now: Time, host: &id::EntryHost) {
        self.hints.unreached(now, host);
    }

    /// Charges bytes that went over the link to a host beyond those that were expected.
    #[allow(clippy::cast_precision_loss, reason = "an answer has far fewer bytes than 2^52")]
    pub fn charge_link(&mut self, host: &id::EntryHost, extra_bytes: u64) {
        let Some(region) = self.region_of(host) else { return };
        if let Some(allowance) = self.links.get_mut(&region) {
            allowance.charge(extra_bytes as f64 * BITS_PER_BYTE);
        }
    }

    /// Returns the slots in use at a target.
    pub fn used(&self, target: &id::Target) -> u32 {
        self.slots.get(target).map_or(0, Slots::used)
    }

    /// Returns the requests of a service that wait.
    pub fn queued(&self, service: &id::Service) -> usize {
        self.sites.get(service).map_or(0, |site| site.queue.len())
    }

    /// Returns how many requests of each client account wait for a service.
    pub fn queued_accounts(&self, service: &id::Service) -> Vec<(Option<id::Account>, usize)> {
        let Some(site) = self.sites.get(service) else { return Vec::new() };
        site.queue.accounts().map(|(name, waiting)| (name.clone(), waiting)).collect()
    }

    /// Returns the requests of a service that arrived, and that crossed to other regions, in the
    /// running interval.
    pub fn crossings(&self, service: &id::Service) -> (u64, u64) {
        self.sites.get(service).map_or((0, 0), |site| site.shift.counts())
    }

    /// Returns the load of a service at the targets owned here.
    pub fn service_load(&self, now: Time, service: &id::Service) -> Option<Load> {
        self.sites.get(service).map(|site| self.load(now, service, site))
    }

    /// Returns the targets of the data centre that this host owns or still runs work on.
    pub fn targets(&self, now: Time) -> Vec<(id::Target, u32, u32, bool)> {
        let held = self.slots.iter().filter(|(_, s)| s.is_owned() || s.used() > 0);
        held.map(|(name, s)| (name.clone(), s.used(), s.open(now), s.target().draining)).collect()
    }

    fn act(&mut self, ticket: Ticket, decision: Decision, reason: &'static str) {
        self.actions.push(Action { ticket, decision, reason });
    }

    fn check(&mut self, invariant: Invariant, holds: bool) {
        debug_assert!(holds, "{} at {}", invariant.as_str(), self.host);
        if !holds {
            self.violations.push(invariant);
        }
    }

    /// Notes the time; after a pause other hosts may own what this host owned.
    fn observe(&mut self, now: Time) {
        let paused = now.since(self.observed) > PAUSE_MAX;
        self.observed = self.observed.max(now);
        if !paused || !self.started {
            return;
        }
        let earlier = earlier_owners(&self.host, &self.data_centre, &self.view, &self.view);
        if earlier.is_empty() {
            return;
        }
        let until = now + PAUSE_MAX + self.longest;
        for slots in self.slots.values_mut().filter(|slots| slots.is_owned()) {
            slots.take_over(earlier.clone(), self.number, now, until, false);
        }
    }

    /// Runs a request on a free target, unless others wait before it.
    fn run_now(&mut self, now: Time, waiting: &Waiting) -> bool {
        let Some(site) = self.sites.get(&waiting.ask.service) else { return false };
        if !site.queue.is_empty() {
            return false;
        }
        let Some(target) = self.free_target(now, site) else { return false };
        self.run(now, waiting.ticket, target, "free slot here");
        true
    }

    fn run(&mut self, now: Time, ticket: Ticket, target: id::Target, reason: &'static str) {
        let Some(slots) = self.slots.get_mut(&target) else { return };
        let (owned, draining) = (slots.is_owned(), slots.target().draining);
        let open = slots.free(now) > 0;
        let within = slots.take(now);
        self.check(Invariant::Slots, within && open);
        self.check(Invariant::Owner, owned);
        self.check(Invariant::Drain, !draining);
        self.act(ticket, Decision::Run(target), reason);
    }

    /// Returns the least used target with a free slot, of equal ones the one that has rested longest.
    fn free_target(&self, now: Time, site: &Site) -> Option<id::Target> {
        let free = site.owned.iter().filter(|name| self.slots[*name].free(now) > 0);
        let part = |name: &&id::Target| {
            let slots = &self.slots[*name];
            (slots.used() * 1_000 / slots.open(now).max(1), slots.taken_at())
        };
        free.min_by_key(part).cloned()
    }

    /// Finds the owner that is expected to serve a request before this host does.
    fn better_owner(&mut self, now: Time, ask: &PlacementRequest) -> Option<Owner> {
        let own = self.own_wait(now, &ask.service, ask);
        let candidates = self.candidates(now, ask);
        let least = candidates.iter().map(|(_, _, cost)| *cost).min()?;
        if own.is_some_and(|wait| wait <= least) {
            return None;
        }
        let near = candidates.into_iter().filter(|(_, _, cost)| *cost <= least + COST_TIE);
        let request = ask.request.to_string();
        let key = |(owner, outlook, _): &(Owner, Outlook, Duration)| {
            weighted(rendezvous_score(owner.host.as_str(), &request), outlook.free)
        };
        near.min_by(|a, b| key(a).total_cmp(&key(b))).map(|(owner, _, _)| owner)
    }

    /// Returns the owners that may take a request, with the time until they are expected to run it.
    fn candidates(&mut self, now: Time, ask: &PlacementRequest) -> Vec<(Owner, Outlook, Duration)> {
        let may_cross = self.may_cross(now, &ask.service);
        let Some(site) = self.sites.get(&ask.service) else { return Vec::new() };
        let mut found = Vec::new();
        for owner in &site.owners {
            let barred = || !may_cross || !self.link_has(now, ask, &owner.host);
            if (owner.distance.is_far() && barred())
                || owner.host == self.host
                || ask.tried.contains(&owner.host)
            {
                continue;
            }
            let Some(outlook) = self.hints.outlook(now, &owner.host, &ask.service) else {
                continue;
            };
            let cost = owner.distance.round_trip() + outlook.wait;
            if now + cost < ask.deadline {
                found.push((owner.clone(), outlook, cost));
            }
        }
        found
    }

    /// Returns the expected wait here, `None` when the request cannot wait here.
    fn own_wait(
        &self,
        now: Time,
        service: &id::Service,
        ask: &PlacementRequest,
    ) -> Option<Duration> {
        let site = self.sites.get(service)?;
        let load = self.load(now, service, site);
        if load.queue_room == 0 {
            return None;
        }
        let wait = expected_wait(&load, 0);
        (now + wait < ask.deadline).then_some(wait)
    }

    fn load(&self, now: Time, name: &id::Service, site: &Site) -> Load {
        let sum = |of: fn(&Slots, Time) -> u32| -> u32 {
            site.owned.iter().map(|name| of(&self.slots[name], now)).sum()
        };
        let waiting = u32::try_from(site.queue.len()).unwrap_or(u32::MAX);
        Load {
            service: name.clone(),
            slots: sum(Slots::open),
            free: sum(Slots::free),
            queued: waiting,
            queue_room: self.queue_limit(site).saturating_sub(waiting),
            hold: site.hold,
        }
    }

    fn queue_limit(&self, site: &Site) -> u32 {
        let slots = site.owned.iter().map(|name| self.slots[name].target());
        let slots: u32 = slots.filter(|t| !t.draining).map(|t| t.slots).sum();
        slots * self.catalog.fleet().defaults.queue_per_slot
    }

    /// Returns the part of a service's shift cap that requests between hosts may use.
    fn shift_cap(&self, service: &id::Service) -> f64 {
        self.catalog.service(service).map_or(0.0, |s| s.shift_cap * (1.0 - LOOK_UP_SHARE))
    }

    fn may_cross(&mut self, now: Time, service: &id::Service) -> bool {
        let interval = self.catalog.fleet().defaults.shift_interval.as_duration();
        let cap = self.shift_cap(service);
        let Some(site) = self.sites.get_mut(service) else { return false };
        !site.local || site.shift.may_cross(now, interval, cap)
    }

    fn forward(&mut self, now: Time, waiting: &Waiting, owner: &Owner, reason: &'static str) {
        let service = &waiting.ask.service;
        if owner.distance.is_far() && !self.cross(now, &waiting.ask, &owner.host) {
            return self.enqueue(now, waiting.clone());
        }
        self.hints.sent(&owner.host, service);
        self.act(waiting.ticket, Decision::Forward(owner.host.clone()), reason);
    }

    /// Takes a request's part of the link and of the shift cap; returns whether it may cross.
    #[allow(clippy::cast_precision_loss, reason = "a request has far fewer bytes than 2^52")]
    fn cross(&mut self, now: Time, ask: &PlacementRequest, host: &id::EntryHost) -> bool {
        let Some(region) = self.region_of(host) else { return false };
        let bits_per_s = self.link_part(&region);
        let bits = ask.bytes as f64 * BITS_PER_BYTE;
        let allowance = self.links.entry(region).or_insert_with(|| Allowance::new(Time::ZERO));
        if bits_per_s.is_some_and(|bits_per_s| !allowance.take(now, bits_per_s, bits)) {
            return false;
        }
        let cap = self.shift_cap(&ask.service);
        let Some(site) = self.sites.get_mut(&ask.service) else { return false };
        let held = site.shift.cross(cap) || !site.local;
        self.check(Invariant::Shift, held);
        true
    }

    /// Returns whether the link to a host has room for a request.
    #[allow(clippy::cast_precision_loss, reason = "a request has far fewer bytes than 2^52")]
    fn link_has(&self, now: Time, ask: &PlacementRequest, host: &id::EntryHost) -> bool {
        let Some(region) = self.region_of(host) else { return false };
        let Some(bits_per_s) = self.link_part(&region) else { return true };
        let bits = ask.bytes as f64 * BITS_PER_BYTE;
        let unused = Allowance::new(Time::ZERO);
        self.links.get(&region).unwrap_or(&unused).has(now, bits_per_s, bits)
    }

    /// Returns this host's part of the link to a region, in bits a second.
    #[allow(clippy::cast_precision_loss, reason = "a link has far fewer bits than 2^52")]
    fn link_part(&self, region: &id::Region) -> Option<f64> {
        let own = self.catalog.region(&self.data_centre)?;
        let links = &self.catalog.fleet().links;
        let link = links.iter().find(|l| l.between.contains(own) && l.between.contains(region))?;
        let sharing = |m: &&Member| self.catalog.region(&m.data_centre) == Some(own);
        let hosts = self.view.live().filter(sharing).count().max(1);
        Some(link.capacity.as_bits() as f64 * LINK_SHARE / hosts as f64)
    }

    fn region_of(&self, host: &id::EntryHost) -> Option<id::Region> {
        let member = self.view.member(host)?;
        self.catalog.region(&member.data_centre).cloned()
    }

    fn enqueue(&mut self, now: Time, waiting: Waiting) {
        let service = waiting.ask.service.clone();
        let wait = self.own_wait(now, &service, &waiting.ask);
        let limit = self.sites.get(&service).map_or(0, |site| self.queue_limit(site)) as usize;
        let in_time = wait.is_some() || self.sites[&service].queue.len() >= limit;
        if limit == 0 || !in_time {
            return self.refuse(now, &waiting, "no target in reach can run it in time");
        }
        let Some(site) = self.sites.get_mut(&service) else { return };
        let ticket = waiting.ticket;
        match site.queue.push(waiting, limit) {
            Pushed::Waits => {
                self.queued.insert(ticket, service.clone());
            }
            Pushed::Evicted(evicted) => {
                self.queued.insert(ticket, service.clone());
                self.queued.remove(&evicted.ticket);
                self.refuse(now, &evicted, "the queue is full and the account has most in it");
            }
            Pushed::Full(waiting) => self.refuse(now, &waiting, "all queues in reach are full"),
        }
        let within = self.sites[&service].queue.len() <= limit;
        self.check(Invariant::Queue, within);
    }

    fn refuse(&mut self, now: Time, waiting: &Waiting, why: &'static str) {
        let site = self.sites.get(&waiting.ask.service);
        let load = site.map(|site| self.load(now, &waiting.ask.service, site));
        let wait = load.map_or(RETRY_AFTER_MIN, |load| expected_wait(&load, 0));
        let refusal = Refusal::not_run(Code::NoRoom, why).retry_after(wait.max(RETRY_AFTER_MIN));
        self.act(waiting.ticket, Decision::Refuse(refusal), why);
    }

    fn expire(&mut self, now: Time, service: &id::Service) {
        while let Some(site) = self.sites.get_mut(service) {
            let Some(expired) = site.queue.pop_expired(now) else { return };
            self.queued.remove(&expired.ticket);
            let refusal = Refusal::not_run(Code::DeadlineExceeded, "while it waited for a slot")
                .retry_after(RETRY_AFTER_MIN);
            self.act(expired.ticket, Decision::Refuse(refusal), "the deadline passed in the queue");
        }
    }

    /// Hands free slots to requests that wait.
    fn serve(&mut self, now: Time, service: &id::Service) {
        loop {
            let Some(site) = self.sites.get(service) else { return };
            if site.queue.is_empty() {
                return;
            }
            let Some(target) = self.free_target(now, site) else { return };
            let Some(site) = self.sites.get_mut(service) else { return };
            let Some(waiting) = site.queue.pop() else { return };
            self.queued.remove(&waiting.ticket);
            if waiting.ask.deadline <= now {
                let refusal =
                    Refusal::not_run(Code::DeadlineExceeded, "while it waited for a slot");
                self.act(waiting.ticket, Decision::Refuse(refusal), "the deadline has passed");
                continue;
            }
            self.run(now, waiting.ticket, target, "its turn in the queue");
        }
    }

    /// Hands requests that wait here to owners that have room by now.
    fn relocate(&mut self, now: Time, service: &id::Service) {
        loop {
            let Some(site) = self.sites.get(service) else { return };
            let head = site.queue.first(|waiting| !waiting.ask.forwarded).cloned();
            let Some(waiting) = head else { return };
            let Some(owner) = self.idle_owner(now, &waiting.ask) else { return };
            self.cancel(waiting.ticket);
            self.forward(now, &waiting, &owner, "room there while it waited");
        }
    }

    fn idle_owner(&mut self, now: Time, ask: &PlacementRequest) -> Option<Owner> {
        let own = self.own_wait(now, &ask.service, ask).unwrap_or(Duration::MAX);
        let candidates = self.candidates(now, ask).into_iter();
        let near = candidates.filter(|(owner, outlook, cost)| {
            outlook.free > 0 && !owner.distance.is_far() && *cost < own
        });
        near.min_by_key(|(_, _, cost)| *cost).map(|(owner, _, _)| owner)
    }

    fn update_slots(&mut self, now: Time, old_catalog: &Catalog, old_view: &View) {
        let catalog = Arc::clone(&self.catalog);
        let view = Arc::clone(&self.view);
        let data_centre = self.data_centre.clone();
        let mut seen = HashSet::new();
        for service in catalog.services() {
            let here = |t: &&Target| t.data_centre == data_centre;
            for target in service.targets.iter().filter(here) {
                seen.insert(target.name.clone());
                let known = self.started && configured(old_catalog, service, target);
                self.update_target(now, &view, old_view, service, target, known);
            }
        }
        for (name, slots) in &mut self.slots {
            if !seen.contains(name) {
                slots.lose();
            }
        }
        self.slots.retain(|name, slots| seen.contains(name) || slots.used() > 0);
    }

    fn update_target(
        &mut self,
        now: Time,
        view: &View,
        old_view: &View,
        service: &Service,
        target: &Target,
        known: bool,
    ) {
        let owner = view.owner(&self.data_centre, target.name.as_str());
        let mine = owner.is_some_and(|m| m.name == self.host);
        let slots = self
            .slots
            .entry(target.name.clone())
            .or_insert_with(|| Slots::new(service.name.clone(), target.clone()));
        slots.set_target(target.clone());
        match (mine, slots.is_owned()) {
            (true, false) if self.started && !known => slots.take_new(now),
            (true, false) => {
                let earlier = earlier_owners(&self.host, &self.data_centre, view, old_view);
                let boots = !self.started;
                let listen = if boots { LISTEN_AT_START } else { Duration::ZERO };
                let half = boots || earlier.is_empty();
                let until = now + PAUSE_MAX + self.longest;
                slots.take_over(earlier, self.number, now + listen, until, half);
            }
            (false, true) => slots.lose(),
            (true, true) => {
                let hosts = earlier_owners(&self.host, &self.data_centre, view, old_view);
                for host in hosts.iter().filter(|host| old_view.member(host).is_none()) {
                    slots.await_host(now, host, self.number);
                }
            }
            (false, false) => {}
        }
    }

    fn update_sites(&mut self, now: Time) {
        let catalog = Arc::clone(&self.catalog);
        let region = catalog.region(&self.data_centre);
        let gone: Vec<id::Service> =
            self.sites.keys().filter(|n| catalog.service(n).is_none()).cloned().collect();
        for name in gone {
            self.close(now, &name);
        }
        for service in catalog.services() {
            let owners = self.owners(service);
            let here = service
                .targets
                .iter()
                .filter(|t| self.slots.get(&t.name).is_some_and(|slots| slots.is_owned()));
            let owned = here.map(|t| t.name.clone()).collect();
            let local = service.targets.iter().any(|t| catalog.region(&t.data_centre) == region);
            let site = self.sites.entry(service.name.clone()).or_insert_with(|| Site::new(now));
            (site.owners, site.owned, site.local) = (owners, owned, local);
            self.shrink(now, &service.name);
        }
    }

    /// Refuses what waits for a service that has left the configuration.
    fn close(&mut self, now: Time, service: &id::Service) {
        while let Some(waiting) = self.sites.get_mut(service).and_then(|s| s.queue.pop()) {
            self.queued.remove(&waiting.ticket);
            self.refuse(now, &waiting, "the service has left the configuration");
        }
        self.sites.remove(service);
    }

    /// Finds another place for what waits beyond the queue's bound.
    fn shrink(&mut self, now: Time, service: &id::Service) {
        let Some(site) = self.sites.get(service) else { return };
        let limit = self.queue_limit(site) as usize;
        while let Some(site) = self.sites.get_mut(service).filter(|s| s.queue.len() > limit) {
            let Some(waiting) = site.queue.pop() else { return };
            self.queued.remove(&waiting.ticket);
            match self.better_owner(now, &waiting.ask).filter(|_| !waiting.ask.forwarded) {
                Some(owner) => self.forward(now, &waiting, &owner, "its targets have gone"),
                None => self.refuse(now, &waiting, "its targets have gone"),
            }
        }
    }

    /// Returns the hosts that own targets of a service, each once.
    fn owners(&self, service: &Service) -> Vec<Owner> {
        let mut owners: Vec<Owner> = Vec::new();
        for target in service.targets.iter().filter(|t| !t.draining) {
            let Some(member) = self.view.owner(&target.data_centre, target.name.as_str()) else {
                continue;
            };
            if owners.iter().all(|owner| owner.host != member.name) {
                let distance = self.distance(&target.data_centre);
                owners.push(Owner { host: member.name.clone(), distance });
            }
        }
        owners
    }

    fn distance(&self, data_centre: &id::DataCentre) -> Distance {
        let (own, other) =
            (self.catalog.region(&self.data_centre), self.catalog.region(data_centre));
        if *data_centre == self.data_centre {
            return Distance::DataCentre;
        }
        let (Some(own), Some(other)) = (own, other) else {
            return Distance::Far { latency: UNKNOWN_LINK_LATENCY };
        };
        if own == other {
            return Distance::Region;
        }
        let links = &self.catalog.fleet().links;
        let link = links.iter().find(|l| l.between.contains(own) && l.between.contains(other));
        let latency = link.map_or(UNKNOWN_LINK_LATENCY, |link| link.latency.as_duration());
        Distance::Far { latency }
    }
}

/// Returns the hosts that may have handed out a target's slots before `host`.
fn earlier_owners(
    host: &id::EntryHost,
    data_centre: &id::DataCentre,
    view: &View,
    old_view: &View,
) -> Vec<id::EntryHost> {
    let members = old_view.members.iter().chain(&view.members);
    let others = members.filter(|m| m.name != *host && m.data_centre == *data_centre);
    let mut names: Vec<id::EntryHost> = others.map(|m| m.name.clone()).collect();
    names.sort();
    names.dedup();
    names
}

fn configured(catalog: &Catalog, service: &Service, target: &Target) -> bool {
    let service = catalog.service(&service.name);
    service.is_some_and(|s| s.targets.iter().any(|t| t.name == target.name))
}

/// Returns the longest deadline that a request may have.
fn longest_deadline(catalog: &Catalog) -> Duration {
    let fleet = catalog.fleet();
    let excepted = fleet.exceptions.iter().filter_map(|exception| match exception.value {
        Value::Deadline(span) => Some(span),
        _ => None,
    });
    let routes = fleet.routes.iter().filter_map(|route| route.deadline);
    let longest = routes.chain(excepted).chain([fleet.defaults.deadline]).max();
    longest.map_or(Duration::ZERO, |span| span.as_duration())
}

/// Returns the key by which the least wins with a chance in proportion to `weight`.
#[allow(clippy::cast_precision_loss, reason = "the upper bits of a hash are enough")]
fn weighted(hash: u64, weight: u32) -> f64 {
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -uniform.ln() / f64::from(weight.max(1))
}
