/*!
Capacity of targets, and which requests use it.

Each target is owned by one entry host of its own data centre, selected by rendezvous hashing over
that data centre's live hosts. Only this owner sends requests to the target, so it counts the
target's slots exactly. Requests that find no free slot wait in the owner's bounded queue, which is
fair between client accounts. Other hosts forward requests to the owner that they expect to serve
them first.

A [`Room`] holds the state of one host. Its methods take the time and an event, and record
[`Action`]s, which [`Room::take_actions`] returns.
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
    hint::{Estimate, Hints, expected_wait},
    queue::{Pushed, Queue, Waiting},
    shift::{Allowance, Shift},
    slots::{PeerClaim, Slots},
};

const SAME_DATA_CENTRE_LATENCY: Duration = Duration::from_micros(200);
const SAME_REGION_LATENCY: Duration = Duration::from_micros(1_500);
const UNKNOWN_LINK_LATENCY: Duration = Duration::from_millis(40);
const HOLD_INITIAL: Duration = Duration::from_millis(50);
/// Reciprocal of the weight of one request in the mean hold time.
const HOLD_WEIGHT: u32 = 16;
/// Difference up to which expected times count as equal.
const COST_TOLERANCE: Duration = Duration::from_millis(1);
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Time for which a host that starts only listens to other hosts before it uses slots.
const LISTEN_TIME: Duration = Duration::from_millis(500);
/// Gap between calls after which other hosts may have taken over this host's targets.
const PAUSE_MAX: Duration = Duration::from_secs(1);
/// Share of a link that requests may use; the rest is left to other traffic.
const LINK_SHARE: f64 = 0.8;
const BITS_PER_BYTE: f64 = 8.0;

/// Identifier of a placement request, under which its decision is returned.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// A request that needs a slot.
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
    /// Time at which the request is refused if it still waits.
    pub deadline: Time,
    /// Expected size of the request and its answer.
    pub bytes: u64,
    /// Whether another entry host forwarded it; it is run here or refused.
    pub forwarded: bool,
    /// Entry hosts that refused it without running it.
    pub tried: Vec<id::EntryHost>,
    /// Whether it is a retry after a target failed before running it.
    pub retry: bool,
}

/// Decision on a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Run it on a target; its slot is taken.
    Run(id::Target),
    /// Forward it to another entry host.
    Forward(id::EntryHost),
    /// Refuse it.
    Refuse(Refusal),
}

/// A decision on one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Action {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// Decision on it.
    pub decision: Decision,
    /// Reason of the decision.
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
        /// Pause that the target requested.
        pause: Option<Duration>,
    },
    /// The target could not be reached.
    Unreachable,
    /// The request ended without information on the target's state.
    Unknown,
}

/// An invariant of the room.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Invariant {
    /// A target has at most its slots in use.
    Slots,
    /// Only the owner of a target sends it requests.
    Owner,
    /// No draining target gets new requests.
    Drain,
    /// Traffic between regions stays under its cap.
    Shift,
    /// A queue stays within its bound.
    Queue,
    /// Each slot is released once.
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

/// Distance to another host.
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

/// State of one service at this host.
#[derive(Debug)]
struct ServiceState {
    owners: Vec<Owner>,
    owned: Vec<id::Target>,
    /// Whether the region has targets of the service. Only then does the shift cap apply to
    /// crossings.
    is_local: bool,
    queue: Queue,
    mean_hold: Duration,
    shift: Shift,
    retries: Budget,
}

impl ServiceState {
    fn new(now: Time) -> ServiceState {
        ServiceState {
            owners: Vec::new(),
            owned: Vec::new(),
            is_local: false,
            queue: Queue::default(),
            mean_hold: HOLD_INITIAL,
            shift: Shift::new(now),
            retries: Budget::default(),
        }
    }
}

/// Capacity of the targets that one entry host owns.
#[derive(Debug)]
pub struct Room {
    host: id::EntryHost,
    incarnation: Incarnation,
    data_centre: id::DataCentre,
    catalog: Arc<Catalog>,
    view: Arc<View>,
    started: bool,
    last_call: Time,
    slots: BTreeMap<id::Target, Slots>,
    services: HashMap<id::Service, ServiceState>,
    queued: HashMap<Ticket, id::Service>,
    hints: Hints,
    digest_number: u64,
    echoes: HashMap<id::EntryHost, (Incarnation, u64)>,
    links: HashMap<id::Region, Allowance>,
    longest_deadline: Duration,
    actions: Vec<Action>,
    violations: Vec<Invariant>,
}

impl Room {
    /// Creates the room of `host`, which owns no targets until [`Room::update`].
    pub fn new(host: id::EntryHost, incarnation: Incarnation, data_centre: id::DataCentre) -> Room {
        Room {
            host,
            incarnation,
            data_centre,
            catalog: Arc::default(),
            view: Arc::default(),
            started: false,
            last_call: Time::ZERO,
            slots: BTreeMap::new(),
            services: HashMap::new(),
            queued: HashMap::new(),
            hints: Hints::default(),
            digest_number: 0,
            echoes: HashMap::new(),
            links: HashMap::new(),
            longest_deadline: Duration::ZERO,
            actions: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Returns the decisions since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the invariants violated since the last call.
    pub fn take_violations(&mut self) -> Vec<Invariant> {
        std::mem::take(&mut self.violations)
    }

    /// Applies a configuration and a membership view.
    pub fn update(&mut self, now: Time, catalog: &Arc<Catalog>, view: &Arc<View>) {
        if Arc::ptr_eq(&self.catalog, catalog) && Arc::ptr_eq(&self.view, view) {
            return;
        }
        self.detect_pause(now);
        let previous = (Arc::clone(&self.catalog), Arc::clone(&self.view));
        (self.catalog, self.view) = (Arc::clone(catalog), Arc::clone(view));
        self.longest_deadline = longest_deadline(catalog);
        self.hints.retain(|name| view.member(name).is_some_and(|m| m.state != State::Dead));
        self.update_slots(now, &previous.0, &previous.1);
        self.update_services(now);
        self.started |= catalog.revision() > id::Revision::default();
        self.tick(now);
    }

    /// Places a request; the decision follows at once or after a later call.
    pub fn place(&mut self, now: Time, ticket: Ticket, request: PlacementRequest) {
        self.detect_pause(now);
        let interval = self.catalog.fleet().defaults.shift_interval.as_duration();
        let cap = self.shift_cap(&request.service);
        let Some(state) = self.services.get_mut(&request.service) else {
            let refusal = Refusal::not_run(Code::UnknownService, request.service.as_str());
            return self.decide(ticket, Decision::Refuse(refusal), "unknown service");
        };
        if request.tried.is_empty() && !request.retry {
            state.retries.earn(self.catalog.fleet().defaults.retry_percent);
        }
        if !request.forwarded && request.tried.is_empty() && !request.retry {
            state.shift.arrive(now, interval, cap);
        }
        let may_try = !request.retry || state.retries.take();
        let waiting = Waiting { ticket, request };
        if !may_try {
            return self.refuse(now, &waiting, "the retry budget of the service is used up");
        }
        if self.try_run(now, &waiting) {
            return;
        }
        if !waiting.request.forwarded {
            if let Some(owner) = self.better_owner(now, &waiting.request) {
                return self.forward(now, &waiting, &owner, "shorter expected wait there");
            }
        }
        self.enqueue(now, waiting);
    }

    /// Drops a request whose sender has gone away, unless it has been decided.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(service) = self.queued.remove(&ticket) {
            if let Some(state) = self.services.get_mut(&service) {
                state.queue.remove(ticket);
            }
        }
    }

    /// Releases the slot of a request that has ended.
    pub fn end(&mut self, now: Time, target: &id::Target, outcome: Outcome) {
        self.detect_pause(now);
        let Some(slots) = self.slots.get_mut(target) else { return };
        let service = slots.service.clone();
        let taken = slots.release();
        match outcome {
            Outcome::Answered { held } => {
                slots.record_success(now);
                if let Some(state) = self.services.get_mut(&service) {
                    state.mean_hold = (state.mean_hold * (HOLD_WEIGHT - 1) + held) / HOLD_WEIGHT;
                }
            }
            Outcome::Shed { pause } => slots.record_shed(now, pause),
            Outcome::Unreachable => slots.record_unreachable(now),
            Outcome::Unknown => {}
        }
        self.check(Invariant::Release, taken);
        self.serve(now, &service);
    }

    /// Expires requests that have reached their deadline, and uses slots that have become
    /// available.
    pub fn tick(&mut self, now: Time) {
        self.detect_pause(now);
        for slots in self.slots.values_mut() {
            slots.tick(now, self.longest_deadline);
        }
        let services: Vec<id::Service> = self.services.keys().cloned().collect();
        for service in services {
            self.expire(now, &service);
            self.serve(now, &service);
        }
    }

    /// Returns a new digest for other hosts.
    pub fn digest(&mut self, now: Time) -> Digest {
        self.digest_number += 1;
        let loads = self.services.iter().filter(|(_, state)| !state.owned.is_empty());
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
            number: self.digest_number,
            echoes: self.echoes.iter().map(echo).collect(),
            loads: loads.map(|(name, state)| self.load(now, name, state)).collect(),
            holds: held.map(hold).collect(),
        }
    }

    /// Applies another host's digest.
    pub fn apply_digest(&mut self, now: Time, host: &id::EntryHost, digest: Digest) {
        self.detect_pause(now);
        let Some(member) = self.view.member(host) else { return };
        if member.data_centre == self.data_centre {
            if !self.is_newer(host, &digest) {
                return;
            }
            self.apply_holds(now, host, &digest);
        }
        let free: Vec<id::Service> =
            digest.loads.iter().filter(|l| l.free > 0).map(|l| l.service.clone()).collect();
        self.hints.update(now, host, digest.loads);
        for service in free {
            self.forward_waiting(now, &service);
        }
        let services: Vec<id::Service> = self.services.keys().cloned().collect();
        for service in services {
            self.serve(now, &service);
        }
    }

    /// Records a digest of a host of this data centre; returns false if a later one was received
    /// before.
    fn is_newer(&mut self, host: &id::EntryHost, digest: &Digest) -> bool {
        let last = self.echoes.get(host).copied();
        let is_outdated = last.is_some_and(|(incarnation, number)| {
            incarnation == digest.incarnation && number >= digest.number
        });
        if !is_outdated {
            self.echoes.insert(host.clone(), (digest.incarnation, digest.number));
        }
        !is_outdated
    }

    fn apply_holds(&mut self, now: Time, host: &id::EntryHost, digest: &Digest) {
        let is_own = |echo: &&Echo| echo.host == self.host && echo.incarnation == self.incarnation;
        let echo = digest.echoes.iter().find(is_own).map_or(0, |echo| echo.number);
        let holds: HashMap<&id::Target, &Hold> =
            digest.holds.iter().map(|hold| (&hold.target, hold)).collect();
        let until = now + PAUSE_MAX + self.longest_deadline;
        for (name, slots) in &mut self.slots {
            let hold = holds.get(name);
            let rank = |host: &id::EntryHost| rendezvous_score(host.as_str(), name.as_str());
            let claim = PeerClaim {
                claim: hold.map_or(Claim::None, |hold| hold.claim),
                running: hold.map_or(0, |hold| hold.running),
                echo,
                ranks_lower: rank(host) < rank(&self.host),
                until,
            };
            slots.apply_peer_claim(now, host, claim);
        }
    }

    /// Records that a request that was forwarded to another host has ended there.
    pub fn record_forward_end(&mut self, host: &id::EntryHost, service: &id::Service) {
        self.hints.record_forward_end(host, service);
    }

    /// Records that another host had no capacity for a request of a service.
    pub fn record_refusal(&mut self, now: Time, host: &id::EntryHost, service: &id::Service) {
        self.hints.mark_full(now, host, service);
    }

    /// Records that another host could not be reached.
    pub fn record_unreachable(&mut self, now: Time, host: &id::EntryHost) {
        self.hints.mark_unreachable(now, host);
    }

    /// Charges the bytes that a request used on the link to a host beyond the expected size.
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

    /// Returns the number of waiting requests of a service.
    pub fn queued(&self, service: &id::Service) -> usize {
        self.services.get(service).map_or(0, |state| state.queue.len())
    }

    /// Returns the number of waiting requests of each client account at a service.
    pub fn queued_accounts(&self, service: &id::Service) -> Vec<(Option<id::Account>, usize)> {
        let Some(state) = self.services.get(service) else { return Vec::new() };
        state.queue.accounts().map(|(name, waiting)| (name.clone(), waiting)).collect()
    }

    /// Returns the requests of a service that arrived, and those that crossed to other regions, in
    /// the current interval.
    pub fn crossings(&self, service: &id::Service) -> (u64, u64) {
        self.services.get(service).map_or((0, 0), |state| state.shift.counts())
    }

    /// Returns the load of a service at the targets owned here.
    pub fn service_load(&self, now: Time, service: &id::Service) -> Option<Load> {
        self.services.get(service).map(|state| self.load(now, service, state))
    }

    /// Returns the targets that this host owns or still runs requests on, with their used and
    /// usable slots, and whether they drain.
    pub fn targets(&self, now: Time) -> Vec<(id::Target, u32, u32, bool)> {
        let held = self.slots.iter().filter(|(_, s)| s.is_owned() || s.used() > 0);
        held.map(|(name, s)| (name.clone(), s.used(), s.open(now), s.target().draining)).collect()
    }

    fn decide(&mut self, ticket: Ticket, decision: Decision, reason: &'static str) {
        self.actions.push(Action { ticket, decision, reason });
    }

    fn check(&mut self, invariant: Invariant, holds: bool) {
        debug_assert!(holds, "{} at {}", invariant.as_str(), self.host);
        if !holds {
            self.violations.push(invariant);
        }
    }

    /// Records the time of a call. After a pause, other hosts may own this host's targets, so they
    /// are taken over again.
    fn detect_pause(&mut self, now: Time) {
        let paused = now.since(self.last_call) > PAUSE_MAX;
        self.last_call = self.last_call.max(now);
        if !paused || !self.started {
            return;
        }
        let earlier = earlier_owners(&self.host, &self.data_centre, &self.view, &self.view);
        if earlier.is_empty() {
            return;
        }
        let until = now + PAUSE_MAX + self.longest_deadline;
        for slots in self.slots.values_mut().filter(|slots| slots.is_owned()) {
            slots.take_over(earlier.clone(), self.digest_number, now, until, false);
        }
    }

    /// Runs a request on a free target, unless others wait before it.
    fn try_run(&mut self, now: Time, waiting: &Waiting) -> bool {
        let Some(state) = self.services.get(&waiting.request.service) else { return false };
        if !state.queue.is_empty() {
            return false;
        }
        let Some(target) = self.free_target(now, state) else { return false };
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
        self.decide(ticket, Decision::Run(target), reason);
    }

    /// Returns the least used target with a free slot; among equals, the one whose last
    /// slot was taken the longest ago.
    fn free_target(&self, now: Time, state: &ServiceState) -> Option<id::Target> {
        let free = state.owned.iter().filter(|name| self.slots[*name].free(now) > 0);
        let usage = |name: &&id::Target| {
            let slots = &self.slots[*name];
            (slots.used() * 1_000 / slots.open(now).max(1), slots.taken_at())
        };
        free.min_by_key(usage).cloned()
    }

    /// Returns the owner that is expected to serve a request sooner than this host.
    fn better_owner(&mut self, now: Time, request: &PlacementRequest) -> Option<Owner> {
        let own_wait = self.own_wait(now, &request.service, request);
        let candidates = self.candidates(now, request);
        let least = candidates.iter().map(|(_, _, cost)| *cost).min()?;
        if own_wait.is_some_and(|wait| wait <= least) {
            return None;
        }
        let closest = candidates.into_iter().filter(|(_, _, cost)| *cost <= least + COST_TOLERANCE);
        let request_id = request.request.to_string();
        let key = |(owner, estimate, _): &(Owner, Estimate, Duration)| {
            weighted_key(rendezvous_score(owner.host.as_str(), &request_id), estimate.free)
        };
        closest.min_by(|a, b| key(a).total_cmp(&key(b))).map(|(owner, _, _)| owner)
    }

    /// Returns the owners that may take a request, each with the expected time until it runs there.
    fn candidates(
        &mut self,
        now: Time,
        request: &PlacementRequest,
    ) -> Vec<(Owner, Estimate, Duration)> {
        let may_cross = self.may_cross(now, &request.service);
        let Some(state) = self.services.get(&request.service) else { return Vec::new() };
        let mut found = Vec::new();
        for owner in &state.owners {
            let is_blocked = || !may_cross || !self.link_has_capacity(now, request, &owner.host);
            if (owner.distance.is_far() && is_blocked())
                || owner.host == self.host
                || request.tried.contains(&owner.host)
            {
                continue;
            }
            let Some(estimate) = self.hints.estimate(now, &owner.host, &request.service) else {
                continue;
            };
            let cost = owner.distance.round_trip() + estimate.wait;
            if now + cost < request.deadline {
                found.push((owner.clone(), estimate, cost));
            }
        }
        found
    }

    /// Returns the expected wait at this host; `None` if the request cannot wait here.
    fn own_wait(
        &self,
        now: Time,
        service: &id::Service,
        request: &PlacementRequest,
    ) -> Option<Duration> {
        let state = self.services.get(service)?;
        let load = self.load(now, service, state);
        if load.queue_room == 0 {
            return None;
        }
        let wait = expected_wait(&load, 0);
        (now + wait < request.deadline).then_some(wait)
    }

    fn load(&self, now: Time, name: &id::Service, state: &ServiceState) -> Load {
        let sum = |of: fn(&Slots, Time) -> u32| -> u32 {
            state.owned.iter().map(|name| of(&self.slots[name], now)).sum()
        };
        let waiting = u32::try_from(state.queue.len()).unwrap_or(u32::MAX);
        Load {
            service: name.clone(),
            slots: sum(Slots::open),
            free: sum(Slots::free),
            queued: waiting,
            queue_room: self.queue_limit(state).saturating_sub(waiting),
            hold: state.mean_hold,
        }
    }

    fn queue_limit(&self, state: &ServiceState) -> u32 {
        let slots = state.owned.iter().map(|name| self.slots[name].target());
        let slots: u32 = slots.filter(|t| !t.draining).map(|t| t.slots).sum();
        slots * self.catalog.fleet().defaults.queue_per_slot
    }

    /// Returns the part of a service's shift cap that forwarded requests may use; look-ups use the
    /// rest.
    fn shift_cap(&self, service: &id::Service) -> f64 {
        self.catalog.service(service).map_or(0.0, |s| s.shift_cap * (1.0 - LOOK_UP_SHARE))
    }

    fn may_cross(&mut self, now: Time, service: &id::Service) -> bool {
        let interval = self.catalog.fleet().defaults.shift_interval.as_duration();
        let cap = self.shift_cap(service);
        let Some(state) = self.services.get_mut(service) else { return false };
        !state.is_local || state.shift.may_cross(now, interval, cap)
    }

    fn forward(&mut self, now: Time, waiting: &Waiting, owner: &Owner, reason: &'static str) {
        let service = &waiting.request.service;
        if owner.distance.is_far() && !self.cross(now, &waiting.request, &owner.host) {
            return self.enqueue(now, waiting.clone());
        }
        self.hints.record_forward(&owner.host, service);
        self.decide(waiting.ticket, Decision::Forward(owner.host.clone()), reason);
    }

    /// Charges a request to the link and the shift cap; returns whether it may cross.
    #[allow(clippy::cast_precision_loss, reason = "a request has far fewer bytes than 2^52")]
    fn cross(&mut self, now: Time, request: &PlacementRequest, host: &id::EntryHost) -> bool {
        let Some(region) = self.region_of(host) else { return false };
        let bits_per_s = self.link_share(&region);
        let bits = request.bytes as f64 * BITS_PER_BYTE;
        let allowance = self.links.entry(region).or_insert_with(|| Allowance::new(Time::ZERO));
        if bits_per_s.is_some_and(|bits_per_s| !allowance.take(now, bits_per_s, bits)) {
            return false;
        }
        let cap = self.shift_cap(&request.service);
        let Some(state) = self.services.get_mut(&request.service) else { return false };
        let held = state.shift.cross(cap) || !state.is_local;
        self.check(Invariant::Shift, held);
        true
    }

    /// Returns whether the link to a host has capacity for a request.
    #[allow(clippy::cast_precision_loss, reason = "a request has far fewer bytes than 2^52")]
    fn link_has_capacity(
        &self,
        now: Time,
        request: &PlacementRequest,
        host: &id::EntryHost,
    ) -> bool {
        let Some(region) = self.region_of(host) else { return false };
        let Some(bits_per_s) = self.link_share(&region) else { return true };
        let bits = request.bytes as f64 * BITS_PER_BYTE;
        let unused = Allowance::new(Time::ZERO);
        self.links.get(&region).unwrap_or(&unused).has(now, bits_per_s, bits)
    }

    /// Returns this host's share of the link to a region, in bits a second.
    #[allow(clippy::cast_precision_loss, reason = "a link has far fewer bits than 2^52")]
    fn link_share(&self, region: &id::Region) -> Option<f64> {
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
        let service = waiting.request.service.clone();
        let wait = self.own_wait(now, &service, &waiting.request);
        let limit = self.services.get(&service).map_or(0, |state| self.queue_limit(state)) as usize;
        let in_time = wait.is_some() || self.services[&service].queue.len() >= limit;
        if limit == 0 || !in_time {
            return self.refuse(now, &waiting, "no target in reach can run it in time");
        }
        let Some(state) = self.services.get_mut(&service) else { return };
        let ticket = waiting.ticket;
        match state.queue.push(waiting, limit) {
            Pushed::Queued => {
                self.queued.insert(ticket, service.clone());
            }
            Pushed::Evicted(evicted) => {
                self.queued.insert(ticket, service.clone());
                self.queued.remove(&evicted.ticket);
                self.refuse(
                    now,
                    &evicted,
                    "the queue is full, and the account has the most requests in it for its weight",
                );
            }
            Pushed::Full(waiting) => self.refuse(now, &waiting, "all queues in reach are full"),
        }
        let within = self.services[&service].queue.len() <= limit;
        self.check(Invariant::Queue, within);
    }

    fn refuse(&mut self, now: Time, waiting: &Waiting, reason: &'static str) {
        let state = self.services.get(&waiting.request.service);
        let load = state.map(|state| self.load(now, &waiting.request.service, state));
        let wait = load.map_or(RETRY_AFTER_MIN, |load| expected_wait(&load, 0));
        let refusal = Refusal::not_run(Code::NoRoom, reason).retry_after(wait.max(RETRY_AFTER_MIN));
        self.decide(waiting.ticket, Decision::Refuse(refusal), reason);
    }

    fn expire(&mut self, now: Time, service: &id::Service) {
        while let Some(state) = self.services.get_mut(service) {
            let Some(expired) = state.queue.pop_expired(now) else { return };
            self.queued.remove(&expired.ticket);
            let refusal = Refusal::not_run(Code::DeadlineExceeded, "while it waited for a slot")
                .retry_after(RETRY_AFTER_MIN);
            self.decide(
                expired.ticket,
                Decision::Refuse(refusal),
                "the deadline passed in the queue",
            );
        }
    }

    /// Runs waiting requests on free slots.
    fn serve(&mut self, now: Time, service: &id::Service) {
        loop {
            let Some(state) = self.services.get(service) else { return };
            if state.queue.is_empty() {
                return;
            }
            let Some(target) = self.free_target(now, state) else { return };
            let Some(state) = self.services.get_mut(service) else { return };
            let Some(waiting) = state.queue.pop() else { return };
            self.queued.remove(&waiting.ticket);
            if waiting.request.deadline <= now {
                let refusal =
                    Refusal::not_run(Code::DeadlineExceeded, "while it waited for a slot");
                self.decide(waiting.ticket, Decision::Refuse(refusal), "the deadline has passed");
                continue;
            }
            self.run(now, waiting.ticket, target, "its turn in the queue");
        }
    }

    /// Forwards waiting requests to owners of this region that have free slots now.
    fn forward_waiting(&mut self, now: Time, service: &id::Service) {
        loop {
            let Some(state) = self.services.get(service) else { return };
            let head = state.queue.first(|waiting| !waiting.request.forwarded).cloned();
            let Some(waiting) = head else { return };
            let Some(owner) = self.idle_owner(now, &waiting.request) else { return };
            self.cancel(waiting.ticket);
            self.forward(now, &waiting, &owner, "room there while it waited");
        }
    }

    fn idle_owner(&mut self, now: Time, request: &PlacementRequest) -> Option<Owner> {
        let own_wait = self.own_wait(now, &request.service, request).unwrap_or(Duration::MAX);
        let candidates = self.candidates(now, request).into_iter();
        let closest = candidates.filter(|(owner, estimate, cost)| {
            estimate.free > 0 && !owner.distance.is_far() && *cost < own_wait
        });
        closest.min_by_key(|(_, _, cost)| *cost).map(|(owner, _, _)| owner)
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
                let was_configured = self.started && is_configured(old_catalog, service, target);
                self.update_target(now, &view, old_view, service, target, was_configured);
            }
        }
        for (name, slots) in &mut self.slots {
            if !seen.contains(name) {
                slots.give_up_ownership();
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
        was_configured: bool,
    ) {
        let owner = view.owner(&self.data_centre, target.name.as_str());
        let is_own = owner.is_some_and(|m| m.name == self.host);
        let slots = self
            .slots
            .entry(target.name.clone())
            .or_insert_with(|| Slots::new(service.name.clone(), target.clone()));
        slots.set_target(target.clone());
        match (is_own, slots.is_owned()) {
            (true, false) if self.started && !was_configured => slots.take_new(now),
            (true, false) => {
                let earlier = earlier_owners(&self.host, &self.data_centre, view, old_view);
                let is_starting = !self.started;
                let listen = if is_starting { LISTEN_TIME } else { Duration::ZERO };
                let half = is_starting || earlier.is_empty();
                let until = now + PAUSE_MAX + self.longest_deadline;
                slots.take_over(earlier, self.digest_number, now + listen, until, half);
            }
            (false, true) => slots.give_up_ownership(),
            (true, true) => {
                let hosts = earlier_owners(&self.host, &self.data_centre, view, old_view);
                for host in hosts.iter().filter(|host| old_view.member(host).is_none()) {
                    slots.await_host(now, host, self.digest_number);
                }
            }
            (false, false) => {}
        }
    }

    fn update_services(&mut self, now: Time) {
        let catalog = Arc::clone(&self.catalog);
        let region = catalog.region(&self.data_centre);
        let removed: Vec<id::Service> =
            self.services.keys().filter(|n| catalog.service(n).is_none()).cloned().collect();
        for name in removed {
            self.remove_service(now, &name);
        }
        for service in catalog.services() {
            let owners = self.owners(service);
            let here = service
                .targets
                .iter()
                .filter(|t| self.slots.get(&t.name).is_some_and(|slots| slots.is_owned()));
            let owned = here.map(|t| t.name.clone()).collect();
            let is_local = service.targets.iter().any(|t| catalog.region(&t.data_centre) == region);
            let state =
                self.services.entry(service.name.clone()).or_insert_with(|| ServiceState::new(now));
            (state.owners, state.owned, state.is_local) = (owners, owned, is_local);
            self.trim_queue(now, &service.name);
        }
    }

    /// Refuses the waiting requests of a service that was removed from the configuration.
    fn remove_service(&mut self, now: Time, service: &id::Service) {
        while let Some(waiting) = self.services.get_mut(service).and_then(|s| s.queue.pop()) {
            self.queued.remove(&waiting.ticket);
            self.refuse(now, &waiting, "the service has left the configuration");
        }
        self.services.remove(service);
    }

    /// Forwards or refuses waiting requests beyond the queue's limit.
    fn trim_queue(&mut self, now: Time, service: &id::Service) {
        let Some(state) = self.services.get(service) else { return };
        let limit = self.queue_limit(state) as usize;
        while let Some(state) = self.services.get_mut(service).filter(|s| s.queue.len() > limit) {
            let Some(waiting) = state.queue.pop() else { return };
            self.queued.remove(&waiting.ticket);
            match self.better_owner(now, &waiting.request).filter(|_| !waiting.request.forwarded) {
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

/// Returns the hosts that may have used a target's slots before `host`.
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

fn is_configured(catalog: &Catalog, service: &Service, target: &Target) -> bool {
    let service = catalog.service(&service.name);
    service.is_some_and(|s| s.targets.iter().any(|t| t.name == target.name))
}

/// Returns the longest deadline of any request.
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

/// Returns a sort key; the least key of several wins with a probability proportional to its weight.
#[allow(clippy::cast_precision_loss, reason = "the upper bits of a hash are enough")]
fn weighted_key(hash: u64, weight: u32) -> f64 {
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -uniform.ln() / f64::from(weight.max(1))
}
