// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! HTTP/1.1 edges: servers that stream their answers and bound what callers can hold.

mod call;
mod connection;
mod flow;
mod gate;
mod head;
mod limits;
mod refusal;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::Result;
use crate::errors;
use crate::errors::Step;
use crate::stop::Stop;

pub use call::Call;
pub use call::CallBody;
pub use call::Reply;
pub use call::refuse;
pub use call::refuse_body;
pub use limits::Limits;
pub use refusal::Counters;
pub use refusal::Refused;

use connection::Shared;
use flow::deadline_after;

/// Pause after a failed accept, so that a full descriptor table is not polled in a tight loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Connections that the system may hold ready; the default of 128 drops a burst's first packets,
/// which come again a second later.
const BACKLOG: u32 = 4_096;

/// Callers over the limit that are told so at once; those beyond are closed without a word.
const MAX_REJECTED_CONNECTIONS: u64 = 64;

/// `Edge` is a listening HTTP/1.1 server.
#[derive(Debug)]
pub struct Edge {
    listener: TcpListener,
    address: SocketAddr,
    counters: Arc<Counters>,
}

/// `Finished` is how an edge ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServeSummary {
    /// Calls taken up since the start.
    pub calls: u64,
    /// Calls cut off since they outlasted the time for stopping.
    pub cut: u64,
}

impl Edge {
    /// `bind` listens on an address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Io`] when the address cannot be bound.
    #[expect(
        clippy::unused_async,
        reason = "listening needs a runtime, which an async function has"
    )]
    pub async fn bind(address: SocketAddr) -> Result<Self> {
        let listener = listen(address).map_err(|e| errors::io(Step::Bind, &e))?;
        let address = listener.local_addr();
        Ok(Self {
            address: address.map_err(|e| errors::io(Step::Bind, &e))?,
            listener,
            counters: Arc::default(),
        })
    }

    /// `local_addr` is where the edge listens.
    #[must_use]
    pub const fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// `counters` are the edge's counters, which outlive it.
    #[must_use]
    pub fn counters(&self) -> Arc<Counters> {
        Arc::clone(&self.counters)
    }

    /// `serve` answers callers until told to stop, then finishes what is in progress.
    ///
    /// Each call's answering future is dropped when its caller goes away. Once stopping, answers
    /// close their connections and what outlasts [`Limits::drain`] is cut.
    pub async fn serve<F, R>(self, limits: Limits, stop: Stop, answer: F) -> ServeSummary
    where
        F: Fn(Call) -> R + Send + Sync + 'static,
        R: Future<Output = Reply> + Send + 'static,
    {
        let (_fixed, limits) = watch::channel(Arc::new(limits));
        self.serve_within(limits, stop, answer).await
    }

    /// `serve_within` is [`Edge::serve`] with limits that may change; a connection keeps those
    /// that it began with.
    pub async fn serve_within<F, R>(
        self,
        limits: watch::Receiver<Arc<Limits>>,
        stop: Stop,
        answer: F,
    ) -> ServeSummary
    where
        F: Fn(Call) -> R + Send + Sync + 'static,
        R: Future<Output = Reply> + Send + 'static,
    {
        let shared = Arc::new(Shared {
            limits,
            counters: Arc::clone(&self.counters),
            answer,
        });
        let mut tasks = JoinSet::new();
        let mut signal = stop.clone();
        tokio::select! {
            () = signal.wait() => {}
            () = self.accept(&mut tasks, &shared, &stop) => {}
        }
        let limits = shared.limits();
        let end = deadline_after(Instant::now(), limits.drain);
        // Callers hear of the stop by and by. One that the system connects as the listener closes
        // is reset, so it closes only when few come any more.
        let late = self.accept(&mut tasks, &shared, &stop);
        let time = limits.stop_idle.min(limits.drain);
        let _over = timeout(time, late).await;
        while let Some(Ok((io, peer))) = self.listener.accept().now_or_never() {
            admit(&mut tasks, io, peer, &shared, &stop);
        }
        drop(self.listener);
        let cut = drain(tasks, end, &self.counters).await;
        let calls = self.counters.calls();
        ServeSummary { calls, cut }
    }
}

impl Edge {
    /// Takes up connections for ever.
    async fn accept<F, R>(&self, tasks: &mut JoinSet<()>, shared: &Arc<Shared<F>>, stop: &Stop)
    where
        F: Fn(Call) -> R + Send + Sync + 'static,
        R: Future<Output = Reply> + Send + 'static,
    {
        loop {
            tokio::select! {
                accepted = self.listener.accept() => {
                    let Ok((io, peer)) = accepted else {
                        self.counters.accept_failed();
                        sleep(ACCEPT_PAUSE).await;
                        continue;
                    };
                    admit(tasks, io, peer, shared, stop);
                }
                Some(_) = tasks.join_next(), if !tasks.is_empty() => {}
            }
        }
    }
}

/// Listens with a queue that a burst of callers fits in.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A restarted process takes its address back although old connections linger.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// `Open` counts a connection as open until it is dropped.
struct OpenConnection(Arc<Counters>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connection_closed();
    }
}

fn admit<F, R>(
    tasks: &mut JoinSet<()>,
    io: TcpStream,
    peer: SocketAddr,
    shared: &Arc<Shared<F>>,
    stop: &Stop,
) where
    F: Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    let open_count = shared.counters.connection_opened();
    let open = OpenConnection(Arc::clone(&shared.counters));
    let limits = shared.limits();
    let max = limits.connections as u64;
    if open_count > max {
        shared.counters.refuse(Refused::Connections);
        if open_count - max <= MAX_REJECTED_CONNECTIONS {
            tasks.spawn(reject_connection(io, open, limits));
        }
        return;
    }
    // Without it only the latency suffers.
    let _set = io.set_nodelay(true);
    let shared = Arc::clone(shared);
    let stop = stop.clone();
    tasks.spawn(async move {
        connection::serve_connection(io, peer, shared, stop).await;
        drop(open);
    });
}

async fn reject_connection(mut io: TcpStream, open: OpenConnection, limits: Arc<Limits>) {
    let sent = timeout(
        limits.linger,
        io.write_all(&call::raw_response(Refused::Connections)),
    )
    .await;
    if matches!(sent, Ok(Ok(()))) {
        connection::close(io, &limits).await;
    }
    drop(open);
}

/// Waits for the connections' ends and returns how many calls were cut.
async fn drain(mut tasks: JoinSet<()>, end: Instant, counters: &Counters) -> u64 {
    let all = async { while tasks.join_next().await.is_some() {} };
    if timeout_at(end, all).await.is_ok() {
        return 0;
    }
    let cut = counters.busy();
    tasks.shutdown().await;
    cut
}
