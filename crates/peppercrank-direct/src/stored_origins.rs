// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Origins of a router's own streams, kept in the store while several versions may have begun them.
//!
//! All routers may end at once, and with them what they know of streams whose callers return. So
//! each router writes the origins of its own streams to the store, in batches, and reads those of
//! all routers when it starts.
//!
//! The answer to a write may be late or missing, and the write may be done seconds later. So a
//! router has several objects, or lanes: while a write to one is not answered, the next one goes to
//! another. Each write holds all of the router's streams, and takes effect only if its object is
//! still the one that the router knows, so that none undoes a newer one.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::origins::Origins;
use crate::origins::SoftwareVersion;
use crate::origins::StreamId;
use crate::pool_versions::RETENTION;

/// Shortest time between two looks of a router for streams to be written.
const MIN_LOOK: Duration = Duration::from_millis(20);

/// Maximum number of streams per second that the writes of a router hold, each of which holds all that
/// are kept.
const STREAM_RATE: u32 = 16_384;

/// Shortest time between two writes of a router while the first one is not answered, so that lanes
/// are left.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of such writes per second, over all routers.
const FLEET_RATE: u32 = 200;

/// Maximum number of origins in one object, which limits it to about 300 KB.
const MAX_STORED: usize = 16_384;

/// Maximum number of objects of one router, so that one is free at each interval although no write
/// is answered.
pub const MAX_LANES: usize = 8;

/// Returns the time between two writes of one router out of `routers` while the first one is not
/// answered.
#[must_use]
pub fn write_interval(routers: usize) -> Duration {
    fair_interval(routers).max(MIN_INTERVAL)
}

/// Returns the time between two looks of one router out of `routers` for streams to be written, each
/// write of which holds `streams`. A kill of all routers loses the origins of the streams that began
/// in it.
#[must_use]
pub fn look_interval(routers: usize, streams: usize) -> Duration {
    let streams = u32::try_from(streams).unwrap_or(u32::MAX);
    let paced = Duration::from_secs(streams.into()) / STREAM_RATE;
    fair_interval(routers).max(paced.clamp(MIN_LOOK, MIN_INTERVAL))
}

fn fair_interval(routers: usize) -> Duration {
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    Duration::from_secs(routers.into()) / FLEET_RATE
}

#[derive(Debug, Clone, Copy)]
struct OwnStream {
    stream: StreamId,
    /// Time at which its caller gives up.
    until: Instant,
}

/// What a router knows of one of its objects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LaneObject {
    /// It is to be created, unless it exists.
    #[default]
    Absent,
    /// Its revision is to be read. It may not exist.
    Unread,
    /// It has this revision.
    At(u64),
}

#[derive(Debug, Clone, Copy, Default)]
struct Lane {
    object: LaneObject,
    /// Whether a write is on its way.
    is_writing: bool,
}

/// Counts the writes of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteNumber(u64);

/// A write to one of a router's objects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LaneWrite {
    /// Number of the lane.
    pub lane: usize,
    /// Number of the write.
    pub number: WriteNumber,
    /// What the lane's object is expected to be.
    pub object: LaneObject,
    /// What the object is to hold.
    pub batch: Batch,
}

/// Returns the name of a router's object.
#[must_use]
pub fn object_name(router: &str, lane: usize) -> String {
    match lane {
        0 => router.to_owned(),
        lane => format!("{router}.{lane}"),
    }
}

/// Returns the lane of a router's object; `None` if the object is not this router's.
#[must_use]
pub fn lane_of(object: &str, router: &str) -> Option<usize> {
    (0..MAX_LANES).find(|lane| object_name(router, *lane) == object)
}

/// Returns the router to which an object belongs if it is not the only one of its name.
#[must_use]
pub fn owner(object: &str) -> &str {
    let parts = object.rsplit_once('.');
    let is_lane = |n: &str| n.parse().is_ok_and(|n| (1..MAX_LANES).contains(&n));
    parts.map_or(
        object,
        |(router, n)| if is_lane(n) { router } else { object },
    )
}

/// `StoredOrigins` holds the streams that began at this router, and which of them are written.
#[derive(Debug, Default)]
pub struct StoredOrigins {
    by_pool: HashMap<Arc<str>, VecDeque<OwnStream>>,
    /// Streams of a previous process of this router, which its object must keep.
    earlier: VecDeque<OwnStream>,
    /// Pools with streams that are not written.
    unwritten: Vec<Arc<str>>,
    lanes: [Lane; MAX_LANES],
    /// Newest write so far.
    newest: WriteNumber,
    /// Newest write that the store has confirmed.
    confirmed: WriteNumber,
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

    /// Records that no write is on its way any more, and that what was taken may not be in the store.
    pub fn abandon_writes(&mut self) {
        for lane in &mut self.lanes {
            lane.is_writing = false;
        }
        self.invalidate();
    }

    /// Records what was read of one of this router's objects.
    pub const fn record_object(&mut self, lane: usize, object: LaneObject) {
        self.lanes[lane].object = object;
    }

    /// Begins the next write on the first lane without one, if possible on one whose object is known;
    /// `None` if nothing is to be written, or no lane is free.
    pub fn begin_write(
        &mut self,
        now: Instant,
        origins: &Origins,
        mixed: impl Fn(&str) -> bool,
    ) -> Option<LaneWrite> {
        let free = (0..MAX_LANES).filter(|lane| !self.lanes[*lane].is_writing);
        let lane = free.min_by_key(|lane| self.lanes[*lane].object == LaneObject::Unread)?;
        let batch = self.take_batch(now, origins, mixed)?;
        self.newest.0 += 1;
        self.lanes[lane].is_writing = true;
        Some(LaneWrite {
            lane,
            number: self.newest,
            object: self.lanes[lane].object,
            batch,
        })
    }

    /// Records that a write is not answered for long. The next one repeats it on another lane.
    pub fn record_doubt(&mut self, number: WriteNumber) {
        if self.confirmed < number {
            self.invalidate();
        }
    }

    /// Records how a write ended, and what its object is now. A write that the store holds holds
    /// the streams of all earlier ones.
    pub fn end_write(&mut self, write: &LaneWrite, object: LaneObject, is_stored: bool) {
        self.lanes[write.lane] = Lane {
            object,
            is_writing: false,
        };
        if is_stored {
            self.confirmed = self.confirmed.max(write.number);
        } else {
            self.record_doubt(write.number);
        }
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

    /// Returns the number of streams that are kept.
    #[must_use]
    pub fn stream_count(&self) -> usize {
        let own = self.by_pool.values().map(VecDeque::len).sum::<usize>();
        own + self.earlier.len()
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
