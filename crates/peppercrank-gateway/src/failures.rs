// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Shares with other routers which targets fail part of their requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use peppercrank_core::events::Event;
use peppercrank_core::time::Instant;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::failures::FailureSummary;
use peppercrank_direct::failures::MAX_FAILURES_BYTES;
use peppercrank_direct::failures::Pool;
use peppercrank_direct::peers::Datagram;
use peppercrank_direct::peers::PoolId;
use peppercrank_direct::peers::TargetId;
use peppercrank_log::Field;
use tokio::net::UdpSocket;

use crate::gateway::Gateway;
use crate::gossip::DATAGRAM_HEADER_BYTES;
use crate::gossip::random_peers;
use crate::gossip::send;
use crate::state::State;

/// Divisor of the byte allowance while the failures are few: most of the time some request fails,
/// and the hints about prompts need the bytes.
const SLOW_DIVISOR: usize = 8;

/// Failure excess from which a target is logged.
const LOGGED_EXCESS: f64 = 0.2;

/// Sends failure summaries to peers in turn, within a byte allowance.
#[derive(Debug, Default)]
pub struct Schedule {
    /// Bytes that may be sent now, headers included.
    allowance: usize,
    /// Peers that are still to be sent a summary in this round.
    round: Vec<SocketAddr>,
    /// Number of summaries made.
    turn: usize,
    /// Whether some target has a failure excess above zero.
    differing: bool,
}

impl Schedule {
    /// Assesses the targets and sends summaries to the next peers, where targets fail. `bytes` is
    /// added to the allowance. Returns the number of bytes sent.
    pub async fn tick(&mut self, gateway: &Gateway, socket: &UdpSocket, bytes: usize) -> usize {
        let now = gateway.now();
        let failed = gateway.state().failures.has_failures(now);
        if !failed && !self.differing {
            self.allowance = 0;
            return 0;
        }
        let pools = pools(gateway, now);
        self.assess(gateway, now, &pools);
        let summary = gateway.state().failures.summary(now, &pools, self.turn);
        self.turn = self.turn.wrapping_add(1);
        if summary.others.is_empty() {
            return 0;
        }
        let mut datagram = Datagram::Failures(summary);
        let Ok(encoded) = datagram.encode() else {
            return 0;
        };
        let urgent = self.differing || gateway.state().failures.is_urgent(now, &pools);
        let granted = if urgent { bytes } else { bytes / SLOW_DIVISOR };
        let most = granted.max(MAX_FAILURES_BYTES + DATAGRAM_HEADER_BYTES);
        self.allowance = (self.allowance + granted).min(2 * most);
        let size = encoded.len() + DATAGRAM_HEADER_BYTES;
        let peers = self.next_peers(&gateway.state(), self.allowance / size);
        let sent = size * peers.len();
        for to in peers {
            send(gateway, socket, to, datagram.clone()).await;
        }
        self.allowance -= sent;
        sent
    }

    /// Takes up to `count` peers from the round; a new one starts at a random peer.
    fn next_peers(&mut self, state: &State, count: usize) -> Vec<SocketAddr> {
        if self.round.is_empty() {
            self.round = random_peers(state, state.routers.len());
        }
        let kept = self.round.len().saturating_sub(count);
        self.round.split_off(kept)
    }

    /// Updates the failure excesses of all targets.
    fn assess(&mut self, gateway: &Gateway, now: Instant, pools: &[Pool]) {
        let mut state = gateway.state();
        let mut failing = Vec::new();
        self.differing = false;
        let mut excesses = HashMap::new();
        for pool in pools {
            let keys = pool.targets.iter().map(|(key, _)| *key);
            excesses.extend(keys.zip(state.failures.excess(now, pool)));
        }
        // A target that gets no work at the moment must not keep an old excess.
        let known = state.keys_by_id.values().copied().collect::<Vec<_>>();
        for key in known {
            let excess = excesses.get(&key).copied().unwrap_or(0.0);
            self.differing |= excess > 0.0;
            let before = set_excess(&mut state, key, excess);
            if before < LOGGED_EXCESS && excess >= LOGGED_EXCESS {
                failing.push((instance(&state, key), excess));
            }
        }
        drop(state);
        for (instance, excess) in failing {
            log_failing(gateway, &instance, excess);
        }
    }
}

/// Returns whether routers share the failures of a pool's targets: where these share their VMs with
/// other work.
#[must_use]
pub fn are_shared(gateway: &Gateway, pool: &str) -> bool {
    let state = gateway.state();
    let targets = state.directory.pool(gateway.now(), pool);
    any_states_slowdown(&state, targets)
}

fn any_states_slowdown(state: &State, targets: impl IntoIterator<Item = TargetKey>) -> bool {
    let mut targets = targets.into_iter();
    targets.any(|key| state.board.get(key).states_slowdown)
}

/// Returns the pools whose failures are shared, with their targets.
fn pools(gateway: &Gateway, now: Instant) -> Vec<Pool> {
    let state = gateway.state();
    let with_id = |key| {
        let target = state.directory.get(key)?;
        Some((key, target.registration.id()))
    };
    let pool = |name: &Arc<str>| {
        let targets = state.directory.pool(now, name).into_iter();
        Pool {
            id: PoolId::of(name),
            targets: targets.filter_map(with_id).collect(),
        }
    };
    let pools = state.rates.keys().map(pool);
    let is_shared = |pool: &Pool| {
        let keys = pool.targets.iter().map(|(key, _)| *key);
        any_states_slowdown(&state, keys)
    };
    pools.filter(is_shared).collect()
}

/// Sets a target's failure excess and returns the previous one.
fn set_excess(state: &mut State, key: TargetKey, excess: f64) -> f64 {
    let Some(target) = state.board.get_mut(key) else {
        return 0.0;
    };
    std::mem::replace(&mut target.failure_excess, excess)
}

fn instance(state: &State, key: TargetKey) -> Arc<str> {
    let info = state.target_info.get(key);
    info.map(|i| Arc::clone(&i.instance)).unwrap_or_default()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a percentage is between 0 and 100"
)]
fn log_failing(gateway: &Gateway, instance: &str, excess: f64) {
    let percent = (excess * 100.0) as u64;
    let fields = [
        ("target", Field::Text(instance)),
        ("percent", Field::Number(percent)),
    ];
    gateway.log.write(Event::TargetFailing, &fields);
}

/// Applies another router's counts of failures.
pub fn receive_summary(gateway: &Gateway, from: SocketAddr, summary: &FailureSummary) {
    let now = gateway.now();
    let mut state = gateway.state();
    let State {
        failures,
        keys_by_id,
        ..
    } = &mut *state;
    let key_of = |id: TargetId| keys_by_id.get(&id).copied();
    let ignored = failures.record_report(now, from, summary, key_of);
    drop(state);
    for _ in 0..ignored {
        gateway
            .metrics
            .count_failed_attempt("ignored failure report");
    }
}
