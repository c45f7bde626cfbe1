// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The operators' configuration: routes, pools, organisations and bounds on callers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::hash::hash64;
use peppercrank_core::time::Moment;

use crate::ranks::Ranks;
use crate::regions::Regions;
use crate::warm_up::WarmUp;

/// Seed of the hash that draws one of a route's pools.
const POOL_SEED: u64 = 0x706f_6f6c;

/// `RouteKind` is what a route's requests allow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Repeatable,
    /// Requests run at most once.
    Once,
    /// Answers are streams of events.
    Stream {
        /// Whether a stream may be continued by another run.
        resumable: bool,
    },
}

impl RouteKind {
    /// `code` is the kind's stable name in metrics.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Repeatable => "repeatable",
            Self::Once => "once",
            Self::Stream { resumable: false } => "stream",
            Self::Stream { resumable: true } => "resumable_stream",
        }
    }

    /// `repeats` tells whether a request may run again while nothing of its answer was passed on.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        match self {
            Self::Repeatable => true,
            Self::Once => false,
            Self::Stream { resumable } => resumable,
        }
    }
}

/// `PoolShare` is one of the pools that a route's requests are spread over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolShare {
    /// The pool's name.
    pub pool: Arc<str>,
    /// Its weight among the route's pools.
    pub weight: u32,
}

/// `Route` tells where requests of one host and path go and what they allow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The host that it serves, in lower case.
    pub host: Arc<str>,
    /// The path that it serves, with a slash at both ends.
    pub prefix: Arc<str>,
    /// What its requests allow.
    pub kind: RouteKind,
    /// The longest time that a request is kept.
    pub timeout: Duration,
    /// The time within which an answer is wanted.
    pub latency_goal: Duration,
    /// The longest pause between two events of an answer that is on time, where that is named.
    pub max_event_gap: Option<Duration>,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Its pools.
    pub pools: Vec<PoolShare>,
    /// Targets that one request may run on.
    pub max_targets: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// The regions in which its requests may run.
    pub regions: Regions,
}

impl Route {
    /// `pool` is the pool of the request with this id; the same for each of its attempts.
    #[must_use]
    pub fn pool(&self, id: &[u8]) -> Option<&Arc<str>> {
        let total = self.pools.iter().map(|p| u64::from(p.weight)).sum::<u64>();
        let mut left = hash64(POOL_SEED, id).checked_rem(total)?;
        for share in &self.pools {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.pool);
            }
            left -= weight;
        }
        None
    }
}

/// `Pool` is a set of targets that serve alike.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// The pool's name.
    pub name: Arc<str>,
    /// Connections that one of its targets takes from all callers.
    pub max_connections: u32,
    /// The memory of its engines; none for plain services.
    pub prompt_cache: Option<PromptCache>,
    /// How its targets warm up, where they do.
    pub warm_up: Option<WarmUp>,
}

/// `Memory` is what one engine of a pool keeps of prompts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptCache {
    /// Tokens that it keeps.
    pub capacity_tokens: u64,
    /// Bytes of one token.
    pub bytes_per_token: f64,
    /// Bytes that it copies to another engine in a millisecond.
    pub bytes_per_ms: f64,
}

impl PromptCache {
    /// `copying` is how many tokens it copies in a millisecond; none where it cannot.
    #[must_use]
    pub fn copy_rate(&self) -> Option<f64> {
        let rate = self.bytes_per_ms / self.bytes_per_token;
        (rate.is_finite() && rate > 0.0).then_some(rate)
    }
}

/// Part of a target's connections that routers may keep unused, over all of them.
const IDLE_DIVISOR: usize = 2;

/// `spare` is how many unused connections each of so many routers may keep to one target, `most` at
/// the most.
#[must_use]
pub fn max_idle_connections(pools: &[Pool], routers: usize, most: usize) -> usize {
    let fewest = pools.iter().map(|p| p.max_connections).min();
    let fewest = fewest.map_or(usize::MAX, |c| usize::try_from(c).unwrap_or(usize::MAX));
    (fewest / IDLE_DIVISOR / routers.max(1)).min(most)
}

/// `CallerBounds` bound what callers may send and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest request head, in bytes.
    pub head_bytes: usize,
    /// The longest request body, in bytes.
    pub body_bytes: u64,
    /// Time from a head's first byte to its last.
    pub head_timeout: Duration,
    /// Time that a connection may stay without a request.
    pub idle_timeout: Duration,
}

/// `Organisation` is one whose callers hold keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// The organisation's name.
    pub name: Arc<str>,
    /// Its priority, which goes before the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// The regions in which its callers' requests may run.
    pub regions: Regions,
}

/// `Desired` is one version of the whole configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Desired {
    /// The version, which only grows.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All pools.
    pub pools: Vec<Pool>,
    /// Bounds on callers.
    pub caller_limits: CallerLimits,
    /// Organisations; without any, requests need no keys.
    pub organisations: Vec<Organisation>,
}

/// `Index` finds routes and organisations of one configuration.
#[derive(Debug)]
pub struct Index {
    desired: Desired,
    /// Routes by host, the longest prefix first.
    hosts: HashMap<Arc<str>, Vec<usize>>,
    /// Organisations by key.
    keys: HashMap<Arc<str>, usize>,
    /// How urgent requests are.
    ranks: Ranks,
}

/// `Allowed` is whether a request may run, and for whom.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access<'a> {
    /// For anyone: the route is open, or there are no organisations.
    Anyone,
    /// For a caller of this organisation.
    Member(&'a Organisation),
    /// The key is missing or nobody's.
    Denied,
}

impl Index {
    /// `new` indexes a configuration.
    #[must_use]
    pub fn new(desired: Desired) -> Self {
        let mut hosts: HashMap<Arc<str>, Vec<usize>> = HashMap::new();
        for (i, route) in desired.routes.iter().enumerate() {
            hosts.entry(Arc::clone(&route.host)).or_default().push(i);
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|i| std::cmp::Reverse(desired.routes[*i].prefix.len()));
        }
        let mut keys = HashMap::new();
        for (i, organisation) in desired.organisations.iter().enumerate() {
            for key in &organisation.keys {
                keys.insert(Arc::clone(key), i);
            }
        }
        Self {
            ranks: Ranks::new(&desired),
            desired,
            hosts,
            keys,
        }
    }

    /// `desired` is the indexed configuration.
    #[must_use]
    pub const fn desired(&self) -> &Desired {
        &self.desired
    }

    /// `ranks` tells how urgent requests are.
    #[must_use]
    pub const fn ranks(&self) -> &Ranks {
        &self.ranks
    }

    /// `route` is the route of the longest prefix that begins `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let list = match self.hosts.get(name) {
            Some(list) => list,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        let mut routes = list.iter().map(|i| &self.desired.routes[*i]);
        routes.find(|r| path.starts_with(&*r.prefix))
    }

    /// `allowed` tells for whom a request with this key may run.
    #[must_use]
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access<'_> {
        if self.desired.organisations.is_empty() {
            return Access::Anyone;
        }
        match key.and_then(|k| self.keys.get(k)) {
            Some(i) => Access::Member(&self.desired.organisations[*i]),
            None if route.public => Access::Anyone,
            None => Access::Denied,
        }
    }

    /// `pool` is the pool of this name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.desired.pools.iter().find(|p| &*p.name == name)
    }
}

/// `InForce` holds the highest version seen; it never goes back.
#[derive(Debug, Clone, Default)]
pub struct ActiveConfiguration {
    index: Option<Arc<Index>>,
    /// When it came in force.
    activated_at: Option<Moment>,
}

/// `Applied` is what became of a version that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is in force.
    Activated,
    /// It was in force already.
    Unchanged,
    /// It is older than the one in force and was dropped.
    Older,
}

impl ActiveConfiguration {
    /// `apply` brings a version in force unless it is older.
    pub fn apply(&mut self, now: Moment, desired: Desired) -> ApplyOutcome {
        let current = self.index.as_ref().map(|i| i.desired.version);
        match current {
            Some(version) if version == desired.version => ApplyOutcome::Unchanged,
            Some(version) if version > desired.version => ApplyOutcome::Older,
            _ => {
                self.index = Some(Arc::new(Index::new(desired)));
                self.activated_at = Some(now);
                ApplyOutcome::Activated
            }
        }
    }

    /// `since` is when the configuration came in force.
    #[must_use]
    pub const fn activation_time(&self) -> Option<Moment> {
        self.activated_at
    }

    /// `index` is the configuration in force; none before the first was read.
    #[must_use]
    pub const fn index(&self) -> Option<&Arc<Index>> {
        self.index.as_ref()
    }
}
