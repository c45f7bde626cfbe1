// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Starts the gateway and shuts it down on SIGTERM.

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
use tokio::time::timeout;

use crate::Error;
use crate::Result;
use crate::admin;
use crate::confirm::Confirmer;
use crate::crashes;
use crate::follow::Follower;
use crate::gateway::Gateway;
use crate::gateway::MAX_IDLE_PER_TARGET;
use crate::gossip;
use crate::missed_origins;
use crate::outage::Outage;
use crate::progress;
use crate::records;
use crate::register;
use crate::reload;
use crate::role::FollowerRole;
use crate::serve;
use crate::single_version;
use crate::store::Store;
use crate::stored_origins;
use crate::suspension;
use crate::targets;

/// Interval between updates of the number of idle connections kept.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time limit for writing the origins of the last streams on shutdown.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_millis(200);

/// Serves until SIGTERM, then finishes the requests in progress.
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
    let running = RunningGateway::start(path, settings, log).await?;
    let _signal = terminate.recv().await;
    running.shutdown().await
}

/// A running gateway.
#[derive(Debug)]
pub struct RunningGateway {
    /// The address at which it accepts callers.
    pub caller_address: SocketAddr,
    /// The address at which it answers the load balancer's health checks.
    pub ready_address: SocketAddr,
    /// The state shared by its tasks.
    pub gateway: Arc<Gateway>,
    store: Store,
    serve_stopper: Stopper,
    /// Stops the health checks and metrics, which are served until the process ends.
    admin_stopper: Stopper,
    serve_task: JoinHandle<ServeSummary>,
    tasks: JoinSet<()>,
}

impl RunningGateway {
    /// Binds the sockets and starts all tasks. `path` is the file from which the settings are
    /// reloaded.
    ///
    /// # Errors
    ///
    /// Returns an error when a socket cannot be bound.
    pub async fn start(path: &Path, settings: GatewaySettings, log: Log) -> Result<Self> {
        Self::start_with_clock(Clock::start(), path, settings, log).await
    }

    /// Starts a gateway that uses this clock.
    ///
    /// # Errors
    ///
    /// As for [`Self::start`].
    pub async fn start_with_clock(
        clock: Clock,
        path: &Path,
        settings: GatewaySettings,
        log: Log,
    ) -> Result<Self> {
        let (serve_stopper, serve_stop) = stop();
        let (admin_stopper, admin_stop) = stop();
        let edge = Edge::bind(settings.listen).await.map_err(Error::Bind)?;
        let ready = Edge::bind(settings.ready).await.map_err(Error::Bind)?;
        let socket = UdpSocket::bind(settings.peers)
            .await
            .map_err(Error::Start)?;
        let socket = Arc::new(socket);
        let peer_address = socket.local_addr().map_err(Error::Start)?;
        let hangup = signal(SignalKind::hangup()).map_err(Error::Start)?;
        let (settings_sender, settings) = watch::channel(Arc::new(settings));
        let gateway = Arc::new(Gateway::new(
            clock,
            settings,
            log,
            serve_stop.clone(),
            Arc::clone(&socket),
            peer_address,
        ));
        gateway.metrics.set_edge(edge.counters());
        let (caller_address, health_address) = (edge.local_addr(), ready.local_addr());
        let address = caller_address.to_string();
        let fields = [("listen", Field::Text(&address))];
        gateway.log.write(Event::Started, &fields);

        let store = Store::new(
            gateway.settings().store,
            gateway.metrics.store_byte_counter(),
        );
        let mut tasks = JoinSet::new();
        start_tasks(&mut tasks, &gateway, &store, socket);
        let reloading = reload::keep_settings_current(
            Arc::clone(&gateway),
            path.to_owned(),
            settings_sender,
            hangup,
        );
        tasks.spawn(reloading);
        serve_admin(&gateway, ready, &admin_stop).await?;
        tasks.spawn(adjust_idle_connections(Arc::clone(&gateway)));
        let limits = gateway.limits.subscribe();
        let shared = Arc::clone(&gateway);
        let answer = move |call| serve::answer_call(Arc::clone(&shared), call);
        Ok(Self {
            caller_address,
            ready_address: health_address,
            gateway,
            store,
            serve_stopper,
            admin_stopper,
            serve_task: tokio::spawn(edge.serve_within(limits, serve_stop, answer)),
            tasks,
        })
    }

    /// Finishes the requests in progress, then shuts the gateway down.
    ///
    /// # Errors
    ///
    /// Returns an error when the serving task failed.
    pub async fn shutdown(mut self) -> Result<()> {
        self.gateway.log.write(Event::Stopping, &[]);
        self.serve_stopper.stop();
        let finished = self.serve_task.await.map_err(|e| Error::Start(e.into()))?;
        self.tasks.shutdown().await;
        // A write may just have been aborted.
        let writing = stored_origins::write_last_origins(&self.gateway, &self.store);
        // The next router may be told of these streams by others.
        let _in_time = timeout(LAST_WRITE_TIMEOUT, writing).await;
        register::deregister(&self.gateway, &self.store).await;
        self.admin_stopper.stop();
        let fields = [("cut", Field::Number(finished.cut))];
        self.gateway.log.write(Event::Stopped, &fields);
        Ok(())
    }
}

/// Starts the tasks that keep the shared state up to date.
fn start_tasks(
    tasks: &mut JoinSet<()>,
    gateway: &Arc<Gateway>,
    store: &Store,
    socket: Arc<UdpSocket>,
) {
    let outage = Outage::default();
    let confirmer = Confirmer::new(gateway, &socket);
    let pruning = register::prune_routers(Arc::clone(gateway), store.clone(), confirmer.clone());
    tasks.spawn(pruning);
    for role in [
        FollowerRole::ConfirmConfiguration(confirmer.clone()),
        FollowerRole::Evacuations(confirmer.clone()),
        FollowerRole::WatchConfiguration(confirmer),
        FollowerRole::Targets,
        FollowerRole::Routers,
    ] {
        tasks.spawn(Follower::new(gateway, store, role, &outage).run());
    }
    tasks.spawn(suspension::watch_suspensions(
        Arc::clone(gateway),
        store.clone(),
        outage,
    ));
    tasks.spawn(targets::expire_targets(Arc::clone(gateway)));
    tasks.spawn(progress::log_in_progress(Arc::clone(gateway)));
    tasks.spawn(register::keep_registered(
        Arc::clone(gateway),
        store.clone(),
    ));
    tasks.spawn(records::keep_versions(Arc::clone(gateway), store.clone()));
    tasks.spawn(missed_origins::read_missed(
        Arc::clone(gateway),
        store.clone(),
    ));
    tasks.spawn(single_version::answer_doubts(
        Arc::clone(gateway),
        store.clone(),
    ));
    tasks.spawn(stored_origins::keep_origins(
        Arc::clone(gateway),
        store.clone(),
    ));
    tasks.spawn(gossip::send_summaries(
        Arc::clone(gateway),
        Arc::clone(&socket),
    ));
    tasks.spawn(crashes::send_crash_reports(
        Arc::clone(gateway),
        Arc::clone(&socket),
    ));
    tasks.spawn(gossip::receive(Arc::clone(gateway), socket));
}

/// Serves health checks and metrics until the process ends.
async fn serve_admin(gateway: &Arc<Gateway>, ready_edge: Edge, stop_signal: &Stop) -> Result<()> {
    let shared = Arc::clone(gateway);
    let answer = move |call| {
        let reply = admin::ready(&shared, &call);
        async move { reply }
    };
    tokio::spawn(ready_edge.serve(Limits::default(), stop_signal.clone(), answer));
    let Some(address) = gateway.settings().metrics else {
        return Ok(());
    };
    let metrics = Edge::bind(address).await.map_err(Error::Bind)?;
    let shared = Arc::clone(gateway);
    let answer = move |call| {
        let reply = admin::metrics(&shared, &call);
        async move { reply }
    };
    tokio::spawn(metrics.serve(Limits::default(), stop_signal.clone(), answer));
    Ok(())
}

/// Adjusts the number of idle connections kept to what the targets accept from all routers.
async fn adjust_idle_connections(gateway: Arc<Gateway>) {
    loop {
        sleep(IDLE_CHECK_INTERVAL).await;
        let Some(index) = gateway.state().config.index().cloned() else {
            continue;
        };
        let routers = gateway.state().router_count(gateway.now());
        let spare =
            desired::max_idle_connections(&index.desired().pools, routers, MAX_IDLE_PER_TARGET);
        gateway.client.set_spare(spare);
    }
}
