// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The router: takes callers' requests and passes whole answers back.

pub mod claims;
pub mod deliver;
pub mod identify;
pub mod job;
pub mod request;
pub mod serve;
pub mod try_once;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use peppercrank_core::names::PoolName;
use peppercrank_member::Role;
use peppercrank_route::Ranking;
use peppercrank_route::Routes;
use peppercrank_route::retry::Pace;
use peppercrank_route::routes::Room;
use peppercrank_settings::RouterSettings;
use peppercrank_wire::client::Client;
use peppercrank_wire::client::ClientConfig;
use peppercrank_wire::edge::Edge;
use peppercrank_wire::edge::ServeSummary;
use peppercrank_wire::stop::Stop;

use crate::clock::Clock;
use crate::errors;
use crate::errors::Result;
use crate::fleet::Fleet;
use crate::fleet::Setup;
use crate::fleet::lock;
use crate::fleet::pages;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::process;
use crate::process::Process;
use crate::router::claims::Claiming;

/// What a router remembers for one pool: recent chats and hot prefixes.
const ROOM: Room = Room {
    chats: 65_536,
    prefixes: 4_096,
};

/// `Way` is what a router knows of one pool, and the ranking that it was last made of.
#[derive(Debug)]
struct Way {
    routes: Routes,
    made_of: Arc<Ranking>,
}

/// `Router` is what the tasks of one router share.
#[derive(Debug)]
pub struct Router {
    /// The settings.
    pub settings: RouterSettings,
    /// The part in the fleet.
    pub fleet: Arc<Fleet>,
    /// The clock.
    pub clock: Clock,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The client towards the agents.
    pub client: Client,
    claims: Arc<Claiming>,
    pools: Mutex<BTreeMap<PoolName, Way>>,
}

/// `Running` is a router that serves.
#[derive(Debug)]
pub struct Running {
    /// What its tasks share.
    pub router: Arc<Router>,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Where operators find its pages.
    pub operators: SocketAddr,
    process: Process,
}

impl Running {
    /// `finished` waits for the router to end.
    ///
    /// # Errors
    ///
    /// Returns [`crate::errors::Error::Start`] when its task failed.
    pub async fn finished(self) -> Result<ServeSummary> {
        self.process.finished().await
    }
}

/// `start` starts a router on the present runtime; it serves until `stop`.
///
/// # Errors
///
/// Returns an error when a socket cannot be bound or a thread cannot be started.
pub async fn start(settings: RouterSettings, log: Log, stop: Stop) -> Result<Running> {
    let metrics = Arc::new(Metrics::new());
    let edge = Edge::bind(settings.listen)
        .await
        .map_err(|e| errors::wire("callers", e))?;
    let address = edge.local_addr();
    let setup = Setup {
        role: Role::Router,
        listen: address,
        log,
        metrics: Arc::clone(&metrics),
        stop: stop.clone(),
    };
    // Notes and orders are for agents; a router drops what reaches it by mistake.
    let (fleet, _inbox) = Fleet::join(settings.fleet.clone(), setup).await?;
    let times = ClientConfig {
        first_byte: settings.limits.total_time,
        ..ClientConfig::default()
    };
    let seed = u64::try_from(fleet.draw() >> 64).unwrap_or_default();
    let claims = Claiming::start(&settings.claims, &fleet.platform, fleet.clock, seed)?;
    let shown = pages::Shown {
        role: peppercrank_core::status::DaemonRole::Router,
        targets: Box::new(|fleet| fleet.board().targets.values().map(pages::known).collect()),
        edge: edge.counters(),
    };
    let pages = pages::serve(&fleet, shown)?;
    let router = Arc::new(Router {
        claims,
        clock: fleet.clock,
        metrics,
        client: Client::new(times),
        pools: Mutex::default(),
        fleet,
        settings,
    });
    let serving = tokio::spawn(serve(edge, Arc::clone(&router), stop));
    Ok(Running {
        router,
        address,
        operators: pages.local_addr(),
        process: Process { pages, serving },
    })
}

async fn serve(edge: Edge, router: Arc<Router>, stop: Stop) -> ServeSummary {
    let limits = process::limits(&router.settings.limits, router.settings.stop_time);
    let shared = Arc::clone(&router);
    let answer = move |call| serve::answer(Arc::clone(&shared), call);
    let finished = process::serve(edge, &router.fleet, limits, stop, || {}, answer).await;
    process::end(&router.fleet, finished);
    finished
}

impl Router {
    /// Works on what is known of a pool, its ranking as new as its members.
    fn with_routes<T>(
        &self,
        pool: &PoolName,
        share: f64,
        work: impl FnOnce(&mut Routes) -> T,
    ) -> T {
        let ranking = self.fleet.ranking(pool);
        let mut pools = lock(&self.pools);
        let way = pools.entry(pool.clone()).or_insert_with(|| {
            let seed = u64::try_from(self.fleet.draw() >> 64).unwrap_or_default();
            let mut routes = Routes::new(share, seed, ROOM);
            routes.retries.pace = Pace {
                first: self.settings.retry.backoff,
                jitter: self.settings.retry.jitter,
            };
            Way {
                routes,
                made_of: Arc::default(),
            }
        });
        if !Arc::ptr_eq(&way.made_of, &ranking) {
            way.routes.ranking = Ranking::clone(&ranking);
            way.made_of = ranking;
        }
        way.routes.retries.budget.set(share);
        work(&mut way.routes)
    }
}
