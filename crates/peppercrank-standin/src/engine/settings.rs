// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Settings of the engine stand-in.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::faults::Faults;

/// `EngineSettings` are the settings of one engine stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSettings {
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Which life of the engine this is; 0 takes the wall clock's milliseconds.
    pub incarnation: u64,
    /// Models it serves at the start; empty for any.
    pub models: Vec<String>,
    /// Chats that are decoded at once; at least 1.
    pub slots: usize,
    /// Prefill time of a token that is not cached, in microseconds.
    pub prefill_us: u64,
    /// Time of one decoding step, which gives each running chat one token, in microseconds.
    pub step_us: u64,
    /// Tokens of one cache block; at least 1.
    pub block_tokens: usize,
    /// Tokens that the prefix cache holds.
    pub cache_tokens: usize,
    /// Tokens of an answer for which the caller sets no maximum.
    pub answer_tokens: u32,
    /// Tokens of the longest answer.
    pub longest: u32,
    /// Whether streams can be resumed at all.
    pub resumes: bool,
    /// Time for which an ended stream can be resumed, in milliseconds.
    pub keep_ms: u64,
    /// Age of what the load report tells, in milliseconds.
    pub load_lag_ms: u64,
    /// Age at which a cache event is first told, in milliseconds.
    pub events_late_ms: u64,
    /// Every how-manieth cache event is never told; 0 for none.
    pub events_gap: u64,
    /// Whether an order with an older fencing number is refused.
    pub check_fence: bool,
    /// Faults from the start.
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
