// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Datagrams between routers: each router's work on each target, and which target was just sent
//! which prompt prefix.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use peppercrank_core::hash::hash64;
use peppercrank_core::time::Instant;
use postcard::fixint;
use serde::Deserialize;
use serde::Serialize;

use crate::confirm::Confirmation;
use crate::confirm::ConfirmationRequest;
use crate::failures::FailureSummary;
use crate::origins::OriginReport;
use crate::origins::StreamId;
use crate::quarantine::CrashReport;
use crate::quarantine::PartReport;
use crate::reports::LoadReport;
use crate::shares::report::DemandReport;
use crate::starts::Start;

/// Longest datagram, in bytes. It is below the usual path MTU, so that no datagram is fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Longest encoding of one hint, in bytes: five for the target's id and ten for the prefix hash.
const MAX_HINT_BYTES: usize = 15;

/// Time without a summary after which a peer's work is no longer counted, in a small fleet: about
/// ten summaries.
pub const MIN_PEER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Part of the timeout for each peer in a large fleet, where summaries are sent to the peers in
/// turn: at the usual size of a summary each peer is reached every 50 ms times the number of peers.
const TIMEOUT_PER_PEER: Duration = Duration::from_millis(150);

/// Returns the time without a summary after which a peer's work is no longer counted.
#[must_use]
pub fn peer_timeout(peers: usize) -> Duration {
    let each = TIMEOUT_PER_PEER.saturating_mul(u32::try_from(peers).unwrap_or(u32::MAX));
    MIN_PEER_TIMEOUT.max(each)
}

/// Seed of the hash that gives target ids.
const TARGET_ID_SEED: u64 = 0x7461_7267;

/// Short id of one start of a target, for datagrams. It is a hash, so that routers need no
/// agreement on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetId(pub u32);

impl TargetId {
    /// Returns the id of one start of an instance.
    #[must_use]
    pub fn of(instance: &str, start: Start) -> Self {
        let seed = start.0.map_or(TARGET_ID_SEED, |born| TARGET_ID_SEED ^ born);
        let hash = hash64(seed, instance.as_bytes());
        Self((hash >> 32) as u32)
    }
}

/// Seed of the hash that gives pool ids.
const POOL_ID_SEED: u64 = 0x706f_6f6c;

/// Short id of a pool, for datagrams. It is a hash of its name, so that routers need no agreement on
/// it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PoolId(#[serde(with = "fixint::le")] pub u32);

impl PoolId {
    /// Returns the id of a pool.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let hash = hash64(POOL_ID_SEED, name.as_bytes());
        Self((hash >> 32) as u32)
    }
}

/// Unfinished work of one router on one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Id of the target's start.
    pub target: TargetId,
    /// Requests sent to the target that have not ended.
    pub in_flight: u32,
    /// Prompt tokens of these requests that the target has not processed yet.
    pub prefill_tokens: u64,
}

/// Notice that a target was sent a prompt prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixHint {
    /// Id of the target's start.
    pub target: TargetId,
    /// Hash of the prompt's parts up to and including the last one sent.
    pub prefix_hash: u64,
}

/// Maximum number of hints per datagram, which leaves room for the work on a large fleet's targets.
const MAX_HINTS_PER_DATAGRAM: usize = 40;

/// Maximum number of queued hints. In a longer queue hints would be outdated before they were sent,
/// so the oldest are dropped.
const MAX_QUEUED_HINTS: usize = 2_000;

/// Queue of hints that have not been sent to all peers yet.
///
/// Summaries go to the peers in turn, so a hint stays in the queue until every peer has been sent
/// it once.
#[derive(Debug, Default)]
pub struct HintQueue {
    hints: VecDeque<(PrefixHint, usize)>,
}

impl HintQueue {
    /// Adds a hint to be sent to `peers` peers.
    pub fn push(&mut self, hint: PrefixHint, peers: usize) {
        if peers == 0 {
            return;
        }
        if self.hints.len() >= MAX_QUEUED_HINTS {
            self.hints.pop_front();
        }
        self.hints.push_back((hint, peers));
    }

    /// Returns the hints for a summary that is sent to `peers` peers, and puts back those that
    /// other peers still need.
    pub fn take_batch(&mut self, peers: usize) -> Vec<PrefixHint> {
        let count = self.hints.len().min(MAX_HINTS_PER_DATAGRAM);
        let batch = self.hints.drain(..count).collect::<Vec<_>>();
        for (hint, left) in &batch {
            if *left > peers {
                self.hints.push_back((*hint, left - peers));
            }
        }
        batch.into_iter().map(|(hint, _)| hint).collect()
    }
}

/// Message from one router to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// The sender's work and hints.
    Summary(Summary),
    /// Request for a confirmation that the sender's API keys are current.
    ConfirmationRequest(ConfirmationRequest),
    /// Answer to a confirmation request.
    Confirmation(Confirmation),
    /// Loads that targets reported. Routers of versions without this variant ignore the datagram.
    LoadReports(Vec<LoadReport>),
    /// Requests during which targets crashed. Routers of versions without this variant ignore the
    /// datagram.
    CrashReports(Vec<CrashReport>),
    /// Software versions at which streams began. Routers of versions without this variant ignore
    /// the datagram.
    Origins(Vec<OriginReport>),
    /// Request for the origin of a stream. Routers of versions without this variant ignore the
    /// datagram.
    OriginQuery(StreamId),
    /// Answer to a request for an origin that the sender does not know.
    OriginUnknown(StreamId),
    /// Demand of the sender's callers by organisation. Routers of versions without this variant
    /// ignore the datagram.
    Demand(DemandReport),
    /// Answers and failures of targets. Routers of versions without this variant ignore the
    /// datagram.
    Failures(FailureSummary),
    /// Parts of prompts during which targets crashed. Routers of versions without this variant
    /// ignore the datagram.
    PartReports(Vec<PartReport>),
    /// Targets that leave. Routers of versions without this variant ignore the datagram.
    Leaving(Vec<TargetId>),
}

/// Work and hints of one router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Start time of the sender in Unix milliseconds, so that the sequence of a restarted router
    /// starts afresh.
    pub incarnation: u64,
    /// Sequence number, which grows with each datagram of one incarnation.
    pub sequence: u64,
    /// All of the sender's unfinished work.
    pub work: Vec<Work>,
    /// Prefixes sent since the previous datagram.
    pub hints: Vec<PrefixHint>,
}

impl Datagram {
    /// Returns the encoded datagram. Hints of a summary that do not fit are dropped.
    ///
    /// # Errors
    ///
    /// Returns the codec's error, which does not occur for these types.
    pub fn encode(&mut self) -> postcard::Result<Vec<u8>> {
        loop {
            let bytes = postcard::to_stdvec(self)?;
            let Self::Summary(summary) = self else {
                return Ok(bytes);
            };
            if bytes.len() <= MAX_DATAGRAM_BYTES || summary.hints.is_empty() {
                return Ok(bytes);
            }
            let over = bytes.len() - MAX_DATAGRAM_BYTES;
            let drop = over.div_ceil(MAX_HINT_BYTES).min(summary.hints.len());
            summary.hints.drain(..drop);
        }
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns the codec's error if the bytes are not a valid datagram.
    pub fn decode(bytes: &[u8]) -> postcard::Result<Self> {
        postcard::from_bytes(bytes)
    }
}

/// Latest summary of another router.
#[derive(Debug)]
struct Peer {
    incarnation: u64,
    /// Incarnation before the current one, if this router has seen the change.
    previous_incarnation: Option<u64>,
    sequence: u64,
    last_heard: Instant,
    work: Vec<Work>,
}

/// Total work of all other routers on one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerWork {
    /// Requests sent to the target that have not ended.
    pub in_flight: u64,
    /// Prompt tokens of these requests that the target has not processed yet.
    pub prefill_tokens: u64,
}

/// Latest summaries of the other routers.
///
/// Totals by target are updated with each summary, so that the cost of an update depends on the
/// size of that summary and not on the number of peers.
#[derive(Debug, Default)]
pub struct Peers {
    by_address: HashMap<SocketAddr, Peer>,
    totals: HashMap<TargetId, PeerWork>,
    /// Targets whose totals have changed since the last call of [`Peers::take_changed`].
    changed: HashSet<TargetId>,
}

impl Peers {
    /// Records a summary; returns false if it is older than the one already known.
    ///
    /// A new incarnation replaces the old one at once, even if its clock was set back, so that a
    /// restarted router is heard by its first summary. When only greater incarnations were
    /// accepted, and these were drawn at random, half of all restarted routers were ignored for 2.5
    /// s or more.
    pub fn record_summary(&mut self, now: Instant, from: SocketAddr, summary: &Summary) -> bool {
        let mut previous_incarnation = None;
        if let Some(peer) = self.by_address.get(&from) {
            match summary.incarnation.cmp(&peer.incarnation) {
                Ordering::Equal if summary.sequence <= peer.sequence => return false,
                Ordering::Equal => previous_incarnation = peer.previous_incarnation,
                Ordering::Greater => previous_incarnation = Some(peer.incarnation),
                // A delayed datagram of the previous incarnation.
                Ordering::Less if peer.previous_incarnation == Some(summary.incarnation) => {
                    return false;
                }
                // Either the peer's clock was set back, or the datagram is delayed; in the latter
                // case the next summary of the current incarnation replaces it.
                Ordering::Less => {}
            }
        }
        let peer = Peer {
            incarnation: summary.incarnation,
            previous_incarnation,
            sequence: summary.sequence,
            last_heard: now,
            work: summary.work.clone(),
        };
        self.add_work(&summary.work);
        if let Some(old) = self.by_address.insert(from, peer) {
            self.subtract_work(&old.work);
        }
        true
    }

    /// Removes peers that have not been heard within the timeout.
    pub fn expire(&mut self, now: Instant) {
        let timeout = peer_timeout(self.by_address.len());
        let gone = self
            .by_address
            .extract_if(|_, p| now.since(p.last_heard) >= timeout)
            .collect::<Vec<_>>();
        for (_, peer) in gone {
            self.subtract_work(&peer.work);
        }
    }

    fn add_work(&mut self, work: &[Work]) {
        for work in work {
            let total = self.totals.entry(work.target).or_default();
            // All work that is added is subtracted later, so totals that wrap around become correct
            // again.
            total.in_flight = total.in_flight.wrapping_add(work.in_flight.into());
            total.prefill_tokens = total.prefill_tokens.wrapping_add(work.prefill_tokens);
            self.changed.insert(work.target);
        }
    }

    fn subtract_work(&mut self, work: &[Work]) {
        for work in work {
            let total = self.totals.entry(work.target).or_default();
            total.in_flight = total.in_flight.wrapping_sub(work.in_flight.into());
            total.prefill_tokens = total.prefill_tokens.wrapping_sub(work.prefill_tokens);
            if *total == PeerWork::default() {
                self.totals.remove(&work.target);
            }
            self.changed.insert(work.target);
        }
    }

    /// Returns the other routers' work on a target.
    #[must_use]
    pub fn work_on(&self, target: TargetId) -> PeerWork {
        self.totals.get(&target).copied().unwrap_or_default()
    }

    /// Returns the targets on which the router at this address has requests, as far as it was heard.
    pub fn targets_of(&self, from: SocketAddr) -> impl Iterator<Item = TargetId> + use<'_> {
        let peer = self.by_address.get(&from).into_iter();
        let work = peer.flat_map(|p| &p.work).filter(|w| w.in_flight > 0);
        work.map(|w| w.target)
    }

    /// Returns the other routers' work on each target for which it has changed since the last call.
    pub fn take_changed(&mut self) -> Vec<(TargetId, PeerWork)> {
        let changed = std::mem::take(&mut self.changed);
        let work = changed
            .into_iter()
            .map(|target| (target, self.work_on(target)));
        work.collect()
    }

    /// Returns whether the router at this address has been heard within the timeout.
    #[must_use]
    pub fn is_alive(&self, now: Instant, from: SocketAddr) -> bool {
        let timeout = peer_timeout(self.by_address.len());
        let peer = self.by_address.get(&from);
        peer.is_some_and(|p| now.since(p.last_heard) < timeout)
    }

    /// Returns the mean age of the other routers' summaries; zero without other routers, since then
    /// there is no work that this router does not know of.
    #[must_use]
    pub fn mean_age(&self, now: Instant) -> Duration {
        let ages = self.by_address.values().map(|p| now.since(p.last_heard));
        let peers = u32::try_from(self.by_address.len()).unwrap_or(u32::MAX);
        ages.sum::<Duration>() / peers.max(1)
    }

    /// Returns the number of other routers that have been heard within the timeout.
    #[must_use]
    pub fn alive_count(&self, now: Instant) -> usize {
        let silent = peer_timeout(self.by_address.len());
        let alive = |p: &&Peer| now.since(p.last_heard) < silent;
        self.by_address.values().filter(alive).count()
    }
}
