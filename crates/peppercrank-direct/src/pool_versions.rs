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
pub const RETENTION: Duration = Duration::from_secs(60);

/// A version of a pool.
#[derive(Debug, Clone)]
struct Presence {
    version: SoftwareVersion,
    name: Arc<str>,
    /// Number of targets that run it.
    targets: usize,
    /// Whether this process has known a target of it, and not only the record in the store.
    seen: bool,
    /// Time at which a target of it last left, or at which the process read that it had served.
    left_at: Instant,
}

impl Presence {
    fn is_recent(&self, now: Instant) -> bool {
        self.targets > 0 || now.since(self.left_at) < RETENTION
    }
}

/// A version that the targets of a pool run, or did until recently.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecentVersion {
    /// The version.
    pub version: SoftwareVersion,
    /// Its name.
    pub name: Arc<str>,
    /// Whether this process has known a target of it, and not only the record in the store.
    pub seen: bool,
}

/// `PoolVersions` holds the versions that each pool runs, or did until recently.
#[derive(Debug, Clone, Default)]
pub struct PoolVersions {
    by_pool: HashMap<Arc<str>, Vec<Presence>>,
    /// When routes last moved to a pool from another one.
    moved: HashMap<Arc<str>, Instant>,
}

impl PoolVersions {
    /// Records that a target joined a pool.
    pub fn joined(&mut self, now: Instant, pool: &Arc<str>, name: &Arc<str>) {
        let presence = self.presence(now, pool, name);
        presence.targets += 1;
        presence.seen = true;
    }

    /// Records that a version served a pool until this process learnt of it, at the latest. The
    /// time is not that of its end, which may have come while no process was there to see it.
    pub fn served(&mut self, now: Instant, pool: &Arc<str>, name: &Arc<str>) {
        self.presence(now, pool, name).left_at = now;
    }

    fn presence(&mut self, now: Instant, pool: &Arc<str>, name: &Arc<str>) -> &mut Presence {
        let version = SoftwareVersion::of(pool, name);
        let versions = self.by_pool.entry(Arc::clone(pool)).or_default();
        let found = versions.iter().position(|p| p.version == version);
        let index = found.unwrap_or(versions.len());
        if found.is_none() {
            versions.push(Presence {
                version,
                name: Arc::clone(name),
                targets: 0,
                seen: false,
                left_at: now,
            });
        }
        &mut versions[index]
    }

    /// Records that a target left a pool.
    pub fn left(&mut self, now: Instant, pool: &str, version: SoftwareVersion) {
        let versions = self.by_pool.get_mut(pool).into_iter().flatten();
        for presence in versions.filter(|p| p.version == version) {
            presence.targets = presence.targets.saturating_sub(1);
            presence.left_at = now;
        }
    }

    /// Returns the versions that the targets of a pool run, or did until recently.
    pub fn recent<'a>(
        &'a self,
        now: Instant,
        pool: &str,
    ) -> impl Iterator<Item = RecentVersion> + use<'a> {
        let versions = self.by_pool.get(pool).into_iter().flatten();
        let recent = versions.filter(move |p| p.is_recent(now));
        recent.map(|p| RecentVersion {
            version: p.version,
            name: Arc::clone(&p.name),
            seen: p.seen,
        })
    }

    /// Records that a route whose streams may be resumed moved to a pool from another one.
    pub fn route_moved(&mut self, now: Instant, pool: &Arc<str>) {
        self.moved.insert(Arc::clone(pool), now);
    }

    /// Returns whether a route moved to a pool recently, so that streams of its callers may have begun
    /// at another one.
    #[must_use]
    pub fn has_moved_routes(&self, now: Instant, pool: &str) -> bool {
        let moved = self.moved.get(pool);
        moved.is_some_and(|at| now.since(*at) < RETENTION)
    }

    /// Returns whether the targets of a pool run several versions, or did until recently.
    #[must_use]
    pub fn is_mixed(&self, now: Instant, pool: &str) -> bool {
        let versions = self.by_pool.get(pool).into_iter().flatten();
        versions.filter(|p| p.is_recent(now)).count() > 1
    }

    /// Drops versions whose last targets left long ago.
    pub fn expire(&mut self, now: Instant) {
        self.moved.retain(|_, at| now.since(*at) < RETENTION);
        self.by_pool.retain(|_, versions| {
            versions.retain(|p| p.is_recent(now));
            !versions.is_empty()
        });
    }
}
