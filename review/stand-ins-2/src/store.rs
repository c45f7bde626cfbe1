//! Stand-in of the platform's store: objects by kind with lists, watches and conditional writes.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// Kind, name and spec (JSON text), with the revision of the last change.
type Objects = BTreeMap<(String, String), (String, u64)>;

#[derive(Clone, Default)]
struct Data {
    objects: Objects,
    /// Revision, kind, name and spec; `None` for a removal.
    history: Vec<(u64, String, String, Option<String>)>,
    revision: u64,
}

#[derive(Default)]
struct Inner {
    data: Data,
    era: u64,
    away: bool,
    /// Watches of this kind that wait now go silent: nothing more comes over their channels.
    silent: Option<String>,
    /// Counts the watches that wait, by kind.
    waiting: BTreeMap<String, usize>,
}

#[derive(Clone)]
pub struct Store {
    inner: Arc<(Mutex<Inner>, Condvar)>,
    pub address: SocketAddr,
}

/// A copy of the store's objects.
pub struct Copy(Data);

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            inner: Arc::default(),
            address: listener.local_addr()?,
        };
        store.inner.0.lock().unwrap().era = 1;
        let shared = store.clone();
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(io));
            }
        });
        Ok(store)
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let (inner, changed) = &*self.inner;
        let mut inner = inner.lock().unwrap();
        put(&mut inner.data, kind, name, Some(spec.to_owned()));
        changed.notify_all();
    }

    /// Silences the channels over which a watch of this kind waits now.
    pub fn silence_waiting(&self, kind: &str) -> usize {
        let (inner, changed) = &*self.inner;
        let mut inner = inner.lock().unwrap();
        inner.silent = Some(kind.to_owned());
        changed.notify_all();
        let count = inner.waiting.get(kind).copied().unwrap_or(0);
        drop(inner);
        thread::sleep(Duration::from_millis(20));
        self.inner.0.lock().unwrap().silent = None;
        count
    }

    pub fn copy(&self) -> Copy {
        Copy(self.inner.0.lock().unwrap().data.clone())
    }

    /// Takes the store away: it refuses every call by closing the channel.
    pub fn go_away(&self) {
        self.inner.0.lock().unwrap().away = true;
        self.inner.1.notify_all();
    }

    /// Brings the store back from a copy, in the next era.
    pub fn come_back(&self, copy: Copy) {
        let mut inner = self.inner.0.lock().unwrap();
        inner.data = copy.0;
        inner.era += 1;
        inner.away = false;
    }

    fn serve(&self, io: TcpStream) {
        let _set = io.set_nodelay(true);
        let Ok(mut out) = io.try_clone() else { return };
        let mut reader = BufReader::new(io);
        while let Ok(request) = http::read(&mut reader) {
            if self.inner.0.lock().unwrap().away {
                return;
            }
            let Some((status, body)) = self.answer(&request) else {
                // The channel is silent, but stays open.
                thread::sleep(Duration::from_secs(300));
                return;
            };
            let (away, era) = {
                let inner = self.inner.0.lock().unwrap();
                (inner.away, inner.era)
            };
            if away {
                return;
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Answers a call; `None` if its channel went silent.
    fn answer(&self, request: &http::Message) -> Option<(u16, String)> {
        let mut words = request.first.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
        };
        let path = path.strip_prefix("/-/objects/").unwrap_or("");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        match method {
            "GET" => match query("watch").and_then(|w| w.parse::<u64>().ok()) {
                Some(since) => {
                    let wait = query("waitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
                    self.watch(kind, since, Duration::from_millis(wait))
                }
                None => Some((200, self.list(kind))),
            },
            "POST" | "PUT" => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let spec = field(&text, "\"spec\":").unwrap_or("{}").to_owned();
                let own = field(&text, "\"name\":")
                    .unwrap_or("\"\"")
                    .trim_matches('"');
                let name = if method == "POST" { own } else { name };
                let (inner, changed) = &*self.inner;
                let mut inner = inner.lock().unwrap();
                let key = (kind.to_owned(), name.to_owned());
                if method == "POST" && inner.data.objects.contains_key(&key) {
                    return Some((409, "{}".to_owned()));
                }
                put(&mut inner.data, kind, name, Some(spec));
                changed.notify_all();
                Some((200, "{}".to_owned()))
            }
            "DELETE" => {
                let (inner, changed) = &*self.inner;
                let mut inner = inner.lock().unwrap();
                let key = (kind.to_owned(), name.to_owned());
                let Some((_, revision)) = inner.data.objects.get(&key) else {
                    return Some((404, "{}".to_owned()));
                };
                if query("revision").is_some_and(|r| r != revision.to_string()) {
                    return Some((409, "{}".to_owned()));
                }
                put(&mut inner.data, kind, name, None);
                changed.notify_all();
                Some((200, "{}".to_owned()))
            }
            _ => Some((405, "{}".to_owned())),
        }
    }

    fn list(&self, kind: &str) -> String {
        let inner = self.inner.0.lock().unwrap();
        let of_kind = inner.data.objects.iter().filter(|((k, _), _)| k == kind);
        let items = of_kind.map(|((_, name), (spec, revision))| object(name, *revision, spec));
        let items = items.collect::<Vec<_>>().join(",");
        let revision = inner.data.revision;
        format!("{{\"items\":[{items}],\"hasMore\":false,\"asOf\":{revision}}}")
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> Option<(u16, String)> {
        let until = Instant::now() + wait;
        let (inner, changed) = &*self.inner;
        let mut inner = inner.lock().unwrap();
        *inner.waiting.entry(kind.to_owned()).or_default() += 1;
        let answer = loop {
            if inner.silent.as_deref() == Some(kind) {
                break None;
            }
            if since > inner.data.revision {
                break Some((410, "{}".to_owned()));
            }
            let new = inner.data.history.iter();
            let new = new.filter(|(r, k, _, _)| *r > since && k == kind);
            let events = new.map(|(r, _, name, spec)| match spec {
                Some(spec) => format!(
                    "{{\"deleted\":false,\"object\":{}}}",
                    object(name, *r, spec)
                ),
                None => format!(
                    "{{\"deleted\":true,\"object\":{}}}",
                    object(name, *r, "null")
                ),
            });
            let events = events.collect::<Vec<_>>();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || inner.away {
                let (events, revision) = (events.join(","), inner.data.revision);
                let body = format!("{{\"events\":[{events}],\"asOf\":{revision}}}");
                break Some((200, body));
            }
            inner = changed.wait_timeout(inner, left).unwrap().0;
        };
        *inner.waiting.entry(kind.to_owned()).or_default() -= 1;
        answer
    }
}

fn put(data: &mut Data, kind: &str, name: &str, spec: Option<String>) {
    data.revision += 1;
    let key = (kind.to_owned(), name.to_owned());
    match &spec {
        Some(spec) => data.objects.insert(key, (spec.clone(), data.revision)),
        None => data.objects.remove(&key),
    };
    let change = (data.revision, kind.to_owned(), name.to_owned(), spec);
    data.history.push(change);
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"deletionPending\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

/// Returns the JSON value that follows a key, up to its end.
fn field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let from = text.find(key)? + key.len();
    let rest = text[from..].trim_start();
    let (mut depth, mut quoted) = (0, false);
    for (i, c) in rest.char_indices() {
        match c {
            '"' => quoted = !quoted,
            '{' | '[' if !quoted => depth += 1,
            '}' | ']' if !quoted && depth > 0 => depth -= 1,
            '}' | ',' if !quoted && depth == 0 => return Some(&rest[..i]),
            _ => {}
        }
        let closed = !quoted && depth == 0 && matches!(c, '}' | ']' | '"');
        if closed && i > 0 {
            return Some(&rest[..=i]);
        }
    }
    Some(rest)
}
