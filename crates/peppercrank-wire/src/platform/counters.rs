// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Every call of the platform, counted by kind and outcome.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

macro_rules! coded {
    ($(#[$doc:meta])* $name:ident { $($(#[$item:meta])* $variant:ident $code:literal,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name {
            $($(#[$item])* $variant,)*
        }

        impl $name {
            /// All values, in the order of their definition.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// `code` is the stable code in metrics.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self {
                    $(Self::$variant => $code,)*
                }
            }
        }
    };
}

coded! {
    /// `Operation` is one kind of call.
    Operation {
        /// One object read.
        Get "get",
        /// One object written.
        Put "put",
        /// One object deleted.
        Delete "delete",
        /// A kind's objects listed.
        List "list",
        /// A kind watched; a waiting watch is one call.
        Watch "watch",
        /// The VMs listed.
        Vms "vms",
    }
}

coded! {
    /// `Ending` is how one call ended.
    CallOutcome {
        /// With what was asked for.
        Found "found",
        /// With nothing there.
        Absent "absent",
        /// With the write in effect.
        Done "done",
        /// With the condition not held.
        Conflict "conflict",
        /// With the revision too old.
        TooOld "too_old",
        /// Throttled.
        Throttled "throttled",
        /// With the platform down.
        Down "down",
        /// Without an answer in time.
        Slow "slow",
        /// With a write whose fate is not known.
        Unknown "unknown",
        /// With an answer that makes no sense.
        Bad "bad",
    }
}

/// `Calls` count the calls of one process, for its metrics.
#[derive(Debug, Default)]
pub struct Calls {
    counts: [[AtomicU64; CallOutcome::ALL.len()]; Operation::ALL.len()],
    waiting: AtomicU64,
}

impl Calls {
    /// `get` is how many calls of one kind ended so.
    #[must_use]
    pub fn get(&self, operation: Operation, ending: CallOutcome) -> u64 {
        self.counts[operation as usize][ending as usize].load(Ordering::Relaxed)
    }

    /// `total` is how many calls have ended.
    #[must_use]
    pub fn total(&self) -> u64 {
        let counts = self.counts.iter().flatten();
        counts.map(|c| c.load(Ordering::Relaxed)).sum()
    }

    /// `waiting` is how many calls wait for their answers.
    #[must_use]
    pub fn waiting(&self) -> u64 {
        self.waiting.load(Ordering::Relaxed)
    }

    pub(super) fn begin(&self) {
        self.waiting.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn end(&self, operation: Operation, ending: CallOutcome) {
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        self.counts[operation as usize][ending as usize].fetch_add(1, Ordering::Relaxed);
    }
}
