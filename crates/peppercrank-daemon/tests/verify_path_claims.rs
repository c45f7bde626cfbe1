// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Whole path: a call with an idempotency key runs once, whatever the platform does.

mod bench;

use std::net::SocketAddr;
use std::thread;

use bench::ACME;
use bench::Bench;
use bench::client::Received;
use bench::client::poll_until;
use bench::client::run_counts;
use bench::client::send;
use bench::client::set_faults;
use serde_json::json;

fn order(bench: &Bench, key: &str) -> Received {
    order_at(bench.at(), key)
}

fn order_at(at: SocketAddr, key: &str) -> Received {
    let headers = [ACME, ("idempotency-key", key)];
    let call = "POST /services/app/order";
    send(at, call, &headers, "one trolley").expect("an answer")
}

/// How often the call of a key ran at any target.
fn ran(bench: &Bench, key: &str) -> u64 {
    let runs = |t: &bench::Target| run_counts(t.at, key)["keys"].as_u64();
    bench.targets.iter().filter_map(runs).sum()
}

#[test]
fn verify_key_sent_twice_runs_once() {
    let bench = Bench::services(2);
    let first = order(&bench, "k1");
    assert_eq!(first.status, 200, "{}", first.text);
    for _ in 0..5 {
        let again = order(&bench, "k1");
        let error = &again.json()["error"];
        assert_eq!(
            (again.status, &error["code"]),
            (409, &json!("already_begun"))
        );
        assert_eq!(error["run"], "may_have_run");
    }
    assert_eq!(ran(&bench, "k1"), 1);
}

#[test]
fn verify_lost_claims_run_once_at_most() {
    // What the platform does to the first write or to all, and whether the call runs in the end.
    let cases = [
        (
            json!({"only": "put", "times": 1, "drop_before": true}),
            true,
        ),
        (json!({"only": "put", "times": 1, "drop_after": true}), true),
        (json!({"only": "put", "times": 1, "cut_after": 3}), true),
        (json!({"only": "put", "times": 1, "outage": true}), true),
        (json!({"only": "put", "drop_after": true}), true),
        (json!({"outage": true}), false),
        (json!({"only": "put", "outage": true}), false),
        (json!({"only": "put", "lose_answer": true}), false),
    ];
    let bench = Bench::services(2);
    for (n, (switches, runs)) in cases.into_iter().enumerate() {
        set_faults(bench.platform.addr, &switches);
        let key = format!("k{n}");
        let seen = order(&bench, &key);
        set_faults(bench.platform.addr, &json!({}));
        let count = ran(&bench, &key);
        let about = format!("{switches}: {count} runs, {}", seen.text);
        assert!(count <= 1, "{about}");
        assert_eq!(seen.status == 200, count == 1, "{about}");
        if seen.status != 200 {
            assert_eq!(seen.json()["error"]["run"], "not_run", "{about}");
        }
        assert_eq!(count == 1, runs, "{about}");
    }
}

#[test]
fn verify_key_sent_through_the_other_router_runs_once() {
    let mut bench = Bench::services(2);
    let other = bench.start_second();
    // While the first runs, and after it has ended.
    bench.faults(&json!({"only": "call", "delay_ms": 1_500}));
    let at = bench.at();
    let first = thread::spawn(move || order_at(at, "k1"));
    assert_eq!(poll_until(&1, || ran(&bench, "k1")), 1, "at work");
    let during = order_at(other, "k1");
    let first = first.join().expect("an answer");
    assert_eq!(first.status, 200, "{}", first.text);
    bench.faults(&json!({}));
    let after = order_at(other, "k1");
    for again in [during, after] {
        assert_eq!(again.status, 409, "{}", again.text);
        assert_eq!(
            again.json()["error"]["run"],
            "may_have_run",
            "{}",
            again.text
        );
    }
    assert_eq!(ran(&bench, "k1"), 1);
}

#[test]
fn verify_key_at_both_routers_runs_once_while_write_answers_are_lost() {
    let mut bench = Bench::services(2);
    let other = bench.start_second();
    for (n, switches) in [
        json!({"only": "put", "times": 1, "drop_after": true}),
        json!({"only": "put", "times": 2, "drop_after": true}),
        json!({"only": "put", "times": 1, "cut_after": 3}),
        json!({"only": "put", "times": 1, "drop_before": true}),
        json!({"only": "put", "times": 1, "throttle": true}),
    ]
    .iter()
    .enumerate()
    {
        set_faults(bench.platform.addr, switches);
        let key = format!("both-{n}");
        let at = bench.at();
        let seen = thread::scope(|scope| {
            let both = [at, other].map(|at| {
                let key = key.as_str();
                scope.spawn(move || order_at(at, key))
            });
            both.map(|one| one.join().expect("an answer"))
        });
        set_faults(bench.platform.addr, &json!({}));
        let served = seen.iter().filter(|s| s.status == 200).count();
        let about = format!("{switches}: {} {}", seen[0].text, seen[1].text);
        assert_eq!(ran(&bench, &key), 1, "{about}");
        assert_eq!(served, 1, "{about}");
    }
}
