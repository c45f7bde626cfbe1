// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Whole path: agents killed, targets leaving, callers gone, the platform away.

mod bench;

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;

use bench::ACME;
use bench::Bench;
use bench::CHAT;
use bench::Daemon;
use bench::client::Received;
use bench::client::chat;
use bench::client::poll_until;
use bench::client::running;
use bench::client::send;
use bench::client::set_faults;
use bench::client::stream;
use bench::client::stream_with;
use bench::long;
use bench::quick;
use peppercrank_standin::engine::EngineSettings;
use serde_json::Value;
use serde_json::json;

/// An engine that takes a quarter of a second a token, long enough to be met at work.
fn slow() -> EngineSettings {
    EngineSettings {
        step_us: 250_000,
        load_lag_ms: 0,
        ..quick()
    }
}

/// Engines whose answers take some 12 s: all streams of a test are at work together, though it takes long until the last has begun.
/// With answers of 3.5 s the first had ended before the last began, once, while three builds ran beside it; until all
/// had begun it took 0.04 s on an idle machine and 0.9 s beside twelve busy processes.
fn slowest() -> EngineSettings {
    EngineSettings {
        step_us: 1_000_000,
        ..slow()
    }
}

/// Waits until so many chats run at a target.
fn await_running(at: SocketAddr, count: u64) {
    let count = json!(count);
    assert_eq!(poll_until(&count, || running(at)), count);
}

fn ask(bench: &Bench, repeatable: &str) -> Received {
    let headers = [ACME, ("x-peppercrank-repeatable", repeatable)];
    send(bench.at(), CHAT, &headers, &chat(false, &["abc"])).expect("an answer")
}

/// The place of the target where the chat of `abc` goes.
fn home(bench: &Bench) -> usize {
    let seen = ask(bench, "yes");
    let name = seen.header("x-peppercrank-target").to_owned();
    let found = bench.targets.iter().position(|t| t.name == name);
    found.expect("a target")
}

#[test]
fn verify_agent_killed_before_and_after() {
    for repeatable in ["yes", "no"] {
        let mut bench = Bench::engines(vec![quick(), quick()]);
        let home = home(&bench);
        // After its answer was delivered its death changes nothing for that request; the next
        // one did not run there, so that even one that may not run twice is tried elsewhere.
        bench.targets[home].kill_agent();
        let seen = ask(&bench, repeatable);
        assert_eq!(seen.status, 200, "repeatable {repeatable}: {}", seen.text);
        assert_eq!(bench.runs(seen.header("x-peppercrank-request")), 1);
    }
}

#[test]
fn verify_agent_killed_during_a_whole_answer() {
    for (repeatable, status) in [("yes", 200), ("no", 502)] {
        let mut bench = Bench::engines(vec![slow(), slow()]);
        let home = home(&bench);
        let at = bench.at();
        let waiting = thread::spawn(move || {
            let headers = [ACME, ("x-peppercrank-repeatable", repeatable)];
            send(at, CHAT, &headers, &chat(false, &["abc"])).expect("an answer")
        });
        await_running(bench.targets[home].at, 1);
        bench.targets[home].kill_agent();
        let seen = waiting.join().expect("an answer");
        assert_eq!(
            seen.status, status,
            "repeatable {repeatable}: {}",
            seen.text
        );
        let runs = bench.runs(seen.header("x-peppercrank-request"));
        assert_eq!(
            runs,
            if status == 200 { 2 } else { 1 },
            "repeatable {repeatable}"
        );
    }
}

#[test]
fn verify_a_request_at_an_agent_that_is_held_dead_is_given_up() {
    for (repeatable, status) in [("yes", 200), ("no", 502)] {
        let bench = Bench::engines(vec![slow(), slow()]);
        let home = home(&bench);
        let at = bench.at();
        let waiting = thread::spawn(move || {
            let headers = [ACME, ("x-peppercrank-repeatable", repeatable)];
            send(at, CHAT, &headers, &chat(false, &["abc"])).expect("an answer")
        });
        await_running(bench.targets[home].at, 1);
        // Its sockets stay open: without the members' word the router waited for the deadline.
        let agent = bench.targets[home].agent.as_ref().expect("an agent");
        let paused = agent.pause();
        let seen = waiting.join().expect("an answer");
        assert_eq!(
            seen.status, status,
            "repeatable {repeatable}: {}",
            seen.text
        );
        let reason = seen.header("x-peppercrank-reason");
        assert_eq!(reason, if status == 200 { "" } else { "cut" });
        drop(paused);
    }
}

#[test]
fn verify_agent_killed_during_a_stream() {
    let mut bench = Bench::engines(vec![slow(), slow()]);
    let home = home(&bench);
    let at = bench.at();
    let (tx, begun) = mpsc::channel();
    let waiting = thread::spawn(move || {
        // The receiver needs the first only.
        let tell = move |n| {
            let _heard = tx.send(n);
        };
        stream_with(at, CHAT, &[ACME], &chat(true, &["abc"]), tell)
    });
    begun.recv().expect("an event");
    bench.targets[home].kill_agent();
    let told = waiting.join().expect("events");
    assert!(!told.complete, "a cut answer must not look whole: {told:?}");
    let error = &told.events.last().expect("an event")["error"];
    assert_eq!(
        (&error["run"], &error["code"]),
        (&json!("may_have_run"), &json!("cut"))
    );
}

#[test]
fn verify_caller_gone_cancels_a_stream() {
    let bench = Bench::engines(vec![slow()]);
    let at = bench.targets[0].at;
    await_running(at, 0);
    drop(bench.call(&long(true)));
    await_running(at, 0);
}

#[test]
fn verify_platform_away_at_the_start_and_later() {
    let mut bench = Bench::empty();
    set_faults(bench.platform.addr, &json!({"outage": true}));
    bench.start_router(&json!({}));
    let ready = |bench: &Bench| {
        send(bench.at(), "GET /readyz", &[], "")
            .expect("an answer")
            .status
    };
    assert_eq!(ready(&bench), 503, "without a configuration");
    let refused = ask(&bench, "yes");
    let error = refused.json()["error"].clone();
    assert_eq!(
        (refused.status, &error["run"]),
        (503, &json!("not_run")),
        "{error}"
    );
    assert_eq!(error["code"], "not_ready");
    set_faults(bench.platform.addr, &json!({}));
    assert_eq!(
        poll_until(&200, || ready(&bench)),
        200,
        "once the platform is back"
    );
}

#[test]
fn verify_requests_run_on_without_the_platform() {
    let bench = Bench::engines(vec![quick(), quick()]);
    for away in [
        json!({"outage": true}),
        json!({"lose_answer": true}),
        json!({"throttle": true}),
    ] {
        set_faults(bench.platform.addr, &away);
        for _ in 0..20 {
            let seen = ask(&bench, "no");
            assert_eq!(seen.status, 200, "{away}: {}", seen.text);
        }
    }
}

#[test]
fn verify_leaving_target_gets_nothing_new_and_finishes() {
    let bench = Bench::engines(vec![slow(), slow()]);
    let home = home(&bench);
    let leaving = &bench.targets[home];
    let at = bench.at();
    let begun = thread::spawn(move || stream(at, CHAT, &[ACME], &chat(true, &["abc"])));
    await_running(leaving.at, 1);
    let mark = json!({"target": leaving.name, "action": "shutdown"});
    bench.write(&format!("mark/{}", leaving.name), &mark);
    let agent = &leaving.agent.as_ref().expect("an agent").running.agent;
    assert!(
        poll_until(&true, || agent.desk.status().leaving),
        "the agent knows"
    );
    let before = total(leaving.at);
    let ask = |n| {
        let body = chat(false, &[&format!("new {n}")]);
        thread::spawn(move || send(at, CHAT, &[ACME], &body).expect("an answer"))
    };
    let asked: Vec<_> = (0..16).map(ask).collect();
    for seen in asked {
        let seen = seen.join().expect("an answer");
        assert_eq!(seen.status, 200, "{}", seen.text);
    }
    assert_eq!(total(leaving.at), before, "nothing new");
    let told = begun.join().expect("events");
    assert!(told.complete, "what was in progress ends whole: {told:?}");
}

fn total(at: SocketAddr) -> Value {
    let runs = send(at, "GET /runs", &[], "").expect("an answer");
    runs.json()["total"].clone()
}

#[test]
fn verify_stop_under_load_cuts_nothing() {
    for router in [true, false] {
        let mut bench = Bench::engines(vec![slowest(), slowest()]);
        let at = bench.at();
        let ask = move |n: usize| {
            let text = format!("chat {n}");
            thread::spawn(move || stream(at, CHAT, &[ACME], &chat(true, &[&text])))
        };
        let streams: Vec<_> = (0..24).map(ask).collect();
        let all = || {
            bench
                .targets
                .iter()
                .filter_map(|t| running(t.at).as_u64())
                .sum()
        };
        assert_eq!(poll_until(&24, all), 24, "all at work");
        let stopped = if router {
            let daemon = bench.router.take().expect("a router");
            daemon.tell_to_stop();
            daemon.finished()
        } else {
            let daemon: Daemon<_> = bench.targets[0].agent.take().expect("an agent");
            daemon.tell_to_stop();
            daemon.finished()
        };
        assert_eq!(stopped.cut, 0, "router {router}");
        for stream in streams {
            let told = stream.join().expect("events");
            assert!(told.complete, "router {router}: {told:?}");
        }
    }
}
