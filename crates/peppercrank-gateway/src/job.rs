// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A request with everything that its attempts need.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use peppercrank_core::hash::hash64;
use peppercrank_core::time::Instant;
use peppercrank_direct::content::Fingerprint;
use peppercrank_direct::content::RequestContent;
use peppercrank_direct::desired::Access;
use peppercrank_direct::desired::Index;
use peppercrank_direct::desired::Route;
use peppercrank_direct::desired::RouteKind;
use peppercrank_direct::prefixes::PromptPart;
use peppercrank_direct::ranks::Rank;
use peppercrank_direct::regions::Regions;
use peppercrank_direct::warm_up::WarmUp;
use peppercrank_platform::call;
use peppercrank_platform::call::RequestHead;
use peppercrank_platform::call::Resumption;

use crate::gateway::Gateway;
use crate::refuse::Reason;

/// Hash seed for request ids, which determine the home of a request without a prompt.
const ID_HASH_SEED: u64 = 0x6964;

/// Weight of an answer token in a request's size, as specified by the users: tokens are generated
/// one by one but read by the thousand.
const OUTPUT_WEIGHT: u64 = 10;

/// The size of a request without a prompt, in tokens. Only ratios between parts of its cost matter.
const DEFAULT_SIZE_TOKENS: u64 = 1_000;

/// A request with its route, limits and prompt, as needed by each of its attempts.
#[derive(Debug)]
pub struct Job {
    /// The request's id.
    pub id: String,
    /// Its method, path and headers, without hop-by-hop headers.
    pub head: Parts,
    /// Its complete body.
    pub body: Bytes,
    /// The pool that serves it.
    pub pool: Arc<str>,
    /// The kind of its route, which determines whether it may be repeated or resumed.
    pub kind: RouteKind,
    /// Its route's name.
    pub route: Arc<str>,
    /// The maximum number of targets that may run it.
    pub max_attempts: u32,
    /// The time within which its answer should arrive.
    pub goal: Duration,
    /// The longest acceptable gap between two parts of its answer, if the route specifies one.
    pub max_gap: Option<Duration>,
    /// The organisation of its caller; `None` if the request was accepted without a known key.
    pub organisation: Option<Arc<str>>,
    /// Its priority rank among the requests for its pool.
    pub rank: Rank,
    /// The shortest goal of all requests for its pool.
    pub pool_goal: Duration,
    /// Tokens in its prompt; 0 without a prompt.
    pub prompt_tokens: u64,
    /// The maximum number of tokens in its answer.
    pub max_output_tokens: u64,
    /// The rate at which its pool's engines copy cached prompts from each other, in tokens per
    /// millisecond; `None` if they cannot.
    pub copy_rate: Option<f64>,
    /// Memory of each target of its pool, in tokens; `None` if unknown or not bounded.
    pub target_memory: Option<u64>,
    /// How cold targets of its pool warm up; `None` if they need no warm-up.
    pub warm_up: Option<WarmUp>,
    /// The regions in which it may run.
    pub regions: Regions,
    /// The parts of its prompt, for matching cached prefixes.
    pub prompt_parts: Vec<PromptPart>,
    /// The fingerprints of the parts of its prompt that other requests may share.
    pub part_fingerprints: Vec<Fingerprint>,
    /// Where its caller resumes a stream; `None` if it begins anew or its route does not allow that.
    pub resumption: Option<Resumption>,
    /// When it was received.
    pub received_at: Instant,
    /// When its answer must be complete.
    pub deadline: Instant,
    /// The configuration version that it was routed and authorised by.
    pub config_version: u64,
    /// The fingerprint of its content, computed on first use.
    fingerprint: OnceLock<Fingerprint>,
}

impl Job {
    /// Returns the hash that determines the request's home target: that of the shared part of its
    /// prompt, or of its id without one.
    #[must_use]
    pub fn home_hash(&self) -> u64 {
        match self.shared_parts().last() {
            Some(part) => part.prefix_hash,
            None => self.id_hash(),
        }
    }

    /// Returns whether it may run again if the next attempt fails, after `attempts` earlier ones.
    #[must_use]
    pub const fn may_run_again(&self, attempts: usize) -> bool {
        self.kind.is_retryable() && attempts + 1 < self.max_attempts as usize
    }

    /// Returns a hash of the request's id.
    #[must_use]
    pub fn id_hash(&self) -> u64 {
        hash64(ID_HASH_SEED, self.id.as_bytes())
    }

    /// Returns a fingerprint of the content, which stays the same when the request is repeated
    /// under another id.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        // Computed lazily, since most requests need none.
        *self.fingerprint.get_or_init(|| {
            let host = self.head.headers.get(http::header::HOST);
            let path = self.head.uri.path_and_query();
            Fingerprint::of(&RequestContent {
                method: self.head.method.as_str(),
                host: host.map_or(&[], |h| h.as_bytes()),
                path: path.map_or("", |p| p.as_str()),
                organisation: self.organisation.as_deref(),
                body: &self.body,
            })
        })
    }

    /// Returns the fingerprints of the shared parts of the prompt, as written to the log.
    #[must_use]
    pub fn part_names(&self) -> String {
        let names = self.part_fingerprints.iter().map(ToString::to_string);
        names.collect::<Vec<_>>().join(" ")
    }

    /// Returns the id of the request that brought the first event of the stream that the caller
    /// resumes; empty if it resumes none or does not name it.
    #[must_use]
    pub fn origin_id(&self) -> &str {
        let resumption = self.resumption.as_ref();
        resumption.and_then(|r| r.origin.as_deref()).unwrap_or("")
    }

    /// Returns the parts of the prompt that other requests may share: all but the last one.
    #[must_use]
    pub fn shared_parts(&self) -> &[PromptPart] {
        let shared_count = self.prompt_parts.len().saturating_sub(1);
        &self.prompt_parts[..shared_count]
    }

    /// Returns the request's size in prompt tokens, with answer tokens weighted by their cost.
    #[must_use]
    pub fn size_tokens(&self) -> u64 {
        if self.prompt_tokens == 0 {
            return DEFAULT_SIZE_TOKENS;
        }
        self.prompt_tokens + self.max_output_tokens * OUTPUT_WEIGHT
    }

    /// Finds the route of a request and checks its API key.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the request is refused.
    pub fn from_request(
        gateway: &Gateway,
        received_at: Instant,
        mut head: Parts,
        body: Bytes,
    ) -> Result<Self, Reason> {
        let Ok(call_head) = call::parse(&head.headers) else {
            return Err(Reason::BadRequest);
        };
        let now = gateway.now();
        let (index, freshness) = {
            let state = gateway.state();
            (state.config.index().cloned(), state.freshness)
        };
        let index = index.ok_or(Reason::NoConfiguration)?;
        let Some(route) = route(&index, &head) else {
            return Err(if freshness.may_deny(now) {
                Reason::NoRoute
            } else {
                Reason::StaleRoutes
            });
        };
        let allowed = index.access(route, call_head.key.as_deref());
        if !freshness.is_fresh(now) && !route.public && allowed != Access::Anyone {
            return Err(Reason::StaleKeys);
        }
        let organisation = match allowed {
            Access::Anyone => None,
            Access::Member(organisation) => Some(organisation),
            Access::Denied => return Err(Reason::Denied),
        };
        let resumable = matches!(route.kind, RouteKind::Stream { resumable: true });
        let resumption = call_head.resumption.filter(|_| resumable);
        let origin = resumption.as_ref().and_then(|r| r.origin.as_deref());
        // A stream goes on at the pool that the request drew which began it.
        let drawn_by = origin.unwrap_or(&call_head.id);
        let pool = route.pool(drawn_by.as_bytes()).ok_or(Reason::NoTarget)?;
        peppercrank_wire::headers::strip_hop_by_hop(&mut head.headers);
        let timeout = call_head
            .timeout
            .unwrap_or(route.timeout)
            .min(route.timeout);
        let RequestHead { id, prompt, .. } = call_head;
        let prompt = prompt.unwrap_or_default();
        let settings = index.pool(pool);
        let engine_memory = settings.and_then(|p| p.prompt_cache);
        Ok(Self {
            pool: Arc::clone(pool),
            kind: route.kind,
            route: Arc::clone(&route.name),
            max_attempts: route.max_targets,
            goal: route.latency_goal,
            max_gap: route.max_event_gap,
            organisation: organisation.map(|o| Arc::clone(&o.name)),
            rank: index.ranks().rank(pool, route, organisation),
            pool_goal: index.ranks().shortest_goal(pool),
            prompt_tokens: prompt.tokens,
            max_output_tokens: prompt.max_output_tokens,
            copy_rate: engine_memory.and_then(|m| m.copy_tokens_per_ms()),
            target_memory: engine_memory
                .filter(|m| gateway.features().memory_limits && m.capacity_tokens > 0)
                .map(|m| m.capacity_tokens),
            warm_up: settings.and_then(|p| p.warm_up),
            regions: match organisation {
                Some(organisation) => route.regions.intersection(&organisation.regions),
                None => route.regions.clone(),
            },
            prompt_parts: prompt.parts,
            part_fingerprints: prompt.shared,
            resumption,
            received_at,
            deadline: received_at + timeout,
            config_version: index.desired().version,
            fingerprint: OnceLock::new(),
            id,
            head,
            body,
        })
    }
}

/// Returns the route that matches a request's host and path.
fn route<'a>(index: &'a Index, head: &Parts) -> Option<&'a Route> {
    let host = head.headers.get(http::header::HOST)?.to_str().ok()?;
    index.route(host, head.uri.path())
}
