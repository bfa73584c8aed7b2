//! `measure submissions`.
//!
//! Store limits and outages run on the core in virtual time; restarts run on real processes.

use std::time::Duration;

use toucanhoist_core::submission::BatcherConfig;

use crate::{
    Outcome,
    report::{Options, Report},
};

use self::fleet::{Config, Fleet, Outage, Outcomes};

mod fleet;
mod restarts;

const HOSTS: usize = 8;
const WRITES_PER_S: [u32; 4] = [100, 200, 400, 600];
const LIGHT_PER_WRITE: f64 = 0.3;
const HEAVY_PER_WRITE: f64 = 10.0;
const LASTS: Duration = Duration::from_secs(20);
const OUTAGE: Outage =
    Outage { from: Duration::from_secs(30), until: Duration::from_secs(330), refuses: 0.5 };
const OUTAGE_LASTS: Duration = Duration::from_secs(360);
const OUTAGE_SUBMISSIONS_PER_S: f64 = 20.0;
/// A refusal while the store is held to be down must not keep its caller waiting.
const REFUSED_AFTER_MS_MOST: f64 = 1_000.0;

/// Runs the measurement.
pub fn run(options: &Options) -> Outcome {
    let mut report = Report::default();
    let mut total = Outcomes::default();
    for writes_per_s in WRITES_PER_S {
        for (name, batcher) in [("group commit", group()), ("one write each", single())] {
            limits(&mut report, &mut total, options.seed, name, batcher, writes_per_s);
        }
    }
    for (name, batcher) in [("group commit", group()), ("one write each", single())] {
        let outcomes = outage(&mut report, options.seed, name, batcher);
        if name == "group commit" {
            report.at_most(
                "median ms until a refusal in the outage",
                REFUSED_AFTER_MS_MOST,
                outcomes.refused_after_ms(0.5),
            );
            let unsettled = outcomes.unsettled as f64;
            report.at_most("submissions unsettled 2 min after the outage", 0.0, unsettled);
        }
        add(&mut total, &outcomes);
    }
    let restarts = restarts::run(options.seed)?;
    report.add_row([
        ("what", "rolling restarts, real processes".into()),
        ("restarts", restarts.restarts.into()),
        ("submissions", restarts.submissions.into()),
        ("answered", restarts.answered.into()),
        ("refused_not_run", restarts.refused.into()),
        ("open", restarts.open.into()),
        ("cut", restarts.cut.into()),
        ("doubled", restarts.doubled.into()),
        ("lost", restarts.lost.into()),
    ]);
    report.at_least("rolling restarts", 50.0, f64::from(restarts.restarts));
    report.at_most("requests cut in the restarts", 0.0, restarts.cut as f64);
    report.at_most("submissions doubled", 0.0, (total.doubled + restarts.doubled) as f64);
    report.at_most("submissions lost", 0.0, (total.lost + restarts.lost) as f64);
    Ok(report)
}

fn group() -> BatcherConfig {
    BatcherConfig::default()
}

/// One write a submission, with as many under way as a group would hold.
fn single() -> BatcherConfig {
    let group = group();
    BatcherConfig {
        batch_max: 1,
        linger: Duration::ZERO,
        in_flight_max: group.in_flight_max * group.batch_max,
        ..group
    }
}

fn limits(
    report: &mut Report,
    total: &mut Outcomes,
    seed: u64,
    name: &str,
    batcher: BatcherConfig,
    writes_per_s: u32,
) {
    let config = Config {
        seed,
        hosts: HOSTS,
        batcher,
        writes_per_s,
        submissions_per_s: f64::from(writes_per_s) * LIGHT_PER_WRITE,
        lasts: LASTS,
        outage: None,
        resends: false,
    };
    let light = Fleet::run(config);
    let heavy = Fleet::run(Config {
        submissions_per_s: f64::from(writes_per_s) * HEAVY_PER_WRITE,
        ..config
    });
    report.add_row([
        ("what", name.into()),
        ("store_writes_per_s", writes_per_s.into()),
        ("light_per_s", config.submissions_per_s.into()),
        ("light_added_p50_ms", rounded(light.added_ms(0.5))),
        ("light_added_p99_ms", rounded(light.added_ms(0.99))),
        ("heavy_offered_per_s", (f64::from(writes_per_s) * HEAVY_PER_WRITE).into()),
        ("heavy_answered_per_s", rounded(heavy.answered as f64 / LASTS.as_secs_f64())),
        ("heavy_added_p99_ms", rounded(heavy.added_ms(0.99))),
        ("heavy_refused", heavy.refused_at_once.into()),
    ]);
    add(total, &light);
    add(total, &heavy);
}

fn outage(report: &mut Report, seed: u64, name: &str, batcher: BatcherConfig) -> Outcomes {
    let outcomes = Fleet::run(Config {
        seed,
        hosts: HOSTS,
        batcher,
        writes_per_s: 200,
        submissions_per_s: OUTAGE_SUBMISSIONS_PER_S,
        lasts: OUTAGE_LASTS,
        outage: Some(OUTAGE),
        resends: true,
    });
    report.add_row([
        ("what", format!("5 min outage, {name}").into()),
        ("submissions", outcomes.submissions.into()),
        ("answered_at_first", outcomes.answered_at_once.into()),
        ("refused_at_first", outcomes.refused_at_once.into()),
        ("answered", outcomes.answered.into()),
        ("open", outcomes.open.into()),
        ("refused_after_p50_ms", rounded(outcomes.refused_after_ms(0.5))),
        ("refused_after_p99_ms", rounded(outcomes.refused_after_ms(0.99))),
        ("doubled", outcomes.doubled.into()),
        ("lost", outcomes.lost.into()),
        ("unsettled", outcomes.unsettled.into()),
    ]);
    outcomes
}

fn add(total: &mut Outcomes, outcomes: &Outcomes) {
    total.doubled += outcomes.doubled;
    total.lost += outcomes.lost;
}

fn rounded(value: f64) -> serde_json::Value {
    ((value * 100.0).round() / 100.0).into()
}
