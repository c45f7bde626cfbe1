// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Origins of streams: the software version of the target at which each stream began.
//!
//! What two versions write does not fit together, so a stream goes on only at targets of the
//! version that began it. The caller of a broken stream names the request that brought its first
//! event, usually to another router. So a router reports each stream that begins to the few routers
//! that rendezvous hashing gives for the request's id, and a router that does not know an origin
//! asks the same ones. Reports are sent once and may be lost, and all routers may end together, for
//! which the store keeps origins ([`crate::stored_origins`]). Where an origin is unknown
//! nevertheless, a pool with several versions refuses to resume the stream.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::collections::hash_map::Entry;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::hash::hash64;
use peppercrank_core::time::Instant;
use serde::Deserialize;
use serde::Serialize;

/// Number of routers that keep the origin of a stream. Two of them may be lost.
const KEEPERS: usize = 3;

/// Minimum time for which an origin is kept, in which a caller returns even where a route's timeout
/// is short.
const MIN_RETENTION: Duration = Duration::from_secs(30);

/// Maximum number of origins, which limits them to about 1 MB.
const MAX_ORIGINS: usize = 16_384;

/// Maximum number of origins in one datagram, each up to 20 bytes long.
const MAX_PER_DATAGRAM: usize = 50;

/// Seed of the hash that gives stream ids.
const STREAM_SEED: u64 = 0x7374_7265_616d;

/// Seed of the hash that gives software versions.
const VERSION_SEED: u64 = 0x7665_7273;

/// Seed of the rendezvous hash.
const KEEPER_SEED: u64 = 0x6b65_6570;

/// `StreamId` identifies a stream by the request that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Returns the id of the stream that a request began.
    #[must_use]
    pub fn of(request: &str) -> Self {
        Self(hash64(STREAM_SEED, request.as_bytes()))
    }
}

/// `SoftwareVersion` is a hash of a pool and the version of a target's software there. Versions have no
/// order, and those of two pools differ also where they bear the same name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SoftwareVersion(pub u32);

impl SoftwareVersion {
    /// Returns the version with this name in a pool.
    #[must_use]
    pub fn of(pool: &str, name: &str) -> Self {
        let seed = hash64(VERSION_SEED, pool.as_bytes());
        Self((hash64(seed, name.as_bytes()) >> 32) as u32)
    }
}

/// `OriginReport` is the origin of one stream as routers report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReport {
    /// The stream.
    pub stream: StreamId,
    /// The software version that began it.
    pub version: SoftwareVersion,
    /// Time for which the origin is still kept, in milliseconds.
    pub kept_ms: u32,
}

/// `Resumption` is where a stream that its caller resumes may go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resumption {
    /// At targets of this software version.
    At(SoftwareVersion),
    /// At any target: no second version is known.
    Anywhere,
    /// Nowhere, as targets of another version might continue it.
    Refused,
}

impl Resumption {
    /// Decides where a stream may go on. `origin` is the version that began it, if known;
    /// `one_version` tells whether it is certain that the pool's targets run a single version.
    #[must_use]
    pub const fn decide(origin: Option<SoftwareVersion>, one_version: bool) -> Self {
        match (origin, one_version) {
            (Some(version), _) => Self::At(version),
            (None, true) => Self::Anywhere,
            (None, false) => Self::Refused,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Origin {
    version: SoftwareVersion,
    kept_until: Instant,
}

/// `Origins` holds the origins of streams that a router knows.
#[derive(Debug, Default)]
pub struct Origins {
    by_stream: HashMap<StreamId, Origin>,
    /// Each stream once, in the order in which they were recorded, and until when it was to be kept then.
    recorded: VecDeque<(StreamId, Instant)>,
    /// Number of routers that have not answered, for each origin that was asked for.
    unanswered: HashMap<StreamId, usize>,
}

impl Origins {
    /// Records where a stream began. `returns_until` is when its caller gives up.
    pub fn record(
        &mut self,
        now: Instant,
        stream: StreamId,
        version: SoftwareVersion,
        returns_until: Instant,
    ) {
        let kept_until = returns_until.max(now + MIN_RETENTION);
        self.insert(
            now,
            stream,
            Origin {
                version,
                kept_until,
            },
        );
    }

    /// Records another router's report.
    pub fn record_report(&mut self, now: Instant, report: OriginReport) {
        let kept = Duration::from_millis(report.kept_ms.into());
        let origin = Origin {
            version: report.version,
            kept_until: now + kept,
        };
        self.insert(now, report.stream, origin);
    }

    fn insert(&mut self, now: Instant, stream: StreamId, origin: Origin) {
        match self.by_stream.entry(stream) {
            // The first version that is recorded is the one that began the stream.
            Entry::Occupied(known) => {
                let known = known.into_mut();
                known.kept_until = known.kept_until.max(origin.kept_until);
            }
            Entry::Vacant(unknown) => {
                let _known = unknown.insert(origin);
                self.recorded.push_back((stream, origin.kept_until));
            }
        }
        self.prune(now);
    }

    /// Drops origins that are no longer needed, and the oldest ones if there are too many.
    fn prune(&mut self, now: Instant) {
        while let Some((stream, kept_until)) = self.recorded.front().copied() {
            if now < kept_until && self.recorded.len() <= MAX_ORIGINS {
                return;
            }
            self.recorded.pop_front();
            let known = self.by_stream.get(&stream).map(|o| o.kept_until);
            if let Some(longer) = known.filter(|until| *until > kept_until) {
                self.recorded.push_back((stream, longer));
            } else {
                self.by_stream.remove(&stream);
            }
        }
    }

    /// Returns the software version that began a stream; `None` if it is not known.
    #[must_use]
    pub fn version(&self, now: Instant, stream: StreamId) -> Option<SoftwareVersion> {
        let origin = self.by_stream.get(&stream)?;
        (now < origin.kept_until).then_some(origin.version)
    }

    /// Returns the report of a stream's origin; `None` if it is not known.
    #[must_use]
    pub fn report(&self, now: Instant, stream: StreamId) -> Option<OriginReport> {
        let version = self.version(now, stream)?;
        let kept = self.by_stream.get(&stream)?.kept_until.since(now);
        Some(OriginReport {
            stream,
            version,
            kept_ms: u32::try_from(kept.as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Records that this number of routers is asked for a stream's origin.
    pub fn record_query(&mut self, stream: StreamId, asked: usize) {
        self.unanswered.insert(stream, asked);
    }

    /// Records that a router that was asked does not know a stream's origin.
    pub fn record_unknown(&mut self, stream: StreamId) {
        if let Some(unanswered) = self.unanswered.get_mut(&stream) {
            *unanswered = unanswered.saturating_sub(1);
        }
    }

    /// Returns whether an answer about a stream's origin may still arrive.
    #[must_use]
    pub fn is_awaited(&self, stream: StreamId) -> bool {
        self.unanswered.get(&stream).is_some_and(|n| *n > 0)
    }

    /// Forgets that a stream's origin was asked for.
    pub fn end_query(&mut self, stream: StreamId) {
        self.unanswered.remove(&stream);
    }

    /// Returns the number of known origins.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_stream.len()
    }

    /// Returns whether no origin is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_stream.is_empty()
    }
}

/// Returns the routers that keep the origin of a stream, out of all routers by name.
#[must_use]
pub fn keepers<'a>(stream: StreamId, routers: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let rank = |name: &str| hash64(KEEPER_SEED ^ stream.0, name.as_bytes());
    let mut ranked = routers.map(|name| (rank(name), name)).collect::<Vec<_>>();
    ranked.sort_unstable();
    ranked
        .into_iter()
        .rev()
        .take(KEEPERS)
        .map(|(_, name)| name)
        .collect()
}

/// `OriginQueue` holds the streams that began at this router and are not reported yet.
///
/// They are reported once their pool runs several software versions, so that the streams that began
/// shortly before a second version joined are reported too.
#[derive(Debug, Default)]
pub struct OriginQueue {
    by_pool: HashMap<Arc<str>, VecDeque<StreamId>>,
}

impl OriginQueue {
    /// Adds a stream of a pool.
    pub fn push(&mut self, stream: StreamId, pool: &Arc<str>) {
        let streams = self.by_pool.entry(Arc::clone(pool)).or_default();
        if streams.len() >= MAX_ORIGINS {
            streams.pop_front();
        }
        streams.push_back(stream);
    }

    /// Takes the reports of streams whose pools are `mixed`, and drops streams whose origins are no
    /// longer kept.
    pub fn take_reports(
        &mut self,
        now: Instant,
        origins: &Origins,
        mixed: impl Fn(&str) -> bool,
    ) -> Vec<OriginReport> {
        let mut reports = Vec::new();
        self.by_pool.retain(|pool, streams| {
            if mixed(pool) {
                let known = streams.drain(..).filter_map(|s| origins.report(now, s));
                reports.extend(known);
            }
            while let Some(oldest) = streams.front()
                && origins.version(now, *oldest).is_none()
            {
                streams.pop_front();
            }
            !streams.is_empty()
        });
        reports
    }

    /// Returns whether there is nothing to report.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_pool.is_empty()
    }
}

/// Groups reports by the router that is to receive them, in datagrams of bounded size. Reports that
/// `own` keeps itself are not sent to it.
#[must_use]
pub fn address_reports<'a>(
    reports: &[OriginReport],
    own: &'a str,
    others: &[&'a str],
) -> Vec<(&'a str, Vec<OriginReport>)> {
    let mut by_router = HashMap::<&str, Vec<OriginReport>>::new();
    for report in reports {
        let keepers = keepers(report.stream, others.iter().copied().chain([own]));
        for name in keepers.into_iter().filter(|name| *name != own) {
            by_router.entry(name).or_default().push(*report);
        }
    }
    let datagrams = by_router.into_iter().flat_map(|(name, reports)| {
        let parts = reports.chunks(MAX_PER_DATAGRAM).map(<[_]>::to_vec);
        parts.map(move |part| (name, part)).collect::<Vec<_>>()
    });
    datagrams.collect()
}
