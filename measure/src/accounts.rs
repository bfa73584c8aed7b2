//! `measure accounts`: rates and bursts over the fleet, in virtual time.
//!
//! Four methods of rate limiting get the same requests: demand that is skewed to one host and moves
//! each minute, one account at five times its rate, a store outage of 10 minutes and a partition.
//! The method `design` is the core's own code, run by [`toucanhoist_fakes::quota::Simulation`].

use std::time::Duration;

use {
    prost::Message,
    serde_json::Value,
    toucanhoist_core::fleet::Fleet,
    toucanhoist_fakes::quota::{Config, Simulation, Tally},
    toucanhoist_wire::quota::{Ask, Tokens},
};

use crate::{
    Outcome,
    report::{Options, Report},
};

mod baseline;
mod load;

use self::{
    baseline::Baseline,
    load::{Load, Phase},
};

const FLEETS: [(&str, &str); 2] = [
    ("agency", include_str!("../../examples/agency.json")),
    ("tarjetas", include_str!("../../examples/tarjetas.json")),
];
const HOSTS: [usize; 1] = [8];
const REGIONS: usize = 3;
const WRONGFUL_MAX_STORE_UP: f64 = 0.001;
const WRONGFUL_MAX_STORE_DOWN: f64 = 0.005;
const SERVED_SHARE_MIN: f64 = 0.99;

/// Bytes of HTTP/2 frames and compressed headers for each message.
const FRAME_BYTES: usize = 64;

/// Results of a method in a phase.
struct PhaseResult {
    tallies: Vec<Tally>,
    messages: u64,
    writes: u64,
    ledger_bytes: u64,
}

/// Worst results of a fleet, for the goals.
#[derive(Default)]
struct WorstCase {
    exceeded: u64,
    wrongful_up: f64,
    wrongful_down: f64,
    served_share: f64,
}

/// Runs the measurement.
pub fn run(options: &Options) -> Outcome {
    let mut report = Report::default();
    for (name, document) in FLEETS {
        let fleet = Fleet::from_json(document)?;
        let accounts: Vec<(f64, f64)> =
            fleet.accounts.iter().map(|a| (a.rate.as_per_second(), f64::from(a.burst))).collect();
        let mut worst_case = WorstCase { served_share: 1.0, ..WorstCase::default() };
        for hosts in HOSTS {
            measure_fleet(&mut report, options.seed, name, &accounts, hosts, &mut worst_case);
        }
        #[allow(clippy::cast_precision_loss, reason = "a count far below 2^52")]
        let exceeded = worst_case.exceeded as f64;
        report.at_most(&format!("{name}: requests admitted beyond rate and burst"), 0.0, exceeded);
        report.at_most(
            &format!("{name}: wrongful refusals, store up"),
            WRONGFUL_MAX_STORE_UP,
            worst_case.wrongful_up,
        );
        report.at_most(
            &format!("{name}: wrongful refusals, store down"),
            WRONGFUL_MAX_STORE_DOWN,
            worst_case.wrongful_down,
        );
        report.at_least(
            &format!("{name}: worst-served account beside one at 5 x, no partition"),
            SERVED_SHARE_MIN,
            worst_case.served_share,
        );
    }
    Ok(report)
}

fn measure_fleet(
    report: &mut Report,
    seed: u64,
    fleet: &str,
    accounts: &[(f64, f64)],
    hosts: usize,
    worst_case: &mut WorstCase,
) {
    for baseline in [Baseline::Split, Baseline::Counter, Baseline::Ideal] {
        let mut load = Load::new(seed, accounts, hosts);
        let mut baseline_fleet = baseline::Fleet::new(baseline, accounts, hosts);
        for phase in Phase::ALL {
            baseline_fleet.set_phase(phase);
            let (writes, before) = (baseline_fleet.writes(), baseline_fleet.take_tallies());
            drop(before);
            load.run(phase, |at, host, account| baseline_fleet.offer(at, host, account));
            let result = PhaseResult {
                tallies: baseline_fleet.take_tallies(),
                messages: 0,
                writes: baseline_fleet.writes() - writes,
                ledger_bytes: 0,
            };
            if phase != Phase::WarmUp {
                add_row(report, fleet, hosts, baseline.as_str(), phase, &result);
            }
        }
    }
    let mut load = Load::new(seed, accounts, hosts);
    let mut simulation = Simulation::new(config(seed, accounts, hosts));
    for phase in Phase::ALL {
        simulation.set_store_down(phase == Phase::StoreDown);
        simulation.partition(phase.partitions(hosts), 0);
        simulation.reset_counts();
        load.run(phase, |at, host, account| {
            simulation.run_until(at);
            simulation.offer(host, account);
        });
        let traffic = simulation.traffic();
        let result = PhaseResult {
            tallies: simulation.tallies().to_vec(),
            messages: traffic.messages,
            writes: traffic.writes,
            ledger_bytes: traffic.ledger_bytes,
        };
        worst_case.exceeded += simulation.violations() + simulation.overcommitted();
        worst_case.exceeded += result.tallies.iter().map(|tally| tally.exceeded).sum::<u64>();
        if phase == Phase::WarmUp {
            continue;
        }
        let (wrongful, served_share) = add_row(report, fleet, hosts, "design", phase, &result);
        match phase {
            Phase::StoreDown => worst_case.wrongful_down = worst_case.wrongful_down.max(wrongful),
            Phase::Partition => {}
            _ => worst_case.wrongful_up = worst_case.wrongful_up.max(wrongful),
        }
        if phase != Phase::Partition {
            worst_case.served_share = worst_case.served_share.min(served_share);
        }
    }
}

fn config(seed: u64, accounts: &[(f64, f64)], hosts: usize) -> Config {
    Config {
        seed,
        regions: (0..hosts).map(|host| load::region(host, hosts)).collect(),
        store_region: 0,
        latency: [Duration::from_micros(1_500), Duration::from_millis(20)],
        accounts: accounts.to_vec(),
        clock_error: 400e-6,
        limit_delay: Duration::from_secs(16),
    }
}

/// Adds a row. Returns the share of wrongful refusals and, of the accounts that keep to their rates,
/// the smallest ratio of admitted to conforming requests.
#[allow(clippy::cast_precision_loss, reason = "counts far below 2^52")]
fn add_row(
    report: &mut Report,
    fleet: &str,
    hosts: usize,
    method: &str,
    phase: Phase,
    result: &PhaseResult,
) -> (f64, f64) {
    let seconds = phase.length().as_secs_f64();
    let per_host = |count: u64| count as f64 / hosts as f64 / seconds;
    let sum = |count: fn(&Tally) -> u64| result.tallies.iter().map(count).sum::<u64>();
    let flooding = result.tallies[load::FLOODING];
    // For the flooding account only the counts are compared, since the hosts need not admit the
    // same of its requests as the global bucket.
    let wrongful = result
        .tallies
        .iter()
        .enumerate()
        .map(|(index, tally)| match index {
            load::FLOODING => tally.conforming.saturating_sub(tally.admitted),
            _ => tally.refused_within_rate,
        })
        .sum::<u64>();
    let wrongful = wrongful as f64 / sum(|tally| tally.conforming).max(1) as f64;
    let served_share = |tally: &Tally| tally.admitted as f64 / tally.conforming.max(1) as f64;
    let others = result.tallies.iter().enumerate().filter(|(i, _)| *i != load::FLOODING);
    let worst = others.map(|(_, tally)| served_share(tally)).fold(f64::INFINITY, f64::min);
    let message_bytes = (ask_bytes() + FRAME_BYTES) as f64;
    let bytes = per_host(result.messages) * message_bytes + per_host(result.ledger_bytes);
    report.add_row([
        ("fleet", fleet.into()),
        ("hosts", hosts.into()),
        ("way", method.into()),
        ("phase", phase.as_str().into()),
        ("due", sum(|tally| tally.conforming).into()),
        ("admitted", sum(|tally| tally.admitted).into()),
        ("exceeded", sum(|tally| tally.exceeded).into()),
        ("wrongful", rounded(wrongful)),
        ("worst", rounded(worst)),
        ("flooding", rounded(served_share(&flooding))),
        ("messages_s_host", rounded(per_host(result.messages))),
        ("bytes_s_host", rounded(bytes)),
        ("writes_s", rounded(result.writes as f64 / seconds)),
    ]);
    (wrongful, worst)
}

fn ask_bytes() -> usize {
    let ask = Ask { account: "advisers-bern".into(), tokens: 12.5 }.encoded_len();
    ask.max(Tokens { tokens: 12.5, left: 3.5 }.encoded_len())
}

fn rounded(value: f64) -> Value {
    ((value * 1e5).round() / 1e5).into()
}
