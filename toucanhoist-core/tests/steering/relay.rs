use std::net::SocketAddr;

use {
    rstest::rstest,
    toucanhoist_core::{
        membership::{Incarnation, Member, State, View},
        steering::Relay,
    },
};

use crate::support::{at, name, settings};

fn member(number: u16, data_centre: &str, state: State) -> Member {
    Member {
        name: name(&format!("h{number}")),
        incarnation: Incarnation(1),
        data_centre: name(data_centre),
        callers: "".into(),
        peers: ([10, 0, 0, 1], number).into(),
        state,
    }
}

fn relay(number: u16, data_centre: &str) -> Relay {
    let regions = settings("h1", "n1").regions;
    Relay::new(at(0), true, name(&format!("h{number}")), &name(data_centre), regions)
}

fn view(dead: &[u16]) -> View {
    let state = |number| if dead.contains(&number) { State::Dead } else { State::Live };
    let north = (1..=8).map(|n| member(n, if n % 2 == 0 { "n1" } else { "n2" }, state(n)));
    let south = (9..=12).map(|n| member(n, "s1", state(n)));
    View { members: north.chain(south).collect() }
}

fn watchers(dead: &[u16]) -> Vec<u16> {
    let is_watcher = |number: &u16| {
        let data_centre = if *number % 2 == 0 { "n1" } else { "n2" };
        let mut relay = relay(*number, data_centre);
        relay.set_view(&view(dead));
        relay.is_active(at(500))
    };
    (1..=8).filter(|number| !dead.contains(number)).filter(is_watcher).collect()
}

#[test]
fn two_hosts_of_a_region_watch() {
    let first = watchers(&[]);
    assert_eq!(first.len(), 2);
    let next = watchers(&first[..1]);
    assert_eq!(next.len(), 2);
    assert!(next.contains(&first[1]), "the other one stays");
}

#[test]
fn hosts_with_the_largest_machines_watch() {
    let capacities = [(1, 10), (2, 50), (4, 20), (5, 50), (6, 10), (7, 40)];
    let capacities = capacities.map(|(number, capacity)| (name(&format!("h{number}")), capacity));
    let is_watcher = |number: &u16| {
        let mut relay = relay(*number, if number % 2 == 0 { "n1" } else { "n2" });
        relay.set_view(&view(&[]));
        relay.set_capacities(capacities.clone().into());
        relay.is_active(at(500))
    };
    assert_eq!((1..=8).filter(is_watcher).collect::<Vec<_>>(), [2, 5]);
}

#[test]
fn watchers_send_to_the_hosts_of_their_region() {
    let mut relay = relay(2, "n1");
    relay.set_view(&view(&[3]));
    let ports: Vec<u16> = relay.peers().iter().map(|address| address.port()).collect();
    assert_eq!(ports, [1, 4, 5, 6, 7, 8]);
}

/// Hosts of the north with their relays, in the order in which they take over.
fn hosts_by_rank() -> Vec<(SocketAddr, Relay)> {
    let rank =
        |relay: &Relay| (1_200..5_000).step_by(100).find(|millis| relay.is_active(at(*millis)));
    let mut hosts: Vec<_> = (1..=8)
        .map(|number| {
            let mut relay = relay(number, if number % 2 == 0 { "n1" } else { "n2" });
            relay.set_view(&view(&[]));
            (SocketAddr::from(([10, 0, 0, 1], number)), relay)
        })
        .collect();
    hosts.sort_by_key(|(_, relay)| (!relay.is_active(at(500)), rank(relay)));
    hosts
}

#[test]
fn others_take_over_in_groups_that_double_when_no_watcher_is_heard() {
    let hosts = hosts_by_rank();
    let active = |millis| hosts.iter().filter(|(_, relay)| relay.is_active(at(millis))).count();
    assert_eq!([500, 1_190, 1_200, 1_390, 1_400].map(active), [2, 2, 4, 4, 8]);
}

#[test]
fn the_last_host_of_a_large_region_takes_over_in_time() {
    let members = (1..=128).map(|number| member(number, "n1", State::Live)).collect();
    let view = View { members };
    let last = (1..=128).map(|number| {
        let mut relay = relay(number, "n1");
        relay.set_view(&view);
        (0..).step_by(10).find(|millis| *millis >= 500 && relay.is_active(at(*millis)))
    });
    assert_eq!(last.max(), Some(Some(2_200)));
}

/// Relay of the third host, which has heard both watchers for two seconds. The store answered the
/// second one until `last_answer`, in milliseconds.
fn third_host(last_answer: u64) -> Relay {
    let mut hosts = hosts_by_rank();
    let watchers = [hosts[0].0, hosts[1].0];
    let (_, mut relay) = hosts.swap_remove(2);
    for millis in (0..=2_000).step_by(500) {
        relay.record_heartbeat(at(millis), watchers[0], at(millis));
        relay.record_heartbeat(at(millis), watchers[1], at(millis.min(last_answer)));
    }
    relay
}

#[test]
fn a_watcher_that_the_store_no_longer_answers_covers_nobody() {
    let relay = third_host(900);
    assert!(!relay.is_active(at(2_000)));
    assert!(relay.is_active(at(2_100)), "1,200 ms after the last answer");
}

#[test]
fn a_host_whose_knowledge_is_not_confirmed_asks_the_store_itself() {
    let mut relay = third_host(2_000);
    relay.set_confirmed(Some(at(900)));
    assert!(!relay.is_active(at(2_000)));
    assert!(relay.is_active(at(2_100)));
    relay.set_confirmed(Some(at(2_100)));
    assert!(!relay.is_active(at(2_100)));
}

/// Which hosts, by rank, follow the store after all have received heartbeats of `sending`.
#[rstest]
#[case::watchers(&[0, 1], &[0, 1])]
#[case::only_one_sends(&[1], &[0, 1, 2, 3, 4, 5, 6, 7])]
#[case::one_takes_over(&[1, 2], &[0, 1, 2])]
#[case::both_are_rejected(&[2, 3], &[0, 1, 2, 3])]
#[case::the_next_is_rejected_too(&[1, 3], &[0, 1, 2, 3])]
#[case::more_than_needed(&[1, 2, 3, 4], &[0, 1, 2])]
fn two_connected_hosts_are_enough(#[case] sending: &[usize], #[case] active: &[usize]) {
    let mut hosts = hosts_by_rank();
    let addresses: Vec<SocketAddr> = hosts.iter().map(|(address, _)| *address).collect();
    for (rank, (_, relay)) in hosts.iter_mut().enumerate() {
        for millis in (0..=2_000).step_by(500) {
            let others = sending.iter().filter(|sending| **sending != rank);
            others.for_each(|sending| {
                relay.record_heartbeat(at(millis), addresses[*sending], at(millis));
            });
        }
    }
    let follow = (0..8).filter(|rank| hosts[*rank].1.is_active(at(2_100))).collect::<Vec<_>>();
    assert_eq!(follow, active);
}

#[test]
fn a_lone_host_follows_the_store_once_membership_has_settled() {
    let mut relay = relay(1, "n2");
    relay.set_view(&View { members: vec![member(1, "n2", State::Live)] });
    assert!(!relay.is_active(at(100)));
    assert!(relay.is_active(at(500)));
}

#[test]
fn a_host_that_starts_while_the_fleet_runs_reads_the_store_at_once() {
    let regions = settings("h1", "n1").regions;
    let relay = Relay::new(at(0), false, name("h1"), &name("n1"), regions);
    assert!(relay.is_active(at(0)));
}
