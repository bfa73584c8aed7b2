//! Load and experiments for toucanhoist.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

mod accounts;
mod capacity;
mod configuration;
mod page;
mod path;
mod report;
mod routing;
mod submissions;

use crate::report::{Options, Report};

type Outcome = Result<Report, Box<dyn std::error::Error>>;

/// A measurement and its subcommand.
struct Experiment {
    name: &'static str,
    about: &'static str,
    run: fn(&Options) -> Outcome,
}

const EXPERIMENTS: [Experiment; 6] = [
    Experiment {
        name: "path",
        about: "Added latency and throughput of the request path",
        run: path::run,
    },
    Experiment {
        name: "routing",
        about: "Routing policies with the example fleets",
        run: routing::run,
    },
    Experiment {
        name: "accounts",
        about: "Rates and bursts of client accounts over the fleet",
        run: accounts::run,
    },
    Experiment {
        name: "submissions",
        about: "Submissions at the store's limits, in outages and during restarts",
        run: submissions::run,
    },
    Experiment {
        name: "configuration",
        about: "Time until a configuration change is in force on all hosts",
        run: configuration::run,
    },
    Experiment {
        name: "capacity",
        about: "Resource use at several sizes, from which docs/CAPACITY.md is calculated",
        run: capacity::run,
    },
];

fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some((name, matches)) = matches.subcommand() else { return ExitCode::from(2) };
    if let Some(role) = path::Role::from_name(name) {
        return path::run_child(role, matches);
    }
    let options = options(matches);
    let Some(experiment) = EXPERIMENTS.iter().find(|experiment| experiment.name == name) else {
        return ExitCode::from(2);
    };
    match (experiment.run)(&options)
        .and_then(|report| report.publish(name, &options).map_err(Into::into))
    {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("measure {name}: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let subcommands = EXPERIMENTS.iter().map(|experiment| {
        Command::new(experiment.name)
            .about(experiment.about)
            .arg(
                Arg::new("seed")
                    .long("seed")
                    .value_name("N")
                    .default_value("1")
                    .value_parser(value_parser!(u64))
                    .help("Seed of the random numbers"),
            )
            .arg(
                Arg::new("json")
                    .long("json")
                    .action(ArgAction::SetTrue)
                    .help("Prints the report as JSON"),
            )
            .arg(
                Arg::new("report")
                    .long("report")
                    .value_name("DIR")
                    .value_parser(value_parser!(std::path::PathBuf))
                    .help("Also writes the report and a page with plots to DIR"),
            )
    });
    Command::new("measure")
        .about("Load and experiments for toucanhoist; exits 1 when a goal is missed")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(subcommands)
        .subcommands(path::Role::commands())
}

fn options(matches: &ArgMatches) -> Options {
    Options {
        seed: matches.get_one("seed").copied().unwrap_or(1),
        json: matches.get_flag("json"),
        report: matches.get_one("report").cloned(),
    }
}
