// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests each fault at the engine and the plain service.

mod support;

use std::net::SocketAddr;
use std::thread;

use peppercrank_standin::engine;
use peppercrank_standin::engine::EngineSettings;
use peppercrank_standin::service;
use peppercrank_standin::service::ServiceSettings;
use serde_json::Value;
use serde_json::json;
use support::chat;
use support::poll_until;
use support::run_counts;
use support::send;
use support::send_with_short_timeout;
use support::set_faults;
use support::stream;

/// Outcome of a call for the caller.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    /// A response with this status and this id.
    Answer(u16, &'static str),
    /// The connection closes before the response is complete.
    Broken,
    /// No response within the timeout.
    Nothing,
}

/// The id of the call, and the one that the `wrong_id` fault substitutes.
const OWN: &str = "a1";
const OTHER: &str = "01";

fn outcome(at: SocketAddr, call: &str, body: &str, expected: &Outcome) -> Outcome {
    let headers = [("x-request-id", OWN)];
    // The short timeout is used only if no response is expected.
    let result = match expected {
        Outcome::Nothing => send_with_short_timeout(at, call, &headers, body),
        Outcome::Answer(..) | Outcome::Broken => send(at, call, &headers, body),
    };
    match result {
        Ok(response) if response.id == OWN => Outcome::Answer(response.status, OWN),
        Ok(response) if response.id == OTHER => Outcome::Answer(response.status, OTHER),
        Ok(response) => Outcome::Answer(response.status, ""),
        Err(ureq::Error::Timeout(_)) => Outcome::Nothing,
        Err(_) => Outcome::Broken,
    }
}

/// Returns faults, the outcome for the caller, and how often the work runs.
fn cases() -> Vec<(Value, Outcome, u32)> {
    vec![
        (json!({}), Outcome::Answer(200, OWN), 1),
        (
            json!({"times": 0, "outage": true}),
            Outcome::Answer(200, OWN),
            1,
        ),
        (
            json!({"skip": 1, "outage": true}),
            Outcome::Answer(200, OWN),
            1,
        ),
        (
            json!({"only": "load", "outage": true}),
            Outcome::Answer(200, OWN),
            1,
        ),
        (json!({"outage": true}), Outcome::Answer(503, ""), 0),
        (json!({"drop_before": true}), Outcome::Broken, 0),
        (json!({"drop_after": true}), Outcome::Broken, 1),
        (json!({"lose_answer": true}), Outcome::Nothing, 1),
        (json!({"delay_ms": 60_000}), Outcome::Nothing, 1),
        (json!({"cut_after": 0}), Outcome::Broken, 1),
        (json!({"wrong_id": true}), Outcome::Answer(200, OTHER), 1),
    ]
}

#[test]
fn verify_engine_faults() {
    for (faults, expected, ran) in cases() {
        let runtime = support::runtime();
        let settings = EngineSettings {
            prefill_us: 0,
            step_us: 0,
            ..EngineSettings::default()
        };
        let running = runtime.block_on(engine::start(settings)).expect("a start");
        let at = running.addr;
        set_faults(at, &faults);
        let actual = outcome(
            at,
            "POST /v1/chat/completions",
            &chat(false, &["abc"]),
            &expected,
        );
        assert_eq!(actual, expected, "{faults}");
        let ran = json!(ran);
        let counted = poll_until(&ran, || run_counts(at, OWN)["attempts"].clone());
        assert_eq!(counted, ran, "{faults}");
    }
}

#[test]
fn verify_service_faults() {
    for (faults, expected, ran) in cases() {
        let runtime = support::runtime();
        let start = service::start(ServiceSettings::default());
        let running = runtime.block_on(start).expect("a start");
        let at = running.addr;
        set_faults(at, &faults);
        let actual = outcome(at, "PATCH /any/path?x=1", "abc", &expected);
        assert_eq!(actual, expected, "{faults}");
        let ran = json!(ran);
        let counted = poll_until(&ran, || run_counts(at, OWN)["attempts"].clone());
        assert_eq!(counted, ran, "{faults}");
    }
}

#[test]
fn verify_service_echoes() {
    let runtime = support::runtime();
    let start = service::start(ServiceSettings::default());
    let running = runtime.block_on(start).expect("a start");
    let headers = [
        ("x-request-id", "a1"),
        ("x-peppercrank-request", "r1"),
        ("idempotency-key", "k1"),
        ("x-standin-status", "418"),
    ];
    for runs in 1..=2 {
        let response =
            send(running.addr, "PATCH /any/path?x=1", &headers, "abc").expect("an answer");
        let echo = json!({
            "method": "PATCH", "path": "/any/path?x=1", "digest": "ba7816bf8f01cfea", "bytes": 3,
            "request": "r1", "attempt": "a1", "runs": runs,
        });
        assert_eq!(
            (response.status, response.id.as_str(), response.json()),
            (418, "a1", echo)
        );
    }
    for (id, column) in [("a1", "attempts"), ("r1", "requests"), ("k1", "keys")] {
        assert_eq!(run_counts(running.addr, id)[column], 2, "{id}");
    }
}

#[test]
fn verify_crossed_answers() {
    let runtime = support::runtime();
    let settings = EngineSettings {
        prefill_us: 0,
        step_us: 0,
        ..EngineSettings::default()
    };
    let running = runtime.block_on(engine::start(settings)).expect("a start");
    let at = running.addr;
    set_faults(at, &json!({"only": "chat", "skip": 1, "crossed": true}));
    let call = "POST /v1/chat/completions";
    let first = stream(at, call, &[("x-request-id", "a1")], &chat(true, &["abc"]));
    let second = stream(at, call, &[("x-request-id", "a2")], &chat(true, &["xyz"]));
    assert_eq!(
        second, first,
        "the second caller gets the answer of the first"
    );
    assert_eq!(second.events[0]["id"], "a1");
    assert_eq!(
        run_counts(at, "a2")["attempts"],
        1,
        "its own work ran nevertheless"
    );
}

#[test]
fn verify_streams_are_cut_after_the_given_event() {
    let runtime = support::runtime();
    let settings = EngineSettings {
        prefill_us: 0,
        step_us: 0,
        ..EngineSettings::default()
    };
    let running = runtime.block_on(engine::start(settings)).expect("a start");
    for events in 1..=8 {
        set_faults(running.addr, &json!({"cut_after": events}));
        let cut = stream(
            running.addr,
            "POST /v1/chat/completions",
            &[],
            &chat(true, &["abc"]),
        );
        // The seventh event is the last; the end marker is an eighth frame.
        assert_eq!(
            (cut.events.len(), cut.complete),
            (events.min(7), events == 8),
            "{events}"
        );
    }
}

#[test]
fn verify_stop_drains_and_kill_aborts() {
    // The second call takes an hour, so it can only be aborted.
    for (kill, work_ms) in [(false, 100), (true, 3_600_000)] {
        let runtime = support::runtime();
        let settings = ServiceSettings {
            work_ms,
            ..ServiceSettings::default()
        };
        let running = runtime.block_on(service::start(settings)).expect("a start");
        let at = running.addr;
        let waiting = thread::spawn(move || send(at, "GET /any", &[("x-request-id", OWN)], ""));
        let one = json!(1);
        let ran = poll_until(&one, || run_counts(at, OWN)["attempts"].clone());
        assert_eq!(ran, one);
        if kill {
            runtime.block_on(running.kill());
        } else {
            runtime.block_on(running.stop());
        }
        let answer = waiting.join().expect("no panic");
        assert_eq!(answer.is_err(), kill, "{answer:?}");
        assert!(
            send(at, "GET /healthz", &[], "").is_err(),
            "it no longer listens"
        );
    }
}
