//! Policies of hosts that share no state, and a clairvoyant policy as the best possible result.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use {
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    toucanhoist_core::clock::Time,
};

use super::{
    setup::{FAULT, Fault, Request, Scenario, Setup},
    tally::Tally,
};

const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Requests that a target accepts, running and queued.
const CONNECTIONS: usize = 330;
const LOST_REGION: usize = 2;

/// How a host chooses a target of its region.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Policy {
    Random,
    RoundRobin,
    LeastReported,
    TwoChoices,
    /// One queue for all targets of a service, without latency between data centres.
    Clairvoyant,
}

impl Policy {
    pub(super) const ALL: [(Policy, &'static str); 5] = [
        (Policy::Random, "random"),
        (Policy::RoundRobin, "round robin"),
        (Policy::LeastReported, "least reported load"),
        (Policy::TwoChoices, "two choices"),
        (Policy::Clairvoyant, "clairvoyant queue"),
    ];
}

struct Simulation<'a> {
    setup: &'a Setup,
    requests: &'a [Request],
    policy: Policy,
    rng: Xoshiro256PlusPlus,
    tally: Tally,
    running: Vec<u32>,
    /// Requests that wait at the connections of each target.
    waiting: Vec<VecDeque<usize>>,
    /// Queue of each service for the clairvoyant policy.
    clairvoyant_queues: Vec<VecDeque<usize>>,
    reported: Vec<u32>,
    /// Round-robin counter of each host and service.
    turns: Vec<usize>,
    completions: BinaryHeap<Reverse<(Time, usize, usize)>>,
    region_lost: bool,
}

/// Runs a policy.
pub(super) fn run(
    setup: &Setup,
    scenario: Scenario,
    requests: &[Request],
    policy: Policy,
    seed: u64,
) -> Tally {
    let mut simulation = Simulation {
        setup,
        requests,
        policy,
        rng: Xoshiro256PlusPlus::seed_from_u64(seed),
        tally: Tally::new(setup),
        running: vec![0; setup.targets.len()],
        waiting: vec![VecDeque::new(); setup.targets.len()],
        clairvoyant_queues: vec![VecDeque::new(); setup.services.len()],
        reported: vec![0; setup.targets.len()],
        turns: (0..setup.hosts.len() * setup.services.len()).map(|i| i * 5).collect(),
        completions: BinaryHeap::new(),
        region_lost: false,
    };
    let mut next_report = Time::ZERO;
    for (i, request) in requests.iter().enumerate() {
        simulation.complete_until(request.arrived_at);
        while next_report <= request.arrived_at {
            simulation.update_reports();
            next_report = next_report + REPORT_INTERVAL;
        }
        if scenario.fault == Fault::Region && request.arrived_at >= FAULT && !simulation.region_lost
        {
            simulation.lose_region();
        }
        simulation.arrive(i);
    }
    simulation.complete_until(Time::from_millis(u64::MAX / 2_000));
    simulation.tally
}

impl Simulation<'_> {
    fn update_reports(&mut self) {
        for (i, reported) in self.reported.iter_mut().enumerate() {
            *reported = self.running[i] + self.waiting[i].len() as u32;
        }
    }

    fn is_lost(&self, data_centre: usize) -> bool {
        self.region_lost && self.setup.data_centres[data_centre].1 == LOST_REGION
    }

    fn lose_region(&mut self) {
        self.region_lost = true;
        let mut remaining = BinaryHeap::new();
        for Reverse((at, target, i)) in std::mem::take(&mut self.completions) {
            if self.is_lost(self.setup.targets[target].data_centre) {
                self.tally.failed(&self.requests[i]);
            } else {
                remaining.push(Reverse((at, target, i)));
            }
        }
        self.completions = remaining;
        for target in 0..self.setup.targets.len() {
            if self.is_lost(self.setup.targets[target].data_centre) {
                for i in std::mem::take(&mut self.waiting[target]) {
                    self.tally.failed(&self.requests[i]);
                }
            }
        }
    }

    fn arrive(&mut self, i: usize) {
        let request = self.requests[i];
        self.tally.arrived(&request);
        if self.policy == Policy::Clairvoyant {
            self.clairvoyant_queues[request.service].push_back(i);
            return self.serve(request.service, request.arrived_at);
        }
        let mut home = request.home;
        if self.is_lost(home) {
            home = request.host_choice % 4;
        }
        let target = self.choose(&request, home);
        let slots = self.setup.targets[target].slots;
        if self.running[target] < slots {
            self.start(target, i, request.arrived_at);
        } else if self.waiting[target].len() + (slots as usize) < CONNECTIONS {
            self.tally.sent_to_full(&request);
            self.waiting[target].push_back(i);
        } else {
            let free = self.has_room(request.service);
            self.tally.refused(&request, free);
        }
    }

    fn has_room(&self, service: usize) -> bool {
        let targets = self.setup.targets.iter().enumerate();
        targets
            .filter(|(_, t)| t.service == service && !self.is_lost(t.data_centre))
            .any(|(i, t)| self.running[i] < t.slots)
    }

    fn choose(&mut self, request: &Request, home: usize) -> usize {
        let region = self.setup.data_centres[home].1;
        let targets = self.setup.targets.iter().enumerate();
        let near: Vec<usize> = targets
            .filter(|(_, t)| {
                t.service == request.service && self.setup.data_centres[t.data_centre].1 == region
            })
            .map(|(i, _)| i)
            .collect();
        let random = |rng: &mut Xoshiro256PlusPlus| near[rng.random_range(0..near.len())];
        let load = |i: usize| self.reported[i] * 1_000 / self.setup.targets[i].slots;
        match self.policy {
            Policy::RoundRobin => {
                let host = self.host(home, request.host_choice);
                let turn = &mut self.turns[host * self.setup.services.len() + request.service];
                *turn += 1;
                near[*turn % near.len()]
            }
            Policy::LeastReported => {
                let least = near.iter().map(|&i| load(i)).min().unwrap_or(0);
                let ties: Vec<usize> = near.iter().copied().filter(|&i| load(i) == least).collect();
                ties[self.rng.random_range(0..ties.len())]
            }
            Policy::TwoChoices => {
                let (a, b) = (random(&mut self.rng), random(&mut self.rng));
                if load(a) <= load(b) { a } else { b }
            }
            Policy::Random | Policy::Clairvoyant => random(&mut self.rng),
        }
    }

    fn host(&self, home: usize, host_choice: usize) -> usize {
        let hosts =
            self.setup.hosts.iter().enumerate().filter(|(_, data_centre)| **data_centre == home);
        let hosts: Vec<usize> = hosts.map(|(i, _)| i).collect();
        hosts[host_choice % hosts.len()]
    }

    fn start(&mut self, target: usize, i: usize, at: Time) {
        let request = self.requests[i];
        self.running[target] += 1;
        self.tally.busy(target, &request);
        self.completions.push(Reverse((at + request.work, target, i)));
    }

    fn complete_until(&mut self, until: Time) {
        while let Some(&Reverse((at, target, i))) = self.completions.peek() {
            if at > until {
                return;
            }
            self.completions.pop();
            self.complete(at, target, i);
        }
    }

    fn complete(&mut self, at: Time, target: usize, i: usize) {
        let request = self.requests[i];
        self.running[target] -= 1;
        let round_trip = match self.policy {
            Policy::Clairvoyant => Duration::ZERO,
            _ if self.is_lost(request.home) => self.setup.latency(0, 1) * 2,
            _ => self.setup.latency(request.home, self.setup.targets[target].data_centre) * 2,
        };
        self.tally.served(&request, at + round_trip);
        if self.policy == Policy::Clairvoyant {
            return self.serve(request.service, at);
        }
        while let Some(next) = self.waiting[target].pop_front() {
            if self.requests[next].deadline > at {
                return self.start(target, next, at);
            }
            self.tally.failed(&self.requests[next]);
        }
    }

    fn serve(&mut self, service: usize, at: Time) {
        loop {
            let targets = self.setup.targets.iter().enumerate();
            let free = targets
                .filter(|(_, t)| t.service == service && !self.is_lost(t.data_centre))
                .find(|(i, t)| self.running[*i] < t.slots)
                .map(|(i, _)| i);
            let Some(target) = free else { return };
            let Some(next) = self.clairvoyant_queues[service].pop_front() else { return };
            if self.requests[next].deadline > at {
                self.start(target, next, at);
            } else {
                self.tally.refused(&self.requests[next], false);
            }
        }
    }
}
