// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The order gate: old numbers, duplicates, restarts, orders in flight, both kinds of engine.

use peppercrank_core::names::VmName;
use peppercrank_core::time::Instant;
use peppercrank_lease::gate::Action;
use peppercrank_lease::gate::Command;
use peppercrank_lease::gate::Engine;
use peppercrank_lease::gate::Gate;
use peppercrank_lease::gate::Input;
use peppercrank_lease::gate::Order;
use peppercrank_lease::gate::OrderId;
use peppercrank_lease::gate::Outcome;
use peppercrank_lease::gate::Policy;
use peppercrank_lease::gate::Reply;
use peppercrank_lease::lease::Lease;
use peppercrank_lease::lease::Session;
use peppercrank_lease::store::Answer;
use peppercrank_lease::store::CallId;
use peppercrank_lease::store::Version;

/// After the time to settle.
const CALM: Instant = Instant::from_millis(20_000);

fn order(id: u128, fence: u64, seq: u64) -> Order {
    Order {
        id: OrderId(id),
        fence: Version(fence),
        seq,
        command: Command::SetRole("prefill".to_owned()),
    }
}

fn lease(version: u64) -> Answer<Lease> {
    Answer::Found {
        version: Version(version),
        body: Lease {
            holder: VmName::new("vm-a").expect("a name"),
            session: Session(1),
            beat: 1,
            duration_ms: 15_000,
            released: false,
        },
    }
}

/// A gate that has started at zero and read the lease at `version`.
fn gate(engine: Engine, version: u64) -> Gate {
    let policy = Policy {
        engine,
        ..Policy::default()
    };
    let mut gate = Gate::new(policy, Instant::ZERO);
    let call = CallId(1);
    assert_eq!(gate.on(Instant::ZERO, Input::Tick), [Action::Read { call }]);
    let answer = lease(version);
    assert!(
        gate.on(Instant::ZERO, Input::Lease { call, answer })
            .is_empty()
    );
    gate
}

fn tell(id: u128, outcome: Outcome) -> Action {
    let id = OrderId(id);
    Action::Tell { id, outcome }
}

fn stale(least: u64) -> Outcome {
    Outcome::Stale {
        least: Version(least),
    }
}

fn reply(id: u128, reply: Reply) -> Input {
    let id = OrderId(id);
    Input::Engine { id, reply }
}

#[test]
fn verify_what_is_passed_after_an_order_at_ten() {
    // The next order's number and place, and whether it passes.
    let cases = [
        (9, 9, false),
        (10, 4, false),
        (10, 5, false),
        (10, 6, true),
        (11, 1, true),
    ];
    for engine in [Engine::Ignores, Engine::Checks] {
        for (fence, seq, passes) in cases {
            let mut gate = gate(engine, 3);
            gate.on(CALM, Input::Order(order(1, 10, 5)));
            gate.on(CALM, reply(1, Reply::Obeyed));
            let next = order(2, fence, seq);
            let out = gate.on(CALM, Input::Order(next.clone()));
            let expected = if passes {
                Action::Pass(next)
            } else {
                tell(2, stale(10))
            };
            assert_eq!(out, [expected], "{engine:?} {fence} {seq}");
        }
    }
}

#[test]
fn verify_a_restarted_gate_obeys_only_what_is_newer_than_the_lease_it_read() {
    for (fence, passes) in [(6, false), (7, false), (8, true)] {
        let mut gate = gate(Engine::Ignores, 7);
        let out = gate.on(CALM, Input::Order(order(1, fence, 1)));
        let expected = if passes {
            Action::Pass(order(1, fence, 1))
        } else {
            tell(1, stale(8))
        };
        assert_eq!(out, [expected], "{fence}");
    }
}

#[test]
fn verify_an_unread_lease_refuses_at_once_and_is_read_anew() {
    let mut gate = Gate::new(Policy::default(), Instant::ZERO);
    let out = gate.on(CALM, Input::Order(order(1, 9, 1)));
    let call = CallId(1);
    assert_eq!(out, [Action::Read { call }]);
    let answer = Answer::Failed { after: None };
    let out = gate.on(CALM, Input::Lease { call, answer });
    assert_eq!(out, [tell(1, Outcome::Unread)]);
    let call = CallId(2);
    assert_eq!(
        gate.on(CALM, Input::Order(order(1, 9, 1))),
        [Action::Read { call }]
    );
    // Silence counts as failure too, and a late answer is ignored.
    let late = CALM + Policy::default().read;
    assert_eq!(gate.on(late, Input::Tick), [tell(1, Outcome::Unread)]);
    let answer = lease(3);
    assert!(gate.on(late, Input::Lease { call, answer }).is_empty());
}

#[test]
fn verify_an_order_in_flight_and_a_newer_number() {
    // An engine that ignores numbers gets the newer order only after the older one's answer.
    let mut ignores = gate(Engine::Ignores, 3);
    assert_eq!(
        ignores.on(CALM, Input::Order(order(1, 10, 1))),
        [Action::Pass(order(1, 10, 1))]
    );
    assert!(ignores.on(CALM, Input::Order(order(2, 10, 2))).is_empty());
    // What waits under the older number is refused, it was not passed.
    assert_eq!(
        ignores.on(CALM, Input::Order(order(3, 20, 1))),
        [tell(2, stale(20))]
    );
    let out = ignores.on(CALM, reply(1, Reply::Obeyed));
    let passed = tell(1, Outcome::Passed(Reply::Obeyed));
    assert_eq!(out, [passed, Action::Pass(order(3, 20, 1))]);
    // One that checks them gets it at once.
    let mut checks = gate(Engine::Checks, 3);
    checks.on(CALM, Input::Order(order(1, 10, 1)));
    assert_eq!(
        checks.on(CALM, Input::Order(order(3, 20, 1))),
        [Action::Pass(order(3, 20, 1))]
    );
}

#[test]
fn verify_a_lost_answer_of_the_engine_is_waited_out() {
    for (engine, waits) in [(Engine::Ignores, true), (Engine::Checks, false)] {
        let mut gate = gate(engine, 3);
        gate.on(CALM, Input::Order(order(1, 10, 1)));
        let told = gate.on(CALM, reply(1, Reply::Unknown));
        assert_eq!(told, [tell(1, Outcome::Passed(Reply::Unknown))]);
        let out = gate.on(CALM, Input::Order(order(2, 11, 1)));
        assert_eq!(out.is_empty(), waits, "{engine:?}");
        let settled = CALM + Policy::default().settle;
        let out = gate.on(settled, Input::Tick);
        assert_eq!(!out.is_empty(), waits, "{engine:?}");
    }
}

#[test]
fn verify_a_fresh_agent_waits_out_what_its_earlier_life_passed() {
    for (engine, waits) in [(Engine::Ignores, true), (Engine::Checks, false)] {
        let mut gate = gate(engine, 3);
        let out = gate.on(Instant::ZERO, Input::Order(order(1, 10, 1)));
        assert_eq!(out.is_empty(), waits, "{engine:?}");
    }
}

#[test]
fn verify_a_duplicate_order_is_passed_once_and_told_the_same() {
    let mut gate = gate(Engine::Ignores, 3);
    gate.on(CALM, Input::Order(order(1, 10, 1)));
    assert!(gate.on(CALM, Input::Order(order(1, 10, 1))).is_empty());
    gate.on(CALM, reply(1, Reply::Refused));
    // Sent again under a renewed lease: the id decides.
    let out = gate.on(CALM, Input::Order(order(1, 12, 7)));
    assert_eq!(out, [tell(1, Outcome::Passed(Reply::Refused))]);
    assert!(
        gate.on(CALM, reply(1, Reply::Obeyed)).is_empty(),
        "a crossed answer"
    );
}

#[test]
fn verify_the_queue_and_the_memory_are_bounded() {
    let mut gate = gate(Engine::Ignores, 3);
    for n in 0..17 {
        gate.on(CALM, Input::Order(order(u128::from(n), 10, n + 1)));
    }
    let out = gate.on(CALM, Input::Order(order(99, 10, 99)));
    assert_eq!(out, [tell(99, Outcome::Busy)]);
    for n in 0..100 {
        let id = u128::from(n);
        gate.on(CALM, Input::Order(order(1_000 + id, 11 + n, 1)));
        gate.on(CALM, reply(id, Reply::Obeyed));
        gate.on(CALM, reply(1_000 + id, Reply::Obeyed));
    }
    // Forgotten, it is refused by its number.
    let out = gate.on(CALM, Input::Order(order(1_000, 11, 1)));
    assert_eq!(out, [tell(1_000, stale(110))]);
}

#[test]
fn verify_an_order_in_json_is_the_engines() {
    let text = serde_json::to_value(order(1, 2, 3).command).expect("encodes");
    assert_eq!(text, serde_json::json!({"set_role": "prefill"}));
}
