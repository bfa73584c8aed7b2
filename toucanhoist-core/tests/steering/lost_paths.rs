//! A host that has lost its direct paths to some targets, or to all.

use toucanhoist_core::{
    clock::Time,
    steering::{Balancer, Failure, Path},
};

use crate::support::{at, balancer, hosts, name, place, request, target, target_id};

/// A host beside another one, with four targets.
fn host() -> Balancer {
    let targets = ["t1", "t2", "t3", "t4"].map(|target| (target, "n1", 4));
    let mut balancer = balancer(&targets);
    balancer.set_hosts(at(0), hosts(&[("h1", "n1"), ("h2", "n1")]));
    balancer
}

/// The direct path to a target fails, and the other host reaches the target.
fn lose(balancer: &mut Balancer, now: Time, target: &str) {
    let target = target_id(target);
    balancer.record_connection(now, &target, &Path::Direct, Err(Failure::Refused));
    balancer.record_connection(now, &target, &Path::Tunnel(name("h2")), Ok(()));
}

fn paths(balancer: &Balancer, target: &str) -> Vec<Path> {
    let steps = balancer.plan_connection(at(200), &target_id(target), &[]);
    steps.into_iter().map(|step| step.path).collect()
}

#[test]
fn a_host_carries_no_tunnels_to_a_target_that_it_has_lost() {
    let mut balancer = host();
    let address = target("n1", 4).address;
    lose(&mut balancer, at(100), "t1");
    let check = |balancer: &mut Balancer, target: &str| {
        balancer.check_tunnel(at(200), &target_id(target), address)
    };
    assert_eq!(check(&mut balancer, "t1"), Err(Failure::NoPath));
    assert_eq!(check(&mut balancer, "t2"), Ok(()));
    balancer.record_connection(at(200), &target_id("t1"), &Path::Direct, Ok(()));
    assert_eq!(check(&mut balancer, "t1"), Ok(()));
}

#[test]
fn connections_that_were_idle_when_the_host_was_cut_off_are_not_used() {
    let mut balancer = host();
    let ticket = place(&mut balancer, at(100), request(1, at(100))).expect("a target");
    assert_eq!(ticket.fresh_after, Time::ZERO);
    for number in 1..=3 {
        let target = target_id(&format!("t{number}"));
        let result = Err(Failure::TimedOut);
        balancer.record_connection(at(5_000 + number), &target, &Path::Direct, result);
    }
    // The fourth target was not tried; its connections were idle as well.
    let mut request = request(2, at(5_100));
    request.tried = (1..=3).map(|number| target_id(&format!("t{number}"))).collect();
    let ticket = place(&mut balancer, at(5_100), request).expect("a target");
    assert_eq!((ticket.target, ticket.fresh_after), (target_id("t4"), at(5_003)));
}

#[test]
fn all_lost_paths_are_tried_directly_again_once_one_works() {
    let mut balancer = host();
    lose(&mut balancer, at(100), "t1");
    lose(&mut balancer, at(110), "t2");
    assert_eq!(paths(&balancer, "t2"), [Path::Tunnel(name("h2"))]);
    balancer.record_connection(at(150), &target_id("t1"), &Path::Direct, Ok(()));
    assert_eq!(paths(&balancer, "t2").first(), Some(&Path::Direct));
}
