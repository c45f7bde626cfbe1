// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Measures how soon a change is in force everywhere, and what that costs, as the fleet grows.
//!
//! The real relays and the real codec run over in-memory message passing in virtual time with
//! fixed seeds, so that two runs print the same but for the resident bytes and the times that
//! are called real.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts and rates to be printed, far from the types' ends"
)]

#[expect(dead_code, reason = "shared with tests that use more of it")]
#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Duration;
use std::time::Instant;

use common::Fleet;
use common::NOTICE;
use common::key;
use common::platform::Health;
use common::template;
use peppercrank_config::Store;
use peppercrank_config::Version;
use peppercrank_config::message::Message;
use peppercrank_core::objects::ObjectKind;
use rand::RngExt;

/// The fleets measured.
const SIZES: [(usize, usize); 4] = [(13, 4), (100, 4), (400, 8), (1_670, 15)];
/// The time between two changes at 6,000 a day.
const SPACING: Duration = Duration::from_millis(14_400);
/// The changes followed.
const CHANGES: u32 = 40;
/// How long a process that restarts is away.
const AWAY: Duration = Duration::from_secs(5);
/// The share of the processes that are restarting at any time.
const RESTARTING: f64 = 0.01;
/// Objects that stand when the measurement begins.
const STANDING: u32 = 50;
/// The changes of a burst.
const BURST: u32 = 100;
/// The step in which restarts are drawn.
const STEP: Duration = Duration::from_millis(200);

fn main() {
    state();
    bootstrap();
    println!("1% loss, 1% of processes restarting, one change each 14.4 s, {CHANGES} changes");
    for (count, zones) in SIZES {
        spread(count, zones);
    }
    println!("an outage of 600 s, and the 60 s after it");
    for (count, zones) in SIZES {
        outage(count, zones);
    }
    println!("all processes started at once, and half restarted");
    for (count, zones) in SIZES {
        restart(count, zones);
    }
    println!("a survey of who has a change in force");
    for (count, zones) in SIZES {
        survey(count, zones);
    }
    println!("an API that takes 5 s a call: ten changes, 14.4 s apart");
    for (count, zones) in SIZES {
        slow(count, zones);
    }
    println!("a burst: {BURST} changes within a second");
    for (count, zones) in SIZES {
        burst(count, zones);
    }
}

fn settled(count: usize, zones: usize) -> Fleet {
    let mut fleet = Fleet::new(count, zones, 7);
    for i in 0..STANDING {
        let key = key(ObjectKind::Template, &format!("standing-{i}"));
        fleet.platform.put(&key, Some(&template(i + 1)));
    }
    fleet.start_all(&all(count));
    fleet.run(Duration::from_secs(120));
    assert_eq!(
        fleet.ready(),
        count,
        "every process serves after two minutes"
    );
    fleet.platform.calls.fill(0);
    fleet
}

fn all(count: usize) -> Vec<usize> {
    (0..count).collect()
}

fn spread(count: usize, zones: usize) {
    let real = Instant::now();
    let mut fleet = settled(count, zones);
    fleet.loss = 0.01;
    let before: Vec<u64> = fleet.processes.iter().map(|p| p.bytes).collect();
    let began = fleet.now;
    let mut everywhere = Vec::new();
    let mut single = Vec::new();
    let mut missed = 0;
    let mut away = Vec::new();
    for change in 0..CHANGES {
        let key = key(
            ObjectKind::Template,
            &format!("standing-{}", change % STANDING),
        );
        let object = fleet.put(&key, Some(&template(500 + change)));
        let at = fleet.now;
        churn(&mut fleet, SPACING, &mut away);
        let times = fleet.arrivals.values().map(|t| t.saturating_sub(at));
        let mut times: Vec<Duration> = times.collect();
        times.sort();
        everywhere.extend(times.last());
        single.extend(times);
        missed += fleet.lacking(&key, object.version);
    }
    let span = fleet.now.saturating_sub(began).as_secs_f64();
    let bytes = fleet.processes.iter().zip(&before);
    let mut bytes: Vec<f64> = bytes.map(|(p, b)| rate(p.bytes - b, span)).collect();
    bytes.sort_by(f64::total_cmp);
    let calls: u32 = fleet.platform.calls.iter().sum();
    everywhere.sort();
    single.sort();
    println!(
        "{count:5} members: everywhere p50 {:.2} p99 {:.2} max {:.2} s; one process p50 {:.2} \
         p99 {:.2} s; serving without it after 14.4 s: {missed}; API reads {:.2}/s, writes 0/s \
         beside the changes; sent by a process mean {:.0} most {:.0} B/s ({:.1} s real)",
        at_share(&everywhere, 0.5),
        at_share(&everywhere, 0.99),
        at_share(&everywhere, 1.0),
        at_share(&single, 0.5),
        at_share(&single, 0.99),
        f64::from(calls) / span,
        bytes.iter().sum::<f64>() / bytes.len() as f64,
        bytes.last().copied().unwrap_or_default(),
        real.elapsed().as_secs_f64(),
    );
}

/// Lets time pass while processes go away and come back.
fn churn(fleet: &mut Fleet, span: Duration, away: &mut Vec<(Duration, usize)>) {
    let end = fleet.now + span;
    let expected = fleet.processes.len() as f64 * RESTARTING * STEP.as_secs_f64();
    let chance = expected / AWAY.as_secs_f64();
    let mut told = fleet.now;
    while fleet.now < end {
        let whole = chance.floor() as usize;
        let extra = usize::from(fleet.rng.random_bool(chance.fract()));
        for _ in 0..whole + extra {
            let i = fleet.rng.random_range(0..fleet.processes.len());
            if fleet.processes[i].relay.is_some() {
                fleet.stop(i);
                away.push((fleet.now + AWAY, i));
            }
        }
        let now = fleet.now;
        for (_, i) in away.extract_if(.., |(at, _)| *at <= now) {
            fleet.start(i);
        }
        if fleet.now >= told + NOTICE {
            told = fleet.now;
            fleet.tell_members();
        }
        fleet.run(STEP.min(end.saturating_sub(fleet.now)));
    }
}

fn outage(count: usize, zones: usize) {
    let mut fleet = settled(count, zones);
    fleet.platform.health = Health::Down;
    let began = fleet.now;
    fleet.run(Duration::from_secs(600));
    let ended = fleet.now;
    let ready = fleet.ready();
    fleet.platform.health = Health::Up(Duration::from_millis(3));
    let object = fleet.put(&key(ObjectKind::Template, "after"), Some(&template(9)));
    fleet.run(Duration::from_secs(60));
    let last = fleet.arrivals.values().max().copied().unwrap_or_default();
    println!(
        "{count:5} members: {ready} ready at its end; most calls a second in it {}, after it {}; \
         a change made at its end in force everywhere after {:.1} s, lacking {}",
        most_calls(&fleet, began, ended),
        most_calls(&fleet, ended, fleet.now),
        last.saturating_sub(ended).as_secs_f64(),
        fleet.lacking(&object.key, object.version),
    );
}

fn slow(count: usize, zones: usize) {
    let mut fleet = settled(count, zones);
    fleet.platform.health = Health::Up(Duration::from_secs(5));
    fleet.run(Duration::from_secs(60));
    let mut times = Vec::new();
    for change in 0..10 {
        let object = fleet.put(
            &key(ObjectKind::Template, "slow"),
            Some(&template(change + 1)),
        );
        let at = fleet.now;
        fleet.run(SPACING);
        let last = fleet.arrivals.values().max().copied().unwrap_or_default();
        assert_eq!(fleet.lacking(&object.key, object.version), 0);
        times.push(last.saturating_sub(at));
    }
    times.sort();
    println!(
        "{count:5} members: everywhere p50 {:.1} max {:.1} s",
        at_share(&times, 0.5),
        at_share(&times, 1.0),
    );
}

fn restart(count: usize, zones: usize) {
    let mut fleet = Fleet::new(count, zones, 8);
    fleet
        .platform
        .put(&key(ObjectKind::Template, "base"), Some(&template(1)));
    fleet.start_all(&all(count));
    let first = time_ready(&mut fleet);
    let cold = most_calls(&fleet, Duration::ZERO, fleet.now);
    fleet.run(Duration::from_secs(30));
    fleet.platform.health = Health::Down;
    fleet.run(Duration::from_secs(300));
    let began = fleet.now;
    let even: Vec<usize> = (0..count).step_by(2).collect();
    fleet.start_all(&even);
    let half = time_ready(&mut fleet);
    println!(
        "{count:5} members: all ready after {:.1} s, most calls a second {cold}; half restarted \
         300 s into an outage: all ready after {:.1} s, most calls a second {}",
        first.as_secs_f64(),
        half.as_secs_f64(),
        most_calls(&fleet, began, fleet.now),
    );
}

fn time_ready(fleet: &mut Fleet) -> Duration {
    let began = fleet.now;
    while fleet.ready() < fleet.processes.len() && fleet.now < began + Duration::from_secs(300) {
        fleet.run(Duration::from_millis(100));
    }
    fleet.now.saturating_sub(began)
}

fn survey(count: usize, zones: usize) {
    let mut fleet = settled(count, zones);
    fleet.loss = 0.01;
    let object = fleet.put(&key(ObjectKind::Template, "asked"), Some(&template(3)));
    fleet.run(Duration::from_secs(7));
    let before: Vec<u64> = fleet.processes.iter().map(|p| p.bytes).collect();
    let began = fleet.now;
    fleet.survey(0, &object);
    while fleet.tallies.is_empty() {
        fleet.run(Duration::from_millis(10));
    }
    let bytes = fleet
        .processes
        .iter()
        .zip(&before)
        .map(|(p, b)| p.bytes - b);
    let tally = &fleet.tallies[0];
    println!(
        "{count:5} members: in force on {} of {}, unheard {}, after {:.2} s; most bytes sent by \
         a process {}",
        tally.current,
        tally.members,
        tally.unheard,
        fleet.now.saturating_sub(began).as_secs_f64(),
        bytes.max().unwrap_or_default(),
    );
}

fn burst(count: usize, zones: usize) {
    let mut fleet = settled(count, zones);
    fleet.loss = 0.01;
    let before: Vec<u64> = fleet.processes.iter().map(|p| p.bytes).collect();
    let mut objects = Vec::new();
    for i in 0..BURST {
        let key = key(ObjectKind::Template, &format!("burst-{i}"));
        objects.push(fleet.put(&key, Some(&template(i + 1))));
        fleet.run(Duration::from_millis(10));
    }
    let ended = fleet.now;
    let lacking = |f: &Fleet| objects.iter().any(|o| f.lacking(&o.key, o.version) > 0);
    while lacking(&fleet) && fleet.now < ended + Duration::from_secs(60) {
        fleet.run(Duration::from_millis(100));
    }
    let bytes = fleet
        .processes
        .iter()
        .zip(&before)
        .map(|(p, b)| p.bytes - b);
    let bytes: Vec<u64> = bytes.collect();
    println!(
        "{count:5} members: in force everywhere {:.1} s after the last; most calls a second {}; \
         sent by a process mean {} most {} bytes",
        fleet.now.saturating_sub(ended).as_secs_f64(),
        most_calls(
            &fleet,
            ended.saturating_sub(Duration::from_secs(2)),
            fleet.now
        ),
        bytes.iter().sum::<u64>() / bytes.len() as u64,
        bytes.iter().max().copied().unwrap_or_default(),
    );
}

/// What one process holds for 4,600 organisations, and what a fresh one is sent.
fn state() {
    let before = resident();
    let real = Instant::now();
    let mut store = Store::new();
    let mut platform = common::platform::Platform::new();
    for i in 0..20 {
        let key = key(ObjectKind::Template, &format!("template-{i}"));
        store.merge(&platform.put(&key, Some(&template(i + 1))));
    }
    for i in 0..4_600 {
        let key = key(ObjectKind::Organisation, &format!("organisation-{i:04}"));
        store.merge(&platform.put(&key, Some(&organisation(i))));
    }
    let merged = real.elapsed();
    drop(platform);
    let held = resident().saturating_sub(before);
    let stamps: Vec<_> = store.stamps(|_| true).collect();
    let index = Message::News(stamps).length();
    let objects = store.keys().flat_map(|k| store.objects(k)).collect();
    let objects = Message::Objects(objects).length();
    println!(
        "4,600 organisations of 20 templates: {held} resident bytes, merged in {:.0} ms real; a \
         fresh process is sent {index} bytes of stamps and {objects} bytes of objects",
        merged.as_secs_f64() * 1e3,
    );
    assert!(store.completes().iter().all(|v| *v == Version(0)));
}

/// How soon a fresh process serves when there are 4,600 organisations.
fn bootstrap() {
    let mut fleet = Fleet::new(13, 4, 9);
    for i in 0..4_600 {
        let key = key(ObjectKind::Organisation, &format!("organisation-{i:04}"));
        fleet.platform.put(&key, Some(&organisation(i)));
    }
    fleet.start_all(&all(13));
    fleet.run(Duration::from_secs(60));
    assert_eq!(fleet.ready(), 13);
    // One that does not watch: it asks peers alone.
    let fresh = (0..13).find(|i| !fleet.relay(*i).is_watcher());
    let fresh = fresh.unwrap_or_default();
    let before: u64 = fleet.processes.iter().map(|p| p.bytes).sum();
    fleet.start(fresh);
    let ready = time_ready(&mut fleet);
    let sent = fleet.processes.iter().map(|p| p.bytes).sum::<u64>() - before;
    let calls = fleet.relay(fresh).counters().calls;
    println!(
        "a fresh process among 13, with 4,600 organisations: ready after {:.1} s, {sent} bytes \
         sent by all, {calls} calls of its own to the API",
        ready.as_secs_f64(),
    );
}

fn organisation(i: u32) -> String {
    let digest = format!("{i:064x}");
    format!(
        r#"{{"publish":"{i:032x}","spec":{{"template":"template-{}","overrides":{{"limit":{},
        "models":["model-a","model-b"]}},"keys":["{digest}"]}}}}"#,
        i % 20,
        i + 1_000,
    )
}

/// The resident bytes of this program.
fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status
        .split(' ')
        .nth(1)
        .and_then(|p| p.parse::<usize>().ok());
    pages.unwrap_or_default() * 4_096
}

fn most_calls(fleet: &Fleet, from: Duration, to: Duration) -> u32 {
    let seconds = from.as_secs() as usize..=to.as_secs() as usize;
    let calls = seconds.filter_map(|s| fleet.platform.calls.get(s));
    calls.max().copied().unwrap_or_default()
}

fn rate(bytes: u64, span: f64) -> f64 {
    bytes as f64 / span
}

fn at_share(sorted: &[Duration], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let at = (last as f64 * share).ceil() as usize;
    sorted.get(at).map_or(f64::NAN, Duration::as_secs_f64)
}
