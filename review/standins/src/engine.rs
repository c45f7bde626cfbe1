//! A server of a service, which registers itself in the store and records what it runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::http::Message;
use crate::http::Reader;
use crate::store::Store;

/// A request that a server ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub engine: String,
    pub request: String,
    pub path: String,
    pub tenant: String,
}

/// How a server answers.
#[derive(Debug, Clone, Copy)]
pub enum Answer {
    /// As a whole of this length, after this time.
    Whole { bytes: usize, after: Duration },
    /// As a stream of events with this pause before each.
    Stream { events: usize, pause: Duration },
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    draining: Arc<AtomicBool>,
    gone: watch::Sender<bool>,
    listening: AbortHandle,
}

impl Engine {
    /// Starts a server and registers it.
    pub async fn start(
        id: &str,
        service: &str,
        zone: &str,
        answer: Answer,
        store: &Store,
        runs: &Runs,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let draining = Arc::new(AtomicBool::new(false));
        let gone = watch::Sender::new(false);
        let server = Server {
            gone: gone.subscribe(),
            id: id.to_owned(),
            answer,
            runs: Arc::clone(runs),
            draining: Arc::clone(&draining),
        };
        let listening = tokio::spawn(async move {
            while let Ok((io, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve(io));
            }
        });
        let engine = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            draining,
            gone,
            listening: listening.abort_handle(),
        };
        engine.register(store);
        Ok(engine)
    }

    fn entry(&self) -> Value {
        let draining = self.draining.load(Ordering::Relaxed);
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": "v1", "slots": 64, "state": if draining { "draining" } else { "ready" },
            "coldRemainingMs": 0, "sequence": 1,
        })
    }

    /// Writes the server's entry.
    pub fn register(&self, store: &Store) {
        store.put("servers", &self.id, &self.entry());
    }

    /// Reports that the server is draining; it goes on serving. Returns when the store accepted it.
    pub fn drain(&self, store: &Store) -> Instant {
        self.draining.store(true, Ordering::Relaxed);
        self.register(store);
        Instant::now()
    }

    /// Ends the server with all of its channels, and removes the entry.
    pub fn exit(&self, store: &Store) {
        self.listening.abort();
        self.gone.send_replace(true);
        store.delete("servers", &self.id);
    }
}

#[derive(Clone)]
struct Server {
    id: String,
    answer: Answer,
    runs: Runs,
    draining: Arc<AtomicBool>,
    gone: watch::Receiver<bool>,
}

impl Server {
    async fn serve(self, io: TcpStream) {
        let mut gone = self.gone.clone();
        tokio::select! {
            _ = gone.wait_for(|gone| *gone) => {}
            () = self.serve_channel(io) => {}
        }
    }

    async fn serve_channel(&self, io: TcpStream) {
        let _set = io.set_nodelay(true);
        let (read, mut write) = io.into_split();
        let mut reader = Reader::new(read);
        while let Some(request) = reader.message().await {
            let Some(id) = self.begin(&request) else {
                let refusal = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nPeppercrank-Instance: {}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.id
                );
                if write.write_all(refusal.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            };
            let sent = match self.answer {
                Answer::Whole { bytes, after } => {
                    sleep(after).await;
                    write
                        .write_all(self.whole_answer(&id, bytes).as_bytes())
                        .await
                }
                Answer::Stream { events, pause } => {
                    self.stream_answer(&id, events, pause, &mut write).await
                }
            };
            if sent.is_err() || self.draining.load(Ordering::Relaxed) {
                return;
            }
        }
    }

    /// Begins to run a request and returns its id; `None` if it is for another instance.
    fn begin(&self, request: &Message) -> Option<String> {
        let expected = request.header("peppercrank-expect-instance");
        if expected.is_some_and(|e| e != self.id) {
            return None;
        }
        let id = request
            .header("peppercrank-request-id")
            .unwrap_or("")
            .to_owned();
        self.runs.lock().unwrap().push(Run {
            at: Instant::now(),
            engine: self.id.clone(),
            request: id.clone(),
            path: request.word(1).to_owned(),
            tenant: request
                .header("peppercrank-tenant")
                .unwrap_or("")
                .to_owned(),
        });
        Some(id)
    }

    /// The head of an answer, without how its end is told.
    fn head(&self, id: &str) -> String {
        let close = if self.draining.load(Ordering::Relaxed) {
            "Connection: close\r\n"
        } else {
            ""
        };
        format!(
            "HTTP/1.1 200 OK\r\nPeppercrank-Request-Id: {id}\r\nPeppercrank-Server-Stamp: s.{}\r\n\
             Peppercrank-Server-Load: 1,0,64\r\n{close}",
            self.id,
        )
    }

    fn whole_answer(&self, id: &str, bytes: usize) -> String {
        let mut body = format!("done {id}\n");
        while body.len() < bytes {
            body.push_str(&format!("line {} of the answer to {id}\n", body.len()));
        }
        format!(
            "{}Content-Length: {}\r\n\r\n{body}",
            self.head(id),
            body.len()
        )
    }

    async fn stream_answer(
        &self,
        id: &str,
        events: usize,
        pause: Duration,
        write: &mut OwnedWriteHalf,
    ) -> std::io::Result<()> {
        let head = self.head(id);
        let head =
            format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        write.write_all(head.as_bytes()).await?;
        for number in 1..=events {
            sleep(pause).await;
            let event = format!("id: {number}\ndata: part {number} of {events} for {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            write.write_all(chunk.as_bytes()).await?;
        }
        write.write_all(b"0\r\n\r\n").await
    }
}
