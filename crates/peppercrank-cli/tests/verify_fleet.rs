// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Subcommands that query the operator pages of daemons: status, and waiting for changes to be in
//! force.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use peppercrank_cli::Environment;
use peppercrank_cli::Exit;
use rouille::Request;
use rouille::Response;
use serde_json::Value;
use serde_json::json;
use support::TestPlatform;
use support::http_server;
use support::run;

const TOKEN: &str = "an-operators-token";

/// Starts the pages of a daemon, on which the object is in force after `after` requests.
fn daemon(status: Value, after: u64) -> SocketAddr {
    let looks = AtomicU64::new(0);
    http_server(move |request| {
        if request.header("authorization") != Some("Bearer an-operators-token") {
            return Response::text("").with_status_code(401);
        }
        if request.url() == "/status" {
            return Response::json(&status);
        }
        assert_eq!(request.url(), "/objects/mark/e-1");
        let look = looks.fetch_add(1, Ordering::SeqCst);
        Response::json(&json!({ "version": u64::from(look >= after) }))
    })
}

fn status_of(vm: &str, role: &str, digest: &str, targets: &Value) -> Value {
    json!({
        "vm": vm, "zone": "rae", "role": role, "ready": true,
        "configuration": { "digest": digest, "version": 41, "objects": 3, "invalid": [
            { "key": { "kind": "pool", "name": "p" }, "version": 40, "reason": "cap" },
        ] },
        "targets": targets,
        "of_a_newer_daemon": 1,
    })
}

fn target(state: &str, load: &Value, drain: &Value) -> Value {
    json!({ "name": "e-1", "pool": "p", "zone": "rae", "state": state, "load": load, "drain": drain })
}

fn ask(environment: &Environment, daemons: &[SocketAddr], line: &str) -> support::RunResult {
    let addresses = daemons.iter().map(ToString::to_string).collect::<Vec<_>>();
    let mut words = line.split(' ').collect::<Vec<_>>();
    for address in &addresses {
        words.extend(["--daemon", address.as_str()]);
    }
    words.extend(["--operators-token", TOKEN]);
    run(environment, &words)
}

/// Returns an address at which nothing listens.
fn nobody() -> SocketAddr {
    let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    socket.local_addr().expect("an address")
}

#[test]
fn verify_status_prefers_the_targets_own_agent() {
    let load = json!({ "cost": 700, "cap": 900, "running": 2, "waiting": 1 });
    let drain = json!({ "action": "shutdown", "drained": false });
    let own = json!([target("Leaving", &load, &drain)]);
    let believed = json!([target("Live", &Value::Null, &Value::Null)]);
    let router = daemon(status_of("entry-1", "router", "aaaa", &believed), 0);
    let agent = daemon(status_of("vm-1", "agent", "aaaa", &own), 0);
    for order in [[router, agent], [agent, router]] {
        let result = ask(&Environment::default(), &order, "status --output json");
        assert_eq!(result.exit, Exit::Done, "{result:?}");
        let json = result.json();
        assert_eq!(json["agreed"], true);
        assert_eq!(json["targets"].as_array().map(Vec::len), Some(1));
        assert_eq!(json["targets"][0]["state"], "Leaving");
        assert_eq!(json["targets"][0]["load"], load);
    }
    let text = ask(&Environment::default(), &[router, agent], "status").out;
    for word in [
        "entry-1",
        "leaving",
        "700",
        "draining",
        "all 2 daemons agree",
    ] {
        assert!(text.contains(word), "no {word} in\n{text}");
    }
    assert_eq!(
        text.matches("invalid: pool `p` version 40: cap").count(),
        1,
        "{text}"
    );
}

#[test]
fn verify_status_reports_disagreeing_and_unreachable_daemons() {
    let one = daemon(status_of("entry-1", "router", "aaaa", &json!([])), 0);
    let two = daemon(status_of("entry-2", "router", "bbbb", &json!([])), 0);
    let garbled = http_server(|_| Response::text("hello"));
    let closed = http_server(|_| Response::text("").with_status_code(401));
    let gone = nobody();
    let result = ask(
        &Environment::default(),
        &[one, two, garbled, closed, gone],
        "status",
    );
    assert_eq!(result.exit, Exit::Failure);
    for told in [
        "configuration: 2 differ among 2 daemons".to_owned(),
        format!("{garbled} ({garbled}) returned a malformed page"),
        format!("{closed} ({closed}) refuses the operators' token"),
        format!("{gone} ({gone}) does not answer"),
    ] {
        assert!(result.out.contains(&told), "no {told} in {result:?}");
    }
}

#[test]
fn verify_wait_ends_when_in_force_on_the_last_daemon() {
    let platform = TestPlatform::new();
    let quick = daemon(Value::Null, 0);
    let slow = daemon(Value::Null, 2);
    let result = ask(
        &platform.environment,
        &[quick, slow],
        "mark e-1 --shutdown --wait --output json",
    );
    assert_eq!(result.exit, Exit::Done, "{result:?}");
    assert_eq!(result.json()["daemons"], 2);
}

#[test]
fn verify_wait_timeout_names_lagging_daemons() {
    let platform = TestPlatform::new();
    let quick = daemon(Value::Null, 0);
    let never = daemon(Value::Null, u64::MAX);
    let gone = nobody();
    let line = "mark e-1 --shutdown --wait --within 500ms --output json";
    let result = ask(&platform.environment, &[quick, never, gone], line);
    assert_eq!(result.exit, Exit::NotInForce, "{result:?}");
    let error = result.error();
    assert_eq!(error["done"], 1);
    let missing = json!([
        { "daemon": never.to_string(), "why": { "version": 0 } },
        { "daemon": gone.to_string(), "why": { "silent": "unreached" } },
    ]);
    assert_eq!(error["missing"], missing);
    // The change itself has been written.
    platform.expect(Exit::Done, "get mark e-1");

    let nobody = platform.expect(Exit::NotInForce, "unmark e-1 --wait");
    assert!(nobody.err.contains("no daemon is known"), "{nobody:?}");
}

#[test]
fn verify_daemons_are_found_in_the_vm_list() {
    let asked = Arc::new(AtomicU64::new(0));
    let count = Arc::clone(&asked);
    let page = http_server(move |_: &Request| {
        count.fetch_add(1, Ordering::SeqCst);
        Response::json(&status_of("entry-1", "router", "aaaa", &json!([])))
    });
    let vm = |name: &str, leaving: bool| json!({ "name": name, "zone": "rae", "address": "127.0.0.1:1", "role": "router", "leaving": leaving });
    let vms = json!([vm("entry-1", false), vm("entry-2", true)]);
    let settings = serde_json::from_value(json!({ "vms": vms, "vms_lag_ms": 0 }));
    let platform = TestPlatform::with(settings.expect("settings"));
    let line = format!("status --operators-port {}", page.port());
    platform.expect(Exit::Done, &line);
    assert_eq!(asked.load(Ordering::SeqCst), 1, "a leaving VM is not asked");
}

#[test]
fn verify_mark_waits_until_the_target_is_drained() {
    let platform = TestPlatform::new();
    let looks = AtomicU64::new(0);
    let agent = http_server(move |_| {
        let done = looks.fetch_add(1, Ordering::SeqCst) >= 2;
        let load = json!({ "cost": 5, "cap": 9, "running": u64::from(!done), "waiting": 0 });
        let drain = json!({ "action": "shutdown", "drained": done });
        let own = json!([target("Leaving", &load, &drain)]);
        Response::json(&status_of("vm-1", "agent", "aaaa", &own))
    });
    let router = daemon(status_of("entry-1", "router", "aaaa", &json!([])), 0);
    let both = [router, agent];
    let result = ask(
        &platform.environment,
        &both,
        "mark e-1 --shutdown --drained --output json",
    );
    assert_eq!(result.exit, Exit::Done, "{result:?}");
    assert_eq!(result.json()["drained"], true);

    let line = "mark e-2 --shutdown --drained --drained-within 600ms";
    let result = ask(&platform.environment, &both, line);
    assert_eq!(result.exit, Exit::NotInForce, "{result:?}");
    assert!(result.err.contains("check the name"), "{result:?}");
}

#[test]
fn verify_drain_timeout_reports_running_requests() {
    let platform = TestPlatform::new();
    let load = json!({ "cost": 5, "cap": 9, "running": 3, "waiting": 0 });
    let drain = json!({ "action": "shutdown", "drained": false });
    let own = json!([target("Leaving", &load, &drain)]);
    let agent = daemon(status_of("vm-1", "agent", "aaaa", &own), 0);
    let line = "mark e-1 --shutdown --drained --drained-within 600ms";
    let result = ask(&platform.environment, &[agent], line);
    assert_eq!(result.exit, Exit::NotInForce, "{result:?}");
    assert!(result.err.contains("3 requests still run"), "{result:?}");
}
