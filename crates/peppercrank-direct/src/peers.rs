// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What routers tell each other by datagrams: their own work on each target, and which target
//! was just sent which part of a prompt.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use peppercrank_core::hash::hash64;
use peppercrank_core::time::Moment;
use serde::Deserialize;
use serde::Serialize;

use crate::confirm::Confirmation;
use crate::confirm::ConfirmationRequest;
use crate::quarantine::CrashReport;
use crate::reports::LoadReport;
use crate::starts::Start;

/// Longest datagram, in bytes: below the usual path limit, so that none is fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Most bytes of one hint on a datagram: five of the target's name and ten of the chain's hash.
const MAX_HINT_BYTES: usize = 15;

/// Time without a word after which a peer's work counts no more, in a small fleet: some ten
/// summaries.
pub const MIN_PEER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The same for each peer of a large fleet, where summaries go round: at the usual size of a
/// summary each peer is reached every 50 ms times their number.
const TIMEOUT_PER_PEER: Duration = Duration::from_millis(150);

/// `silent` is the time without a word after which a peer's work counts no more.
#[must_use]
pub fn peer_timeout(peers: usize) -> Duration {
    let each = TIMEOUT_PER_PEER.saturating_mul(u32::try_from(peers).unwrap_or(u32::MAX));
    MIN_PEER_TIMEOUT.max(each)
}

/// Seed of the short names of targets on datagrams.
const TARGET_ID_SEED: u64 = 0x7461_7267;

/// `TargetId` is the short name of a target's start on datagrams; a hash, so that it needs no agreement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetId(pub u32);

impl TargetId {
    /// `of` is the short name of one start of an instance.
    #[must_use]
    pub fn of(instance: &str, start: Start) -> Self {
        let seed = start.0.map_or(TARGET_ID_SEED, |born| TARGET_ID_SEED ^ born);
        let hash = hash64(seed, instance.as_bytes());
        Self((hash >> 32) as u32)
    }
}

/// `Work` is one router's unfinished work on one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// The target.
    pub target: TargetId,
    /// Requests sent there and not ended.
    pub in_flight: u32,
    /// Prompt tokens that it has yet to read for them.
    pub prefill_tokens: u64,
}

/// `Hint` tells that a target was sent a part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixHint {
    /// The target.
    pub target: TargetId,
    /// The hash of the chain of parts up to this one.
    pub prefix_hash: u64,
}

/// Hints on one datagram, so that they and the work of a large fleet's pool fit.
const MAX_HINTS_PER_DATAGRAM: usize = 40;

/// Hints that wait to be told; more would be stale before they are.
const MAX_QUEUED_HINTS: usize = 2_000;

/// `Outbox` holds the hints that not all peers were told yet.
///
/// Summaries go round the peers, so a hint stays until it has gone round once.
#[derive(Debug, Default)]
pub struct HintQueue {
    hints: VecDeque<(PrefixHint, usize)>,
}

impl HintQueue {
    /// `add` adds news for so many peers.
    pub fn push(&mut self, hint: PrefixHint, peers: usize) {
        if peers == 0 {
            return;
        }
        if self.hints.len() >= MAX_QUEUED_HINTS {
            self.hints.pop_front();
        }
        self.hints.push_back((hint, peers));
    }

    /// `take` gives the hints of a summary that goes to so many peers.
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

/// `Datagram` is what one router sends another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Its work and news.
    Summary(Summary),
    /// Asks for a confirmation of what is known of keys.
    ConfirmationRequest(ConfirmationRequest),
    /// Answers that.
    Confirmation(Confirmation),
    /// What targets told of their loads. Routers that do not know it yet pass over the datagram.
    LoadReports(Vec<LoadReport>),
    /// Requests under which targets ended. Routers that do not know it yet pass over the datagram.
    CrashReports(Vec<CrashReport>),
}

/// `Summary` is a router's work and news.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The sender's start, the Unix millisecond at which it was, so that a restarted router's counts begin anew.
    pub incarnation: u64,
    /// Grows with each datagram of one start.
    pub sequence: u64,
    /// All of its work.
    pub work: Vec<Work>,
    /// Parts sent since the datagram before.
    pub hints: Vec<PrefixHint>,
}

impl Datagram {
    /// `encode` is the bytes to send; of a summary's hints as many as fit.
    ///
    /// # Errors
    ///
    /// Returns the codec's error, which these types do not bring about.
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

    /// `decode` reads a datagram.
    ///
    /// # Errors
    ///
    /// Returns the codec's error for bytes that are no datagram.
    pub fn decode(bytes: &[u8]) -> postcard::Result<Self> {
        postcard::from_bytes(bytes)
    }
}

/// `Peer` is what is known of another router.
#[derive(Debug)]
struct Peer {
    incarnation: u64,
    /// The start before, where this router saw it end.
    previous_incarnation: Option<u64>,
    sequence: u64,
    last_heard: Moment,
    work: Vec<Work>,
}

/// `Sum` is the work of all other routers on one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerWork {
    /// Requests sent there and not ended.
    pub in_flight: u64,
    /// Prompt tokens that it has yet to read for them.
    pub prefill_tokens: u64,
}

/// `Peers` holds the other routers' latest summaries.
///
/// Sums by target are kept up with each summary, so that one costs what it holds and not what all
/// peers hold.
#[derive(Debug, Default)]
pub struct Peers {
    by_address: HashMap<SocketAddr, Peer>,
    totals: HashMap<TargetId, PeerWork>,
    /// Targets whose sums changed since they were asked for.
    changed: HashSet<TargetId>,
}

impl Peers {
    /// `take` takes in a datagram; false for one that is older than what is known.
    ///
    /// A new start counts at once, also one whose clock was set back, so that a router that starts again is
    /// heard by its first summary. Where only greater numbers counted, and were drawn at random, half of all routers that
    /// started again were not heard for 2.5 s and more.
    pub fn record_summary(&mut self, now: Moment, from: SocketAddr, summary: &Summary) -> bool {
        let mut previous_incarnation = None;
        if let Some(peer) = self.by_address.get(&from) {
            match summary.incarnation.cmp(&peer.incarnation) {
                Ordering::Equal if summary.sequence <= peer.sequence => return false,
                Ordering::Equal => previous_incarnation = peer.previous_incarnation,
                Ordering::Greater => previous_incarnation = Some(peer.incarnation),
                // A datagram that comes late, from the start before.
                Ordering::Less if peer.previous_incarnation == Some(summary.incarnation) => {
                    return false;
                }
                // Either a clock was set back or the word is late; then the next one of the known start takes over.
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

    /// `expire` forgets peers that were silent for long.
    pub fn expire(&mut self, now: Moment) {
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
            let sum = self.totals.entry(work.target).or_default();
            // What is added is taken away again, so that sums which wrap are right in the end.
            sum.in_flight = sum.in_flight.wrapping_add(work.in_flight.into());
            sum.prefill_tokens = sum.prefill_tokens.wrapping_add(work.prefill_tokens);
            self.changed.insert(work.target);
        }
    }

    fn subtract_work(&mut self, work: &[Work]) {
        for work in work {
            let sum = self.totals.entry(work.target).or_default();
            sum.in_flight = sum.in_flight.wrapping_sub(work.in_flight.into());
            sum.prefill_tokens = sum.prefill_tokens.wrapping_sub(work.prefill_tokens);
            if *sum == PeerWork::default() {
                self.totals.remove(&work.target);
            }
            self.changed.insert(work.target);
        }
    }

    /// `sum` is the others' work on a target.
    #[must_use]
    pub fn work_on(&self, target: TargetId) -> PeerWork {
        self.totals.get(&target).copied().unwrap_or_default()
    }

    /// `changed` is the others' work on the targets on which it changed since the last call.
    pub fn take_changed(&mut self) -> Vec<(TargetId, PeerWork)> {
        let changed = std::mem::take(&mut self.changed);
        let work = changed
            .into_iter()
            .map(|target| (target, self.work_on(target)));
        work.collect()
    }

    /// `hears` tells whether the router at this address was heard of late.
    #[must_use]
    pub fn is_alive(&self, now: Moment, from: SocketAddr) -> bool {
        let timeout = peer_timeout(self.by_address.len());
        let peer = self.by_address.get(&from);
        peer.is_some_and(|p| now.since(p.last_heard) < timeout)
    }

    /// `lag` is how long ago the others told of their work, on average over those who tell; no time where there is no other
    /// router, whose work this one would not know.
    #[must_use]
    pub fn mean_age(&self, now: Moment) -> Duration {
        let ages = self.by_address.values().map(|p| now.since(p.last_heard));
        let peers = u32::try_from(self.by_address.len()).unwrap_or(u32::MAX);
        ages.sum::<Duration>() / peers.max(1)
    }

    /// `alive` is how many other routers were heard of late.
    #[must_use]
    pub fn alive_count(&self, now: Moment) -> usize {
        let silent = peer_timeout(self.by_address.len());
        let alive = |p: &&Peer| now.since(p.last_heard) < silent;
        self.by_address.values().filter(alive).count()
    }
}
