//! Formats a host's answers as text.

use serde_json::Value;

/// Formats rows as a table with a heading.
fn table<const N: usize>(heading: [&str; N], rows: &[[String; N]]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].chars().count());
        cells.chain([heading[column].chars().count()]).max().unwrap_or(0)
    };
    let widths: [usize; N] = std::array::from_fn(width);
    let line = |cells: [&str; N]| {
        let padded: Vec<String> =
            cells.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        padded.join("  ").trim_end().to_owned()
    };
    let mut lines = vec![line(heading)];
    lines.extend(rows.iter().map(|row| line(std::array::from_fn(|column| row[column].as_str()))));
    lines.join("\n")
}

/// Formats a value as the cell of a table.
fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}

fn rows<'a, const N: usize>(list: &'a Value, names: [&'a str; N]) -> Vec<[String; N]> {
    let items = list.as_array().map(Vec::as_slice).unwrap_or_default();
    items.iter().map(|item| names.map(|name| cell(&item[name]))).collect()
}

pub(super) fn status(status: &Value) -> String {
    let mut text = format!(
        "host {} in {}, revision {}\n\n{}",
        cell(&status["host"]),
        cell(&status["data_centre"]),
        cell(&status["revision"]),
        table(
            ["MEMBER", "DATA CENTRE", "STATE", "CALLERS"],
            &rows(&status["members"], ["name", "data_centre", "state", "callers"]),
        ),
    );
    let revisions = rows(&status["revisions"], ["name", "state", "revision"]);
    if !revisions.is_empty() {
        text.push_str("\n\n");
        text.push_str(&table(["IN FORCE ON", "STATE", "REVISION"], &revisions));
    }
    let exceptions = rows(&status["exceptions"], ["scope", "value", "author", "reason"]);
    if !exceptions.is_empty() {
        text.push_str("\n\n");
        text.push_str(&table(["EXCEPTION", "VALUE", "AUTHOR", "REASON"], &exceptions));
    }
    text
}

pub(super) fn keys(keys: &Value) -> String {
    table(
        ["DIGEST", "ACCOUNT", "AUTHOR", "WITHDRAWN"],
        &rows(keys, ["digest", "account", "author", "withdrawn"]),
    )
}

pub(super) fn history(changes: &Value) -> String {
    table(["REVISION", "AUTHOR", "REASON"], &rows(changes, ["revision", "author", "reason"]))
}

pub(super) fn explain(explained: &Value) -> String {
    let decisions = explained["decisions"].as_array().map(Vec::as_slice).unwrap_or_default();
    let mut lines =
        vec![format!("request {} at {}", cell(&explained["request"]), cell(&explained["host"]))];
    for decision in decisions {
        let fields = decision["fields"].as_object().into_iter().flatten();
        let fields: Vec<String> =
            fields.map(|(name, value)| format!("{name}={}", cell(value))).collect();
        lines.push(format!(
            "{} {} {}",
            cell(&decision["event"]),
            cell(&decision["name"]),
            fields.join(" ")
        ));
    }
    for host in explained["ask_too"].as_array().into_iter().flatten() {
        lines.push(format!("the request was forwarded to {}: ask that host too", cell(host)));
    }
    lines.join("\n")
}

pub(super) fn differences(differences: &Value) -> String {
    let items = differences.as_array().map(Vec::as_slice).unwrap_or_default();
    if items.is_empty() {
        return "no differences".into();
    }
    let line =
        |item: &Value| format!("{}: {} -> {}", cell(&item["pointer"]), item["old"], item["new"]);
    items.iter().map(line).collect::<Vec<String>>().join("\n")
}
