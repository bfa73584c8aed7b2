//! Commands that call a running host.

use std::{
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

use {
    clap::ArgMatches,
    http::Method,
    serde_json::{Value, json},
    toucanhoist_core::{
        fleet::{Exception, Fleet, Scope},
        key::Digest,
    },
};

use super::{
    client::Client,
    documents::{argument, located, read},
    output::Failure,
    text,
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const WAIT_INTERVAL: Duration = Duration::from_millis(200);

pub(super) fn run(name: &str, matches: &ArgMatches) -> Result<(), Failure> {
    match (name, matches.subcommand()) {
        ("config", Some(("get", matches))) => show(matches, "/configuration", pretty),
        ("config", Some(("history", matches))) => {
            show(matches, "/configuration/history", text::history)
        }
        ("config", Some(("diff", matches))) => diff(matches),
        ("config", Some(("set", matches))) => set(matches),
        ("key", Some(("list", matches))) => show(matches, "/keys", text::keys),
        ("key", Some(("grant", matches))) => grant(matches),
        ("key", Some(("withdraw", matches))) => withdraw(matches),
        ("status", _) => status(matches),
        ("explain", _) => {
            show(matches, &format!("/explain/{}", argument(matches, "request")), text::explain)
        }
        ("drain", _) => drain(matches),
        _ => Err(Failure::failed("no such command")),
    }
}

pub(super) fn client(matches: &ArgMatches) -> Client {
    let ca = matches.get_one::<PathBuf>("ca").map(PathBuf::as_path);
    Client::new(argument(matches, "operator"), argument(matches, "token"), ca)
}

/// Prints an answer as JSON or in the form that `text` gives it.
pub(super) fn print(matches: &ArgMatches, value: &Value, text: fn(&Value) -> String) {
    if matches.get_flag("json") {
        println!("{value}");
    } else {
        println!("{}", text(value));
    }
}

pub(super) fn pretty(value: &Value) -> String {
    format!("{value:#}")
}

fn show(matches: &ArgMatches, path: &str, text: fn(&Value) -> String) -> Result<(), Failure> {
    print(matches, &client(matches).call(Method::GET, path, None)?, text);
    Ok(())
}

/// Shows the status of a host and the revision that each host has in force.
fn status(matches: &ArgMatches) -> Result<(), Failure> {
    let client = client(matches);
    let mut status = client.call(Method::GET, "/status", None)?;
    status["revisions"] = client.call(Method::GET, "/configuration/hosts", None)?;
    print(matches, &status, text::status);
    Ok(())
}

fn read_fleet(matches: &ArgMatches) -> Result<Fleet, Failure> {
    let file = argument(matches, "file");
    Fleet::from_json(&read(file)?).map_err(|error| Failure::Faults(located(file, &error)))
}

fn diff(matches: &ArgMatches) -> Result<(), Failure> {
    let fleet = serde_json::to_value(read_fleet(matches)?).map_err(Failure::failed)?;
    let current = client(matches).call(Method::GET, "/configuration", None)?;
    print(matches, &json!(differences("", &current["fleet"], &fleet)), text::differences);
    Ok(())
}

/// Lists the values that differ, each with its JSON pointer.
fn differences(pointer: &str, old: &Value, new: &Value) -> Vec<Value> {
    match (old, new) {
        _ if old == new => Vec::new(),
        (Value::Object(old_fields), Value::Object(new_fields)) => {
            let names = old_fields.keys().chain(new_fields.keys().filter(|n| old.get(n).is_none()));
            names
                .flat_map(|name| differences(&format!("{pointer}/{name}"), &old[name], &new[name]))
                .collect()
        }
        (Value::Array(old_items), Value::Array(new_items)) => {
            (0..old_items.len().max(new_items.len()))
                .flat_map(|i| differences(&format!("{pointer}/{i}"), &old[i], &new[i]))
                .collect()
        }
        _ => vec![json!({"pointer": pointer, "old": old, "new": new})],
    }
}

fn set(matches: &ArgMatches) -> Result<(), Failure> {
    let fleet = read_fleet(matches)?;
    let client = client(matches);
    let current = client.call(Method::GET, "/configuration", None)?;
    let body = serde_json::to_value(&fleet).map_err(Failure::failed)?;
    let effect = client.call(Method::POST, "/configuration/effect", Some(&body))?;
    eprintln!("touches: {}", serde_json::to_string_pretty(&effect).map_err(Failure::failed)?);
    let confirm = matches.get_many::<String>("confirm").unwrap_or_default();
    let accepted = put(matches, &client, &current["revision"], &fleet, confirm)?;
    if matches.get_flag("wait") {
        wait(&client, &accepted["revision"])?;
    }
    print(matches, &accepted, pretty);
    Ok(())
}

fn put<'a>(
    matches: &ArgMatches,
    client: &Client,
    base: &Value,
    fleet: &Fleet,
    confirm: impl Iterator<Item = &'a String>,
) -> Result<Value, Failure> {
    let body = json!({
        "base": base,
        "author": argument(matches, "author"),
        "reason": argument(matches, "reason"),
        "confirm": confirm.collect::<Vec<&String>>(),
        "fleet": fleet,
    });
    client.call(Method::PUT, "/configuration", Some(&body))
}

/// Waits until a revision is in force on every host that is not dead.
fn wait(client: &Client, revision: &Value) -> Result<(), Failure> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let wanted = number(revision);
    loop {
        let hosts = client.call(Method::GET, "/configuration/hosts", None)?;
        let hosts = hosts.as_array().cloned().unwrap_or_default();
        let behind = |host: &&Value| host["state"] != "dead" && number(&host["revision"]) < wanted;
        let behind: Vec<&str> =
            hosts.iter().filter(behind).filter_map(|host| host["name"].as_str()).collect();
        if behind.is_empty() {
            return Ok(());
        }
        if Instant::now() > deadline {
            let problem = format!(
                "accepted, but timed out waiting for it to be in force on: {}",
                behind.join(", ")
            );
            return Err(Failure::failed(problem));
        }
        thread::sleep(WAIT_INTERVAL);
    }
}

fn number(revision: &Value) -> Option<u64> {
    revision.as_str()?.parse().ok()
}

fn drain(matches: &ArgMatches) -> Result<(), Failure> {
    let scope = scope(argument(matches, "scope"))?;
    let client = client(matches);
    let current = client.call(Method::GET, "/configuration", None)?;
    let mut fleet: Fleet =
        serde_json::from_value(current["fleet"].clone()).map_err(Failure::failed)?;
    let drain = toucanhoist_core::fleet::Value::Drain(true);
    fleet.exceptions.retain(|exception| exception.scope != scope || exception.value != drain);
    if !matches.get_flag("undo") {
        fleet.exceptions.push(Exception {
            scope,
            value: drain,
            reason: argument(matches, "reason").into(),
            author: argument(matches, "author").into(),
            until: None,
        });
    }
    // A drain names its scope, which confirms the losses that it causes.
    let body = serde_json::to_value(&fleet).map_err(Failure::failed)?;
    let effect = client.call(Method::POST, "/configuration/effect", Some(&body))?;
    let losses = effect["losses"].as_array().cloned().unwrap_or_default();
    let names: Vec<String> =
        losses.iter().filter_map(|loss| Some(loss["name"].as_str()?.to_owned())).collect();
    let accepted = put(matches, &client, &current["revision"], &fleet, names.iter())?;
    print(matches, &accepted, pretty);
    Ok(())
}

fn scope(text: &str) -> Result<Scope, Failure> {
    let fault = || {
        Failure::failed(format!("{text:?}: expected target:NAME, service:NAME or data-centre:NAME"))
    };
    let (kind, name) = text.split_once(':').ok_or_else(fault)?;
    match kind {
        "target" => name.parse().map(Scope::Target).map_err(Failure::failed),
        "service" => name.parse().map(Scope::Service).map_err(Failure::failed),
        "data-centre" => name.parse().map(Scope::DataCentre).map_err(Failure::failed),
        _ => Err(fault()),
    }
}

fn grant(matches: &ArgMatches) -> Result<(), Failure> {
    let key = format!("{:032x}", rand::random::<u128>());
    let digest = Digest::of(key.as_bytes());
    let body = json!({
        "account": argument(matches, "account"),
        "digest": digest,
        "author": argument(matches, "author"),
    });
    client(matches).call(Method::POST, "/keys", Some(&body))?;
    print(matches, &json!({"key": key, "digest": digest}), pretty);
    Ok(())
}

fn withdraw(matches: &ArgMatches) -> Result<(), Failure> {
    let body =
        json!({"digest": argument(matches, "digest"), "author": argument(matches, "author")});
    print(matches, &client(matches).call(Method::POST, "/keys/withdraw", Some(&body))?, pretty);
    Ok(())
}
