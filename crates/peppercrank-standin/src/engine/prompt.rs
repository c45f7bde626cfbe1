// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Parsing of chat bodies, and the prompt with its tokens and block hashes.

use std::fmt::Write;

use peppercrank_core::hash::hash64;
use serde::Deserialize;
use serde_json::Value;
use sha2::Digest;
use sha2::Sha256;

use crate::Result;
use crate::errors;

/// Bytes of prompt text per token.
pub const BYTES_PER_TOKEN: usize = 4;

/// One message of a chat.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Message {
    /// Role of the author.
    #[serde(default)]
    pub role: String,
    /// Text, or an array of parts of which those with a text count.
    #[serde(default)]
    pub content: Value,
}

/// The fields of an OpenAI-style request body that the stand-in uses.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct ChatBody {
    /// Name of the model.
    #[serde(default)]
    pub model: String,
    /// Messages of the chat so far, oldest first.
    pub messages: Vec<Message>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Number of tokens to generate; the setting of the engine if absent.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// The newer name of `max_tokens`, which takes precedence over it.
    #[serde(default)]
    pub max_completion_tokens: Option<u32>,
}

impl ChatBody {
    /// Parses a JSON body.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::InvalidBody`] if it is not a chat.
    pub fn parse(bytes: &[u8]) -> Result<Self> {
        serde_json::from_slice(bytes).map_err(|e| errors::body_error(&e))
    }

    /// Returns the prompt text: the role and the content of each message on lines of their own.
    ///
    /// The prompt followed by the answer and a newline is a prefix of the chat's next prompt.
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

    /// Returns the first 16 hexadecimal digits of the SHA-256 of the last message's text.
    #[must_use]
    pub fn digest(&self) -> String {
        let text = self.messages.last().map(message_text).unwrap_or_default();
        hex(&Sha256::digest(text.as_bytes())[..8])
    }

    /// Returns the number of tokens requested, or `None` if the body sets no limit.
    #[must_use]
    pub fn requested_tokens(&self) -> Option<u32> {
        self.max_completion_tokens.or(self.max_tokens)
    }
}

/// Encodes bytes as lower-case hexadecimal digits.
#[must_use]
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a `String` cannot fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Returns the text of a message, with its parts concatenated.
fn message_text(message: &Message) -> String {
    match &message.content {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts.iter().filter_map(|p| p["text"].as_str()).collect(),
        _ => String::new(),
    }
}

/// Returns the number of tokens of a text of `bytes` bytes.
#[must_use]
pub const fn token_count(bytes: usize) -> u64 {
    bytes.div_ceil(BYTES_PER_TOKEN) as u64
}

/// Returns the chained hash of each complete block of `text`, which covers the model and all blocks
/// before it.
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
