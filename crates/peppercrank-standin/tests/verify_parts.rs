// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests components of the stand-ins with a simulated time.

use std::time::Duration;

use peppercrank_core::settings;
use peppercrank_core::time::Instant;
use peppercrank_standin::engine::EngineSettings;
use peppercrank_standin::engine::batch::Engine;
use peppercrank_standin::engine::prompt::ChatBody;
use peppercrank_standin::engine::stream::ChatRequest;
use peppercrank_standin::engine::stream::Phase;
use peppercrank_standin::lag::Lagged;
use peppercrank_standin::platform::limits::TokenBucket;
use peppercrank_standin::runs::MAX_TRACKED_IDS;
use peppercrank_standin::runs::RequestIds;
use peppercrank_standin::runs::RunCounts;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn chat(id: &str, priority: u8, content: &str) -> ChatRequest {
    let body =
        serde_json::json!({"max_tokens": 4, "messages": [{"role": "u", "content": content}]});
    ChatRequest {
        ids: RequestIds {
            attempt: id.to_owned(),
            ..RequestIds::default()
        },
        priority,
        chat_key: Some(id.to_owned()),
        body: ChatBody::parse(body.to_string().as_bytes()).expect("a chat"),
        ..ChatRequest::default()
    }
}

/// Returns an engine with one slot that takes 1 ms per prompt token and 10 ms per generated one.
fn engine() -> Engine {
    Engine::new(EngineSettings {
        slots: 1,
        prefill_us: 1_000,
        step_us: 10_000,
        keep_ms: 500,
        load_lag_ms: 100,
        events_late_ms: 200,
        ..EngineSettings::default()
    })
}

fn progress(engine: &Engine, id: &str) -> Option<(Phase, u32)> {
    let stream = engine.get(engine.find(id)?)?;
    Some((stream.phase, stream.usage.made))
}

#[test]
fn verify_time_of_prefill_and_decoding() {
    let mut engine = engine();
    // "u\n" + 112 + "\n" + "assistant\n" is 125 bytes: 32 tokens, none of them cached.
    let key = engine
        .submit(at(0), chat("a", 0, &"x".repeat(112)))
        .expect("a stream");
    assert_eq!(engine.get(key).map(|s| s.usage.prompt), Some(32));
    let cases = [
        (41, 0),
        (42, 1),
        (51, 1),
        (52, 2),
        (71, 3),
        (72, 4),
        (900, 4),
    ];
    for (millis, pieces) in cases {
        engine.advance(at(millis));
        let phase = if pieces < 4 {
            Phase::Running
        } else {
            Phase::Done
        };
        assert_eq!(
            progress(&engine, "a"),
            Some((phase, pieces)),
            "at {millis} ms"
        );
    }
    // The first 16 tokens are one block, which is cached; the other 16 are prefilled.
    engine
        .submit(at(1_000), chat("b", 0, &"x".repeat(112)))
        .expect("a stream");
    assert_eq!(engine.next_due(), Some(at(1_026)));
    assert_eq!(
        progress(&engine, "a"),
        None,
        "the stream was retained for 500 ms only"
    );
}

#[test]
fn verify_slots_are_filled_by_priority_then_arrival() {
    let mut engine = engine();
    for (id, priority) in [("a", 0), ("b", 3), ("c", 9), ("d", 3)] {
        engine
            .submit(at(0), chat(id, priority, id))
            .expect("a stream");
    }
    let mut order = Vec::new();
    while let Some(due) = engine.next_due() {
        engine.advance(due);
        for id in ["a", "b", "c", "d"] {
            if progress(&engine, id).is_some_and(|m| m.0 == Phase::Done) && !order.contains(&id) {
                order.push(id);
            }
        }
    }
    assert_eq!(
        order,
        ["a", "c", "b", "d"],
        "a got the slot before the others arrived"
    );
}

#[test]
fn verify_load_report_and_cache_events_lag() {
    let mut engine = engine();
    engine
        .submit(at(0), chat("a", 0, &"x".repeat(112)))
        .expect("a stream");
    for (millis, running) in [(0, 0), (99, 0), (100, 1), (171, 1)] {
        engine.advance(at(millis));
        assert_eq!(engine.load(at(millis)).running, running, "at {millis} ms");
    }
    assert_eq!(engine.load(at(172)).running, 0, "the stream ended at 72 ms");
    for (millis, events) in [(199, 0), (200, 1)] {
        let page = engine.cache_page(at(millis), 0);
        assert_eq!((page.events.len(), page.next), (events, events as u64));
    }
}

#[test]
fn verify_lagged_value_token_bucket_and_run_counts() {
    let mut lagged = Lagged::new(0);
    for n in 1..=3_u64 {
        lagged.set(at(n * 10), n);
    }
    let lag = Duration::from_millis(10);
    let values = [15, 20, 39, 40].map(|millis| *lagged.visible_at(at(millis), lag));
    assert_eq!(values, [0, 1, 2, 3]);

    let mut bucket = TokenBucket::new(2);
    let passed = [0, 0, 0, 400, 500, 501].map(|millis| bucket.try_take(at(millis)));
    assert_eq!(passed, [true, true, false, false, true, false]);

    let mut runs = RunCounts::default();
    for n in 0..=MAX_TRACKED_IDS {
        let attempt = n.to_string();
        assert_eq!(
            runs.record_run(&RequestIds {
                attempt,
                ..RequestIds::default()
            }),
            1
        );
    }
    assert_eq!(runs.count("0").attempts, 0, "the oldest id is discarded");
    assert_eq!(runs.count("1").attempts, 1);
}

#[test]
fn verify_settings_refuse_unknown_keys() {
    let text = "{ // two slots\n  \"slots\": 2\n}";
    let settings: EngineSettings = settings::parse(text).expect("settings");
    assert_eq!(settings.slots, 2);
    let wrong = settings::parse::<EngineSettings>("{\n  \"slot\": 2\n}");
    let place = wrong.expect_err("an unknown key").to_string();
    assert!(
        place.starts_with("line 2, column 3: unknown field `slot`"),
        "{place}"
    );
}
