//! Time of look-ups in the core, at the size for which it is designed.

use std::{net::Ipv4Addr, sync::Arc, time::Instant};

use {
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    toucanhoist_core::{
        catalog::Catalog,
        clock::Time,
        fleet::{Block, Fleet, Region, Service, Target},
        id,
        lookup::Table,
        membership::{Incarnation, Member, State, View},
        planner::Planner,
    },
};

use crate::report::Report;

const BLOCKS: u32 = 570_000;
const REGIONS: usize = 23;
const DATA_CENTRES: usize = 89;
const HOSTS: usize = 2_800;
const LOOK_UPS: u32 = 1_000_000;
const LOOK_UP_NS_MAX: f64 = 1_000.0;

/// Measures look-ups without a drain, and while the data centres of one region drain.
pub(super) fn measure(report: &mut Report, seed: u64) {
    for drained in [false, true] {
        let fleet = fleet(drained);
        let catalog = Arc::new(Catalog::new(1.into(), &fleet));
        let mut planner = Planner::default();
        let plan = planner.update(Time::ZERO, &catalog).0.clone();
        let started = Instant::now();
        let table = Table::new(&catalog, &view(&fleet), &plan);
        let built_ms = started.elapsed().as_secs_f64() * 1_000.0;
        let nanos = look_up_nanos(&table, seed);
        let what = if drained { "look-up while a region drains" } else { "look-up" };
        report.add_row([
            ("user", "570,000 blocks".into()),
            ("policy", what.into()),
            ("look_up_ns", nanos.round().into()),
            ("table_built_ms", built_ms.round().into()),
        ]);
        report.at_most(&format!("nanoseconds, {what}"), LOOK_UP_NS_MAX, nanos);
    }
}

fn look_up_nanos(table: &Table, seed: u64) -> f64 {
    let service: id::Service = "curves".parse().expect("valid name");
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let clients: Vec<Ipv4Addr> =
        (0..LOOK_UPS).map(|_| Ipv4Addr::from(rng.random_range(0..BLOCKS * 256))).collect();
    let started = Instant::now();
    let found: usize =
        clients.iter().map(|client| table.answer(&service, (*client).into()).choices.len()).sum();
    assert!(found > 0, "no look-up found a host");
    started.elapsed().as_secs_f64() * 1e9 / f64::from(LOOK_UPS)
}

fn data_centre(number: usize) -> id::DataCentre {
    format!("place-{number}").parse().expect("valid name")
}

fn fleet(drained: bool) -> Fleet {
    let region = |i: usize| Region {
        name: format!("region-{i}").parse().expect("valid name"),
        data_centres: (i..DATA_CENTRES).step_by(REGIONS).map(data_centre).collect(),
    };
    let block = |i: u32| Block {
        block: ipnet(Ipv4Addr::from(i * 256)),
        home: data_centre(i as usize % DATA_CENTRES),
    };
    let target = |i: usize| Target {
        name: format!("target-{i}").parse().expect("valid name"),
        service: "curves".parse().expect("valid name"),
        data_centre: data_centre(i),
        address: "192.0.2.1:80".parse().expect("valid address"),
    };
    let mut fleet = Fleet {
        regions: (0..REGIONS).map(region).collect(),
        client_blocks: (0..BLOCKS).map(block).collect(),
        services: vec![Service { name: "curves".parse().expect("valid name") }],
        targets: (0..DATA_CENTRES).map(target).collect(),
        ..Fleet::default()
    };
    if drained {
        // The targets of the first region's data centres drain.
        let exception = |i: usize| {
            format!(
                r#"{{"scope": {{"data_centre": "{}"}}, "value": {{"drain": true}},
                    "reason": "measured", "author": "measured"}}"#,
                data_centre(i)
            )
        };
        let drains = (0..DATA_CENTRES).step_by(REGIONS).map(exception);
        let drains = drains.map(|text| serde_json::from_str(&text).expect("valid exception"));
        fleet.exceptions = drains.collect();
    }
    fleet
}

fn ipnet(network: Ipv4Addr) -> ipnet::IpNet {
    ipnet::Ipv4Net::new(network, 24).expect("valid prefix length").into()
}

fn view(fleet: &Fleet) -> Arc<View> {
    let data_centres: Vec<&id::DataCentre> =
        fleet.regions.iter().flat_map(|r| &r.data_centres).collect();
    let member = |i: usize| Member {
        name: format!("entry-{i}").parse().expect("valid name"),
        incarnation: Incarnation(1),
        data_centre: data_centres[i % data_centres.len()].clone(),
        callers: "http://192.0.2.1:8080".into(),
        peers: "192.0.2.1:1".parse().expect("valid address"),
        state: State::Live,
    };
    Arc::new(View { members: (0..HOSTS).map(member).collect() })
}
