//! Open channels to the store go silent for good, and a server drains more than `contactMs` later.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::Stage;
use crate::Verdict;
use crate::client::Call;
use crate::client::call;
use crate::engine::Answer;
use crate::engine::Engine;
use crate::engine::Run;
use crate::engine::Runs;
use crate::fleet::Gateway;
use crate::proxy::Proxy;
use crate::store::Store;

const ZONES: [&str; 4] = ["ulemiste", "muuga", "lasnamae", "rae"];
const SERVICE: &str = "packfloor-app";
const EPISODES: u32 = 8;

/// Time from the exit of a server to the next silence, and by how much it grows with each episode,
/// so that the silences fall on different moments of the watches.
const REST: Duration = Duration::from_millis(4_800);
const REST_GROWS: Duration = Duration::from_millis(350);

/// `contactMs`, after which calm machines are in touch again.
const CONTACT: Duration = Duration::from_millis(3_000);

/// `drainMs`.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time from the end of `contactMs` until a server drains.
const MARGIN: Duration = Duration::from_millis(200);

/// Time for which a draining server goes on serving beyond `drainMs`.
const LONGER: Duration = Duration::from_millis(700);

/// Pause between two requests to one gateway.
const PAUSE: Duration = Duration::from_millis(30);

/// A server that drained.
struct Drained {
    id: String,
    silenced: Instant,
    accepted: Instant,
}

pub async fn play(mut stage: Stage<'_>) -> io::Result<Verdict> {
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
    store.put(
        "config",
        "main",
        &json!({
            "version": 7,
            "routes": [{ "name": "r-confirm", "hostname": "site.example", "pathPrefix": "/confirm/",
                "routeKind": "unsafe", "timeoutMs": 1500, "latencyGoalMs": 300, "priority": 1,
                "service": SERVICE, "maxAttempts": 1, "public": false }],
            "services": [{ "name": SERVICE, "healthPath": "/healthz", "maxConnections": 110,
                "protocol": "h1", "tls": false }],
            "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000 },
            "tenants": [{ "name": "t-one", "apiKeys": ["key-one"] }],
        }),
    );
    let mut proxies = Vec::new();
    let mut gateways = Vec::new();
    for (i, zone) in ZONES.iter().enumerate() {
        let proxy = Proxy::start(store.address).await?;
        let name = format!("edge-{zone}-{}", i + 1);
        gateways.push(Gateway::new(&name, zone, proxy.address, stage.place)?);
        proxies.push(proxy);
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
        let (to, calls) = (gateway.listen, Arc::clone(&calls));
        senders.push(tokio::spawn(async move {
            for n in 0_u64.. {
                let calls = Arc::clone(&calls);
                tokio::spawn(async move {
                    let seen = call(g, to, "/confirm/x", "key-one", format!("q-{g}-{n}")).await;
                    calls.lock().unwrap().push(seen);
                });
                sleep(PAUSE).await;
            }
        }));
    }

    let mut drained = Vec::new();
    for episode in 0..EPISODES {
        let silenced = Instant::now();
        if stage.trouble {
            for proxy in &proxies {
                proxy.silence_open_channels();
            }
            stage
                .record
                .line("the open channels to the store go silent; new ones work");
        }
        sleep_until(silenced + CONTACT + MARGIN).await;
        let leaving = engines.remove(0);
        let accepted = leaving.drain(&store);
        stage.record.line(&format!(
            "the store accepts that {} is draining",
            leaving.id
        ));
        let id = format!("i-{}-{}", leaving.zone, episode + 1);
        engines.push(Engine::start(&id, SERVICE, &leaving.zone, answer, &store, &runs).await?);
        drained.push(Drained {
            id: leaving.id.clone(),
            silenced,
            accepted,
        });
        sleep_until(accepted + DRAIN + LONGER).await;
        leaving.exit(&store);
        sleep(REST + REST_GROWS * episode).await;
    }
    for sender in senders {
        sender.abort();
    }
    sleep(Duration::from_secs(2)).await;

    let (calls, runs) = (calls.lock().unwrap().clone(), runs.lock().unwrap().clone());
    let mut late = 0;
    let mut lost = 0;
    for server in &drained {
        let arrived = runs.iter().filter(|r| r.engine == server.id);
        let arrived = arrived
            .filter(|r| r.at > server.accepted + DRAIN)
            .collect::<Vec<_>>();
        let by = |g: usize| {
            let from = format!("q-{g}-");
            arrived
                .iter()
                .filter(|r| r.request.starts_with(&from))
                .count()
        };
        let last = arrived.iter().map(|r| r.at).max();
        let last = last.map(|at| (at - server.accepted).as_secs_f64());
        stage.record.line(&format!(
            "{}: draining accepted {:.3} s after the silence; {} requests reached it later than \
             {} ms after that (from gateways 0 to 3: {} {} {} {}), the last one after {:.3} s",
            server.id,
            (server.accepted - server.silenced).as_secs_f64(),
            arrived.len(),
            DRAIN.as_millis(),
            by(0),
            by(1),
            by(2),
            by(3),
            last.unwrap_or_default(),
        ));
        late += arrived.len();
        let failed = |r: &&&Run| calls.iter().any(|c| c.id == r.request && c.status != 200);
        lost += arrived.iter().filter(failed).count();
    }
    let ok = calls.iter().filter(|c| c.status == 200).count();
    stage.record.line(&format!(
        "{} requests sent, {ok} answered with 200",
        calls.len()
    ));
    let verdict = if late == 0 { "held" } else { "broken" };
    stage.record.line(&format!(
        "DRAIN {verdict}: {late} late requests, {lost} of them run and not answered with 200"
    ));
    stage.record.calls(&calls, &runs);
    Ok(if late == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
