// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How long a call to the store is left alone although other routers know more than it has told.
//!
//! A call that was sent in place of a silent one may only be slow. If each announcement replaced it,
//! a slow store would never be heard while announcements go on.

use std::time::Duration;

/// Time for which the first replacement is left alone. It doubles with each further one.
const FIRST_DELAY: Duration = Duration::from_millis(300);

/// Maximum of the doublings, so that a call lives longer than the store takes for any answer.
const MAX_DOUBLINGS: u32 = 4;

/// Time for which the next call is left alone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct CallBackoff {
    /// Calls that were replaced since the last answer.
    replaced: u32,
}

impl CallBackoff {
    /// Returns the time for which a call is left alone. A call that replaces none is not.
    #[must_use]
    pub fn delay(self) -> Duration {
        match self.replaced.checked_sub(1) {
            None => Duration::ZERO,
            Some(further) => FIRST_DELAY * 2_u32.pow(further.min(MAX_DOUBLINGS)),
        }
    }

    /// Records that a call was replaced.
    pub const fn record_replaced(&mut self) {
        self.replaced = self.replaced.saturating_add(1);
    }

    /// Records that the store has answered a call that took this long. If that was long, the store
    /// may be slow, and the next call is left alone for a while too.
    pub fn record_answered(&mut self, took: Duration) {
        let kept = u32::from(took >= FIRST_DELAY);
        self.replaced = self.replaced.min(kept);
    }
}
