// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A whole small fleet in one process: routers that send straight to targets, or with an agent beside each target.

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

/// Time for the fleet to come together.
const TOGETHER: Duration = Duration::from_secs(20);

/// Pause between two looks at whether it has.
const LOOK: Duration = Duration::from_millis(50);

/// The operators' token of a local fleet; it guards nothing but this process.
pub(crate) const TOKEN: &str = "local-operators-token";

/// `Local` is a fleet that runs.
struct Local {
    stopper: Stopper,
    platform: ServerHandle,
    targets: Vec<ServerHandle>,
    agents: Vec<agent::Running>,
    routers: Vec<router::Running>,
}

/// How many of each part, and where.
struct Plan {
    port: u16,
    routers: u16,
    engines: u16,
    services: u16,
    platform: u16,
}

impl Plan {
    fn of(flags: &flags::Local) -> Self {
        let direct::LocalOptions {
            port,
            routers,
            engines,
            services,
        } = direct::plan(flags);
        Self {
            port,
            routers,
            engines,
            services,
            platform: flags.platform_port.unwrap_or(0),
        }
    }
}

/// Serves a local fleet until SIGTERM, SIGINT or the end of its run time.
pub(super) fn local(access: &Access, flags: &flags::Local, out: &mut dyn Write) -> Result<Report> {
    if !flags.agents {
        return direct::local(access, flags, out);
    }
    let runtime = Runtime::new().map_err(Error::Process)?;
    let (signal, mut signalled) = stop::stop();
    daemon::on_signal(signal)?;
    let local = runtime.block_on(Local::start(&Plan::of(flags)))?;
    let told = writeln!(out, "{}", local.show(access.form)).and_then(|()| out.flush());
    told.map_err(Error::Output)?;
    runtime.block_on(async {
        match &flags.run_time {
            // Both ends of the wait are the end of the run.
            Some(span) => drop(timeout(span.0, signalled.wait()).await),
            None => signalled.wait().await,
        }
        local.end().await
    })?;
    Ok(Report::done(
        "local fleet stopped".to_owned(),
        json!({ "local": "stopped" }),
    ))
}

impl Local {
    async fn start(plan: &Plan) -> Result<Self> {
        let set = PlatformSettings {
            listen: at(plan.platform),
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
        local.come_together().await?;
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
            name: named::<TargetName>(name),
            pool: named::<PoolName>(pool),
            weight: 100,
            kind,
            address: target.addr,
            checks_orders: false,
        };
        let fleet = self.fleet(&format!("vm-{name}"));
        let settings = AgentSettings::new(fleet, at(0), target_settings);
        let started = agent::start(settings, Log::disabled(), stop.clone()).await;
        self.agents
            .push(started.map_err(|e| Error::Daemon(e.into()))?);
        self.targets.push(target);
        Ok(())
    }

    async fn add_router(&mut self, number: u16, port: u16, stop: &Stop) -> Result<()> {
        let fleet = self.fleet(&format!("vm-router-{number}"));
        let mut settings = RouterSettings::new(fleet, at(port));
        settings.anonymous = Some(named::<OrganisationName>("guest"));
        let started = router::start(settings, Log::disabled(), stop.clone()).await;
        self.routers
            .push(started.map_err(|e| Error::Daemon(e.into()))?);
        Ok(())
    }

    fn fleet(&self, vm: &str) -> FleetSettings {
        let url = format!("http://{}", self.platform.addr);
        FleetSettings {
            vm: named::<VmName>(vm),
            zone: named::<ZoneName>("local"),
            gossip: at(0),
            control: at(0),
            operators: at(0),
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
            tokens: vec![Secret::new(TOKEN).expect("a constant that is long enough")],
            touch: ContactLimits::default(),
            log: LogLevel::Info,
        }
    }

    /// Writes the first configuration.
    async fn publish(&self) -> Result<()> {
        for (kind, name, spec) in objects::first() {
            self.put(&format!("objects/{kind}/{name}"), &json!({ "spec": spec }))
                .await?;
        }
        Ok(())
    }

    /// Tells the platform where the processes are, as the operators' platform would know.
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

    /// Waits until each router is ready and knows all targets.
    async fn come_together(&self) -> Result<()> {
        let targets = self.targets.len();
        let ready = |r: &router::Running| {
            r.router.fleet.is_ready() && r.router.fleet.board().targets.len() == targets
        };
        let all = async {
            while !self.routers.iter().all(ready) {
                sleep(LOOK).await;
            }
        };
        let late = std::io::Error::from(std::io::ErrorKind::TimedOut);
        timeout(TOGETHER, all)
            .await
            .map_err(|_late| Error::Process(late))
    }

    async fn end(self) -> Result<()> {
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
        // Nothing of a caller runs any more: what is open is the agents' own polling.
        for target in self.targets {
            target.kill().await;
        }
        self.platform.kill().await;
        Ok(())
    }
}

/// A loopback address.
fn at(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

/// A name of this file, which are all valid.
fn named<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a constant that is a name")
}
