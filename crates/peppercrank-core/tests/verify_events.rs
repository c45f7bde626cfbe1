// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests that the event catalogue in the documentation matches the code.

use peppercrank_core::events::Event;

const CATALOGUE: &str = include_str!("../../../docs/EVENTS.md");

#[test]
fn verify_each_event_has_its_row() {
    for event in Event::ALL {
        let row = format!(
            "| {} | {:?} | {} |",
            event.number(),
            event.level(),
            event.text()
        );
        assert!(CATALOGUE.contains(&row), "docs/EVENTS.md lacks: {row}");
    }
}

#[test]
fn verify_each_row_has_its_event() {
    let rows = CATALOGUE
        .lines()
        .filter(|l| l.starts_with("| ") && !l.starts_with("| number"));
    let rows = rows.filter(|l| !l.starts_with("| ---"));
    assert_eq!(rows.count(), Event::ALL.len());
}

#[test]
fn verify_event_numbers_are_ascending() {
    assert!(Event::ALL.windows(2).all(|w| w[0].number() < w[1].number()));
}
