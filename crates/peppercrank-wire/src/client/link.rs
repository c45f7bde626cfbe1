// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A connection of a client.

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
use super::metered::Meter;
use super::metered::MeteredStream;

/// Maximum size of the read buffer of a connection, and thus of a response head, in bytes.
pub(super) const MAX_BUFFER_BYTES: usize = 64 * 1_024;

/// Task that runs a connection; dropping it closes the connection immediately.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection, which is closed when dropped.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: SendRequest<Body>,
    pub(super) meter: Meter,
    _driver: Driver,
}

impl Connection {
    /// Establishes a connection within a timeout.
    pub(super) async fn open(to: SocketAddr, within: Duration) -> Result<Self, Cause> {
        let Ok(connected) = timeout(within, TcpStream::connect(to)).await else {
            return Err(Cause::ConnectTimeout);
        };
        let io = connected.map_err(|e| Cause::Connect(e.kind()))?;
        // A failure affects only latency.
        let _set = io.set_nodelay(true);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let meter = Meter::default();
        let io = TokioIo::new(MeteredStream::new(io, meter.clone()));
        let Ok((sender, conn)) = builder.handshake(io).await else {
            return Err(Cause::Closed);
        };
        // Errors are reported to the request that runs on the connection.
        let driver = Driver(tokio::spawn(async move {
            let _ended = conn.await;
        }));
        Ok(Self {
            sender,
            meter,
            _driver: driver,
        })
    }
}
