// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Notes: what processes tell one another of where a context is.

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::keys::PrefixKey;
use serde::Deserialize;
use serde::Serialize;

use crate::rank::RankKey;
use crate::rank::TargetHash;

/// `Context` is what an engine's cache may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Context {
    /// A chat.
    Chat(ChatKey),
    /// A leading block of prompts.
    Prefix(PrefixKey),
}

impl Context {
    /// `key` is the key as engines' cache events name it.
    #[must_use]
    pub const fn key(self) -> u64 {
        match self {
            Self::Chat(key) => key.0,
            Self::Prefix(key) => key.0,
        }
    }
}

/// `Note` tells a home agent where a context is.
///
/// It names targets by hash and times by age, which mean the same in every process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// The context.
    pub context: Context,
    /// What the chat is ranked by, so that the note can be handed on.
    pub rank: RankKey,
    /// The target.
    pub target: TargetHash,
    /// Whether the target holds the context; false takes an earlier note back.
    pub held: bool,
    /// How long ago this was so, in steps of 100 ms.
    pub age: u32,
}

/// `Addressed` is a note with the target whose agent is to have it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addressed {
    /// The home to tell.
    pub to: TargetKey,
    /// The note.
    pub note: Note,
}
