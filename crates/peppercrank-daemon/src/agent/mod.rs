// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The agent: the one process beside a target, through which everything reaches it.

pub mod attempt;
pub mod control;
pub mod desk;
pub mod orders;
pub mod relay;
pub mod reports;
pub mod serve;
pub mod work;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::time::Duration;

use peppercrank_admit::Admission;
use peppercrank_admit::Input;
use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::blackboard::TargetState;
use peppercrank_core::events::Event;
use peppercrank_core::names::PoolName;
use peppercrank_core::objects::PoolPolicy;
use peppercrank_core::status::DrainStatus;
use peppercrank_core::status::LoadStatus;
use peppercrank_core::status::TargetStatus;
use peppercrank_core::units::Cost;
use peppercrank_member::Agent as Described;
use peppercrank_member::Role;
use peppercrank_route::Ask;
use peppercrank_route::Place;
use peppercrank_route::Pointers;
use peppercrank_route::Ranking;
use peppercrank_route::cache::Cached;
use peppercrank_settings::AgentSettings;
use peppercrank_settings::agent::TargetKind;
use peppercrank_wire::client::Client;
use peppercrank_wire::client::ClientConfig;
use peppercrank_wire::edge::Edge;
use peppercrank_wire::edge::ServeSummary;
use peppercrank_wire::stop::Stop;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::agent::attempt::Attempt;
use crate::agent::desk::Desk;
use crate::chat::BYTES_PER_TOKEN;
use crate::clock::Clock;
use crate::errors;
use crate::errors::Error;
use crate::errors::Result;
use crate::fleet::Fleet;
use crate::fleet::Setup;
use crate::fleet::lock;
use crate::fleet::pages;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::process;
use crate::process::Process;

/// Time without word from the task that watches whether the process is in touch; a process that
/// was paused admits nothing until that task has looked again.
const TOUCH: Duration = Duration::from_secs(1);

/// Times its freshness after which a mean counts for nothing.
const FADE: u32 = 6;

/// Time for a stopping agent to hand its pointers over.
const HAND_OVER: Duration = Duration::from_secs(2);

/// The policy until the pool's own is known; nothing is admitted by it, since no organisation is.
const UNKNOWN: PoolPolicy = PoolPolicy {
    cap: 1.25,
    floor: Cost(0),
    queue: 0,
    wait_ms: 0,
    prefix: 0,
    tries: 1,
    retries: 0.0,
};

/// `Agent` is what the tasks of one agent share.
#[derive(Debug)]
pub struct Agent {
    /// The settings.
    pub settings: AgentSettings,
    /// The part in the fleet.
    pub fleet: Arc<Fleet>,
    /// The admission, awaited.
    pub desk: Arc<Desk>,
    /// The clock.
    pub clock: Clock,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The client towards the target.
    pub client: Client,
    own: TargetKey,
    pointers: Mutex<Pointers>,
}

/// `Running` is an agent that serves.
#[derive(Debug)]
pub struct Running {
    /// What its tasks share.
    pub agent: Arc<Agent>,
    /// Where routers reach it.
    pub address: SocketAddr,
    /// Where operators find its pages.
    pub operators: SocketAddr,
    process: Process,
}

impl Running {
    /// `finished` waits for the agent to end.
    ///
    /// # Errors
    ///
    /// Returns [`crate::errors::Error::Start`] when its task failed.
    pub async fn finished(self) -> Result<ServeSummary> {
        self.process.finished().await
    }
}

/// `start` starts an agent on the present runtime; it serves until `stop`.
///
/// # Errors
///
/// Returns an error when a socket cannot be bound or a thread cannot be started.
pub async fn start(settings: AgentSettings, log: Log, stop: Stop) -> Result<Running> {
    let metrics = Arc::new(Metrics::new());
    let edge = Edge::bind(settings.listen)
        .await
        .map_err(|e| errors::wire("routers", e))?;
    let address = edge.local_addr();
    let role = Role::Agent(Described {
        target: settings.target.name.clone(),
        pool: settings.target.pool.clone(),
        address,
        weight: settings.target.weight,
    });
    let setup = Setup {
        role,
        listen: address,
        log,
        metrics: Arc::clone(&metrics),
        stop: stop.clone(),
    };
    let (fleet, inbox) = Fleet::join(settings.fleet.clone(), setup).await?;
    let agent = Agent::new(settings, fleet, metrics)?;
    control::start(&agent, inbox.notes);
    let shared = Arc::clone(&agent);
    let shown = pages::Shown {
        role: peppercrank_core::status::DaemonRole::Agent,
        targets: Box::new(move |_| vec![shared.status()]),
        edge: edge.counters(),
    };
    let pages = pages::serve(&agent.fleet, shown)?;
    if agent.settings.target.kind == TargetKind::Engine {
        tokio::spawn(reports::read_events(Arc::clone(&agent)));
        tokio::spawn(reports::read_load(Arc::clone(&agent)));
        tokio::spawn(orders::run(Arc::clone(&agent), inbox.orders));
    }
    let drained = agent.desk.drained();
    tokio::spawn(log_drains(Arc::downgrade(&agent), drained));
    let serving = tokio::spawn(serve(edge, Arc::clone(&agent), stop));
    Ok(Running {
        agent,
        address,
        operators: pages.local_addr(),
        process: Process { pages, serving },
    })
}

async fn serve(edge: Edge, agent: Arc<Agent>, stop: Stop) -> ServeSummary {
    let limits = process::limits(&agent.settings.limits, agent.settings.stop_time);
    let desk = Arc::clone(&agent.desk);
    let stopping = move || desk.put(Input::Stopping);
    let shared = Arc::clone(&agent);
    let answer = move |call| serve::answer(Arc::clone(&shared), call);
    let finished = process::serve(edge, &agent.fleet, limits, stop, stopping, answer).await;
    // The pointers go to the next homes before the process does.
    let mut drained = agent.desk.drained();
    let _told = timeout(HAND_OVER, drained.wait_for(|drained| *drained)).await;
    process::end(&agent.fleet, finished);
    finished
}

/// Logs each time that the target is drained, until the agent is no more.
async fn log_drains(agent: Weak<Agent>, mut drained: watch::Receiver<bool>) {
    while drained.wait_for(|drained| *drained).await.is_ok() {
        let Some(agent) = agent.upgrade() else {
            return;
        };
        let about = agent.settings.target.name.as_str();
        agent.fleet.log.write_about(Event::TargetDrained, about);
        drop(agent);
        // A mark taken back can be set again.
        if drained.wait_for(|drained| !*drained).await.is_err() {
            return;
        }
    }
}

/// The most that the target carries, as the settings say; 0 leaves it to be learnt.
fn ceiling(set: u32) -> Cost {
    if set == 0 {
        return Cost(u64::MAX);
    }
    Cost(u64::from(set))
}

impl Agent {
    fn new(settings: AgentSettings, fleet: Arc<Fleet>, metrics: Arc<Metrics>) -> Result<Arc<Self>> {
        let admit = peppercrank_admit::Settings {
            weight: settings.target.weight,
            ceiling: ceiling(settings.ceiling),
            patience: settings.patience,
            fresh: settings.mean_age,
            stale: settings.mean_age.saturating_mul(FADE),
            touch: TOUCH,
            ..peppercrank_admit::Settings::default()
        };
        let clock = fleet.clock;
        let admission = Admission::new(clock.now(), admit, UNKNOWN)
            .map_err(|cause| Error::Admission { cause })?;
        let own = fleet
            .board()
            .keys_by_name
            .get(&settings.target.name)
            .copied()
            .unwrap_or_default();
        let times = ClientConfig {
            first_byte: settings.limits.total_time,
            ..ClientConfig::default()
        };
        let mut pointers = Pointers::new(own, settings.pointers);
        // The agent knows of no context yet, and its target may have joined just now.
        pointers.joined(clock.now());
        Ok(Arc::new(Self {
            desk: Desk::new(admission, clock),
            clock,
            client: Client::new(times),
            pointers: Mutex::new(pointers),
            own,
            metrics,
            fleet,
            settings,
        }))
    }

    /// The own target as operators see it.
    fn status(&self) -> TargetStatus {
        let status = self.desk.status();
        let mark = self
            .fleet
            .with_store(|s| s.mark(&self.settings.target.name).cloned());
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let state = if status.leaving {
            TargetState::Leaving
        } else {
            TargetState::Live
        };
        TargetStatus {
            name: self.settings.target.name.clone(),
            pool: self.settings.target.pool.clone(),
            zone: self.settings.fleet.zone.clone(),
            state,
            load: Some(LoadStatus {
                cost: status.reserved,
                cap: status.cap,
                running: count(status.running),
                waiting: count(status.waiting),
            }),
            drain: mark.map(|m| DrainStatus {
                action: m.action,
                drained: *self.desk.drained().borrow(),
            }),
        }
    }

    /// The pool of the target.
    fn pool(&self) -> &PoolName {
        &self.settings.target.pool
    }

    fn ranking(&self) -> Arc<Ranking> {
        self.fleet.ranking(self.pool())
    }

    fn place(&self, ask: &Ask) -> Place {
        let ranking = self.ranking();
        lock(&self.pointers).place(self.clock.now(), ask, &ranking)
    }

    /// What an attempt costs here: less where its context is held.
    fn cost(&self, attempt: &Attempt, ask: Option<Ask>) -> Cost {
        let Some(ask) = ask else {
            return attempt.cost;
        };
        let pointers = lock(&self.pointers);
        if pointers.cached(ask.chat.0) == Cached::Yes {
            return attempt.held;
        }
        let prefix = ask.prefix.map_or(Cached::No, |p| pointers.cached(p.0));
        match prefix {
            Cached::Yes => attempt.cost - self.block(),
            Cached::Unknown | Cached::No => attempt.cost,
        }
    }

    /// The cost of the leading block of prompts, which a cached prefix spares.
    fn block(&self) -> Cost {
        let bytes = self
            .fleet
            .with_store(|s| s.pool(self.pool()).map_or(0, |p| p.policy.prefix));
        Cost::for_chat(u64::from(bytes) / BYTES_PER_TOKEN as u64, 0)
    }

    /// The hash of another target that may hold the context.
    fn hint(&self, ask: &Ask) -> Option<u64> {
        let ranking = self.ranking();
        let target = lock(&self.pointers).hint(ask, &ranking)?;
        ranking.hash(target).map(|h| h.0)
    }

    fn hash_of(&self, target: TargetKey) -> Option<u64> {
        self.ranking().hash(target).map(|h| h.0)
    }

    /// Notes that the own engine ran a request.
    fn served(&self, ask: &Ask, spilled: bool) {
        lock(&self.pointers).served(self.clock.now(), ask, spilled);
    }
}
