// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Software versions of targets that have left, since their streams may still go on elsewhere.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;

/// Time for which a version is remembered. Callers resume broken streams sooner.
const RETENTION: Duration = Duration::from_secs(60);

#[derive(Debug, Clone)]
struct Departed {
    pool: Arc<str>,
    version: Arc<str>,
    left_at: Instant,
}

/// `DepartedVersions` holds the versions of the targets that left recently, by pool.
#[derive(Debug, Clone, Default)]
pub struct DepartedVersions {
    versions: Vec<Departed>,
}

impl DepartedVersions {
    /// Records that a target of this pool and version has left.
    pub fn record(&mut self, now: Instant, pool: Arc<str>, version: Arc<str>) {
        self.versions
            .retain(|v| v.pool != pool || v.version != version);
        self.versions.push(Departed {
            pool,
            version,
            left_at: now,
        });
    }

    /// Drops versions whose targets left long ago.
    pub fn expire(&mut self, now: Instant) {
        self.versions.retain(|v| now.since(v.left_at) < RETENTION);
    }

    /// Returns the versions of the targets that left a pool recently.
    pub fn of_pool<'a>(
        &'a self,
        now: Instant,
        pool: &'a str,
    ) -> impl Iterator<Item = &'a Arc<str>> {
        let recent = move |v: &&Departed| *v.pool == *pool && now.since(v.left_at) < RETENTION;
        self.versions.iter().filter(recent).map(|v| &v.version)
    }
}
