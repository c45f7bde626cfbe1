// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The answer that the stand-in generates, event by event.

use serde::Serialize;
use serde_json::Value;
use serde_json::json;

/// The fewest tokens of an answer: the digest, the request's id and the attempt's id.
pub const MIN_ANSWER_TOKENS: u32 = 3;

/// `Usage` is what the engine tells of its work on a chat.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the prompt that were cached.
    pub cached: u64,
    /// Tokens generated.
    pub made: u32,
}

impl Usage {
    /// `to_json` is the usage as chat APIs write it.
    #[must_use]
    pub fn to_json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.made,
            "total_tokens": self.prompt + u64::from(self.made),
            "prompt_tokens_details": {"cached_tokens": self.cached},
        })
    }
}

/// `Answer` is the text of one answer, made piece by piece: one piece is one token, one event.
#[derive(Debug, Clone)]
pub struct Answer {
    leading: [String; 3],
}

impl Answer {
    /// `new` makes the answer to a message with this digest and a request with these ids.
    #[must_use]
    pub fn new(digest: &str, request: &str, attempt: &str) -> Self {
        Self {
            leading: [
                format!("digest:{digest} "),
                format!("request:{request} "),
                format!("attempt:{attempt}"),
            ],
        }
    }

    /// `piece` is the text of the token numbered `at`, from 0.
    #[must_use]
    pub fn token(&self, index: u32) -> String {
        match self.leading.get(index as usize) {
            Some(text) => text.clone(),
            None => format!(" t{:02}", index % 100),
        }
    }

    /// `text` is the first `made` tokens.
    #[must_use]
    pub fn text(&self, count: u32) -> String {
        (0..count).map(|at| self.token(at)).collect()
    }
}

/// `event` is the streamed event of one piece.
#[must_use]
pub fn token_event(id: &str, token: &str) -> String {
    let delta = json!({"content": token});
    let choice = json!({"index": 0, "delta": delta, "finish_reason": null});
    sse_event(&json!({"id": id, "object": "chat.completion.chunk", "choices": [choice]}))
}

/// `last_event` is the streamed event after the last piece.
#[must_use]
pub fn final_event(id: &str, usage: Usage) -> String {
    let choice = json!({"index": 0, "delta": {}, "finish_reason": "stop"});
    sse_event(&json!({
        "id": id,
        "object": "chat.completion.chunk",
        "choices": [choice],
        "usage": usage.to_json(),
    }))
}

/// The line that ends a streamed answer.
pub const DONE_EVENT: &str = "data: [DONE]\n\n";

/// `whole` is the answer in one body.
#[must_use]
pub fn completion(id: &str, model: &str, text: &str, usage: Usage) -> Value {
    let message = json!({"role": "assistant", "content": text});
    let choice = json!({"index": 0, "message": message, "finish_reason": "stop"});
    json!({
        "id": id,
        "object": "chat.completion",
        "model": model,
        "choices": [choice],
        "usage": usage.to_json(),
    })
}

fn sse_event(event: &Value) -> String {
    format!("data: {event}\n\n")
}
