// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What a chat's body asks for, its prompt as text, and its tokens.

use std::fmt::Write;

use peppercrank_core::hash::hash64;
use serde::Deserialize;
use serde_json::Value;
use sha2::Digest;
use sha2::Sha256;

use crate::Result;
use crate::errors;

/// Bytes of prompt text that make one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// `Message` is one message of a chat.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Message {
    /// Who speaks.
    #[serde(default)]
    pub role: String,
    /// A text, or parts with texts.
    #[serde(default)]
    pub content: Value,
}

/// `ChatBody` is the part of an OpenAI-style body that the stand-in heeds.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct ChatBody {
    /// The model.
    #[serde(default)]
    pub model: String,
    /// The chat so far.
    pub messages: Vec<Message>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// The newer name of `max_tokens`, which goes before it.
    #[serde(default)]
    pub max_completion_tokens: Option<u32>,
}

impl ChatBody {
    /// `parse` reads a body.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Body`] when it is not a chat.
    pub fn parse(bytes: &[u8]) -> Result<Self> {
        serde_json::from_slice(bytes).map_err(|e| errors::body_error(&e))
    }

    /// `prompt` is the text that the engine reads: each message as role and content on lines.
    ///
    /// With the answer and a line's end it is a prefix of the prompt of the chat's next request.
    #[must_use]
    pub fn prompt(&self) -> String {
        let mut text = String::new();
        for message in &self.messages {
            text.push_str(&message.role);
            text.push('\n');
            text.push_str(&message_text(message));
            text.push('\n');
        }
        text.push_str("assistant\n");
        text
    }

    /// `digest` is the first 16 hexadecimal digits of the SHA-256 of the last message's text.
    #[must_use]
    pub fn digest(&self) -> String {
        let text = self.messages.last().map(message_text).unwrap_or_default();
        hex(&Sha256::digest(text.as_bytes())[..8])
    }

    /// `output` is the number of tokens asked for.
    #[must_use]
    pub fn requested_tokens(&self) -> Option<u32> {
        self.max_completion_tokens.or(self.max_tokens)
    }
}

/// `hex` writes bytes as lower-case hexadecimal digits.
#[must_use]
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a `String` cannot fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// The text of a message's content, its parts joined.
fn message_text(message: &Message) -> String {
    match &message.content {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().filter_map(|p| p["text"].as_str()).collect(),
        _ => String::new(),
    }
}

/// `tokens` is the number of tokens of a text of `bytes` bytes.
#[must_use]
pub const fn token_count(bytes: usize) -> u64 {
    bytes.div_ceil(BYTES_PER_TOKEN) as u64
}

/// `chain` hashes each whole block of `text` together with all before it.
#[must_use]
pub fn block_hashes(model: &str, text: &str, block_tokens: usize) -> Vec<u64> {
    let mut hash = hash64(0, model.as_bytes());
    text.as_bytes()
        .chunks_exact(block_tokens * BYTES_PER_TOKEN)
        .map(|block| {
            hash = hash64(hash, block);
            hash
        })
        .collect()
}
