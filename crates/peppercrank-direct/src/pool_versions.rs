// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Software versions that the targets of each pool run, or did until recently.
//!
//! They are counted as targets join and leave, since routers ask for them many times a second.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::origins::SoftwareVersion;

/// Time for which a version is remembered after its last target left. Callers resume broken streams
/// sooner.
const RETENTION: Duration = Duration::from_secs(60);

/// A version of a pool.
#[derive(Debug, Clone, Copy)]
struct Presence {
    version: SoftwareVersion,
    /// Number of targets that run it.
    targets: usize,
    /// Time at which a target of it last left.
    left_at: Instant,
}

impl Presence {
    fn is_recent(&self, now: Instant) -> bool {
        self.targets > 0 || now.since(self.left_at) < RETENTION
    }
}

/// `PoolVersions` holds the versions that each pool runs, or did until recently.
#[derive(Debug, Clone, Default)]
pub struct PoolVersions {
    by_pool: HashMap<Arc<str>, Vec<Presence>>,
}

impl PoolVersions {
    /// Records that a target joined a pool.
    pub fn joined(&mut self, now: Instant, pool: &Arc<str>, version: SoftwareVersion) {
        let versions = self.by_pool.entry(Arc::clone(pool)).or_default();
        match versions.iter_mut().find(|p| p.version == version) {
            Some(presence) => presence.targets += 1,
            None => versions.push(Presence {
                version,
                targets: 1,
                left_at: now,
            }),
        }
    }

    /// Records that a target left a pool.
    pub fn left(&mut self, now: Instant, pool: &str, version: SoftwareVersion) {
        let versions = self.by_pool.get_mut(pool).into_iter().flatten();
        for presence in versions.filter(|p| p.version == version) {
            presence.targets = presence.targets.saturating_sub(1);
            presence.left_at = now;
        }
    }

    /// Returns whether the targets of a pool run several versions, or did until recently.
    #[must_use]
    pub fn is_mixed(&self, now: Instant, pool: &str) -> bool {
        let versions = self.by_pool.get(pool).into_iter().flatten();
        versions.filter(|p| p.is_recent(now)).count() > 1
    }

    /// Drops versions whose last targets left long ago.
    pub fn expire(&mut self, now: Instant) {
        self.by_pool.retain(|_, versions| {
            versions.retain(|p| p.is_recent(now));
            !versions.is_empty()
        });
    }
}
