// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What targets tell of themselves in the platform's store, and how that changes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::peers::TargetId;
use crate::starts::Start;

/// `Registration` is what a target tells of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// The target's name.
    pub instance: Arc<str>,
    /// Which of its starts it is.
    pub start: Start,
    /// The pool that it serves.
    pub pool: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Time for which it stays cold after it told.
    pub cold_for: Duration,
}

impl Registration {
    /// `id` is the short name of this start on datagrams.
    #[must_use]
    pub fn id(&self) -> TargetId {
        TargetId::of(&self.instance, self.start)
    }

    /// `draw` is the number by which homes are drawn: of the name alone, so that the prompts of a target that
    /// starts again keep their home, also at routers that have not heard of it.
    #[must_use]
    pub fn placement_id(&self) -> u32 {
        TargetId::of(&self.instance, Start::default()).0
    }
}

/// `Change` is one change of the registered targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An entry is new or was changed.
    Put(Registration),
    /// The entry of this instance was rewritten and cannot be read.
    Unreadable(Arc<str>),
    /// The entry of this instance was removed.
    Removed(Arc<str>),
}

impl Change {
    /// `instance` is the name of the target that it is about.
    #[must_use]
    pub const fn instance(&self) -> &Arc<str> {
        match self {
            Self::Put(entry) => &entry.instance,
            Self::Unreadable(instance) | Self::Removed(instance) => instance,
        }
    }
}
