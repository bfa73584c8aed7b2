//! `measure path`: the whole path against a bare forwarder.
//!
//! Entry hosts, forwarders and targets are processes of their own; the load comes from this one.
//! Both ways lead to the same targets, with as many processes and threads, and take turns.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use {
    bytes::Bytes,
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    serde_json::Value,
    tokio::runtime,
};

use self::{
    fleet::Fleet,
    load::{Load, Pace, Way},
    process::Usage,
};
use crate::{
    Outcome,
    report::{Options, Report},
};

mod fleet;
mod forwarder;
mod load;
mod process;

const ADDED_P99_MS_MOST: f64 = 1.0;
const THROUGHPUT_SHARE_LEAST: f64 = 0.7;
const LOOK_UPS_PER_S_LEAST: f64 = 20_000.0;

const ROUNDS: usize = 3;
const ROUND: Duration = Duration::from_millis(2_500);
const ROUND_REQUESTS: u64 = 400_000;
const CONNECTIONS: usize = 64;
const GENERATOR_THREADS: usize = 3;

/// A part of the measurement that runs as a process of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// A bare forwarder.
    Forwarder,
    /// Targets.
    Targets,
}

impl Part {
    const ALL: [Part; 2] = [Part::Forwarder, Part::Targets];

    fn name(self) -> &'static str {
        match self {
            Part::Forwarder => "forwarder",
            Part::Targets => "targets",
        }
    }

    /// Returns the part that a subcommand runs.
    pub fn from_name(name: &str) -> Option<Part> {
        Part::ALL.into_iter().find(|part| part.name() == name)
    }

    /// Returns the subcommands of all parts, which are not for users.
    pub fn commands() -> impl Iterator<Item = Command> {
        let to = || {
            Arg::new("to")
                .long("to")
                .action(ArgAction::Append)
                .value_parser(value_parser!(std::net::SocketAddr))
        };
        let count = || Arg::new("count").long("count").value_parser(value_parser!(usize));
        Part::ALL
            .into_iter()
            .map(move |part| Command::new(part.name()).hide(true).arg(to()).arg(count()))
    }
}

/// Runs a part until its standard input ends.
pub fn run_part(part: Part, matches: &ArgMatches) -> ExitCode {
    let running = async {
        match part {
            Part::Forwarder => {
                let to = matches.get_many("to").into_iter().flatten().copied().collect();
                forwarder::run(to).await
            }
            Part::Targets => {
                fleet::run_targets(matches.get_one("count").copied().unwrap_or(1)).await
            }
        }
    };
    let runtime = runtime::Builder::new_multi_thread().enable_all().build();
    match runtime.and_then(|runtime| runtime.block_on(running)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("measure {}: {error}", part.name());
            ExitCode::FAILURE
        }
    }
}

/// Runs the measurement.
pub fn run(options: &Options) -> Outcome {
    let binary = process::binary()?;
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(GENERATOR_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(measure(options, binary))
}

async fn measure(options: &Options, binary: PathBuf) -> Outcome {
    let mut report = Report::default();
    let fleet = Fleet::spawn(binary, options.seed).await?;
    let bare = fleet.bare();
    let whole = fleet.whole();
    progress("warming up");
    for way in [&bare, &whole] {
        load::run(way, Pace::Closed, ROUND / 4).await?;
    }
    let full = compare(&bare, &whole, Pace::Closed, "full load").await?;
    let half_per_s = full.whole.median(Load::per_s) / 2.0;
    let half = compare(&bare, &whole, Pace::PerSecond(half_per_s), "half load").await?;
    for (what, runs) in [("full", &full), ("half", &half)] {
        add_row(&mut report, &format!("bare, {what} load"), &runs.bare);
        add_row(&mut report, &format!("toucanhoist, {what} load"), &runs.whole);
    }
    progress("look-ups");
    let one = fleet.spawn_single().await?;
    let before = one.usage()?;
    let look_ups = load::run(&one.look_ups(), Pace::Closed, ROUND).await?;
    let used = one.usage()?.since(&before);
    let look_ups_per_core_s = look_ups.succeeded_f64() / used.cpu_s;
    let runs = Runs { runs: vec![look_ups] };
    add_row(&mut report, "look-ups, one thread", &runs);
    for (name, usage) in fleet.usages()? {
        add_usage(&mut report, &name, &usage);
    }
    let added = half.whole.median(|load| load.ms(0.99)) - half.bare.median(|load| load.ms(0.99));
    let share = full.whole.median(Load::per_s) / full.bare.median(Load::per_s);
    report.at_most("added p99 at half load, ms", ADDED_P99_MS_MOST, added);
    report.at_least("throughput, part of the bare forwarder's", THROUGHPUT_SHARE_LEAST, share);
    report.at_least(
        "look-ups a second on one core",
        LOOK_UPS_PER_S_LEAST,
        runs.median(Load::per_s).max(look_ups_per_core_s),
    );
    let failed = [&full.bare, &full.whole, &half.bare, &half.whole, &runs];
    let failed: u64 = failed.iter().map(|runs| runs.failed()).sum();
    report.at_most("requests that failed", 0.0, load::as_f64(failed));
    report.add_curves([half.bare.plot("bare"), half.whole.plot("toucanhoist")]);
    Ok(report)
}

fn progress(what: &str) {
    eprintln!("measure path: {what}");
}

/// Runs of both ways.
struct Pair {
    bare: Runs,
    whole: Runs,
}

/// Runs under the same conditions.
struct Runs {
    runs: Vec<Load>,
}

impl Runs {
    fn median(&self, value: impl Fn(&Load) -> f64) -> f64 {
        let mut values: Vec<f64> = self.runs.iter().map(value).collect();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    }

    fn failed(&self) -> u64 {
        self.runs.iter().map(|load| load.failed).sum()
    }
}

async fn compare(bare: &Way, whole: &Way, pace: Pace, what: &str) -> std::io::Result<Pair> {
    let mut pair = Pair { bare: Runs { runs: Vec::new() }, whole: Runs { runs: Vec::new() } };
    for round in 1..=ROUNDS {
        progress(&format!("{what}, round {round} of {ROUNDS}"));
        pair.bare.runs.push(load::run(bare, pace, ROUND).await?);
        pair.whole.runs.push(load::run(whole, pace, ROUND).await?);
    }
    Ok(pair)
}

fn add_row(report: &mut Report, what: &str, runs: &Runs) {
    let ms = |quantile| Value::from(rounded(runs.median(|load| load.ms(quantile))));
    report.add_row([
        ("what", what.into()),
        ("per_s", rounded(runs.median(Load::per_s)).into()),
        ("p50_ms", ms(0.5)),
        ("p99_ms", ms(0.99)),
        ("p999_ms", ms(0.999)),
        ("failed", runs.failed().into()),
    ]);
}

fn add_usage(report: &mut Report, what: &str, usage: &Usage) {
    report.add_row([
        ("what", what.into()),
        ("cpu_s", rounded(usage.cpu_s).into()),
        ("memory_mb", rounded(usage.memory_mb).into()),
    ]);
}

fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
