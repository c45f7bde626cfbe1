// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Servers on free ports, shared by test files.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use peppercrank_wire::body;
use peppercrank_wire::edge::Call;
use peppercrank_wire::edge::Counters;
use peppercrank_wire::edge::Edge;
use peppercrank_wire::edge::Limits;
use peppercrank_wire::edge::Reply;
use peppercrank_wire::edge::ServeSummary;
use peppercrank_wire::edge::refuse_body;
use peppercrank_wire::stop::Stopper;
use peppercrank_wire::stop::stop;
use tokio::task::JoinHandle;

/// A running server.
pub struct Running {
    pub address: SocketAddr,
    pub counters: Arc<Counters>,
    pub stopper: Stopper,
    pub ended: JoinHandle<ServeSummary>,
}

/// Starts a server on a free port.
pub async fn start<F, R>(limits: Limits, answer: F) -> Running
where
    F: Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    let edge = Edge::bind((Ipv4Addr::LOCALHOST, 0).into()).await;
    let edge = edge.expect("a free port");
    let address = edge.local_addr();
    let counters = edge.counters();
    let (stopper, stop) = stop();
    let ended = tokio::spawn(edge.serve(limits, stop, answer));
    Running {
        address,
        counters,
        stopper,
        ended,
    }
}

/// Responds with the method, the path and the body.
pub async fn echo(call: Call) -> Reply {
    let head = call.head;
    match call.body.read().await {
        Ok(bytes) => {
            let text = String::from_utf8_lossy(&bytes);
            let text = format!("{} {} {text}", head.method, head.uri);
            Reply::new(body::full(text))
        }
        Err(e) => refuse_body(e),
    }
}

impl Running {
    /// Stops the server and waits for its end.
    pub async fn stop(self) -> ServeSummary {
        self.stopper.stop();
        self.ended.await.expect("an edge that ends")
    }
}
