//! Timeline of a request, from the logs of several hosts.

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

/// Time before a request's first line from which state changes of its hosts are included.
const LEAD_TIME_MS: u64 = 10_000;
/// Events that report a change in what a host knows of a target.
const TARGET_EVENTS: [&str; 3] = ["target-changed", "target-closed", "target-limited"];
/// Events that report another change of a host's state.
const HOST_EVENTS: [&str; 5] = [
    "configuration-in-force",
    "evacuations-changed",
    "platform-down",
    "platform-up",
    "configuration-from-peers",
];

/// Prints the timeline of a request from log files; `-` is the standard input.
///
/// # Errors
///
/// A file cannot be read, or no line concerns the request.
pub(super) fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let request = argument(matches, "request");
    let mut lines = Vec::new();
    for name in matches.get_many::<String>("log").into_iter().flatten() {
        let failure = |error: io::Error| Failure::failed(format!("{name}: {error}"));
        let reader: Box<dyn BufRead> = match name.as_str() {
            "-" => Box::new(io::stdin().lock()),
            _ => Box::new(BufReader::new(File::open(name).map_err(failure)?)),
        };
        for line in reader.lines() {
            lines.extend(parse(&line.map_err(failure)?));
        }
    }
    let timeline = timeline(request, lines);
    if timeline.is_empty() {
        return Err(Failure::failed(format!("no log line concerns the request {request}")));
    }
    if matches.get_flag("json") {
        println!("{}", json!(timeline));
    } else {
        println!("{}", text(&timeline));
    }
    Ok(())
}

/// Parses a log line, which may have a prefix before its JSON object; `None` for other lines.
fn parse(line: &str) -> Option<Value> {
    let object: Value = serde_json::from_str(&line[line.find('{')?..]).ok()?;
    object["name"].is_string().then_some(object)
}

/// Returns the lines that belong to a request, in the order of their times.
fn timeline(request: &str, mut lines: Vec<Value>) -> Vec<Value> {
    lines.sort_by_key(time_ms);
    let own: Vec<&Value> = lines.iter().filter(|line| line["request"] == request).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Vec::new() };
    let span = time_ms(first).saturating_sub(LEAD_TIME_MS)..=time_ms(last);
    let hosts: BTreeSet<&str> = own.iter().filter_map(|line| line["host"].as_str()).collect();
    let targets: BTreeSet<&str> = own.iter().filter_map(|line| line["target"].as_str()).collect();
    let is_included = |line: &&Value| {
        let (name, host) = (text_field(line, "name"), text_field(line, "host"));
        let concerns_target =
            TARGET_EVENTS.contains(&name) && targets.contains(text_field(line, "target"));
        let is_state_change = concerns_target || HOST_EVENTS.contains(&name);
        let is_context = is_state_change && hosts.contains(host) && span.contains(&time_ms(line));
        line["request"] == request || is_context
    };
    lines.iter().filter(is_included).cloned().collect()
}

fn time_ms(line: &Value) -> u64 {
    line["time_ms"].as_u64().unwrap_or_default()
}

fn text_field<'a>(line: &'a Value, field: &str) -> &'a str {
    line[field].as_str().unwrap_or_default()
}

/// Formats a timeline as text, with times relative to the first line that names the request.
fn text(timeline: &[Value]) -> String {
    let first = timeline.iter().find(|line| line["request"].is_string());
    let start = first.map(time_ms).unwrap_or_default();
    let line = |line: &Value| {
        let after = i128::from(time_ms(line)) - i128::from(start);
        format!("{after:+7} ms  {}  {}", text_field(line, "host"), describe(line))
    };
    timeline.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Describes the event of a line.
fn describe(line: &Value) -> String {
    let field = |name: &str| match &line[name] {
        Value::String(text) => text.clone(),
        Value::Null => "?".to_owned(),
        other => other.to_string(),
    };
    match text_field(line, "name") {
        "sent" => format!(
            "sent to {} as attempt {}; the target was estimated to run {} requests and to take {} \
             ms, its limit was {}; the request had waited {} us",
            field("target"),
            field("attempt"),
            field("busy"),
            field("expected_ms"),
            field("limit"),
            field("waited_us")
        ),
        "answered" => format!(
            "answered with status {} by {} after {} us and {} sends, with revision {} in force",
            field("status"),
            field("target"),
            field("micros"),
            field("sends"),
            field("revision")
        ),
        "refused" => format!(
            "refused as {} ({}): {}; retry after {} ms",
            field("code"),
            field("verdict"),
            field("reason"),
            field("retry_after_ms")
        ),
        "attempt-failed" => {
            format!("{} failed after {} us: {}", field("target"), field("micros"), field("error"))
        }
        "retried" => format!("retried after {} sends", field("sends")),
        "abandoned" => format!("abandoned by its caller after {} us", field("micros")),
        "target-changed" => format!("target {} is {}", field("target"), field("state")),
        "target-limited" => {
            format!("the limit of target {} is {}", field("target"), field("limit"))
        }
        "configuration-in-force" => format!("revision {} came into force", field("revision")),
        "platform-down" => format!("the store does not answer for {}", field("topic")),
        "platform-up" => format!("the store answers for {} again", field("topic")),
        name => name.replace('-', " "),
    }
}
