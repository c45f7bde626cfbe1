// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Generated answers and their encoding as completions and events.

use serde::Serialize;
use serde_json::Value;
use serde_json::json;

/// Minimum number of tokens of an answer: the digest, the request id and the attempt id.
pub const MIN_ANSWER_TOKENS: u32 = 3;

/// Token usage of a chat, as the engine reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the prompt that were in the prefix cache.
    pub cached: u64,
    /// Tokens generated so far.
    pub made: u32,
}

impl Usage {
    /// Returns the usage in the format of chat completion APIs.
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

/// Text of one answer, generated token by token; each token is sent as one event.
#[derive(Debug, Clone)]
pub struct Answer {
    leading: [String; 3],
}

impl Answer {
    /// Creates the answer to a message with this digest and a request with these ids.
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

    /// Returns the text of the token at `index`, counted from 0.
    #[must_use]
    pub fn token(&self, index: u32) -> String {
        match self.leading.get(index as usize) {
            Some(text) => text.clone(),
            None => format!(" t{:02}", index % 100),
        }
    }

    /// Returns the text of the first `count` tokens.
    #[must_use]
    pub fn text(&self, count: u32) -> String {
        (0..count).map(|at| self.token(at)).collect()
    }
}

/// Returns the streamed event of one token.
#[must_use]
pub fn token_event(id: &str, token: &str) -> String {
    let delta = json!({"content": token});
    let choice = json!({"index": 0, "delta": delta, "finish_reason": null});
    sse_event(&json!({"id": id, "object": "chat.completion.chunk", "choices": [choice]}))
}

/// Returns the streamed event after the last token, with the finish reason and the usage.
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

/// The event that terminates a streamed answer.
pub const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Returns the answer as the body of a non-streamed completion.
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
