// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Rate limit for cold targets, which for a while can take only a certain number of requests per
//! second from all routers together and crash under more.
//!
//! No router knows what the others are sending at the moment, so the rate is divided without
//! communication. For each cold target, a few of the registered routers are selected by rendezvous
//! hashing. Each of them may send it a fixed number of requests per window, and the others send it
//! none. All routers select from the same list; lists that differ by a few routers differ by at
//! most as many of the selected ones. Half of the allowed rate is divided, and the other half is
//! reserved for differing lists.
//!
//! A target counts as cold according to its own entry, and where it may have become cold without
//! the router having learnt of it:
//!
//! | what is known | cold until |
//! | --- | --- |
//! | its entry tells how long it stays cold | the end of that time |
//! | it registered after the first list | the pool's warm-up time after that |
//! | its availability zone was restored after an evacuation | the pool's warm-up time after that |
//! | a connection to it was refused or timed out | the pool's warm-up time after the last one |
//! | the store has not answered for a while, so restarts may be unknown | the store answers |

use std::collections::VecDeque;
use std::time::Duration;

use peppercrank_core::hash::hash64;
use peppercrank_core::time::Instant;
use slotmap::SecondaryMap;

use crate::target::TargetKey;

/// Seed of the hash that selects the routers for a cold target.
const SEED: u64 = 0x7761_726d;

/// Window over which the requests to a cold target are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Fraction of the allowed rate that is divided among routers.
const SHARED_PART: f64 = 0.5;

/// Additional time for which a target counts as cold, since its entry is read with a delay.
pub const COLD_MARGIN: Duration = Duration::from_millis(500);

/// Time without an answer from the store after which targets may have become cold unnoticed. It
/// covers a watch that times out, the pause after it and the next answer.
const STALE_AFTER: Duration = Duration::from_millis(7_500);

/// Like `STALE_AFTER`, while the store is known to be unavailable.
const STALE_AFTER_OUTAGE: Duration = Duration::from_secs(3);

/// `WarmUp` describes how the targets of a pool warm up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUp {
    /// Time for which a target is cold.
    pub duration: Duration,
    /// Requests per second that a cold target can take.
    pub rate: f64,
}

/// `Allowance` is how far the requests to a cold target may exceed its rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Factor on the rate that the target can take.
    pub rate_factor: f64,
    /// Requests per second in addition to the rate times the factor.
    pub slack: f64,
}

/// Returns the number of requests per window that all routers together may send to a cold target.
/// At least 1.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "it is one at least, and saturates at the upper end"
)]
pub fn fleet_budget(warm_up: &WarmUp, allowance: &Allowance) -> usize {
    let bound = warm_up.rate * allowance.rate_factor + allowance.slack;
    (bound * SHARED_PART).min(warm_up.rate).max(1.0) as usize
}

/// `RouterSet` holds the registered routers, among which the rate of each cold target is divided.
#[derive(Debug, Clone, Default)]
pub struct RouterSet {
    /// Hashes of the names of all registered routers, including this one.
    hashes: Vec<u64>,
    /// Hash of this router's name.
    own: u64,
    /// Whether a list of routers has been received.
    listed: bool,
    /// Number that is incremented with each change of the routers, which outdates cached shares.
    version: u64,
}

impl RouterSet {
    /// Sets the registered routers; `own` is the name of this one.
    pub fn set<'a>(&mut self, own: &str, others: impl Iterator<Item = &'a str>) {
        self.own = name_hash(own);
        self.hashes = others.map(name_hash).collect();
        self.hashes.push(self.own);
        self.hashes.sort_unstable();
        self.hashes.dedup();
        self.listed = true;
        self.version += 1;
    }

    /// Returns the hashes of the names of all registered routers, this one included, in order.
    #[must_use]
    pub fn names(&self) -> &[u64] {
        &self.hashes
    }

    /// Returns whether a name's hash is that of this router.
    #[must_use]
    pub const fn is_own(&self, name: u64) -> bool {
        name == self.own
    }

    /// Returns whether the list lacks many of `known_routers` routers, or was not received yet.
    #[must_use]
    pub const fn is_partial(&self, known_routers: usize) -> bool {
        !self.listed || self.hashes.len() * 4 < known_routers * 3
    }

    /// Returns the rank of the router with this name's hash for a target.
    #[must_use]
    pub fn rank(name: u64, placement_id: u32) -> u64 {
        router_rank(name, placement_id)
    }

    /// Returns how many of the `requests` per window this router may send to the target with this
    /// placement id. `known_routers` is the number of routers known from the list or from their
    /// messages, whichever is greater.
    #[must_use]
    pub fn share(&self, placement_id: u32, requests: usize, known_routers: usize) -> usize {
        if !self.listed {
            return 0;
        }
        let count = self.hashes.len();
        let own = router_rank(self.own, placement_id);
        if self.is_partial(known_routers) {
            // The list lacks many routers, which cannot be ranked here but may select themselves.
            // So each router compares its rank with a fixed bound instead of with the other
            // routers, and the bound selects only half of `requests` routers on average.
            let each = u64::MAX / known_routers as u64;
            let most = each.saturating_mul(requests.div_ceil(2) as u64);
            return usize::from(own < most);
        }
        if count <= requests {
            return requests / count;
        }
        let ranks = self
            .hashes
            .iter()
            .map(|name| router_rank(*name, placement_id));
        usize::from(ranks.filter(|r| *r > own).count() < requests)
    }
}

/// Returns the hash of a router's name.
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    hash64(SEED, name.as_bytes())
}

/// Returns a router's rank for a target.
fn router_rank(name: u64, placement_id: u32) -> u64 {
    hash64(name, &placement_id.to_le_bytes())
}

/// `Opens` is when a cold target may be sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Opens {
    /// It may be sent a request immediately.
    Now,
    /// It may be sent a request after this delay.
    After(Duration),
    /// It gets no requests from this router while it is cold.
    Never,
}

/// Requests that this router sent to one cold target.
#[derive(Debug, Clone, Default)]
struct SendHistory {
    /// Cached share, with the version of the router set and the number of known routers that it was
    /// computed for.
    share: Option<(u64, usize, usize)>,
    /// Times of the requests within the last window.
    times: VecDeque<Instant>,
}

impl SendHistory {
    /// Drops the requests that are older than the window.
    fn expire(&mut self, now: Instant) {
        while self
            .times
            .front()
            .is_some_and(|at| now.since(*at) >= WINDOW)
        {
            self.times.pop_front();
        }
    }
}

/// `Gate` limits the requests that this router sends to cold targets.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    /// Routers among which the rates of cold targets are divided.
    pub routers: RouterSet,
    history: SecondaryMap<TargetKey, SendHistory>,
    unreachable_at: SecondaryMap<TargetKey, Instant>,
    /// Time of the store's last answer about targets.
    last_answer: Option<Instant>,
}

impl Gate {
    /// Records that the store answered a query for changes of targets.
    pub const fn store_answered(&mut self, now: Instant) {
        self.last_answer = Some(now);
    }

    /// Returns whether targets may have become cold unnoticed. `away` is the time since which the
    /// router has not reached the store, `None` while it does.
    #[must_use]
    pub fn is_stale(&self, now: Instant, away: Option<Instant>) -> bool {
        let Some(answered) = self.last_answer else {
            return true;
        };
        let long_away = away.is_some_and(|since| now.since(since) >= STALE_AFTER_OUTAGE);
        long_away || now.since(answered) >= STALE_AFTER
    }

    /// Records that a connection to a target was refused or timed out.
    pub fn mark_unreachable(&mut self, now: Instant, key: TargetKey) {
        self.unreachable_at.insert(key, now);
    }

    /// Returns when a connection to the target last was refused or timed out.
    #[must_use]
    pub fn last_unreachable(&self, key: TargetKey) -> Option<Instant> {
        self.unreachable_at.get(key).copied()
    }

    /// Returns when a cold target may be sent a request. `requests` is the fleet's budget per window
    /// ([`fleet_budget`]), and `known_routers` the number of known routers.
    pub fn opens(
        &mut self,
        now: Instant,
        (key, placement_id): (TargetKey, u32),
        requests: usize,
        known_routers: usize,
    ) -> Opens {
        let Some(entry) = self.history.entry(key) else {
            return Opens::Never;
        };
        let sent = entry.or_default();
        let version = self.routers.version;
        let share = match sent.share {
            Some((of, among, share)) if (of, among) == (version, known_routers) => share,
            _ => self.routers.share(placement_id, requests, known_routers),
        };
        sent.share = Some((version, known_routers, share));
        sent.expire(now);
        match (share, sent.times.front()) {
            (0, _) => Opens::Never,
            (share, Some(first)) if sent.times.len() >= share => {
                Opens::After((*first + WINDOW).since(now))
            }
            _ => Opens::Now,
        }
    }

    /// Records that a cold target was sent a request.
    pub fn record_sent(&mut self, now: Instant, key: TargetKey) {
        if let Some(sent) = self.history.get_mut(key) {
            sent.expire(now);
            sent.times.push_back(now);
        }
    }

    /// Removes the state of a target that is gone.
    pub fn forget(&mut self, key: TargetKey) {
        self.history.remove(key);
        self.unreachable_at.remove(key);
    }
}
