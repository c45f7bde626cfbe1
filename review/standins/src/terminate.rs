//! Gateways are stopped with SIGTERM and started again in turn, while consumers send requests on
//! channels that rested before.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Stage;
use crate::Verdict;
use crate::client;
use crate::client::Call;
use crate::engine::Answer;
use crate::engine::Engine;
use crate::engine::Runs;
use crate::fleet::Gateway;
use crate::http::Reader;
use crate::store::Store;

const ZONES: [&str; 4] = ["ulemiste", "muuga", "lasnamae", "rae"];
const SERVICE: &str = "service-one";

/// Time over which consumers begin.
const CYCLE: Duration = Duration::from_secs(7);

/// `graceS`: time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(8);

/// `contactMs`: time without an impairment before requests count.
const CONTACT: Duration = Duration::from_millis(3_000);

/// What is played.
pub struct Load {
    /// The route's kind.
    route_kind: &'static str,
    /// The route's `timeoutMs`, which is the consumers' time budget too.
    budget: Duration,
    answer: Answer,
    /// Whether requests carry a prompt.
    prompts: bool,
    /// Consumers at home at each gateway.
    consumers: u32,
    /// Time for which a consumer's channel rests before its request.
    rest: Duration,
    /// Pause of a consumer after each 16 KB that it has read.
    read_pause: Duration,
}

/// Streams as those of `lead-query`: 42 events with pauses well below 800 ms.
pub const STREAMS: Load = Load {
    route_kind: "streaming",
    budget: Duration::from_millis(12_000),
    answer: Answer::Stream {
        events: 42,
        pause: Duration::from_millis(110),
    },
    prompts: true,
    consumers: 20,
    rest: Duration::from_millis(2_500),
    read_pause: Duration::ZERO,
};

/// Answers of 1.2 MB that consumers read at some 12 Mbit/s.
pub const LONG_ANSWERS: Load = Load {
    route_kind: "unsafe",
    budget: Duration::from_millis(1_500),
    answer: Answer::Whole {
        bytes: 1_200_000,
        after: Duration::from_millis(60),
    },
    prompts: false,
    consumers: 60,
    rest: Duration::from_millis(4_000),
    read_pause: Duration::from_millis(10),
};

/// The balancer: which machines get new channels.
#[derive(Clone)]
struct Balancer(Arc<Mutex<Vec<u32>>>);

impl Balancer {
    /// Checks all machines once per second. Two misses in a row take a machine out.
    fn start(ready: Vec<SocketAddr>) -> Self {
        let balancer = Self(Arc::new(Mutex::new(vec![0; ready.len()])));
        let checked = balancer.clone();
        tokio::spawn(async move {
            loop {
                for (g, address) in ready.iter().enumerate() {
                    let is_ready = client::is_ready(*address).await;
                    let misses = &mut checked.0.lock().unwrap()[g];
                    *misses = if is_ready { 0 } else { *misses + 1 };
                }
                sleep(Duration::from_secs(1)).await;
            }
        });
        balancer
    }

    /// The machine for a new channel of a consumer.
    fn choose(&self, home: usize) -> usize {
        let misses = self.0.lock().unwrap();
        let in_turn = (0..misses.len()).map(|n| (home + n) % misses.len());
        in_turn.into_iter().find(|g| misses[*g] < 2).unwrap_or(home)
    }
}

/// Opens a channel, rests, sends a request on it, and does so again.
async fn consume(
    load: &'static Load,
    name: String,
    home: usize,
    frontends: Vec<SocketAddr>,
    balancer: Balancer,
    calls: Arc<Mutex<Vec<Call>>>,
) {
    let mut number = 0_u64;
    loop {
        let gateway = balancer.choose(home);
        let Ok(io) = client::open(frontends[gateway]).await else {
            sleep(Duration::from_millis(100)).await;
            continue;
        };
        let _set = io.set_nodelay(true);
        let (read, mut write) = io.into_split();
        let mut reader = Reader::paced(read, load.read_pause);
        if timeout(load.rest, reader.fill()).await.is_ok() {
            // The channel ended while it rested.
            continue;
        }
        number += 1;
        let id = format!("{name}-{number}");
        let prompt = if load.prompts {
            // 699 shared tokens and 130 of the request's own, and up to 294 tokens out.
            format!(
                "Peppercrank-Model: m\r\nPeppercrank-Token-Usage: 829,294\r\n\
                 Peppercrank-Prefix-Hash: 5c1e07a2:699,{home:x}{number:07x}:130\r\n"
            )
        } else {
            String::new()
        };
        let request = format!(
            "POST /confirm/x HTTP/1.1\r\nHost: site.example\r\nPeppercrank-Request-Id: {id}\r\n\
             Peppercrank-Deadline-Ms: {}\r\nPeppercrank-Key: key-one\r\n{prompt}\
             Content-Length: 4\r\n\r\nbody",
            load.budget.as_millis(),
        );
        let sent = Instant::now();
        if write.write_all(request.as_bytes()).await.is_err() {
            continue;
        }
        let answer = timeout(load.budget, reader.message()).await;
        let was_late = answer.is_err();
        let answer = answer.ok().flatten();
        let status = answer.as_ref().map_or(0, |a| a.status());
        let reason = match &answer {
            Some(answer) => format!("{} bytes", answer.body.len()),
            None if was_late => "time budget over".to_owned(),
            None => format!("channel ended, {} bytes of an answer", reader.received()),
        };
        let ended = Instant::now();
        let path = "/confirm/x".to_owned();
        calls.lock().unwrap().push(Call {
            id,
            gateway,
            path,
            sent,
            ended,
            status,
            reason,
        });
    }
}

pub async fn play(mut stage: Stage<'_>, load: &'static Load) -> io::Result<Verdict> {
    let store = Store::start().await?;
    let runs = Runs::default();
    let mut engines = Vec::new();
    for zone in ZONES {
        let id = format!("i-{zone}-0");
        let engine = Engine::start(&id, SERVICE, zone, load.answer, &store, &runs);
        engines.push(engine.await?);
    }
    let mut service = json!({ "name": SERVICE, "healthPath": "/healthz", "maxConnections": 370,
        "protocol": "h1", "tls": false });
    if load.prompts {
        service["engine"] = json!({ "slots": 64, "kvCapacityTokens": 489_350, "kvBytes": 18_432,
            "linkMbps": 130_000.0, "models": [{ "name": "m" }] });
    }
    store.put("config", "main", &json!({
        "version": 7,
        "routes": [{ "name": "r-confirm", "hostname": "site.example", "pathPrefix": "/confirm/",
            "routeKind": load.route_kind, "timeoutMs": load.budget.as_millis() as u64, "latencyGoalMs": 600,
            "priority": 1, "service": SERVICE, "maxAttempts": 1, "public": false,
            "sticky": load.prompts, "resumable": false, "gapTargetMs": 800 }],
        "services": [service],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000 },
        "tenants": [{ "name": "t-one", "apiKeys": ["key-one"] }],
    }));
    let mut gateways = Vec::new();
    for (i, zone) in ZONES.iter().enumerate() {
        let name = format!("edge-{zone}-{}", i + 1);
        gateways.push(Gateway::new(&name, zone, store.address, stage.place)?);
    }
    for gateway in &mut gateways {
        gateway.start()?;
    }
    for gateway in &gateways {
        if !gateway.wait_ready(Duration::from_secs(10)).await {
            return Err(io::Error::other("a gateway didn't get ready"));
        }
        stage
            .record
            .line(&format!("{} in {} is ready", gateway.name, gateway.zone));
    }
    sleep(Duration::from_secs(4)).await;

    let calls = Arc::new(Mutex::new(Vec::<Call>::new()));
    let balancer = Balancer::start(gateways.iter().map(|g| g.ready).collect());
    let frontends = gateways.iter().map(|g| g.listen).collect::<Vec<_>>();
    let mut consumers = Vec::new();
    for home in 0..gateways.len() {
        for n in 0..load.consumers {
            let consumer = consume(
                load,
                format!("q-{home}-{n}"),
                home,
                frontends.clone(),
                balancer.clone(),
                Arc::clone(&calls),
            );
            // They begin one after the other, so that requests are spread over the time.
            let begins = CYCLE * n / load.consumers;
            consumers.push(tokio::spawn(async move {
                sleep(begins).await;
                consumer.await;
            }));
        }
    }
    sleep(CYCLE + CONTACT).await;

    let mut stops = Vec::new();
    for g in 0..gateways.len() {
        let stopped = Instant::now();
        if stage.trouble {
            gateways[g].terminate()?;
            stage
                .record
                .line(&format!("SIGTERM to gateway {g}, {}", gateways[g].name));
            let by_itself = gateways[g].wait_exit(GRACE).await;
            let took = stopped.elapsed().as_secs_f64();
            stage.record.line(&format!(
                "it ended after {took:.3} s; by itself: {by_itself}"
            ));
            gateways[g].start()?;
            gateways[g].wait_ready(Duration::from_secs(5)).await;
        }
        stops.push(stopped);
        sleep(Duration::from_secs(5)).await;
    }
    for consumer in &consumers {
        consumer.abort();
    }
    sleep(Duration::from_secs(1)).await;

    let (calls, runs) = (calls.lock().unwrap().clone(), runs.lock().unwrap().clone());
    let mut lost = 0;
    for (g, stopped) in stops.iter().enumerate() {
        let until = *stopped + GRACE + Duration::from_secs(1);
        // Servers may be cut off that are still at work on a request that was sent by then.
        let excused = *stopped + Duration::from_secs(3);
        let last_sixth = *stopped + GRACE * 5 / 6;
        let cut = calls.iter().filter(|c| {
            let ran = runs.iter().any(|r| r.request == c.id);
            let in_time = c.ended < c.sent + load.budget;
            let is_excused = c.sent <= excused && c.ended >= last_sixth;
            let in_window = c.ended > *stopped && c.ended < until;
            c.gateway == g && c.status == 0 && ran && in_window && in_time && !is_excused
        });
        for call in cut {
            stage.record.line(&format!(
                "gateway {g}: {} was sent {:.3} s and its channel ended {:.3} s after the SIGTERM: {}",
                call.id,
                (call.sent - *stopped).as_secs_f64(),
                (call.ended - *stopped).as_secs_f64(),
                call.reason,
            ));
            lost += 1;
        }
    }
    let whole = calls.iter().filter(|c| c.status == 200).count();
    stage.record.line(&format!(
        "{} requests sent, {whole} answered whole with 200",
        calls.len()
    ));
    let verdict = if lost == 0 { "held" } else { "broken" };
    stage
        .record
        .line(&format!("LOST {verdict}: {lost} answers cut"));
    stage.record.calls(&calls, &runs);
    Ok(if lost == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
