//! docs/EVENTS.md and the code agree.

use toucanhoist_core::event::{Event, Severity};

#[test]
fn the_catalogue_lists_every_event() {
    let catalogue = include_str!("../docs/EVENTS.md");
    for event in Event::ALL {
        let severity = match event.severity() {
            Severity::Info => "info",
            Severity::Warn => "warn",
            Severity::Error => "error",
        };
        let row = format!("| {} | {event} | {severity} |", event.number());
        assert!(catalogue.contains(&row), "docs/EVENTS.md lacks {row}");
    }
}

#[test]
fn numbers_and_names_are_unique() {
    let mut numbers: Vec<u16> = Event::ALL.iter().map(|event| event.number()).collect();
    let mut names: Vec<&str> = Event::ALL.iter().map(|event| event.as_str()).collect();
    numbers.sort_unstable();
    numbers.dedup();
    names.sort_unstable();
    names.dedup();
    assert_eq!((numbers.len(), names.len()), (Event::ALL.len(), Event::ALL.len()));
}
