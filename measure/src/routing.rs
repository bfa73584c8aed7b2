/*!
`measure routing`: routing policies with the example fleets, in virtual time.

Every policy gets the same requests. Latency is measured at the entry host, from the arrival of the
request to that of the answer; the latency to the client is the same for all policies. The policies
without shared state choose among the targets of the entry host's region, and requests queue at the
connections of a target without free slots.
*/

use std::time::Duration;

use crate::{
    Outcome,
    report::{Options, Report},
};

mod baseline;
mod design;
mod lookups;
mod setup;
mod tally;

use self::{
    baseline::Policy,
    setup::{END, Fault, Scenario, Setup, WARM_UP},
    tally::Tally,
};

const DESIGN: &str = "design";

const SCENARIOS: [Scenario; 6] = [
    Scenario { name: "50 %", load: 0.5, fault: Fault::None },
    Scenario { name: "80 %", load: 0.8, fault: Fault::None },
    Scenario { name: "95 %", load: 0.95, fault: Fault::None },
    Scenario { name: "130 %", load: 1.3, fault: Fault::None },
    Scenario { name: "region lost", load: 0.5, fault: Fault::Region },
    Scenario { name: "rolling", load: 0.8, fault: Fault::Rolling },
];

/// Runs the measurement.
pub fn run(options: &Options) -> Outcome {
    let setups = [
        Setup::new(
            "agency",
            include_str!("../../examples/agency.json"),
            Duration::from_micros(1_500),
        ),
        Setup::new(
            "tarjetas",
            include_str!("../../examples/tarjetas.json"),
            Duration::from_micros(500),
        ),
    ];
    let mut report = Report::default();
    for setup in &setups {
        for scenario in SCENARIOS {
            measure(&mut report, setup, scenario, options.seed);
        }
    }
    lookups::measure(&mut report, options.seed);
    Ok(report)
}

fn measure(report: &mut Report, setup: &Setup, scenario: Scenario, seed: u64) {
    let requests = setup.requests(scenario, seed);
    let mut baseline_p99_ms = Vec::new();
    for (policy, name) in Policy::ALL {
        let tally = baseline::run(setup, scenario, &requests, policy, seed);
        add_row(report, setup, scenario, name, &tally);
        baseline_p99_ms.push(tally.latency_ms(0.99));
    }
    let (tally, violations) = design::run(setup, scenario, &requests);
    add_row(report, setup, scenario, DESIGN, &tally);
    add_goals(report, setup, scenario, &tally, violations, &baseline_p99_ms);
}

fn add_goals(
    report: &mut Report,
    setup: &Setup,
    scenario: Scenario,
    tally: &Tally,
    violations: u64,
    baseline_p99_ms: &[f64],
) {
    let name = |what: &str| format!("{} {}: {what}", setup.user, scenario.name);
    let (least_reported, clairvoyant) = (baseline_p99_ms[2], baseline_p99_ms[4]);
    if scenario.name == "80 %" {
        let p99_ms = tally.latency_ms(0.99);
        report.at_most(&name("p99 to the clairvoyant queue's"), 1.3, p99_ms / clairvoyant);
        report.at_most(&name("p99 to least reported load's"), 0.5, p99_ms / least_reported);
    }
    report.at_most(&name("requests to full targets"), 0.0, tally.to_full as f64);
    report.at_most(
        &name("refused while a target had room"),
        0.0,
        tally.refused_with_free_slot as f64,
    );
    report.at_most(&name("violated invariants"), 0.0, violations as f64);
    let cap = setup.catalog.fleet().defaults.shift_cap.as_f64();
    report.at_most(&name("largest shift"), cap, tally.shift_max());
}

fn add_row(report: &mut Report, setup: &Setup, scenario: Scenario, policy: &str, tally: &Tally) {
    let round = |value: f64| (value * 10.0).round() / 10.0;
    let percent = |share: f64| round(share * 100.0);
    let count = tally.count().max(1) as f64;
    let (target, region) = tally.fullest(setup, END.since(WARM_UP));
    report.add_row([
        ("user", setup.user.into()),
        ("load", scenario.name.into()),
        ("policy", policy.into()),
        ("requests", tally.count().into()),
        ("p50_ms", round(tally.latency_ms(0.5)).into()),
        ("p99_ms", round(tally.latency_ms(0.99)).into()),
        ("worst_account_p99_ms", round(tally.worst_account_ms()).into()),
        ("refused_%", percent(tally.refused as f64 / count).into()),
        ("worst_account_refused_%", percent(tally.worst_account_refused()).into()),
        ("wrongly", tally.refused_with_free_slot.into()),
        ("failed_%", percent(tally.failed as f64 / count).into()),
        ("to_full_%", percent(tally.to_full as f64 / count).into()),
        ("fullest_target_%", percent(target).into()),
        ("fullest_region_%", percent(region).into()),
        ("shift_%", percent(tally.shift_max()).into()),
    ]);
}
