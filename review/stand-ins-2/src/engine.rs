//! Stand-in of a server: a plain service or a model engine that streams events.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// How a server answers.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// A plain answer after this many milliseconds.
    Plain(u64),
    /// A stream of ten events, 20 ms apart.
    Events,
    /// In trouble: a failure whose body never ends, in pieces of this many bytes.
    EndlessFailure(usize),
}

/// A request that a server ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: u64,
    pub tenant: String,
}

#[derive(Clone)]
pub struct Engine {
    pub name: String,
    pub address: SocketAddr,
    behaviour: Arc<Mutex<Behaviour>>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl Engine {
    pub fn start(name: &str, behaviour: Behaviour, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let engine = Self {
            name: name.to_owned(),
            address: listener.local_addr()?,
            behaviour: Arc::new(Mutex::new(behaviour)),
            runs: Arc::default(),
            record: record.clone(),
        };
        let shared = engine.clone();
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let engine = shared.clone();
                thread::spawn(move || engine.serve(io));
            }
        });
        Ok(engine)
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// The spec of its entry in the store.
    pub fn entry(&self, service: &str, slots: u32, state: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\"born\":1700000000000,\
             \"sequence\":1}}",
            self.address
        )
    }

    fn serve(&self, io: TcpStream) {
        let _set = io.set_nodelay(true);
        let Ok(mut out) = io.try_clone() else { return };
        let mut reader = BufReader::new(io);
        while let Ok(request) = http::read(&mut reader) {
            if self.answer(&request, &mut out).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message, out: &mut TcpStream) -> std::io::Result<()> {
        let id = request.header("peppercrank-request-id").unwrap_or("");
        let expected = request.header("peppercrank-expect-instance");
        if expected.is_some_and(|e| e != self.name) {
            let head = "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n";
            return out.write_all(head.as_bytes());
        }
        self.record.line(&format!("run id={id} at={}", self.name));
        self.runs.lock().unwrap().push(Run {
            at: self.record.ms(),
            tenant: request
                .header("peppercrank-tenant")
                .unwrap_or("")
                .to_owned(),
        });
        let behaviour = *self.behaviour.lock().unwrap();
        let head = |status: u16, more: &str| {
            format!(
                "HTTP/1.1 {status} X\r\nPeppercrank-Request-Id: {id}\r\n\
                 Peppercrank-Server-Stamp: s.{id}\r\n{more}\r\n"
            )
        };
        let chunked = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        match behaviour {
            Behaviour::Plain(ms) => {
                thread::sleep(Duration::from_millis(ms));
                let body = "x".repeat(800);
                out.write_all((head(200, "Content-Length: 800\r\n") + &body).as_bytes())
            }
            Behaviour::Events => {
                out.write_all(head(200, chunked).as_bytes())?;
                for i in 1..=10 {
                    thread::sleep(Duration::from_millis(20));
                    let event = format!("id: {i}\ndata: piece {i}\n\n");
                    out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
                }
                out.write_all(b"0\r\n\r\n")
            }
            Behaviour::EndlessFailure(size) => endless(out, &head(500, chunked), size),
        }
    }
}

/// Sends a body without end, until the caller closes.
fn endless(out: &mut TcpStream, head: &str, size: usize) -> std::io::Result<()> {
    out.write_all(head.as_bytes())?;
    let piece = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
    let block = piece.repeat((16_384 / piece.len()).max(1));
    loop {
        out.write_all(block.as_bytes())?;
    }
}
