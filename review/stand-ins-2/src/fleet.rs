//! A small deployment: a store, servers, gateways and the operator's configuration.

use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::engine::Behaviour;
use crate::engine::Engine;
use crate::gateway::Gateway;
use crate::record::Record;
use crate::store::Store;

pub const HOST: &str = "ficu95.example";
pub const MODELS: &str = "huvo11a";
pub const PLAIN: &str = "wuno96b";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const OTHER_KEY: &str = "anfqasnmgkcuyj8pjbvk";

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a request id that was not used before in this run.
pub fn next_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// The operator's desired state.
pub struct Desired {
    pub version: u64,
    pub max_body_bytes: u64,
    pub first_keys: Vec<&'static str>,
    /// Memory of an entry machine in MB, which is no part of the desired state.
    pub memory_mb: u64,
}

impl Default for Desired {
    fn default() -> Self {
        Self {
            version: 7,
            max_body_bytes: 4_194_304,
            first_keys: vec![KEY],
            memory_mb: 260,
        }
    }
}

impl Desired {
    /// Routes: `/stream/` may be resumed, `/once/` is unsafe and `/safe/` is safe.
    pub fn json(&self) -> String {
        let route = |name: &str, kind: &str, service: &str, more: &str| {
            format!(
                "{{\"name\":\"r-{name}\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\
                 \"routeKind\":\"{kind}\",\"priority\":1,\"service\":\"{service}\",\
                 \"maxAttempts\":2,\"public\":false,{more}}}"
            )
        };
        let stream = "\"timeoutMs\":15000,\"latencyGoalMs\":2000,\"sticky\":true,\
                      \"resumable\":true,\"gapTargetMs\":800";
        let plain = "\"timeoutMs\":800,\"latencyGoalMs\":300";
        let routes = [
            route("stream", "streaming", MODELS, stream),
            route("once", "unsafe", PLAIN, plain),
            route("safe", "safe", PLAIN, plain),
        ];
        let keys = self.first_keys.iter().map(|k| format!("\"{k}\""));
        let keys = keys.collect::<Vec<_>>().join(",");
        format!(
            "{{\"version\":{},\"routes\":[{}],\"services\":[\
             {{\"name\":\"{MODELS}\",\"healthPath\":\"/healthz\",\"maxConnections\":370,\
             \"engine\":{{\"slots\":64,\"kvCapacityTokens\":489350,\"kvBytes\":18432,\
             \"linkMbps\":130000.0}}}},\
             {{\"name\":\"{PLAIN}\",\"healthPath\":\"/healthz\",\"maxConnections\":110}}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":{},\"headerTimeoutMs\":3000,\
             \"idleTimeoutMs\":15000}},\"tenants\":[\
             {{\"name\":\"hule930\",\"apiKeys\":[{keys}],\"priority\":1}},\
             {{\"name\":\"bepo112\",\"apiKeys\":[\"{OTHER_KEY}\"],\"priority\":1}}]}}",
            self.version,
            routes.join(","),
            self.max_body_bytes
        )
    }
}

/// A request of a consumer.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    key: &str,
    deadline_ms: u64,
    len: usize,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nPeppercrank-Request-Id: {id}\r\n\
         Peppercrank-Deadline-Ms: {deadline_ms}\r\nPeppercrank-Key: {key}\r\n\
         Content-Length: {len}\r\n\r\n"
    )
}

/// A request of a consumer for a model engine.
pub fn stream_request(path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nPeppercrank-Request-Id: {id}\r\n\
         Peppercrank-Model: m\r\nPeppercrank-Token-Usage: 1460,80\r\n\
         Peppercrank-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,{id}:250\r\n\
         Peppercrank-Deadline-Ms: {deadline_ms}\r\nPeppercrank-Key: {KEY}\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

pub struct Fleet {
    pub record: Record,
    pub store: Store,
    pub gateways: Vec<Gateway>,
    pub models: Vec<Engine>,
    pub plain: Vec<Engine>,
    place: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            gateway.kill();
        }
        let _removed = std::fs::remove_dir_all(&self.place);
    }
}

impl Fleet {
    /// Starts everything and waits until the gateways are ready. A port may have been taken before a
    /// gateway binds it, so that a failed start is repeated with others.
    pub fn start(
        out: &Path,
        gateways: usize,
        models: usize,
        plain: usize,
        desired: &Desired,
    ) -> std::io::Result<Self> {
        let start = || Self::start_once(out, gateways, models, plain, desired);
        start().or_else(|_| start()).or_else(|_| start())
    }

    fn start_once(
        out: &Path,
        gateways: usize,
        models: usize,
        plain: usize,
        desired: &Desired,
    ) -> std::io::Result<Self> {
        let record = Record::new(&out.join("record.txt"))?;
        let place = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&place)?;
        let store = Store::start()?;
        store.put("config", "main", &desired.json());
        let start = |prefix: &str, count: usize, behaviour| {
            let names = (1..=count).map(|i| format!("i-{prefix}{i}"));
            let engines = names.map(|name| Engine::start(&name, behaviour, &record));
            engines.collect::<std::io::Result<Vec<_>>>()
        };
        let models = start("model", models, Behaviour::Events)?;
        let plain = start("plain", plain, Behaviour::Plain(60))?;
        let mut fleet = Self {
            record,
            store,
            gateways: Vec::new(),
            models,
            plain,
            place,
        };
        for engine in &fleet.models {
            fleet
                .store
                .put("servers", &engine.name, &engine.entry(MODELS, 64, "ready"));
        }
        for engine in &fleet.plain {
            fleet
                .store
                .put("servers", &engine.name, &engine.entry(PLAIN, 6, "ready"));
        }
        for index in 1..=gateways {
            let mut gateway =
                Gateway::new(index, &fleet.place, fleet.store.address, desired.memory_mb)?;
            gateway.start()?;
            fleet.gateways.push(gateway);
        }
        for gateway in &fleet.gateways {
            if !gateway.wait_until_ready(Duration::from_secs(10)) {
                return Err(std::io::Error::other("a gateway is not ready"));
            }
        }
        fleet.record.line("all gateways are ready");
        Ok(fleet)
    }
}
