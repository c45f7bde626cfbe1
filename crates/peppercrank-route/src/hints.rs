// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What a router remembers of recent chats.

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::time::Moment;

use crate::table::Stamp;
use crate::table::Table;

/// `Hints` remembers which target last served a chat, for as many chats as fit.
#[derive(Debug)]
pub struct Hints {
    /// The targets by chat.
    table: Table<TargetKey>,
}

impl Hints {
    /// `new` makes room for `chats` chats, at 24 bytes each.
    #[must_use]
    pub fn new(chats: usize) -> Self {
        Self {
            table: Table::new(chats),
        }
    }

    /// `put` notes that `target` served `chat`; a full table forgets an old one.
    pub fn put(&mut self, now: Moment, chat: ChatKey, target: TargetKey) {
        self.table.put(chat.0, Stamp::of(now), target);
    }

    /// `get` is the target that last served `chat`, as far as this router knows.
    ///
    /// A target that left the blackboard has a key that no ranking holds any more.
    #[must_use]
    pub fn get(&self, chat: ChatKey) -> Option<TargetKey> {
        self.table.get(chat.0).map(|slot| slot.value)
    }

    /// `remove` forgets a chat, as when its target refused it for leaving.
    pub fn remove(&mut self, chat: ChatKey) {
        self.table.remove(chat.0);
    }

    /// `capacity` is the number of chats that fit.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.table.capacity()
    }

    /// `bytes` is the memory held, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.table.bytes()
    }
}
