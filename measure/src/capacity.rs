//! `measure capacity`: resource use at several sizes, from which docs/CAPACITY.md is calculated.

use serde_json::Value;

use crate::{
    Outcome,
    report::{Options, Report},
};

mod documents;
mod hosts;
mod members;
mod usage;

const CORE_PERCENT_MAX: f64 = 4.8;
const MEMORY_MB_MAX: f64 = 128.0;
const BYTES_PER_S_MAX: f64 = 3_000.0;
const LOOK_UPS_PER_S: f64 = 1_100_000.0;
const HOSTS: f64 = 2_800.0;

/// Members of the fleet, and of the data centre whose failure detectors run.
const MEMBERS: [(usize, usize); 4] = [(89, 4), (700, 12), (1_400, 16), (2_800, 31)];
const BLOCKS: [usize; 4] = [1_000, 10_000, 100_000, 570_000];
const ACCOUNTS: [usize; 3] = [10, 100, 1_000];
const LOOPBACK_HOSTS: [usize; 3] = [6, 12, 24];
const SITES: [usize; 3] = [75, 250, 750];

/// Runs the measurement.
pub fn run(options: &Options) -> Outcome {
    let mut report = Report::default();
    for (members, local) in MEMBERS {
        let result = members::run(members, local, options.seed);
        add_members_row(&mut report, members, &result);
        if members == MEMBERS[MEMBERS.len() - 1].0 {
            let delegate = result.delegate;
            report.at_most(
                "membership, % of a core of a delegate",
                CORE_PERCENT_MAX,
                delegate.core_percent,
            );
            report.at_most(
                "membership, bytes a second of a delegate",
                BYTES_PER_S_MAX,
                delegate.bytes_per_s,
            );
            report.at_most("membership, MB", MEMORY_MB_MAX, result.memory_mb);
        }
    }
    for accounts in ACCOUNTS {
        add_document_row(&mut report, "accounts", accounts, &documents::accounts(accounts)?);
    }
    for sites in SITES {
        add_document_row(&mut report, "sites", sites, &documents::sites(sites)?);
    }
    for blocks in BLOCKS {
        let result = documents::blocks(blocks, options.seed)?;
        add_document_row(&mut report, "blocks", blocks, &result);
        if blocks == BLOCKS[BLOCKS.len() - 1] {
            report.at_most(
                "configuration, % of a core at 6,800 changes a day",
                CORE_PERCENT_MAX,
                result.core_percent(),
            );
            report.at_most(
                "configuration, MB while a change comes into force",
                MEMORY_MB_MAX,
                result.memory_mb,
            );
            let look_ups = LOOK_UPS_PER_S / HOSTS * result.look_up_ns / 1e9 * 100.0;
            report.add_row([
                ("what", "look-ups".into()),
                ("size", "393 a second a host".into()),
                ("core_percent", look_ups.into()),
                ("look_up_ns", result.look_up_ns.into()),
            ]);
        }
    }
    for count in LOOPBACK_HOSTS {
        measure_hosts(&mut report, count)?;
    }
    Ok(report)
}

fn measure_hosts(report: &mut Report, count: usize) -> std::io::Result<()> {
    let result = hosts::measure_idle(count)?;
    report.add_row([
        ("what", "hosts over loopback, all control".into()),
        ("size", count.into()),
        ("core_percent", result.core_percent.into()),
        ("bytes_per_s", result.bytes_per_s.into()),
        ("memory_mb", result.memory_mb.into()),
    ]);
    let goal_name = |what: &str| format!("{count} hosts over loopback, {what} a host");
    report.at_most(&goal_name("% of a core"), CORE_PERCENT_MAX, result.core_percent);
    report.at_most(&goal_name("bytes a second"), BYTES_PER_S_MAX, result.bytes_per_s);
    report.at_most(&goal_name("MB"), MEMORY_MB_MAX, result.memory_mb);
    Ok(())
}

fn add_members_row(report: &mut Report, members: usize, result: &members::Cost) {
    for (role, load) in [("delegate", result.delegate), ("other", result.other)] {
        report.add_row([
            ("what", Value::from(format!("members, {role}"))),
            ("size", members.into()),
            ("core_percent", load.core_percent.into()),
            ("messages_per_s", load.messages_per_s.into()),
            ("bytes_per_s", load.bytes_per_s.into()),
            ("memory_mb", result.memory_mb.into()),
            ("bytes_a_change", result.bytes_a_change.into()),
        ]);
    }
}

fn add_document_row(report: &mut Report, what: &str, size: usize, result: &documents::Cost) {
    report.add_row([
        ("what", what.into()),
        ("size", size.into()),
        ("core_percent", result.core_percent().into()),
        ("memory_mb", result.memory_mb.into()),
        ("json_bytes", result.json_bytes.into()),
        ("parse_ms", result.parse_ms.into()),
        ("apply_ms", result.apply_ms.into()),
        ("resolve_ms", result.resolve_ms.into()),
        ("delta_bytes", result.delta_bytes.into()),
        ("look_up_ns", result.look_up_ns.into()),
    ]);
}
