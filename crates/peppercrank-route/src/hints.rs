// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What a router remembers of recent chats.

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::time::Instant;

use crate::table::Stamp;
use crate::table::Table;

/// `Hint` is what is remembered of one chat.
#[derive(Debug, Clone, Copy)]
struct Hint {
    /// The target that served it last.
    target: TargetKey,
    /// The home that knows so.
    told: Option<TargetKey>,
}

/// `Hints` remembers which target last served a chat, for as many chats as fit.
#[derive(Debug)]
pub struct Hints {
    /// The targets by chat.
    table: Table<Hint>,
}

impl Hints {
    /// `new` makes room for `chats` chats, at 32 bytes each.
    #[must_use]
    pub fn new(chats: usize) -> Self {
        Self {
            table: Table::new(chats),
        }
    }

    /// `put` notes that `target` served `chat`; a full table forgets an old one.
    pub fn put(&mut self, now: Instant, chat: ChatKey, target: TargetKey) {
        self.write(now, chat, target, None);
    }

    /// `served` notes that `target` served `chat`, and tells whether `home` is to be told.
    ///
    /// `home` is the first candidate by rank; `knew` tells that it pointed to the target itself.
    /// A home is told once of each target, and nothing when it served the chat itself.
    pub fn served(
        &mut self,
        now: Instant,
        chat: ChatKey,
        target: TargetKey,
        home: TargetKey,
        knew: bool,
    ) -> bool {
        let known = self.table.get(chat.0).map(|slot| slot.value);
        let same = known.filter(|hint| hint.target == target);
        let told = same.is_some_and(|hint| hint.told == Some(home));
        self.write(now, chat, target, Some(home));
        target != home && !knew && !told
    }

    /// `get` is the target that last served `chat`, as far as this router knows.
    ///
    /// A target that left the blackboard has a key that no ranking holds any more.
    #[must_use]
    pub fn get(&self, chat: ChatKey) -> Option<TargetKey> {
        self.table.get(chat.0).map(|slot| slot.value.target)
    }

    /// `remove` forgets a chat, as when its target refused it for leaving.
    pub fn remove(&mut self, chat: ChatKey) {
        self.table.remove(chat.0);
    }

    fn write(&mut self, now: Instant, chat: ChatKey, target: TargetKey, told: Option<TargetKey>) {
        let hint = Hint { target, told };
        self.table.put(chat.0, Stamp::of(now), hint);
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
