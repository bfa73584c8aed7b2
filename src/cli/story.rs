//! One request's story, from the logs of several hosts.

use std::{
    collections::BTreeSet,
    fs::File,
    io::{self, BufRead, BufReader},
};

use {
    clap::ArgMatches,
    serde_json::{Value, json},
};

use super::{documents::argument, output::Failure};

/// Time before the request in which a host's changes of belief belong to its story.
const BEFORE_MS: u64 = 10_000;
/// Lines that say what a host believes of targets.
const TARGET_LINES: [&str; 2] = ["target-changed", "target-closed"];
/// Lines that say what a host believes besides.
const HOST_LINES: [&str; 5] = [
    "configuration-in-force",
    "evacuations-changed",
    "platform-down",
    "platform-up",
    "configuration-from-peers",
];

/// Prints the story of a request from files of logs; `-` is the standard input.
///
/// # Errors
///
/// A file cannot be read, or no line names the request.
pub(super) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let request = argument(matches, "request");
    let mut lines = Vec::new();
    for name in matches.get_many::<String>("log").into_iter().flatten() {
        let named = |error: io::Error| Failure::failed(format!("{name}: {error}"));
        let reader: Box<dyn BufRead> = match name.as_str() {
            "-" => Box::new(io::stdin().lock()),
            _ => Box::new(BufReader::new(File::open(name).map_err(named)?)),
        };
        for line in reader.lines() {
            lines.extend(parse(&line.map_err(named)?));
        }
    }
    let story = story(request, lines);
    if story.is_empty() {
        return Err(Failure::failed(format!("no line names the request {request}")));
    }
    if matches.get_flag("json") {
        println!("{}", json!(story));
    } else {
        println!("{}", text(&story));
    }
    Ok(())
}

/// Reads a line; something may stand before its object. Other lines are none of ours.
fn parse(line: &str) -> Option<Value> {
    let object: Value = serde_json::from_str(&line[line.find('{')?..]).ok()?;
    object["name"].is_string().then_some(object)
}

/// Returns the lines that belong to a request, in their order.
fn story(request: &str, mut lines: Vec<Value>) -> Vec<Value> {
    lines.sort_by_key(time_ms);
    let own: Vec<&Value> = lines.iter().filter(|line| line["request"] == request).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Vec::new() };
    let span = time_ms(first).saturating_sub(BEFORE_MS)..=time_ms(last);
    let hosts: BTreeSet<&str> = own.iter().filter_map(|line| line["host"].as_str()).collect();
    let targets: BTreeSet<&str> = own.iter().filter_map(|line| line["target"].as_str()).collect();
    let is_told = |line: &&Value| {
        let (name, host) = (word(line, "name"), word(line, "host"));
        let of_target = TARGET_LINES.contains(&name) && targets.contains(word(line, "target"));
        let believes = of_target || HOST_LINES.contains(&name);
        let belongs = believes && hosts.contains(host) && span.contains(&time_ms(line));
        line["request"] == request || belongs
    };
    lines.iter().filter(is_told).cloned().collect()
}

fn time_ms(line: &Value) -> u64 {
    line["time_ms"].as_u64().unwrap_or_default()
}

fn word<'a>(line: &'a Value, field: &str) -> &'a str {
    line[field].as_str().unwrap_or_default()
}

/// Tells a story in words, with times from the first line that names the request.
fn text(story: &[Value]) -> String {
    let named = story.iter().find(|line| line["request"].is_string());
    let start = named.map(time_ms).unwrap_or_default();
    let line = |line: &Value| {
        let after = i128::from(time_ms(line)) - i128::from(start);
        format!("{after:+7} ms  {}  {}", word(line, "host"), sentence(line))
    };
    story.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Says what a line says.
fn sentence(line: &Value) -> String {
    let field = |name: &str| match &line[name] {
        Value::String(text) => text.clone(),
        Value::Null => "?".to_owned(),
        other => other.to_string(),
    };
    match word(line, "name") {
        "sent" => format!(
            "sent to {} as attempt {}, which was taken to hold {} requests and to need {} ms; it had \
             waited {} us",
            field("target"),
            field("attempt"),
            field("busy"),
            field("expected_ms"),
            field("waited_us")
        ),
        "answered" => format!(
            "answered with {} of {} after {} us and {} sends, by revision {}",
            field("status"),
            field("target"),
            field("micros"),
            field("sends"),
            field("revision")
        ),
        "refused" => format!(
            "refused as {} ({}): {}; it may come back after {} ms",
            field("code"),
            field("verdict"),
            field("reason"),
            field("retry_after_ms")
        ),
        "retried" => format!("tried elsewhere after {} sends", field("sends")),
        "abandoned" => format!("given up by its caller after {} us", field("micros")),
        "target-changed" => format!("target {} is {}", field("target"), field("state")),
        "configuration-in-force" => format!("revision {} came into force", field("revision")),
        "platform-down" => format!("the store does not answer for {}", field("topic")),
        "platform-up" => format!("the store answers for {} again", field("topic")),
        name => name.replace('-', " "),
    }
}
