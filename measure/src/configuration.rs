//! `measure configuration`: time until a configuration change is in force on all hosts.

use crate::{
    Outcome,
    report::{Options, Report},
};

pub(crate) mod hosts;
mod model;

const IN_FORCE_8_S_MAX: f64 = 3.0;
const IN_FORCE_2800_S_MAX: f64 = 18.0;
const CONTROL_BYTES_PER_S_MAX: f64 = 3_000.0;
const PLATFORM_READS_PER_S_MAX: f64 = 2_000.0;

/// Data centres and hosts of each run of the simulation.
const SIZES: [(usize, usize); 5] = [(6, 8), (30, 100), (60, 700), (89, 1_400), (89, 2_800)];

/// Runs the measurement.
pub fn run(options: &Options) -> Outcome {
    let mut report = Report::default();
    for (data_centres, hosts) in SIZES {
        for fault in model::Fault::ALL {
            let result = model::simulate_tree(data_centres, hosts, fault, options.seed);
            add_row(&mut report, "tree", hosts, fault.as_str(), &result);
            match hosts {
                8 => {
                    report.at_most(
                        &goal_name("s on the last of 8", fault),
                        IN_FORCE_8_S_MAX,
                        result.last_s,
                    );
                }
                2_800 => {
                    let name = goal_name("s on the last of 2,800", fault);
                    report.at_most(&name, IN_FORCE_2800_S_MAX, result.last_s);
                    let name = goal_name("table reads a second at 2,800", fault);
                    report.at_most(&name, PLATFORM_READS_PER_S_MAX, result.reads_per_s);
                    let name = goal_name("bytes a second a host at 2,800", fault);
                    report.at_most(&name, CONTROL_BYTES_PER_S_MAX, result.bytes_per_s);
                }
                _ => {}
            }
        }
        let result = model::simulate_polling(hosts, options.seed);
        add_row(&mut report, "every host polls", hosts, "none", &result);
    }
    let result = hosts::measure_changes(8, 6, options.seed)?;
    add_row(&mut report, "8 hosts over loopback", 8, "none", &result);
    report.at_most("s on the last of 8 hosts over loopback", IN_FORCE_8_S_MAX, result.last_s);
    Ok(report)
}

fn goal_name(name: &str, fault: model::Fault) -> String {
    format!("{name}, fault: {}", fault.as_str())
}

/// Propagation of changes in a run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Propagation {
    /// Median time until a change is in force on 99 % of the hosts.
    pub p99_s: f64,
    /// Longest time until a change is in force on the last host.
    pub last_s: f64,
    /// Bytes that a host sends and receives for configuration each second, at the planned rate of
    /// changes.
    pub bytes_per_s: f64,
    /// Reads of the platform's table a second, by all hosts.
    pub reads_per_s: f64,
}

fn add_row(report: &mut Report, method: &str, hosts: usize, fault: &str, result: &Propagation) {
    report.add_row([
        ("way", method.into()),
        ("hosts", hosts.into()),
        ("fault", fault.into()),
        ("99_percent_s", result.p99_s.into()),
        ("last_s", result.last_s.into()),
        ("bytes_per_s_a_host", result.bytes_per_s.into()),
        ("table_reads_per_s", result.reads_per_s.into()),
    ]);
}
