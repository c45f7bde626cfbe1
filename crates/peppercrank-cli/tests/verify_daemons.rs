// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The command against real daemons: a change in force everywhere, a drain, a status.

mod support;

use std::net::SocketAddr;

use peppercrank_cli::Exit;
use peppercrank_daemon::agent;
use peppercrank_daemon::log::Log;
use peppercrank_daemon::router;
use peppercrank_settings::AgentSettings;
use peppercrank_settings::FleetSettings;
use peppercrank_settings::RouterSettings;
use peppercrank_standin::engine;
use peppercrank_standin::engine::EngineSettings;
use peppercrank_wire::stop;
use serde_json::json;
use support::Bench;
use support::Ended;
use support::run;
use support::template;
use tokio::runtime::Runtime;

const TOKEN: &str = "an-operators-token";

/// A platform, an engine with its agent, and a router, on loopback.
struct Fleet {
    bench: Bench,
    operators: [SocketAddr; 2],
    _agent: agent::Running,
    _router: router::Running,
    _engine: peppercrank_standin::Running,
    _stopper: stop::Stopper,
    _runtime: Runtime,
}

impl Fleet {
    fn new() -> Self {
        let bench = Bench::new();
        let pool = concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/../../deploy/pardikivi/pool/galley-llm.jsonc"
        );
        bench.expect(Exit::Done, &format!("publish pool galley-llm {pool}"));
        bench.expect(Exit::Done, &format!("publish template t {}", template(1)));
        bench.expect(Exit::Done, "set-organisation o template=t");
        let runtime = Runtime::new().expect("a runtime");
        let (stopper, signal) = stop::stop();
        let started = runtime.block_on(async {
            let engine = engine::start(EngineSettings::default())
                .await
                .expect("an engine");
            let target = json!({
                "name": "e-1", "pool": "galley-llm", "kind": "engine", "address": engine.addr
            });
            let target = serde_json::from_value(target).expect("a target");
            let settings = AgentSettings::new(fleet(&bench, "vm-1"), any(), target);
            let agent = agent::start(settings, Log::none(), signal.clone()).await;
            let settings = RouterSettings::new(fleet(&bench, "entry-1"), any());
            let router = router::start(settings, Log::none(), signal).await;
            (engine, agent.expect("an agent"), router.expect("a router"))
        });
        let (engine, agent, router) = started;
        Self {
            bench,
            operators: [agent.operators, router.operators],
            _agent: agent,
            _router: router,
            _engine: engine,
            _stopper: stopper,
            _runtime: runtime,
        }
    }

    fn run(&self, line: &str, token: &str) -> Ended {
        let addresses = self.operators.map(|a| a.to_string());
        let mut words = line.split(' ').collect::<Vec<_>>();
        words.extend(["--operators-token", token, "--output", "json"]);
        for address in &addresses {
            words.extend(["--daemon", address]);
        }
        run(&self.bench.environment, &words)
    }

    #[track_caller]
    fn expect(&self, exit: Exit, line: &str) -> Ended {
        let ended = self.run(line, TOKEN);
        assert_eq!(ended.exit, exit, "{line}: {ended:?}");
        ended
    }
}

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn fleet(bench: &Bench, vm: &str) -> FleetSettings {
    let settings = json!({
        "vm": vm, "zone": "rae", "gossip": any(), "control": any(), "operators": any(),
        "platform": { "url": format!("http://{}", bench.address) },
        "keys": [{ "id": 1, "secret": "0f".repeat(16) }],
        "tokens": [TOKEN],
    });
    serde_json::from_value(settings).expect("settings")
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

    fleet.expect(Exit::Done, "unmark e-1 --wait --within 60s");
    let status = fleet.expect(Exit::Done, "status").json();
    assert_eq!(status["targets"][0]["drain"], json!(null), "{status}");
}

#[test]
fn verify_real_daemons_refuse_another_token() {
    let fleet = Fleet::new();
    let ended = fleet.run("status", "some-other-token-");
    assert_eq!(ended.exit, Exit::Failure, "{ended:?}");
    let silent = &ended.json()["silent"];
    assert_eq!(silent[0]["why"], json!({ "refused": 401 }));
    assert_eq!(silent[1]["why"], json!({ "refused": 401 }));
}
