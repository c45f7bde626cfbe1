// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Whole path: engines that cross their answers, are out, work on for nobody, or are to be drained.

mod bench;

use bench::ACME;
use bench::Bench;
use bench::CHAT;
use bench::client::chat;
use bench::client::poll_until;
use bench::client::running;
use bench::client::send;
use bench::long;
use bench::quick;
use peppercrank_standin::engine::EngineSettings;
use serde_json::json;

/// An engine that takes a quarter of a second a token, long enough to be met at work.
fn slow() -> EngineSettings {
    EngineSettings {
        step_us: 250_000,
        load_lag_ms: 0,
        ..quick()
    }
}

#[test]
fn verify_crossed_events_are_never_passed_on() {
    let bench = Bench::engines(vec![quick()]);
    send(bench.at(), CHAT, &[ACME], &chat(false, &["xyz"])).expect("an answer");
    bench.faults(&json!({"only": "chat", "crossed": true}));
    for streamed in [false, true] {
        let body = chat(streamed, &["abc"]);
        let seen = send(bench.at(), CHAT, &[ACME], &body).expect("an answer");
        assert!(
            !seen.text.contains("digest:"),
            "streamed {streamed}: {}",
            seen.text
        );
    }
}

#[test]
fn verify_outage_is_the_targets_failure() {
    let bench = Bench::engines(vec![quick()]);
    bench.faults(&json!({"only": "chat", "outage": true}));
    let headers = [ACME, ("x-peppercrank-repeatable", "no")];
    let seen = send(bench.at(), CHAT, &headers, &chat(false, &["abc"])).expect("an answer");
    let error = &seen.json()["error"];
    // An answer without an id is not the answer to another.
    assert_eq!(
        (seen.status, &error["code"]),
        (502, &json!("target_failed"))
    );
}

#[test]
fn verify_caller_gone_cancels_a_whole_answer() {
    let bench = Bench::engines(vec![slow()]);
    drop(bench.call(&long(false)));
    let zero = json!(0);
    // At 4,000 tokens the engine would be at work for 1,000 s.
    let left = poll_until(&zero, || running(bench.targets[0].at));
    assert_eq!(left, zero, "nobody waits for it any more");
}

#[test]
fn verify_leaving_target_is_drained() {
    for busy in [false, true] {
        let bench = Bench::engines(vec![slow()]);
        let leaving = &bench.targets[0];
        let begun = busy.then(|| bench.call(&chat(true, &["abc"])));
        let mark = json!({"target": leaving.name, "action": "shutdown"});
        bench.write(&format!("mark/{}", leaving.name), &mark);
        let agent = &leaving.agent.as_ref().expect("an agent").running.agent;
        let drained = poll_until(&true, || *agent.desk.drained().borrow());
        assert!(drained, "busy {busy}: {:?}", agent.desk.status());
        drop(begun);
    }
}
