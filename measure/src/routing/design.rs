//! The design: the core's rooms, which exchange messages in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::Arc,
    time::Duration,
};

use toucanhoist_core::{
    clock::Time,
    id,
    membership::{Incarnation, Member, State, View},
    room::{Action, Decision, Digest, Outcome, PlacementRequest, Room, Ticket},
};

use super::{
    setup::{END, FAULT, Fault, Request, Scenario, Setup},
    tally::Tally,
};

const TICK: Duration = Duration::from_millis(20);
const DIGEST_INTERVAL: Duration = Duration::from_millis(200);
/// Hosts send digests to other regions once in this many intervals.
const OTHER_REGIONS_ROUNDS: u64 = 5;
/// Time until all hosts see that a host joins, leaves or stops.
const VIEW_LAG: Duration = Duration::from_millis(1_000);
/// Time until all hosts see that a region has failed.
const DEAD_LAG: Duration = Duration::from_millis(3_000);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const REPLACE_INTERVAL: Duration = Duration::from_secs(3);
/// Time for which a host and its replacement both serve.
const OVERLAP: Duration = Duration::from_millis(1_500);
const LOST_REGION: usize = 2;
const ANSWER_BYTES: u64 = 16 * 1_024;

#[derive(Clone, Debug)]
enum Event {
    Tick(usize),
    SendDigests(usize),
    Place { host: usize, request: usize },
    DigestReceived { host: usize, from: usize, digest: Digest, answer: bool },
    Refused { request: usize, from: usize, unreachable: bool },
    End { host: usize, request: usize, target: usize },
    Answered { request: usize },
    ViewUpdated(Arc<View>),
    LoseRegion,
    Join(usize),
    Leave(usize),
    Stop(usize),
}

/// State of a request that has no outcome yet.
#[derive(Clone, Debug, Default)]
struct Progress {
    entry: usize,
    tried: Vec<id::EntryHost>,
    attempts: u64,
    done: bool,
}

struct Host {
    name: id::EntryHost,
    data_centre: usize,
    room: Room,
    state: State,
    up: bool,
    rounds: u64,
}

struct Simulation<'a> {
    setup: &'a Setup,
    requests: &'a [Request],
    tally: Tally,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    details: HashMap<u64, Event>,
    last_event: u64,
    hosts: Vec<Host>,
    host_by_name: HashMap<id::EntryHost, usize>,
    target_by_name: HashMap<id::Target, usize>,
    running: Vec<u32>,
    view: Arc<View>,
    in_progress: HashMap<usize, Progress>,
    tickets: HashMap<(usize, Ticket), usize>,
    region_lost: bool,
    violations: u64,
}

/// Runs the design. Returns its tally and the number of violated invariants.
pub(super) fn run(setup: &Setup, scenario: Scenario, requests: &[Request]) -> (Tally, u64) {
    let mut simulation = Simulation::new(setup, requests);
    match scenario.fault {
        Fault::None => {}
        Fault::Region => simulation.schedule_at(FAULT, Event::LoseRegion),
        Fault::Rolling => simulation.schedule_replacements(),
    }
    for (i, request) in requests.iter().enumerate() {
        simulation.run_until(request.arrived_at);
        simulation.now = request.arrived_at;
        simulation.arrive(i);
    }
    simulation.run_until(END + Duration::from_secs(6));
    (simulation.tally, simulation.violations)
}

impl<'a> Simulation<'a> {
    fn new(setup: &'a Setup, requests: &'a [Request]) -> Simulation<'a> {
        let targets = setup.targets.iter().enumerate().map(|(i, t)| (t.name.clone(), i));
        let mut simulation = Simulation {
            setup,
            requests,
            tally: Tally::new(setup),
            now: Time::ZERO,
            events: BinaryHeap::new(),
            details: HashMap::new(),
            last_event: 0,
            hosts: Vec::new(),
            host_by_name: HashMap::new(),
            target_by_name: targets.collect(),
            running: vec![0; setup.targets.len()],
            view: Arc::default(),
            in_progress: HashMap::new(),
            tickets: HashMap::new(),
            region_lost: false,
            violations: 0,
        };
        for &data_centre in &setup.hosts {
            simulation.add_host(data_centre);
        }
        simulation.view = simulation.current_view();
        simulation
    }

    fn add_host(&mut self, data_centre: usize) {
        let host_index = self.hosts.len();
        let data_centre_name = self.setup.data_centres[data_centre].0.clone();
        let name: id::EntryHost = format!("entry-{host_index}").parse().expect("valid name");
        self.host_by_name.insert(name.clone(), host_index);
        self.hosts.push(Host {
            room: Room::new(name.clone(), Incarnation(host_index as u64 + 1), data_centre_name),
            name,
            data_centre,
            state: State::Live,
            up: true,
            rounds: 0,
        });
        self.schedule(Duration::ZERO, Event::Tick(host_index));
        self.schedule(
            Duration::from_millis(23 * host_index as u64 % 200),
            Event::SendDigests(host_index),
        );
    }

    fn current_view(&self) -> Arc<View> {
        let member = |host: &Host| Member {
            name: host.name.clone(),
            incarnation: Incarnation::default(),
            data_centre: self.setup.data_centres[host.data_centre].0.clone(),
            callers: "".into(),
            peers: "192.0.2.1:1".parse().expect("valid address"),
            state: host.state,
        };
        Arc::new(View { members: self.hosts.iter().map(member).collect() })
    }

    /// Schedules the rolling replacement: for each host, a new one joins its data centre, then the
    /// old one leaves and stops.
    fn schedule_replacements(&mut self) {
        for host_index in 0..self.hosts.len() {
            let begin = FAULT + REPLACE_INTERVAL * host_index as u32;
            self.schedule_at(begin, Event::Join(host_index));
            self.schedule_at(begin + OVERLAP, Event::Leave(host_index));
            self.schedule_at(begin + OVERLAP + Duration::from_secs(6), Event::Stop(host_index));
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.schedule_at(self.now + after, event);
    }

    fn schedule_at(&mut self, at: Time, event: Event) {
        self.last_event += 1;
        self.events.push(Reverse((at, self.last_event)));
        self.details.insert(self.last_event, event);
    }

    fn run_until(&mut self, until: Time) {
        while let Some(&Reverse((at, number))) = self.events.peek() {
            if at > until {
                return;
            }
            self.events.pop();
            self.now = at;
            let event = self.details.remove(&number).expect("a scheduled event");
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(host) if self.hosts[host].up => {
                self.schedule(TICK, Event::Tick(host));
                self.with(host, Room::tick);
            }
            Event::SendDigests(host) if self.hosts[host].up => self.send_digests(host),
            Event::Tick(_) | Event::SendDigests(_) => {}
            Event::Place { host, request } => self.place(host, request),
            Event::DigestReceived { host, from, digest, answer } => {
                self.receive_digest(host, from, digest, answer)
            }
            Event::Refused { request, from, unreachable } => {
                self.handle_refusal(request, from, unreachable)
            }
            Event::End { host, request, target } => self.end(host, request, target),
            Event::Answered { request } => self.handle_answer(request),
            Event::ViewUpdated(view) => self.view = view,
            Event::LoseRegion => self.lose_region(),
            Event::Join(host_index) => {
                self.add_host(self.hosts[host_index].data_centre);
                self.publish_view(VIEW_LAG);
            }
            Event::Leave(host_index) => {
                self.hosts[host_index].state = State::Leaving;
                self.publish_view(VIEW_LAG);
            }
            Event::Stop(host_index) => {
                self.hosts[host_index].up = false;
                self.hosts[host_index].state = State::Dead;
                self.publish_view(VIEW_LAG);
            }
        }
    }

    fn publish_view(&mut self, lag: Duration) {
        let view = self.current_view();
        self.schedule(lag, Event::ViewUpdated(view));
    }

    /// Calls the room of a host, if the host is up, and applies the resulting actions.
    fn with(&mut self, host_index: usize, call: impl FnOnce(&mut Room, Time)) {
        let host = &mut self.hosts[host_index];
        if !host.up {
            return;
        }
        host.room.update(self.now, &self.setup.catalog, &self.view);
        call(&mut host.room, self.now);
        self.violations += host.room.take_violations().len() as u64;
        for action in host.room.take_actions() {
            self.apply(host_index, action);
        }
    }

    fn arrive(&mut self, i: usize) {
        let request = &self.requests[i];
        self.tally.arrived(request);
        let serves = |host: &Host| host.up && host.state == State::Live;
        let near = |host: &Host| serves(host) && host.data_centre == request.home;
        let mut hosts: Vec<usize> =
            (0..self.hosts.len()).filter(|&host_index| near(&self.hosts[host_index])).collect();
        if hosts.is_empty() {
            hosts = (0..self.hosts.len())
                .filter(|&host_index| serves(&self.hosts[host_index]))
                .collect();
        }
        let entry = hosts[request.host_choice % hosts.len()];
        self.in_progress.insert(i, Progress { entry, ..Progress::default() });
        self.place(entry, i);
    }

    fn place(&mut self, host_index: usize, i: usize) {
        let request = &self.requests[i];
        let Some(progress) = self.in_progress.get_mut(&i).filter(|progress| !progress.done) else {
            return;
        };
        progress.attempts += 1;
        let ticket = Ticket(i as u64 * 64 + progress.attempts);
        let account = &self.setup.accounts[request.account];
        let placement = PlacementRequest {
            request: (i as u128).into(),
            service: self.setup.services[request.service].clone(),
            account: Some(account.0.clone()),
            weight: account.1,
            deadline: request.deadline,
            bytes: ANSWER_BYTES,
            forwarded: host_index != progress.entry,
            tried: progress.tried.clone(),
            retry: false,
        };
        if !self.hosts[host_index].up {
            return self.schedule(
                CONNECT_TIMEOUT,
                Event::Refused { request: i, from: host_index, unreachable: true },
            );
        }
        self.tickets.insert((host_index, ticket), i);
        self.with(host_index, |room, now| room.place(now, ticket, placement));
    }

    fn apply(&mut self, host_index: usize, action: Action) {
        let i = self.tickets.remove(&(host_index, action.ticket)).expect("a known ticket");
        match action.decision {
            Decision::Run(target) => self.start(host_index, i, self.target_by_name[&target]),
            Decision::Forward(host) => {
                let to = self.host_by_name[&host];
                let (from, destination) =
                    (self.hosts[host_index].data_centre, self.hosts[to].data_centre);
                self.in_progress.get_mut(&i).expect("a known request").tried.push(host);
                if self.setup.data_centres[from].1 != self.setup.data_centres[destination].1 {
                    self.tally.crossed(self.requests[i].service, self.now);
                }
                self.schedule(
                    self.setup.latency(from, destination),
                    Event::Place { host: to, request: i },
                );
            }
            Decision::Refuse(_) => {
                let entry = self.in_progress[&i].entry;
                if host_index == entry {
                    return self.record_refusal(i);
                }
                let latency = self
                    .setup
                    .latency(self.hosts[host_index].data_centre, self.hosts[entry].data_centre);
                self.schedule(
                    latency,
                    Event::Refused { request: i, from: host_index, unreachable: false },
                );
            }
        }
    }

    fn record_refusal(&mut self, i: usize) {
        let request = &self.requests[i];
        let targets = self.setup.targets.iter().enumerate();
        let free = targets
            .filter(|(_, t)| t.service == request.service && !self.is_lost(t.data_centre))
            .any(|(index, t)| self.running[index] < t.slots);
        self.tally.refused(request, free);
        self.in_progress.remove(&i);
    }

    fn start(&mut self, host: usize, i: usize, target: usize) {
        let request = &self.requests[i];
        if self.running[target] >= self.setup.targets[target].slots {
            self.tally.sent_to_full(request);
        }
        self.running[target] += 1;
        self.tally.busy(target, request);
        let round_trip = 2 * self
            .setup
            .latency(self.setup.targets[target].data_centre, self.hosts[host].data_centre);
        self.schedule(request.work + round_trip, Event::End { host, request: i, target });
    }

    fn end(&mut self, host: usize, i: usize, target: usize) {
        if self.is_lost(self.setup.targets[target].data_centre) {
            return;
        }
        self.running[target] -= 1;
        let held = self.requests[i].work;
        let name = self.setup.targets[target].name.clone();
        self.with(host, |room, now| room.end(now, &name, Outcome::Answered { held }));
        let Some(progress) = self.in_progress.get(&i) else { return };
        let (from, to) = (self.hosts[host].data_centre, self.hosts[progress.entry].data_centre);
        let back =
            if host == progress.entry { Duration::ZERO } else { self.setup.latency(from, to) };
        self.schedule(back, Event::Answered { request: i });
    }

    fn handle_answer(&mut self, i: usize) {
        if self.in_progress.remove(&i).is_some() {
            self.tally.served(&self.requests[i], self.now);
        }
    }

    fn handle_refusal(&mut self, i: usize, from: usize, unreachable: bool) {
        let Some(progress) = self.in_progress.get(&i) else { return };
        let (entry, name) = (progress.entry, self.hosts[from].name.clone());
        let service = self.setup.services[self.requests[i].service].clone();
        self.with(entry, |room, now| match unreachable {
            true => room.record_unreachable(now, &name),
            false => room.record_refusal(now, &name, &service),
        });
        match self.now < self.requests[i].deadline {
            true => self.place(entry, i),
            false => self.record_refusal(i),
        }
    }

    fn send_digests(&mut self, from: usize) {
        self.schedule(DIGEST_INTERVAL, Event::SendDigests(from));
        self.hosts[from].rounds += 1;
        let far = self.hosts[from].rounds % OTHER_REGIONS_ROUNDS == 0;
        let region = self.setup.data_centres[self.hosts[from].data_centre].1;
        for to in 0..self.hosts.len() {
            let near = self.setup.data_centres[self.hosts[to].data_centre].1 == region;
            if to != from && (near || far) {
                self.send_digest(from, to, false);
            }
        }
    }

    fn send_digest(&mut self, from: usize, to: usize, answer: bool) {
        let mut digest = None;
        self.with(from, |room, now| digest = Some(room.digest(now)));
        let Some(digest) = digest else { return };
        let latency = self.setup.latency(self.hosts[from].data_centre, self.hosts[to].data_centre);
        self.schedule(latency, Event::DigestReceived { host: to, from, digest, answer });
    }

    fn receive_digest(&mut self, host_index: usize, from: usize, digest: Digest, answer: bool) {
        let name = self.hosts[from].name.clone();
        self.with(host_index, |room, now| room.apply_digest(now, &name, digest));
        if !answer && self.hosts[host_index].up {
            self.send_digest(host_index, from, true);
        }
    }

    fn is_lost(&self, data_centre: usize) -> bool {
        self.region_lost && self.setup.data_centres[data_centre].1 == LOST_REGION
    }

    fn lose_region(&mut self) {
        self.region_lost = true;
        for host_index in 0..self.hosts.len() {
            if self.is_lost(self.hosts[host_index].data_centre) {
                self.hosts[host_index].up = false;
                self.hosts[host_index].state = State::Dead;
            }
        }
        self.publish_view(DEAD_LAG);
        let interrupted: Vec<usize> = self
            .in_progress
            .iter()
            .filter(|(_, progress)| self.is_lost(self.hosts[progress.entry].data_centre))
            .map(|(i, _)| *i)
            .collect();
        for i in interrupted {
            self.tally.failed(&self.requests[i]);
            self.in_progress.remove(&i);
        }
    }
}
