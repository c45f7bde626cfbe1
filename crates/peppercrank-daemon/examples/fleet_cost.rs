// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What control costs a daemon in a fleet of `fleet_cost N` daemons, over real sockets.
//!
//! All `N` run in this process on loopback, each with its sockets, keys, membership, configuration
//! and client of the platform, spread over four availability zones; 22 of 100 are routers and the
//! rest are agents whose load changes each second. One change of configuration is published each
//! 14.4 s (6,000 a day). Counts begin once all know each other. Prints rows of Markdown tables.

#[expect(dead_code, reason = "another example uses the rest")]
mod support;

use std::collections::BTreeMap;
use std::env;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use peppercrank_core::names::PoolName;
use peppercrank_core::names::TargetName;
use peppercrank_core::units::Cost;
use peppercrank_daemon::fleet::Fleet;
use peppercrank_daemon::fleet::Inbox;
use peppercrank_daemon::fleet::Setup;
use peppercrank_daemon::log::Log;
use peppercrank_daemon::metrics::Metrics;
use peppercrank_member::Agent;
use peppercrank_member::Role;
use peppercrank_settings::RouterSettings;
use peppercrank_standin::platform;
use peppercrank_standin::platform::PlatformSettings;
use peppercrank_wire::platform::CallOutcome;
use peppercrank_wire::platform::Operation;
use peppercrank_wire::stop::Stop;
use peppercrank_wire::stop::stop;
use peppercrank_wire::traffic::TrafficCounts;
use serde_json::json;

use crate::support::core_time;
use crate::support::resident;
use crate::support::threads;

/// Daemons, unless the first argument says so.
const DAEMONS: usize = 25;

/// Time for the fleet to settle once all know each other, and the time then counted.
const SETTLE: Duration = Duration::from_secs(15);
const SPAN: Duration = Duration::from_secs(45);

/// Time between two changes of configuration: 6,000 a day.
const CHANGE: Duration = Duration::from_millis(14_400);

/// Time between two reports of an agent's load.
const REPORT: Duration = Duration::from_secs(1);

/// The longest time for the daemons to know each other, or for a change to be in force.
const PATIENCE: Duration = Duration::from_secs(60);

/// A look at whether something has come about.
const LOOK: Duration = Duration::from_millis(5);

/// Worker threads of the daemons' runtime.
const WORKERS: usize = 4;

/// Availability zones.
const ZONES: usize = 4;

/// Of nine daemons, so many are routers.
const ROUTERS: usize = 2;

/// Threads that work for the daemons: the runtime's and those that call the platform.
const OURS: [&str; 2] = ["fleet", "platform-"];

/// One daemon's part in the fleet.
type Daemon = (Arc<Fleet>, Inbox);

/// The counts of all daemons together.
#[derive(Debug)]
struct Counts {
    at: Instant,
    core: Duration,
    volumes: BTreeMap<&'static str, TrafficCounts>,
    calls: BTreeMap<&'static str, u64>,
}

fn main() {
    let count = env::args().nth(1).and_then(|n| n.parse().ok());
    let count: usize = count.unwrap_or(DAEMONS);
    let on_standin = support::runtime("standin", 2);
    let on_fleet = support::runtime("fleet", WORKERS);
    let set = PlatformSettings {
        vms_lag_ms: 0,
        ..PlatformSettings::default()
    };
    let platform = on_standin.block_on(platform::start(set));
    let platform = platform.expect("a platform");
    let url = format!("http://{}", platform.addr);
    support::configure(&url);
    let (memory, alone) = (resident(), threads());
    let (stopper, signal) = stop();
    let daemons: Vec<Daemon> = (0..count)
        .map(|n| on_fleet.block_on(join(n, &url, signal.clone())))
        .collect();
    let joined = gather(&daemons, &url);
    sleep(SETTLE);
    let begun = counts(&daemons);
    let in_force = run(&daemons, &url);
    let ended = counts(&daemons);
    let held = resident().saturating_sub(memory) / count as u64;
    let each = (threads() - alone) / count as u64;
    print(count, joined, &begun, &ended, held, each);
    print_changes(count, in_force);
    stopper.stop();
}

async fn join(number: usize, url: &str, stop: Stop) -> Daemon {
    let zone = format!("zone-{}", number % ZONES);
    let settings = json!({
        "fleet": support::fleet(&format!("vm-{number}"), &zone, url), "listen": "127.0.0.1:0",
    });
    let settings = RouterSettings::parse(&settings.to_string()).expect("settings");
    let listen = settings.listen;
    let role = if number % 9 < ROUTERS {
        Role::Router
    } else {
        Role::Agent(Agent {
            target: TargetName::new(&format!("engine-{number}")).expect("a name"),
            pool: PoolName::new("engines").expect("a name"),
            address: listen,
            weight: 100,
        })
    };
    let setup = Setup {
        role,
        listen,
        log: Log::disabled(),
        metrics: Arc::new(Metrics::new()),
        stop,
    };
    let joined = Fleet::join(settings.fleet, setup).await;
    joined.expect("a daemon that joins")
}

/// Tells the platform who runs, and waits until all know all.
fn gather(daemons: &[Daemon], url: &str) -> Duration {
    let vms: Vec<_> = daemons
        .iter()
        .enumerate()
        .map(|(number, (fleet, _))| {
            let role = if number % 9 < ROUTERS {
                "router"
            } else {
                "agent"
            };
            json!({
                "name": fleet.settings.vm, "zone": fleet.settings.zone,
                "address": fleet.gossip_address(), "role": role,
            })
        })
        .collect();
    support::put(url, "vms", &json!({ "vms": vms }));
    await_all("the daemons know each other", || {
        daemons
            .iter()
            .all(|(fleet, _)| fleet.live() == daemons.len() && fleet.is_ready())
    })
}

/// Lets the span pass with loads and changes; returns how long each change took.
fn run(daemons: &[Daemon], url: &str) -> Vec<Duration> {
    let begun = Instant::now();
    let (mut reports, mut changes) = (0_u32, 0_u32);
    let mut in_force = Vec::new();
    while begun.elapsed() < SPAN {
        if begun.elapsed() >= REPORT * reports {
            reports += 1;
            report(daemons, u64::from(reports));
        }
        if begun.elapsed() >= CHANGE * changes {
            changes += 1;
            in_force.push(change(daemons, url, changes));
        }
        sleep(LOOK);
    }
    in_force
}

fn report(daemons: &[Daemon], round: u64) {
    for (number, (fleet, _)) in daemons.iter().enumerate() {
        if number % 9 >= ROUTERS {
            // A load that differs from agent to agent and from second to second.
            let load = 10_000 + (number as u64 * 7_919 + round * 104_729) % 50_000;
            fleet.report(Cost(load), false);
        }
    }
}

/// Publishes an organisation and waits until all daemons have it in force.
fn change(daemons: &[Daemon], url: &str, number: u32) -> Duration {
    let path = format!("objects/organisation/customer-{number}");
    let written = support::put(url, &path, &json!({"spec": {"template": "plain"}}));
    let version = written["version"].as_i64().expect("a version");
    await_all("a change is in force", || {
        daemons
            .iter()
            .all(|(fleet, _)| fleet.metrics.config.get() >= version)
    })
}

fn await_all(what: &str, all: impl Fn() -> bool) -> Duration {
    let begun = Instant::now();
    while !all() {
        assert!(begun.elapsed() < PATIENCE, "{what}");
        sleep(LOOK);
    }
    begun.elapsed()
}

fn counts(daemons: &[Daemon]) -> Counts {
    let mut volumes: BTreeMap<&'static str, TrafficCounts> = BTreeMap::new();
    let mut calls = BTreeMap::new();
    for (fleet, _) in daemons {
        for (kind, volume) in fleet.volumes() {
            let sum = volumes.entry(kind).or_default();
            sum.sent += volume.sent;
            sum.sent_bytes += volume.sent_bytes;
            sum.received_bytes += volume.received_bytes;
        }
        let made = fleet.platform.calls();
        for operation in Operation::ALL {
            let all = CallOutcome::ALL.iter().map(|e| made.get(*operation, *e));
            *calls.entry(operation.code()).or_default() += all.sum::<u64>();
        }
    }
    Counts {
        at: Instant::now(),
        core: core_time(&OURS),
        volumes,
        calls,
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of one minute")]
fn print(count: usize, joined: Duration, begun: &Counts, ended: &Counts, held: u64, each: u64) {
    let span = (ended.at - begun.at).as_secs_f64();
    let daemon = span * count as f64;
    let core = ended.core.saturating_sub(begun.core).as_secs_f64() / daemon;
    let none = TrafficCounts::default();
    let (mut sent, mut received, mut messages) = (0.0, 0.0, 0.0);
    let mut kinds = Vec::new();
    for (kind, volume) in &ended.volumes {
        let before = begun.volumes.get(kind).unwrap_or(&none);
        let out = (volume.sent_bytes - before.sent_bytes) as f64 / daemon;
        sent += out;
        received += (volume.received_bytes - before.received_bytes) as f64 / daemon;
        messages += (volume.sent - before.sent) as f64 / daemon;
        kinds.push(format!("{kind} {out:.0}"));
    }
    let calls: Vec<_> = ended
        .calls
        .iter()
        .map(|(kind, now)| (kind, (now - begun.calls[kind]) as f64 / span))
        .filter(|(_, rate)| *rate > 0.0)
        .map(|(kind, rate)| format!("{kind} {rate:.2}"))
        .collect();
    println!(
        "| daemons | known after | messages sent/s | sent B/s | received B/s | core | memory | threads | platform calls/s, all daemons |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | --- |");
    println!(
        "| {count} | {:.1} s | {messages:.1} | {sent:.0} | {received:.0} | {:.3} % | {held} KB | {each} | {} |\n",
        joined.as_secs_f64(),
        core * 100.0,
        calls.join(", ")
    );
    println!("Sent by kind, B/s a daemon: {}.\n", kinds.join(", "));
}

fn print_changes(count: usize, mut in_force: Vec<Duration>) {
    in_force.sort_unstable();
    let shown: Vec<_> = in_force
        .iter()
        .map(|t| format!("{:.0} ms", t.as_secs_f64() * 1e3))
        .collect();
    println!(
        "Changes in force on all {count} after: {}.\n",
        shown.join(", ")
    );
}
