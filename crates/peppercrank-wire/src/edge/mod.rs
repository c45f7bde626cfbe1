// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! HTTP/1.1 servers that stream their responses and limit the resources that callers can hold.

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
pub use call::ConnectionId;
pub use call::Reply;
pub use call::refuse;
pub use call::refuse_body;
pub use limits::Limits;
pub use refusal::Counters;
pub use refusal::Refused;

use connection::Shared;
use flow::deadline_after;

/// Pause after a failed accept, which avoids a busy loop while the file descriptor table is full.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Length of the accept queue of the system.
///
/// With the default of 128, a burst of connections loses its first packets, which the clients
/// retransmit only a second later.
const BACKLOG: u32 = 4_096;

/// Maximum number of connections over the limit that are answered at the same time; others are
/// closed without a response.
const MAX_REJECTED_CONNECTIONS: u64 = 64;

/// A listening HTTP/1.1 server.
#[derive(Debug)]
pub struct Edge {
    listener: TcpListener,
    address: SocketAddr,
    counters: Arc<Counters>,
}

/// Summary of a server that has shut down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServeSummary {
    /// Number of calls since the start.
    pub calls: u64,
    /// Number of calls aborted because they exceeded the shutdown timeout.
    pub cut: u64,
}

impl Edge {
    /// Binds the server to an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Io`] if the address cannot be bound.
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

    /// Returns the address that the server listens on.
    #[must_use]
    pub const fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters of the server, which outlive it.
    #[must_use]
    pub fn counters(&self) -> Arc<Counters> {
        Arc::clone(&self.counters)
    }

    /// Serves callers until `stop` is signalled, then completes the calls in progress.
    ///
    /// The future of a call is dropped when its caller disconnects. During shutdown, each response
    /// closes its connection, and calls that exceed [`Limits::drain`] are aborted.
    pub async fn serve<F, R>(self, limits: Limits, stop: Stop, handler: F) -> ServeSummary
    where
        F: Fn(Call) -> R + Send + Sync + 'static,
        R: Future<Output = Reply> + Send + 'static,
    {
        let (_fixed, limits) = watch::channel(Arc::new(limits));
        self.serve_within(limits, stop, handler).await
    }

    /// Serves callers like [`Edge::serve`], with limits that may change.
    ///
    /// Each request is read under the limits that apply when its first byte is received.
    pub async fn serve_within<F, R>(
        self,
        limits: watch::Receiver<Arc<Limits>>,
        stop: Stop,
        handler: F,
    ) -> ServeSummary
    where
        F: Fn(Call) -> R + Send + Sync + 'static,
        R: Future<Output = Reply> + Send + 'static,
    {
        let shared = Arc::new(Shared {
            limits,
            counters: Arc::clone(&self.counters),
            handler,
        });
        let mut tasks = JoinSet::new();
        let mut signal = stop.clone();
        tokio::select! {
            () = signal.wait() => {}
            () = self.accept(&mut tasks, &shared, &stop) => {}
        }
        let limits = shared.limits();
        let stopped_at = stop.sent_at().unwrap_or_else(Instant::now);
        let end = deadline_after(stopped_at, limits.drain);
        // Callers learn of the shutdown gradually. The system resets connections that are
        // established while the listener closes, so it stays open until few new ones arrive.
        let late = self.accept(&mut tasks, &shared, &stop);
        let accept_until = deadline_after(stopped_at, limits.stop_idle).min(end);
        let _over = timeout_at(accept_until, late).await;
        while let Some(Ok((io, _))) = self.listener.accept().now_or_never() {
            admit(&mut tasks, io, &shared, &stop);
        }
        drop(self.listener);
        let cut = drain(tasks, end, &self.counters).await;
        let calls = self.counters.calls();
        ServeSummary { calls, cut }
    }
}

impl Edge {
    /// Accepts connections forever.
    async fn accept<F, R>(&self, tasks: &mut JoinSet<()>, shared: &Arc<Shared<F>>, stop: &Stop)
    where
        F: Fn(Call) -> R + Send + Sync + 'static,
        R: Future<Output = Reply> + Send + 'static,
    {
        loop {
            tokio::select! {
                accepted = self.listener.accept() => {
                    let Ok((io, _)) = accepted else {
                        self.counters.accept_failed();
                        sleep(ACCEPT_PAUSE).await;
                        continue;
                    };
                    admit(tasks, io, shared, stop);
                }
                Some(_) = tasks.join_next(), if !tasks.is_empty() => {}
            }
        }
    }
}

/// Creates a listener whose accept queue fits a burst of callers.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Lets a restarted process bind its address while old connections linger.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Counts a connection as open until it is dropped.
struct OpenConnection(Arc<Counters>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connection_closed();
    }
}

fn admit<F, R>(tasks: &mut JoinSet<()>, io: TcpStream, shared: &Arc<Shared<F>>, stop: &Stop)
where
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
    // A failure affects only latency.
    let _set = io.set_nodelay(true);
    let shared = Arc::clone(shared);
    let stop = stop.clone();
    tasks.spawn(async move {
        connection::serve_connection(io, shared, stop).await;
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

/// Waits for the connections to end and returns the number of aborted calls.
async fn drain(mut tasks: JoinSet<()>, end: Instant, counters: &Counters) -> u64 {
    let all = async { while tasks.join_next().await.is_some() {} };
    if timeout_at(end, all).await.is_ok() {
        return 0;
    }
    let cut = counters.busy();
    tasks.shutdown().await;
    cut
}
