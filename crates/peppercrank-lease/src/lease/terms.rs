// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The lease object and the times that bind its holder and its contenders.

use std::time::Duration;

use peppercrank_core::names::VmName;
use serde::Deserialize;
use serde::Serialize;

use crate::errors;

/// The kind of the lease objects in the platform's API.
pub const KIND: &str = "lease";

/// `Session` tells one process from its earlier lives; drawn at random when it starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Session(pub u64);

/// `Lease` is the body of a lease object.
///
/// The object is never deleted: a release is written into it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// The VM of the holder, for operators to read.
    pub holder: VmName,
    /// The process that holds it.
    pub session: Session,
    /// The number of the write among those of the session; tells a lost answer's write.
    pub beat: u64,
    /// How long it lasts, in milliseconds.
    pub duration_ms: u64,
    /// Whether the holder gave it back.
    pub released: bool,
}

impl Lease {
    /// `duration` is how long it lasts.
    #[must_use]
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }
}

/// `Policy` is how long leases last and how they are sought; the same at every contender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Policy {
    /// How long a lease lasts from its write.
    pub duration: Duration,
    /// What a holder takes off and a contender adds, for clocks that run at different rates.
    pub margin: Duration,
    /// Time between two reads of a contender.
    pub poll: Duration,
    /// Time before a failed call is repeated.
    pub retry: Duration,
    /// Time after which a call counts as failed.
    pub call: Duration,
}

impl Default for Policy {
    /// `default` holds a lease through calls that take 5 s each.
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(15),
            margin: Duration::from_secs(1),
            poll: Duration::from_secs(5),
            retry: Duration::from_secs(1),
            call: Duration::from_secs(7),
        }
    }
}

impl Policy {
    /// `check` tells whether a lease can be held under this policy.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Range`] with the field at fault.
    pub fn check(&self) -> crate::Result<()> {
        if self.margin.saturating_mul(2) >= self.duration {
            return Err(errors::range("margin"));
        }
        if self.poll.is_zero() {
            return Err(errors::range("poll"));
        }
        if self.retry.is_zero() {
            return Err(errors::range("retry"));
        }
        Ok(())
    }
}
