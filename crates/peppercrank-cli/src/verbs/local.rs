// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Runs a small fleet in one process, either with routers that send straight to targets or with an
//! agent beside each target.

mod direct;
mod objects;
mod show;

use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use peppercrank_core::names::OrganisationName;
use peppercrank_core::names::PoolName;
use peppercrank_core::names::TargetName;
use peppercrank_core::names::VmName;
use peppercrank_core::names::ZoneName;
use peppercrank_daemon::agent;
use peppercrank_daemon::log::Log;
use peppercrank_daemon::router;
use peppercrank_settings::AgentSettings;
use peppercrank_settings::BaseUrl;
use peppercrank_settings::FleetSettings;
use peppercrank_settings::RouterSettings;
use peppercrank_settings::Secret;
use peppercrank_settings::agent::TargetKind;
use peppercrank_settings::agent::TargetSettings;
use peppercrank_settings::fleet::ContactLimits;
use peppercrank_settings::fleet::LogLevel;
use peppercrank_settings::fleet::PlatformApiSettings;
use peppercrank_settings::keys::Key;
use peppercrank_standin::ServerHandle;
use peppercrank_standin::engine;
use peppercrank_standin::engine::EngineSettings;
use peppercrank_standin::platform;
use peppercrank_standin::platform::PlatformSettings;
use peppercrank_standin::service;
use peppercrank_standin::service::ServiceSettings;
use peppercrank_wire::stop;
use peppercrank_wire::stop::Stop;
use peppercrank_wire::stop::Stopper;
use serde_json::Value;
use serde_json::json;
use tokio::runtime::Runtime;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::access::Access;
use crate::errors::Error;
use crate::errors::Result;
use crate::flags;
use crate::report::Report;
use crate::verbs::daemon;

/// Time within which all routers must be ready and know all targets.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two checks of that.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Operator token of a local fleet; it protects only this process.
pub(crate) const LOCAL_TOKEN: &str = "local-operators-token";

/// A running fleet with agents.
struct AgentFleet {
    stopper: Stopper,
    platform: ServerHandle,
    targets: Vec<ServerHandle>,
    agents: Vec<agent::Running>,
    routers: Vec<router::Running>,
}

/// Instance counts and ports of a fleet with agents.
struct AgentFleetOptions {
    port: u16,
    routers: u16,
    engines: u16,
    services: u16,
    platform: u16,
}

impl AgentFleetOptions {
    fn from_flags(flags: &flags::Local) -> Self {
        let direct::LocalOptions {
            port,
            routers,
            engines,
            services,
        } = direct::options(flags);
        Self {
            port,
            routers,
            engines,
            services,
            platform: flags.platform_port.unwrap_or(0),
        }
    }
}

/// Runs a local fleet until SIGTERM, SIGINT or the end of its run time.
pub(super) fn local(access: &Access, flags: &flags::Local, out: &mut dyn Write) -> Result<Report> {
    if !flags.agents {
        return direct::local(access, flags, out);
    }
    let runtime = Runtime::new().map_err(Error::Process)?;
    let (signal, mut signalled) = stop::stop();
    daemon::on_signal(signal)?;
    let local = runtime.block_on(AgentFleet::start(&AgentFleetOptions::from_flags(flags)))?;
    let written = writeln!(out, "{}", local.render(access.format)).and_then(|()| out.flush());
    written.map_err(Error::Output)?;
    runtime.block_on(async {
        match &flags.run_time {
            // A signal and the timeout both end the run.
            Some(span) => drop(timeout(span.0, signalled.wait()).await),
            None => signalled.wait().await,
        }
        local.shutdown().await
    })?;
    Ok(Report::done(
        "local fleet stopped".to_owned(),
        json!({ "local": "stopped" }),
    ))
}

impl AgentFleet {
    async fn start(plan: &AgentFleetOptions) -> Result<Self> {
        let set = PlatformSettings {
            listen: loopback(plan.platform),
            vms_lag_ms: 0,
            ..PlatformSettings::default()
        };
        let platform = platform::start(set).await.map_err(Error::Standin)?;
        let (stopper, stop) = stop::stop();
        let mut local = Self {
            stopper,
            platform,
            targets: Vec::new(),
            agents: Vec::new(),
            routers: Vec::new(),
        };
        local.publish().await?;
        for number in 0..plan.engines {
            local.add_engine(number, &stop).await?;
        }
        for number in 0..plan.services {
            local.add_service(number, &stop).await?;
        }
        for number in 0..plan.routers {
            let port = if plan.port == 0 {
                0
            } else {
                plan.port.saturating_add(number)
            };
            local.add_router(number, port, &stop).await?;
        }
        local.list_vms().await?;
        local.wait_until_converged().await?;
        Ok(local)
    }

    async fn add_engine(&mut self, number: u16, stop: &Stop) -> Result<()> {
        let set = EngineSettings {
            prefill_us: 20,
            step_us: 5_000,
            ..EngineSettings::default()
        };
        let running = engine::start(set).await.map_err(Error::Standin)?;
        let name = format!("engine-{number}");
        self.add_agent(&name, "engines", TargetKind::Engine, running, stop)
            .await
    }

    async fn add_service(&mut self, number: u16, stop: &Stop) -> Result<()> {
        let running = service::start(ServiceSettings::default())
            .await
            .map_err(Error::Standin)?;
        let name = format!("app-{number}");
        self.add_agent(&name, "app", TargetKind::Service, running, stop)
            .await
    }

    async fn add_agent(
        &mut self,
        name: &str,
        pool: &str,
        kind: TargetKind,
        target: ServerHandle,
        stop: &Stop,
    ) -> Result<()> {
        let target_settings = TargetSettings {
            name: parse_name::<TargetName>(name),
            pool: parse_name::<PoolName>(pool),
            weight: 100,
            kind,
            address: target.addr,
            checks_orders: false,
        };
        let fleet = self.fleet(&format!("vm-{name}"));
        let settings = AgentSettings::new(fleet, loopback(0), target_settings);
        let started = agent::start(settings, Log::disabled(), stop.clone()).await;
        self.agents
            .push(started.map_err(|e| Error::Daemon(e.into()))?);
        self.targets.push(target);
        Ok(())
    }

    async fn add_router(&mut self, number: u16, port: u16, stop: &Stop) -> Result<()> {
        let fleet = self.fleet(&format!("vm-router-{number}"));
        let mut settings = RouterSettings::new(fleet, loopback(port));
        settings.anonymous = Some(parse_name::<OrganisationName>("guest"));
        let started = router::start(settings, Log::disabled(), stop.clone()).await;
        self.routers
            .push(started.map_err(|e| Error::Daemon(e.into()))?);
        Ok(())
    }

    fn fleet(&self, vm: &str) -> FleetSettings {
        let url = format!("http://{}", self.platform.addr);
        FleetSettings {
            vm: parse_name::<VmName>(vm),
            zone: parse_name::<ZoneName>("local"),
            gossip: loopback(0),
            control: loopback(0),
            operators: loopback(0),
            platform: PlatformApiSettings {
                url: BaseUrl::new(&url).expect("an IP address makes an address"),
                token: None,
                timeout: Duration::from_secs(2),
            },
            keys: vec![Key {
                id: 1,
                secret: vec![7; 32],
            }],
            keys_file: None,
            tokens: vec![Secret::new(LOCAL_TOKEN).expect("a constant that is long enough")],
            touch: ContactLimits::default(),
            log: LogLevel::Info,
        }
    }

    /// Publishes the initial configuration.
    async fn publish(&self) -> Result<()> {
        for (kind, name, spec) in objects::initial_objects() {
            self.put(&format!("objects/{kind}/{name}"), &json!({ "spec": spec }))
                .await?;
        }
        Ok(())
    }

    /// Registers the VMs with the platform stand-in, as a real platform would know them.
    async fn list_vms(&self) -> Result<()> {
        let vm = |fleet: &peppercrank_daemon::fleet::Fleet, role| {
            json!({
                "name": fleet.settings.vm, "zone": fleet.settings.zone,
                "address": fleet.gossip_address(), "role": role
            })
        };
        let agents = self.agents.iter().map(|a| vm(&a.agent.fleet, "agent"));
        let routers = self.routers.iter().map(|r| vm(&r.router.fleet, "router"));
        let vms: Vec<Value> = agents.chain(routers).collect();
        self.put("vms", &json!({ "vms": vms })).await
    }

    async fn put(&self, path: &str, body: &Value) -> Result<()> {
        let url = format!("http://{}/{path}", self.platform.addr);
        let body = body.clone();
        let sent = tokio::task::spawn_blocking(move || {
            ureq::put(&url)
                .header("if-none-match", "*")
                .send_json(&body)
                .map(drop)
        });
        let sent = sent
            .await
            .map_err(|e| Error::Process(std::io::Error::other(e)))?;
        sent.map_err(|e| Error::Process(std::io::Error::other(e)))
    }

    /// Waits until every router is ready and knows all targets.
    async fn wait_until_converged(&self) -> Result<()> {
        let targets = self.targets.len();
        let ready = |r: &router::Running| {
            r.router.fleet.is_ready() && r.router.fleet.board().targets.len() == targets
        };
        let all = async {
            while !self.routers.iter().all(ready) {
                sleep(POLL_INTERVAL).await;
            }
        };
        let late = std::io::Error::from(std::io::ErrorKind::TimedOut);
        timeout(CONVERGENCE_TIMEOUT, all)
            .await
            .map_err(|_late| Error::Process(late))
    }

    async fn shutdown(self) -> Result<()> {
        self.stopper.stop();
        for router in self.routers {
            router
                .finished()
                .await
                .map_err(|e| Error::Daemon(e.into()))?;
        }
        for agent in self.agents {
            agent
                .finished()
                .await
                .map_err(|e| Error::Daemon(e.into()))?;
        }
        // All callers' requests have ended; what is still open is polling by the agents.
        for target in self.targets {
            target.kill().await;
        }
        self.platform.kill().await;
        Ok(())
    }
}

/// Returns a loopback address with this port.
fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

/// Parses a name from a constant of this module, all of which are valid.
fn parse_name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a constant that is a name")
}
