// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One request with all that its attempts need.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use peppercrank_core::hash::hash64;
use peppercrank_core::time::Instant;
use peppercrank_direct::content::Content;
use peppercrank_direct::content::Fingerprint;
use peppercrank_direct::desired::Allowed;
use peppercrank_direct::desired::Index;
use peppercrank_direct::desired::Route;
use peppercrank_direct::desired::RouteKind;
use peppercrank_direct::prefixes::Part;
use peppercrank_direct::ranks::Rank;
use peppercrank_direct::regions::Regions;
use peppercrank_direct::warm_up::WarmUp;
use peppercrank_platform::call;
use peppercrank_platform::call::CallHead;

use crate::gateway::Gateway;
use crate::refuse::Reason;

/// Seed of the home of a request without a prompt.
const ID_SEED: u64 = 0x6964;

/// Tokens of a request's size that one token of its answer weighs, by the users' figure: tokens
/// are written one by one and read by the thousand.
const OUTPUT_WEIGHT: u64 = 10;

/// The size of a request without a prompt, in tokens; only its ratios to itself matter.
const PLAIN_SIZE: u64 = 1_000;

/// `Job` is one request with all that its attempts need.
#[derive(Debug)]
pub struct Job {
    /// The request's id.
    pub id: String,
    /// Its method, path and headers, without those of its connection.
    pub head: Parts,
    /// Its whole body.
    pub body: Bytes,
    /// The pool that it goes to.
    pub pool: Arc<str>,
    /// What its route allows.
    pub kind: RouteKind,
    /// Its route's name.
    pub route: Arc<str>,
    /// Targets that it may run on.
    pub attempts: u32,
    /// The time within which an answer is wanted.
    pub goal: Duration,
    /// The longest pause of its answer that is on time, where that is named.
    pub pause: Option<Duration>,
    /// The organisation that its caller belongs to.
    pub organisation: Option<Arc<str>>,
    /// How urgent it is among the requests for its pool.
    pub rank: Rank,
    /// The shortest time within which a request for its pool wants its answer.
    pub pool_goal: Duration,
    /// Tokens of its prompt.
    pub tokens: u64,
    /// The most tokens of its answer.
    pub output: u64,
    /// How fast its pool's engines copy from each other, in tokens a millisecond.
    pub copying: Option<f64>,
    /// How its pool's targets warm up, where they do.
    pub warm_up: Option<WarmUp>,
    /// The regions in which it may run.
    pub regions: Regions,
    /// Parts of its prompt.
    pub parts: Vec<Part>,
    /// When it came.
    pub begun: Instant,
    /// When it must have its final answer.
    pub deadline: Instant,
    /// The configuration that it was judged by.
    pub version: u64,
    /// What stands for its content, once that was asked for.
    fingerprint: OnceLock<Fingerprint>,
}

impl Job {
    /// `home` is the hash that the request's home is drawn by.
    #[must_use]
    pub fn home(&self) -> u64 {
        match self.shared().last() {
            Some(part) => part.chain,
            None => self.own(),
        }
    }

    /// `own` is a hash of the request's id.
    #[must_use]
    pub fn own(&self) -> u64 {
        hash64(ID_SEED, self.id.as_bytes())
    }

    /// `fingerprint` stands for its content, which is the same when it comes again under another id.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        // Made when it is first asked for: most requests need none.
        *self.fingerprint.get_or_init(|| {
            let host = self.head.headers.get(http::header::HOST);
            let path = self.head.uri.path_and_query();
            Fingerprint::of(&Content {
                method: self.head.method.as_str(),
                host: host.map_or(&[], |h| h.as_bytes()),
                path: path.map_or("", |p| p.as_str()),
                organisation: self.organisation.as_deref(),
                body: &self.body,
            })
        })
    }

    /// `shared` are the parts of its prompt that other requests share: all but its own last one.
    #[must_use]
    pub fn shared(&self) -> &[Part] {
        let most = self.parts.len().saturating_sub(1);
        &self.parts[..most]
    }

    /// `size` is its size in tokens.
    #[must_use]
    pub fn size(&self) -> u64 {
        if self.tokens == 0 {
            return PLAIN_SIZE;
        }
        self.tokens + self.output * OUTPUT_WEIGHT
    }

    /// `judge` finds the route of a request and whether it may run.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the request is refused.
    pub fn judge(
        gateway: &Gateway,
        begun: Instant,
        mut head: Parts,
        body: Bytes,
    ) -> Result<Self, Reason> {
        let Ok(said) = call::read(&head.headers) else {
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
        let allowed = index.allowed(route, said.key.as_deref());
        if !freshness.is_fresh(now) && !route.open && allowed != Allowed::Anyone {
            return Err(Reason::StaleKeys);
        }
        let organisation = match allowed {
            Allowed::Anyone => None,
            Allowed::Member(organisation) => Some(organisation),
            Allowed::Denied => return Err(Reason::Denied),
        };
        let pool = route.pool(said.id.as_bytes()).ok_or(Reason::NoTarget)?;
        peppercrank_wire::headers::strip_hop_by_hop(&mut head.headers);
        let wait = said.wait.unwrap_or(route.timeout).min(route.timeout);
        let CallHead { id, prompt, .. } = said;
        let prompt = prompt.unwrap_or_default();
        let settings = index.pool(pool);
        let memory = settings.and_then(|p| p.memory);
        Ok(Self {
            pool: Arc::clone(pool),
            kind: route.kind,
            route: Arc::clone(&route.name),
            attempts: route.attempts,
            goal: route.goal,
            pause: route.pause,
            organisation: organisation.map(|o| Arc::clone(&o.name)),
            rank: index.ranks().rank(pool, route, organisation),
            pool_goal: index.ranks().goal(pool),
            tokens: prompt.tokens,
            output: prompt.output,
            copying: memory.and_then(|m| m.copying()),
            warm_up: settings.and_then(|p| p.warm_up),
            regions: match organisation {
                Some(organisation) => route.regions.both(&organisation.regions),
                None => route.regions.clone(),
            },
            parts: prompt.parts,
            begun,
            deadline: begun + wait,
            version: index.desired().version,
            fingerprint: OnceLock::new(),
            id,
            head,
            body,
        })
    }
}

/// The route of a request.
fn route<'a>(index: &'a Index, head: &Parts) -> Option<&'a Route> {
    let host = head.headers.get(http::header::HOST)?.to_str().ok()?;
    index.route(host, head.uri.path())
}
