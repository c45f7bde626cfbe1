//! A key is taken away; then the store comes back from a copy some seconds old, and one gateway is
//! killed and started again meanwhile.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::Stage;
use crate::Verdict;
use crate::client::Call;
use crate::client::call;
use crate::engine::Answer;
use crate::engine::Engine;
use crate::engine::Runs;
use crate::fleet::Gateway;
use crate::store::Store;

const ZONES: [&str; 4] = ["ulemiste", "muuga", "lasnamae", "rae"];
const SERVICE: &str = "packfloor-app";

/// `revokeMs`.
const REVOKE: Duration = Duration::from_millis(5_000);

/// Times after the ack of the desired state that takes the key away: the store goes away, it is
/// back from its copy, and the operator has written again what it lacks.
const AWAY: Duration = Duration::from_millis(4_400);
const BACK: Duration = Duration::from_millis(4_900);
const WRITTEN_AGAIN: Duration = Duration::from_millis(5_900);

/// The gateway that is killed as the store goes away, and started as it is back.
const KILLED: usize = 3;

/// Pause between two requests to one gateway.
const PAUSE: Duration = Duration::from_millis(60);

fn desired(version: u64, tenants: &Value) -> Value {
    json!({
        "version": version,
        "routes": [{ "name": "r-confirm", "hostname": "site.example", "pathPrefix": "/confirm/",
            "routeKind": "unsafe", "timeoutMs": 1500, "latencyGoalMs": 300, "priority": 1,
            "service": SERVICE, "maxAttempts": 1, "public": false }],
        "services": [{ "name": SERVICE, "healthPath": "/healthz", "maxConnections": 110,
            "protocol": "h1", "tls": false }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000 },
        "tenants": tenants,
    })
}

pub async fn play(mut stage: Stage<'_>) -> io::Result<Verdict> {
    // For finding out which part matters: `ONLY=drill` leaves the kill out, `ONLY=kill` the drill.
    let only = std::env::var("ONLY").unwrap_or_default();
    let drill = stage.trouble && only != "kill";
    let kill = stage.trouble && only != "drill";
    let store = Store::start().await?;
    let runs = Runs::default();
    let answer = Answer::Whole {
        bytes: 800,
        after: Duration::from_millis(60),
    };
    let mut engines = Vec::new();
    for zone in ZONES {
        let id = format!("i-{zone}-0");
        engines.push(Engine::start(&id, SERVICE, zone, answer, &store, &runs).await?);
    }
    let (one, two) = (
        json!({ "name": "t-one", "apiKeys": ["key-one"] }),
        json!({ "name": "t-two", "apiKeys": ["key-two"] }),
    );
    let without_one = desired(8, &json!([two]));
    store.put("config", "main", &desired(7, &json!([one, two])));
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
    let mut senders = Vec::new();
    for (g, gateway) in gateways.iter().enumerate() {
        for key in ["key-one", "key-two"] {
            let (to, calls) = (gateway.listen, Arc::clone(&calls));
            senders.push(tokio::spawn(async move {
                for n in 0_u64.. {
                    let calls = Arc::clone(&calls);
                    tokio::spawn(async move {
                        let id = format!("{key}-{g}-{n}");
                        let seen = call(g, to, "/confirm/x", key, id).await;
                        calls.lock().unwrap().push(seen);
                    });
                    sleep(PAUSE).await;
                }
            }));
        }
    }
    sleep(Duration::from_secs(2)).await;

    let copy = store.copy();
    store.put("config", "main", &without_one);
    let taken = tokio::time::Instant::now();
    stage
        .record
        .line("the store acks version 8, which takes key-one away");
    sleep_until(taken + AWAY).await;
    if drill {
        store.go_away();
        stage.record.line("the store is away");
    }
    if kill {
        gateways[KILLED].kill();
        stage
            .record
            .line(&format!("{} is killed", gateways[KILLED].name));
    }
    sleep_until(taken + BACK).await;
    if drill {
        store.come_back_from(copy);
        stage
            .record
            .line("the store is back from a copy from before version 8, in the next era");
    }
    if kill {
        gateways[KILLED].start()?;
        let ready = gateways[KILLED].wait_ready(Duration::from_secs(2)).await;
        stage.record.line(&format!(
            "{} started again; ready: {ready}",
            gateways[KILLED].name
        ));
    }
    sleep_until(taken + WRITTEN_AGAIN).await;
    for engine in &engines {
        engine.register(&store);
    }
    store.put("config", "main", &without_one);
    stage
        .record
        .line("the operator and the servers have written again what the store lacks");
    sleep_until(taken + WRITTEN_AGAIN + Duration::from_secs(4)).await;
    for sender in senders {
        sender.abort();
    }
    sleep(Duration::from_secs(2)).await;

    let (calls, runs) = (calls.lock().unwrap().clone(), runs.lock().unwrap().clone());
    let mut late = 0;
    for g in 0..gateways.len() {
        let sent = calls
            .iter()
            .filter(|c| c.gateway == g && c.id.starts_with("key-one"));
        let sent = sent.filter(|c| c.sent > taken + REVOKE).collect::<Vec<_>>();
        let ran = |c: &&&Call| runs.iter().any(|r| r.request == c.id);
        let ran = sent.iter().filter(ran).collect::<Vec<_>>();
        let last = ran.iter().map(|c| c.sent - taken).max().unwrap_or_default();
        stage.record.line(&format!(
            "gateway {g}: {} requests with key-one sent later than {} ms after the ack, {} ran, \
             the last one sent {:.3} s after it",
            sent.len(),
            REVOKE.as_millis(),
            ran.len(),
            last.as_secs_f64(),
        ));
        late += ran.len();
    }
    let verdict = if late == 0 { "held" } else { "broken" };
    stage.record.line(&format!(
        "CONFIG (strictRevocation) {verdict}: {late} requests ran"
    ));
    stage.record.calls(&calls, &runs);
    Ok(if late == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
