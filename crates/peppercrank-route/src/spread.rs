// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How many targets a hot prefix is spread over.
//!
//! A router learns it from the answers that it gets: a refusal for load widens the spread, an
//! admission narrows it, so that a set small share of first tries is refused. Nothing is sent.

use peppercrank_core::keys::PrefixKey;
use peppercrank_core::time::Moment;

use crate::table::Stamp;
use crate::table::Table;

/// What one refusal adds to the binary logarithm of the breadth.
const WIDEN: f32 = 1.0;

/// The share of first tries of a hot prefix that may be refused.
const REFUSED: f32 = 0.05;

/// What one admission takes from the logarithm: the two balance at [`REFUSED`].
const NARROW: f32 = WIDEN * REFUSED / (1.0 - REFUSED);

/// The widest spread, as a binary logarithm: 4,096 targets.
const WIDEST: f32 = 12.0;

/// `Spread` holds the breadth of the prefixes that are hot here.
#[derive(Debug)]
pub struct Spread {
    /// The binary logarithm of each breadth.
    table: Table<f32>,
}

impl Spread {
    /// `new` makes room for `prefixes` hot prefixes.
    #[must_use]
    pub fn new(prefixes: usize) -> Self {
        Self {
            table: Table::new(prefixes),
        }
    }

    /// `breadth` is the number of targets to spread `prefix` over; 1 unless it is hot.
    #[must_use]
    pub fn breadth(&self, prefix: Option<PrefixKey>) -> u32 {
        let wide = prefix.and_then(|p| self.table.get(p.0));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "1 to 4,096 by the bounds of the logarithm"
        )]
        wide.map_or(1, |slot| slot.value.exp2().round() as u32)
    }

    /// `refused` notes that the first target tried for `prefix` was over its cap.
    pub fn refused(&mut self, now: Moment, prefix: PrefixKey) {
        let wide = self.table.get(prefix.0).map_or(0.0, |slot| slot.value);
        let wide = (wide + WIDEN).min(WIDEST);
        self.table.put(prefix.0, Stamp::of(now), wide);
    }

    /// `admitted` notes that the first target tried for `prefix` took it.
    pub fn admitted(&mut self, now: Moment, prefix: PrefixKey) {
        let Some(wide) = self.table.get(prefix.0).map(|slot| slot.value) else {
            return;
        };
        if wide <= NARROW {
            self.table.remove(prefix.0);
            return;
        }
        self.table.put(prefix.0, Stamp::of(now), wide - NARROW);
    }

    /// `bytes` is the memory held, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.table.bytes()
    }
}
