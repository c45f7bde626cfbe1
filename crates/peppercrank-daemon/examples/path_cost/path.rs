// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The whole path in one process: platform, engine, agent and router, each on its own threads.

use std::future::ready;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http_body_util::BodyExt;
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
use peppercrank_wire::body;
use peppercrank_wire::body::Body;
use peppercrank_wire::client::Client;
use peppercrank_wire::client::ResponseBody;
use peppercrank_wire::client::Reuse;
use peppercrank_wire::edge::Call;
use peppercrank_wire::edge::Edge;
use peppercrank_wire::edge::Limits;
use peppercrank_wire::edge::Reply;
use peppercrank_wire::stop::Stopper;
use peppercrank_wire::stop::stop;
use serde_json::json;
use tokio::runtime::Runtime;

use crate::support;

/// Worker threads of each part's runtime.
const WORKERS: usize = 4;

/// How long the parts may take to find each other.
const PATIENCE: Duration = Duration::from_secs(30);

/// The next id of a chat that is sent directly.
static IDS: AtomicU64 = AtomicU64::new(1);

/// `Path` is a router before one agent and its engine.
#[derive(Debug)]
pub struct Path {
    /// Where the engine is called directly.
    pub direct: SocketAddr,
    /// Where the router is called.
    pub routed: SocketAddr,
    // Dropped in this order: what calls goes before what is called.
    _runtimes: Vec<Runtime>,
    daemons: (router::Running, agent::Running, [Stopper; 2]),
    _engine: Origin,
    _platform: ServerHandle,
}

/// What answers chats.
#[derive(Debug)]
pub enum Origin {
    /// The engine stand-in.
    Engine(ServerHandle),
    /// An origin whose events carry the time of their making.
    Stamps {
        /// Where it listens.
        address: SocketAddr,
        /// Ends it when dropped.
        _stopper: Stopper,
    },
}

impl Origin {
    /// `engine` is an engine stand-in whose prompts take no time and whose steps take `step`.
    pub async fn engine(step: Duration) -> Self {
        let set = EngineSettings {
            prefill_us: 0,
            step_us: u64::try_from(step.as_micros()).expect("a short step"),
            slots: 100_000,
            ..EngineSettings::default()
        };
        Self::Engine(engine::start(set).await.expect("an engine"))
    }

    /// `stamps` streams `events` events, one each `step`.
    pub async fn stamps(origin: Instant, step: Duration, events: u32) -> Self {
        let edge = Edge::bind((Ipv4Addr::LOCALHOST, 0).into()).await;
        let edge = edge.expect("a free port");
        let address = edge.local_addr();
        let (stopper, signal) = stop();
        let answer = move |call| ready(stamp(&call, origin, step, events));
        tokio::spawn(edge.serve(Limits::default(), signal, answer));
        Self::Stamps {
            address,
            _stopper: stopper,
        }
    }

    const fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(running) => running.addr,
            Self::Stamps { address, .. } => *address,
        }
    }
}

/// Answers a chat as engines do, each event with the time of its making.
fn stamp(call: &Call, origin: Instant, step: Duration, events: u32) -> Reply {
    let id = call.head.headers.get("x-request-id").cloned();
    let Some(id) = id else {
        // The agent's questions for load and cache events: this origin tells nothing.
        let mut reply = Reply::new(body::empty());
        *reply.status_mut() = http::StatusCode::NOT_FOUND;
        return reply;
    };
    let text = id.to_str().expect("an id").to_owned();
    let (feed, body) = body::channel(4);
    tokio::spawn(async move {
        let mut tick = tokio::time::interval(step);
        for _ in 0..events {
            tick.tick().await;
            let made = origin.elapsed().as_nanos();
            let event = format!("data: {{\"id\":\"{text}\",\"made\":\"{made:020}\"}}\n\n");
            if feed.send(event.into()).await.is_err() {
                return;
            }
        }
        if feed.send("data: [DONE]\n\n".into()).await.is_ok() {
            feed.finish();
        }
    });
    let mut reply = Reply::new(body);
    let headers = reply.headers_mut();
    headers.insert("x-request-id", id);
    headers.insert("content-type", "text/event-stream".parse().expect("a type"));
    reply
}

impl Path {
    /// `start` starts the path before an origin and waits until it serves.
    pub fn start(origin: impl Future<Output = Origin>) -> Self {
        let names = ["router", "agent", "engine", "platform"];
        let runtimes: Vec<_> = names.map(|n| support::runtime(n, WORKERS)).into();
        let [on_router, on_agent, on_engine, on_platform] = &*runtimes else {
            unreachable!("as many runtimes as names");
        };
        let set = PlatformSettings {
            vms_lag_ms: 0,
            ..PlatformSettings::default()
        };
        let platform = on_platform.block_on(platform::start(set));
        let platform = platform.expect("a platform");
        let url = format!("http://{}", platform.addr);
        support::configure(&url);
        let engine = on_engine.block_on(origin);
        let (stop_agent, signal) = stop();
        let settings = agent_settings(&url, engine.address());
        let agent = on_agent.block_on(agent::start(settings, Log::disabled(), signal));
        let agent = agent.expect("an agent");
        let (stop_router, signal) = stop();
        let settings = router_settings(&url);
        let router = on_router.block_on(router::start(settings, Log::disabled(), signal));
        let router = router.expect("a router");
        let vm = |name: &str, address: SocketAddr| json!({"name": name, "zone": "rae", "address": address, "role": name});
        let vms = [
            vm("agent", agent.agent.fleet.gossip_address()),
            vm("router", router.router.fleet.gossip_address()),
        ];
        support::put(&url, "vms", &json!({ "vms": vms }));
        let path = Self {
            direct: engine.address(),
            routed: router.address,
            _runtimes: runtimes,
            daemons: (router, agent, [stop_agent, stop_router]),
            _engine: engine,
            _platform: platform,
        };
        path.come_together();
        path
    }

    fn come_together(&self) {
        let (router, agent, _) = &self.daemons;
        let pool = PoolName::new("engines").expect("a name");
        let begun = Instant::now();
        while !(router.router.fleet.is_ready()
            && agent.agent.fleet.is_ready()
            && router.router.fleet.ranking(&pool).len() == 1
            && agent.agent.desk.status().cap.0 > 0)
        {
            assert!(begun.elapsed() < PATIENCE, "the parts find each other");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// `ways` is the two ways to the engine: directly and through router and agent.
    pub const fn ways(&self) -> [SocketAddr; 2] {
        [self.direct, self.routed]
    }
}

fn agent_settings(url: &str, engine: SocketAddr) -> AgentSettings {
    let target = json!({"name": "engine", "pool": "engines", "kind": "engine", "address": engine});
    let settings = json!({
        "fleet": support::fleet("agent", "rae", url), "listen": "127.0.0.1:0",
        "limits": {"connections": 8_192}, "target": target,
    });
    AgentSettings::parse(&settings.to_string()).expect("settings")
}

fn router_settings(url: &str) -> RouterSettings {
    let settings = json!({
        "fleet": support::fleet("router", "rae", url), "listen": "127.0.0.1:0",
        "limits": {"connections": 8_192}, "anonymous": "guest",
    });
    RouterSettings::parse(&settings.to_string()).expect("settings")
}

/// `chat` is a streamed chat of its own, with an answer of so many tokens.
pub fn chat(number: u64, tokens: u32) -> Request<Body> {
    let content = format!("Plan trolley {number} of the evening departures.");
    let body = json!({
        "model": "m", "stream": true, "max_tokens": tokens,
        "messages": [{"role": "user", "content": content}],
    });
    // The engine called directly wants an id of its own; the router does not pass this one on.
    let id = IDS.fetch_add(1, Ordering::Relaxed);
    let request = Request::post("/v1/chat/completions")
        .header("x-request-id", format!("{id:032x}"))
        .header("content-type", "application/json")
        .body(body::full(body.to_string()));
    request.expect("a good request")
}

/// `open` sends a chat and returns the body of its answer.
pub async fn open(
    client: &Client,
    to: SocketAddr,
    request: Request<Body>,
    reuse: Reuse,
) -> ResponseBody {
    let answer = client.send(to, request, reuse).await.expect("an answer");
    let headers: &HeaderMap = answer.headers();
    assert_eq!(answer.status(), 200, "{headers:?}");
    answer.into_body()
}

/// `next` is the next part of a body, or none at its end.
pub async fn next(body: &mut ResponseBody) -> Option<Bytes> {
    let frame = body.frame().await?;
    Some(frame.expect("a whole part").into_data().expect("data"))
}
