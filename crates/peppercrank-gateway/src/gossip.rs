// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Datagrams between routers: each tells the others its own work and the parts it sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::peers::Summary;
use peppercrank_direct::peers::TargetId;
use peppercrank_direct::peers::Work;
use rand::seq::SliceRandom;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::gateway::Gateway;
use crate::state::State;

/// Pause between summaries: the lag of reports that engines give themselves.
const EVERY: Duration = Duration::from_millis(200);

/// Routers that get each summary; with more, a random choice, so that the bytes a router sends
/// do not grow with the fleet.
const FAN_OUT: usize = 8;

/// Room for a datagram, beyond the longest that is sent.
const ROOM: usize = 2_048;

/// `tell` sends a summary to other routers, several times a second.
pub async fn tell(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let incarnation = rand::random();
    let mut sequence = 0;
    let mut ticks = interval(EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        sequence += 1;
        let (mut summary, to) = {
            let mut state = gateway.state();
            let summary = summary(&mut state, incarnation, sequence);
            (summary, choose(&state))
        };
        let Ok(bytes) = summary.encode() else {
            continue;
        };
        for address in to {
            let sent = socket.send_to(&bytes, address).await;
            gateway.metrics.told(sent.is_ok());
        }
    }
}

fn summary(state: &mut State, incarnation: u64, sequence: u64) -> Summary {
    let names = state.names.iter();
    let work = names.filter_map(|(name, key)| work(state, *name, *key));
    Summary {
        incarnation,
        sequence,
        work: work.collect(),
        hints: std::mem::take(&mut state.hints),
    }
}

/// This router's own work on a target, if there is any.
fn work(state: &State, target: TargetId, key: TargetKey) -> Option<Work> {
    let known = state.board.get(key);
    let busy = known.running > 0;
    busy.then_some(Work {
        target,
        running: known.running,
        reading: known.reading,
        failing: false,
    })
}

fn choose(state: &State) -> Vec<SocketAddr> {
    let mut to = state.routers.values().copied().collect::<Vec<_>>();
    if to.len() > FAN_OUT {
        to.shuffle(&mut rand::rng());
        to.truncate(FAN_OUT);
    }
    to
}

/// `hear` takes in the others' summaries.
pub async fn hear(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    /// Pause after a failed read, so that a broken socket is not polled in a tight loop.
    const PAUSE: Duration = Duration::from_millis(50);
    let mut space = vec![0; ROOM];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut space).await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        match Summary::decode(&space[..len]) {
            Ok(summary) => take(&gateway, from, &summary),
            Err(_) => gateway.metrics.missed("malformed datagram"),
        }
    }
}

fn take(gateway: &Gateway, from: SocketAddr, summary: &Summary) {
    let now = gateway.now();
    let mut state = gateway.state();
    if !state.peers.take(now, from, summary) {
        return;
    }
    state.peers.expire(now);
    for hint in &summary.hints {
        if let Some(key) = state.names.get(&hint.target).copied() {
            state.prefixes.note(now, key, std::iter::once(hint.chain));
        }
    }
    let work = state.peers.work(now);
    let names = state.names.iter().map(|(n, k)| (*n, *k));
    let names = names.collect::<Vec<_>>();
    for (name, key) in names {
        state.board.hear(key, work.get(&name));
    }
}
