// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Scenes that are played.

use std::time::Duration;

use crate::surge::EngineSpeed;
use crate::surge::RequestClass;

/// `Scene` is what is played.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Routers.
    pub routers: usize,
    /// Engines.
    pub engines: usize,
    /// How fast each works.
    pub speed: EngineSpeed,
    /// Requests that an engine takes, running or waiting; it refuses more.
    pub max_requests: u32,
    /// Prompt tokens that an engine copies from another in a millisecond.
    pub copy_tokens_per_ms: f64,
    /// What is asked for, the most urgent first.
    pub classes: Vec<RequestClass>,
    /// The multiple of the usual load in the surge.
    pub surge_factor: f64,
    /// When the surge begins and ends.
    pub surge: (Duration, Duration),
    /// When the last caller comes.
    pub duration: Duration,
    /// The lag with which routers know each other's work.
    pub share_interval: Duration,
    /// The pause after which each router passes load reports on to another one, drawn anew each time.
    pub relay_interval: Option<Duration>,
    /// When engines are lost and back, and how many.
    pub outage: Option<(Duration, Duration, usize)>,
    /// The seed of all that is drawn.
    pub seed: u64,
}

/// Three kinds of request of falling urgency: long prompts of great worth, digests, and long
/// answers of little worth, which take most of the engines' time.
pub const CLASSES: [RequestClass; 3] = [
    RequestClass {
        name: "summary",
        rate: 18.0,
        first_token_goal: Duration::from_secs(1),
        deadline: Duration::from_secs(6),
        value: 4.1,
        late_value: 1.2,
        shared_prompts: (27, 8_620),
        mean_own_tokens: 580.0,
        mean_output_tokens: 52.0,
    },
    RequestClass {
        name: "digest",
        rate: 19.0,
        first_token_goal: Duration::from_millis(1_500),
        deadline: Duration::from_secs(4),
        value: 1.1,
        late_value: 0.33,
        shared_prompts: (44, 2_041),
        mean_own_tokens: 360.0,
        mean_output_tokens: 23.0,
    },
    RequestClass {
        name: "alert",
        rate: 10.0,
        first_token_goal: Duration::from_secs(2),
        deadline: Duration::from_secs(15),
        value: 0.68,
        late_value: 0.2,
        shared_prompts: (34, 603),
        mean_own_tokens: 110.0,
        mean_output_tokens: 280.0,
    },
];

/// `nine` is a surge of so many times the usual load at nine engines and five routers.
#[must_use]
pub fn nine_engines(surge_factor: f64, seed: u64) -> Scenario {
    Scenario {
        routers: 5,
        engines: 9,
        speed: EngineSpeed {
            slots: 64,
            step_ms: 4.34,
            per_request_ms: 0.17,
            prefill_tokens_per_ms: 36.7,
            prefill_chunk_tokens: 4_096,
        },
        max_requests: u32::MAX,
        copy_tokens_per_ms: 2_500.0,
        classes: CLASSES.to_vec(),
        surge_factor,
        surge: (Duration::from_secs(8), Duration::from_secs(22)),
        duration: Duration::from_secs(34),
        share_interval: Duration::from_millis(100),
        relay_interval: None,
        outage: None,
        seed,
    }
}

/// The same kinds of request as seen by a large fleet: long plans, short questions and checks, each with its own
/// document of many.
const LARGE_CLASSES: [RequestClass; 3] = [
    RequestClass {
        name: "question",
        rate: 193.0,
        first_token_goal: Duration::from_millis(500),
        deadline: Duration::from_secs(10),
        value: 2.2,
        late_value: 1.1,
        shared_prompts: (380, 699),
        mean_own_tokens: 130.0,
        mean_output_tokens: 288.0,
    },
    RequestClass {
        name: "plan",
        rate: 166.0,
        first_token_goal: Duration::from_secs(1),
        deadline: Duration::from_secs(12),
        value: 3.9,
        late_value: 2.0,
        shared_prompts: (217, 10_512),
        mean_own_tokens: 1_300.0,
        mean_output_tokens: 384.0,
    },
    RequestClass {
        name: "check",
        rate: 270.0,
        first_token_goal: Duration::from_millis(600),
        deadline: Duration::from_secs(3),
        value: 0.39,
        late_value: 0.19,
        shared_prompts: (797, 2_041),
        mean_own_tokens: 360.0,
        mean_output_tokens: 24.0,
    },
];

/// `large` is a surge at 120 engines and 68 routers, which know each other's work after seconds.
#[must_use]
pub fn large_fleet(surge_factor: f64, seed: u64) -> Scenario {
    Scenario {
        routers: 68,
        engines: 120,
        speed: EngineSpeed {
            slots: 16,
            step_ms: 2.89,
            per_request_ms: 0.101,
            prefill_tokens_per_ms: 55.0,
            prefill_chunk_tokens: 4_096,
        },
        max_requests: 64,
        copy_tokens_per_ms: 880.0,
        classes: LARGE_CLASSES.to_vec(),
        surge_factor,
        surge: (Duration::from_secs(4), Duration::from_secs(10)),
        duration: Duration::from_secs(14),
        // Twice the age of peers' summaries, as 68 routers saw it on a calm day.
        share_interval: Duration::from_millis(3_400),
        relay_interval: Some(Duration::from_millis(100)),
        outage: None,
        seed,
    }
}
