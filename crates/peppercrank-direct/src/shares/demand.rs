// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Demand of a router's own callers by organisation, as exponentially decayed rates.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::hash::hash64;
use peppercrank_core::time::Instant;
use postcard::fixint;
use serde::Deserialize;
use serde::Serialize;

use crate::ranks::Rank;
use crate::rates::as_f64;

/// Time constant of the decay of rates.
const DECAY: Duration = Duration::from_secs(1);

/// Shortest time over which a rate is taken.
const MIN_ELAPSED: Duration = Duration::from_millis(100);

/// Maximum number of organisations that a router tells apart in a pool. Further ones count as one.
const MAX_ORGANISATIONS: usize = 256;

/// Rate below which an organisation is forgotten, in tokens per second.
const MIN_RATE: f64 = 1.0;

/// Maximum number of ranks that are told apart; less urgent ones count as one.
const MAX_RANKS: usize = 16;

/// Largest size of a request that counts, in tokens.
const MAX_SIZE: u64 = 10_000_000;

/// Part of its organisation's admitted fraction that each rank is guaranteed.
const GUARANTEED_SHARE: f64 = 0.35;

/// Seed of the hash that gives ids of organisations.
const ORGANISATION_SEED: u64 = 0x6f72_6761;

/// `OrganisationId` is a hash of an organisation's name, for datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrganisationId(#[serde(with = "fixint::le")] pub u32);

impl OrganisationId {
    /// Organisations that a router does not tell apart.
    const OTHERS: Self = Self(0);

    /// Returns the id of an organisation.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self((hash64(ORGANISATION_SEED, name.as_bytes()) >> 32) as u32)
    }
}

/// First attempt of a request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Organisation of its caller; empty for callers without one.
    pub organisation: Arc<str>,
    /// Size of the request, in tokens.
    pub size: u64,
    /// Urgency of the request among those of its pool.
    pub rank: Rank,
}

/// Rate that decays exponentially, per second.
#[derive(Debug, Clone, Copy, Default)]
struct DecayedRate {
    rate: f64,
    updated_at: Instant,
}

impl DecayedRate {
    fn record(&mut self, now: Instant, amount: f64) {
        self.rate = self.get(now) + amount / DECAY.as_secs_f64();
        self.updated_at = now;
    }

    fn get(&self, now: Instant) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.rate * (-age / DECAY.as_secs_f64()).exp()
    }
}

/// Returns the standard deviation of a rate of requests of `tokens` tokens each, which arrive
/// independently of each other.
#[must_use]
pub fn deviation(rate: f64, tokens: f64) -> f64 {
    (rate * tokens / (2.0 * DECAY.as_secs_f64()))
        .max(0.0)
        .sqrt()
}

#[derive(Debug)]
struct Organisation {
    name: Arc<str>,
    /// Rates, indexed by the level of their rank.
    by_rank: Vec<DecayedRate>,
}

impl Organisation {
    fn rate(&self, now: Instant) -> f64 {
        self.by_rank.iter().map(|r| r.get(now)).sum()
    }
}

/// Demand of a router's own callers for one pool.
#[derive(Debug, Default)]
pub struct OwnDemand {
    organisations: HashMap<OrganisationId, Organisation>,
    /// Requests per second, of all organisations.
    requests: DecayedRate,
    /// When the first of the requests that still count came.
    first_at: Option<Instant>,
}

impl OwnDemand {
    /// Counts a request, and returns by which id.
    pub fn record(&mut self, now: Instant, arrival: &Arrival) -> OrganisationId {
        self.first_at.get_or_insert(now);
        let mut id = OrganisationId::of(&arrival.organisation);
        if self.organisations.len() >= MAX_ORGANISATIONS && !self.organisations.contains_key(&id) {
            id = OrganisationId::OTHERS;
        }
        let organisation = self
            .organisations
            .entry(id)
            .or_insert_with(|| Organisation {
                name: if id == OrganisationId::OTHERS {
                    Arc::from("")
                } else {
                    Arc::clone(&arrival.organisation)
                },
                by_rank: Vec::new(),
            });
        let level = usize::from(arrival.rank.level).min(MAX_RANKS - 1);
        if organisation.by_rank.len() <= level {
            let ranks = level + 1;
            organisation.by_rank.resize(ranks, DecayedRate::default());
        }
        let size = as_f64(arrival.size.clamp(1, MAX_SIZE));
        organisation.by_rank[level].record(now, size);
        self.requests.record(now, 1.0);
        id
    }

    /// Forgets organisations that have not asked for long.
    pub fn prune(&mut self, now: Instant) {
        self.organisations.retain(|_, o| o.rate(now) >= MIN_RATE);
        if self.organisations.is_empty() {
            self.first_at = None;
        }
    }

    /// Returns whether an organisation asked lately.
    #[must_use]
    pub fn contains(&self, id: OrganisationId) -> bool {
        self.organisations.contains_key(&id)
    }

    /// Returns the factor from a decayed rate to the mean rate since the first request.
    fn start_factor(&self, now: Instant) -> f64 {
        let elapsed = now.since(self.first_at.unwrap_or(now));
        let elapsed = elapsed.max(MIN_ELAPSED).as_secs_f64();
        1.0 / (1.0 - (-elapsed / DECAY.as_secs_f64()).exp())
    }

    /// Returns the demand of each organisation, in tokens per second.
    pub fn rates(&self, now: Instant) -> impl Iterator<Item = (OrganisationId, f64)> {
        let organisations = self.organisations.iter();
        let factor = self.start_factor(now);
        organisations.map(move |(id, o)| (*id, o.rate(now) * factor))
    }

    /// Returns the names of the organisations.
    pub fn names(&self) -> impl Iterator<Item = (OrganisationId, &str)> {
        self.organisations.iter().map(|(id, o)| (*id, &*o.name))
    }

    /// Returns the mean size of a request, in tokens; 0 without requests.
    #[must_use]
    pub fn request_tokens(&self, now: Instant) -> f64 {
        let tokens = self.rates(now).map(|(_, rate)| rate).sum::<f64>();
        let requests = self.requests.get(now) * self.start_factor(now);
        if requests > 0.0 {
            tokens / requests
        } else {
            0.0
        }
    }

    /// Returns the fraction of a rank that is admitted, where `fraction` of its organisation's
    /// demand is. More urgent ranks go first, and each rank gets a guaranteed part.
    #[must_use]
    pub fn rank_fraction(&self, now: Instant, id: OrganisationId, level: u8, fraction: f64) -> f64 {
        let Some(organisation) = self.organisations.get(&id) else {
            return fraction;
        };
        let level = usize::from(level).min(MAX_RANKS - 1);
        let guaranteed = fraction * GUARANTEED_SHARE;
        let mut left = organisation.rate(now) * (fraction - guaranteed);
        for (index, rate) in organisation.by_rank.iter().enumerate() {
            let rate = rate.get(now);
            let more = left.min(rate * (1.0 - guaranteed));
            if index == level && rate > 0.0 {
                return guaranteed + more / rate;
            }
            left -= more;
        }
        fraction
    }
}
