// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Orders sent by the command through real agents to engine stand-ins.

mod support;

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant as StdInstant;

use peppercrank_cli::Exit;
use peppercrank_cli::fate::OrderOutcome;
use peppercrank_cli::holder::Holder;
use peppercrank_core::names::PoolName;
use peppercrank_core::names::VmName;
use peppercrank_core::time::Instant;
use peppercrank_daemon::agent;
use peppercrank_daemon::log::Log;
use peppercrank_lease::lease::Session;
use peppercrank_settings::AgentSettings;
use peppercrank_standin::engine;
use peppercrank_standin::engine::EngineSettings;
use peppercrank_wire::control::ControlError;
use peppercrank_wire::platform::Access;
use peppercrank_wire::platform::Platform;
use peppercrank_wire::stop;
use serde_json::Value;
use serde_json::json;
use support::RunResult;
use support::TOKEN;
use support::TestPlatform;
use support::any_port;
use support::file;
use support::fleet;
use support::run;
use tokio::runtime::Runtime;

/// A platform stand-in and engines that check fencing numbers, each with its agent.
struct Fleet {
    platform: TestPlatform,
    engines: Vec<peppercrank_standin::ServerHandle>,
    agents: Vec<agent::Running>,
    keys: String,
    _stopper: stop::Stopper,
    _runtime: Runtime,
}

impl Fleet {
    fn new() -> Self {
        let platform = TestPlatform::new();
        Self::on(platform)
    }

    fn on(platform: TestPlatform) -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let (stopper, signal) = stop::stop();
        let (mut engines, mut agents) = (Vec::new(), Vec::new());
        for name in ["e-1", "e-2"] {
            let set = EngineSettings {
                check_fence: true,
                ..EngineSettings::default()
            };
            let engine = runtime.block_on(engine::start(set)).expect("an engine");
            let target = json!({
                "name": name, "pool": "galley-llm", "kind": "engine", "address": engine.addr,
                "checks_orders": true,
            });
            let target = serde_json::from_value(target).expect("a target");
            let settings = AgentSettings::new(fleet(&platform, name), any_port(), target);
            let agent = agent::start(settings, Log::disabled(), signal.clone());
            agents.push(runtime.block_on(agent).expect("an agent"));
            engines.push(engine);
        }
        let own = std::thread::current().id();
        let keys = file(
            &format!("keys-{own:?}.jsonc"),
            &format!(
                "// The fleet's.\n[{{ \"id\": 1, \"secret\": \"{}\" }}]",
                "0f".repeat(16)
            ),
        );
        Self {
            platform,
            engines,
            agents,
            keys,
            _stopper: stopper,
            _runtime: runtime,
        }
    }

    /// Runs `order` with these arguments and this key file.
    fn order_by(&self, keys: &str, line: &str) -> RunResult {
        let daemons = self.agents.iter().map(|a| a.operators.to_string());
        let daemons = daemons.collect::<Vec<_>>();
        let mut words = vec!["order"];
        words.extend(line.split(' '));
        words.extend([
            "--keys",
            keys,
            "--operators-token",
            TOKEN,
            "--output",
            "json",
        ]);
        for at in &daemons {
            words.extend(["--daemon", at]);
        }
        run(&self.platform.environment, &words)
    }

    #[track_caller]
    fn order(&self, exit: Exit, line: &str) -> RunResult {
        let result = self.order_by(&self.keys, line);
        assert_eq!(result.exit, exit, "{line}: {result:?}");
        result
    }

    /// Returns the orders that an engine carried out, in order.
    fn obeyed(&self, engine: usize) -> Vec<Value> {
        let at = self.engines[engine].addr;
        let page = ureq::get(format!("http://{at}/orders")).call();
        let page: Value = page.expect("a page").body_mut().read_json().expect("JSON");
        page["obeyed"].as_array().expect("a list").clone()
    }

    fn engine_faults(&self, json: &str) {
        for engine in &self.engines {
            let answer = ureq::put(format!("http://{}/faults", engine.addr)).send(json);
            assert!(answer.expect("an answer").status().is_success(), "{json}");
        }
    }

    /// Returns the pool's lease as stored on the platform.
    fn lease(&self) -> Value {
        let at = self.platform.address;
        let page = ureq::get(format!("http://{at}/objects/lease/galley-llm")).call();
        page.expect("a lease").body_mut().read_json().expect("JSON")
    }
}

fn outcomes(result: &RunResult) -> Vec<String> {
    let told = result.json();
    let targets = told["targets"].as_array().expect("targets").clone();
    let words = targets.iter().filter_map(|t| t["outcome"].as_str());
    words.map(str::to_owned).collect()
}

#[test]
fn verify_pool_obeys_and_lease_is_released() {
    let fleet = Fleet::new();
    let first = fleet.order(Exit::Done, "galley-llm --load-model galley-plan");
    assert_eq!(outcomes(&first), ["obeyed", "obeyed"]);
    let fence = first.json()["fence"].as_u64().expect("a number");
    let order = json!({ "fence": fence, "order": { "load_model": "galley-plan" } });
    for engine in [0, 1] {
        assert_eq!(fleet.obeyed(engine), std::slice::from_ref(&order));
    }
    assert_eq!(first.json()["given_back"], true);
    assert_eq!(fleet.lease()["body"]["released"], true);
    // The next run acquires the lease at once, with a higher fencing number.
    let second = fleet.order(Exit::Done, "e-2 --set-role prefill");
    assert_eq!(outcomes(&second), ["obeyed"]);
    assert!(second.json()["fence"].as_u64() > Some(fence));
    assert_eq!((fleet.obeyed(0).len(), fleet.obeyed(1).len()), (1, 2));
}

#[test]
fn verify_repeated_order_id_is_forwarded_once() {
    let fleet = Fleet::new();
    fleet.engine_faults(r#"{"only": "orders", "times": 1, "drop_after": true}"#);
    let first = fleet.order(Exit::Unknown, "galley-llm --load-adapter a");
    assert_eq!(outcomes(&first), ["unknown", "unknown"]);
    let id = first.json()["order"].as_str().expect("an id").to_owned();
    let again = format!("galley-llm --load-adapter a --order-id {id}");
    assert_eq!(
        outcomes(&fleet.order(Exit::Unknown, &again)),
        ["unknown", "unknown"]
    );
    assert_eq!((fleet.obeyed(0).len(), fleet.obeyed(1).len()), (1, 1));
}

#[test]
fn verify_engine_refusal_is_reported() {
    let fleet = Fleet::new();
    let at = fleet.engines[0].addr;
    let newer = json!({ "fence": 1_000_000, "order": { "set_role": "decode" } });
    let posted = ureq::post(format!("http://{at}/orders")).send_json(newer);
    assert_eq!(posted.expect("an answer").status(), 200);
    let result = fleet.order(Exit::Failure, "galley-llm --set-role prefill");
    assert_eq!(outcomes(&result), ["refused", "obeyed"]);
}

#[test]
fn verify_orders_sealed_with_other_keys_are_rejected() {
    let fleet = Fleet::new();
    let keys = file(
        "other-keys.jsonc",
        &format!("[{{ \"id\": 1, \"secret\": \"{}\" }}]", "f0".repeat(16)),
    );
    let result = fleet.order_by(&keys, "galley-llm --set-role prefill");
    assert_eq!(result.exit, Exit::Failure, "{result:?}");
    assert_eq!(outcomes(&result), ["unauthentic", "unauthentic"]);
    assert!(fleet.obeyed(0).is_empty() && fleet.obeyed(1).is_empty());
}

#[test]
fn verify_nothing_is_ordered_without_the_lease() {
    let fleet = Fleet::new();
    let line = "galley-llm --set-role prefill --within 1s";
    fleet.platform.faults(r#"{"outage": true}"#);
    let away = fleet.order(Exit::Unavailable, line);
    assert_eq!(away.error()["error"], "unavailable");
    fleet.platform.faults("{}");
    let lease = json!({
        "holder": "operator-1", "session": 1, "beat": 1, "duration_ms": 15_000, "released": false,
    });
    let at = format!("http://{}/objects/lease/galley-llm", fleet.platform.address);
    let put = ureq::put(at).header("if-none-match", "*").send_json(&lease);
    assert_eq!(put.expect("an answer").status(), 200);
    let held = fleet.order(Exit::Conflict, line);
    let message = held.error()["message"].as_str().expect("a text").to_owned();
    assert!(message.contains("operator-1"), "{message}");
    assert_eq!(fleet.lease()["body"], lease, "nothing was overwritten");
    assert!(fleet.obeyed(0).is_empty() && fleet.obeyed(1).is_empty());
}

#[test]
fn verify_an_agent_that_reads_the_lease_late_gets_a_renewed_number() {
    let platform = TestPlatform::new();
    platform.faults(r#"{"only": "get", "outage": true}"#);
    let fleet = Fleet::on(platform);
    let tries = || fleet.platform.calls()["calls"]["get"].as_u64().unwrap_or(0);
    let end = StdInstant::now() + Duration::from_secs(60);
    // Both agents failed to read the lease at startup and read it again with the order.
    while tries() < 2 {
        assert!(StdInstant::now() < end, "{}", fleet.platform.calls());
    }
    fleet.platform.faults("{}");
    let result = fleet.order(Exit::Done, "galley-llm --set-role prefill");
    assert_eq!(outcomes(&result), ["obeyed", "obeyed"]);
    let first = result.json()["fence"].as_u64();
    for engine in [0, 1] {
        let obeyed = fleet.obeyed(engine);
        assert_eq!(obeyed.len(), 1, "{obeyed:?}");
        assert!(obeyed[0]["fence"].as_u64() > first, "{obeyed:?} {first:?}");
    }
}

#[test]
fn verify_misuse_and_unknown_names() {
    let fleet = Fleet::new();
    for (line, exit) in [
        ("galley-llm", Exit::Usage),
        ("galley-llm --set-role a --load-adapter b", Exit::Usage),
        ("galley-llm --set-role a --order-id 12", Exit::Usage),
        ("nowhere --set-role a", Exit::NotFound),
    ] {
        fleet.order(exit, line);
    }
    let result = fleet.order_by("no-such-file", "galley-llm --set-role a");
    assert_eq!(result.exit, Exit::Failure, "{result:?}");
    assert!(fleet.obeyed(0).is_empty() && fleet.obeyed(1).is_empty());
}

/// Returns a lease holder with a clock that the test controls.
fn holder<'a>(
    platform: &TestPlatform,
    session: u64,
    clock: &'a Cell<u64>,
) -> Holder<impl Fn() -> Instant + use<'a>> {
    let platform = Platform::new(&Access::new(platform.address));
    let pool = PoolName::new("galley-llm").expect("a name");
    let vm = VmName::new(&format!("operator-{session}")).expect("a name");
    let now = || Instant::from_millis(clock.get());
    Holder::new(platform, pool, vm, Session(session), now).expect("a policy that holds")
}

#[test]
fn verify_a_holder_paused_past_its_lease_does_not_act() {
    let platform = TestPlatform::new();
    let (clock, other_clock) = (Cell::new(0), Cell::new(0));
    let mut holder = holder(&platform, 1, &clock);
    // The clocks only advance when the test moves them, so nothing may block.
    let end = Instant::ZERO;
    let first = holder.acquire(end).expect("the lease");
    clock.set(13_999);
    assert_eq!(
        holder.fence(),
        Some(first),
        "held for 15 s less a margin of 1 s"
    );
    clock.set(14_000);
    assert_eq!(
        holder.fence(),
        None,
        "not a moment longer, whatever was not yet noticed"
    );
    // Another holder takes over by its own clock, 16 s after it saw the lease.
    let mut other = self::holder(&platform, 2, &other_clock);
    assert_eq!(other.acquire(end), None);
    assert_eq!(other.other_holder().map(VmName::as_str), Some("operator-1"));
    let mut second = None;
    while second.is_none() && other_clock.get() < 30_000 {
        other_clock.set(other_clock.get() + 5_000);
        other.renew();
        second = other.fence();
    }
    assert_eq!(other_clock.get(), 20_000, "at the first look after 16 s");
    assert!(second > Some(first));
    // The first holder resumes: a renewal does not bring the lease back, and releasing does not
    // affect the new holder.
    holder.renew();
    assert_eq!(holder.fence(), None);
    assert!(holder.release(end));
    assert_eq!(other.fence(), second, "the other holds on");
    assert!(other.release(end));
}

#[test]
fn verify_order_outcomes_and_exit_codes() {
    let told = |text: &str| OrderOutcome::from_reply(Ok(text.to_owned()));
    let cases = [
        (told(r#"{"Passed":"Obeyed"}"#), OrderOutcome::Obeyed, 0),
        (told(r#"{"Passed":"Refused"}"#), OrderOutcome::Refused, 1),
        (told(r#"{"Passed":"Unknown"}"#), OrderOutcome::Unknown, 8),
        (
            told(r#"{"Stale":{"least":7}}"#),
            OrderOutcome::Stale { least: 7 },
            3,
        ),
        (told(r#""Unread""#), OrderOutcome::Unread, 1),
        (told(r#""Busy""#), OrderOutcome::Busy, 1),
        (told(r#""no_target""#), OrderOutcome::NoEngine, 1),
        (told(r#""malformed""#), OrderOutcome::Malformed, 1),
        // An unknown reply of a newer agent may mean anything.
        (told(r#""Deferred""#), OrderOutcome::Unknown, 8),
        (
            OrderOutcome::from_reply(Err(ControlError::Timeout)),
            OrderOutcome::Unknown,
            8,
        ),
        (
            OrderOutcome::from_reply(Err(ControlError::Closed)),
            OrderOutcome::Unknown,
            8,
        ),
        (
            OrderOutcome::from_reply(Err(ControlError::Busy)),
            OrderOutcome::Busy,
            1,
        ),
    ];
    for (seen, fate, code) in cases {
        assert_eq!((seen, seen.exit().code()), (fate, code));
    }
    let worst = |fates: &[OrderOutcome]| OrderOutcome::worst_exit(fates.iter().copied());
    assert_eq!(
        worst(&[OrderOutcome::Obeyed, OrderOutcome::Obeyed]),
        Exit::Done
    );
    assert_eq!(
        worst(&[OrderOutcome::Obeyed, OrderOutcome::Busy]),
        Exit::Failure
    );
    assert_eq!(
        worst(&[OrderOutcome::Lapsed, OrderOutcome::Busy]),
        Exit::Conflict
    );
    assert_eq!(
        worst(&[
            OrderOutcome::Lapsed,
            OrderOutcome::Unknown,
            OrderOutcome::Obeyed
        ]),
        Exit::Unknown
    );
}
