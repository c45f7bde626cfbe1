// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Starts the gateway and ends it on SIGTERM.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::events::Event;
use peppercrank_direct::desired;
use peppercrank_log::Field;
use peppercrank_log::Log;
use peppercrank_settings::GatewaySettings;
use peppercrank_wire::clock::Clock;
use peppercrank_wire::edge::Edge;
use peppercrank_wire::edge::Limits;
use peppercrank_wire::edge::ServeSummary;
use peppercrank_wire::stop::Stop;
use peppercrank_wire::stop::Stopper;
use peppercrank_wire::stop::stop;
use tokio::net::UdpSocket;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::Error;
use crate::Result;
use crate::admin;
use crate::confirm::Confirmer;
use crate::crashes;
use crate::follow::Follower;
use crate::gateway::Gateway;
use crate::gateway::SPARE;
use crate::gossip;
use crate::outage::Outage;
use crate::progress;
use crate::register;
use crate::reload;
use crate::role::Role;
use crate::serve;
use crate::store::Store;
use crate::suspension;
use crate::targets;

/// Pause between looks at how many connections are kept.
const SPARE_EVERY: Duration = Duration::from_millis(200);

/// `run` serves until SIGTERM, then ends what is in progress.
///
/// # Errors
///
/// Returns an error when the settings are invalid or a socket cannot be bound.
pub fn run(path: &Path) -> Result<()> {
    let settings = GatewaySettings::load(path).map_err(Error::Settings)?;
    let log = Log::to_writer(std::io::stdout(), settings.log.level(), &settings.name);
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(Error::Start)?;
    runtime.block_on(serve(path, settings, log))
}

async fn serve(path: &Path, settings: GatewaySettings, log: Log) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Start)?;
    let running = Running::start(path, settings, log).await?;
    let _given = terminate.recv().await;
    running.finish().await
}

/// `Running` is a gateway that serves.
#[derive(Debug)]
pub struct Running {
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Where it answers the balancer.
    pub ready: SocketAddr,
    /// What its tasks share.
    pub gateway: Arc<Gateway>,
    store: Store,
    stopper: Stopper,
    /// The balancer and the metrics are answered until the process ends.
    ending: Stopper,
    serving: JoinHandle<ServeSummary>,
    tasks: JoinSet<()>,
}

impl Running {
    /// `start` binds the sockets and starts all tasks; `path` is where the settings are read anew.
    ///
    /// # Errors
    ///
    /// Returns an error when a socket cannot be bound.
    pub async fn start(path: &Path, settings: GatewaySettings, log: Log) -> Result<Self> {
        Self::start_by(Clock::start(), path, settings, log).await
    }

    /// `start_by` does the same by this clock.
    ///
    /// # Errors
    ///
    /// As for [`Self::start`].
    pub async fn start_by(
        clock: Clock,
        path: &Path,
        settings: GatewaySettings,
        log: Log,
    ) -> Result<Self> {
        let (stopper, told) = stop();
        let (ending, end) = stop();
        let edge = Edge::bind(settings.listen).await.map_err(Error::Bind)?;
        let ready = Edge::bind(settings.ready).await.map_err(Error::Bind)?;
        let socket = UdpSocket::bind(settings.peers)
            .await
            .map_err(Error::Start)?;
        let peers = socket.local_addr().map_err(Error::Start)?;
        let hangup = signal(SignalKind::hangup()).map_err(Error::Start)?;
        let (dial, settings) = watch::channel(Arc::new(settings));
        let gateway = Arc::new(Gateway::new(clock, settings, log, told.clone(), peers));
        let (callers, asked) = (edge.local_addr(), ready.local_addr());
        let address = callers.to_string();
        let fields = [("listen", Field::Text(&address))];
        gateway.log.write(Event::Started, &fields);

        let store = Store::new(gateway.settings().store, gateway.metrics.store_bytes());
        let mut tasks = JoinSet::new();
        start_tasks(&mut tasks, &gateway, &store, Arc::new(socket));
        let reading = reload::reload(Arc::clone(&gateway), path.to_owned(), dial, hangup);
        tasks.spawn(reading);
        serve_admin(&gateway, ready, &end).await?;
        tasks.spawn(follow_spare(Arc::clone(&gateway)));
        let limits = gateway.limits.subscribe();
        let shared = Arc::clone(&gateway);
        let answer = move |call| serve::answer(Arc::clone(&shared), call);
        Ok(Self {
            callers,
            ready: asked,
            gateway,
            store,
            stopper,
            ending,
            serving: tokio::spawn(edge.serve_within(limits, told, answer)),
            tasks,
        })
    }

    /// `finish` ends what is in progress, and then the gateway.
    ///
    /// # Errors
    ///
    /// Returns an error when the task that serves failed.
    pub async fn finish(mut self) -> Result<()> {
        self.gateway.log.write(Event::Stopping, &[]);
        self.stopper.stop();
        let finished = self.serving.await.map_err(|e| Error::Start(e.into()))?;
        self.tasks.shutdown().await;
        register::leave(&self.gateway, &self.store).await;
        self.ending.stop();
        let fields = [("cut", Field::Number(finished.cut))];
        self.gateway.log.write(Event::Stopped, &fields);
        Ok(())
    }
}

/// Starts the tasks that keep the blackboard up to date.
fn start_tasks(
    tasks: &mut JoinSet<()>,
    gateway: &Arc<Gateway>,
    store: &Store,
    socket: Arc<UdpSocket>,
) {
    let outage = Outage::default();
    let confirmer = Confirmer::new(gateway, &socket);
    let pruning = register::prune(Arc::clone(gateway), store.clone(), confirmer.clone());
    tasks.spawn(pruning);
    for role in [
        Role::Confirms(confirmer.clone()),
        Role::Evacuations(confirmer.clone()),
        Role::Watches(confirmer),
        Role::Targets,
        Role::Routers,
    ] {
        tasks.spawn(Follower::new(gateway, store, role, &outage).run());
    }
    tasks.spawn(suspension::watch(
        Arc::clone(gateway),
        store.clone(),
        outage,
    ));
    tasks.spawn(targets::expire(Arc::clone(gateway)));
    tasks.spawn(progress::tell(Arc::clone(gateway)));
    tasks.spawn(register::register(Arc::clone(gateway), store.clone()));
    tasks.spawn(gossip::tell(Arc::clone(gateway), Arc::clone(&socket)));
    tasks.spawn(crashes::tell(Arc::clone(gateway), Arc::clone(&socket)));
    tasks.spawn(gossip::hear(Arc::clone(gateway), socket));
}

/// Serves the balancer and the metrics until the process ends.
async fn serve_admin(gateway: &Arc<Gateway>, ready: Edge, end: &Stop) -> Result<()> {
    let shared = Arc::clone(gateway);
    let answer = move |call| {
        let reply = admin::ready(&shared, &call);
        async move { reply }
    };
    tokio::spawn(ready.serve(Limits::default(), end.clone(), answer));
    let Some(address) = gateway.settings().metrics else {
        return Ok(());
    };
    let metrics = Edge::bind(address).await.map_err(Error::Bind)?;
    let shared = Arc::clone(gateway);
    let answer = move |call| {
        let reply = admin::metrics(&shared, &call);
        async move { reply }
    };
    tokio::spawn(metrics.serve(Limits::default(), end.clone(), answer));
    Ok(())
}

/// Keeps as many connections to targets as their number of connections and that of the routers allow.
async fn follow_spare(gateway: Arc<Gateway>) {
    loop {
        sleep(SPARE_EVERY).await;
        let Some(index) = gateway.state().config.index().cloned() else {
            continue;
        };
        let routers = gateway.state().sharers(gateway.now());
        let spare = desired::spare(&index.desired().pools, routers, SPARE);
        gateway.client.set_spare(spare);
    }
}
