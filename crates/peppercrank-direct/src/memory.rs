// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Memory of targets: how many tokens the requests in flight to a target take there.
//!
//! A request takes its private part, which is its answer and what no other request shares of its
//! prompt, and each shared part once for all requests in flight that contain it. A router knows its
//! own requests exactly. It counts its peers' requests at the mean of its own, with a margin for
//! those that it has not heard of.

use std::collections::HashMap;
use std::sync::Arc;

use peppercrank_core::time::Instant;
use slotmap::SecondaryMap;

use crate::directory::TargetKey;
use crate::prefixes::PromptPart;
use crate::rates::as_f64;
use crate::warm_up::RouterSet;

use parts::Parts;

mod parts;
mod room;
pub use parts::Members;
pub use room::PoolMemory;
pub use room::RoomCheck;

/// Maximum number of distinct shared parts that are tracked at one target. Further ones count for
/// each request, which overestimates what the target holds.
pub const MAX_SHARED_PARTS: usize = 256;

/// Weight of one request in the moving averages once there are enough: about a hundred requests count.
const SAMPLE_WEIGHT: f64 = 0.01;

/// Number of samples below which each request of a peer counts like the largest of this router.
const MIN_SAMPLES: f64 = 20.0;

/// Mean requests that a target holds, below which its memory is divided among routers.
const FEW_REQUESTS: f64 = 16.0;

/// Factor on [`FEW_REQUESTS`] from which memory is no longer divided.
const FEW_HYSTERESIS: f64 = 1.5;

/// Time constant, in seconds, with which the largest recent request is forgotten.
const LARGEST_DECAY_SECONDS: f64 = 5.0;

/// `Need` is the memory that a request takes at a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Need {
    /// Tokens of the answer and of the part of the prompt that no other request shares.
    private_tokens: u64,
    /// Parts of the prompt that other requests share.
    shared: Vec<PromptPart>,
}

impl Need {
    /// Returns the need of a request with the given tokens in its prompt and at most in its answer.
    /// Shared parts beyond the prompt's length are ignored, and the answer is clamped to what a
    /// target's memory of `capacity` tokens leaves. Returns `None` if the prompt alone exceeds it.
    #[must_use]
    pub fn new(prompt: u64, output: u64, shared: &[PromptPart], capacity: u64) -> Option<Self> {
        let output = output.min(capacity.checked_sub(prompt)?);
        let mut rest = prompt;
        let mut parts = Vec::with_capacity(shared.len());
        for part in shared {
            let tokens = part.tokens.min(rest);
            rest -= tokens;
            parts.push(PromptPart { tokens, ..*part });
        }
        Some(Self {
            private_tokens: rest + output,
            shared: parts,
        })
    }

    /// Returns the tokens that it takes at a target without any of its shared parts.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.private_tokens + self.shared.iter().map(|p| p.tokens).sum::<u64>()
    }

    /// Returns the tokens that it takes in addition to what a target holds.
    fn additional(&self, held: &Held) -> u64 {
        let missing = self.shared.iter().map(|p| {
            let known = held.shared.get(&p.prefix_hash).map_or(0, |k| k.tokens);
            p.tokens.saturating_sub(known)
        });
        self.private_tokens + missing.sum::<u64>()
    }
}

/// Shared part that requests in flight to a target contain.
#[derive(Debug, Clone, Copy)]
struct SharedPart {
    tokens: u64,
    requests: u32,
}

/// Memory that this router's requests take at one target.
#[derive(Debug, Default)]
struct Held {
    requests: u32,
    tokens: u64,
    shared: HashMap<u64, SharedPart>,
}

/// Needs of the requests of one pool.
#[derive(Debug, Clone, Copy, Default)]
struct PoolNeeds {
    /// Requests of this router in flight.
    in_flight: u32,
    /// Number of samples in the averages, at most the inverse of [`SAMPLE_WEIGHT`].
    samples: f64,
    /// Mean of the tokens that a request added at its target.
    mean: f64,
    /// Mean of their squares.
    mean_square: f64,
    /// Largest recent need, as of `largest_at`.
    largest: f64,
    largest_at: Instant,
}

impl PoolNeeds {
    fn record(&mut self, tokens: u64) {
        self.samples = (self.samples + 1.0).min(1.0 / SAMPLE_WEIGHT);
        let tokens = as_f64(tokens);
        self.mean += (tokens - self.mean) / self.samples;
        self.mean_square += (tokens * tokens - self.mean_square) / self.samples;
    }

    /// Returns the mean, or the largest recent need where too few are known.
    fn typical(&self, now: Instant) -> f64 {
        if self.samples >= MIN_SAMPLES {
            self.mean
        } else {
            self.largest(now)
        }
    }

    fn largest(&self, now: Instant) -> f64 {
        let elapsed = now.since(self.largest_at).as_secs_f64();
        self.largest * (-elapsed / LARGEST_DECAY_SECONDS).exp()
    }
}

/// `Reservation` is the memory that a request in flight takes at its target. It must be given back
/// to [`TargetMemory::release`].
#[derive(Debug)]
#[must_use]
pub struct Reservation {
    key: TargetKey,
    pool: Arc<str>,
    /// Tokens that count for this request alone.
    tokens: u64,
    /// Tracked parts that it shares.
    parts: Vec<u64>,
}

/// `TargetMemory` tracks the memory that this router's requests take at each target.
#[derive(Debug, Default)]
pub struct TargetMemory {
    held: SecondaryMap<TargetKey, Held>,
    pools: HashMap<Arc<str>, PoolNeeds>,
    /// Division of the memory of the pools whose targets hold few requests.
    parts: HashMap<Arc<str>, Parts>,
}

impl TargetMemory {
    /// Records that a request arrived, whether or not it finds room. Room for the largest recent
    /// one is kept at every target.
    pub fn record_arrival(&mut self, now: Instant, pool: &Arc<str>, need: &Need) {
        let needs = self.pools.entry(Arc::clone(pool)).or_default();
        let total = as_f64(need.total());
        if total >= needs.largest(now) {
            needs.largest = total;
            needs.largest_at = now;
        }
    }

    /// Divides the memory of a pool's targets among the registered routers, where these hold few
    /// requests of at most `capacity` tokens together. `known_routers` is the number of routers that
    /// are known from the list or from their messages.
    pub fn divide(
        &mut self,
        now: Instant,
        pool: &Arc<str>,
        capacity: u64,
        routers: &RouterSet,
        known_routers: usize,
        members: impl FnOnce() -> Members,
    ) {
        let needs = self.pools.get(pool).copied().unwrap_or_default();
        let factor = if self.parts.contains_key(pool) {
            FEW_HYSTERESIS
        } else {
            1.0
        };
        let few = as_f64(capacity) < FEW_REQUESTS * factor * needs.typical(now);
        if known_routers <= 1 || routers.is_partial(known_routers) || !few {
            self.parts.remove(pool);
            return;
        }
        let parts = self.parts.entry(Arc::clone(pool)).or_default();
        parts.update(now, routers, members);
    }

    /// Counts a request that is being sent to a target.
    pub fn reserve(&mut self, pool: &Arc<str>, key: TargetKey, need: &Need) -> Reservation {
        let mut reservation = Reservation {
            key,
            pool: Arc::clone(pool),
            tokens: need.private_tokens,
            parts: Vec::new(),
        };
        let needs = self.pools.entry(Arc::clone(pool)).or_default();
        needs.in_flight += 1;
        let Some(held) = self.held.entry(key) else {
            return reservation;
        };
        let held = held.or_default();
        let additional = need.additional(held);
        for part in &need.shared {
            if held.share(part) {
                reservation.parts.push(part.prefix_hash);
            } else {
                reservation.tokens += part.tokens;
            }
        }
        held.requests += 1;
        held.tokens += reservation.tokens;
        needs.record(additional);
        reservation
    }

    /// Stops counting a request whose answer has ended.
    pub fn release(&mut self, reservation: Reservation) {
        if let Some(needs) = self.pools.get_mut(&reservation.pool) {
            needs.in_flight = needs.in_flight.saturating_sub(1);
        }
        // A start of a target that is gone holds nothing any more.
        let Some(held) = self.held.get_mut(reservation.key) else {
            return;
        };
        held.requests = held.requests.saturating_sub(1);
        held.tokens = held.tokens.saturating_sub(reservation.tokens);
        for part in reservation.parts {
            held.unshare(part);
        }
    }

    /// Removes a start of a target that is gone, with what it held.
    pub fn forget(&mut self, key: TargetKey) {
        self.held.remove(key);
    }

    /// Returns the targets of this router's requests with the tokens that these take there.
    pub fn by_target(&self) -> impl Iterator<Item = (TargetKey, u64)> {
        self.held.iter().map(|(key, held)| (key, held.tokens))
    }

    /// Returns the tokens that this router's requests take at a target.
    #[must_use]
    pub fn own_tokens(&self, key: TargetKey) -> u64 {
        self.held.get(key).map_or(0, |held| held.tokens)
    }
}

impl Held {
    /// Counts a request at a shared part. Returns false if too many parts are tracked already.
    fn share(&mut self, part: &PromptPart) -> bool {
        if let Some(known) = self.shared.get_mut(&part.prefix_hash) {
            known.requests += 1;
            // Callers may state different lengths of the same part.
            self.tokens += part.tokens.saturating_sub(known.tokens);
            known.tokens = known.tokens.max(part.tokens);
            return true;
        }
        if self.shared.len() >= MAX_SHARED_PARTS {
            return false;
        }
        let shared = SharedPart {
            tokens: part.tokens,
            requests: 1,
        };
        self.shared.insert(part.prefix_hash, shared);
        self.tokens += part.tokens;
        true
    }

    fn unshare(&mut self, prefix_hash: u64) {
        let Some(part) = self.shared.get_mut(&prefix_hash) else {
            return;
        };
        part.requests -= 1;
        if part.requests == 0 {
            self.tokens = self.tokens.saturating_sub(part.tokens);
            self.shared.remove(&prefix_hash);
        }
    }
}
