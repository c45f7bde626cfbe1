// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests the HTTP interface of the engine stand-in with a raw client.

mod support;

use std::net::SocketAddr;

use peppercrank_standin::ServerHandle;
use peppercrank_standin::engine;
use peppercrank_standin::engine::EngineSettings;
use serde_json::Value;
use serde_json::json;
use support::chat;
use support::poll_until;
use support::run_counts;
use support::send;
use support::send_with_short_timeout;
use support::set_faults;
use support::stream;
use tokio::runtime::Runtime;

const CHAT: &str = "POST /v1/chat/completions";

/// The first 16 digits of the SHA-256 of `abc`, from the examples of FIPS 180.
const ABC_DIGEST: &str = "ba7816bf8f01cfea";

/// Returns settings of an engine whose work takes no time.
fn instant_engine() -> EngineSettings {
    EngineSettings {
        incarnation: 7,
        prefill_us: 0,
        step_us: 0,
        load_lag_ms: 0,
        events_late_ms: 0,
        ..EngineSettings::default()
    }
}

/// Returns settings of an engine whose answers do not finish while a test runs.
fn stalled_engine() -> EngineSettings {
    EngineSettings {
        slots: 1,
        step_us: 3_600_000_000,
        ..instant_engine()
    }
}

fn start_engine(settings: EngineSettings) -> (Runtime, ServerHandle, SocketAddr) {
    let runtime = support::runtime();
    let running = runtime.block_on(engine::start(settings)).expect("a start");
    let at = running.addr;
    (runtime, running, at)
}

fn get(at: SocketAddr, path: &str) -> Value {
    send(at, &format!("GET {path}"), &[], "")
        .expect("an answer")
        .json()
}

#[test]
fn verify_answer_contains_digest_and_ids() {
    let (_runtime, _running, at) = start_engine(instant_engine());
    let ids = [
        ("x-request-id", "a1"),
        ("x-peppercrank-request", "r1"),
        ("idempotency-key", "k1"),
    ];
    let response = send(at, CHAT, &ids, &chat(false, &["abc"])).expect("an answer");
    let body = response.json();
    let text = body["choices"][0]["message"]["content"]
        .as_str()
        .expect("a text");
    assert_eq!(
        text,
        format!("digest:{ABC_DIGEST} request:r1 attempt:a1 t03 t04 t05")
    );
    assert_eq!((response.id.as_str(), &body["id"]), ("a1", &json!("a1")));
    assert_eq!(body["usage"]["completion_tokens"], 6);
    let ids = [
        ("x-request-id", "a2"),
        ("x-peppercrank-request", "r1"),
        ("idempotency-key", "k1"),
    ];
    let streamed = stream(at, CHAT, &ids, &chat(true, &["abc"]));
    assert!(streamed.complete);
    assert_eq!(streamed.text(), text.replace("a1", "a2"));
    assert_eq!(
        streamed.events.len(),
        7,
        "six tokens and the final event with the usage"
    );
    assert_eq!(
        run_counts(at, "a1"),
        json!({"attempts": 1, "requests": 0, "keys": 0})
    );
    assert_eq!(
        run_counts(at, "r1"),
        json!({"attempts": 0, "requests": 2, "keys": 0})
    );
    assert_eq!(
        run_counts(at, "k1"),
        json!({"attempts": 0, "requests": 0, "keys": 2})
    );
}

#[test]
fn verify_next_turn_of_chat_hits_prefix_cache() {
    let (_runtime, _running, at) = start_engine(instant_engine());
    let question = "q".repeat(1_000);
    let keys = [
        ("x-chat-key", "00000000000000aa"),
        ("x-prefix-key", "00000000000000bb"),
    ];
    let first = send(at, CHAT, &keys, &chat(false, &[&question]))
        .expect("an answer")
        .json();
    assert_eq!(first["usage"]["prompt_tokens_details"]["cached_tokens"], 0);
    let answer = first["choices"][0]["message"]["content"]
        .as_str()
        .expect("a text");
    let second = chat(false, &[&question, answer, "and then?"]);
    let second = send(at, CHAT, &keys, &second).expect("an answer").json();
    let usage = &second["usage"];
    let cached = usage["prompt_tokens_details"]["cached_tokens"]
        .as_u64()
        .expect("a number");
    // The first prompt, "user\n" + 1,000 + "\n" + "assistant\n", is 1,016 bytes; the answer adds
    // 117 and the newline after it 1. Of these, whole blocks of 64 bytes (16 tokens) are cached.
    assert_eq!(cached, (1_016 + answer.len() as u64 + 1) / 64 * 16);
    let page = get(at, "/cache-events?since=0");
    let kinds: Vec<&Value> = page["events"].as_array().expect("events").iter().collect();
    assert_eq!(
        kinds,
        [
            &json!({"seq": 0, "kind": "stored", "key": "00000000000000aa"}),
            &json!({"seq": 1, "kind": "stored", "key": "00000000000000bb"}),
        ]
    );
    assert_eq!(page["next"], 2);
}

#[test]
fn verify_full_cache_evicts_least_recently_used() {
    let settings = EngineSettings {
        cache_tokens: 320,
        events_gap: 2,
        ..instant_engine()
    };
    let (_runtime, _running, at) = start_engine(settings);
    for (key, letter) in [("0a", "a"), ("0b", "b")] {
        let body = chat(false, &[&letter.repeat(1_000)]);
        let keys = [("x-chat-key", key)];
        send(at, CHAT, &keys, &body).expect("an answer");
    }
    let page = get(at, "/cache-events?since=0");
    // Event 0: 0a stored. 1: 0b stored (omitted, a gap). 2: 0a evicted: half of it is gone.
    let expected = json!([
        {"seq": 0, "kind": "stored", "key": "0a"},
        {"seq": 2, "kind": "evicted", "key": "0a"},
    ]);
    assert_eq!((&page["events"], &page["next"]), (&expected, &json!(3)));
}

#[test]
fn verify_streams_resume_and_cancel() {
    let (_runtime, _running, at) = start_engine(instant_engine());
    let ids = [("x-request-id", "a1")];
    set_faults(at, &json!({"only": "chat", "times": 1, "cut_after": 2}));
    let cut = stream(at, CHAT, &ids, &chat(true, &["abc"]));
    assert_eq!((cut.complete, cut.events.len()), (false, 2));
    let rest = stream(at, "GET /v1/streams/a1?from=2", &[], "");
    assert_eq!((rest.complete, rest.events.len()), (true, 5));
    let text = cut.text() + &rest.text();
    assert_eq!(
        text,
        format!("digest:{ABC_DIGEST} request:a1 attempt:a1 t03 t04 t05")
    );
    assert_eq!(
        run_counts(at, "a1")["attempts"],
        1,
        "a resumed stream runs once"
    );
    let cases = [
        ("GET /v1/streams/a1?from=7", 200),
        ("GET /v1/streams/a1?from=x", 400),
        ("GET /v1/streams/zz?from=0", 404),
        ("DELETE /v1/streams/a1", 404),
        ("DELETE /v1/streams/zz", 404),
    ];
    for (call, status) in cases {
        assert_eq!(
            send(at, call, &[], "").expect("an answer").status,
            status,
            "{call}"
        );
    }
}

#[test]
fn verify_waiting_chat_cancelled_never_runs() {
    let (_runtime, _running, at) = start_engine(stalled_engine());
    // The callers time out soon; their chats continue, as with a real engine.
    for (waiting, id) in ["a1", "a2", "a3"].into_iter().enumerate() {
        let response =
            send_with_short_timeout(at, CHAT, &[("x-request-id", id)], &chat(false, &["abc"]));
        assert!(response.is_err(), "{id} must not finish");
        let expected = (json!(1), json!(waiting));
        let load = poll_until(&expected, || {
            let report = get(at, "/load");
            (report["running"].clone(), report["waiting"].clone())
        });
        assert_eq!(load, expected, "after {id}");
    }
    let duplicate = send(at, CHAT, &[("x-request-id", "a2")], &chat(false, &["abc"]));
    assert_eq!(duplicate.expect("an answer").status, 409);
    for (id, ran) in [("a2", 0), ("a1", 1)] {
        let cancelled = send(at, &format!("DELETE /v1/streams/{id}"), &[], "");
        assert_eq!(cancelled.expect("an answer").status, 200);
        assert_eq!(run_counts(at, id)["attempts"], ran, "{id}");
    }
    assert_eq!(
        run_counts(at, "a3")["attempts"],
        1,
        "it starts in the freed slot"
    );
    let resumed = send(at, "GET /v1/streams/a1?from=0", &[], "").expect("an answer");
    assert_eq!(resumed.status, 404);
}

#[test]
fn verify_orders_with_and_without_fence_check() {
    for (check_fence, old) in [(true, 409), (false, 200)] {
        let settings = EngineSettings {
            check_fence,
            models: vec!["m".to_owned()],
            ..instant_engine()
        };
        let (_runtime, _running, at) = start_engine(settings);
        let cases = [
            (json!({"fence": 5, "order": {"load_model": "n"}}), 200),
            (json!({"fence": 4, "order": {"set_role": "prefill"}}), old),
            (json!({"fence": 5, "order": {"load_adapter": "x"}}), 200),
            (json!({"fence": 6, "order": {"dance": "x"}}), 400),
            (json!({"order": {"set_role": "x"}}), 400),
        ];
        for (body, status) in cases {
            let answer = send(at, "POST /orders", &[], &body.to_string()).expect("an answer");
            assert_eq!(answer.status, status, "{body} checked: {check_fence}");
        }
        assert_eq!(get(at, "/orders")["highest"], 5);
        let chat_with =
            |model: &str| chat(false, &["abc"]).replace("\"m\"", &format!("\"{model}\""));
        for (model, status) in [("m", 200), ("n", 200), ("o", 404)] {
            let answer = send(at, CHAT, &[], &chat_with(model)).expect("an answer");
            assert_eq!(answer.status, status, "{model}");
        }
    }
}

#[test]
fn verify_malformed_calls_are_refused() {
    let (_runtime, _running, at) = start_engine(instant_engine());
    let cases = [
        ("POST /v1/chat/completions", "{", 400, "bad_body"),
        (
            "POST /v1/chat/completions",
            "{\"messages\":3}",
            400,
            "bad_body",
        ),
        ("PUT /faults", "{\"delay\":3}", 400, "bad_body"),
        ("PUT /faults", "{\"throttle\":true}", 400, "no_such_switch"),
        ("PUT /faults", "{\"only\":\"vms\"}", 400, "no_such_switch"),
        ("GET /cache-events?since=-1", "", 400, "bad_parameter"),
        ("GET /nowhere", "", 404, "unknown"),
    ];
    for (call, body, status, code) in cases {
        let response = send(at, call, &[], body).expect("an answer");
        assert_eq!(
            (response.status, &response.json()["error"]["code"]),
            (status, &json!(code)),
            "{call}"
        );
    }
    let ids = [("x-priority", "10"), ("x-request-id", "a1")];
    let response = send(at, CHAT, &ids, &chat(false, &["abc"])).expect("an answer");
    assert_eq!((response.status, response.id.as_str()), (400, "a1"));
}
