// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What agents tell one another when a ranking changes.

use peppercrank_core::time::Instant;

use crate::entry::Entry;
use crate::entry::Kind;
use crate::note::Addressed;
use crate::pointer::Pointers;
use crate::rank::Ranking;
use crate::table::Slot;

/// `Chunk` is a part of the notes that a change of ranking calls for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// The notes to send.
    pub notes: Vec<Addressed>,
    /// Where to go on; none when all were looked at.
    pub cursor: Option<usize>,
}

impl Pointers {
    /// `moved` lists the notes that the change from ranking `old` to `new` calls for.
    ///
    /// Each agent calls it after each change, from cursor 0 on, and sends at its own pace. It
    /// serves a drain (the leaving target hands its pointers on), a join (the homes of before tell
    /// the new one) and a loss (the holders tell the next home). `slots` bounds the work of one
    /// call.
    #[must_use]
    pub fn moved(
        &self,
        now: Instant,
        old: &Ranking,
        new: &Ranking,
        cursor: usize,
        slots: usize,
    ) -> Chunk {
        let end = cursor.saturating_add(slots.max(1));
        let part = self.entries.part(cursor, end);
        let valid = part.filter(|slot| self.is_valid(&slot.value));
        let notes = valid.filter_map(|slot| self.handover(now, slot, old, new));
        Chunk {
            notes: notes.collect(),
            cursor: (end < self.capacity()).then_some(end),
        }
    }

    /// The note that a change of ranking calls for, for one entry.
    fn handover(
        &self,
        now: Instant,
        slot: &Slot<Entry>,
        old: &Ranking,
        new: &Ranking,
    ) -> Option<Addressed> {
        let entry = &slot.value;
        let from = old.home(entry.rank)?;
        let to = new.home(entry.rank)?;
        let was_home = from == self.own;
        let concerned = match entry.kind {
            Kind::Chat | Kind::Prefix => was_home,
            Kind::Spilled => true,
            Kind::Seen => false,
        };
        if from == to || to == self.own || to == entry.target || !concerned {
            return None;
        }
        slot.note(now, to, new, true)
    }
}
