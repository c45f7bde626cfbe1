// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One connection of a client.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::body::Body;

use super::Cause;

/// Most bytes buffered of a connection's answers, and so of an answer's head.
const MAX_BUFFER_BYTES: usize = 64 * 1_024;

/// `Driver` runs a connection; dropping it closes the connection at once.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// `Link` is one open connection; dropping it closes the connection.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: SendRequest<Body>,
    _driver: Driver,
}

impl Connection {
    /// Connects within a time.
    pub(super) async fn open(to: SocketAddr, within: Duration) -> Result<Self, Cause> {
        let Ok(connected) = timeout(within, TcpStream::connect(to)).await else {
            return Err(Cause::ConnectTimeout);
        };
        let io = connected.map_err(|e| Cause::Connect(e.kind()))?;
        // Without it only the latency suffers.
        let _set = io.set_nodelay(true);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let Ok((sender, conn)) = builder.handshake(TokioIo::new(io)).await else {
            return Err(Cause::Closed);
        };
        // The request that runs on the connection hears of its errors.
        let driver = Driver(tokio::spawn(async move {
            let _ended = conn.await;
        }));
        Ok(Self {
            sender,
            _driver: driver,
        })
    }
}
