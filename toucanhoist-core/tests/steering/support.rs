use std::{collections::BTreeMap, sync::Arc, time::Duration};

use toucanhoist_core::{
    clock::Time,
    id,
    steering::{
        Announced, Attempt, Balancer, Config, Outcome, Part, Placement, PlacementRequest,
        RetryTerms, Route, ServiceTerms, Settings, Target, TargetState, Ticket,
    },
};

pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a name")
}

pub fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

/// Two regions: `north` with data centres `n1` and `n2`, `south` with `s1`.
pub fn settings(host: &str, data_centre: &str) -> Settings {
    let regions = [("n1", "north"), ("n2", "north"), ("s1", "south")];
    Settings {
        host: name(host),
        data_centre: name(data_centre),
        regions: BTreeMap::from(
            regions.map(|(data_centre, region)| (name(data_centre), name(region))),
        ),
        retries: RetryTerms { ratio: 0.2, extra: 56.0, window: Duration::from_secs(10) },
        shift_cap: 0.1,
        shift_interval: Duration::from_secs(2),
        cold_factor: 1.5,
        cold_extra: 5.0,
        restarted: None,
        seed: host.bytes().map(u64::from).sum(),
    }
}

pub fn route(prefix: &str, service: &str) -> Route {
    Route {
        name: prefix.into(),
        prefix: prefix.into(),
        repeatable: true,
        timeout: Some(Duration::from_secs(2)),
        objective: Some(Duration::from_millis(600)),
        priority: 1,
        parts: vec![Part { service: name(service), weight: 1.0 }],
        attempts_max: 2,
        open: true,
        affinity: true,
        homes: Vec::new(),
    }
}

pub fn config() -> Config {
    let terms = ServiceTerms {
        name: name("curves"),
        connections_max: 330,
        cold_time: Duration::from_secs(3),
        cold_rate: 9.0,
    };
    Config { revision: 1.into(), services: vec![terms], ..Config::default() }
}

pub fn target(data_centre: &str, slots: u32) -> Target {
    Target {
        service: name("curves"),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: name(data_centre),
        slots,
        state: TargetState::Ready,
        cold_left: Duration::ZERO,
        born: 1,
    }
}

/// Hosts by name and data centre.
pub fn hosts(hosts: &[(&str, &str)]) -> BTreeMap<id::EntryHost, id::DataCentre> {
    hosts.iter().map(|(host, data_centre)| (name(host), name(data_centre))).collect()
}

/// Eight hosts in `n1`.
pub fn eight_hosts() -> BTreeMap<id::EntryHost, id::DataCentre> {
    hosts(&["h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8"].map(|host| (host, "n1")))
}

/// A balancer of host `h1` in `n1`, with targets by name, data centre and slots.
pub fn balancer(targets: &[(&str, &str, u32)]) -> Balancer {
    let mut balancer = Balancer::new(settings("h1", "n1"));
    balancer.set_config(at(0), &config());
    for (target_name, data_centre, slots) in targets {
        balancer.set_target(at(0), &name(target_name), Some(&target(data_centre, *slots)));
    }
    balancer
}

pub fn request(number: u64, now: Time) -> PlacementRequest {
    PlacementRequest {
        number,
        route: Arc::new(route("/curves/", "curves")),
        service: name("curves"),
        object: None,
        priority: 1,
        arrived: now,
        deadline: now + Duration::from_secs(2),
        homes: Vec::new(),
        tried: Vec::new(),
        attempt: Attempt::First,
    }
}

/// Places a request; `None` if it waits or is refused.
pub fn place(balancer: &mut Balancer, now: Time, request: PlacementRequest) -> Option<Ticket> {
    let number = request.number;
    match balancer.place(now, request).into_iter().find(|(decided, _)| *decided == number)?.1 {
        Placement::Send(ticket) => Some(ticket),
        Placement::Refuse { .. } => None,
    }
}

pub fn answered(took_ms: u64) -> Outcome {
    Outcome::Answered {
        took: Duration::from_millis(took_ms),
        report: None,
        announced: Announced::Unlimited,
        failed: false,
    }
}

/// Data centres over which fleets of numbered hosts and targets are spread; the first two are one
/// region.
pub const DATA_CENTRES: [&str; 3] = ["n1", "n2", "s1"];

pub fn place_of(number: usize) -> &'static str {
    DATA_CENTRES[number % DATA_CENTRES.len()]
}

pub fn host_name(number: usize) -> id::EntryHost {
    name(&format!("h{number}"))
}

pub fn target_name(number: usize) -> id::Target {
    name(&format!("t{number}"))
}

pub fn target_id(text: &str) -> id::Target {
    name(text)
}
