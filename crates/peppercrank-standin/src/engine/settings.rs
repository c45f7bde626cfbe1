// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Settings of the engine stand-in.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::faults::Faults;

/// Settings of an engine stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSettings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Incarnation of the engine; 0 uses the wall clock time in milliseconds.
    pub incarnation: u64,
    /// Models that are loaded at the start; if empty, any model is served.
    pub models: Vec<String>,
    /// Number of chats that are decoded concurrently; at least 1.
    pub slots: usize,
    /// Prefill time per token that is not cached, in microseconds.
    pub prefill_us: u64,
    /// Time of one decoding step, in which each running chat gets one token, in microseconds.
    pub step_us: u64,
    /// Tokens per cache block; at least 1.
    pub block_tokens: usize,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: usize,
    /// Tokens of an answer if the request sets no maximum.
    pub answer_tokens: u32,
    /// Maximum number of tokens of an answer.
    pub longest: u32,
    /// Whether streams can be resumed.
    pub resumes: bool,
    /// Time for which an ended stream is retained and can be resumed, in milliseconds.
    pub keep_ms: u64,
    /// Delay until a change of the load is visible in the report, in milliseconds.
    pub load_lag_ms: u64,
    /// Delay until a cache event becomes visible, in milliseconds.
    pub events_late_ms: u64,
    /// Interval of cache events that are omitted: every `events_gap`-th one; 0 omits none.
    pub events_gap: u64,
    /// Whether an order with a lower fencing number than an earlier one is rejected.
    pub check_fence: bool,
    /// Faults that are active at the start.
    pub faults: Faults,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            incarnation: 0,
            models: Vec::new(),
            slots: 16,
            prefill_us: 50,
            step_us: 20_000,
            block_tokens: 16,
            cache_tokens: 262_144,
            answer_tokens: 24,
            longest: 4_096,
            resumes: true,
            keep_ms: 30_000,
            load_lag_ms: 500,
            events_late_ms: 200,
            events_gap: 0,
            check_fence: true,
            faults: Faults::default(),
        }
    }
}
