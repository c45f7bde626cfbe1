//! The platform's store: objects by kind and name, lists, watches, and restores from a copy.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::http::Message;
use crate::http::Reader;

/// Objects on a page of a list.
const PAGE: usize = 500;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Debug, Clone, Default)]
pub struct Objects {
    revision: u64,
    entries: BTreeMap<(String, String), Value>,
    history: Vec<(u64, String, Value)>,
}

struct Inner {
    objects: Objects,
    era: u64,
    away: bool,
}

#[derive(Clone)]
pub struct Store {
    inner: Arc<Mutex<Inner>>,
    changed: watch::Sender<u64>,
    pub address: SocketAddr,
}

impl Objects {
    fn put(&mut self, kind: &str, name: &str, spec: &Value) -> Value {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(old) = self.entries.get(&key)
            && old["spec"] == *spec
        {
            return old.clone();
        }
        self.revision += 1;
        let object = json!({
            "metadata": { "name": name, "revision": self.revision, "created": 1,
                "finalizers": [], "deletionPending": false },
            "spec": spec, "status": null,
        });
        self.entries.insert(key, object.clone());
        let event = json!({ "deleted": false, "object": object });
        self.history.push((self.revision, kind.to_owned(), event));
        object
    }

    fn delete(&mut self, kind: &str, name: &str) -> Option<Value> {
        let object = self.entries.remove(&(kind.to_owned(), name.to_owned()))?;
        self.revision += 1;
        let event = json!({ "deleted": true, "object": object });
        self.history.push((self.revision, kind.to_owned(), event));
        Some(object)
    }

    fn get(&self, kind: &str, name: &str) -> Option<&Value> {
        self.entries.get(&(kind.to_owned(), name.to_owned()))
    }

    fn list(&self, kind: &str, after: Option<&str>) -> Value {
        let of_kind = self.entries.iter().filter(|((k, _), _)| k == kind);
        let rest = of_kind.filter(|((_, n), _)| after.is_none_or(|a| n.as_str() > a));
        let rest = rest.map(|(_, object)| object).collect::<Vec<_>>();
        let more = rest.len() > PAGE;
        let items = rest.into_iter().take(PAGE).collect::<Vec<_>>();
        json!({ "items": items, "hasMore": more, "asOf": self.revision })
    }

    /// The changes after a revision; `None` if the store doesn't have that revision.
    fn changes(&self, kind: &str, after: u64) -> Option<Vec<Value>> {
        if after > self.revision {
            return None;
        }
        let events = self
            .history
            .iter()
            .filter(|(r, k, _)| *r > after && k == kind);
        Some(events.map(|(_, _, event)| event.clone()).collect())
    }
}

impl Store {
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let inner = Inner {
            objects: Objects::default(),
            era: 1,
            away: false,
        };
        let store = Self {
            inner: Arc::new(Mutex::new(inner)),
            changed: watch::Sender::new(0),
            address: listener.local_addr()?,
        };
        let served = store.clone();
        tokio::spawn(async move {
            while let Ok((io, _)) = listener.accept().await {
                tokio::spawn(served.clone().serve(io));
            }
        });
        Ok(store)
    }

    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        self.inner.lock().unwrap().objects.put(kind, name, spec);
        self.changed.send_modify(|n| *n += 1);
    }

    pub fn delete(&self, kind: &str, name: &str) {
        self.inner.lock().unwrap().objects.delete(kind, name);
        self.changed.send_modify(|n| *n += 1);
    }

    /// A copy from which the store can be restored.
    pub fn copy(&self) -> Objects {
        self.inner.lock().unwrap().objects.clone()
    }

    /// Takes the store away: each channel is closed, and each call is answered with 503.
    pub fn go_away(&self) {
        self.inner.lock().unwrap().away = true;
        self.changed.send_modify(|n| *n += 1);
    }

    /// Brings the store back from a copy, in the next era.
    pub fn come_back_from(&self, copy: Objects) {
        let mut inner = self.inner.lock().unwrap();
        inner.objects = copy;
        inner.era += 1;
        inner.away = false;
        drop(inner);
        self.changed.send_modify(|n| *n += 1);
    }

    async fn serve(self, io: TcpStream) {
        let _set = io.set_nodelay(true);
        let (read, mut write) = io.into_split();
        let mut reader = Reader::new(read);
        while let Some(request) = reader.message().await {
            sleep(ANSWER_TIME).await;
            let (status, body) = self.answer(&request).await;
            let era = self.inner.lock().unwrap().era;
            let text = body.to_string();
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n",
                text.len(),
            );
            let answer = head + &text;
            if write.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, request: &Message) -> (u16, Value) {
        if self.inner.lock().unwrap().away {
            return (503, Value::Null);
        }
        let (path, query) = request
            .word(1)
            .split_once('?')
            .unwrap_or((request.word(1), ""));
        let Some(rest) = path.strip_prefix("/-/objects/") else {
            return (404, Value::Null);
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs
                .into_iter()
                .find(|(n, _)| *n == name)
                .map(|(_, v)| v.to_owned())
        };
        let number = |name: &str| parameter(name).and_then(|v| v.parse::<u64>().ok());
        let body = serde_json::from_slice::<Value>(&request.body).unwrap_or_default();
        match request.word(0) {
            "GET" if number("watch").is_some() => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                self.watch(kind, number("watch").unwrap_or(0), wait).await
            }
            "GET" if name.is_empty() => {
                let inner = self.inner.lock().unwrap();
                (200, inner.objects.list(kind, parameter("after").as_deref()))
            }
            "GET" => match self.inner.lock().unwrap().objects.get(kind, name) {
                Some(object) => (200, object.clone()),
                None => (404, Value::Null),
            },
            method => {
                let answer = self.write(method, kind, name, number("revision"), &body);
                self.changed.send_modify(|n| *n += 1);
                answer
            }
        }
    }

    fn write(
        &self,
        method: &str,
        kind: &str,
        name: &str,
        revision: Option<u64>,
        body: &Value,
    ) -> (u16, Value) {
        let mut inner = self.inner.lock().unwrap();
        let objects = &mut inner.objects;
        let named = body["metadata"]["name"].as_str().unwrap_or("");
        let name = if method == "POST" { named } else { name };
        let old = objects.get(kind, name).cloned();
        let revision = revision.or(body["metadata"]["revision"].as_u64());
        match (method, old) {
            ("POST", Some(old)) => (409, old),
            ("PUT" | "DELETE", None) => (404, Value::Null),
            (_, Some(old)) if revision.is_some_and(|r| old["metadata"]["revision"] != r) => {
                (409, old)
            }
            ("POST" | "PUT", _) => (200, objects.put(kind, name, &body["spec"])),
            ("DELETE", _) => (200, objects.delete(kind, name).unwrap_or_default()),
            _ => (405, Value::Null),
        }
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, Value) {
        let until = Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            let (away, events, revision) = {
                let inner = self.inner.lock().unwrap();
                let objects = &inner.objects;
                (inner.away, objects.changes(kind, after), objects.revision)
            };
            let Some(events) = events else {
                return (410, Value::Null);
            };
            if away {
                return (503, Value::Null);
            }
            let late = Instant::now() >= until;
            if late || !events.is_empty() {
                return (200, json!({ "events": events, "asOf": revision }));
            }
            let _late = timeout_at(until, changed.changed()).await;
        }
    }
}
