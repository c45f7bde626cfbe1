// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Origins of a router's own streams, kept in the store while several versions may have begun them.
//!
//! All routers may end at once, and with them what they know of streams whose callers return. So
//! each router writes the origins of its own streams to one object of the store, in batches, and
//! reads those of all routers when it starts.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::origins::Origins;
use crate::origins::SoftwareVersion;
use crate::origins::StreamId;
use crate::pool_versions::RETENTION;

/// Shortest time between two writes of a router. A kill of all routers loses the origins of the
/// streams that began in it.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of such writes per second, over all routers.
const FLEET_RATE: u32 = 200;

/// Maximum number of origins in one object, which limits it to about 300 KB.
const MAX_STORED: usize = 16_384;

/// Returns the time between two writes of one router out of `routers`.
#[must_use]
pub fn write_interval(routers: usize) -> Duration {
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    let fair = Duration::from_secs(routers.into()) / FLEET_RATE;
    fair.max(MIN_INTERVAL)
}

#[derive(Debug, Clone, Copy)]
struct OwnStream {
    stream: StreamId,
    /// Time at which its caller gives up.
    until: Instant,
}

/// `StoredOrigins` holds the streams that began at this router, and which of them are written.
#[derive(Debug, Default)]
pub struct StoredOrigins {
    by_pool: HashMap<Arc<str>, VecDeque<OwnStream>>,
    /// Streams of a previous process of this router, which its object must keep.
    earlier: VecDeque<OwnStream>,
    /// Pools with streams that are not written.
    unwritten: Vec<Arc<str>>,
}

/// Streams by the version that began them.
pub type Batch = Vec<(SoftwareVersion, Vec<StreamId>)>;

impl StoredOrigins {
    /// Adds a stream of a pool, whose caller gives up at `until`.
    pub fn push(&mut self, stream: StreamId, pool: &Arc<str>, until: Instant) {
        let streams = self.by_pool.entry(Arc::clone(pool)).or_default();
        if streams.len() >= MAX_STORED {
            streams.pop_front();
        }
        streams.push_back(OwnStream { stream, until });
        if !self.unwritten.contains(pool) {
            self.unwritten.push(Arc::clone(pool));
        }
    }

    /// Adds a stream that this router's object in the store already holds.
    pub fn push_earlier(&mut self, now: Instant, stream: StreamId) {
        let until = now + RETENTION;
        self.earlier.push_back(OwnStream { stream, until });
    }

    /// Records that what was taken may not be in the store.
    pub fn invalidate(&mut self) {
        self.unwritten = self.by_pool.keys().cloned().collect();
    }

    /// Takes what the object is to hold now; `None` if nothing is to be written. Only streams of
    /// pools that are `mixed` are written.
    pub fn take_batch(
        &mut self,
        now: Instant,
        origins: &Origins,
        mixed: impl Fn(&str) -> bool,
    ) -> Option<Batch> {
        self.expire(now);
        let count = self.unwritten.len();
        self.unwritten.retain(|pool| !mixed(pool));
        if self.unwritten.len() == count {
            return None;
        }
        let pools = self.by_pool.iter().filter(|(pool, _)| mixed(pool));
        let own = pools.flat_map(|(_, streams)| streams);
        let mut by_version = HashMap::<_, Vec<_>>::new();
        for OwnStream { stream, .. } in own.chain(&self.earlier).take(MAX_STORED) {
            if let Some(version) = origins.version(now, *stream) {
                by_version.entry(version).or_default().push(*stream);
            }
        }
        Some(by_version.into_iter().collect())
    }

    fn expire(&mut self, now: Instant) {
        let is_over = |s: &OwnStream| now >= s.until;
        self.by_pool.retain(|_, streams| {
            while streams.front().is_some_and(is_over) {
                streams.pop_front();
            }
            !streams.is_empty()
        });
        while self.earlier.front().is_some_and(is_over) {
            self.earlier.pop_front();
        }
        let kept = &self.by_pool;
        self.unwritten.retain(|pool| kept.contains_key(pool));
    }
}
