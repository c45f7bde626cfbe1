// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Whole path: whom an agent believes, what it runs once, and when it takes nothing.

mod bench;

use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use bench::ACME;
use bench::Bench;
use bench::CHAT;
use bench::client::Received;
use bench::client::chat;
use bench::client::poll_until;
use bench::client::running;
use bench::client::send;
use bench::client::set_faults;
use bench::long;
use bench::quick;
use http::HeaderMap;
use http::Method;
use http::Uri;
use peppercrank_core::refusal::NotRun;
use peppercrank_daemon::fleet::Fleet;
use peppercrank_standin::engine::EngineSettings;
use peppercrank_wire::seal::Key;
use peppercrank_wire::seal::KeyRing;
use peppercrank_wire::seal::sign_head;
use serde_json::json;

const SECRET: &str = "00112233445566778899aabbccddeeff";

/// A slow engine: a quarter of a second a token.
fn slow() -> EngineSettings {
    EngineSettings {
        step_us: 250_000,
        load_lag_ms: 0,
        ..quick()
    }
}

fn ring(secrets: &[&str], signer: u32) -> KeyRing {
    let keys = (1..).zip(secrets).map(|(id, s)| Key::from_hex(id, s));
    let ring = KeyRing::new(keys.map(|k| k.expect("a key")).collect()).expect("a ring");
    ring.signing_with(signer).expect("a key of the ring")
}

fn agent_at(bench: &Bench) -> SocketAddr {
    let agent = bench.targets[0].agent.as_ref().expect("an agent");
    agent.running.address
}

fn agent_fleet(bench: &Bench) -> &Fleet {
    let agent = bench.targets[0].agent.as_ref().expect("an agent");
    &agent.running.agent.fleet
}

/// The headers of an attempt with an id, signed with a ring.
fn signed(bench: &Bench, id: u128, ring: &KeyRing) -> Vec<(String, String)> {
    let fields = [
        ("attempt", format!("{id:032x}")),
        ("request", format!("{:032x}", id + 1)),
        ("organisation", "acme".to_owned()),
        ("pool", "galley".to_owned()),
        ("cost", "10".to_owned()),
        ("priority", "5".to_owned()),
        ("deadline-ms", "30000".to_owned()),
        ("repeatable", "no".to_owned()),
    ];
    let mut headers = HeaderMap::new();
    for (name, value) in &fields {
        let name = format!("x-peppercrank-{name}");
        let name = http::HeaderName::try_from(name).expect("a name");
        headers.insert(name, value.parse().expect("a value"));
    }
    let path = Uri::from_static("/v1/chat/completions");
    let mac = sign_head(ring, agent_at(bench), &Method::POST, &path, &headers);
    headers.insert("x-peppercrank-mac", mac);
    let text = |v: &http::HeaderValue| v.to_str().expect("a text").to_owned();
    headers
        .iter()
        .map(|(n, v)| (n.to_string(), text(v)))
        .collect()
}

fn post(bench: &Bench, headers: &[(String, String)]) -> Received {
    let headers = headers.iter().map(|(n, v)| (n.as_str(), v.as_str()));
    let headers = headers.collect::<Vec<_>>();
    send(agent_at(bench), CHAT, &headers, &chat(false, &["abc"])).expect("an answer")
}

fn total(bench: &Bench) -> u64 {
    let of = |at| send(at, "GET /runs", &[], "").expect("an answer").json();
    let runs = bench.targets.iter().map(|t| of(t.at)["total"].as_u64());
    runs.map(|n| n.expect("a number")).sum()
}

/// How many attempts the agent's metrics count by this reason.
fn counted(bench: &Bench, reason: NotRun) -> u64 {
    let text = agent_fleet(bench).metrics.text();
    let code = format!("reason=\"{}\"", reason.code());
    let line = text
        .lines()
        .find(|l| l.starts_with("peppercrank_attempts_total") && l.contains(&code));
    let number = line.and_then(|l| l.rsplit(' ').next());
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}

#[test]
fn verify_forged_and_unsigned_attempts_run_nothing_and_are_counted() {
    let bench = Bench::engines(vec![quick()]);
    let before = total(&bench);
    let own = ring(&[SECRET], 1);
    let mut unsigned = signed(&bench, 1, &own);
    unsigned.retain(|(name, _)| name != "x-peppercrank-mac");
    let mut dearer = signed(&bench, 2, &own);
    for (name, value) in &mut dearer {
        if name == "x-peppercrank-priority" {
            "9".clone_into(value);
        }
    }
    let other = signed(&bench, 3, &ring(&["ff".repeat(16).as_str()], 1));
    let unknown = signed(&bench, 4, &ring(&[SECRET, SECRET], 2));
    for (n, forged) in (1..).zip([&unsigned, &dearer, &other, &unknown]) {
        let seen = post(&bench, forged);
        let error = &seen.json()["error"];
        assert_eq!(error["code"], "unauthentic", "case {n}: {}", seen.text);
        assert_eq!(error["run"], "not_run", "case {n}");
        assert_eq!(counted(&bench, NotRun::Unauthentic), n);
    }
    // A cancellation is believed no more than an attempt is.
    let cancel = format!("DELETE /attempts/{:032x}", 1);
    let seen = send(agent_at(&bench), &cancel, &[], "").expect("an answer");
    assert_eq!(seen.json()["error"]["code"], "unauthentic", "{}", seen.text);
    assert_eq!(counted(&bench, NotRun::Unauthentic), 5, "cancellations too");
    assert_eq!(total(&bench), before, "nothing ran");
}

#[test]
fn verify_one_attempt_runs_once_however_often_it_is_delivered() {
    let bench = Bench::engines(vec![quick()]);
    let before = total(&bench);
    let attempt = signed(&bench, 77, &ring(&[SECRET], 1));
    let first = post(&bench, &attempt);
    assert_eq!(first.status, 200, "{}", first.text);
    for n in 1..=3 {
        let again = post(&bench, &attempt);
        let error = &again.json()["error"];
        assert_eq!(error["code"], "duplicate_attempt", "{}", again.text);
        assert_eq!(counted(&bench, NotRun::DuplicateAttempt), n);
    }
    assert_eq!(total(&bench), before + 1);
}

#[test]
fn verify_two_deliveries_at_once_run_once() {
    let bench = Bench::engines(vec![slow()]);
    let before = total(&bench);
    let attempt = signed(&bench, 78, &ring(&[SECRET], 1));
    let seen = thread::scope(|scope| {
        let both = [0, 1].map(|_| scope.spawn(|| post(&bench, &attempt)));
        both.map(|one| one.join().expect("an answer"))
    });
    let mut status = seen.each_ref().map(|s| s.status);
    status.sort_unstable();
    assert_eq!(status[0], 200, "{seen:?}");
    assert_ne!(status[1], 200, "{seen:?}");
    assert_eq!(total(&bench), before + 1);
}

#[test]
fn verify_keys_rotate_while_requests_flow() {
    let bench = Bench::engines(vec![quick(), quick()]);
    let new = "ffeeddccbbaa99887766554433221100";
    let at = bench.at();
    let over = Arc::new(AtomicBool::new(false));
    let ended = Arc::clone(&over);
    let asking = thread::spawn(move || {
        let mut asked = 0;
        while asked < 10 || !ended.load(Ordering::Relaxed) {
            let body = chat(false, &[&format!("chat {asked}")]);
            let seen = send(at, CHAT, &[ACME], &body).expect("an answer");
            assert_eq!(seen.status, 200, "request {asked}: {}", seen.text);
            asked += 1;
        }
    });
    let router = &bench
        .router
        .as_ref()
        .expect("a router")
        .running
        .router
        .fleet;
    let agents = bench
        .targets
        .iter()
        .map(|t| t.agent.as_ref().expect("an agent"));
    let fleets = agents.map(|a| &a.running.agent.fleet).chain([router]);
    let fleets = fleets.collect::<Vec<_>>();
    // Known everywhere before it signs, and signing everywhere before the old one goes.
    let last = KeyRing::new(vec![Key::from_hex(2, new).expect("a key")]).expect("a ring");
    for step in [ring(&[SECRET, new], 1), ring(&[SECRET, new], 2), last] {
        for fleet in &fleets {
            fleet.rotate(step.clone());
            let one = send(at, CHAT, &[ACME], &chat(false, &["between"])).expect("an answer");
            assert_eq!(one.status, 200, "{}", one.text);
        }
    }
    over.store(true, Ordering::Relaxed);
    asking.join().expect("all answered");
    let old = post(&bench, &signed(&bench, 5, &ring(&[SECRET], 1)));
    assert_eq!(old.json()["error"]["code"], "unauthentic", "{}", old.text);
}

#[test]
fn verify_agent_without_touch_admits_nothing_until_it_is_back() {
    let mut bench = Bench::empty();
    let touch = json!({"fleet": {"touch": {"peers": "1s", "platform": "1s"}}});
    bench.add_engine(quick(), &touch);
    bench.start_router(&json!({}));
    bench.await_targets("galley", 1);
    bench.router.take().expect("a router").kill();
    set_faults(bench.platform.addr, &json!({"outage": true}));
    let own = ring(&[SECRET], 1);
    let id = Cell::new(100);
    let ask = || {
        id.set(id.get() + 2);
        post(&bench, &signed(&bench, id.get(), &own))
    };
    let code = || ask().json()["error"]["code"].clone();
    assert_eq!(poll_until(&json!("out_of_touch"), code), "out_of_touch");
    let before = total(&bench);
    assert_eq!(code(), "out_of_touch");
    assert_eq!(total(&bench), before, "nothing ran");
    set_faults(bench.platform.addr, &json!({}));
    let status = || ask().status;
    assert_eq!(
        poll_until(&200, status),
        200,
        "once the platform is heard again"
    );
}

#[test]
fn verify_router_killed_with_a_stream_open_ends_the_work() {
    let mut bench = Bench::engines(vec![slow()]);
    let caller = bench.call(&long(true));
    bench.router.take().expect("a router").kill();
    let at = bench.targets[0].at;
    assert_eq!(
        poll_until(&json!(0), || running(at)),
        0,
        "cancelled at the engine"
    );
    let agent = bench.targets[0].agent.as_ref().expect("an agent");
    let desk = &agent.running.agent.desk;
    let left = poll_until(&0, || desk.status().reserved.0);
    assert_eq!(left, 0, "nothing stays reserved");
    assert_eq!(desk.status().running, 0);
    drop(caller);
}
