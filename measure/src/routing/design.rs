//! The design: the core's rooms, with messages between them in virtual time.

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
const TELL: Duration = Duration::from_millis(200);
const FAR_ROUNDS: u64 = 5;
const VIEW_LAG: Duration = Duration::from_millis(1_000);
const DEAD_LAG: Duration = Duration::from_millis(3_000);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const REPLACE_INTERVAL: Duration = Duration::from_secs(3);
const OVERLAP: Duration = Duration::from_millis(1_500);
const LOST_REGION: usize = 2;
const ANSWER_BYTES: u64 = 16 * 1_024;

#[derive(Clone, Debug)]
enum Event {
    Tick(usize),
    Tell(usize),
    Ask { host: usize, request: usize },
    Heard { host: usize, from: usize, digest: Digest, answer: bool },
    Refused { request: usize, from: usize, unreached: bool },
    End { host: usize, request: usize, target: usize },
    Answered { request: usize },
    See(Arc<View>),
    Lose,
    Join(usize),
    Leave(usize),
    Stop(usize),
}

/// State of a request on its way.
#[derive(Clone, Debug, Default)]
struct Way {
    entry: usize,
    tried: Vec<id::EntryHost>,
    asks: u64,
    done: bool,
}

struct Host {
    name: id::EntryHost,
    place: usize,
    room: Room,
    state: State,
    up: bool,
    rounds: u64,
}

struct World<'a> {
    setup: &'a Setup,
    requests: &'a [Request],
    tally: Tally,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    details: HashMap<u64, Event>,
    next: u64,
    hosts: Vec<Host>,
    names: HashMap<id::EntryHost, usize>,
    targets: HashMap<id::Target, usize>,
    running: Vec<u32>,
    view: Arc<View>,
    ways: HashMap<usize, Way>,
    tickets: HashMap<(usize, Ticket), usize>,
    lost: bool,
    violations: u64,
}

/// Runs the design and returns what it found, with the violations of invariants.
pub(super) fn run(setup: &Setup, scenario: Scenario, requests: &[Request]) -> (Tally, u64) {
    let mut world = World::new(setup, requests);
    match scenario.fault {
        Fault::None => {}
        Fault::Region => world.plan_at(FAULT, Event::Lose),
        Fault::Rolling => world.plan_replacements(),
    }
    for (i, request) in requests.iter().enumerate() {
        world.run_until(request.at);
        world.now = request.at;
        world.arrive(i);
    }
    world.run_until(END + Duration::from_secs(6));
    (world.tally, world.violations)
}

impl<'a> World<'a> {
    fn new(setup: &'a Setup, requests: &'a [Request]) -> World<'a> {
        let targets = setup.targets.iter().enumerate().map(|(i, t)| (t.name.clone(), i));
        let mut world = World {
            setup,
            requests,
            tally: Tally::new(setup),
            now: Time::ZERO,
            events: BinaryHeap::new(),
            details: HashMap::new(),
            next: 0,
            hosts: Vec::new(),
            names: HashMap::new(),
            targets: targets.collect(),
            running: vec![0; setup.targets.len()],
            view: Arc::default(),
            ways: HashMap::new(),
            tickets: HashMap::new(),
            lost: false,
            violations: 0,
        };
        for &place in &setup.hosts {
            world.add_host(place);
        }
        world.view = world.current_view();
        world
    }

    fn add_host(&mut self, place: usize) {
        let at = self.hosts.len();
        let data_centre = self.setup.places[place].0.clone();
        let name: id::EntryHost = format!("entry-{at}").parse().expect("a name");
        self.names.insert(name.clone(), at);
        self.hosts.push(Host {
            room: Room::new(name.clone(), Incarnation(at as u64 + 1), data_centre),
            name,
            place,
            state: State::Live,
            up: true,
            rounds: 0,
        });
        self.plan(Duration::ZERO, Event::Tick(at));
        self.plan(Duration::from_millis(23 * at as u64 % 200), Event::Tell(at));
    }

    fn current_view(&self) -> Arc<View> {
        let member = |host: &Host| Member {
            name: host.name.clone(),
            incarnation: Incarnation::default(),
            data_centre: self.setup.places[host.place].0.clone(),
            callers: "".into(),
            peers: "192.0.2.1:1".parse().expect("an address"),
            state: host.state,
        };
        Arc::new(View { members: self.hosts.iter().map(member).collect() })
    }

    /// Each host is joined by a new one of its data centre, leaves and ends.
    fn plan_replacements(&mut self) {
        for at in 0..self.hosts.len() {
            let begin = FAULT + REPLACE_INTERVAL * at as u32;
            self.plan_at(begin, Event::Join(at));
            self.plan_at(begin + OVERLAP, Event::Leave(at));
            self.plan_at(begin + OVERLAP + Duration::from_secs(6), Event::Stop(at));
        }
    }

    fn plan(&mut self, after: Duration, event: Event) {
        self.plan_at(self.now + after, event);
    }

    fn plan_at(&mut self, at: Time, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at, self.next)));
        self.details.insert(self.next, event);
    }

    fn run_until(&mut self, until: Time) {
        while let Some(&Reverse((at, number))) = self.events.peek() {
            if at > until {
                return;
            }
            self.events.pop();
            self.now = at;
            let event = self.details.remove(&number).expect("a planned event");
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(host) if self.hosts[host].up => {
                self.plan(TICK, Event::Tick(host));
                self.with(host, Room::tick);
            }
            Event::Tell(host) if self.hosts[host].up => self.tell(host),
            Event::Tick(_) | Event::Tell(_) => {}
            Event::Ask { host, request } => self.ask(host, request),
            Event::Heard { host, from, digest, answer } => self.hear(host, from, digest, answer),
            Event::Refused { request, from, unreached } => self.refused(request, from, unreached),
            Event::End { host, request, target } => self.end(host, request, target),
            Event::Answered { request } => self.answered(request),
            Event::See(view) => self.view = view,
            Event::Lose => self.lose_region(),
            Event::Join(at) => {
                self.add_host(self.hosts[at].place);
                self.announce(VIEW_LAG);
            }
            Event::Leave(at) => {
                self.hosts[at].state = State::Leaving;
                self.announce(VIEW_LAG);
            }
            Event::Stop(at) => {
                self.hosts[at].up = false;
                self.hosts[at].state = State::Dead;
                self.announce(VIEW_LAG);
            }
        }
    }

    fn announce(&mut self, lag: Duration) {
        let view = self.current_view();
        self.plan(lag, Event::See(view));
    }

    fn with(&mut self, at: usize, call: impl FnOnce(&mut Room, Time)) {
        let host = &mut self.hosts[at];
        if !host.up {
            return;
        }
        host.room.update(self.now, &self.setup.catalog, &self.view);
        call(&mut host.room, self.now);
        self.violations += host.room.take_violations().len() as u64;
        for action in host.room.take_actions() {
            self.act(at, action);
        }
    }

    fn arrive(&mut self, i: usize) {
        let request = &self.requests[i];
        self.tally.arrived(request);
        let serves = |host: &Host| host.up && host.state == State::Live;
        let near = |host: &Host| serves(host) && host.place == request.home;
        let mut hosts: Vec<usize> =
            (0..self.hosts.len()).filter(|&at| near(&self.hosts[at])).collect();
        if hosts.is_empty() {
            hosts = (0..self.hosts.len()).filter(|&at| serves(&self.hosts[at])).collect();
        }
        let entry = hosts[request.spread % hosts.len()];
        self.ways.insert(i, Way { entry, ..Way::default() });
        self.ask(entry, i);
    }

    fn ask(&mut self, at: usize, i: usize) {
        let request = &self.requests[i];
        let Some(way) = self.ways.get_mut(&i).filter(|way| !way.done) else { return };
        way.asks += 1;
        let ticket = Ticket(i as u64 * 64 + way.asks);
        let account = &self.setup.accounts[request.account];
        let ask = PlacementRequest {
            request: (i as u128).into(),
            service: self.setup.services[request.service].clone(),
            account: Some(account.0.clone()),
            weight: account.1,
            deadline: request.deadline,
            bytes: ANSWER_BYTES,
            forwarded: at != way.entry,
            tried: way.tried.clone(),
            retry: false,
        };
        if !self.hosts[at].up {
            return self
                .plan(CONNECT_TIMEOUT, Event::Refused { request: i, from: at, unreached: true });
        }
        self.tickets.insert((at, ticket), i);
        self.with(at, |room, now| room.place(now, ticket, ask));
    }

    fn act(&mut self, at: usize, action: Action) {
        let i = self.tickets.remove(&(at, action.ticket)).expect("one answer a ticket");
        match action.decision {
            Decision::Run(target) => self.start(at, i, self.targets[&target]),
            Decision::Forward(host) => {
                let to = self.names[&host];
                let (from, place) = (self.hosts[at].place, self.hosts[to].place);
                self.ways.get_mut(&i).expect("a way").tried.push(host);
                if self.setup.places[from].1 != self.setup.places[place].1 {
                    self.tally.crossed(self.requests[i].service, self.now);
                }
                self.plan(self.setup.latency(from, place), Event::Ask { host: to, request: i });
            }
            Decision::Refuse(_) => {
                let entry = self.ways[&i].entry;
                if at == entry {
                    return self.give_up(i);
                }
                let latency = self.setup.latency(self.hosts[at].place, self.hosts[entry].place);
                self.plan(latency, Event::Refused { request: i, from: at, unreached: false });
            }
        }
    }

    fn give_up(&mut self, i: usize) {
        let request = &self.requests[i];
        let targets = self.setup.targets.iter().enumerate();
        let free = targets
            .filter(|(_, t)| t.service == request.service && !self.is_lost(t.place))
            .any(|(at, t)| self.running[at] < t.slots);
        self.tally.refused(request, free);
        self.ways.remove(&i);
    }

    fn start(&mut self, host: usize, i: usize, target: usize) {
        let request = &self.requests[i];
        if self.running[target] >= self.setup.targets[target].slots {
            self.tally.over(request);
        }
        self.running[target] += 1;
        self.tally.busy(target, request);
        let trip = 2 * self.setup.latency(self.setup.targets[target].place, self.hosts[host].place);
        self.plan(request.work + trip, Event::End { host, request: i, target });
    }

    fn end(&mut self, host: usize, i: usize, target: usize) {
        if self.is_lost(self.setup.targets[target].place) {
            return;
        }
        self.running[target] -= 1;
        let held = self.requests[i].work;
        let name = self.setup.targets[target].name.clone();
        self.with(host, |room, now| room.end(now, &name, Outcome::Answered { held }));
        let Some(way) = self.ways.get(&i) else { return };
        let (from, to) = (self.hosts[host].place, self.hosts[way.entry].place);
        let back = if host == way.entry { Duration::ZERO } else { self.setup.latency(from, to) };
        self.plan(back, Event::Answered { request: i });
    }

    fn answered(&mut self, i: usize) {
        if self.ways.remove(&i).is_some() {
            self.tally.served(&self.requests[i], self.now);
        }
    }

    fn refused(&mut self, i: usize, from: usize, unreached: bool) {
        let Some(way) = self.ways.get(&i) else { return };
        let (entry, name) = (way.entry, self.hosts[from].name.clone());
        let service = self.setup.services[self.requests[i].service].clone();
        self.with(entry, |room, now| match unreached {
            true => room.record_unreachable(now, &name),
            false => room.record_refusal(now, &name, &service),
        });
        match self.now < self.requests[i].deadline {
            true => self.ask(entry, i),
            false => self.give_up(i),
        }
    }

    fn tell(&mut self, from: usize) {
        self.plan(TELL, Event::Tell(from));
        self.hosts[from].rounds += 1;
        let far = self.hosts[from].rounds % FAR_ROUNDS == 0;
        let region = self.setup.places[self.hosts[from].place].1;
        for to in 0..self.hosts.len() {
            let near = self.setup.places[self.hosts[to].place].1 == region;
            if to != from && (near || far) {
                self.send_digest(from, to, false);
            }
        }
    }

    fn send_digest(&mut self, from: usize, to: usize, answer: bool) {
        let mut said = None;
        self.with(from, |room, now| said = Some(room.digest(now)));
        let Some(digest) = said else { return };
        let latency = self.setup.latency(self.hosts[from].place, self.hosts[to].place);
        self.plan(latency, Event::Heard { host: to, from, digest, answer });
    }

    fn hear(&mut self, at: usize, from: usize, digest: Digest, answer: bool) {
        let name = self.hosts[from].name.clone();
        self.with(at, |room, now| room.apply_digest(now, &name, digest));
        if !answer && self.hosts[at].up {
            self.send_digest(at, from, true);
        }
    }

    fn is_lost(&self, place: usize) -> bool {
        self.lost && self.setup.places[place].1 == LOST_REGION
    }

    fn lose_region(&mut self) {
        self.lost = true;
        for at in 0..self.hosts.len() {
            if self.is_lost(self.hosts[at].place) {
                self.hosts[at].up = false;
                self.hosts[at].state = State::Dead;
            }
        }
        self.announce(DEAD_LAG);
        let broken: Vec<usize> = self
            .ways
            .iter()
            .filter(|(_, way)| self.is_lost(self.hosts[way.entry].place))
            .map(|(i, _)| *i)
            .collect();
        for i in broken {
            self.tally.failed(&self.requests[i]);
            self.ways.remove(&i);
        }
    }
}
