// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A chat request and the stream that answers it.

use peppercrank_core::time::Instant;

use crate::engine::answer::Answer;
use crate::engine::answer::Usage;
use crate::engine::prompt::ChatBody;
use crate::runs::RequestIds;

slotmap::new_key_type! {
    /// Key of a stream within its engine.
    pub struct StreamKey;
}

/// Chat request to the engine.
#[derive(Debug, Clone, Default)]
pub struct ChatRequest {
    /// Ids that the request carries.
    pub ids: RequestIds,
    /// Priority, from 0 (lowest) to 9 (highest).
    pub priority: u8,
    /// Key of the chat in cache events; no events if absent.
    pub chat_key: Option<String>,
    /// Key of the shared prefix of its prompt in cache events; no events if absent.
    pub prefix_key: Option<String>,
    /// Body of the request.
    pub body: ChatBody,
}

/// Phase in the life cycle of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The stream waits for a slot.
    Waiting,
    /// The stream has a slot.
    Running,
    /// The answer is complete.
    Done,
    /// The stream was cancelled.
    Cancelled,
}

/// Answer that is queued, being generated or retained after its end.
#[derive(Debug)]
pub struct Stream {
    /// Id of the attempt that it answers.
    pub id: String,
    /// Current phase.
    pub phase: Phase,
    /// Text of the answer.
    pub answer: Answer,
    /// Token usage so far; `made` is the number of tokens that can be read.
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
    /// Returns the total number of prompt and answer tokens.
    pub(super) fn total_tokens(&self) -> u64 {
        self.usage.prompt + u64::from(self.output_tokens)
    }
}
