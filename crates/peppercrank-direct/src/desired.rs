// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The operators' configuration: routes, pools, organisations and limits on callers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::hash::hash64;
use peppercrank_core::time::Instant;

use crate::ranks::Ranks;
use crate::regions::Regions;
use crate::routing;
use crate::warm_up::WarmUp;

/// Seed of the hash that selects one of a route's pools.
const POOL_SEED: u64 = 0x706f_6f6c;

/// `RouteKind` is how often requests of a route may run, and whether they are streamed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Repeatable,
    /// Requests run at most once.
    Once,
    /// Answers are streams of events.
    Stream {
        /// Whether another run may continue an interrupted stream.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns the stable name of the kind in metrics.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Repeatable => "repeatable",
            Self::Once => "once",
            Self::Stream { resumable: false } => "stream",
            Self::Stream { resumable: true } => "resumable_stream",
        }
    }

    /// Returns whether a request may run again as long as no part of its answer was passed on.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        match self {
            Self::Repeatable => true,
            Self::Once => false,
            Self::Stream { resumable } => resumable,
        }
    }
}

/// `PoolShare` is one of the pools among which a route's requests are split.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolShare {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Weight of the pool among those of the route.
    pub weight: u32,
}

/// `Route` describes where requests for one host and path prefix go, and how they are handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that it serves, in lower case.
    pub host: Arc<str>,
    /// Path prefix that it serves, with a slash at both ends.
    pub prefix: Arc<str>,
    /// How often its requests may run.
    pub kind: RouteKind,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Time within which the first part of an answer is wanted.
    pub latency_goal: Duration,
    /// Longest pause between two events of a stream that counts as on time; `None` if there is no
    /// goal.
    pub max_event_gap: Option<Duration>,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Pools among which its requests are split.
    pub pools: Vec<PoolShare>,
    /// Number of targets that one request may run on.
    pub max_targets: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Regions in which its requests may run.
    pub regions: Regions,
}

impl Route {
    /// Returns the pool of the request with this id. All attempts of a request get the same pool.
    /// `None` if the weights add up to zero.
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

/// `Pool` is a set of interchangeable targets.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// Name of the pool.
    pub name: Arc<str>,
    /// Connections that each target accepts from all callers together.
    pub max_connections: u32,
    /// Prompt cache of the pool's engines; `None` for plain services.
    pub prompt_cache: Option<PromptCache>,
    /// How its targets warm up; `None` if they do not.
    pub warm_up: Option<WarmUp>,
}

/// `PromptCache` describes the prompt cache of one engine of a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptCache {
    /// Capacity of the cache, in tokens.
    pub capacity_tokens: u64,
    /// Size of one cached token, in bytes.
    pub bytes_per_token: f64,
    /// Rate at which cached tokens are copied to another engine, in bytes per millisecond.
    pub bytes_per_ms: f64,
}

impl PromptCache {
    /// Returns the rate at which cached tokens are copied to another engine, in tokens per
    /// millisecond; `None` if they cannot be copied.
    #[must_use]
    pub fn copy_tokens_per_ms(&self) -> Option<f64> {
        let rate = self.bytes_per_ms / self.bytes_per_token;
        (rate.is_finite() && rate > 0.0).then_some(rate)
    }
}

/// Divisor of a target's connections that gives how many all routers together may keep idle.
const IDLE_DIVISOR: usize = 2;

/// Returns how many idle connections each of `routers` may keep to one target, at most `most`.
#[must_use]
pub fn max_idle_connections(pools: &[Pool], routers: usize, most: usize) -> usize {
    let fewest = pools.iter().map(|p| p.max_connections).min();
    let fewest = fewest.map_or(usize::MAX, |c| usize::try_from(c).unwrap_or(usize::MAX));
    (fewest / IDLE_DIVISOR / routers.max(1)).min(most)
}

/// `CallerLimits` bounds the size of requests and the time that callers may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest request head, in bytes.
    pub head_bytes: usize,
    /// Longest request body, in bytes.
    pub body_bytes: u64,
    /// Time from the first byte of a request head to its last.
    pub head_timeout: Duration,
    /// Time for which a connection may stay open without a request.
    pub idle_timeout: Duration,
}

/// `Organisation` is an organisation whose callers hold keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: Arc<str>,
    /// Priority of its requests, which overrides the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// Regions in which its callers' requests may run.
    pub regions: Regions,
}

/// `Desired` is one version of the whole configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Desired {
    /// Version number; it only increases.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All pools.
    pub pools: Vec<Pool>,
    /// Limits on the size of requests and on the time that callers may take.
    pub caller_limits: CallerLimits,
    /// All organisations. If there are none, requests need no keys.
    pub organisations: Vec<Organisation>,
}

impl Desired {
    /// Returns whether a stream that began with an earlier configuration may be resumed at another
    /// pool with this one.
    #[must_use]
    pub fn moves_streams(&self, earlier: &Self) -> bool {
        let mut pools = earlier.resumable_pools();
        pools.extend(self.resumable_pools());
        pools.sort_unstable();
        pools.dedup();
        let ways = |desired: &Self| {
            let routes = desired.resumable_routes().into_iter();
            let ways =
                routes.map(|r| (Arc::clone(&r.host), Arc::clone(&r.prefix), r.pools.clone()));
            ways.collect::<Vec<_>>()
        };
        pools.len() > 1 && ways(self) != ways(earlier)
    }

    /// Returns the routes of streams that another run may continue, in an order that does not depend on
    /// the configuration's.
    fn resumable_routes(&self) -> Vec<&Route> {
        let streams = RouteKind::Stream { resumable: true };
        let routes = self.routes.iter().filter(|r| r.kind == streams);
        let mut routes = routes.collect::<Vec<_>>();
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        routes
    }

    /// Returns the pools to which streams are sent that another run may continue.
    #[must_use]
    pub fn resumable_pools(&self) -> Vec<Arc<str>> {
        let mut pools = self
            .resumable_routes()
            .into_iter()
            .flat_map(|r| &r.pools)
            .map(|share| Arc::clone(&share.pool))
            .collect::<Vec<_>>();
        pools.sort_unstable();
        pools.dedup();
        pools
    }

    /// Returns the name of the way in which streams that may be resumed are divided among several
    /// pools; `None` if there is one such pool at most.
    #[must_use]
    pub fn routing(&self) -> Option<Arc<str>> {
        let is_divided = self.resumable_pools().len() > 1;
        is_divided.then(|| routing::name_of(&self.resumable_routes()))
    }
}

/// `Index` looks up the routes, pools and organisations of one configuration.
#[derive(Debug)]
pub struct Index {
    desired: Desired,
    /// Routes by host, the longest prefix first.
    hosts: HashMap<Arc<str>, Vec<usize>>,
    /// Organisations by key.
    keys: HashMap<Arc<str>, usize>,
    /// Ranks by which requests for a pool are ordered.
    ranks: Ranks,
    /// Pools with streams that another run may continue.
    resumable_pools: Vec<Arc<str>>,
}

/// `Access` is whether a request may run, and for whom.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access<'a> {
    /// The request may run for anyone: the route is public, or there are no organisations.
    Anyone,
    /// The request may run for a caller of this organisation.
    Member(&'a Organisation),
    /// The key is missing or unknown.
    Denied,
}

impl Index {
    /// Builds the index of a configuration.
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
            resumable_pools: desired.resumable_pools(),
            desired,
            hosts,
            keys,
        }
    }

    /// Returns the indexed configuration.
    #[must_use]
    pub const fn desired(&self) -> &Desired {
        &self.desired
    }

    /// As [`Desired::resumable_pools`].
    #[must_use]
    pub fn resumable_pools(&self) -> &[Arc<str>] {
        &self.resumable_pools
    }

    /// Returns the ranks by which the urgency of requests is compared.
    #[must_use]
    pub const fn ranks(&self) -> &Ranks {
        &self.ranks
    }

    /// Returns the route with the longest prefix of `path`. The host may have a port, in any case
    /// of letters.
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

    /// Returns for whom a request with this key may run.
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

    /// Returns the pool with this name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.desired.pools.iter().find(|p| &*p.name == name)
    }
}

/// `ActiveConfiguration` holds the highest version read so far. It never goes back to a lower one.
#[derive(Debug, Clone, Default)]
pub struct ActiveConfiguration {
    index: Option<Arc<Index>>,
    /// Time at which the version came into force.
    activated_at: Option<Instant>,
}

/// `ApplyOutcome` is the result of applying a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The version has come into force.
    Activated,
    /// The version was in force already.
    Unchanged,
    /// The version is older than the one in force and was dropped.
    Older,
}

impl ActiveConfiguration {
    /// Brings a version into force unless it is older than the current one.
    pub fn apply(&mut self, now: Instant, desired: Desired) -> ApplyOutcome {
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

    /// Returns the time at which the current version came into force; `None` before the first.
    #[must_use]
    pub const fn activation_time(&self) -> Option<Instant> {
        self.activated_at
    }

    /// Returns the index of the current version; `None` before the first was read.
    #[must_use]
    pub const fn index(&self) -> Option<&Arc<Index>> {
        self.index.as_ref()
    }
}
