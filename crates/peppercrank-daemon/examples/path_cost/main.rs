// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What the whole path through router and agent costs, against calling the engine directly.
//!
//! All parts run in this process over loopback, each on threads with its name, so that one clock
//! times each event and processor time is told apart. Prints Markdown; ends within a minute or
//! so. 2,000 streams need some 12,500 open files (`ulimit -n`).

#[path = "../support/mod.rs"]
mod support;

mod path;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use peppercrank_wire::client::Client;
use peppercrank_wire::client::ClientConfig;
use peppercrank_wire::client::Reuse;
use tokio::runtime::Runtime;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::path::Origin;
use crate::path::Path;
use crate::path::chat;
use crate::path::next;
use crate::path::open;
use crate::support::core_time;
use crate::support::micros;
use crate::support::places;
use crate::support::resident;
use crate::support::threads;

/// Worker threads of the callers.
const WORKERS: usize = 4;

/// Streams opened for their first tokens, by each way in turn.
const FIRSTS: u64 = 2_000;

/// Tokens of the answers whose first ones and whose throughput are measured.
const SHORT: u32 = 8;

/// Callers at once where throughput is measured, the rounds and the time of each.
const CALLERS: u64 = 32;
const ROUNDS: u32 = 4;
const ROUND: Duration = Duration::from_millis(700);

/// Streams read at once by each way for the age of their events, their length and pace.
const TIMED: u64 = 4;
const EVENTS: u32 = 600;
const STEP: Duration = Duration::from_millis(5);

/// Open streams at which memory is measured, their pace, length and the time watched.
const STREAMS: [u64; 3] = [50, 500, 2_000];
const SLOW_STEP: Duration = Duration::from_millis(100);
const LONG: u32 = 4_000;
const SPAN: Duration = Duration::from_secs(3);

/// Streams that are opened at once, and the patience of a caller with a connection.
const OPENING: usize = 64;
const CONNECT: Duration = Duration::from_secs(5);

/// Time for the ends of closed streams to be cleared away.
const CLEAR: Duration = Duration::from_secs(1);

/// Names of the two ways.
const WAYS: [&str; 2] = ["direct", "router and agent"];

fn main() {
    let callers = support::runtime("caller", WORKERS);
    // First, while the heap holds nothing that was freed.
    streams(&callers);
    let path = Path::start(Origin::engine(Duration::ZERO));
    callers.block_on(first_tokens(&path));
    callers.block_on(throughput(&path));
    drop(path);
    events(&callers);
}

fn client() -> Client {
    Client::new(ClientConfig {
        connect: CONNECT,
        spare: usize::try_from(CALLERS).expect("few"),
        ..ClientConfig::default()
    })
}

async fn first_tokens(path: &Path) {
    println!("### First token of a stream, {FIRSTS} streams by each way in turn\n");
    let client = client();
    let mut times = [Vec::new(), Vec::new()];
    // In turn, so that what else the machine does falls on both ways alike.
    for number in 0..FIRSTS {
        for (times, to) in times.iter_mut().zip(path.ways()) {
            let begun = Instant::now();
            let mut body = open(&client, to, chat(number, SHORT), Reuse::Allowed).await;
            next(&mut body).await.expect("a token");
            times.push(begun.elapsed());
            while next(&mut body).await.is_some() {}
        }
    }
    print_places(times);
}

async fn throughput(path: &Path) {
    println!(
        "### {CALLERS} callers at once, answers of {SHORT} tokens, {ROUNDS} rounds of {ROUND:?} by each way in turn\n"
    );
    let client = client();
    let mut calls = [0_u32; 2];
    let mut spent = [[Duration::ZERO; 2]; 2];
    let parts = ["router", "agent"];
    for _ in 0..ROUNDS {
        for (at, to) in path.ways().into_iter().enumerate() {
            let before = parts.map(|part| core_time(&[part]));
            calls[at] += round(&client, to).await;
            for ((spent, part), before) in spent[at].iter_mut().zip(parts).zip(before) {
                *spent += core_time(&[part]).saturating_sub(before);
            }
        }
    }
    println!("| way | requests/s | router a request | agent a request |");
    println!("| --- | ---: | ---: | ---: |");
    for ((way, calls), spent) in WAYS.into_iter().zip(calls).zip(spent) {
        let rate = f64::from(calls) / (ROUND * ROUNDS).as_secs_f64();
        let [router, agent] = spent.map(|s| micros(s / calls.max(1)));
        println!("| {way} | {rate:.0} | {router} | {agent} |");
    }
    println!();
}

async fn round(client: &Client, to: SocketAddr) -> u32 {
    let begun = Instant::now();
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let client = client.clone();
        callers.spawn(async move {
            let mut calls = 0_u32;
            while begun.elapsed() < ROUND {
                let number = (caller << 32) + u64::from(calls);
                let request = chat(number, SHORT);
                let mut body = open(&client, to, request, Reuse::Allowed).await;
                while next(&mut body).await.is_some() {}
                calls += 1;
            }
            calls
        });
    }
    callers.join_all().await.into_iter().sum()
}

/// What a reader saw of its events.
#[derive(Debug, Default)]
struct Seen {
    ages: Vec<Duration>,
    gaps: Vec<Duration>,
    /// Parts of the body that held any event.
    parts: usize,
}

fn events(callers: &Runtime) {
    let origin = Instant::now();
    let path = Path::start(Origin::stamps(origin, STEP, EVENTS));
    println!("### {TIMED} streams by each way at once, {EVENTS} events each, one each {STEP:?}\n");
    let [direct, routed] = callers.block_on(async {
        let [direct, routed] = path.ways().map(|to| read_all(to, origin));
        let (direct, routed) = tokio::join!(direct, routed);
        [direct, routed]
    });
    println!("From making to the reader:\n");
    let shown = [&direct, &routed].map(|s| (s.ages.len(), s.parts));
    let (direct_gaps, routed_gaps) = (direct.gaps, routed.gaps);
    print_places([direct.ages, routed.ages]);
    println!("Between two tokens at the reader:\n");
    print_places([direct_gaps, routed_gaps]);
    for (way, (events, parts)) in WAYS.into_iter().zip(shown) {
        println!("Event by event, {way}: {events} events in {parts} parts.");
    }
    println!();
}

async fn read_all(to: SocketAddr, origin: Instant) -> Seen {
    let client = client();
    let mut readers = JoinSet::new();
    for number in 0..TIMED {
        let request = chat(number, EVENTS);
        let body = open(&client, to, request, Reuse::Never).await;
        readers.spawn(read(body, origin));
    }
    let mut all = Seen::default();
    for seen in readers.join_all().await {
        all.ages.extend(seen.ages);
        all.gaps.extend(seen.gaps);
        all.parts += seen.parts;
    }
    let wanted = usize::try_from(TIMED * u64::from(EVENTS)).expect("few");
    assert_eq!(all.ages.len(), wanted, "no event is lost");
    all
}

async fn read(mut body: peppercrank_wire::client::ResponseBody, origin: Instant) -> Seen {
    let mut seen = Seen::default();
    let mut last = None;
    while let Some(part) = next(&mut body).await {
        let now = origin.elapsed();
        let text = std::str::from_utf8(&part).expect("text");
        // The stamp is the last field of an event; events are cut nowhere, being sent whole.
        let stamps = text.split("\"made\":\"").skip(1).map(|rest| &rest[..20]);
        let mut any = false;
        for stamp in stamps {
            let made = Duration::from_nanos(stamp.parse().expect("a time"));
            seen.ages.push(now.saturating_sub(made));
            any = true;
        }
        if any {
            seen.parts += 1;
            seen.gaps.extend(last.map(|last| now.saturating_sub(last)));
            last = Some(now);
        }
    }
    seen
}

fn streams(callers: &Runtime) {
    println!("### Open streams, one token each {SLOW_STEP:?} on every one\n");
    println!("Direct: caller and engine. Routed: these, router and agent.\n");
    println!("| way | streams | memory a stream | threads | router a token | agent a token |");
    println!("| --- | ---: | ---: | ---: | ---: | ---: |");
    let path = Path::start(Origin::engine(SLOW_STEP));
    let before = resident();
    // Each case holds more than the one before, so what that one freed is used again.
    for count in STREAMS {
        for (way, to) in WAYS.into_iter().zip(path.ways()) {
            callers.block_on(held(count, way, to, before));
        }
    }
    println!();
}

/// Holds so many streams open and prints what they take.
async fn held(count: u64, way: &str, to: SocketAddr, before: u64) {
    let client = client();
    let mut readers = JoinSet::new();
    let begun = Arc::new(Semaphore::new(0));
    let gate = Arc::new(Semaphore::new(OPENING));
    for number in 0..count {
        // Many at once, since the router answers with the first token.
        let (client, begun, gate) = (client.clone(), Arc::clone(&begun), Arc::clone(&gate));
        readers.spawn(async move {
            let opening = gate.acquire().await.expect("an open semaphore");
            let mut body = open(&client, to, chat(number, LONG), Reuse::Never).await;
            drop(opening);
            begun.add_permits(1);
            while next(&mut body).await.is_some() {}
        });
    }
    let all = u32::try_from(count).expect("few");
    drop(begun.acquire_many(all).await.expect("an open semaphore"));
    let spent = ["router", "agent"].map(|part| core_time(&[part]));
    let begun = Instant::now();
    tokio::time::sleep(SPAN).await;
    let tokens = begun.elapsed().as_secs_f64() / SLOW_STEP.as_secs_f64();
    let spent = ["router", "agent"]
        .map(|part| core_time(&[part]))
        .into_iter()
        .zip(spent)
        .map(|(now, before)| now.saturating_sub(before));
    #[expect(clippy::cast_precision_loss, reason = "a few thousand streams")]
    let all = tokens * count as f64;
    let each: Vec<_> = spent
        .map(|s| format!("{:.1} µs", s.as_secs_f64() * 1e6 / all))
        .collect();
    let memory = resident().saturating_sub(before) / count;
    let threads = threads();
    println!(
        "| {way} | {count} | {memory} KB | {threads} | {} |",
        each.join(" | ")
    );
    readers.shutdown().await;
    tokio::time::sleep(CLEAR).await;
}

fn print_places(times: [Vec<Duration>; 2]) {
    println!("| way | median | 95th of 100 |\n| --- | ---: | ---: |");
    let places = times.map(|mut times| places(&mut times));
    for (way, [median, high]) in WAYS.into_iter().zip(places) {
        println!("| {way} | {} | {} |", micros(median), micros(high));
    }
    let [[direct, direct_high], [routed, routed_high]] = places;
    println!(
        "| added | {} | {} |",
        micros(routed.saturating_sub(direct)),
        micros(routed_high.saturating_sub(direct_high))
    );
    println!(
        "| ratio | {:.2} | {:.2} |\n",
        routed.as_secs_f64() / direct.as_secs_f64(),
        routed_high.as_secs_f64() / direct_high.as_secs_f64()
    );
}
