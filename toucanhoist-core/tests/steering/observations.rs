//! Observations of slow and failing targets that hosts exchange.

use std::collections::{BTreeMap, HashMap};

use {
    rstest::rstest,
    toucanhoist_core::steering::{Balancer, Observations, Outcome, Ticket},
};

use crate::support::{answered, at, config, name, place, request, settings, target};

/// Hosts of the region, targets that they share, and requests that each sends in ten seconds.
const HOSTS: u64 = 12;
const TARGETS: u64 = 30;
const PER_HOST: u64 = 50;
const INTERVAL_MS: u64 = 200;

fn host(number: u64) -> Balancer {
    let mut balancer = Balancer::new(settings(&format!("h{number}"), "n1"));
    balancer.set_config(at(0), &config());
    for number in 0..TARGETS {
        balancer.set_target(at(0), &name(&format!("t{number}")), Some(&target("n1", 3)));
    }
    balancer
}

/// Returns how many requests of all hosts the first target got. Requests to it end with `outcome`
/// after `after_ms`, requests to other targets after 270 ms.
fn sent_to_first(outcome: Outcome, after_ms: u64, is_exchanged: bool) -> usize {
    let mut hosts: Vec<Balancer> = (0..HOSTS).map(host).collect();
    let mut in_progress: BTreeMap<(u64, u64), (usize, Ticket)> = BTreeMap::new();
    let mut sent = 0;
    for millis in 0..PER_HOST * INTERVAL_MS {
        while let Some(entry) = in_progress.first_entry().filter(|next| next.key().0 <= millis) {
            let (host, ticket) = entry.remove();
            let is_first = ticket.target == name("t0");
            let end = if is_first { outcome } else { answered(270) };
            hosts[host].end(at(millis), &ticket, end);
        }
        for (number, host) in (0..).zip(hosts.iter_mut()) {
            if millis % INTERVAL_MS != number * 16 {
                continue;
            }
            let id = millis * HOSTS + number;
            let Some(ticket) = place(host, at(millis), request(id, at(millis))) else { continue };
            let is_first = ticket.target == name("t0");
            sent += usize::from(is_first);
            let takes = if is_first { after_ms } else { 270 };
            in_progress.insert((millis + takes, id), (number as usize, ticket));
        }
        if is_exchanged && millis % 150 == 0 {
            exchange(&mut hosts, millis);
        }
    }
    sent
}

/// Exchanges the reports of all hosts.
fn exchange(hosts: &mut [Balancer], millis: u64) {
    let reports: Vec<_> = hosts
        .iter_mut()
        .map(|host| (host.own_requests(), host.take_observations(at(millis))))
        .collect();
    for (from, (requests, observations)) in reports.iter().enumerate() {
        let others = (0..).zip(hosts.iter_mut()).filter(|(number, _)| *number != from);
        for (_, other) in others {
            other.set_peer_requests(at(millis), name(&format!("h{from}")), requests.clone());
            other.add_peer_observations(observations.clone());
        }
    }
}

/// Of 600 requests over twelve hosts, the target's even share is a thirtieth. Each host alone sends
/// it a few before it knows; hosts that exchange observations should need hardly more in total.
#[rstest]
#[case::silent(Outcome::Unanswered, 2_000)]
#[case::slow(answered(1_600), 1_600)]
#[case::failing(Outcome::Broken, 50)]
fn hosts_learn_of_a_bad_target_from_each_other(#[case] outcome: Outcome, #[case] after_ms: u64) {
    let alone = sent_to_first(outcome, after_ms, false);
    let together = sent_to_first(outcome, after_ms, true);
    println!("{outcome:?}: {together}, {alone} without the exchange");
    assert!(2 * together <= alone, "{together} requests went to it, {alone} without the exchange");
}

#[test]
fn a_target_that_recovers_gets_its_share_again() {
    let mut hosts: Vec<Balancer> = (0..HOSTS).map(host).collect();
    let tag = first_tag(&mut hosts[0]);
    let bad = Observations { times: 10, multiples: 60.0, ends: 10, failed: 10 };
    hosts[1].set_peer_requests(at(0), name("h0"), HashMap::new());
    hosts[1].add_peer_observations([(tag, bad)]);
    assert!(!goes_to_first(&mut hosts[1], 100), "it was reported as slow and failing");
    // No further observations arrive.
    assert!(goes_to_first(&mut hosts[1], 30_000));
}

#[test]
fn old_observations_are_not_sent() {
    let mut host = host(1);
    // Nothing is sent for a minute, as in a region of few hosts.
    for number in 0..600 {
        let now = at(number * 100);
        let ticket = place(&mut host, now, request(number, now)).expect("a ticket");
        host.end(now, &ticket, Outcome::Broken);
    }
    let ends: u32 =
        host.take_observations(at(60_000)).values().map(|observations| observations.ends).sum();
    assert!(
        (1..=10).contains(&ends),
        "{ends} requests were reported, ten ended in the last second"
    );
}

#[test]
fn an_excessive_multiple_counts_as_very_slow() {
    let mut hosts: Vec<Balancer> = (0..2).map(host).collect();
    let tag = first_tag(&mut hosts[0]);
    hosts[1].set_peer_requests(at(0), name("h0"), HashMap::new());
    hosts[1].add_peer_observations([(
        tag,
        Observations { times: 1_000, multiples: 1e9, ..Observations::default() },
    )]);
    assert!(!goes_to_first(&mut hosts[1], 100));
    assert!(goes_to_first(&mut hosts[1], 40_000), "it never gets requests again");
}

/// Returns the first target's tag, as a host reports it.
fn first_tag(host: &mut Balancer) -> u32 {
    let mut number = 0;
    loop {
        number += 1;
        let ticket = place(host, at(0), request(number, at(0))).expect("a ticket");
        if ticket.target == name("t0") {
            host.end(at(50), &ticket, Outcome::Broken);
            return *host.take_observations(at(50)).keys().next().expect("it failed");
        }
        host.end(at(0), &ticket, answered(270));
    }
}

/// Whether any of 200 requests goes to the first target.
fn goes_to_first(host: &mut Balancer, millis: u64) -> bool {
    (0..200).any(|number| {
        let Some(ticket) = place(host, at(millis), request(10_000 + millis + number, at(millis)))
        else {
            return false;
        };
        host.end(at(millis), &ticket, answered(270));
        ticket.target == name("t0")
    })
}
