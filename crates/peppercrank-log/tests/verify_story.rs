// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A request's story out of several logs, and its likely cause.

use std::fmt::Write;

use peppercrank_log::story::Story;

/// A line as the daemons write it.
fn line(second: u32, process: &str, event: u32, fields: &str) -> String {
    let comma = if fields.is_empty() { "" } else { "," };
    format!(
        "{{\"msg\":\"m\",\"level\":\"INFO\",\"ts\":\"2026-01-01T00:00:{second:02}Z\",\
         \"process\":\"{process}\",\"event\":{event}{comma}{fields}}}\n"
    )
}

fn story(logs: &[String]) -> Story {
    let mut story = Story::new("abc");
    for log in logs {
        story.read(log.as_bytes()).expect("a log");
    }
    story
}

#[test]
fn verify_steps_of_several_processes_come_in_order_with_their_beliefs() {
    let one = [
        line(1, "one", 4001, "\"version\":3"),
        line(2, "one", 4001, "\"version\":5"),
        line(2, "one", 5009, "\"target\":\"i-1\""),
        line(2, "one", 5009, "\"target\":\"i-2\""),
        line(
            4,
            "one",
            2009,
            "\"request\":\"abc\",\"target\":\"i-1\",\"what\":\"lost\"",
        ),
        line(5, "one", 2008, "\"request\":\"other\",\"status\":200"),
        line(9, "one", 4001, "\"version\":7"),
    ];
    let two = [
        "12.5 two-prefix ".to_owned()
            + &line(
                3,
                "two",
                2008,
                "\"request\":\"abc\",\"status\":200,\"first_ms\":7",
            ),
        "no event\n".to_owned(),
    ];
    let story = story(&[one.concat(), two.concat()]);
    let steps = story.steps();
    let order = steps.iter().map(|s| s.process.as_str());
    assert_eq!(order.collect::<Vec<_>>(), ["two", "one"]);
    let beliefs = steps[1].beliefs.iter().map(|b| b.what.as_str());
    let beliefs = beliefs.collect::<Vec<_>>();
    assert_eq!(beliefs, ["configuration 5 in force", "target ejected"]);
    assert!(steps[0].beliefs.is_empty());
}

#[test]
fn verify_each_end_has_its_cause() {
    let missed = "\"request\":\"abc\",\"target\":\"i-1\",\"what\":\"connection lost\"";
    let rows = [
        (
            "2001",
            "\"reason\":\"denied\",\"version\":4",
            "configuration 4",
        ),
        ("2001", "\"reason\":\"no_route\",\"version\":4", "no route"),
        (
            "2001",
            "\"reason\":\"stale_keys\",\"keys_age_ms\":4100,\"store_away\":1",
            "store was out of reach",
        ),
        (
            "2001",
            "\"reason\":\"stale_routes\",\"version\":4,\"keys_age_ms\":4100",
            "may have been added since",
        ),
        (
            "2001",
            "\"reason\":\"evacuated\"",
            "evacuated availability zones",
        ),
        ("2001", "\"reason\":\"no_region\"", "region"),
        ("2001", "\"reason\":\"warming_up\"", "were cold"),
        (
            "2001",
            "\"reason\":\"warming_up\",\"store_away\":1",
            "store was out of reach",
        ),
        ("2001", "\"reason\":\"failed\"", "connection lost at i-1"),
        ("2001", "\"reason\":\"timed_out\"", "connection lost at i-1"),
        (
            "2001",
            "\"reason\":\"no_target\",\"targets\":3",
            "3 targets",
        ),
        (
            "2007",
            "\"what\":\"caller gone\",\"held_ms\":70",
            "went away after 70",
        ),
        (
            "2007",
            "\"what\":\"caller gone\",\"held_ms\":3300,\"quiet_ms\":3200",
            "sent nothing for 3200 ms",
        ),
        ("2007", "\"what\":\"stream cut\"", "broke off"),
        ("2008", "\"status\":500", "own failure 500"),
        (
            "2008",
            "\"status\":200,\"first_ms\":9",
            "before that connection lost",
        ),
    ];
    for (event, fields, wanted) in rows {
        let event = event.parse().expect("a number");
        let end = format!("\"request\":\"abc\",{fields}");
        let log = line(1, "one", 2009, missed) + &line(2, "one", event, &end);
        let cause = story(&[log]).cause();
        assert!(cause.contains(wanted), "{fields}: {cause}");
    }
}

#[test]
fn verify_a_process_that_was_killed_leaves_word() {
    let log = [
        line(1, "one", 1001, ""),
        line(2, "one", 2010, "\"count\":2,\"requests\":\"x abc\""),
        line(3, "one", 2010, "\"count\":1,\"requests\":\"x\""),
        line(4, "one", 1001, ""),
    ];
    let story = story(&[log.concat()]);
    assert_eq!(story.endings().len(), 1);
    let cause = story.cause();
    assert!(cause.contains("ended while it was in progress"), "{cause}");
    // One that no line tells of may have met the same.
    let mut other = Story::new("never");
    other.read(log.concat().as_bytes()).expect("a log");
    assert!(other.steps().is_empty());
    assert!(other.cause().contains("started again"), "{}", other.cause());
    // A process that stopped as told was not killed.
    let log = [line(1, "one", 1003, ""), line(2, "one", 1001, "")];
    let mut calm = Story::new("never");
    calm.read(log.concat().as_bytes()).expect("a log");
    assert!(calm.endings().is_empty());
}

#[test]
fn verify_memory_does_not_grow_with_the_log() {
    let mut log = String::new();
    for n in 0..50_000 {
        // Writing into a string does not fail.
        let _written = write!(
            log,
            "{}",
            line(1, "one", 5006, &format!("\"target\":\"{n}\""))
        );
    }
    log.push_str(&"x".repeat(1 << 20));
    let story = story(&[log]);
    assert!(format!("{story:?}").len() < 4 << 20);
}
