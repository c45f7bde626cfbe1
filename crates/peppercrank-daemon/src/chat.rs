// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What the router reads of a chat request; the body itself is passed on unchanged.

use std::borrow::Cow;

use peppercrank_core::hash::hash64;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::names::ModelName;
use peppercrank_route::prefix::Lead;
use peppercrank_route::prefix::Part;
use peppercrank_route::prefix::lead;
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
pub struct Chat<'a> {
    /// The model asked for.
    pub model: ModelName,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// The prompt's length, in tokens, estimated from its bytes.
    pub prompt: u64,
    /// The most tokens that the answer may have, when the request says so.
    pub output: Option<u32>,
    /// The caller's chat id from the body's `metadata.chat`.
    id: Option<Cow<'a, str>>,
    /// The messages: who speaks, and the content as it stands.
    messages: Vec<(Cow<'a, str>, &'a str)>,
}

impl<'a> Chat<'a> {
    /// `read` reads a chat request's body.
    ///
    /// # Errors
    ///
    /// Returns [`errors::Error::Request`] when the body is not JSON, not of that shape, has no
    /// message, or names a model in a way no model is named.
    pub fn read(body: &'a [u8]) -> Result<Self> {
        let text = std::str::from_utf8(body).map_err(|_e| errors::request("body_not_utf8"))?;
        let body: Body<'a> =
            serde_json::from_str(text).map_err(|_e| errors::request("body_malformed"))?;
        let model = ModelName::new(&body.model).map_err(|_e| errors::request("model_malformed"))?;
        if body.messages.is_empty() {
            return Err(errors::request("messages_empty"));
        }
        let part = |m: Message<'a>| (m.role, m.content.map_or("", RawValue::get));
        let messages: Vec<_> = body.messages.into_iter().map(part).collect();
        Ok(Self {
            model,
            stream: body.stream.unwrap_or(false),
            prompt: prompt_tokens(&messages),
            output: body.max_completion_tokens.or(body.max_tokens),
            id: body.metadata.and_then(|m| m.chat),
            messages,
        })
    }

    /// `key` is the chat's key for an organisation, by the caller's id or by its first messages.
    #[must_use]
    pub fn key(&self, organisation: &str, header: Option<&str>) -> ChatKey {
        if let Some(id) = header.or(self.id.as_deref()) {
            return ChatKey::derive(organisation, id);
        }
        let mut hash = hash64(0, organisation.as_bytes());
        for (role, text) in &self.messages {
            hash = hash64(hash, role.as_bytes());
            hash = hash64(hash, text.as_bytes());
            // The first of the user is the last that no later request of the chat lacks.
            if role == "user" {
                break;
            }
        }
        ChatKey(hash)
    }

    /// `fresh` is the tokens after the last answer: what an engine that holds the chat computes.
    #[must_use]
    pub fn fresh(&self) -> u64 {
        let answer = self
            .messages
            .iter()
            .rposition(|(role, _)| role == "assistant");
        prompt_tokens(&self.messages[answer.map_or(0, |at| at + 1)..])
    }

    /// `lead` is what the messages tell about where to send the chat.
    #[must_use]
    pub fn lead(&self, block: u32) -> Lead {
        let parts: Vec<Part<'_>> = self
            .messages
            .iter()
            .map(|(role, text)| Part { role, text })
            .collect();
        lead(self.model.as_str(), &parts, block)
    }
}

fn prompt_tokens(messages: &[(Cow<'_, str>, &str)]) -> u64 {
    let bytes: usize = messages.iter().map(|(_, text)| text.len()).sum();
    u64::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u64::MAX)
}
