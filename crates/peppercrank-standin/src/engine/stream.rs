// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One request to the engine and the stream that answers it.

use peppercrank_core::time::Instant;

use crate::engine::answer::Answer;
use crate::engine::answer::Usage;
use crate::engine::prompt::ChatBody;
use crate::runs::RequestIds;

slotmap::new_key_type! {
    /// `StreamKey` finds one stream in its engine.
    pub struct StreamKey;
}

/// `Chat` is one request to the engine.
#[derive(Debug, Clone, Default)]
pub struct ChatRequest {
    /// The ids it carries.
    pub ids: RequestIds,
    /// Its priority, 0 (last) to 9 (first).
    pub priority: u8,
    /// The chat's key, by which cache events name its context.
    pub chat_key: Option<String>,
    /// The key of its leading prefix.
    pub prefix_key: Option<String>,
    /// What it asks for.
    pub body: ChatBody,
}

/// `Phase` is how far a stream has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It waits for a slot.
    Waiting,
    /// It has a slot.
    Running,
    /// It was answered whole.
    Done,
    /// It was cancelled.
    Cancelled,
}

/// `Stream` is one answer in the making, or one that is kept.
#[derive(Debug)]
pub struct Stream {
    /// The attempt that it answers.
    pub id: String,
    /// How far it has come.
    pub phase: Phase,
    /// The text.
    pub answer: Answer,
    /// What it took so far; `made` is the number of pieces that can be read.
    pub usage: Usage,
    pub(super) model: String,
    pub(super) text: String,
    pub(super) blocks: Vec<u64>,
    pub(super) ids: RequestIds,
    pub(super) chat_key: Option<String>,
    pub(super) prefix_key: Option<String>,
    pub(super) output_tokens: u32,
    pub(super) queue_rank: (u8, u64),
    pub(super) next_token_at: Instant,
}

impl Stream {
    /// Tells how many tokens the whole work has.
    pub(super) fn total_tokens(&self) -> u64 {
        self.usage.prompt + u64::from(self.output_tokens)
    }
}
