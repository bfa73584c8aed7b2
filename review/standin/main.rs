//! Stand-ins for the platform's store, instances and clients, and the scenarios of the scripted cases.
//!
//! `standin CASE FOLDER PROGRAM` starts entry hosts as processes of PROGRAM, plays the case, writes `record.txt`
//! into FOLDER, ends all processes, and exits with 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run. Everything listens on loopback addresses with ports that the system chooses.

mod cases;
mod client;
mod host;
mod http;
mod instance;
mod record;
mod store;

use std::{env, path::PathBuf, process};

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, folder, program] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER PROGRAM");
        process::exit(2);
    };
    let with_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = cases::run(case, &PathBuf::from(folder), &PathBuf::from(program), with_trouble);
    match outcome {
        Ok(0) => println!("the rule held"),
        Ok(breaks) => {
            println!("the rule was broken {breaks} times");
            process::exit(1);
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            process::exit(2);
        }
    }
}
