// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How many targets a hot prefix is spread over.
//!
//! A router learns it from the answers that it gets: a refusal for load widens the spread, an
//! admission narrows it, so that a set small share of first tries is refused. Nothing is sent.

use peppercrank_core::keys::PrefixKey;
use peppercrank_core::time::Instant;

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

/// Seconds in which the logarithm falls by 1, whatever is asked for.
///
/// Without it a prefix that is asked for seldom stays wide for hours after one refusal, and each of
/// its chats lands on another target.
const FADE: f32 = 120.0;

/// Steps of a stamp in a second.
const STEPS: f32 = 10.0;

/// `Spread` holds the breadth of the prefixes that are hot here.
#[derive(Debug)]
pub struct Spread {
    /// The binary logarithm of each breadth, as it was at its stamp.
    table: Table<f32>,
    /// The latest moment that was told.
    latest: Stamp,
}

impl Spread {
    /// `new` makes room for `prefixes` hot prefixes.
    #[must_use]
    pub fn new(prefixes: usize) -> Self {
        Self {
            table: Table::new(prefixes),
            latest: Stamp(0),
        }
    }

    /// `breadth` is the number of targets to spread `prefix` over; 1 unless it is hot.
    #[must_use]
    pub fn breadth(&self, prefix: Option<PrefixKey>) -> u32 {
        let wide = prefix.map_or(0.0, |p| self.wide(p));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "1 to 4,096 by the bounds of the logarithm"
        )]
        let breadth = wide.exp2().round() as u32;
        breadth
    }

    /// `refused` notes that the first target tried for `prefix` was over its cap.
    pub fn refused(&mut self, now: Instant, prefix: PrefixKey) {
        self.latest = self.latest.max(Stamp::of(now));
        let wide = (self.wide(prefix) + WIDEN).min(WIDEST);
        self.table.put(prefix.0, self.latest, wide);
    }

    /// `admitted` notes that the first target tried for `prefix` took it.
    pub fn admitted(&mut self, now: Instant, prefix: PrefixKey) {
        self.latest = self.latest.max(Stamp::of(now));
        let wide = self.wide(prefix);
        if wide <= NARROW {
            self.table.remove(prefix.0);
            return;
        }
        self.table.put(prefix.0, self.latest, wide - NARROW);
    }

    /// The logarithm of a breadth, less what time has taken from it.
    fn wide(&self, prefix: PrefixKey) -> f32 {
        let Some(slot) = self.table.get(prefix.0) else {
            return 0.0;
        };
        let steps = self.latest.0.saturating_sub(slot.at.0);
        #[expect(clippy::cast_precision_loss, reason = "an age to the second suffices")]
        let age = steps as f32 / STEPS;
        (slot.value - age / FADE).max(0.0)
    }

    /// `bytes` is the memory held, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.table.bytes()
    }
}
