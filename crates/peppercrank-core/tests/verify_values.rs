// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests that names, keys, times, costs, reasons and settings accept valid values and reject others.

use std::time::Duration;

use peppercrank_core::Error;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::names::OrganisationName;
use peppercrank_core::refusal::MayHaveRun;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::settings;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use serde::Deserialize;

const SEED: u64 = 7;

fn fixed() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(64, SEED))
}

#[test]
fn verify_names() {
    let long = "a".repeat(64);
    let most = "a".repeat(63);
    let table = [
        ("galley-llm", true),
        ("a", true),
        (most.as_str(), true),
        ("x_1.y", true),
        ("", false),
        (long.as_str(), false),
        ("Upper", false),
        ("sp ace", false),
        ("../up", false),
        ("naïve", false),
        ("a/b", false),
    ];
    for (text, good) in table {
        assert_eq!(OrganisationName::new(text).is_ok(), good, "{text:?}");
    }
}

#[test]
fn verify_keys_round_trip() {
    fn property(value: u128) -> bool {
        let key = AttemptId(value);
        key.to_string().parse() == Ok(key)
    }
    fixed().quickcheck(property as fn(u128) -> bool);
}

#[test]
fn verify_malformed_keys_are_refused() {
    let table = [
        "",
        "0",
        "+0000000000000000",
        "00000000000000000",
        "000000000000000g",
        "é000000000000000",
    ];
    for text in table {
        assert!(text.parse::<ChatKey>().is_err(), "{text:?}");
    }
    assert!(
        "+00000000000000f".parse::<ChatKey>().is_err(),
        "a sign is not a digit"
    );
}

#[test]
fn verify_chat_keys_differ_between_organisations() {
    assert_ne!(
        ChatKey::derive("first", "1"),
        ChatKey::derive("second", "1")
    );
    assert_eq!(ChatKey::derive("first", "1"), ChatKey::derive("first", "1"));
}

#[test]
fn verify_time_never_goes_below_zero() {
    let early = Instant::from_millis(5);
    let late = Instant::from_millis(9);
    assert_eq!(late.since(early), Duration::from_millis(4));
    assert_eq!(early.since(late), Duration::ZERO);
    assert!(Instant::from_origin(Duration::MAX) + Duration::MAX >= late);
}

#[test]
fn verify_costs_saturate() {
    assert_eq!(Cost(1) - Cost(2), Cost::ZERO);
    assert_eq!(Cost(u64::MAX) + Cost(1), Cost(u64::MAX));
    assert_eq!(Cost::for_chat(100, 10), Cost(140));
}

#[test]
fn verify_reason_codes_round_trip() {
    for reason in NotRun::ALL {
        assert_eq!(NotRun::from_code(reason.code()), Some(*reason));
    }
    for reason in MayHaveRun::ALL {
        assert_eq!(MayHaveRun::from_code(reason.code()), Some(*reason));
    }
    assert_eq!(NotRun::from_code("else"), None);
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Sample {
    #[expect(dead_code, reason = "only its parsing matters")]
    name: OrganisationName,
}

#[test]
fn verify_settings_errors_report_line_and_column() {
    let table = [
        ("{\n  // comment\n  \"name\": \"ok\"\n}", None),
        ("{\n  \"name\": \"ok\", // last\n}", None),
        ("{\n  /* two\n lines */ \"nome\": \"ok\"\n}", Some((3, 11))),
        ("{\n  \"name\": \"Not Good\"\n}", Some((2, 3))),
        ("{\n  \"name\": \"ok\",\n  \"more\": 1\n}", Some((3, 3))),
        (
            "{\n  \"name\": \"ok\",\n  \"name\": \"no\"\n}",
            Some((3, 3)),
        ),
        ("{\n  \"name\": \n", Some((3, 1))),
        ("{\n  \"name\": 5\n}", Some((2, 3))),
        ("{\n  name: \"ok\"\n}", Some((2, 3))),
        ("{}", Some((1, 1))),
        ("", Some((1, 1))),
    ];
    for (text, fault) in table {
        let place = match settings::parse::<Sample>(text) {
            Ok(_) => None,
            Err(Error::Settings { line, column, .. }) => Some((line, column)),
            Err(other) => panic!("{other}"),
        };
        assert_eq!(place, fault, "{text}");
    }
}
