//! Event names are unique, and every event is on the operators' page.

use std::collections::BTreeSet;

use yokefall_telemetry::EventName;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

#[test]
fn every_event_is_on_the_operators_page() {
    for event in EventName::ALL {
        let row = format!("| `{}` |", event.text());
        assert!(PAGE.contains(&row), "{} has no row", event.text());
    }
}

#[test]
fn event_names_are_unique() {
    let names: BTreeSet<&str> = EventName::ALL.iter().map(|event| event.text()).collect();
    assert_eq!(names.len(), EventName::ALL.len());
}
