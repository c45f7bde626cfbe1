// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests the HTTP interface of the platform stand-in with a raw client.

mod support;

use std::net::SocketAddr;
use std::thread;

use peppercrank_standin::ServerHandle;
use peppercrank_standin::platform;
use peppercrank_standin::platform::PlatformSettings;
use serde_json::Value;
use serde_json::json;
use support::poll_until;
use support::send;
use support::send_with_short_timeout;
use support::set_faults;
use tokio::runtime::Runtime;

const NEW: [(&str, &str); 1] = [("if-none-match", "*")];

fn start_platform(settings: PlatformSettings) -> (Runtime, ServerHandle, SocketAddr) {
    let runtime = support::runtime();
    let running = runtime
        .block_on(platform::start(settings))
        .expect("a start");
    let at = running.addr;
    (runtime, running, at)
}

fn get(at: SocketAddr, path: &str) -> Value {
    send(at, &format!("GET {path}"), &[], "")
        .expect("an answer")
        .json()
}

/// Waits until the platform has received a watch.
fn await_watch(at: SocketAddr) {
    let one = json!(1);
    let watches = poll_until(&one, || get(at, "/calls")["calls"]["watch"].clone());
    assert_eq!(watches, one);
}

#[test]
fn verify_versions_are_store_wide() {
    let (_runtime, _running, at) = start_platform(PlatformSettings::default());
    let on = |version| [("if-match", version)];
    let cases = [
        ("PUT /objects/pool/a", NEW, "1", 200, json!({"version": 1})),
        ("PUT /objects/mark/a", NEW, "2", 200, json!({"version": 2})),
        (
            "PUT /objects/pool/a",
            NEW,
            "3",
            412,
            json!({"version": 1, "body": 1}),
        ),
        (
            "PUT /objects/pool/a",
            on("2"),
            "3",
            412,
            json!({"version": 1, "body": 1}),
        ),
        (
            "PUT /objects/pool/a",
            on("1"),
            "3",
            200,
            json!({"version": 3}),
        ),
        (
            "GET /objects/pool/a",
            NEW,
            "",
            200,
            json!({"version": 3, "body": 3}),
        ),
        (
            "DELETE /objects/pool/a",
            on("1"),
            "",
            412,
            json!({"version": 3, "body": 3}),
        ),
        (
            "DELETE /objects/pool/a",
            on("3"),
            "",
            200,
            json!({"version": 4}),
        ),
        (
            "DELETE /objects/pool/a",
            on("4"),
            "",
            412,
            json!({"version": 4}),
        ),
        (
            "PUT /objects/pool/b",
            on("4"),
            "5",
            412,
            json!({"version": 0}),
        ),
        (
            "GET /watch/pool?since=3",
            NEW,
            "",
            200,
            json!({"revision": 4, "objects": [{"name": "a", "version": 4}]}),
        ),
        ("PUT /objects/pool/a", NEW, "5", 200, json!({"version": 5})),
        (
            "GET /objects/pool",
            NEW,
            "",
            200,
            json!({"revision": 5, "objects": [{"name": "a", "version": 5, "body": 5}]}),
        ),
        (
            "GET /watch/pool?since=5",
            NEW,
            "",
            200,
            json!({"revision": 5, "objects": []}),
        ),
    ];
    for (call, headers, body, status, answer) in cases {
        let response = send(at, call, &headers, body).expect("an answer");
        assert_eq!(
            (response.status, response.json()),
            (status, answer),
            "{call} {headers:?}"
        );
    }
    let calls = get(at, "/calls");
    let counted = json!({"get": 1, "put": 7, "delete": 3, "list": 1, "watch": 2});
    assert_eq!((&calls["calls"], &calls["writes"]), (&counted, &json!(5)));
}

#[test]
fn verify_malformed_calls_are_refused() {
    let (_runtime, _running, at) = start_platform(PlatformSettings::default());
    let long = format!("\"{}\"", "x".repeat(1_000_000));
    let cases = [
        ("PUT /objects/pool/a", vec![], "1", 400),
        ("PUT /objects/pool/a", vec![("if-match", "x")], "1", 400),
        (
            "PUT /objects/pool/a",
            vec![("if-match", "1"), ("if-none-match", "*")],
            "1",
            400,
        ),
        ("PUT /objects/pool/a", NEW.to_vec(), "{", 400),
        ("PUT /objects/pool/a", NEW.to_vec(), &long, 413),
        ("PUT /vms", vec![], "{\"vms\":[{\"name\":\"a\"}]}", 400),
        ("PUT /faults", vec![], "{\"wrong_id\":true}", 400),
        ("GET /objects/pool/a", vec![], "", 404),
        ("GET /watch/pool?since=1", vec![], "", 410),
        ("GET /watch/pool?since=x", vec![], "", 400),
    ];
    for (call, headers, body, status) in cases {
        let response = send(at, call, &headers, body).expect("an answer");
        assert_eq!(response.status, status, "{call} {headers:?}");
    }
    assert_eq!(get(at, "/calls")["writes"], 0);
}

#[test]
fn verify_watch_returns_later_write() {
    let (_runtime, _running, at) = start_platform(PlatformSettings::default());
    let waiting = thread::spawn(move || get(at, "/watch/pool?since=0&wait_ms=60000"));
    await_watch(at);
    send(at, "PUT /objects/pool/a", &NEW, "1").expect("an answer");
    let expected = json!({"revision": 1, "objects": [{"name": "a", "version": 1, "body": 1}]});
    assert_eq!(waiting.join().expect("an answer"), expected);
}

#[test]
fn verify_outage_ends_a_waiting_watch() {
    let (_runtime, _running, at) = start_platform(PlatformSettings::default());
    let waiting = thread::spawn(move || {
        send(at, "GET /watch/pool?since=0&wait_ms=60000", &[], "").expect("an answer")
    });
    await_watch(at);
    set_faults(at, &json!({"outage": true}));
    assert_eq!(waiting.join().expect("an answer").status, 503);
}

#[test]
fn verify_old_tombstones_are_pruned() {
    let settings = PlatformSettings {
        tombstones: 1,
        ..PlatformSettings::default()
    };
    let (_runtime, _running, at) = start_platform(settings);
    for (name, version) in [("a", "1"), ("b", "3")] {
        let path = format!("/objects/pool/{name}");
        send(at, &format!("PUT {path}"), &NEW, "1").expect("an answer");
        let deleted = send(at, &format!("DELETE {path}"), &[("if-match", version)], "");
        assert_eq!(deleted.expect("an answer").status, 200);
    }
    // The tombstone of `a`, version 2, was pruned: a client that only saw version 1 must relist.
    for (since, status) in [(1, 410), (2, 200), (4, 200), (5, 410)] {
        let response = send(at, &format!("GET /watch/pool?since={since}"), &[], "");
        assert_eq!(response.expect("an answer").status, status, "since {since}");
    }
}

#[test]
fn verify_vm_list_lags() {
    let vm = json!({"name": "v", "zone": "rae", "address": "127.0.0.1:1", "role": "agent"});
    for (vms_lag_ms, revision) in [(0, 2), (3_600_000, 1)] {
        let settings = PlatformSettings {
            vms_lag_ms,
            ..PlatformSettings::default()
        };
        let (_runtime, _running, at) = start_platform(settings);
        let updated = send(at, "PUT /vms", &[], &json!({"vms": [vm]}).to_string());
        assert_eq!(updated.expect("an answer").json()["revision"], 2);
        let list = get(at, "/vms");
        assert_eq!(list["revision"], revision, "lag {vms_lag_ms} ms");
        assert_eq!(list["vms"].as_array().map(Vec::len), Some(revision - 1));
    }
}

#[test]
fn verify_platform_faults() {
    // Faults, the status of the write (`None`: no response), whether the write is applied.
    let cases = [
        (json!({"outage": true, "only": "put"}), Some(503), false),
        (json!({"throttle": true, "only": "put"}), Some(429), false),
        (json!({"drop_before": true, "only": "put"}), None, false),
        (json!({"drop_after": true, "only": "put"}), None, true),
        (json!({"lose_answer": true, "only": "put"}), None, true),
        (json!({"delay_ms": 60_000, "only": "put"}), None, true),
        (json!({"cut_after": 3, "only": "put"}), None, true),
        (json!({"outage": true, "only": "get"}), Some(200), true),
    ];
    for (faults, status, effect) in cases {
        let (_runtime, _running, at) = start_platform(PlatformSettings::default());
        set_faults(at, &faults);
        let hangs = faults["lose_answer"] == true || faults["delay_ms"] == 60_000;
        let put = if hangs { send_with_short_timeout } else { send };
        let response = put(at, "PUT /objects/pool/a", &NEW, "1").ok();
        assert_eq!(response.as_ref().map(|s| s.status), status, "{faults}");
        let retry = response.and_then(|s| s.retry_after);
        assert_eq!(retry.is_some(), status == Some(429), "{faults}");
        set_faults(at, &json!({}));
        let stored = poll_until(&effect, || {
            let found = send(at, "GET /objects/pool/a", &[], "").expect("an answer");
            found.status == 200
        });
        assert_eq!(stored, effect, "{faults}");
    }
}

#[test]
fn verify_rates_are_limited() {
    let settings = PlatformSettings {
        writes: 1,
        reads: 0,
        ..PlatformSettings::default()
    };
    let (_runtime, _running, at) = start_platform(settings);
    set_faults(at, &json!({"throttle": true, "times": 1}));
    let response = send(at, "PUT /objects/pool/a", &NEW, "1").expect("an answer");
    assert_eq!(
        (response.status, response.retry_after.as_deref()),
        (429, Some("1"))
    );
    assert_eq!(get(at, "/calls")["throttled"], 1);
    let response = send(at, "GET /objects/pool", &[], "").expect("an answer");
    assert_eq!(
        response.status, 200,
        "reads have their own limit, which is off here"
    );
}
