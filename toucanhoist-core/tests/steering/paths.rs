//! Hosts that lose their paths to targets, in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    ops::Range,
    time::Duration,
};

use {
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    rstest::rstest,
    toucanhoist_core::{
        id,
        steering::{
            Announced, Attempt, Balancer, Failure, Outcome, Path, Placement, Refused, Step, Target,
            Ticket,
        },
    },
};

use crate::support::{
    DATA_CENTRES, at, config, host_name, name, place_of, request, settings, target, target_name,
};

const PROCESSING_MS: u64 = 150;
/// Time between two hosts, or a host and a target.
const TRIP_MS: u64 = 2;
/// Time-outs of a direct attempt, and of each half of a tunnel.
const CONNECT_MS: u64 = 450;
const TUNNEL_CONNECT_MS: u64 = 210;
/// Time after which a silent connection is closed.
const SILENCE_MS: u64 = 2_000;
/// Time for which a tunnel is reused, and idle time after which a direct connection is not.
const TUNNEL_MS: u64 = 2_000;
const IDLE_MS: u64 = 8_500;
/// Deadline of a request; the objective of its route is 600 ms.
const DEADLINE_MS: u64 = 1_200;
/// Targets that a request may fail to reach before it is refused.
const UNREACHABLE_MAX: u32 = 3;
/// Tunnels that a host carries.
const TUNNELS_MAX: usize = 256;
/// Time of a host in which it still carries tunnels after it began to shut down.
const LEAVE_MS: u64 = 5_600;
/// Interval at which hosts process what waits.
const TICK_MS: u64 = 20;
/// Start of the cuts, and the users' bound on the time until callers must be served.
const CUT_MS: u64 = 4_000;
const GRACE_MS: u64 = 3_000;
const END_MS: u64 = 12_000;

/// What a cut does to connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    /// Open ones fall silent, new ones are not established.
    Hang,
    /// Open ones are reset, new ones are refused.
    Reset,
    /// Open ones work, new ones are refused.
    RefuseNew,
}

/// A cut between some hosts and some targets.
#[derive(Clone, Debug)]
struct Cut {
    hosts: BTreeSet<usize>,
    targets: BTreeSet<usize>,
    kind: Kind,
    time: Range<u64>,
}

impl Cut {
    fn holds(&self, now: u64, host: usize, target: usize) -> bool {
        self.time.contains(&now) && self.hosts.contains(&host) && self.targets.contains(&target)
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Serving,
    Leaving,
    Dead,
}

struct Host {
    balancer: Balancer,
    state: State,
    /// Idle connections by target: when they were last in use, and who carries them.
    idle: HashMap<usize, Vec<(u64, Option<usize>)>>,
    /// Requests and idle connections that it carries for others.
    tunnels: usize,
    most_tunnels: usize,
    /// Tunnels that it was asked for.
    asked: usize,
    /// Direct attempts to connect.
    attempts: usize,
}

/// A request, from its arrival until its caller has an answer.
struct Call {
    host: usize,
    is_repeatable: bool,
    arrived: u64,
    sends: u32,
    unreachable: u32,
    may_have_run: bool,
    tried: Vec<id::Target>,
    ticket: Option<Ticket>,
    via: Option<usize>,
    /// Number of the attempt, so that events of earlier ones are ignored.
    attempt: u32,
    end: Option<(u64, End)>,
    runs: u32,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Served,
    /// Refused as not run, with a time to come back.
    NotRun(Duration),
    MayHaveRun,
}

/// Attempts to connect that go on at the same time.
struct Race {
    host: usize,
    target: usize,
    /// The request that needs the connection, with its attempt; `None` for a probe.
    call: Option<(u64, u32)>,
    steps: VecDeque<Step>,
    pending: usize,
    is_over: bool,
}

enum Event {
    Arrive(usize),
    Tick(usize),
    /// The next attempt of a race is due, unless it has begun already.
    Next(u64, usize),
    /// A host is asked to carry a tunnel.
    Ask(u64, usize),
    /// An attempt of a race has ended.
    Connected(u64, Path, Result<(), Failure>),
    /// The direct attempt of a host that carries a tunnel has ended.
    TunnelEnd(u64, usize, Result<(), Failure>),
    Answer(u64, u32),
    Silent(u64, u32),
    Deadline(u64),
    CutBegins(usize),
    Exchange,
}

struct Fleet {
    rng: Xoshiro256PlusPlus,
    hosts: Vec<Host>,
    target_count: usize,
    cuts: Vec<Cut>,
    calls: BTreeMap<u64, Call>,
    /// Calls without an end.
    open: BTreeSet<u64>,
    races: HashMap<u64, Race>,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    now: u64,
    /// Requests a second of each host's callers.
    rate: f64,
    /// Arrivals at each target.
    arrivals: Vec<Vec<u64>>,
    dead_targets: BTreeSet<usize>,
}

fn number(text: &str) -> usize {
    text[1..].parse().expect("a number")
}

fn all(count: usize) -> BTreeSet<usize> {
    (0..count).collect()
}

impl Fleet {
    fn new(hosts: usize, rate: f64, seed: u64) -> Fleet {
        let target_count = (hosts / 2).clamp(12, 90);
        let mut fleet = Fleet {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            hosts: Vec::new(),
            target_count,
            cuts: Vec::new(),
            calls: BTreeMap::new(),
            open: BTreeSet::new(),
            races: HashMap::new(),
            events: BTreeMap::new(),
            next: 0,
            now: 0,
            rate,
            arrivals: vec![Vec::new(); target_count],
            dead_targets: BTreeSet::new(),
        };
        for number in 0..hosts {
            let host = Host {
                balancer: fleet.balancer(number, hosts),
                state: State::Serving,
                idle: HashMap::new(),
                tunnels: 0,
                most_tunnels: 0,
                asked: 0,
                attempts: 0,
            };
            fleet.hosts.push(host);
            let first = fleet.rng.random_range(0..1_000);
            fleet.add(first, Event::Arrive(number));
            fleet.add(number as u64 % TICK_MS, Event::Tick(number));
        }
        fleet.add(150, Event::Exchange);
        fleet
    }

    fn balancer(&self, number: usize, hosts: usize) -> Balancer {
        let mut balancer = Balancer::new(settings(host_name(number).as_str(), place_of(number)));
        let now = at(self.now);
        balancer.set_config(now, &config());
        let registered = (0..hosts).map(|number| (host_name(number), name(place_of(number))));
        balancer.set_hosts(now, registered.collect());
        for number in 0..self.target_count {
            balancer.set_target(now, &target_name(number), Some(&entry(number)));
        }
        balancer
    }

    fn add(&mut self, time: u64, event: Event) {
        self.next += 1;
        self.events.insert((time, self.next), event);
    }

    fn cut(
        &mut self,
        hosts: BTreeSet<usize>,
        targets: BTreeSet<usize>,
        kind: Kind,
        time: Range<u64>,
    ) {
        self.add(time.start, Event::CutBegins(self.cuts.len()));
        self.cuts.push(Cut { hosts, targets, kind, time });
    }

    fn kind(&self, host: usize, target: usize) -> Option<Kind> {
        self.cuts.iter().find(|cut| cut.holds(self.now, host, target)).map(|cut| cut.kind)
    }

    fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.events.first_entry().filter(|next| next.key().0 <= end) {
            let ((time, _), event) = entry.remove_entry();
            self.now = time;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(host) => self.arrive(host),
            Event::Tick(host) => self.tick(host),
            Event::Next(race, left) => {
                let is_due =
                    self.races.get(&race).is_some_and(|r| !r.is_over && r.steps.len() == left);
                if is_due {
                    self.begin_step(race);
                }
            }
            Event::Ask(race, helper) => self.ask(race, helper),
            Event::Connected(race, path, result) => self.connected(race, path, result),
            Event::TunnelEnd(race, helper, result) => self.tunnel_end(race, helper, result),
            Event::Answer(call, attempt) => self.answer(call, attempt),
            Event::Silent(call, attempt) => self.disconnected(call, attempt),
            Event::Deadline(call) => self.deadline(call),
            Event::CutBegins(cut) => self.begin_cut(cut),
            Event::Exchange => self.exchange(),
        }
    }

    fn arrive(&mut self, host: usize) {
        let gap = -self.rng.random::<f64>().max(1e-9).ln() / self.rate * 1_000.0;
        self.add(self.now + gap.ceil() as u64, Event::Arrive(host));
        if self.hosts[host].state != State::Serving {
            return;
        }
        self.next += 1;
        let number = self.next;
        let call = Call {
            host,
            is_repeatable: self.rng.random_bool(0.5),
            arrived: self.now,
            sends: 0,
            unreachable: 0,
            may_have_run: false,
            tried: Vec::new(),
            ticket: None,
            via: None,
            attempt: 0,
            end: None,
            runs: 0,
        };
        self.calls.insert(number, call);
        self.open.insert(number);
        self.add(self.now + DEADLINE_MS, Event::Deadline(number));
        self.place(number);
    }

    fn place(&mut self, number: u64) {
        let call = self.calls.get_mut(&number).expect("a call");
        call.attempt += 1;
        let mut request = request(number, at(call.arrived));
        request.deadline = at(call.arrived + DEADLINE_MS);
        request.object = Some(number % 60);
        request.tried = call.tried.clone();
        request.attempt = match (call.sends, call.unreachable) {
            (0, 0) => Attempt::First,
            (0, _) => Attempt::Unsent,
            _ => Attempt::Retry,
        };
        let host = call.host;
        let decided = self.hosts[host].balancer.place(at(self.now), request);
        self.decide(host, decided);
    }

    fn decide(&mut self, host: usize, decided: Vec<(u64, Placement)>) {
        for (number, placement) in decided {
            let call = self.calls.get_mut(&number).expect("a call");
            match placement {
                // The caller has left meanwhile.
                Placement::Send(ticket) if call.end.is_some() => {
                    self.hosts[host].balancer.end(at(self.now), &ticket, Outcome::Abandoned);
                }
                Placement::Send(ticket) => {
                    call.tried.push(ticket.target.clone());
                    call.ticket = Some(ticket);
                    self.send(number);
                }
                Placement::Refuse { reason, retry_after } => {
                    assert_ne!(reason, Refused::NoTarget);
                    self.refuse(number, retry_after);
                }
            }
        }
    }

    fn refuse(&mut self, number: u64, retry_after: Duration) {
        let may_have_run = self.calls[&number].may_have_run;
        self.end(number, if may_have_run { End::MayHaveRun } else { End::NotRun(retry_after) });
    }

    fn end(&mut self, number: u64, end: End) {
        let call = self.calls.get_mut(&number).expect("a call");
        if call.end.is_none() {
            call.end = Some((self.now, end));
            self.open.remove(&number);
        }
    }

    /// Sends a request on an idle connection, or makes one.
    fn send(&mut self, number: u64) {
        let call = &self.calls[&number];
        let (host, attempt) = (call.host, call.attempt);
        let ticket = call.ticket.clone().expect("a ticket");
        let target = crate::paths::number(ticket.target.as_str());
        if let Some(via) = self.take_idle(host, target, &ticket) {
            self.send_on(number, target, via);
            return;
        }
        let steps = self.hosts[host].balancer.plan_connection(at(self.now), &ticket.target, &[]);
        self.begin_race(host, target, Some((number, attempt)), steps);
    }

    fn take_idle(&mut self, host: usize, target: usize, ticket: &Ticket) -> Option<Option<usize>> {
        let now = self.now;
        let silent_since =
            self.cuts.iter().find(|cut| cut.holds(now, host, target) && cut.kind == Kind::Hang);
        let silent_since = silent_since.map(|cut| cut.time.start);
        let idle = self.hosts[host].idle.get_mut(&target)?;
        idle.retain(|(since, via)| {
            // Keepalive probes close a connection that has fallen silent.
            let is_closed =
                silent_since.is_some_and(|start| *since < start && now >= start + SILENCE_MS);
            match via {
                None => now < since + IDLE_MS && !is_closed,
                Some(_) => now < since + TUNNEL_MS,
            }
        });
        let is_fresh =
            |&(since, via): &(u64, Option<usize>)| via.is_some() || at(since) >= ticket.fresh_after;
        let index = idle.iter().rposition(is_fresh)?;
        Some(idle.remove(index).1)
    }

    fn send_on(&mut self, number: u64, target: usize, via: Option<usize>) {
        let call = self.calls.get_mut(&number).expect("a call");
        call.via = via;
        call.sends += 1;
        if let Some(ticket) = &mut call.ticket {
            ticket.via = via.map(host_name);
        }
        let (host, attempt) = (call.host, call.attempt);
        let from = via.unwrap_or(host);
        if self.kind(from, target) == Some(Kind::Hang) {
            self.add(self.now + SILENCE_MS, Event::Silent(number, attempt));
            return;
        }
        let call = self.calls.get_mut(&number).expect("a call");
        call.runs += 1;
        self.arrivals[target].push(self.now);
        self.add(self.now + PROCESSING_MS, Event::Answer(number, attempt));
    }

    fn begin_race(
        &mut self,
        host: usize,
        target: usize,
        call: Option<(u64, u32)>,
        steps: Vec<Step>,
    ) {
        self.next += 1;
        let race = self.next;
        let steps = steps.into();
        let running = Race { host, target, call, steps, pending: 0, is_over: false };
        self.races.insert(race, running);
        self.begin_step(race);
    }

    fn begin_step(&mut self, race: u64) {
        let now = self.now;
        let running = self.races.get_mut(&race).expect("a race");
        let (host, target) = (running.host, running.target);
        let Some(step) = running.steps.pop_front() else { return };
        running.pending += 1;
        let left = running.steps.len();
        let delay = running.steps.front().map(|step| step.delay);
        match &step.path {
            Path::Direct => {
                self.hosts[host].attempts += 1;
                let (takes, result) = self.direct(host, target, CONNECT_MS);
                self.add(now + takes, Event::Connected(race, step.path, result));
            }
            Path::Tunnel(helper) => {
                let helper = number(helper.as_str());
                assert_ne!(helper, host, "a host asks itself");
                self.add(now + TRIP_MS, Event::Ask(race, helper));
            }
        }
        if let Some(delay) = delay {
            let delay = u64::try_from(delay.as_millis()).expect("a short time");
            self.add(now + delay, Event::Next(race, left));
        }
    }

    /// Returns how long a direct attempt takes, and how it ends.
    fn direct(&self, host: usize, target: usize, timeout: u64) -> (u64, Result<(), Failure>) {
        match self.kind(host, target) {
            _ if self.dead_targets.contains(&target) => (TRIP_MS, Err(Failure::Refused)),
            Some(Kind::Hang) => (timeout, Err(Failure::TimedOut)),
            Some(Kind::Reset | Kind::RefuseNew) => (TRIP_MS, Err(Failure::Refused)),
            None => (TRIP_MS, Ok(())),
        }
    }

    fn ask(&mut self, race: u64, helper: usize) {
        let target = self.races[&race].target;
        let state = self.hosts[helper].state;
        let path = Path::Tunnel(host_name(helper));
        self.hosts[helper].asked += 1;
        let is_full = self.hosts[helper].tunnels >= TUNNELS_MAX;
        let checked = if state != State::Serving || is_full {
            Err(Failure::NoHelper)
        } else {
            let address = entry(target).address;
            let now = at(self.now);
            self.hosts[helper].balancer.check_tunnel(now, &target_name(target), address)
        };
        if let Err(failure) = checked {
            self.add(self.now + TRIP_MS, Event::Connected(race, path, Err(failure)));
            return;
        }
        self.hosts[helper].tunnels += 1;
        let (takes, result) = self.direct(helper, target, TUNNEL_CONNECT_MS);
        self.add(self.now + takes, Event::TunnelEnd(race, helper, result));
    }

    fn tunnel_end(&mut self, race: u64, helper: usize, result: Result<(), Failure>) {
        let target = target_name(self.races[&race].target);
        let now = at(self.now);
        self.hosts[helper].balancer.record_connection(now, &target, &Path::Direct, result);
        let path = Path::Tunnel(host_name(helper));
        self.add(self.now + TRIP_MS, Event::Connected(race, path, result));
    }

    fn connected(&mut self, race: u64, path: Path, result: Result<(), Failure>) {
        let now = self.now;
        let running = &self.races[&race];
        let is_reset =
            path == Path::Direct && self.kind(running.host, running.target) == Some(Kind::Reset);
        let result = if is_reset { Err(Failure::Refused) } else { result };
        let running = self.races.get_mut(&race).expect("a race");
        running.pending -= 1;
        let (host, target, call) = (running.host, running.target, running.call);
        let (was_over, pending, left) = (running.is_over, running.pending, running.steps.len());
        running.is_over |= result.is_ok();
        // An attempt through a tunnel is dropped once another path was faster.
        if self.hosts[host].state == State::Dead || (was_over && path != Path::Direct) {
            return;
        }
        let target_id = target_name(target);
        self.hosts[host].balancer.record_connection(at(now), &target_id, &path, result);
        let via = match &path {
            Path::Direct => None,
            Path::Tunnel(helper) => Some(number(helper.as_str())),
        };
        match (result, call) {
            (Ok(()), Some((call, attempt))) if !was_over && self.is_current(call, attempt) => {
                self.send_on(call, target, via);
            }
            (Ok(()), _) => self.hosts[host].idle.entry(target).or_default().push((now, via)),
            (Err(_), _) if was_over || pending > 0 => {}
            (Err(_), _) if left > 0 => self.begin_step(race),
            (Err(_), Some((call, attempt))) if self.is_current(call, attempt) => {
                self.unreachable(call);
            }
            (Err(_), _) => {}
        }
    }

    fn is_current(&self, call: u64, attempt: u32) -> bool {
        let call = &self.calls[&call];
        call.attempt == attempt && call.end.is_none() && call.ticket.is_some()
    }

    fn finish(&mut self, number: u64, outcome: Outcome) {
        let now = at(self.now);
        let call = self.calls.get_mut(&number).expect("a call");
        let Some(ticket) = call.ticket.take() else { return };
        let host = call.host;
        self.hosts[host].balancer.end(now, &ticket, outcome);
        let decided = self.hosts[host].balancer.poll_freed(now);
        self.decide(host, decided);
    }

    fn unreachable(&mut self, number: u64) {
        self.finish(number, Outcome::Unreachable);
        let call = self.calls.get_mut(&number).expect("a call");
        call.unreachable += 1;
        if call.unreachable < UNREACHABLE_MAX {
            self.place(number);
        } else {
            self.refuse(number, Duration::from_millis(200));
        }
    }

    fn answer(&mut self, number: u64, attempt: u32) {
        if !self.is_current(number, attempt) {
            return;
        }
        let call = &self.calls[&number];
        let (host, via) = (call.host, call.via);
        let target = crate::paths::number(call.ticket.as_ref().expect("a ticket").target.as_str());
        if self.kind(via.unwrap_or(host), target) == Some(Kind::Hang) {
            // The answer is lost; keepalive probes close the connection.
            self.add(self.now + SILENCE_MS, Event::Silent(number, attempt));
            return;
        }
        let took = Duration::from_millis(PROCESSING_MS);
        let announced = Announced::Unlimited;
        self.finish(number, Outcome::Answered { took, report: None, announced, failed: false });
        self.hosts[host].idle.entry(target).or_default().push((self.now, via));
        self.end(number, End::Served);
    }

    fn disconnected(&mut self, number: u64, attempt: u32) {
        if !self.is_current(number, attempt) {
            return;
        }
        self.finish(number, Outcome::Disconnected);
        let call = self.calls.get_mut(&number).expect("a call");
        call.may_have_run = true;
        if call.is_repeatable && call.sends < 2 {
            self.place(number);
        } else {
            self.end(number, End::MayHaveRun);
        }
    }

    fn deadline(&mut self, number: u64) {
        let call = self.calls.get_mut(&number).expect("a call");
        if call.end.is_some() {
            return;
        }
        let (host, was_sent) = (call.host, call.sends > 0);
        call.may_have_run |= was_sent;
        self.hosts[host].balancer.cancel(number);
        self.finish(number, if was_sent { Outcome::Unanswered } else { Outcome::Unsent });
        self.refuse(number, Duration::ZERO);
    }

    fn tick(&mut self, host: usize) {
        self.add(self.now + TICK_MS, Event::Tick(host));
        if self.hosts[host].state == State::Dead {
            return;
        }
        let decided = self.hosts[host].balancer.poll(at(self.now));
        self.decide(host, decided);
        for probe in self.hosts[host].balancer.due_probes(at(self.now)) {
            self.begin_race(host, number(probe.target.as_str()), None, probe.steps);
        }
    }

    fn count_tunnels(&mut self) {
        let now = self.now;
        let mut tunnels = vec![0; self.hosts.len()];
        for call in self.open.iter().map(|number| &self.calls[number]) {
            call.via.into_iter().for_each(|via| tunnels[via] += 1);
        }
        for (since, via) in self.hosts.iter().flat_map(|host| host.idle.values().flatten()) {
            via.filter(|_| now < since + TUNNEL_MS).into_iter().for_each(|via| tunnels[via] += 1);
        }
        for (host, tunnels) in self.hosts.iter_mut().zip(tunnels) {
            host.tunnels = tunnels;
            host.most_tunnels = host.most_tunnels.max(tunnels);
        }
    }

    fn begin_cut(&mut self, cut: usize) {
        let cut = self.cuts[cut].clone();
        if cut.kind != Kind::Reset {
            return;
        }
        for host in &cut.hosts {
            let targets = cut.targets.iter();
            targets.for_each(|target| {
                let idle = self.hosts[*host].idle.entry(*target).or_default();
                idle.retain(|(_, via)| via.is_some());
            });
        }
        let is_reset = |call: &Call| {
            let from = call.via.unwrap_or(call.host);
            call.sends > 0
                && call.ticket.as_ref().is_some_and(|ticket| {
                    cut.hosts.contains(&from)
                        && cut.targets.contains(&number(ticket.target.as_str()))
                })
        };
        self.disconnect(is_reset);
    }

    fn disconnect(&mut self, which: impl Fn(&Call) -> bool) {
        let affected = self.open.iter().filter(|number| which(&self.calls[*number]));
        let affected: Vec<(u64, u32)> =
            affected.map(|number| (*number, self.calls[number].attempt)).collect();
        for (number, attempt) in affected {
            self.disconnected(number, attempt);
        }
    }

    /// Kills a host; with its process end the connections that it made or carried.
    fn kill(&mut self, host: usize) {
        self.hosts[host].state = State::Dead;
        self.hosts[host].idle.clear();
        for number in self.open.clone() {
            let call = self.calls.get_mut(&number).expect("a call");
            if call.host == host {
                call.ticket = None;
                self.end(number, End::MayHaveRun);
            }
        }
        for other in &mut self.hosts {
            other.idle.values_mut().for_each(|idle| idle.retain(|(_, via)| *via != Some(host)));
        }
        self.disconnect(|call| call.via == Some(host) && call.ticket.is_some());
    }

    fn restart(&mut self, host: usize) {
        self.hosts[host].balancer = self.balancer(host, self.hosts.len());
        self.hosts[host].state = State::Serving;
    }

    /// Exchanges reports between the hosts of each region.
    fn exchange(&mut self) {
        self.add(self.now + 150, Event::Exchange);
        self.count_tunnels();
        if self.hosts.len() > 60 {
            return;
        }
        let now = at(self.now);
        for from in 0..self.hosts.len() {
            let requests = self.hosts[from].balancer.own_requests();
            let observations = self.hosts[from].balancer.take_observations(now);
            let is_same_region = |to: usize| (to % 3 == 2) == (from % 3 == 2);
            for to in (0..self.hosts.len()).filter(|to| *to != from && is_same_region(*to)) {
                let balancer = &mut self.hosts[to].balancer;
                balancer.set_peer_requests(now, host_name(from), requests.clone());
                balancer.add_peer_observations(observations.clone());
            }
        }
    }

    /// Returns the requests that arrived at some hosts within a time, as (all, served).
    fn served(&self, hosts: &BTreeSet<usize>, time: Range<u64>) -> (usize, usize) {
        let calls = self.calls_at(hosts, time);
        let served = calls.iter().filter(|call| matches!(call.end, Some((_, End::Served)))).count();
        (calls.len(), served)
    }

    fn calls_at(&self, hosts: &BTreeSet<usize>, time: Range<u64>) -> Vec<&Call> {
        let calls = self.calls.values();
        calls.filter(|call| hosts.contains(&call.host) && time.contains(&call.arrived)).collect()
    }

    /// Checks that callers of the hosts were served nearly as often as callers of the others.
    #[track_caller]
    fn assert_served(&self, cut: &BTreeSet<usize>, time: Range<u64>) {
        let is_whole = |host: &usize| self.cuts.iter().all(|cut| !cut.hosts.contains(host));
        let others = (0..self.hosts.len()).filter(is_whole).collect();
        let (all_there, served_there) = self.served(&others, time.clone());
        let (all_here, served_here) = self.served(cut, time);
        let share_there = served_there as f64 / all_there.max(1) as f64;
        let share_here = served_here as f64 / all_here.max(1) as f64;
        assert!(all_here >= 10, "{all_here} requests");
        assert!(
            share_here >= 0.97 * share_there && share_there > 0.95,
            "{served_here} of {all_here} served, at other hosts {served_there} of {all_there}"
        );
    }

    /// Checks what holds whatever happens.
    #[track_caller]
    fn assert_sound(&self) {
        for (number, call) in &self.calls {
            let runs = call.runs;
            assert!(call.is_repeatable || runs <= 1, "request {number} ran {runs} times");
            if let Some((_, End::NotRun(_))) = call.end {
                assert_eq!(runs, 0, "request {number} was refused as not run");
            }
        }
    }
}

fn entry(number: usize) -> Target {
    let last = u8::try_from(number % 250).expect("a small number");
    let address = std::net::SocketAddr::from(([10, 0, 1, last], 80));
    Target { address, ..target(place_of(number), 6) }
}

/// Requests a second of each host, so that a large fleet is played in a short time.
fn rate(hosts: usize) -> f64 {
    if hosts > 60 { 1.0 } else { 12.0 }
}

/// Returns the hosts of the first data centre.
fn first_data_centre(hosts: usize) -> BTreeSet<usize> {
    (0..hosts).step_by(DATA_CENTRES.len()).collect()
}

#[rstest]
fn callers_of_a_host_without_paths_are_served_like_others(
    #[values(8, 60, 300)] hosts: usize,
    #[values(Kind::Hang, Kind::Reset, Kind::RefuseNew)] kind: Kind,
    #[values(1, 2)] seed: u64,
) {
    let mut fleet = Fleet::new(hosts, rate(hosts), seed);
    // One host of a large fleet has few callers.
    fleet.cut([0, 3].into(), all(fleet.target_count), kind, CUT_MS..END_MS);
    fleet.run_until(END_MS + DEADLINE_MS);
    fleet.assert_served(&[0, 3].into(), CUT_MS + GRACE_MS..END_MS);
    fleet.assert_sound();
}

#[rstest]
fn callers_of_a_data_centre_without_paths_are_served_like_others(
    #[values(8, 60, 300)] hosts: usize,
    #[values(Kind::Hang, Kind::Reset, Kind::RefuseNew)] kind: Kind,
) {
    let mut fleet = Fleet::new(hosts, rate(hosts), 1);
    let cut = first_data_centre(hosts);
    fleet.cut(cut.clone(), all(fleet.target_count), kind, CUT_MS..END_MS);
    fleet.run_until(END_MS + DEADLINE_MS);
    fleet.assert_served(&cut, CUT_MS + GRACE_MS..END_MS);
    fleet.assert_sound();
}

/// With 60 and 300 hosts the one that is left cannot carry everything.
#[rstest]
fn the_only_host_with_paths_carries_what_it_can(
    #[values(8, 60, 300)] hosts: usize,
    #[values(Kind::Hang, Kind::Reset)] kind: Kind,
) {
    let mut fleet = Fleet::new(hosts, rate(hosts), 1);
    let cut: BTreeSet<usize> = (1..hosts).collect();
    fleet.cut(cut.clone(), all(fleet.target_count), kind, CUT_MS..END_MS);
    fleet.run_until(END_MS + DEADLINE_MS);
    if hosts == 8 {
        fleet.assert_served(&cut, CUT_MS + GRACE_MS..END_MS);
    }
    let (arrived, served) = fleet.served(&[0].into(), CUT_MS + GRACE_MS..END_MS);
    assert!(served as f64 >= 0.95 * arrived as f64, "{served} of {arrived} at the host itself");
    fleet.assert_sound();
}

#[rstest]
fn requests_are_refused_at_once_while_no_host_has_a_path(
    #[values(1, 8, 60, 300)] hosts: usize,
    #[values(Kind::Hang, Kind::Reset)] kind: Kind,
) {
    let mut fleet = Fleet::new(hosts, rate(hosts), 1);
    fleet.cut(all(hosts), all(fleet.target_count), kind, CUT_MS..END_MS);
    fleet.run_until(END_MS + DEADLINE_MS);
    let calls = fleet.calls_at(&all(hosts), CUT_MS + GRACE_MS..END_MS - DEADLINE_MS);
    let mut waits: Vec<u64> = Vec::new();
    for call in &calls {
        let (ended, end) = call.end.expect("an end");
        let End::NotRun(retry_after) = end else { panic!("{end:?}") };
        assert!((100..=4_000).contains(&retry_after.as_millis()), "{retry_after:?}");
        waits.push(ended - call.arrived);
    }
    waits.sort_unstable();
    let (middle, longest) = (waits[waits.len() / 2], waits[waits.len() - 1]);
    let slow = waits.iter().filter(|wait| **wait > 150).count();
    println!(
        "{hosts} hosts: {middle} ms, longest {longest} ms, {slow} of {} over 150",
        waits.len()
    );
    assert!(middle <= 50, "{middle} ms");
    assert!(20 * slow <= waits.len(), "{slow} of {} requests waited over 150 ms", waits.len());
    assert!(longest < DEADLINE_MS, "a request waited for its deadline");
    fleet.assert_sound();
}

#[rstest]
fn callers_are_served_while_some_targets_are_out_of_reach(
    #[values(8, 60)] hosts: usize,
    #[values(Kind::Hang, Kind::Reset, Kind::RefuseNew)] kind: Kind,
    #[values(3, 10)] one_in: usize,
) {
    let mut fleet = Fleet::new(hosts, rate(hosts), 1);
    let targets = (0..fleet.target_count).step_by(one_in).collect();
    fleet.cut([0, 3].into(), targets, kind, CUT_MS..END_MS);
    fleet.run_until(END_MS + DEADLINE_MS);
    fleet.assert_served(&[0, 3].into(), CUT_MS + GRACE_MS..END_MS);
    fleet.assert_sound();
}

#[rstest]
fn callers_are_served_while_helpers_are_killed_leave_or_are_cut_off(
    #[values(8, 60)] hosts: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::new(hosts, rate(hosts), seed);
    let targets = fleet.target_count;
    fleet.cut([0].into(), all(targets), Kind::Hang, CUT_MS..END_MS + 4_000);
    fleet.run_until(CUT_MS + GRACE_MS);
    fleet.hosts[1].state = State::Leaving;
    fleet.cut([2, 4].into(), all(targets), Kind::Hang, fleet.now + 500..END_MS);
    fleet.run_until(CUT_MS + GRACE_MS + 1_500);
    fleet.kill(3);
    fleet.run_until(CUT_MS + GRACE_MS + 3_000);
    fleet.restart(3);
    fleet.run_until(CUT_MS + GRACE_MS + LEAVE_MS);
    fleet.kill(1);
    fleet.run_until(END_MS + 4_000);
    fleet.run_until(END_MS + 4_000 + DEADLINE_MS);
    let (arrived, served) = fleet.served(&[0].into(), CUT_MS + GRACE_MS..END_MS + 4_000);
    // Requests that a killed host carried are lost.
    assert!(served as f64 >= 0.9 * arrived as f64, "{served} of {arrived}");
    fleet.assert_sound();
}

#[rstest]
fn paths_are_used_again_after_cuts_that_end_flap_or_follow_one_another(
    #[values(8, 60)] hosts: usize,
    #[values(Kind::Hang, Kind::Reset, Kind::RefuseNew)] kind: Kind,
) {
    let mut fleet = Fleet::new(hosts, rate(hosts), 1);
    let targets = all(fleet.target_count);
    for flap in 0..6 {
        let start = CUT_MS + flap * 1_500;
        fleet.cut([0, 1].into(), targets.clone(), kind, start..start + 700);
    }
    fleet.cut([0].into(), targets.clone(), kind, END_MS..END_MS + 6_000);
    fleet.cut([3].into(), targets, kind, END_MS + 5_000..END_MS + 10_000);
    let end = END_MS + 10_000;
    fleet.run_until(end + 3_000);
    fleet.assert_served(&[0].into(), END_MS + GRACE_MS..END_MS + 4_800);
    // Requests that a tunnel of the third host carries when that one is cut off in its turn are lost.
    let (arrived, served) = fleet.served(&[0].into(), END_MS + 5_000..END_MS + 6_000);
    assert!(arrived - served <= 10 + arrived / 50, "{served} of {arrived}");
    fleet.assert_served(&[3].into(), END_MS + 5_000 + GRACE_MS..end);
    let asked: usize = fleet.hosts.iter().map(|host| host.asked).sum();
    fleet.run_until(end + 8_000);
    fleet.assert_served(&[0, 1, 3].into(), end + 3_000..end + 6_500);
    let asked_after = fleet.hosts.iter().map(|host| host.asked).sum::<usize>() - asked;
    assert!(asked_after <= 4, "{asked_after} tunnels after the cuts");
    fleet.assert_sound();
}

#[rstest]
fn a_host_that_is_cut_off_sends_nothing_to_evacuated_targets(
    #[values(8, 60)] hosts: usize,
    #[values(Kind::Hang, Kind::Reset)] kind: Kind,
) {
    let mut fleet = Fleet::new(hosts, rate(hosts), 1);
    fleet.cut([0, 3].into(), all(fleet.target_count), kind, CUT_MS..END_MS);
    fleet.run_until(CUT_MS + 4_000);
    let now = at(fleet.now);
    for host in &mut fleet.hosts {
        host.balancer.set_evacuated(now, [name("n2")].into());
        host.balancer.set_config(now, &config());
    }
    fleet.run_until(END_MS);
    let evacuated = (0..fleet.target_count).filter(|number| place_of(*number) == "n2");
    let late = evacuated.flat_map(|number| &fleet.arrivals[number]);
    // A connection that was being made carries its request.
    let late = late.filter(|at| **at > CUT_MS + 4_000 + CONNECT_MS).count();
    assert_eq!(late, 0);
    fleet.assert_sound();
}

#[rstest]
fn cold_targets_get_what_they_tolerate_while_hosts_are_cut_off(
    #[values(8, 60)] hosts: usize,
    #[values(Kind::Hang, Kind::Reset)] kind: Kind,
) {
    let mut fleet = Fleet::new(hosts, rate(hosts), 1);
    fleet.cut(first_data_centre(hosts), all(fleet.target_count), kind, CUT_MS..END_MS);
    fleet.run_until(CUT_MS + 2_000);
    let now = at(fleet.now);
    let cold = Target { cold_left: Duration::from_secs(6), ..entry(0) };
    for host in &mut fleet.hosts {
        host.balancer.set_target(now, &target_name(0), Some(&cold));
    }
    fleet.run_until(END_MS + 2_000);
    let arrivals = &fleet.arrivals[0];
    let cold_time = CUT_MS + 2_000 + CONNECT_MS..CUT_MS + 8_000;
    let most = arrivals
        .iter()
        .filter(|from| cold_time.contains(from))
        .map(|from| arrivals.iter().filter(|at| (*from..from + 1_000).contains(*at)).count())
        .max();
    // The rate of the service, by the factor and the number that the settings add.
    assert!(most.unwrap_or(0) as f64 <= 9.0 * 1.5 + 5.0, "{most:?} requests in a second");
    fleet.assert_sound();
}

/// The messages of a host that is cut off must not grow with the fleet.
#[rstest]
fn the_attempts_of_a_host_that_is_cut_off_are_bounded(#[values(8, 60, 300)] hosts: usize) {
    let mut fleet = Fleet::new(hosts, 12.0, 1);
    fleet.cut([0].into(), all(fleet.target_count), Kind::Hang, CUT_MS..END_MS);
    fleet.run_until(CUT_MS + GRACE_MS);
    let (attempts, asked) = (fleet.hosts[0].attempts, total_asked(&fleet));
    fleet.run_until(END_MS);
    let seconds = Duration::from_millis(END_MS - CUT_MS - GRACE_MS).as_secs_f64();
    let direct = (fleet.hosts[0].attempts - attempts) as f64 / seconds;
    let tunnels = (total_asked(&fleet) - asked) as f64 / seconds;
    println!("{hosts} hosts: {direct:.1} direct attempts and {tunnels:.1} tunnels a second");
    assert!(direct <= 9.0, "{direct:.1} direct attempts a second");
    assert!(tunnels <= 1.2 * 12.0, "{tunnels:.1} tunnels a second for 12 requests");
}

fn total_asked(fleet: &Fleet) -> usize {
    fleet.hosts.iter().map(|host| host.asked).sum()
}

/// Many hosts that are cut off do not ask the same one.
#[rstest]
fn tunnels_are_spread_over_the_hosts_that_have_paths(#[values(60, 300)] hosts: usize) {
    let mut fleet = Fleet::new(hosts, rate(hosts), 1);
    let cut = first_data_centre(hosts);
    fleet.cut(cut.clone(), all(fleet.target_count), Kind::Hang, CUT_MS..END_MS);
    fleet.run_until(END_MS);
    let helpers = fleet.hosts.iter().enumerate().filter(|(number, _)| !cut.contains(number));
    let tunnels: Vec<usize> = helpers.map(|(_, host)| host.most_tunnels).collect();
    let mean = tunnels.iter().sum::<usize>() as f64 / tunnels.len() as f64;
    let most = tunnels.iter().copied().max().unwrap_or(0) as f64;
    println!("{hosts} hosts: {mean:.1} tunnels at a time on average, {most} at the busiest");
    assert!(most <= 4.0 * mean + 6.0, "{most} tunnels, {mean:.1} on average");
}
