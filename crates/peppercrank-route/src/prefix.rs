// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The leading text that ranks a chat, so that chats on one long document meet.

use peppercrank_core::hash::hash64;
use peppercrank_core::keys::PrefixKey;

/// `Part` is one message of a chat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part<'a> {
    /// Who speaks: `system`, `user`, `assistant` and so on.
    pub role: &'a str,
    /// The text.
    pub text: &'a str,
}

impl Part<'_> {
    /// Tells whether the model wrote this part.
    fn is_answer(&self) -> bool {
        self.role == "assistant"
    }
}

/// `Lead` is what the messages of a chat tell about where to send it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lead {
    /// The key of the leading block, where the text before the first answer fills it.
    pub prefix: Option<PrefixKey>,
    /// Whether the chat has been answered before, so that some target may hold its context.
    pub returning: bool,
}

/// `lead` reads the key of the first `block` bytes of a chat, within one model.
///
/// Only the text before the first answer counts: it stays the same however long the chat grows,
/// so that a chat never changes its key. A shorter text, or a block of 0, gives no key.
///
/// # Examples
///
/// ```
/// use peppercrank_route::prefix::Part;
/// use peppercrank_route::prefix::lead;
///
/// let text = "a long judgment".repeat(100);
/// let ask = |question| [Part { role: "system", text: &text }, Part { role: "user", text: question }];
/// let first = lead("m", &ask("Digest it."), 1024);
/// assert_eq!(first.prefix, lead("m", &ask("Who won?"), 1024).prefix);
/// assert!(first.prefix.is_some() && !first.returning);
/// ```
#[must_use]
pub fn lead(model: &str, parts: &[Part<'_>], block: u32) -> Lead {
    let answer = parts.iter().position(Part::is_answer);
    let leading = &parts[..answer.unwrap_or(parts.len())];
    Lead {
        prefix: key(model, leading, block as usize),
        returning: answer.is_some(),
    }
}

/// The key of the first `block` bytes of `parts`, where they fill it.
fn key(model: &str, parts: &[Part<'_>], block: usize) -> Option<PrefixKey> {
    if block == 0 {
        return None;
    }
    let mut left = block;
    let mut hash = hash64(0, model.as_bytes());
    for part in parts {
        let text = part.text.as_bytes();
        let taken = &text[..left.min(text.len())];
        // Chained, so that the bounds between messages count as they do in the prompt.
        hash = hash64(hash, part.role.as_bytes());
        hash = hash64(hash, taken);
        left -= taken.len();
        if left == 0 {
            return Some(PrefixKey(hash));
        }
    }
    None
}
