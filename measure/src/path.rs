//! `measure path`: latency and throughput of the request path, compared with a plain forwarder.
//!
//! Entry hosts, forwarders and targets run in processes of their own; this process generates the
//! load. Both paths lead to the same targets with the same number of processes and threads, and are
//! measured in turn.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use {
    bytes::Bytes,
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    serde_json::Value,
    tokio::runtime,
};

use self::{
    fleet::Fleet,
    load::{LoadResult, Pace, Workload},
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

const ADDED_P99_MS_MAX: f64 = 1.0;
const THROUGHPUT_SHARE_MIN: f64 = 0.7;
const LOOK_UPS_PER_S_MIN: f64 = 20_000.0;

const ROUNDS: usize = 3;
const ROUND_TIME: Duration = Duration::from_millis(2_500);
const ROUND_REQUESTS: u64 = 400_000;
const CONNECTIONS: usize = 64;
const GENERATOR_THREADS: usize = 3;

/// Role of a child process of the measurement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// A plain forwarder, the baseline.
    Forwarder,
    /// Targets.
    Targets,
}

impl Role {
    const ALL: [Role; 2] = [Role::Forwarder, Role::Targets];

    fn name(self) -> &'static str {
        match self {
            Role::Forwarder => "forwarder",
            Role::Targets => "targets",
        }
    }

    /// Returns the role that a hidden subcommand stands for.
    pub fn from_name(name: &str) -> Option<Role> {
        Role::ALL.into_iter().find(|role| role.name() == name)
    }

    /// Returns the hidden subcommands of all roles.
    pub fn commands() -> impl Iterator<Item = Command> {
        let to = || {
            Arg::new("to")
                .long("to")
                .action(ArgAction::Append)
                .value_parser(value_parser!(std::net::SocketAddr))
        };
        let count = || Arg::new("count").long("count").value_parser(value_parser!(usize));
        Role::ALL
            .into_iter()
            .map(move |role| Command::new(role.name()).hide(true).arg(to()).arg(count()))
    }
}

/// Runs as a child process until standard input ends.
pub fn run_child(role: Role, matches: &ArgMatches) -> ExitCode {
    let running = async {
        match role {
            Role::Forwarder => {
                let to = matches.get_many("to").into_iter().flatten().copied().collect();
                forwarder::run(to).await
            }
            Role::Targets => {
                fleet::run_targets(matches.get_one("count").copied().unwrap_or(1)).await
            }
        }
    };
    let runtime = runtime::Builder::new_multi_thread().enable_all().build();
    match runtime.and_then(|runtime| runtime.block_on(running)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("measure {}: {error}", role.name());
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
    let forwarders = fleet.through_forwarders();
    let hosts = fleet.through_hosts();
    print_progress("warming up");
    for workload in [&forwarders, &hosts] {
        load::run(workload, Pace::Closed, ROUND_TIME / 4).await?;
    }
    let full = compare(&forwarders, &hosts, Pace::Closed, "full load").await?;
    let half_per_s = full.hosts.median(LoadResult::per_s) / 2.0;
    let half = compare(&forwarders, &hosts, Pace::PerSecond(half_per_s), "half load").await?;
    for (what, runs) in [("full", &full), ("half", &half)] {
        add_row(&mut report, &format!("bare, {what} load"), &runs.forwarders);
        add_row(&mut report, &format!("toucanhoist, {what} load"), &runs.hosts);
    }
    print_progress("look-ups");
    let single = fleet.spawn_single().await?;
    let before = single.usage()?;
    let look_ups = load::run(&single.look_ups(), Pace::Closed, ROUND_TIME).await?;
    let usage = single.usage()?.since(&before);
    let look_ups_per_core_s = look_ups.succeeded_f64() / usage.cpu_s;
    let runs = Runs { runs: vec![look_ups] };
    add_row(&mut report, "look-ups, one thread", &runs);
    for (name, usage) in fleet.usages()? {
        add_usage(&mut report, &name, &usage);
    }
    let added =
        half.hosts.median(|load| load.ms(0.99)) - half.forwarders.median(|load| load.ms(0.99));
    let share = full.hosts.median(LoadResult::per_s) / full.forwarders.median(LoadResult::per_s);
    report.at_most("added p99 at half load, ms", ADDED_P99_MS_MAX, added);
    report.at_least("throughput, part of the bare forwarder's", THROUGHPUT_SHARE_MIN, share);
    report.at_least(
        "look-ups a second on one core",
        LOOK_UPS_PER_S_MIN,
        runs.median(LoadResult::per_s).max(look_ups_per_core_s),
    );
    let failed = [&full.forwarders, &full.hosts, &half.forwarders, &half.hosts, &runs];
    let failed: u64 = failed.iter().map(|runs| runs.failed()).sum();
    report.at_most("requests that failed", 0.0, load::as_f64(failed));
    report.add_curves([half.forwarders.curve("bare"), half.hosts.curve("toucanhoist")]);
    Ok(report)
}

fn print_progress(what: &str) {
    eprintln!("measure path: {what}");
}

/// Runs of both paths.
struct Pair {
    forwarders: Runs,
    hosts: Runs,
}

/// Runs under the same conditions.
struct Runs {
    runs: Vec<LoadResult>,
}

impl Runs {
    fn median(&self, value: impl Fn(&LoadResult) -> f64) -> f64 {
        let mut values: Vec<f64> = self.runs.iter().map(value).collect();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    }

    fn failed(&self) -> u64 {
        self.runs.iter().map(|load| load.failed).sum()
    }
}

async fn compare(
    forwarders: &Workload,
    hosts: &Workload,
    pace: Pace,
    what: &str,
) -> std::io::Result<Pair> {
    let mut pair = Pair { forwarders: Runs { runs: Vec::new() }, hosts: Runs { runs: Vec::new() } };
    for round in 1..=ROUNDS {
        print_progress(&format!("{what}, round {round} of {ROUNDS}"));
        pair.forwarders.runs.push(load::run(forwarders, pace, ROUND_TIME).await?);
        pair.hosts.runs.push(load::run(hosts, pace, ROUND_TIME).await?);
    }
    Ok(pair)
}

fn add_row(report: &mut Report, what: &str, runs: &Runs) {
    let ms = |quantile| Value::from(rounded(runs.median(|load| load.ms(quantile))));
    report.add_row([
        ("what", what.into()),
        ("per_s", rounded(runs.median(LoadResult::per_s)).into()),
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
