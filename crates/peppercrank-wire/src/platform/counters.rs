// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Counts the calls to the platform by kind and outcome.

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
            /// All values in the order of their definition.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the stable code in metrics.
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
    /// Kind of a call.
    Operation {
        /// Reads an object.
        Get "get",
        /// Writes an object.
        Put "put",
        /// Deletes an object.
        Delete "delete",
        /// Lists the objects of a kind.
        List "list",
        /// Watches the objects of a kind; a waiting watch is a single call.
        Watch "watch",
        /// Lists the VMs.
        Vms "vms",
    }
}

coded! {
    /// Outcome of a call.
    CallOutcome {
        /// The requested data was returned.
        Found "found",
        /// The object does not exist.
        Absent "absent",
        /// The write took effect.
        Done "done",
        /// The condition of the write did not hold.
        Conflict "conflict",
        /// The revision to watch from is too old.
        TooOld "too_old",
        /// The call was throttled.
        Throttled "throttled",
        /// The platform is unavailable.
        Down "down",
        /// No response arrived in time.
        Slow "slow",
        /// It is unknown whether the write took effect.
        Unknown "unknown",
        /// The response was invalid, or the platform refused the call.
        Bad "bad",
    }
}

/// Counts the calls of a process for its metrics.
#[derive(Debug, Default)]
pub struct Calls {
    counts: [[AtomicU64; CallOutcome::ALL.len()]; Operation::ALL.len()],
    waiting: AtomicU64,
}

impl Calls {
    /// Returns the number of calls of a kind with an outcome.
    #[must_use]
    pub fn get(&self, operation: Operation, ending: CallOutcome) -> u64 {
        self.counts[operation as usize][ending as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of completed calls.
    #[must_use]
    pub fn total(&self) -> u64 {
        let counts = self.counts.iter().flatten();
        counts.map(|c| c.load(Ordering::Relaxed)).sum()
    }

    /// Returns the number of calls that wait for their responses.
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
