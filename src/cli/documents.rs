//! Commands on documents, which need no running host.

use std::{fs, io, path::Path};

use {
    clap::ArgMatches,
    clap_complete::Shell,
    serde_json::{Value, json},
    toucanhoist_core::{Error, ErrorKind, fleet::Fleet},
};

use super::output::Failure;
use crate::settings::Settings;

/// Kind of a document.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Fleet,
    Settings,
}

pub(super) fn check(matches: &ArgMatches) -> Result<(), Failure> {
    let file = argument(matches, "file");
    let text = read(file)?;
    let (kind, result) = match kind(&text) {
        Kind::Settings => ("settings", Settings::from_json(&text).map(drop)),
        Kind::Fleet => ("fleet", Fleet::from_json(&text).map(drop)),
    };
    let as_json = matches.get_flag("json");
    match result {
        Ok(()) if as_json => {
            println!("{}", json!({"file": file, "kind": kind, "faults": []}));
            Ok(())
        }
        Ok(()) => {
            println!("{file}: {kind}, no faults");
            Ok(())
        }
        Err(error) => {
            if as_json {
                println!("{}", json!({"file": file, "kind": kind, "faults": faults(&error)}));
            }
            Err(Failure::Faults(located(file, &error)))
        }
    }
}

fn faults(error: &Error) -> Value {
    match error.kind() {
        ErrorKind::Document { faults } => serde_json::to_value(faults).unwrap_or_default(),
        _ => json!([{"pointer": "", "problem": error.to_string()}]),
    }
}

/// Prefixes each fault with the name of the file.
pub(super) fn located(file: &str, error: &Error) -> Box<str> {
    let lines: Vec<String> = error.to_string().lines().map(|l| format!("{file}: {l}")).collect();
    lines.join("\n").into()
}

/// Returns the kind of a document. Only settings have the field `listen`.
fn kind(text: &str) -> Kind {
    match serde_json::from_str::<Value>(text) {
        Ok(Value::Object(fields)) if fields.contains_key("listen") => Kind::Settings,
        _ => Kind::Fleet,
    }
}

pub(super) fn read(file: &str) -> Result<String, Failure> {
    fs::read_to_string(Path::new(file)).map_err(|e| Failure::failed(format!("{file}: {e}")))
}

pub(super) fn argument<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

pub(super) fn schema(matches: &ArgMatches) -> Result<(), Failure> {
    let schema = match argument(matches, "kind") {
        "settings" => schemars::schema_for!(Settings),
        _ => schemars::schema_for!(Fleet),
    };
    println!("{}", serde_json::to_string_pretty(&schema).map_err(Failure::failed)?);
    Ok(())
}

pub(super) fn completions(matches: &ArgMatches) -> Result<(), Failure> {
    if let Some(shell) = matches.get_one::<Shell>("shell") {
        clap_complete::generate(*shell, &mut super::command(), "toucanhoist", &mut io::stdout());
    }
    Ok(())
}
