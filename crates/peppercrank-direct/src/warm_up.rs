// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Targets that are cold: for a while they bear only so many requests a second from all routers together, and end under more.
//!
//! No router knows what the others send at this moment, so the rate is shared out without a word. Of the registered routers a few
//! are drawn for each cold target, by rendezvous hash, and each of them may send it so many requests in a window; the others send
//! it none. All draw from the same list, and lists that differ by a few routers draw the same but for as many. Half of
//! what a target bears is shared out, and the other half is for lists that differ.
//!
//! A target counts as cold by its own word, and where it may have become cold unheard:
//!
//! | what is known | cold until |
//! | --- | --- |
//! | its entry tells how long it stays cold | then |
//! | it registered after the first list | the pool's time after that |
//! | its availability zone was restored after an evacuation | the pool's time after that |
//! | a connection to it was refused or not answered | the pool's time after the last one |
//! | nothing new, as the store has not answered for a while | the store answers |

use std::collections::VecDeque;
use std::time::Duration;

use peppercrank_core::hash::hash64;
use peppercrank_core::time::Moment;
use slotmap::SecondaryMap;

use crate::target::TargetKey;

/// Seed of the hash that draws a cold target's routers.
const SEED: u64 = 0x7761_726d;

/// Time in which what a target bears is counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Part of what a target bears that is shared out.
const SHARED_PART: f64 = 0.5;

/// Time for a target to count as cold beyond what is known: its entry is read late.
pub const COLD_MARGIN: Duration = Duration::from_millis(500);

/// Time without an answer of the store after which targets may have become cold unheard: beyond a watch that waits in vain, the
/// pause after it and its answer.
const STALE_AFTER: Duration = Duration::from_millis(7_500);

/// The same where the store is known not to answer.
const STALE_AFTER_OUTAGE: Duration = Duration::from_secs(3);

/// `WarmUp` is how targets of a pool warm up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUp {
    /// Time for which a target is cold.
    pub duration: Duration,
    /// Requests a second that a cold target bears.
    pub rate: f64,
}

/// `Allowance` is how far a cold target may be driven over its rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Multiple of the rate.
    pub overage: f64,
    /// Requests besides.
    pub slack: f64,
}

/// `shared_out` is how many requests all routers together may send a cold target in a window.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "it is one at least, and saturates at the upper end"
)]
pub fn fleet_budget(warm_up: &WarmUp, allowance: &Allowance) -> usize {
    let bound = warm_up.rate * allowance.overage + allowance.slack;
    (bound * SHARED_PART).min(warm_up.rate).max(1.0) as usize
}

/// `Members` are the routers that share a cold target's rate.
#[derive(Debug, Clone, Default)]
pub struct RouterSet {
    /// Hashes of the names of the registered ones, this one among them.
    hashes: Vec<u64>,
    /// This router's.
    own: u64,
    /// Whether they were listed at all.
    listed: bool,
    /// Grows with each change.
    version: u64,
}

impl RouterSet {
    /// `set` notes who is registered, and which of them this router is.
    pub fn set<'a>(&mut self, own: &str, others: impl Iterator<Item = &'a str>) {
        self.own = hash(own);
        self.hashes = others.map(hash).collect();
        self.hashes.push(self.own);
        self.hashes.sort_unstable();
        self.hashes.dedup();
        self.listed = true;
        self.version += 1;
    }

    /// `share` is how many of `requests` in a window this router may send a target of this short name, in a fleet in which so
    /// many routers are `heard` or registered.
    #[must_use]
    pub fn share(&self, target: u32, requests: usize, heard: usize) -> usize {
        if !self.listed {
            return 0;
        }
        let known = self.hashes.len();
        let own = router_rank(self.own, target);
        if known * 4 < heard * 3 {
            // Those that the list lacks draw as well, each by itself, so that fewer are let draw.
            let each = u64::MAX / heard as u64;
            let most = each.saturating_mul(requests.div_ceil(2) as u64);
            return usize::from(own < most);
        }
        if known <= requests {
            return requests / known;
        }
        let ranks = self.hashes.iter().map(|name| router_rank(*name, target));
        usize::from(ranks.filter(|r| *r > own).count() < requests)
    }
}

/// The hash of a router's name.
fn hash(name: &str) -> u64 {
    hash64(SEED, name.as_bytes())
}

/// A router's rank for a target.
fn router_rank(name: u64, target: u32) -> u64 {
    hash64(name, &target.to_le_bytes())
}

/// `Opens` is when a cold target may be sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Opens {
    /// Now.
    Now,
    /// After this time.
    After(Duration),
    /// Not by this router while the target is cold.
    Never,
}

/// What this router knows of one cold target.
#[derive(Debug, Clone, Default)]
struct SendHistory {
    /// The version of the members and the number of routers heard by which its share was found, and that share.
    share: Option<(u64, usize, usize)>,
    /// When it was sent requests within the last window.
    times: VecDeque<Moment>,
}

impl SendHistory {
    /// Forgets what was sent before the last window.
    fn expire(&mut self, now: Moment) {
        while self
            .times
            .front()
            .is_some_and(|at| now.since(*at) >= WINDOW)
        {
            self.times.pop_front();
        }
    }
}

/// `Gate` keeps requests from cold targets.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    /// The routers that share the targets' rates.
    pub routers: RouterSet,
    history: SecondaryMap<TargetKey, SendHistory>,
    unreachable_at: SecondaryMap<TargetKey, Moment>,
    /// When the store answered a question for targets last.
    last_answer: Option<Moment>,
}

impl Gate {
    /// `heard` notes that the store told what changed of the targets.
    pub const fn store_answered(&mut self, now: Moment) {
        self.last_answer = Some(now);
    }

    /// `is_blind` tells whether targets may have become cold unheard by a router that has not reached the store since `away`.
    #[must_use]
    pub fn is_stale(&self, now: Moment, away: Option<Moment>) -> bool {
        let Some(heard) = self.last_answer else {
            return true;
        };
        let long_away = away.is_some_and(|since| now.since(since) >= STALE_AFTER_OUTAGE);
        long_away || now.since(heard) >= STALE_AFTER
    }

    /// `unreachable` notes that a connection to a target was refused or not answered.
    pub fn mark_unreachable(&mut self, now: Moment, key: TargetKey) {
        self.unreachable_at.insert(key, now);
    }

    /// `was_unreachable` is when that happened last.
    #[must_use]
    pub fn last_unreachable(&self, key: TargetKey) -> Option<Moment> {
        self.unreachable_at.get(key).copied()
    }

    /// `opens` is when a cold target of this short name may be sent a request, of so many that all routers together may send it in
    /// a window, in a fleet in which so many routers are `heard` or registered.
    pub fn opens(
        &mut self,
        now: Moment,
        (key, name): (TargetKey, u32),
        requests: usize,
        heard: usize,
    ) -> Opens {
        let Some(entry) = self.history.entry(key) else {
            return Opens::Never;
        };
        let sent = entry.or_default();
        let version = self.routers.version;
        let share = match sent.share {
            Some((of, among, share)) if (of, among) == (version, heard) => share,
            _ => self.routers.share(name, requests, heard),
        };
        sent.share = Some((version, heard, share));
        sent.expire(now);
        match (share, sent.times.front()) {
            (0, _) => Opens::Never,
            (share, Some(first)) if sent.times.len() >= share => {
                Opens::After((*first + WINDOW).since(now))
            }
            _ => Opens::Now,
        }
    }

    /// `sent` notes that a cold target was sent a request.
    pub fn record_sent(&mut self, now: Moment, key: TargetKey) {
        if let Some(sent) = self.history.get_mut(key) {
            sent.expire(now);
            sent.times.push_back(now);
        }
    }

    /// `forget` drops what is known of a target that is gone.
    pub fn forget(&mut self, key: TargetKey) {
        self.history.remove(key);
        self.unreachable_at.remove(key);
    }
}
