// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A whole path in one process: routers, agents, stand-ins, each daemon on a runtime of its own.

#![expect(dead_code, reason = "each test file uses its own part of these")]

#[path = "../../../peppercrank-standin/tests/support/mod.rs"]
pub mod client;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::mpsc;
use std::time::Duration;

use peppercrank_core::names::PoolName;
use peppercrank_daemon::agent;
use peppercrank_daemon::log::Log;
use peppercrank_daemon::router;
use peppercrank_settings::AgentSettings;
use peppercrank_settings::RouterSettings;
use peppercrank_standin::ServerHandle;
use peppercrank_standin::engine;
use peppercrank_standin::engine::EngineSettings;
use peppercrank_standin::platform;
use peppercrank_standin::platform::PlatformSettings;
use peppercrank_standin::service;
use peppercrank_standin::service::ServiceSettings;
use peppercrank_wire::edge::ServeSummary;
use peppercrank_wire::stop::Stopper;
use peppercrank_wire::stop::stop;
use serde_json::Value;
use serde_json::json;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

pub const CHAT: &str = "POST /v1/chat/completions";
pub const ACME: (&str, &str) = ("x-peppercrank-organisation", "acme");
pub const MODELS: &str = "galley";
pub const SERVICES: &str = "app";

/// Threads of each daemon's runtime.
const THREADS: usize = 2;

/// Time that a killed daemon's tasks get to be dropped.
const KILL: Duration = Duration::from_secs(10);

/// A daemon on a runtime of its own, so that it can be killed alone.
#[derive(Debug)]
pub struct Daemon<R> {
    pub running: R,
    runtime: Runtime,
    stopper: Stopper,
}

impl<R> Daemon<R> {
    /// Ends it as a killed process ends: all its sockets close at once.
    pub fn kill(self) {
        drop(self.running);
        self.runtime.shutdown_timeout(KILL);
    }

    /// Stands still as a paused process does, its sockets open, until what is returned is dropped.
    pub fn pause(&self) -> Vec<mpsc::Sender<()>> {
        let stand = |_| {
            let (end, ended) = mpsc::channel();
            // It blocks one of the runtime's threads; the end comes as an error.
            self.runtime.spawn(async move {
                let _ended = ended.recv();
            });
            end
        };
        (0..THREADS).map(stand).collect()
    }

    /// Tells it to stop, as SIGTERM does.
    pub fn tell_to_stop(&self) {
        self.stopper.stop();
    }
}

impl Daemon<router::Running> {
    /// Waits for its end.
    pub fn finished(self) -> ServeSummary {
        self.runtime
            .block_on(self.running.finished())
            .expect("an end")
    }
}

impl Daemon<agent::Running> {
    /// Waits for its end.
    pub fn finished(self) -> ServeSummary {
        self.runtime
            .block_on(self.running.finished())
            .expect("an end")
    }
}

/// A target and its agent.
#[derive(Debug)]
pub struct Target {
    pub at: SocketAddr,
    pub agent: Option<Daemon<agent::Running>>,
    pub name: String,
    /// The agent's settings, to start it anew.
    settings: Value,
    running: ServerHandle,
}

impl Target {
    pub fn kill_agent(&mut self) {
        self.agent.take().expect("an agent").kill();
    }
}

/// The whole path; `Drop` order ends the daemons before what they talk to.
#[derive(Debug)]
pub struct Bench {
    pub router: Option<Daemon<router::Running>>,
    pub second: Option<Daemon<router::Running>>,
    pub targets: Vec<Target>,
    pub platform: ServerHandle,
    vms: Vec<Value>,
    runtime: Runtime,
}

/// An engine that takes no time.
pub fn quick() -> EngineSettings {
    EngineSettings {
        prefill_us: 0,
        step_us: 0,
        ..EngineSettings::default()
    }
}

/// A chat of 4,000 tokens.
pub fn long(stream: bool) -> String {
    client::chat(stream, &["abc"]).replace("\"max_tokens\":6", "\"max_tokens\":4000")
}

impl Bench {
    /// A platform with configuration, no daemons yet.
    pub fn empty() -> Self {
        let runtime = runtime();
        let set = PlatformSettings {
            vms_lag_ms: 0,
            ..PlatformSettings::default()
        };
        let platform = runtime.block_on(platform::start(set)).expect("a platform");
        let bench = Self {
            router: None,
            second: None,
            targets: Vec::new(),
            platform,
            vms: Vec::new(),
            runtime,
        };
        bench.publish();
        bench
    }

    /// A router before engines of these settings.
    pub fn engines(sets: Vec<EngineSettings>) -> Self {
        let mut bench = Self::empty();
        for set in sets {
            bench.add_engine(set, &json!({}));
        }
        bench.start_router(&json!({}));
        bench.await_targets(MODELS, bench.targets.len());
        bench
    }

    /// A router before so many plain services.
    pub fn services(count: usize) -> Self {
        let mut bench = Self::empty();
        for _ in 0..count {
            let start = service::start(ServiceSettings::default());
            let running = bench.runtime.block_on(start).expect("a service");
            bench.add_target(running, "service", SERVICES, &json!({}));
        }
        bench.start_router(&json!({}));
        bench.await_targets(SERVICES, count);
        bench
    }

    /// Where callers call.
    pub fn at(&self) -> SocketAddr {
        self.router.as_ref().expect("a router").running.address
    }

    /// Sends a chat to the engines and returns, once one is at work, the caller's connection.
    pub fn call(&self, body: &str) -> TcpStream {
        let mut caller = TcpStream::connect(self.at()).expect("a connection");
        let length = body.len();
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\n{}: {}",
            ACME.0, ACME.1
        );
        let request = format!("{head}\r\ncontent-length: {length}\r\n\r\n{body}");
        caller.write_all(request.as_bytes()).expect("a request");
        let one = json!(1);
        let at_work = client::poll_until(&one, || {
            let loads = self.targets.iter().map(|t| client::running(t.at));
            json!(loads.filter_map(|n| n.as_u64()).sum::<u64>())
        });
        assert_eq!(at_work, one, "the engine is at work");
        caller
    }

    fn publish(&self) {
        let parameters = json!({
            "weight": 1, "priority": 5, "limit": 1_000_000, "output": 24, "deadline_ms": 30_000,
        });
        let policy = json!({
            "cap": 1.25, "floor": 100_000, "queue": 100, "wait_ms": 1_000, "prefix": 256,
            "tries": 3, "retries": 1.0,
        });
        let service = json!({"service": {"cost": 1, "repeatable": false}});
        self.write("template/plain", &json!({"parameters": parameters}));
        self.write("organisation/acme", &json!({"template": "plain"}));
        let galley = json!({"serves": {"models": ["m"]}, "policy": policy});
        self.write(&format!("pool/{MODELS}"), &galley);
        let app = json!({"serves": service, "policy": policy});
        self.write(&format!("pool/{SERVICES}"), &app);
    }

    /// Creates an object of the platform, as the operators' tools do.
    pub fn write(&self, path: &str, spec: &Value) {
        let body = json!({"spec": spec});
        let call = format!("PUT /objects/{path}");
        let new = [("if-none-match", "*")];
        let written = client::send(self.platform.addr, &call, &new, &body.to_string());
        assert_eq!(written.expect("an answer").status, 200, "{path}");
    }

    /// Starts an engine and its agent, with these settings of the agent besides the usual ones.
    pub fn add_engine(&mut self, set: EngineSettings, more: &Value) {
        let running = self.runtime.block_on(engine::start(set));
        self.add_target(running.expect("an engine"), "engine", MODELS, more);
    }

    /// Starts an agent beside a target.
    pub fn add_target(&mut self, running: ServerHandle, kind: &str, pool: &str, more: &Value) {
        let name = format!("{pool}-{}", self.targets.len());
        let at = running.addr;
        let target = json!({"name": name, "pool": pool, "kind": kind, "address": at});
        let mut settings = json!({
            "fleet": self.fleet(&name), "listen": "127.0.0.1:0", "target": target,
        });
        merge(&mut settings, more);
        self.targets.push(Target {
            at,
            agent: None,
            name,
            settings,
            running,
        });
        self.start_agent(self.targets.len() - 1);
    }

    /// Starts the agent of a target that has none.
    pub fn start_agent(&mut self, place: usize) {
        let target = &self.targets[place];
        let settings = AgentSettings::parse(&target.settings.to_string()).expect("settings");
        let runtime = runtime();
        let (stopper, signal) = stop();
        let start = agent::start(settings, Log::disabled(), signal);
        let running = runtime.block_on(start).expect("an agent");
        let (name, at) = (target.name.clone(), running.agent.fleet.gossip_address());
        self.enlist(&name, "agent", at);
        self.targets[place].agent = Some(Daemon {
            running,
            runtime,
            stopper,
        });
    }

    /// Starts the router with these settings besides the usual ones.
    pub fn start_router(&mut self, more: &Value) {
        self.router = Some(self.one_router("r", more));
    }

    /// Starts a second router and returns where callers call it, once it serves.
    pub fn start_second(&mut self) -> SocketAddr {
        let second = self.one_router("r2", &json!({}));
        let at = second.running.address;
        self.second = Some(second);
        let ready = client::poll_until(&200, || {
            let seen = client::send(at, "GET /services/app/warm", &[ACME], "");
            seen.expect("an answer").status
        });
        assert_eq!(ready, 200, "the second router serves");
        at
    }

    fn one_router(&mut self, name: &str, more: &Value) -> Daemon<router::Running> {
        let mut settings = json!({"fleet": self.fleet(name), "listen": "127.0.0.1:0"});
        merge(&mut settings, more);
        let settings = RouterSettings::parse(&settings.to_string()).expect("settings");
        let runtime = runtime();
        let (stopper, signal) = stop();
        let start = router::start(settings, Log::disabled(), signal);
        let running = runtime.block_on(start).expect("a router");
        self.enlist(name, "router", running.router.fleet.gossip_address());
        Daemon {
            running,
            runtime,
            stopper,
        }
    }

    fn fleet(&self, vm: &str) -> Value {
        let any = "127.0.0.1:0";
        json!({
            "vm": vm, "zone": "rae", "gossip": any, "control": any, "operators": any,
            "platform": {"url": format!("http://{}", self.platform.addr)},
            "keys": [{"id": 1, "secret": "00112233445566778899aabbccddeeff"}],
        })
    }

    /// Puts a VM into the platform's list, where those that start later find it.
    fn enlist(&mut self, name: &str, role: &str, at: SocketAddr) {
        // An agent that starts anew has another address.
        self.vms.retain(|vm| vm["name"] != name);
        self.vms
            .push(json!({"name": name, "zone": "rae", "address": at, "role": role}));
        let list = json!({"vms": self.vms}).to_string();
        let set = client::send(self.platform.addr, "PUT /vms", &[], &list);
        assert_eq!(set.expect("an answer").status, 200);
    }

    /// Waits until router and agents know each other and the configuration.
    pub fn await_targets(&self, pool: &str, count: usize) {
        let pool = PoolName::new(pool).expect("a name");
        let fleet = &self.router.as_ref().expect("a router").running.router.fleet;
        let seen = client::poll_until(&(true, count), || {
            (fleet.is_ready(), fleet.ranking(&pool).len())
        });
        assert_eq!(seen, (true, count), "the router's view");
        for target in &self.targets {
            let agent = &target.agent.as_ref().expect("an agent").running.agent;
            let ready = client::poll_until(&true, || {
                // Without its pool's policy an agent has no room for anything.
                agent.fleet.is_ready() && agent.desk.status().cap.0 >= 100_000
            });
            assert!(
                ready,
                "{} {} {:?}",
                target.name,
                agent.fleet.is_ready(),
                agent.desk.status()
            );
        }
        let warm = client::poll_until(&200, || {
            let call = if pool.as_str() == MODELS {
                CHAT
            } else {
                "GET /services/app/warm"
            };
            let sent = client::send(self.at(), call, &[ACME], &client::chat(false, &["warm"]));
            sent.expect("an answer").status
        });
        assert_eq!(warm, 200);
    }

    /// How often the engines' or services' work ran for a request.
    pub fn runs(&self, request: &str) -> u64 {
        let runs = |t: &Target| client::run_counts(t.at, request)["requests"].as_u64();
        self.targets.iter().filter_map(runs).sum()
    }

    /// The target of this name.
    pub fn target(&self, name: &str) -> &Target {
        let found = self.targets.iter().find(|t| t.name == name);
        found.expect("a target")
    }

    /// Sets the same faults at all targets.
    pub fn faults(&self, faults: &Value) {
        for target in &self.targets {
            client::set_faults(target.at, faults);
        }
    }
}

/// Puts fields into settings, over those that are there.
fn merge(settings: &mut Value, more: &Value) {
    let fields = settings.as_object_mut().expect("an object");
    for (name, value) in more.as_object().expect("an object") {
        match fields.get_mut(name) {
            Some(inner) if inner.is_object() => merge(inner, value),
            _ => drop(fields.insert(name.clone(), value.clone())),
        }
    }
}

fn runtime() -> Runtime {
    let built = Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build();
    built.expect("a runtime")
}
