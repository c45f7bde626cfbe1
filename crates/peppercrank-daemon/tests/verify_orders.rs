// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Orders over the control call, through the agent, to engines that check numbers and others.

mod bench;

use std::net::SocketAddr;
use std::time::Duration;

use bench::Bench;
use bench::client::poll_until;
use bench::client::send;
use bench::client::set_faults;
use bench::quick;
use peppercrank_standin::engine::EngineSettings;
use peppercrank_standin::service;
use peppercrank_standin::service::ServiceSettings;
use peppercrank_wire::control::ControlClient;
use peppercrank_wire::control::ControlClientConfig;
use peppercrank_wire::control::ControlError;
use peppercrank_wire::control::Order;
use peppercrank_wire::seal::Identity;
use peppercrank_wire::seal::Key;
use peppercrank_wire::seal::KeyRing;
use peppercrank_wire::seal::Rejected;
use peppercrank_wire::seal::SenderId;
use serde_json::Value;
use serde_json::json;
use tokio::runtime::Runtime;

const OBEYED: &str = r#"{"Passed":"Obeyed"}"#;

/// Who gives orders; agents take them from any holder of the keys.
struct Giver {
    client: ControlClient,
    runtime: Runtime,
}

impl Giver {
    fn new(sender: u64, secret: &str) -> Self {
        let key = Key::from_hex(1, secret).expect("a key");
        let ring = KeyRing::new(vec![key]).expect("a ring");
        let sender = SenderId(sender);
        let times = ControlClientConfig {
            // An agent that starts holds orders for an engine that ignores numbers for a while.
            call: Duration::from_secs(60),
            ..ControlClientConfig::default()
        };
        Self {
            client: ControlClient::new(Identity { sender, boot: 1 }, ring, times),
            runtime: Runtime::new().expect("a runtime"),
        }
    }

    fn give(&self, to: SocketAddr, fence: u64, id: u128) -> Result<String, ControlError> {
        let order = json!({"load_adapter": format!("order-{id}")}).to_string();
        let order = Order {
            fence,
            id,
            seq: 1,
            order,
        };
        self.runtime.block_on(self.client.send_order(to, order))
    }
}

fn giver() -> Giver {
    Giver::new(7, "00112233445566778899aabbccddeeff")
}

/// An engine and its agent that both check fencing numbers, or neither.
fn bench(checks: bool) -> Bench {
    let mut bench = Bench::empty();
    let engine = EngineSettings {
        check_fence: checks,
        ..quick()
    };
    bench.add_engine(engine, &json!({"target": {"checks_orders": checks}}));
    bench
}

fn agent_of(bench: &Bench) -> SocketAddr {
    let agent = bench.targets[0].agent.as_ref().expect("an agent");
    agent.running.agent.fleet.control_address()
}

/// The fencing numbers of the orders that the engine saw and obeyed, in turn.
fn obeyed(bench: &Bench) -> Vec<u64> {
    let seen = send(bench.targets[0].at, "GET /orders", &[], "").expect("an answer");
    let orders = seen.json()["obeyed"].clone();
    let fences = orders.as_array().expect("a list").iter();
    fences.filter_map(|o| o["fence"].as_u64()).collect()
}

fn lease(beat: u64) -> Value {
    json!({
        "holder": "operator-1", "session": 9, "beat": beat, "duration_ms": 15_000,
        "released": false,
    })
}

/// Writes the pool's lease and returns its version, the fencing number.
fn write_lease(bench: &Bench, condition: (&str, &str), beat: u64) -> u64 {
    let call = "PUT /objects/lease/galley";
    let body = lease(beat).to_string();
    let written = send(bench.platform.addr, call, &[condition], &body).expect("an answer");
    assert_eq!(written.status, 200, "{}", written.text);
    written.json()["version"].as_u64().expect("a version")
}

#[test]
fn verify_older_numbers_never_reach_the_engine() {
    for checks in [true, false] {
        let bench = bench(checks);
        let (giver, to) = (giver(), agent_of(&bench));
        assert_eq!(
            giver.give(to, 5, 1).as_deref(),
            Ok(OBEYED),
            "checks {checks}"
        );
        let stale = r#"{"Stale":{"least":5}}"#;
        assert_eq!(
            giver.give(to, 4, 2).as_deref(),
            Ok(stale),
            "checks {checks}"
        );
        // Another order of the same place is no newer either.
        assert_eq!(
            giver.give(to, 5, 3).as_deref(),
            Ok(stale),
            "checks {checks}"
        );
        assert_eq!(
            giver.give(to, 6, 4).as_deref(),
            Ok(OBEYED),
            "checks {checks}"
        );
        assert_eq!(obeyed(&bench), [5, 6], "checks {checks}");
    }
}

#[test]
fn verify_duplicates_are_passed_once() {
    let bench = bench(true);
    let (giver, to) = (giver(), agent_of(&bench));
    for _ in 0..3 {
        assert_eq!(giver.give(to, 5, 1).as_deref(), Ok(OBEYED));
    }
    // Two at once: both are told of the one that was passed.
    set_faults(
        bench.targets[0].at,
        &json!({"only": "orders", "delay_ms": 300}),
    );
    let both = std::thread::scope(|scope| {
        let twice = [8, 9].map(|sender| {
            scope.spawn(move || {
                Giver::new(sender, "00112233445566778899aabbccddeeff").give(to, 6, 2)
            })
        });
        twice.map(|one| one.join().expect("an answer"))
    });
    assert_eq!(both.map(|told| told.expect("told")), [OBEYED, OBEYED]);
    assert_eq!(obeyed(&bench), [5, 6]);
}

#[test]
fn verify_lost_answer_is_unknown_and_not_passed_again() {
    let bench = bench(true);
    let (giver, to) = (giver(), agent_of(&bench));
    set_faults(
        bench.targets[0].at,
        &json!({"only": "orders", "drop_after": true}),
    );
    for _ in 0..2 {
        assert_eq!(
            giver.give(to, 5, 1).as_deref(),
            Ok(r#"{"Passed":"Unknown"}"#)
        );
    }
    assert_eq!(obeyed(&bench), [5]);
}

#[test]
fn verify_restarted_agent_wants_newer_than_the_lease() {
    let mut bench = bench(true);
    let giver = giver();
    let fence = write_lease(&bench, ("if-none-match", "*"), 1);
    assert_eq!(
        giver.give(agent_of(&bench), fence + 1, 1).as_deref(),
        Ok(OBEYED)
    );
    let version = fence.to_string();
    let renewed = write_lease(&bench, ("if-match", &version), 2);
    bench.targets[0].kill_agent();
    bench.start_agent(0);
    let to = agent_of(&bench);
    let least = renewed + 1;
    let stale = format!(r#"{{"Stale":{{"least":{least}}}}}"#);
    for (id, old) in [(2, fence), (3, renewed)] {
        assert_eq!(giver.give(to, old, id).as_deref(), Ok(stale.as_str()));
    }
    let passed = giver.give(to, least, 4);
    assert_eq!(passed.as_deref(), Ok(OBEYED));
    assert_eq!(obeyed(&bench), [fence + 1, least]);
}

#[test]
fn verify_nothing_passes_while_the_lease_is_unread() {
    let mut bench = bench(true);
    bench.targets[0].kill_agent();
    set_faults(bench.platform.addr, &json!({"outage": true}));
    bench.start_agent(0);
    let (giver, to) = (giver(), agent_of(&bench));
    assert_eq!(giver.give(to, 5, 1).as_deref(), Ok(r#""Unread""#));
    assert!(obeyed(&bench).is_empty());
    set_faults(bench.platform.addr, &json!({}));
    // The same order again: it is judged by the lease that can be read now.
    let again = poll_until(&OBEYED.to_owned(), || giver.give(to, 5, 1).expect("told"));
    assert_eq!(again, OBEYED);
    assert_eq!(obeyed(&bench), [5]);
}

#[test]
fn verify_strangers_give_no_orders() {
    let bench = bench(true);
    let to = agent_of(&bench);
    let stranger = Giver::new(7, "ffffffffffffffffffffffffffffffff");
    let refused = ControlError::Refused(Rejected::Forged);
    assert_eq!(stranger.give(to, 5, 1), Err(refused));
    assert!(obeyed(&bench).is_empty());
    assert_eq!(
        giver().give(to, 4, 2).as_deref(),
        Ok(OBEYED),
        "nothing is known of 5"
    );
}

#[test]
fn verify_plain_services_take_no_orders() {
    let mut bench = Bench::empty();
    let runtime = Runtime::new().expect("a runtime");
    let running = runtime.block_on(service::start(ServiceSettings::default()));
    bench.add_target(
        running.expect("a service"),
        "service",
        bench::SERVICES,
        &json!({}),
    );
    let told = giver().give(agent_of(&bench), 5, 1);
    assert_eq!(told.as_deref(), Ok(r#""no_target""#));
}
