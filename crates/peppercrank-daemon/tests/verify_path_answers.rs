// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Whole path: a caller gets the whole answer to its own request, or a clear error.

mod bench;

use std::net::SocketAddr;
use std::thread;

use bench::ACME;
use bench::Bench;
use bench::CHAT;
use bench::client::Received;
use bench::client::chat;
use bench::client::send;
use bench::client::stream;
use bench::quick;
use peppercrank_standin::engine::EngineSettings;
use serde_json::Value;
use serde_json::json;

/// The first 16 digits of the SHA-256 of `abc`, as FIPS 180 gives it.
const ABC: &str = "ba7816bf8f01cfea";

#[test]
fn verify_answer_is_the_callers_own() {
    let bench = Bench::engines(vec![quick(), quick()]);
    let told = stream(bench.at(), CHAT, &[ACME], &chat(true, &["abc"]));
    assert!(told.complete, "{told:?}");
    assert!(
        told.text().starts_with(&format!("digest:{ABC} ")),
        "{told:?}"
    );
    let whole = send(bench.at(), CHAT, &[ACME], &chat(false, &["abc"])).expect("an answer");
    let body = whole.json();
    let text = body["choices"][0]["message"]["content"]
        .as_str()
        .expect("a text");
    let id = whole.header("x-peppercrank-request");
    assert!(
        text.starts_with(&format!("digest:{ABC} request:{id} ")),
        "{text} {id}"
    );
    assert_eq!(bench.runs(id), 1);
}

/// Fault switches of one call and the reason that they come to.
fn faults() -> Vec<(Value, &'static str)> {
    vec![
        (json!({"wrong_id": true}), "wrong_answer"),
        (json!({"drop_before": true}), "cut"),
        (json!({"drop_after": true}), "cut"),
        (json!({"cut_after": 0}), "cut"),
    ]
}

/// Sets faults for one chat where the chat of `abc` goes, and sends it.
fn one_fault(bench: &Bench, switches: &Value, streamed: bool, repeatable: &str) -> Received {
    let headers = [ACME, ("x-peppercrank-repeatable", repeatable)];
    let body = chat(streamed, &["abc"]);
    let first = send(bench.at(), CHAT, &headers, &body).expect("an answer");
    assert_eq!(first.status, 200, "{}", first.text);
    let mut switches = switches.clone();
    switches["only"] = json!("chat");
    switches["times"] = json!(1);
    let home = bench.target(first.header("x-peppercrank-target"));
    bench::client::set_faults(home.at, &switches);
    let seen = send(bench.at(), CHAT, &headers, &body).expect("an answer");
    let left = send(home.at, "GET /faults", &[], "")
        .expect("an answer")
        .json();
    assert_eq!(left["times"], 0, "{switches} was met");
    seen
}

#[test]
fn verify_repeatable_chat_is_tried_elsewhere() {
    // Each cut opens the breaker of one target for some 100 ms, so there is one for each cut.
    for streamed in [false, true] {
        let bench = Bench::engines(vec![quick(); 4]);
        for (switches, _) in faults() {
            let seen = one_fault(&bench, &switches, streamed, "yes");
            assert_eq!(seen.status, 200, "{switches}: {}", seen.text);
            let own = format!("digest:{ABC} ");
            assert_eq!(
                seen.text.matches(&own).count(),
                1,
                "{switches}: {}",
                seen.text
            );
            let request = format!("request:{} ", seen.header("x-peppercrank-request"));
            assert_eq!(
                seen.text.matches(&request).count(),
                1,
                "{switches}: {}",
                seen.text
            );
        }
    }
}

#[test]
fn verify_unrepeatable_chat_is_not_tried_again() {
    let bench = Bench::engines(vec![quick(); 4]);
    for (switches, code) in faults() {
        let seen = one_fault(&bench, &switches, false, "no");
        assert_eq!(seen.status, 502, "{switches}: {}", seen.text);
        let error = &seen.json()["error"];
        assert_eq!(
            (&error["run"], &error["code"]),
            (&json!("may_have_run"), &json!(code))
        );
        let runs = bench.runs(seen.header("x-peppercrank-request"));
        assert!(runs <= 1, "{switches}: {runs} runs");
    }
}

#[test]
fn verify_cut_stream_is_resumed() {
    for cut in [1, 3, 6, 7] {
        let bench = Bench::engines(vec![quick()]);
        bench.faults(&json!({"only": "chat", "cut_after": cut}));
        let told = stream(bench.at(), CHAT, &[ACME], &chat(true, &["abc"]));
        assert!(told.complete, "cut after {cut}: {told:?}");
        assert_eq!(told.events.len(), 7, "each event once, cut after {cut}");
        assert!(told.text().starts_with(&format!("digest:{ABC} ")));
        let id = told
            .text()
            .split("request:")
            .nth(1)
            .map(|t| t[..32].to_owned());
        assert_eq!(bench.runs(&id.expect("an id")), 1, "cut after {cut}");
    }
}

#[test]
fn verify_stream_that_cannot_be_resumed_ends_with_an_error() {
    let forgetful = EngineSettings {
        resumes: false,
        ..quick()
    };
    let bench = Bench::engines(vec![forgetful]);
    bench.faults(&json!({"only": "chat", "cut_after": 3}));
    let told = stream(bench.at(), CHAT, &[ACME], &chat(true, &["abc"]));
    assert!(!told.complete, "a cut answer must not look whole: {told:?}");
    let error = &told.events.last().expect("an event")["error"];
    assert_eq!(
        (&error["code"], &error["run"]),
        (&json!("cut"), &json!("may_have_run"))
    );
    assert_eq!(told.events.len(), 4, "three events and the error");
}

#[test]
fn verify_lost_answer_ends_at_the_deadline() {
    let bench = Bench::engines(vec![quick(), quick()]);
    bench.faults(&json!({"only": "chat", "lose_answer": true}));
    for repeatable in ["no", "yes"] {
        let headers = [
            ACME,
            ("x-peppercrank-deadline-ms", "1500"),
            ("x-peppercrank-repeatable", repeatable),
        ];
        let seen = send(bench.at(), CHAT, &headers, &chat(true, &["abc"])).expect("an answer");
        let error = &seen.json()["error"];
        assert_eq!(
            (seen.status, &error["run"]),
            (504, &json!("may_have_run")),
            "{error}"
        );
        assert_eq!(
            bench.runs(seen.header("x-peppercrank-request")),
            1,
            "repeatable {repeatable}"
        );
    }
}

#[test]
fn verify_unrepeatable_call_runs_once_at_most() {
    let cases = [
        (json!({"drop_before": true}), 0),
        (json!({"drop_after": true}), 1),
        (json!({"cut_after": 0}), 1),
        (json!({"wrong_id": true}), 1),
    ];
    for (mut switches, ran) in cases {
        let bench = Bench::services(2);
        switches["only"] = json!("call");
        let before: u64 = bench.targets.iter().map(|t| count(t.at)).sum();
        bench.faults(&switches);
        let seen = send(
            bench.at(),
            "POST /services/app/order?x=1",
            &[ACME],
            "one trolley",
        );
        let seen = seen.expect("an answer");
        let error = &seen.json()["error"];
        assert_eq!(
            (seen.status, &error["run"]),
            (502, &json!("may_have_run")),
            "{switches}"
        );
        let all: u64 = bench.targets.iter().map(|t| count(t.at)).sum();
        assert_eq!(all - before, ran, "{switches}");
    }
}

/// The runs of a target.
fn count(at: SocketAddr) -> u64 {
    let runs = send(at, "GET /runs", &[], "").expect("an answer").json();
    runs["total"].as_u64().expect("a number")
}

/// Tells whether an answer is to the request that its own head names.
fn is_own(seen: &Received) -> bool {
    let request = format!("request:{} ", seen.header("x-peppercrank-request"));
    seen.status == 200 && seen.text.matches("request:").count() == 1 && seen.text.contains(&request)
}

#[test]
fn verify_late_answers_reach_nobody_else() {
    let bench = Bench::engines(vec![quick()]);
    bench.faults(&json!({"only": "chat", "times": 8, "delay_ms": 400}));
    let at = bench.at();
    let late = |n: usize| {
        let body = chat(n.is_multiple_of(2), &[&format!("late {n}")]);
        let headers = [ACME, ("x-peppercrank-deadline-ms", "100")];
        thread::spawn(move || send(at, CHAT, &headers, &body).expect("an answer"))
    };
    let late: Vec<_> = (0..8).map(late).collect();
    for seen in late {
        let seen = seen.join().expect("an answer");
        assert_eq!(seen.status, 504, "{}", seen.text);
    }
    // While the late answers come in, others must get their own.
    let mut asked = 0;
    while asked < 300 {
        let body = chat(asked % 2 == 0, &[&format!("in time {asked}")]);
        let seen = send(at, CHAT, &[ACME], &body).expect("an answer");
        assert!(is_own(&seen), "{seen:?}");
        asked += 1;
    }
}

#[test]
fn verify_parallel_answers_are_their_own() {
    let bench = Bench::engines(vec![quick(), quick()]);
    let at = bench.at();
    let caller = |caller: usize| {
        thread::spawn(move || {
            for n in 0..25 {
                let body = chat(n % 2 == 0, &[&format!("caller {caller} asks {n}")]);
                let seen = send(at, CHAT, &[ACME], &body).expect("an answer");
                assert!(is_own(&seen), "{seen:?}");
            }
        })
    };
    let callers: Vec<_> = (0..16).map(caller).collect();
    for caller in callers {
        caller.join().expect("own answers");
    }
}
