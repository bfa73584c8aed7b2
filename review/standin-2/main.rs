//! Stand-ins for the platform, instances and clients, and the cases that are played with them.
//!
//! `standin CASE FOLDER` plays a case and writes `record.txt` into the folder. It exits with 1 if the rule
//! was broken, with 0 if it held and with 2 if the case could not be played. `TROUBLE=0` leaves out the
//! disruption.

mod cases;
mod client;
mod host;
mod http;
mod instance;
mod record;
mod store;

use std::{
    env,
    path::PathBuf,
    process::{self, ExitCode},
    thread,
    time::Duration,
};

use crate::{cases::Stage, host::Place, record::Record};

/// Longest time for a case; the limit of a script is 120 s.
const TIME_MAX: Duration = Duration::from_secs(100);

/// Zones of cordillera-hoist with their regions.
const CORDILLERA: [(&str, &str); 6] = [
    ("stgo-a", "santiago"),
    ("stgo-b", "santiago"),
    ("valpo-a", "valpo"),
    ("valpo-b", "valpo"),
    ("conce-a", "concepcion"),
    ("conce-b", "concepcion"),
];

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let record = Record::create(&folder);
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(format!("case {case}, {} the disruption", if has_trouble { "with" } else { "without" }));
    let files = env::temp_dir().join(format!("review-{case}-{}", process::id()));
    if let Err(error) = std::fs::create_dir_all(&files) {
        record.line(format!("could not run: {error}"));
        return ExitCode::from(2);
    }
    let place = match case.as_str() {
        "quota" => Place { zone: "stgo-a", regions: &CORDILLERA },
        _ => Place { zone: "bern-a", regions: &[("bern-a", "mittelland")] },
    };
    let outcome = Stage::start(&files, place, &record).and_then(|stage| {
        let (host, late) = (stage.host.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(TIME_MAX);
            host.kill();
            late.line("could not run: the case took too long");
            process::exit(2);
        });
        let outcome = cases::play(case, &stage, has_trouble);
        stage.host.kill();
        stage.host.record_panics();
        outcome
    });
    let _ = std::fs::remove_dir_all(&files);
    match outcome {
        Ok(None) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Some(violation)) => {
            record.line(format!("RULE BROKEN: {violation}"));
            ExitCode::from(1)
        }
        Err(reason) => {
            record.line(format!("could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
