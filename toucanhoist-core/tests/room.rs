//! Single behaviours of a room.

use std::{sync::Arc, time::Duration};

use toucanhoist_core::{
    catalog::Catalog,
    clock::Time,
    fleet::Fleet,
    membership::{Incarnation, Member, State, View},
    refusal::{Code, Verdict},
    room::{Action, Decision, Digest, Load, Outcome, PlacementRequest, Room, Ticket},
};

const SERVICE: &str = "curves";

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a name")
}

/// Two data centres of one region and one of another, with one host and one target each.
fn catalog(revision: u64, exceptions: &str) -> Arc<Catalog> {
    let target = |name: &str, data_centre: &str| {
        format!(
            r#"{{"name": "{name}", "service": "{SERVICE}", "data_centre": "{data_centre}",
                "address": "192.0.2.1:80"}}"#
        )
    };
    let text = format!(
        r#"{{
            "defaults": {{"deadline": "2s", "slots": 2, "queue_per_slot": 2, "shift_cap": "50%"}},
            "exceptions": [{exceptions}],
            "regions": [
                {{"name": "lake", "data_centres": ["lake-1", "lake-2"]}},
                {{"name": "hill", "data_centres": ["hill-1"]}}
            ],
            "links": [{{"between": ["lake", "hill"], "capacity": "1Mbit/s", "latency": "20ms"}}],
            "services": [{{"name": "{SERVICE}"}}],
            "targets": [{}, {}, {}]
        }}"#,
        target("t1", "lake-1"),
        target("t2", "lake-2"),
        target("t3", "hill-1"),
    );
    Arc::new(Catalog::new(revision.into(), &Fleet::from_json(&text).expect("a valid fleet")))
}

fn view() -> Arc<View> {
    let member = |host: &str, data_centre: &str| Member {
        name: name(host),
        incarnation: Incarnation(1),
        data_centre: name(data_centre),
        callers: "".into(),
        peers: "192.0.2.1:1".parse().expect("an address"),
        state: State::Live,
    };
    Arc::new(View {
        members: vec![member("a", "lake-1"), member("b", "lake-2"), member("c", "hill-1")],
    })
}

struct Host {
    room: Room,
    catalog: Arc<Catalog>,
    view: Arc<View>,
    next: u64,
}

impl Host {
    /// Starts host `a` and waits until it may use all slots.
    fn start() -> (Host, Time) {
        let mut host = Host {
            room: Room::new(name("a"), Incarnation(1), name("lake-1")),
            catalog: catalog(1, ""),
            view: view(),
            next: 0,
        };
        host.room.update(Time::ZERO, &host.catalog, &host.view);
        let mut now = Time::ZERO;
        while now < Time::from_millis(4_000) {
            now = now + Duration::from_millis(500);
            host.room.tick(now);
        }
        (host, now)
    }

    fn request(&mut self, now: Time, account: &str, weight: u32) -> Ticket {
        self.request_with(now, account, weight, 1_000, true)
    }

    fn request_with(
        &mut self,
        now: Time,
        account: &str,
        weight: u32,
        bytes: u64,
        forwarded: bool,
    ) -> Ticket {
        self.next += 1;
        let request = PlacementRequest {
            request: u128::from(self.next).into(),
            service: name(SERVICE),
            account: Some(name(account)),
            weight,
            deadline: now + Duration::from_secs(2),
            bytes,
            forwarded,
            tried: Vec::new(),
            retry: false,
        };
        let ticket = Ticket(self.next);
        self.room.place(now, ticket, request);
        ticket
    }

    fn receive_load(&mut self, now: Time, host: &str, free: u32, queue_room: u32) {
        let load = Load {
            service: name(SERVICE),
            slots: 2,
            free,
            queued: 0,
            queue_room,
            hold: Duration::from_millis(500),
        };
        let digest = Digest { loads: vec![load], ..Digest::default() };
        self.room.apply_digest(now, &name(host), digest);
    }
}

fn decisions(actions: &[Action]) -> Vec<(Ticket, Decision)> {
    actions.iter().map(|action| (action.ticket, action.decision.clone())).collect()
}

fn run(ticket: Ticket) -> (Ticket, Decision) {
    (ticket, Decision::Run(name("t1")))
}

#[test]
fn waiting_requests_run_in_proportion_to_weight() {
    let (mut host, now) = Host::start();
    for _ in 0..2 {
        host.request(now, "busy", 1);
    }
    assert_eq!(host.room.take_actions().len(), 2);
    let many: Vec<Ticket> = (0..2).map(|_| host.request(now, "schools", 1)).collect();
    let heavy: Vec<Ticket> = (0..2).map(|_| host.request(now, "farmers", 2)).collect();
    assert!(host.room.take_actions().is_empty());
    for _ in 0..4 {
        host.room.end(now, &name("t1"), Outcome::Unknown);
    }
    let order = [many[0], heavy[0], heavy[1], many[1]].map(run);
    assert_eq!(decisions(&host.room.take_actions()), order);
}

#[test]
fn a_full_queue_drops_a_request_of_the_account_with_most_in_it() {
    let (mut host, now) = Host::start();
    let tickets: Vec<Ticket> = (0..6).map(|_| host.request(now, "schools", 1)).collect();
    host.room.take_actions();
    let late = host.request(now, "farmers", 1);
    let actions = host.room.take_actions();
    assert_eq!(actions.len(), 1);
    assert_eq!(actions[0].ticket, tickets[5]);
    let Decision::Refuse(refusal) = &actions[0].decision else { panic!("{actions:?}") };
    assert_eq!((refusal.code, refusal.verdict), (Code::NoRoom, Verdict::NotRun));
    assert!(refusal.retry_after.is_some());
    host.room.end(now, &name("t1"), Outcome::Unknown);
    host.room.end(now, &name("t1"), Outcome::Unknown);
    assert!(decisions(&host.room.take_actions()).contains(&run(late)));
}

#[test]
fn a_request_whose_sender_has_gone_never_runs() {
    let (mut host, now) = Host::start();
    let tickets: Vec<Ticket> = (0..3).map(|_| host.request(now, "schools", 1)).collect();
    host.room.take_actions();
    host.room.cancel(tickets[2]);
    host.room.end(now, &name("t1"), Outcome::Unknown);
    assert!(host.room.take_actions().is_empty());
    assert_eq!(host.room.used(&name("t1")), 1);
}

#[test]
fn a_request_that_waits_past_its_deadline_is_refused_as_not_run() {
    let (mut host, now) = Host::start();
    let tickets: Vec<Ticket> = (0..3).map(|_| host.request(now, "schools", 1)).collect();
    host.room.take_actions();
    host.room.tick(now + Duration::from_millis(900));
    host.room.tick(now + Duration::from_millis(1_800));
    host.room.tick(now + Duration::from_millis(2_000));
    let actions = host.room.take_actions();
    assert_eq!(actions.iter().map(|a| a.ticket).collect::<Vec<_>>(), [tickets[2]]);
    let Decision::Refuse(refusal) = &actions[0].decision else { panic!("{actions:?}") };
    assert_eq!((refusal.code, refusal.verdict), (Code::DeadlineExceeded, Verdict::NotRun));
}

#[test]
fn a_draining_target_gets_no_new_requests_at_once() {
    let (mut host, now) = Host::start();
    let drain =
        r#"{"scope": {"target": "t1"}, "value": {"drain": true}, "reason": "r", "author": "a"}"#;
    host.room.update(now, &catalog(2, drain), &host.view);
    host.request_with(now, "schools", 1, 1_000, false);
    let decided = decisions(&host.room.take_actions());
    assert_eq!(decided[0].1, Decision::Forward(name("b")));
    host.room.update(now, &catalog(3, ""), &host.view);
    let ticket = host.request(now, "schools", 1);
    assert_eq!(decisions(&host.room.take_actions()), [run(ticket)]);
}

#[test]
fn a_target_that_comes_back_is_tried_with_one_request_and_ramped_up() {
    let (mut host, now) = Host::start();
    host.request(now, "schools", 1);
    host.room.take_actions();
    host.room.end(now, &name("t1"), Outcome::Unreachable);
    let load =
        |host: &Host, now| host.room.service_load(now, &name(SERVICE)).expect("a load").slots;
    assert_eq!(load(&host, now), 0);
    let now = now + Duration::from_millis(250);
    assert_eq!(load(&host, now), 1);
    host.request(now, "schools", 1);
    let held = Duration::from_millis(100);
    host.room.end(now, &name("t1"), Outcome::Answered { held });
    assert_eq!(load(&host, now), 1);
    assert_eq!(load(&host, now + Duration::from_secs(10)), 2);
}

/// The next digest of another region's host may come a second later.
#[test]
fn requests_that_have_ended_at_an_owner_leave_room_for_others_before_its_next_digest() {
    let (mut host, now) = Host::start();
    let drain =
        r#"{"scope": {"target": "t1"}, "value": {"drain": true}, "reason": "r", "author": "a"}"#;
    host.room.update(now, &catalog(2, drain), &host.view);
    host.receive_load(now, "b", 2, 4);
    host.receive_load(now, "c", 0, 0);
    for number in 0..20 {
        let ticket = host.request_with(now, "schools", 1, 100, false);
        let forward = (ticket, Decision::Forward(name("b")));
        assert_eq!(decisions(&host.room.take_actions()), [forward], "request {number}");
        host.room.record_forward_end(&name("b"), &name(SERVICE));
    }
    // As many as the digest names may be on their way at once.
    let forwarded = (0..10).filter(|_| {
        host.request_with(now, "schools", 1, 100, false);
        let decided = decisions(&host.room.take_actions());
        matches!(&decided[..], [(_, Decision::Forward(_))])
    });
    assert_eq!(forwarded.count(), 6);
}

#[test]
fn a_full_link_leads_to_an_owner_of_the_region() {
    let (mut host, now) = Host::start();
    for _ in 0..6 {
        host.request(now, "schools", 1);
    }
    for _ in 0..4 {
        host.request_with(now, "schools", 1, 1_000_000, false);
    }
    host.room.take_actions();
    host.receive_load(now, "b", 0, 4);
    host.receive_load(now, "c", 2, 4);
    // The first request takes all of the host's share of the link.
    for to in ["c", "b"] {
        let ticket = host.request_with(now, "schools", 1, 100_000, false);
        let forward = (ticket, Decision::Forward(name(to)));
        assert_eq!(decisions(&host.room.take_actions()), [forward]);
    }
}

#[test]
fn traffic_between_regions_grows_by_the_cap_at_most() {
    let (mut host, _) = Host::start();
    // The default interval is 10 s; the windows counted here are offset by half an interval.
    let mut now = Time::from_millis(15_000);
    let mut shares = Vec::new();
    for window in 0..4 {
        let mut crossed = 0;
        for _ in 0..100 {
            now = now + Duration::from_millis(100);
            host.receive_load(now, "c", 2, 4);
            host.receive_load(now, "b", if window == 0 { 100 } else { 0 }, 0);
            host.request_with(now, "schools", 1, 100, false);
            let crosses = |action: &&Action| action.decision == Decision::Forward(name("c"));
            crossed += host.room.take_actions().iter().filter(crosses).count();
        }
        shares.push(crossed);
    }
    // Half of the requests, and the burst of crossings.
    assert_eq!(shares[0], 0, "{shares:?}");
    assert!(shares[2] > shares[1], "{shares:?}");
    assert!(shares.windows(2).all(|pair| pair[1] <= pair[0] + 50 + 4), "{shares:?}");
}
