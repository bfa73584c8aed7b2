//! Cost of configuration documents of several sizes: parsing, resolving, changes and look-ups.

use std::{
    error::Error,
    hint::black_box,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Instant,
};

use {
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    serde_json::json,
    toucanhoist_core::{
        catalog::Catalog,
        configuration::{self, Body, Delta, Entry, Replica},
        fleet::{Account, Block, Fleet, Region, Service, Target},
        unit::Rate,
    },
};

use super::usage;

const CHANGES_PER_S: f64 = 6_800.0 / 86_400.0;
const DATA_CENTRES: usize = 89;
const REGIONS: usize = 23;
const LOOK_UPS: u32 = 200_000;
const CHANGES: u32 = 3;

/// Cost of a document of one size.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cost {
    pub json_bytes: usize,
    pub parse_ms: f64,
    /// Time to apply one change to the replica.
    pub apply_ms: f64,
    /// Time to resolve the changed document for the data path.
    pub resolve_ms: f64,
    pub delta_bytes: usize,
    /// Resident memory added by the document, its resolved form and a change of both.
    pub memory_mb: f64,
    pub look_up_ns: f64,
}

impl Cost {
    /// Returns the share of a core that the planned number of changes takes.
    pub(super) fn core_percent(&self) -> f64 {
        (self.apply_ms + self.resolve_ms) / 1e3 * CHANGES_PER_S * 100.0
    }
}

type Outcome = Result<Cost, Box<dyn Error>>;

pub(super) fn accounts(count: usize) -> Outcome {
    let accounts = (0..count).map(account).collect();
    measure(Fleet { accounts, ..fleet_with_regions() }, 1)
}

pub(super) fn sites(count: usize) -> Outcome {
    let services = vec![Service { name: "curves".parse()? }];
    let targets = (0..count).map(target).collect();
    measure(Fleet { services, targets, ..fleet_with_regions() }, 1)
}

pub(super) fn blocks(count: usize, seed: u64) -> Outcome {
    let mut fleet = fleet_with_regions();
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    fleet.client_blocks = (0..count)
        .map(|i| {
            let network = Ipv4Addr::from(u32::try_from(i << 8).unwrap_or(u32::MAX));
            let home = rng.random_range(0..DATA_CENTRES);
            Block {
                block: format!("{network}/24").parse().expect("valid block"),
                home: format!("dc-{home}").parse().expect("valid name"),
            }
        })
        .collect();
    measure(fleet, seed)
}

fn fleet_with_regions() -> Fleet {
    let region = |number: usize| Region {
        name: format!("region-{number}").parse().expect("valid name"),
        data_centres: (number..DATA_CENTRES)
            .step_by(REGIONS)
            .map(|dc| format!("dc-{dc}").parse().expect("valid name"))
            .collect(),
    };
    Fleet { regions: (0..REGIONS).map(region).collect(), ..Fleet::default() }
}

fn account(number: usize) -> Account {
    let name = format!("account-{number}").parse().expect("valid name");
    Account { name, rate: Rate::per_second(100.0), burst: 100, weight: 1 }
}

fn target(number: usize) -> Target {
    Target {
        name: format!("site-{number}").parse().expect("valid name"),
        service: "curves".parse().expect("valid name"),
        data_centre: format!("dc-{}", number % DATA_CENTRES).parse().expect("valid name"),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
    }
}

fn measure(fleet: Fleet, seed: u64) -> Outcome {
    let text = serde_json::to_string(&fleet)?;
    drop(fleet);
    let before = usage::memory_mb()?;
    let started = Instant::now();
    let fleet: Fleet = serde_json::from_str(&text)?;
    let parse_ms = elapsed_ms(started);
    let mut replica = Replica::default();
    apply(&mut replica, 1, Body::Full(Box::new(fleet)));
    let mut catalog = Catalog::shared(1.into(), Arc::clone(replica.fleet()));

    let (mut apply_ms, mut resolve_ms, mut delta_bytes, mut memory_mb) = (0.0, 0.0, 0, 0.0_f64);
    for number in 0..CHANGES {
        let delta = delta(replica.fleet(), usize::try_from(number)?)?;
        delta_bytes = serde_json::to_vec(&delta)?.len();
        let started = Instant::now();
        apply(&mut replica, u64::from(number) + 2, Body::Delta(Box::new(delta)));
        apply_ms += elapsed_ms(started);
        let started = Instant::now();
        let resolved = Catalog::shared(replica.revision(), Arc::clone(replica.fleet()));
        resolve_ms += elapsed_ms(started);
        // The old catalogue stays in use until the new one replaces it.
        memory_mb = memory_mb.max(usage::memory_mb()? - before);
        catalog = resolved;
    }
    let look_up_ns = time_look_ups(&catalog, seed);
    let changes = f64::from(CHANGES);
    Ok(Cost {
        json_bytes: text.len(),
        parse_ms,
        apply_ms: apply_ms / changes,
        resolve_ms: resolve_ms / changes,
        delta_bytes,
        memory_mb,
        look_up_ns,
    })
}

/// Returns a change of one account and, if there are any, of one block.
fn delta(fleet: &Fleet, number: usize) -> Result<Delta, Box<dyn Error>> {
    let accounts = fleet.accounts.len();
    let added = account(1_000_000 + number);
    let mut delta = json!({
        "accounts": [{"length": accounts, "at": accounts, "remove": 0, "insert": [added]}],
    });
    if let Some(block) = fleet.client_blocks.get(number) {
        let mut block = block.clone();
        block.home = format!("dc-{}", 80 + number).parse()?;
        let length = fleet.client_blocks.len();
        delta["client_blocks"] =
            json!([{"length": length, "at": number, "remove": 1, "insert": [block]}]);
    }
    Ok(serde_json::from_value(delta)?)
}

fn apply(replica: &mut Replica, revision: u64, body: Body) {
    let outcome = replica.apply(Arc::new(Entry {
        revision: revision.into(),
        change: u128::from(revision).into(),
        author: "operator".into(),
        reason: "measured".into(),
        at_unix_ms: 0,
        touches: Vec::new(),
        body,
    }));
    assert_eq!(outcome, configuration::Outcome::Applied, "revision {revision}");
}

fn time_look_ups(catalog: &Catalog, seed: u64) -> f64 {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let started = Instant::now();
    for _ in 0..LOOK_UPS {
        let client = Ipv4Addr::from(rng.random_range(0..570_000_u32 << 8));
        black_box(catalog.home(client.into()));
    }
    elapsed_ms(started) * 1e6 / f64::from(LOOK_UPS)
}

fn elapsed_ms(started: Instant) -> f64 {
    started.elapsed().as_secs_f64() * 1e3
}
