//! Look-ups that follow a plan that moves in capped steps.

use std::{collections::BTreeMap, net::IpAddr, sync::Arc, time::Duration};

use {
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    rstest::rstest,
    toucanhoist_core::{
        catalog::Catalog,
        clock::Time,
        fleet::Fleet,
        id,
        lookup::Table,
        membership::{Incarnation, Member, State, View},
        planner::{Plan, Planner},
    },
};

const AGENCY: &str = include_str!("../../examples/agency.json");
const STEP: Duration = Duration::from_secs(20);

fn service() -> id::Service {
    "curves".parse().expect("a name")
}

/// The agency's fleet with some data centres draining.
fn catalog(revision: u64, drains: &[&str]) -> Arc<Catalog> {
    let mut fleet = Fleet::from_json(AGENCY).expect("the example is valid");
    for name in drains {
        let exception = format!(
            r#"{{"scope": {{"data_centre": "{name}"}}, "value": {{"drain": true}},
                "reason": "test", "author": "test"}}"#
        );
        fleet.exceptions.push(serde_json::from_str(&exception).expect("an exception"));
    }
    Arc::new(Catalog::new(revision.into(), &fleet))
}

fn view(catalog: &Catalog) -> Arc<View> {
    let data_centres = catalog.fleet().regions.iter().flat_map(|region| &region.data_centres);
    let member = |data_centre: &id::DataCentre| Member {
        name: format!("{data_centre}-entry").parse().expect("a name"),
        incarnation: Incarnation(1),
        data_centre: data_centre.clone(),
        callers: "".into(),
        peers: "192.0.2.1:1".parse().expect("an address"),
        state: State::Live,
    };
    Arc::new(View { members: data_centres.map(member).collect() })
}

/// Returns the region of the first choice for several clients.
fn regions(catalog: &Arc<Catalog>, plan: &Plan) -> BTreeMap<u32, id::Region> {
    let table = Table::new(catalog, &view(catalog), plan);
    let block = |i: u32| {
        // Clients outside the configured blocks fall into blocks of their own.
        let client = IpAddr::from([10, 1 + (i % 6) as u8, (i / 6 % 250) as u8, 1]);
        let found = table.answer(&service(), client);
        let first = &found.choices.first().expect("a choice").member.data_centre;
        (i, catalog.region(first).expect("a region").clone())
    };
    (0..6).map(block).collect()
}

#[test]
fn a_client_gets_the_hosts_of_its_home_first() {
    let catalog = catalog(1, &[]);
    let table = Table::new(&catalog, &view(&catalog), &Plan::default());
    for (network, home) in [(1, "bern-1"), (3, "chur-1"), (6, "neuchatel-1")] {
        let found = table.answer(&service(), IpAddr::from([10, network, 0, 1]));
        let names: Vec<&str> = found.choices.iter().map(|c| c.member.name.as_str()).collect();
        assert_eq!(names[0], format!("{home}-entry"));
        assert_eq!(found.choices.iter().map(|c| c.weight).collect::<Vec<_>>()[..2], [100, 6]);
        assert_eq!(names.len(), 6);
    }
}

#[test]
fn a_process_that_starts_during_a_drain_applies_the_whole_plan() {
    let drained = catalog(2, &["chur-1", "sion-1"]);
    let mut planner = Planner::default();
    let (plan, _) = planner.update(Time::ZERO, &drained);
    let moved = regions(&drained, plan);
    assert!(moved.values().all(|region| region.as_str() != "alpen"), "{moved:?}");
}

/// Drains start and end at random. No step moves more than half of the cap, none follows too early,
/// and each moves only as many blocks as necessary.
#[rstest]
fn steps_stay_under_the_cap(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut planner = Planner::default();
    let all = ["bern-1", "aarau-1", "chur-1", "sion-1", "delemont-1", "neuchatel-1"];
    let names = ["mittelland", "alpen", "jura"].map(|name| name.parse().expect("a name"));
    let blocks: Vec<u64> = (0..1_000).map(|_| rng.random()).collect();
    let mut drains: Vec<&str> = Vec::new();
    let mut current = catalog(1, &drains);
    let mut last_step = None;
    let mut before = planner.update(Time::ZERO, &current).0.clone();
    for second in 1..600 {
        let now = Time::from_millis(second * 1_000);
        if rng.random_ratio(1, 60) {
            drains = all.into_iter().filter(|_| rng.random_ratio(1, 3)).collect();
            current = catalog(second, &drains);
        }
        let plan = planner.update(now, &current).0.clone();
        let change = |home: &id::Region| -> f64 {
            let share = |plan: &Plan, region| plan.share(&service(), home, region);
            names.iter().map(|region| (share(&plan, region) - share(&before, region)).abs()).sum()
        };
        // The regions have equal shares of the service's slots.
        let step = names.iter().map(change).sum::<f64>() / 3.0;
        assert!(step <= 0.05 + 1e-9, "a step of {step} at {second} s");
        if step > 1e-9 {
            let waited = last_step.map_or(STEP, |last| now.since(last));
            assert!(waited >= STEP, "a step after {waited:?} at {second} s");
            last_step = Some(now);
        }
        // Equal plans direct each block to the same region.
        for home in names.iter().filter(|_| plan != before) {
            let moves = |block: &&u64| {
                let region = |plan: &Plan| plan.region(&service(), home, **block).cloned();
                region(&before) != region(&plan)
            };
            let moved = blocks.iter().filter(moves).count() as f64 / blocks.len() as f64;
            // The blocks are a sample, which allows for some deviation.
            assert!(moved <= change(home) + 0.02, "{moved} of the blocks of {home}");
        }
        before = plan;
    }
    assert!(last_step.is_some());
}
