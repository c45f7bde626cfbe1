// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The command against real daemons: changes in force, drains and status.

mod support;

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use peppercrank_cli::Exit;
use peppercrank_core::events::Event;
use peppercrank_core::events::Level;
use peppercrank_daemon::agent;
use peppercrank_daemon::log::Log;
use peppercrank_daemon::router;
use peppercrank_settings::AgentSettings;
use peppercrank_settings::RouterSettings;
use peppercrank_standin::engine;
use peppercrank_standin::engine::EngineSettings;
use peppercrank_wire::stop;
use serde_json::Value;
use serde_json::json;
use support::RunResult;
use support::TOKEN;
use support::TestPlatform;
use support::any_port;
use support::fleet;
use support::run;
use support::template;
use tokio::runtime::Runtime;

/// Captures the log of a daemon.
#[derive(Debug, Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("a lock").extend(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Lines {
    /// Returns whether an event about this subject was logged.
    fn has(&self, event: Event, about: &str) -> bool {
        let bytes = self.0.lock().expect("a lock").clone();
        let text = String::from_utf8(bytes).expect("text");
        let lines = text
            .lines()
            .filter_map(|l| serde_json::from_str::<Value>(l).ok());
        let mut lines = lines.filter(|l| l["event"] == event.number());
        lines.any(|l| l["about"].as_str().is_some_and(|a| a.contains(about)))
    }
}

/// A platform stand-in, an engine with its agent, and a router, on loopback.
struct Fleet {
    platform: TestPlatform,
    operators: [SocketAddr; 2],
    agent: agent::Running,
    log: Lines,
    router: router::Running,
    _engine: peppercrank_standin::ServerHandle,
    _stopper: stop::Stopper,
    _runtime: Runtime,
}

impl Fleet {
    fn new() -> Self {
        let platform = TestPlatform::new();
        let pool = concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/../../deploy/pardikivi/pool/galley-llm.jsonc"
        );
        platform.expect(Exit::Done, &format!("publish pool galley-llm {pool}"));
        platform.expect(Exit::Done, &format!("publish template t {}", template(1)));
        platform.expect(Exit::Done, "set-organisation o template=t");
        let runtime = Runtime::new().expect("a runtime");
        let (stopper, signal) = stop::stop();
        let log = Lines::default();
        let started = runtime.block_on(async {
            let engine = engine::start(EngineSettings::default())
                .await
                .expect("an engine");
            let target = json!({
                "name": "e-1", "pool": "galley-llm", "kind": "engine", "address": engine.addr
            });
            let target = serde_json::from_value(target).expect("a target");
            let settings = AgentSettings::new(fleet(&platform, "vm-1"), any_port(), target);
            let out = Log::to_writer(log.clone(), Level::Info, "vm-1");
            let agent = agent::start(settings, out, signal.clone()).await;
            let settings = RouterSettings::new(fleet(&platform, "entry-1"), any_port());
            let router = router::start(settings, Log::disabled(), signal).await;
            (engine, agent.expect("an agent"), router.expect("a router"))
        });
        let (engine, agent, router) = started;
        let vm = |name, address: SocketAddr, role| json!({ "name": name, "zone": "rae", "address": address, "role": role });
        let vms = [
            vm("vm-1", agent.agent.fleet.gossip_address(), "agent"),
            vm("entry-1", router.router.fleet.gossip_address(), "router"),
        ];
        let answer = ureq::put(format!("http://{}/vms", platform.address));
        answer.send_json(json!({ "vms": vms })).expect("an answer");
        Self {
            platform,
            operators: [agent.operators, router.operators],
            agent,
            log,
            router,
            _engine: engine,
            _stopper: stopper,
            _runtime: runtime,
        }
    }

    fn run(&self, line: &str, token: &str) -> RunResult {
        let addresses = self.operators.map(|a| a.to_string());
        let mut words = line.split(' ').collect::<Vec<_>>();
        words.extend(["--operators-token", token, "--output", "json"]);
        for address in &addresses {
            words.extend(["--daemon", address]);
        }
        run(&self.platform.environment, &words)
    }

    #[track_caller]
    fn expect(&self, exit: Exit, line: &str) -> RunResult {
        let result = self.run(line, TOKEN);
        assert_eq!(result.exit, exit, "{line}: {result:?}");
        result
    }
}

/// Waits until `seen` returns true; panics after a minute.
fn until(mut seen: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(60);
    while !seen() {
        assert!(Instant::now() < end, "not seen within a minute");
    }
}

/// Returns the status page of a daemon.
fn page(operators: SocketAddr) -> Value {
    let page = ureq::get(format!("http://{operators}/status"));
    let page = page.header("authorization", format!("Bearer {TOKEN}"));
    let mut answer = page.call().expect("a page");
    answer.body_mut().read_json().expect("JSON")
}

#[test]
fn verify_changes_are_in_force_and_drains_end_on_real_daemons() {
    let fleet = Fleet::new();
    let set = fleet.expect(
        Exit::Done,
        "set-organisation o weight=9 --wait --within 60s",
    );
    assert_eq!(set.json()["daemons"], 2);

    let status = fleet.expect(Exit::Done, "status").json();
    assert_eq!(status["agreed"], true, "{status}");
    assert_eq!(status["silent"], json!([]));
    assert_eq!(
        status["daemons"][0]["configuration"]["objects"], 3,
        "{status}"
    );
    let own = &status["targets"][0];
    assert_eq!(own["name"], "e-1");
    assert_eq!(own["load"]["running"], 0, "{status}");
    assert_eq!(own["drain"], json!(null));

    let marked = fleet.expect(
        Exit::Done,
        "mark e-1 --shutdown --drained --drained-within 60s",
    );
    assert_eq!(marked.json()["drained"], true);
    let status = fleet.expect(Exit::Done, "status").json();
    assert_eq!(status["targets"][0]["drain"]["drained"], true, "{status}");

    until(|| fleet.log.has(Event::TargetDrained, "e-1"));

    fleet.expect(Exit::Done, "unmark e-1 --wait --within 60s");
    let status = fleet.expect(Exit::Done, "status").json();
    assert_eq!(status["targets"][0]["drain"], json!(null), "{status}");
}

#[test]
fn verify_real_daemons_reject_a_wrong_token() {
    let fleet = Fleet::new();
    let result = fleet.run("status", "some-other-token-");
    assert_eq!(result.exit, Exit::Failure, "{result:?}");
    let silent = &result.json()["silent"];
    assert_eq!(silent[0]["why"], json!({ "refused": 401 }));
    assert_eq!(silent[1]["why"], json!({ "refused": 401 }));
}

#[test]
fn verify_unauthentic_message_is_logged() {
    let fleet = Fleet::new();
    let to = fleet.agent.agent.fleet.gossip_address();
    let socket = UdpSocket::bind(any_port()).expect("a socket");
    socket.send_to(&[7; 100], to).expect("a datagram");
    until(|| fleet.log.has(Event::ControlMessageRefused, " x 1"));
}

/// Sends a chat request through the router and returns status and body.
fn chat(router: SocketAddr, tokens: u32) -> (u16, String) {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build();
    let agent = ureq::Agent::new_with_config(config);
    let answer = agent
        .post(format!("http://{router}/v1/chat/completions"))
        .header("authorization", "Bearer a-key")
        .send_json(json!({
            "model": "galley-plan", "stream": true, "max_tokens": tokens,
            "messages": [{ "role": "user", "content": "hello" }],
        }));
    let mut answer = answer.expect("an answer");
    let text = answer.body_mut().read_to_string().expect("a whole answer");
    (answer.status().as_u16(), text)
}

#[test]
fn verify_drain_waits_for_running_requests_and_rejects_new_ones() {
    let fleet = Fleet::new();
    let digest = "2a8a1240f50636655520ac8ed22aa29473b8517b4abfdbc3bc03bcad73fc8849";
    fleet.expect(
        Exit::Done,
        &format!("set-organisation o keys={digest} --wait --within 60s"),
    );
    let router = fleet.router.address;
    let known = |status: Value| status["targets"].as_array().map(Vec::len) == Some(1);
    until(|| known(page(fleet.operators[1])));
    // An answer of two seconds, in the middle of which the target is marked.
    let stream = thread::spawn(move || chat(router, 100));
    until(|| {
        assert!(!stream.is_finished(), "it never ran");
        page(fleet.operators[0])["targets"][0]["load"]["running"] == 1
    });
    let marked = fleet.run("mark e-1 --shutdown --drained --drained-within 60s", TOKEN);
    let status = fleet.run("status", TOKEN);
    assert_eq!(marked.exit, Exit::Done, "{marked:?} {status:?}");
    let (status, text) = stream.join().expect("an answer");
    assert_eq!(status, 200, "{text}");
    assert_eq!(text.matches("\"content\"").count(), 100, "{text}");
    assert!(text.trim_end().ends_with("data: [DONE]"), "{text}");

    let (status, refused) = chat(router, 1);
    assert_eq!(status, 503, "{refused}");
    let refused: Value = serde_json::from_str(&refused).expect("JSON");
    assert_eq!(refused["error"]["run"], "not_run", "{refused}");
}
