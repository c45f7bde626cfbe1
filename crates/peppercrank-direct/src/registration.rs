// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Entries that targets write about themselves to the platform's store, and their changes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::peers::TargetId;
use crate::starts::Start;

/// `Registration` is the content of a target's entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// Name of the target.
    pub instance: Arc<str>,
    /// Start of the target that wrote the entry.
    pub start: Start,
    /// Pool that it serves.
    pub pool: Arc<str>,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Time for which it stays cold after it wrote the entry.
    pub cold_for: Duration,
}

impl Registration {
    /// Returns the identifier of this start in datagrams.
    #[must_use]
    pub fn id(&self) -> TargetId {
        TargetId::of(&self.instance, self.start)
    }

    /// Returns the identifier by which homes are chosen. It depends on the name alone, so that
    /// prompts keep their home when a target starts again, also at routers that do not know yet.
    #[must_use]
    pub fn placement_id(&self) -> u32 {
        TargetId::of(&self.instance, Start::default()).0
    }
}

/// `Change` is one change of the registered targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An entry was created or changed.
    Put(Registration),
    /// The entry of this instance was rewritten and cannot be read.
    Unreadable(Arc<str>),
    /// The entry of this instance was removed.
    Removed(Arc<str>),
}

impl Change {
    /// Returns the name of the target whose entry changed.
    #[must_use]
    pub const fn instance(&self) -> &Arc<str> {
        match self {
            Self::Put(entry) => &entry.instance,
            Self::Unreadable(instance) | Self::Removed(instance) => instance,
        }
    }
}
