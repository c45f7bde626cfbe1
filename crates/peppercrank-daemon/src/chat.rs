// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What the router reads of a chat request; the body itself is passed on unchanged.

use std::borrow::Cow;

use peppercrank_core::hash::hash64;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::names::ModelName;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::errors;
use crate::errors::Result;

/// Bytes of prompt text that make one token, as a rough mean over languages.
pub const BYTES_PER_TOKEN: usize = 4;

#[derive(Deserialize)]
struct Body<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(borrow)]
    messages: Vec<Message<'a>>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default, borrow)]
    metadata: Option<Metadata<'a>>,
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    role: Cow<'a, str>,
    // The content may be a text, a list of parts or null: its own text serves as it stands.
    #[serde(default, borrow)]
    content: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct Metadata<'a> {
    #[serde(default, borrow)]
    chat: Option<Cow<'a, str>>,
}

/// `Chat` is what the router needs to know of a chat request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chat {
    /// The model asked for.
    pub model: ModelName,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// The prompt's length, in tokens, estimated from its bytes.
    pub prompt: u64,
    /// The most tokens that the answer may have, when the request says so.
    pub output: Option<u32>,
    /// The caller's chat id from the body's `metadata.chat`.
    pub id: Option<String>,
    /// The leading messages: all up to and with the first of the user.
    pub leading: Vec<u8>,
    /// Whether an answer of the assistant is among the messages.
    pub returning: bool,
}

impl Chat {
    /// `read` reads a chat request's body.
    ///
    /// # Errors
    ///
    /// Returns [`errors::Error::Request`] when the body is not JSON, not of that shape, has no
    /// message, or names a model in a way no model is named.
    pub fn read(body: &[u8]) -> Result<Self> {
        let text = std::str::from_utf8(body).map_err(|_e| errors::request("body_not_utf8"))?;
        let body: Body<'_> =
            serde_json::from_str(text).map_err(|_e| errors::request("body_malformed"))?;
        let model = ModelName::new(&body.model).map_err(|_e| errors::request("model_malformed"))?;
        if body.messages.is_empty() {
            return Err(errors::request("messages_empty"));
        }
        Ok(Self {
            model,
            stream: body.stream.unwrap_or(false),
            prompt: prompt_tokens(&body.messages),
            output: body.max_completion_tokens.or(body.max_tokens),
            id: body.metadata.and_then(|m| m.chat).map(Cow::into_owned),
            leading: leading(&body.messages),
            returning: body.messages.iter().any(|m| m.role == "assistant"),
        })
    }

    /// `key` is the chat's key for an organisation, by the caller's id or by its first messages.
    #[must_use]
    pub fn key(&self, organisation: &str, header: Option<&str>) -> ChatKey {
        if let Some(id) = header.or(self.id.as_deref()) {
            return ChatKey::of(organisation, id);
        }
        let seed = hash64(0, organisation.as_bytes());
        ChatKey(hash64(seed, &self.leading))
    }
}

fn prompt_tokens(messages: &[Message<'_>]) -> u64 {
    let bytes: usize = messages
        .iter()
        .map(|m| m.content.map_or(0, |c| c.get().len()))
        .sum();
    u64::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u64::MAX)
}

fn leading(messages: &[Message<'_>]) -> Vec<u8> {
    let mut text = Vec::new();
    for message in messages {
        text.extend_from_slice(message.role.as_bytes());
        text.push(0);
        text.extend_from_slice(message.content.map_or("", RawValue::get).as_bytes());
        text.push(0);
        if message.role == "user" {
            break;
        }
    }
    text
}
