//! `measure submissions`: submissions at the store's limits, in outages and during restarts.
//!
//! Limits and outages of the store are simulated with the core in virtual time; restarts use
//! processes.

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
/// Light load: submissions for each write that the store can do.
const LIGHT_PER_WRITE: f64 = 0.3;
/// Heavy load: submissions for each write that the store can do.
const HEAVY_PER_WRITE: f64 = 10.0;
const DURATION: Duration = Duration::from_secs(20);
const OUTAGE: Outage =
    Outage { from: Duration::from_secs(30), until: Duration::from_secs(330), refusing_share: 0.5 };
const OUTAGE_RUN_DURATION: Duration = Duration::from_secs(360);
const OUTAGE_SUBMISSIONS_PER_S: f64 = 20.0;
/// While the store is considered down, a refusal must not keep its caller waiting.
const REFUSED_AFTER_MS_MAX: f64 = 1_000.0;

/// Runs the measurement.
pub fn run(options: &Options) -> Outcome {
    let mut report = Report::default();
    let mut total = Outcomes::default();
    for writes_per_s in WRITES_PER_S {
        for (name, batcher) in
            [("group commit", group_commit()), ("one write each", one_write_each())]
        {
            measure_limits(&mut report, &mut total, options.seed, name, batcher, writes_per_s);
        }
    }
    for (name, batcher) in [("group commit", group_commit()), ("one write each", one_write_each())]
    {
        let outcomes = measure_outage(&mut report, options.seed, name, batcher);
        if name == "group commit" {
            report.at_most(
                "median ms until a refusal in the outage",
                REFUSED_AFTER_MS_MAX,
                outcomes.refused_after_ms(0.5),
            );
            let unsettled = outcomes.unsettled as f64;
            report.at_most("submissions unsettled 2 min after the outage", 0.0, unsettled);
        }
        add_totals(&mut total, &outcomes);
    }
    let restarts = restarts::run(options.seed)?;
    report.add_row([
        ("what", "rolling restarts, real processes".into()),
        ("restarts", restarts.restarts.into()),
        ("submissions", restarts.submissions.into()),
        ("answered", restarts.answered.into()),
        ("refused_not_run", restarts.refused.into()),
        ("open", restarts.open.into()),
        ("cut", restarts.interrupted.into()),
        ("doubled", restarts.doubled.into()),
        ("lost", restarts.lost.into()),
    ]);
    report.at_least("rolling restarts", 50.0, f64::from(restarts.restarts));
    report.at_most("requests cut in the restarts", 0.0, restarts.interrupted as f64);
    report.at_most("submissions doubled", 0.0, (total.doubled + restarts.doubled) as f64);
    report.at_most("submissions lost", 0.0, (total.lost + restarts.lost) as f64);
    Ok(report)
}

fn group_commit() -> BatcherConfig {
    BatcherConfig::default()
}

/// One write for each submission, with as many submissions in flight as group commit allows.
fn one_write_each() -> BatcherConfig {
    let group_commit = group_commit();
    BatcherConfig {
        batch_max: 1,
        linger: Duration::ZERO,
        in_flight_max: group_commit.in_flight_max * group_commit.batch_max,
        ..group_commit
    }
}

fn measure_limits(
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
        duration: DURATION,
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
        ("heavy_answered_per_s", rounded(heavy.answered as f64 / DURATION.as_secs_f64())),
        ("heavy_added_p99_ms", rounded(heavy.added_ms(0.99))),
        ("heavy_refused", heavy.refused_first_send.into()),
    ]);
    add_totals(total, &light);
    add_totals(total, &heavy);
}

fn measure_outage(report: &mut Report, seed: u64, name: &str, batcher: BatcherConfig) -> Outcomes {
    let outcomes = Fleet::run(Config {
        seed,
        hosts: HOSTS,
        batcher,
        writes_per_s: 200,
        submissions_per_s: OUTAGE_SUBMISSIONS_PER_S,
        duration: OUTAGE_RUN_DURATION,
        outage: Some(OUTAGE),
        resends: true,
    });
    report.add_row([
        ("what", format!("5 min outage, {name}").into()),
        ("submissions", outcomes.submissions.into()),
        ("answered_at_first", outcomes.answered_first_send.into()),
        ("refused_at_first", outcomes.refused_first_send.into()),
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

fn add_totals(total: &mut Outcomes, outcomes: &Outcomes) {
    total.doubled += outcomes.doubled;
    total.lost += outcomes.lost;
}

fn rounded(value: f64) -> serde_json::Value {
    ((value * 100.0).round() / 100.0).into()
}
