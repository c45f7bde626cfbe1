// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The simulated scenarios.

use std::time::Duration;

use crate::surge::EngineSpeed;
use crate::surge::RequestClass;

/// `Scenario` holds the parameters of a simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Number of routers.
    pub routers: usize,
    /// Number of engines.
    pub engines: usize,
    /// Performance of each engine.
    pub speed: EngineSpeed,
    /// Maximum number of running and waiting requests at an engine; more are refused.
    pub max_requests: u32,
    /// Prompt tokens per millisecond that an engine can copy from another one.
    pub copy_tokens_per_ms: f64,
    /// Classes of requests, most urgent first.
    pub classes: Vec<RequestClass>,
    /// Load in the surge as a multiple of the usual load.
    pub surge_factor: f64,
    /// Start and end of the surge.
    pub surge: (Duration, Duration),
    /// Time until which callers arrive.
    pub duration: Duration,
    /// Interval at which routers share their work, which is the delay with which they know each
    /// other's.
    pub share_interval: Duration,
    /// Interval at which each router relays load reports to another router, chosen at random each
    /// time; `None` disables this.
    pub relay_interval: Option<Duration>,
    /// Start and end of an outage, and the number of engines that are down.
    pub outage: Option<(Duration, Duration, usize)>,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Three classes of decreasing urgency: long prompts of high value, digests, and long answers of
/// low value, which take most of the engines' time.
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

/// Returns a surge of `surge_factor` times the usual load at nine engines and five routers.
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

/// The same kinds of requests as seen by a large fleet: long plans, short questions and checks,
/// with many distinct documents.
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

/// Returns a surge at 120 engines and 68 routers, which know each other's work only after seconds.
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
        // Twice the age of peers' summaries that 68 routers showed under the usual load.
        share_interval: Duration::from_millis(3_400),
        relay_interval: Some(Duration::from_millis(100)),
        outage: None,
        seed,
    }
}
