// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A table of fixed size that forgets the oldest entries.

use peppercrank_core::time::Instant;

/// Entries that may stand for one key; the oldest of them gives way.
const WAYS: usize = 8;

/// Length of one step of an entry's age, in milliseconds: 13 years fit the counter.
const STEP_MS: u128 = 100;

/// `Stamp` is a moment in steps of 100 ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Stamp(pub(crate) u32);

impl Stamp {
    /// `of` is the stamp of a moment.
    pub(crate) fn of(at: Instant) -> Self {
        let steps = at.since_origin().as_millis() / STEP_MS;
        Self(u32::try_from(steps).unwrap_or(u32::MAX))
    }
}

/// `Slot` is one entry.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Slot<V> {
    /// The key, a hash.
    pub(crate) key: u64,
    /// When it was written or renewed.
    pub(crate) at: Stamp,
    /// The value.
    pub(crate) value: V,
}

/// `Table` maps hashes to values in one block of memory that never grows.
#[derive(Debug, Clone)]
pub(crate) struct Table<V> {
    /// The slots, in rows of [`WAYS`].
    slots: Vec<Option<Slot<V>>>,
}

impl<V: Copy> Table<V> {
    /// `new` makes a table of at least `entries` slots.
    pub(crate) fn new(entries: usize) -> Self {
        let rows = entries.div_ceil(WAYS).max(1);
        Self {
            slots: vec![None; rows * WAYS],
        }
    }

    /// `within` makes the greatest table that takes no more than `bytes` bytes.
    ///
    /// It has one row at least.
    pub(crate) fn within(bytes: usize) -> Self {
        let row = WAYS * size_of::<Option<Slot<V>>>();
        Self::new(bytes / row * WAYS)
    }

    /// `iter` goes over the entries.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Slot<V>> {
        self.slots.iter().flatten()
    }

    /// `part` goes over the entries in the slots from `start` to before `end`.
    pub(crate) fn part(&self, start: usize, end: usize) -> impl Iterator<Item = &Slot<V>> {
        let count = end.saturating_sub(start);
        self.slots.iter().skip(start).take(count).flatten()
    }

    /// `capacity` is the number of slots.
    pub(crate) fn capacity(&self) -> usize {
        self.slots.len()
    }

    /// `bytes` is the memory of the slots.
    pub(crate) fn bytes(&self) -> usize {
        self.slots.capacity() * size_of::<Option<Slot<V>>>()
    }

    /// `get` finds an entry.
    pub(crate) fn get(&self, key: u64) -> Option<&Slot<V>> {
        let row = &self.slots[self.row(key)];
        row.iter().flatten().find(|s| s.key == key)
    }

    /// `put` writes an entry; a full row loses its oldest.
    pub(crate) fn put(&mut self, key: u64, at: Stamp, value: V) {
        let row = self.row(key);
        let row = &mut self.slots[row];
        let same = row.iter().position(|s| s.is_some_and(|s| s.key == key));
        let place = same.or_else(|| oldest(row));
        if let Some(place) = place {
            row[place] = Some(Slot { key, at, value });
        }
    }

    /// `remove` forgets an entry.
    pub(crate) fn remove(&mut self, key: u64) {
        let row = self.row(key);
        for slot in &mut self.slots[row] {
            if slot.is_some_and(|s| s.key == key) {
                *slot = None;
            }
        }
    }

    /// The places of the row of a key.
    fn row(&self, key: u64) -> std::ops::Range<usize> {
        let rows = self.slots.len() / WAYS;
        // The high bits pick the row evenly for any number of rows.
        let row = (u128::from(key) * rows as u128) >> 64;
        #[expect(clippy::cast_possible_truncation, reason = "below the number of rows")]
        let start = row as usize * WAYS;
        start..start + WAYS
    }
}

/// The place of a vacant slot of a row, else of the oldest entry.
fn oldest<V: Copy>(row: &[Option<Slot<V>>]) -> Option<usize> {
    let ages = row.iter().map(|s| s.map(|s| s.at));
    ages.enumerate().min_by_key(|(_, at)| *at).map(|(i, _)| i)
}
