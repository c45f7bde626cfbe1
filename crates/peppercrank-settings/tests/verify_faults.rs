// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests that each error in a settings file is reported with its line, column and reason.

use std::fs;
use std::path::Path;

use peppercrank_settings::AgentSettings;
use peppercrank_settings::Error;
use peppercrank_settings::RouterSettings;
use peppercrank_settings::keys;

/// A valid router file; each case replaces one part of it.
const ROUTER: &str = r#"{
  "fleet": {
    "vm": "entry-1", "zone": "rae", // who and where
    "gossip": "10.0.0.1:7000",
    "control": "10.0.0.1:7001",
    "operators": "10.0.0.1:7002",
    "platform": { "url": "http://10.0.0.9:8000/", "timeout": "1s" },
    "keys": [{ "id": 2, "secret": "00112233445566778899aabbccddeeff" }],
    "tokens": ["sixteen-letters-"],
    "touch": { "peers": "3s", "platform": "5m" }
  },
  "listen": "10.0.0.1:8080",
  "limits": { "body": "2MiB", "connections": 900 },
  "retry": { "backoff": "20ms", "jitter": 0.25 },
  "claims": { "wait": "1s", "shards": 32 }
}"#;

/// The replaced part, its replacement, and the expected line, column and reason of the error.
type Case = (&'static str, &'static str, usize, usize, &'static str);

#[rustfmt::skip] // One case per line.
const INVALID_SETTINGS: &[Case] = &[
    // Unknown and missing keys.
    (r#""shards": 32"#, r#""shard": 32"#, 15, 29, "unknown field `shard`"),
    (r#""listen":"#, r#""lisen":"#, 12, 3, "unknown field `lisen`"),
    (r#""vm": "entry-1", "#, "", 2, 3, "missing field `vm`"),
    // Units.
    (r#""wait": "1s""#, r#""wait": 1"#, 15, 15, "expected a duration with its unit"),
    (r#""wait": "1s""#, r#""wait": "1""#, 15, 15, "`1` is not a duration"),
    (r#""wait": "1s""#, r#""wait": "1 s""#, 15, 15, "`1 s` is not a duration"),
    (r#""wait": "1s""#, r#""wait": "1.5s""#, 15, 15, "`1.5s` is not a duration"),
    (r#""wait": "1s""#, r#""wait": "+1s""#, 15, 15, "`+1s` is not a duration"),
    (r#""wait": "1s""#, r#""wait": "1MiB""#, 15, 15, "`1MiB` is not a duration"),
    (r#""wait": "1s""#, r#""wait": "s""#, 15, 15, "`s` is not a duration"),
    (r#""wait": "1s""#, r#""wait": "9999999999999999999h""#, 15, 15, "is not a duration"),
    (r#""body": "2MiB""#, r#""body": 2097152"#, 13, 15, "expected a size with its unit"),
    (r#""body": "2MiB""#, r#""body": "2MB""#, 13, 15, "`2MB` is not a size"),
    (r#""body": "2MiB""#, r#""body": "2s""#, 13, 15, "`2s` is not a size"),
    // Ranges.
    (r#""wait": "1s""#, r#""wait": "9ms""#, 15, 15, "`9ms` lies outside 10ms to 1m"),
    (r#""wait": "1s""#, r#""wait": "2m""#, 15, 15, "`2m` lies outside 10ms to 1m"),
    (r#""body": "2MiB""#, r#""body": "1GiB""#, 13, 15, "outside 1KiB to 256MiB"),
    (r#""connections": 900"#, r#""connections": 0"#, 13, 31, "`0` lies outside 1 to 65536"),
    (r#""connections": 900"#, r#""connections": -1"#, 13, 31, "a whole number of 1 to"),
    (r#""connections": 900"#, r#""connections": 9.5"#, 13, 31, "a whole number of 1 to"),
    (r#""connections": 900"#, r#""connections": 4294967297"#, 13, 31, "outside 1 to 65536"),
    (r#""jitter": 0.25"#, r#""jitter": 1.01"#, 14, 33, "`1.01` lies outside 0 to 1"),
    (r#""peers": "3s""#, r#""peers": "0s""#, 10, 16, "`0s` lies outside 1s to 10m"),
    // Names, addresses, secrets.
    (r#""rae""#, r#""Rae""#, 3, 22, "availability zone"),
    (r#""10.0.0.1:7000""#, r#""10.0.0.1""#, 4, 5, "invalid socket address"),
    (r#""10.0.0.1:7000""#, r#""entry-1:7000""#, 4, 5, "invalid socket address"),
    ("http:", "https:", 7, 19, "is not `http://` with an IP number"),
    ("10.0.0.9:8000/", "", 7, 19, "is not `http://` with an IP number"),
    ("10.0.0.9:8000/", "10.0.0.9:8000/api", 7, 19, "is not `http://` with an IP number"),
    ("10.0.0.9:8000/", "platform:8000", 7, 19, "is not `http://` with an IP number"),
    ("10.0.0.9:8000/", "u:p@10.0.0.9", 7, 19, "is not `http://` with an IP number"),
    ("ddeeff", "ddee", 8, 25, "32 to 128 hexadecimal digits"),
    ("ddeeff", "ddeef", 8, 25, "32 to 128 hexadecimal digits"),
    ("ddeeff", "ddeefg", 8, 25, "32 to 128 hexadecimal digits"),
    ("sixteen-letters-", "fifteen-letters", 9, 16, "16 to 256 visible ASCII"),
    ("sixteen-letters-", "sixteen letters-", 9, 16, "16 to 256 visible ASCII"),
    // Texts that are not JSON.
    ("8080\",", "8080\"", 12, 28, "Expected comma"),
    ("900 },", "900 ", 13, 49, "Expected comma"),
    (r#""jitter": 0.25"#, r#""jitter": 0.25, "jitter": 1"#, 14, 49, "duplicate key"),
    (r#""jitter": 0.25"#, r#""jitter": .25"#, 14, 43, "decimal points on numbers are not allowed"),
];

/// Returns the line, column and reason of the error in `text`.
fn parse_error(text: &str) -> (usize, usize, String) {
    match RouterSettings::parse(text) {
        Err(Error::Text(peppercrank_core::Error::Settings {
            line,
            column,
            reason,
        })) => (line, column, reason),
        other => panic!("no fault found but {other:?} in\n{text}"),
    }
}

#[test]
fn verify_valid_file_is_parsed() {
    let settings = RouterSettings::parse(ROUTER).expect("valid");
    assert_eq!(
        settings.fleet.platform.url.address().to_string(),
        "10.0.0.9:8000"
    );
    assert_eq!(settings.fleet.touch.peers.as_millis(), 3_000);
    assert_eq!(settings.limits.body, 2 << 20);
    assert_eq!(
        settings.limits.head,
        peppercrank_settings::limits::DEFAULT_MAX_HEAD_BYTES
    );
    assert_eq!(settings.claims.shards, 32);
    assert_eq!(settings.retry.backoff.as_millis(), 20);
}

#[test]
fn verify_each_error_reports_its_position() {
    for (part, by, line, column, reason) in INVALID_SETTINGS {
        assert_eq!(ROUTER.matches(part).count(), 1, "`{part}` stands once");
        let (l, c, why) = parse_error(&ROUTER.replace(part, by));
        assert_eq!((l, c), (*line, *column), "`{by}`: {why}");
        assert!(why.contains(reason), "`{by}`: {why}");
    }
}

#[test]
fn verify_key_ids_are_unique_and_the_number_of_keys_is_limited() {
    let key = |id: usize| format!(r#"{{ "id": {id}, "secret": "{}" }}"#, "0f".repeat(16));
    let list = |ids: &[usize]| {
        let keys = ids.iter().map(|id| key(*id)).collect::<Vec<_>>();
        keys::parse(&format!("[{}]", keys.join(",")))
    };
    assert_eq!(list(&[2, 1]).expect("two keys").len(), 2);
    for ids in [&[][..], &[1, 2, 1], &[1, 2, 3, 4, 5, 6, 7, 8, 9]] {
        assert!(list(ids).is_err(), "{ids:?}");
    }
}

#[test]
fn verify_secrets_stay_out_of_debug() {
    let shown = format!("{:?}", RouterSettings::parse(ROUTER).expect("valid"));
    assert!(!shown.contains("sixteen"), "{shown}");
    assert!(
        !shown.contains("0011") && !shown.contains("17, 34"),
        "{shown}"
    );
}

#[test]
fn verify_agent_needs_its_target() {
    let head = ROUTER.split("  \"limits\"").next().expect("a head");
    let target =
        r#""target": { "name": "e-1", "pool": "p", "kind": "KIND", "address": "127.0.0.1:1" }"#;
    let valid = format!("{head}{} }}", target.replace("KIND", "engine"));
    let settings = AgentSettings::parse(&valid).expect("valid");
    assert_eq!(
        settings.target.weight,
        peppercrank_settings::agent::DEFAULT_WEIGHT
    );
    assert!(!settings.target.checks_orders);

    let faults = [
        (format!("{head}}}"), "missing field `target`"),
        (format!("{head}{target} }}"), "unknown variant `KIND`"),
    ];
    for (text, reason) in &faults {
        let e = AgentSettings::parse(text).expect_err(reason).to_string();
        assert!(e.contains(reason), "{e}");
    }
}

#[test]
fn verify_unreadable_files_are_reported() {
    let path =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-faulty-file", std::process::id()));
    let long = vec![b' '; (1 << 20) + 1];
    let cases: [(&[u8], &str); 2] = [(&long, "too large"), (b"\"\xff\"", "utf-8")];
    for (bytes, reason) in cases {
        fs::write(&path, bytes).expect("a file");
        let e = RouterSettings::load(&path).expect_err(reason).to_string();
        assert!(e.contains("faulty-file") && e.contains(reason), "{e}");
    }
    let gone = RouterSettings::load(Path::new("/no/such/file"));
    assert!(matches!(gone, Err(Error::File { .. })), "{gone:?}");
}
