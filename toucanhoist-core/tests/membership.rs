//! Views of detectors compared with the actual live hosts, over a simulated network with faults.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use {
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    rstest::rstest,
    toucanhoist_core::{
        clock::Time,
        membership::{Body, Config, Detector, Envelope, Incarnation, Member, Message, State},
    },
};

const TICK: Duration = Duration::from_millis(100);

/// Hosts and the messages in flight between them.
struct Network {
    now: Time,
    nodes: Vec<Node>,
    in_flight: BTreeMap<(Time, u64), (usize, usize, Message)>,
    /// Pairs of sender and receiver whose messages are dropped.
    blocked: BTreeSet<(usize, usize)>,
    rng: Xoshiro256PlusPlus,
    sent: u64,
    loss_percent: u32,
}

struct Node {
    detector: Detector,
    address: SocketAddr,
    data_centre: usize,
    state: Running,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Running {
    Up,
    Paused,
    Down,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(1_000 + host).expect("few hosts")))
}

fn member(host: usize, data_centre: usize, start_ms: u64) -> Member {
    Member {
        name: format!("entry-{host}").parse().expect("a name"),
        incarnation: Incarnation::of_process(start_ms),
        data_centre: format!("dc-{data_centre}").parse().expect("a name"),
        callers: "http://host".into(),
        peers: address(host),
        state: State::Live,
    }
}

impl Network {
    fn new(data_centres: usize, hosts_each: usize, seed: u64) -> Network {
        let mut net = Network {
            now: Time::ZERO,
            nodes: Vec::new(),
            in_flight: BTreeMap::new(),
            blocked: BTreeSet::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            sent: 0,
            loss_percent: 0,
        };
        let count = data_centres * hosts_each;
        for host in 0..count {
            let (data_centre, seed) = (host % data_centres, net.rng.random());
            let me = member(host, data_centre, 1);
            let mut detector = Detector::new(Config::default(), me, seed);
            detector.add_candidates((0..count).map(address));
            let (address, state) = (address(host), Running::Up);
            net.nodes.push(Node { detector, address, data_centre, state });
        }
        net
    }

    /// Replaces a host's process by a new one at the same address.
    fn restart(&mut self, host: usize, start_ms: u64) {
        let me = member(host, self.nodes[host].data_centre, start_ms);
        let mut detector = Detector::new(Config::default(), me, self.rng.random());
        detector.add_candidates((0..self.nodes.len()).map(address));
        self.nodes[host].detector = detector;
        self.nodes[host].state = Running::Up;
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            for host in 0..self.nodes.len() {
                if self.nodes[host].state == Running::Up {
                    let outgoing = self.nodes[host].detector.tick(self.now);
                    self.dispatch(host, outgoing);
                }
            }
            let next = self.now + TICK;
            self.deliver(next);
            self.now = next;
        }
    }

    fn deliver(&mut self, until: Time) {
        while let Some(entry) = self.in_flight.first_entry() {
            let (at, _) = *entry.key();
            if at > until {
                return;
            }
            let (_, to, message) = entry.remove();
            if self.nodes[to].state == Running::Up {
                self.now = at.max(self.now);
                let outgoing = self.nodes[to].detector.receive(at, message);
                self.dispatch(to, outgoing);
            }
        }
    }

    fn dispatch(&mut self, from: usize, outgoing: Vec<Envelope>) {
        for envelope in outgoing {
            let Some(to) = self.nodes.iter().position(|node| node.address == envelope.to) else {
                continue;
            };
            let is_lost = self.rng.random_range(0..100) < self.loss_percent;
            if self.blocked.contains(&(from, to)) || is_lost {
                continue;
            }
            self.sent += 1;
            let delay = Duration::from_millis(self.rng.random_range(1..=25));
            self.in_flight.insert((self.now + delay, self.sent), (from, to, envelope.message));
        }
    }

    fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.state == Running::Up)
    }

    /// Returns a host's state in the view of each running host.
    fn states(&self, of: usize) -> Vec<State> {
        let name = &self.nodes[of].detector.me().name;
        self.running()
            .filter_map(|node| Some(node.detector.view(self.now).member(name)?.state))
            .collect()
    }

    /// Asserts that in the view of every running host exactly the running hosts are live.
    fn assert_correct_views(&self) {
        let expected: BTreeSet<String> =
            self.running().map(|node| node.detector.me().name.to_string()).collect();
        for node in self.running() {
            let view = node.detector.view(self.now);
            let live = view.members.iter().filter(|member| member.state == State::Live);
            let live: BTreeSet<String> = live.map(|member| member.name.to_string()).collect();
            assert_eq!(
                live,
                expected,
                "in the view of {} at {:?}",
                node.detector.me().name,
                self.now
            );
        }
    }

    /// Drops all messages in one direction between two groups of hosts.
    fn block(&mut self, from: impl Fn(usize) -> bool, to: impl Fn(usize) -> bool) {
        let count = self.nodes.len();
        for sender in (0..count).filter(|host| from(*host)) {
            self.blocked
                .extend((0..count).filter(|host| to(*host)).map(|receiver| (sender, receiver)));
        }
    }
}

#[test]
fn hosts_discover_each_other_and_detect_a_dead_one() {
    let mut net = Network::new(3, 4, 1);
    net.run(Duration::from_secs(20));
    net.assert_correct_views();
    net.nodes[5].state = Running::Down;
    net.run(Duration::from_secs(15));
    net.assert_correct_views();
}

#[test]
fn a_candidate_without_a_host_neither_adds_nor_removes_members() {
    let mut net = Network::new(2, 3, 2);
    net.run(Duration::from_secs(10));
    let unused: SocketAddr = "10.9.9.9:1".parse().expect("an address");
    for node in &mut net.nodes {
        node.detector.add_candidates([unused]);
    }
    net.run(Duration::from_secs(10));
    net.assert_correct_views();
    assert_eq!(net.nodes[0].detector.view(net.now).members.len(), 6);
}

#[test]
fn a_host_paused_for_less_than_the_suspicion_is_never_dead() {
    let mut net = Network::new(2, 5, 3);
    net.run(Duration::from_secs(15));
    net.nodes[3].state = Running::Paused;
    for _ in 0..30 {
        net.run(TICK);
        assert!(!net.states(3).contains(&State::Dead), "declared dead at {:?}", net.now);
    }
    net.nodes[3].state = Running::Up;
    net.run(Duration::from_secs(10));
    net.assert_correct_views();
}

#[test]
fn a_one_way_failure_between_two_hosts_makes_neither_suspect() {
    let mut net = Network::new(2, 5, 4);
    net.run(Duration::from_secs(15));
    net.block(|from| from == 0, |to| to == 2);
    for _ in 0..300 {
        net.run(TICK);
        let states = [net.states(0), net.states(2)].concat();
        assert!(states.iter().all(|s| *s == State::Live), "{states:?} at {:?}", net.now);
    }
}

#[test]
fn a_replaced_process_gets_a_higher_incarnation_even_if_its_clock_is_behind() {
    let mut net = Network::new(1, 4, 5);
    net.run(Duration::from_secs(10));
    let name = net.nodes[1].detector.me().name.clone();
    let incarnation = |net: &Network| {
        let view = net.nodes[0].detector.view(net.now);
        view.member(&name).expect("a known member").incarnation
    };
    let before = incarnation(&net);
    net.restart(1, 0);
    net.run(Duration::from_secs(10));
    net.assert_correct_views();
    assert!(incarnation(&net).process() > before.process(), "{before} then {}", incarnation(&net));
}

#[test]
fn a_partitioned_data_centre_rejoins_without_a_message_storm() {
    let mut net = Network::new(4, 4, 6);
    net.run(Duration::from_secs(20));
    let is_isolated = |host: usize| host % 4 == 0;
    net.block(is_isolated, |to| !is_isolated(to));
    net.block(|from| !is_isolated(from), is_isolated);
    net.run(Duration::from_secs(40));
    for (host, node) in net.nodes.iter().enumerate() {
        let live = node.detector.view(net.now).live().count();
        assert_eq!(live, if is_isolated(host) { 4 } else { 12 }, "{}", node.detector.me().name);
    }
    let before = net.sent;
    net.run(Duration::from_secs(20));
    let steady = net.sent - before;
    net.blocked.clear();
    let before = net.sent;
    net.run(Duration::from_secs(20));
    let after = net.sent - before;
    assert!(after < steady * 2, "{after} messages in 20 s after {steady} in 20 s before");
    net.assert_correct_views();
}

#[test]
fn a_partitioned_region_of_many_data_centres_is_detected_and_rejoins() {
    let mut net = Network::new(24, 2, 10);
    net.run(Duration::from_secs(60));
    net.assert_correct_views();
    let is_isolated = |host: usize| host % 24 < 8;
    net.block(is_isolated, |to| !is_isolated(to));
    net.block(|from| !is_isolated(from), is_isolated);
    net.run(Duration::from_secs(60));
    for (host, node) in net.nodes.iter().enumerate() {
        let live = node.detector.view(net.now).live().count();
        assert_eq!(live, if is_isolated(host) { 16 } else { 32 }, "{}", node.detector.me().name);
    }
    net.blocked.clear();
    net.run(Duration::from_secs(60));
    net.assert_correct_views();
}

#[test]
fn a_new_delegate_does_not_report_data_centres_as_unreachable() {
    let mut net = Network::new(5, 6, 9);
    net.run(Duration::from_secs(60));
    for victim in [0, 5, 10, 15] {
        net.nodes[victim].state = Running::Down;
        for _ in 0..150 {
            net.run(TICK);
            let states = net.states(1);
            assert!(!states.contains(&State::Dead), "at {:?}: {states:?}", net.now);
        }
    }
}

#[test]
fn a_flapping_host_is_held_as_dead() {
    let mut net = Network::new(1, 4, 7);
    net.run(Duration::from_secs(10));
    let name = net.nodes[1].detector.me().name.clone();
    let (mut returns, mut was_live) = (0, true);
    for _ in 0..6 {
        net.nodes[1].state = Running::Paused;
        net.run(Duration::from_secs(12));
        net.nodes[1].state = Running::Up;
        for _ in 0..40 {
            net.run(TICK);
            let view = net.nodes[0].detector.view(net.now);
            let is_live = view.member(&name).is_some_and(|member| member.state == State::Live);
            returns += u32::from(is_live && !was_live);
            was_live = is_live;
        }
        was_live = false;
    }
    assert!(returns <= 2, "{returns} returns of a host that failed and recovered 6 times");
    net.run(Duration::from_secs(90));
    net.assert_correct_views();
}

#[test]
fn a_leaving_host_is_leaving_in_all_views() {
    let mut net = Network::new(2, 4, 8);
    net.run(Duration::from_secs(15));
    let outgoing = net.nodes[2].detector.leave(net.now);
    net.dispatch(2, outgoing);
    net.run(Duration::from_secs(5));
    assert!(net.states(2).iter().all(|state| *state == State::Leaving), "{:?}", net.states(2));
}

/// Injects random faults; after the last one the views become correct again.
#[rstest]
#[case::seed_11(11)]
#[case::seed_12(12)]
#[case::seed_13(13)]
#[case::seed_14(14)]
fn views_become_correct_after_random_faults(#[case] seed: u64) {
    let mut net = Network::new(3, 4, seed);
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    net.run(Duration::from_secs(15));
    for round in 0..12 {
        let host = random.random_range(0..net.nodes.len());
        match random.random_range(0..6) {
            0 => net.nodes[host].state = Running::Down,
            1 => net.nodes[host].state = Running::Paused,
            2 => net.restart(host, 10 + round),
            3 => net.block(|from| from == host, |to| to != host),
            4 => {
                let data_centre = net.nodes[host].data_centre;
                net.block(|from| from % 3 == data_centre, |to| to % 3 != data_centre);
            }
            _ => net.loss_percent = random.random_range(0..30),
        }
        net.run(Duration::from_millis(random.random_range(500..9_000)));
        if random.random_range(0..3) == 0 {
            net.blocked.clear();
        }
    }
    net.blocked.clear();
    net.loss_percent = 0;
    for node in &mut net.nodes {
        if node.state == Running::Paused {
            node.state = Running::Up;
        }
    }
    // Longer than the longest hold of a flapping member together with a suspicion.
    net.run(Duration::from_secs(90));
    net.assert_correct_views();
}

fn message(from: Member, records: Vec<Member>) -> Message {
    Message {
        from,
        revision: 0.into(),
        era: 0,
        digest: 0,
        records,
        unreachable: Vec::new(),
        body: Body::Ping { probe: 1 },
    }
}

/// Hosts that nobody has registered have limited room, in which those that are registered take part.
#[rstest]
#[case::of_one_data_centre(|number| member(number, 0, 1), 101)]
#[case::of_data_centres_of_their_own(|number| member(number, number, 1), 13)]
fn unregistered_hosts_are_bounded(#[case] unknown: fn(usize) -> Member, #[case] expected: usize) {
    let config = Config { members_max: 100, data_centres_max: 12, ..Config::default() };
    let mut detector = Detector::new(config, member(0, 0, 1), 1);
    let unknown = |number: usize| Member { peers: address(1), ..unknown(number) };
    detector.receive(Time::ZERO, message(unknown(1), (2..500).map(unknown).collect()));
    (500..600).for_each(|number| {
        detector.receive(Time::ZERO, message(unknown(number), Vec::new()));
    });
    assert_eq!(detector.view(Time::ZERO).members.len(), expected);
    let late = member(1_000, 1_000, 1);
    detector.receive(Time::ZERO, message(late.clone(), Vec::new()));
    assert_eq!(detector.view(Time::ZERO).member(&late.name), None);
    detector.set_registered([late.name.clone()].into());
    detector.receive(Time::ZERO, message(late.clone(), Vec::new()));
    assert_eq!(detector.view(Time::ZERO).member(&late.name), Some(&late));
}
