// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One entry of the pointer table, and the note that tells others of it.

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::keys::PrefixKey;
use peppercrank_core::time::Instant;

use crate::note::Addressed;
use crate::note::Context;
use crate::note::Note;
use crate::rank::RankKey;
use crate::rank::Ranking;
use crate::table::Slot;
use crate::table::Stamp;

/// `Kind` is what an entry's key stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A chat that this target took as the one asked first.
    Chat,
    /// A chat that came here from another target.
    Spilled,
    /// A leading block.
    Prefix,
    /// What an event named and no request has shown yet; its rank is unknown.
    Seen,
}

/// `Entry` is one context.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Entry {
    /// What the chat is ranked by.
    pub(crate) rank: RankKey,
    /// The number of the cache event up to which the entry is right.
    pub(crate) seq: u64,
    /// Who holds it.
    pub(crate) target: TargetKey,
    /// Which of the target's incarnations, as counted here.
    pub(crate) epoch: u32,
    /// What the key stands for.
    pub(crate) kind: Kind,
    /// Whether the latest cache event says that the engine holds it.
    pub(crate) stored: bool,
}

impl Slot<Entry> {
    /// `note` tells `to` of the entry; none when its target does not rank.
    pub(crate) fn note(
        &self,
        now: Instant,
        to: TargetKey,
        ranking: &Ranking,
        held: bool,
    ) -> Option<Addressed> {
        let entry = &self.value;
        let context = match entry.kind {
            Kind::Chat | Kind::Spilled => Context::Chat(ChatKey(self.key)),
            Kind::Prefix => Context::Prefix(PrefixKey(self.key)),
            Kind::Seen => return None,
        };
        let note = Note {
            context,
            rank: entry.rank,
            target: ranking.hash(entry.target)?,
            held,
            age: Stamp::of(now).0.saturating_sub(self.at.0),
        };
        Some(Addressed { to, note })
    }
}
