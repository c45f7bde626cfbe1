// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Whole path: what is refused at once, with its reason, and what the cap holds against.

mod bench;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use bench::ACME;
use bench::Bench;
use bench::CHAT;
use bench::MODELS;
use bench::client::Received;
use bench::client::chat;
use bench::client::poll_until;
use bench::client::running;
use bench::client::send;
use bench::long;
use bench::quick;
use peppercrank_standin::engine::EngineSettings;
use serde_json::Value;
use serde_json::json;

/// A slow engine: a quarter of a second a token.
fn slow() -> EngineSettings {
    EngineSettings {
        step_us: 250_000,
        load_lag_ms: 0,
        ..quick()
    }
}

/// Replaces an object of the platform.
fn revise(bench: &Bench, path: &str, spec: &Value) {
    let call = format!("GET /objects/{path}");
    let now = send(bench.platform.addr, &call, &[], "").expect("an answer");
    let version = now.json()["version"].to_string();
    let call = format!("PUT /objects/{path}");
    let body = json!({"spec": spec}).to_string();
    let written = send(bench.platform.addr, &call, &[("if-match", &version)], &body);
    assert_eq!(written.expect("an answer").status, 200, "{path}");
}

/// Engines whose agents have a cap, a floor, a queue and a wait of these sizes in force.
fn tight(engines: usize, cap: f64, floor: u64, queue: u32, wait_ms: u64) -> Bench {
    let bench = Bench::engines(vec![slow(); engines]);
    let policy = json!({
        "cap": cap, "floor": floor, "queue": queue, "wait_ms": wait_ms, "prefix": 256,
        "tries": 1, "retries": 0.0,
    });
    let pool = json!({"serves": {"models": ["m"]}, "policy": policy});
    revise(&bench, &format!("pool/{MODELS}"), &pool);
    for target in &bench.targets {
        let desk = &target.agent.as_ref().expect("an agent").running.agent.desk;
        let tight = poll_until(&true, || desk.status().cap.0 <= floor.max(1) * 2);
        assert!(tight, "{:?}", desk.status());
    }
    bench
}

fn ask(at: SocketAddr, headers: &[(&str, &str)], text: &str) -> Received {
    let headers = [&[ACME], headers].concat();
    send(at, CHAT, &headers, &chat(false, &[text])).expect("an answer")
}

fn code(seen: &Received) -> (u16, Value, Value) {
    let error = &seen.json()["error"];
    (seen.status, error["run"].clone(), error["code"].clone())
}

#[test]
fn verify_pool_of_one_leaving_refuses_with_a_time() {
    let bench = Bench::engines(vec![quick()]);
    let target = &bench.targets[0];
    let mark = json!({"target": target.name, "action": "shutdown"});
    bench.write(&format!("mark/{}", target.name), &mark);
    let desk = &target.agent.as_ref().expect("an agent").running.agent.desk;
    assert!(
        poll_until(&true, || desk.status().leaving),
        "the agent knows"
    );
    let seen = ask(bench.at(), &[], "abc");
    let (status, run, _) = code(&seen);
    assert_eq!((status, run), (503, json!("not_run")), "{}", seen.text);
    let after = seen
        .retry_after
        .as_deref()
        .and_then(|s| s.parse::<u64>().ok());
    assert!(
        after.is_some_and(|s| s >= 1),
        "{:?} {}",
        seen.retry_after,
        seen.text
    );
    assert_eq!(
        bench.runs(seen.header("x-peppercrank-request")),
        0,
        "it is true"
    );
}

#[test]
fn verify_templates_that_are_unknown_are_told() {
    let bench = Bench::engines(vec![quick()]);
    bench.write("organisation/lost", &json!({"template": "nowhere"}));
    let lost = (ACME.0, "lost");
    let body = chat(false, &["abc"]);
    let refused = (403, json!("not_run"), json!("template_unknown"));
    let seen = || code(&send(bench.at(), CHAT, &[lost], &body).expect("an answer"));
    assert_eq!(poll_until(&refused, seen), refused);
    assert_eq!(
        ask(bench.at(), &[], "abc").status,
        200,
        "nobody else is disturbed"
    );
}

#[test]
fn verify_target_of_a_pool_without_template_serves_nothing() {
    let mut bench = Bench::engines(vec![quick()]);
    // Another engine, in a pool that no object describes.
    bench.add_engine(quick(), &json!({"target": {"pool": "nowhere"}}));
    let agent = &bench.targets[1]
        .agent
        .as_ref()
        .expect("an agent")
        .running
        .agent;
    assert!(
        poll_until(&true, || agent.fleet.is_ready()),
        "it has the configuration"
    );
    for n in 0..10 {
        let seen = ask(bench.at(), &[], &format!("chat {n}"));
        assert_eq!(seen.status, 200, "{}", seen.text);
        assert_eq!(seen.header("x-peppercrank-target"), bench.targets[0].name);
    }
    let seen = send(bench.at(), "GET /services/nowhere/x", &[ACME], "").expect("an answer");
    assert_eq!(code(&seen), (404, json!("not_run"), json!("pool_unknown")));
    assert_eq!(
        agent.desk.status().cap.0,
        0,
        "without a policy there is no room"
    );
}

#[test]
fn verify_deadline_that_passes_in_the_queue_is_refused_then() {
    // Both engines are at work for a minute, on chats that cost little. The late one costs more
    // than the cap, whatever it adds to the mean by waiting, and so would run alone only.
    let bench = tight(2, 1.25, 100, 20, 60_000);
    let at = bench.at();
    let few = |n: usize| {
        let body = chat(true, &[&format!("chat {n}")]).replace(":6", ":240");
        thread::spawn(move || send(at, CHAT, &[ACME], &body))
    };
    let _asked: Vec<_> = (0..16).map(few).collect();
    let all = || bench.targets.iter().all(|t| running(t.at) != json!(0));
    assert!(poll_until(&true, all), "both engines are at work");
    let late = long(false).replace("4000", "60000");
    let headers = [ACME, ("x-peppercrank-deadline-ms", "2000")];
    let seen = send(at, CHAT, &headers, &late).expect("an answer");
    let (_, run, reason) = code(&seen);
    let runs = bench.runs(seen.header("x-peppercrank-request"));
    assert_eq!(run, "not_run", "{runs} runs: {}", seen.text);
    assert_eq!(reason, "deadline", "{}", seen.text);
    assert_eq!(runs, 0, "it is true");
    assert!(all(), "both are still at work: nobody waited for them");
}

#[test]
fn verify_cap_holds_while_many_ask() {
    let bench = tight(1, 1.25, 2_000, 2, 200);
    let agent = &bench.targets[0]
        .agent
        .as_ref()
        .expect("an agent")
        .running
        .agent;
    let over = Arc::new(AtomicBool::new(false));
    let (ended, desk) = (Arc::clone(&over), Arc::clone(&agent.desk));
    let watching = thread::spawn(move || {
        let mut looks = 0;
        while looks < 10 || !ended.load(Ordering::Relaxed) {
            let status = desk.status();
            assert!(status.reserved <= status.cap, "{status:?}");
            looks += 1;
        }
    });
    let at = bench.at();
    let callers = (0..16).map(|n| {
        let body = long(false)
            .replace("4000", "200")
            .replace("abc", &format!("chat {n}"));
        let headers = [ACME, ("x-peppercrank-deadline-ms", "3000")];
        thread::spawn(move || send(at, CHAT, &headers, &body).expect("an answer"))
    });
    let callers = callers.collect::<Vec<_>>();
    let mut reasons = Vec::new();
    for caller in callers {
        let seen = caller.join().expect("an answer");
        let (_, run, reason) = code(&seen);
        let runs = bench.runs(seen.header("x-peppercrank-request"));
        assert!(run != "not_run" || runs == 0, "{runs} runs: {}", seen.text);
        reasons.push(reason);
    }
    over.store(true, Ordering::Relaxed);
    watching.join().expect("never over the cap");
    let many = reasons.iter().filter(|r| *r == "queue_full").count();
    assert!(many > 0, "{reasons:?}");
}
