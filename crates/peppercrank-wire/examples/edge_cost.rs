// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Measures the cost of a hop through a server and a client, compared with calling the origin
//! directly.
//!
//! All ends run in this process over loopback, so that one clock times each event. Prints
//! Markdown; ends within a minute. 2,000 streams need some 8,100 open files (`ulimit -n`).

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use peppercrank_wire::body;
use peppercrank_wire::client::Client;
use peppercrank_wire::client::ClientConfig;
use peppercrank_wire::client::ResponseBody;
use peppercrank_wire::client::Reuse;
use peppercrank_wire::edge::Call;
use peppercrank_wire::edge::Edge;
use peppercrank_wire::edge::Limits;
use peppercrank_wire::edge::Reply;
use peppercrank_wire::headers::strip_hop_by_hop;
use peppercrank_wire::stop::Stopper;
use peppercrank_wire::stop::stop;
use tokio::task::JoinSet;

/// Worker threads of the runtime that all parties share.
const WORKERS: usize = 4;

/// Number of consecutive calls that are timed.
const CALLS: usize = 4_000;

/// Number of concurrent callers for measuring throughput.
const CALLERS: usize = 32;

/// Number of rounds for measuring throughput, and the duration of each.
const ROUNDS: u32 = 4;
const ROUND: Duration = Duration::from_millis(700);

/// Number of streams for measuring the time to the first event.
const FIRST_EVENT_STREAMS: usize = 300;

/// Time for which open streams are observed.
const OBSERVATION_TIME: Duration = Duration::from_millis(1_500);

/// Number of events of a timed stream, and the interval between them.
const EVENTS: u32 = 2_000;
const EVENT_INTERVAL: Duration = Duration::from_millis(1);

/// Numbers of open streams at which memory is measured, and the interval between the events of
/// each.
const STREAMS: [usize; 3] = [50, 500, 2_000];
const SLOW_EVENT_INTERVAL: Duration = Duration::from_millis(200);

/// Size of the body of a unary call and of its response, like a short chat.
const BODY: usize = 2_048;

/// Clock ticks per second in `/proc/self/stat`, the same on all current Linux systems.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(run());
}

/// The two paths to the origin, and the handles that keep their servers running.
struct Paths {
    direct: SocketAddr,
    hop: SocketAddr,
    origin: Instant,
    _stoppers: [Stopper; 2],
}

async fn run() {
    let origin = Instant::now();
    let (direct, first) = start(move |call| answer(call, origin)).await;
    let client = Client::new(ClientConfig {
        spare: CALLERS,
        ..ClientConfig::default()
    });
    let (hop, second) = start(move |call| relay(call, client.clone(), direct)).await;
    let paths = Paths {
        direct,
        hop,
        origin,
        _stoppers: [first, second],
    };
    // Runs first, while the heap contains no freed memory.
    memory(&paths).await;
    latency(&paths).await;
    throughput(&paths).await;
    events(&paths).await;
}

async fn start<F, R>(answer: F) -> (SocketAddr, Stopper)
where
    F: Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    let edge = Edge::bind((Ipv4Addr::LOCALHOST, 0).into()).await;
    let edge = edge.expect("a free port");
    let address = edge.local_addr();
    let (stopper, stop) = stop();
    tokio::spawn(edge.serve(Limits::default(), stop, answer));
    (address, stopper)
}

/// The origin: echoes, or streams events that contain their creation time.
async fn answer(call: Call, origin: Instant) -> Reply {
    let step = match call.head.uri.path() {
        "/events" => EVENT_INTERVAL,
        "/slow" => SLOW_EVENT_INTERVAL,
        _ => return Reply::new(body::full(call.body.read().await.unwrap_or_default())),
    };
    let (feed, body) = body::channel(4);
    tokio::spawn(async move {
        let mut tick = tokio::time::interval(step);
        for _ in 0..EVENTS {
            tick.tick().await;
            let event = format!("data: {:020}\n\n", origin.elapsed().as_nanos());
            if feed.send(event.into()).await.is_err() {
                return;
            }
        }
        feed.finish();
    });
    Reply::new(body)
}

/// The hop: reads the call and forwards the response.
async fn relay(call: Call, client: Client, to: SocketAddr) -> Reply {
    let (mut head, body) = (call.head, call.body);
    strip_hop_by_hop(&mut head.headers);
    let bytes = body.read().await.unwrap_or_default();
    let request = Request::from_parts(head, body::full(bytes));
    let sent = client.send(to, request, Reuse::Allowed).await;
    let mut answer = sent.expect("an answer");
    strip_hop_by_hop(answer.headers_mut());
    answer.map(BodyExt::boxed_unsync)
}

fn post(size: usize) -> Request<body::Body> {
    let request = Request::post("/echo").body(body::full(vec![b'a'; size]));
    request.expect("a good path")
}

async fn call(client: &Client, to: SocketAddr) {
    let sent = client.send(to, post(BODY), Reuse::Allowed).await;
    let read = sent.expect("an answer").into_body().collect().await;
    assert_eq!(read.expect("a whole body").to_bytes().len(), BODY);
}

async fn latency(paths: &Paths) {
    println!("### One call at a time, {BODY} bytes each way, {CALLS} by each way in turn\n");
    println!("| way | median | 99th of 100 |\n| --- | ---: | ---: |");
    let client = Client::new(ClientConfig::default());
    let mut times = [Vec::with_capacity(CALLS), Vec::with_capacity(CALLS)];
    // Alternates the paths, so that other load on the machine affects both equally.
    for _ in 0..CALLS {
        for (times, to) in times.iter_mut().zip([paths.direct, paths.hop]) {
            let begun = Instant::now();
            call(&client, to).await;
            times.push(begun.elapsed());
        }
    }
    print_places(times);
}

async fn throughput(paths: &Paths) {
    println!("### {CALLERS} callers at once, {ROUNDS} rounds of {ROUND:?} by each way in turn\n");
    println!("| way | calls/s | core-time a call |\n| --- | ---: | ---: |");
    let client = Client::new(ClientConfig {
        spare: CALLERS,
        ..ClientConfig::default()
    });
    let mut calls = [0_u32; 2];
    let mut spent = [0.0; 2];
    for _ in 0..ROUNDS {
        for (at, to) in [paths.direct, paths.hop].into_iter().enumerate() {
            let before = core_time();
            calls[at] += round(&client, to).await;
            spent[at] += core_time() - before;
        }
    }
    let mut costs = [0.0; 2];
    for (at, name) in ["direct", "one hop"].into_iter().enumerate() {
        let rate = f64::from(calls[at]) / (ROUND * ROUNDS).as_secs_f64();
        costs[at] = spent[at] / f64::from(calls[at]) * 1e6;
        println!("| {name} | {rate:.0} | {:.0} µs |", costs[at]);
    }
    println!("| added | | {:.0} µs |\n", costs[1] - costs[0]);
}

async fn round(client: &Client, to: SocketAddr) -> u32 {
    let begun = Instant::now();
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        let client = client.clone();
        callers.spawn(async move {
            let mut calls = 0_u32;
            while begun.elapsed() < ROUND {
                call(&client, to).await;
                calls += 1;
            }
            calls
        });
    }
    callers.join_all().await.into_iter().sum()
}

async fn events(paths: &Paths) {
    println!("### First event of a stream, {FIRST_EVENT_STREAMS} streams by each way in turn\n");
    println!("| way | median | 99th of 100 |\n| --- | ---: | ---: |");
    let client = Client::new(ClientConfig::default());
    let mut times = [Vec::new(), Vec::new()];
    for _ in 0..FIRST_EVENT_STREAMS {
        for (times, to) in times.iter_mut().zip([paths.direct, paths.hop]) {
            let begun = Instant::now();
            let mut body = open(&client, to, "/events").await;
            body.frame().await.expect("an event").expect("a whole one");
            times.push(begun.elapsed());
        }
    }
    print_places(times);

    println!(
        "### {EVENTS} events, one each {EVENT_INTERVAL:?}, both ways at once: from making to the reader\n"
    );
    println!("| way | median | 99th of 100 |\n| --- | ---: | ---: |");
    let ages = |to| ages(&client, to, paths.origin);
    let (direct, hop) = tokio::join!(ages(paths.direct), ages(paths.hop));
    print_places([direct, hop]);
}

/// Returns the age of each event of a stream when it is read.
async fn ages(client: &Client, to: SocketAddr, origin: Instant) -> Vec<Duration> {
    let mut body = open(client, to, "/events").await;
    let mut ages = Vec::new();
    while let Some(frame) = body.frame().await {
        let data = frame.expect("a whole event").into_data().expect("data");
        ages.push(age(&data, origin));
    }
    // Each event is a separate frame: none was delayed to be sent with the next.
    assert_eq!(ages.len(), EVENTS as usize);
    ages
}

/// Returns the time since the creation of an event.
fn age(event: &[u8], origin: Instant) -> Duration {
    let text = std::str::from_utf8(event).expect("text");
    let made = text.trim_start_matches("data: ").trim_end();
    let made = Duration::from_nanos(made.parse().expect("a time"));
    origin.elapsed().saturating_sub(made)
}

async fn memory(paths: &Paths) {
    println!("### Open streams, one event each {SLOW_EVENT_INTERVAL:?} on every one\n");
    println!("Direct: caller and origin. One hop: these and the hop between them.\n");
    println!("| way | streams | memory a stream | threads | core used |");
    println!("| --- | ---: | ---: | ---: | ---: |");
    let before = resident();
    // Each case needs more memory than the one before, so memory freed by that one is reused.
    for streams in STREAMS {
        for (name, to) in [("direct", paths.direct), ("one hop", paths.hop)] {
            let client = Arc::new(Client::new(ClientConfig::default()));
            let mut readers = JoinSet::new();
            for _ in 0..streams {
                let body = open(&client, to, "/slow").await;
                readers.spawn(read(body));
            }
            let (begun, spent) = (Instant::now(), core_time());
            tokio::time::sleep(OBSERVATION_TIME).await;
            let used = (core_time() - spent) / begun.elapsed().as_secs_f64();
            let each = resident().saturating_sub(before) / streams as u64;
            let threads = status("Threads:");
            println!(
                "| {name} | {streams} | {each} KB | {threads} | {:.1} % |",
                used * 100.0
            );
            readers.shutdown().await;
            // Waits until the closed streams are cleaned up.
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    }
    println!();
}

async fn read(mut body: ResponseBody) -> Bytes {
    let mut last = Bytes::new();
    while let Some(Ok(frame)) = body.frame().await {
        last = frame.into_data().unwrap_or_default();
    }
    last
}

async fn open(client: &Client, to: SocketAddr, path: &str) -> ResponseBody {
    let request = Request::get(path).body(body::empty());
    let request = request.expect("a good path");
    let sent = client.send(to, request, Reuse::Never).await;
    sent.expect("an answer").into_body()
}

fn print_places(times: [Vec<Duration>; 2]) {
    let mut medians = Vec::new();
    for (name, mut times) in ["direct", "one hop"].into_iter().zip(times) {
        let (median, high) = places(&mut times);
        println!("| {name} | {} | {} |", micros(median), micros(high));
        medians.push(median);
    }
    println!(
        "| added | {} | |\n",
        micros(medians[1].saturating_sub(medians[0]))
    );
}

/// Returns the median and the 99th percentile.
fn places(times: &mut [Duration]) -> (Duration, Duration) {
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() * 99 / 100])
}

fn micros(time: Duration) -> String {
    format!("{:.0} µs", time.as_secs_f64() * 1e6)
}

/// Returns the CPU time of the whole process, in seconds.
fn core_time() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").expect("a Linux /proc");
    let fields = stat.rsplit(") ").next().expect("fields after the name");
    // User and system time are the 14th and 15th fields of the whole line.
    let ticks = fields.split(' ').skip(11).take(2);
    let ticks = ticks.map(|t| t.parse::<f64>().expect("a number"));
    ticks.sum::<f64>() / CLOCK_TICKS_PER_SECOND
}

/// Returns the resident memory, in KB.
fn resident() -> u64 {
    status("VmRSS:")
}

fn status(field: &str) -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("a Linux /proc");
    let line = status.lines().find(|l| l.starts_with(field));
    let value = line.and_then(|l| l.split_whitespace().nth(1));
    value.and_then(|v| v.parse().ok()).expect("a number")
}
