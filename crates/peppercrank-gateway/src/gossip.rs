// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Datagrams between routers: each tells the others its own work and the parts it sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use peppercrank_core::time::Instant;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::peers::Datagram;
use peppercrank_direct::peers::Summary;
use peppercrank_direct::peers::TargetId;
use peppercrank_direct::peers::Work;
use peppercrank_direct::reports;
use peppercrank_direct::reports::LoadReport;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::confirm;
use crate::crashes;
use crate::gateway::Gateway;
use crate::state::State;

/// Pause between summaries, which is the lag of peers' loads in a small fleet; in a larger one the
/// allowance of bytes spreads them out.
const EVERY: Duration = Duration::from_millis(100);

/// Bytes of datagrams that a router sends in a second, headers included; the users allow a daemon
/// four kilobytes a second for control.
const BYTES_A_SECOND: usize = 4_096;

/// `HEADERS` is the bytes of the headers of a datagram, IPv4 and UDP.
pub const HEADERS: usize = 28;

/// Room for a datagram, beyond the longest that is sent.
const ROOM: usize = 2_048;

/// `Round` sends summaries round the peers, as many as the allowance of bytes allows.
#[derive(Debug)]
struct Round {
    incarnation: u64,
    sequence: u64,
    /// Bytes that may be sent now.
    allowance: usize,
    /// The peer that is next, in the order of names.
    next: usize,
    /// The length of the summary before, in bytes.
    size: usize,
    /// Bytes of load reports that may be sent now.
    reports: usize,
}

impl Round {
    /// Adds what one turn allows.
    fn earn(&mut self, peers: usize) {
        let each = BYTES_A_SECOND / usize::try_from(1_000 / EVERY.as_millis()).unwrap_or(1);
        let reports = reports::report_bytes(each, peers, self.size, BYTES_A_SECOND);
        // What a pause saved does not add up to a burst.
        self.allowance = (self.allowance + each - reports).min(2 * each.max(self.size));
        self.reports = (self.reports + reports).min(2 * each);
    }

    /// The next summary and who gets it.
    fn turn(&mut self, state: &mut State) -> (Summary, Vec<SocketAddr>) {
        let peers = state.routers.iter().map(|(name, r)| (name, r.address));
        let mut peers = peers.collect::<Vec<_>>();
        self.earn(peers.len());
        peers.sort_unstable();
        let most = (self.allowance / self.size.max(1)).min(peers.len());
        let turned = peers.iter().cycle().skip(self.next % peers.len().max(1));
        let to = turned.take(most).map(|(_, address)| *address);
        let to = to.collect::<Vec<_>>();
        self.next = (self.next + most) % peers.len().max(1);
        self.sequence += 1;
        (self.summary(state, to.len()), to)
    }

    fn summary(&self, state: &mut State, to: usize) -> Summary {
        let names = state.names.iter();
        let work = names.filter_map(|(name, key)| work(state, *name, *key));
        Summary {
            incarnation: self.incarnation,
            sequence: self.sequence,
            work: work.collect(),
            hints: if to == 0 {
                Vec::new()
            } else {
                state.outbox.take_batch(to)
            },
        }
    }

    /// Notes what was sent.
    fn sent(&mut self, bytes: usize, datagrams: usize) {
        self.size = bytes + HEADERS;
        let spent = self.size * datagrams;
        self.allowance = self.allowance.saturating_sub(spent);
    }
}

/// `tell` sends summaries to other routers, several times a second.
pub async fn tell(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut round = Round {
        incarnation: unix_millis(),
        sequence: 0,
        allowance: 0,
        next: 0,
        size: HEADERS,
        reports: 0,
    };
    let mut ticks = interval(EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let (summary, to) = round.turn(&mut gateway.state());
        let Ok(bytes) = Datagram::Summary(summary).encode() else {
            continue;
        };
        for address in &to {
            let sent = socket.send_to(&bytes, address).await;
            gateway.metrics.told(sent.is_ok());
        }
        round.sent(bytes.len(), to.len());
        pass_on(&gateway, &socket, &mut round).await;
    }
}

/// Passes load reports on to one peer, drawn anew each time, as far as the allowance goes.
async fn pass_on(gateway: &Gateway, socket: &UdpSocket, round: &mut Round) {
    if round.reports < reports::MAX_REPORTS_BYTES + HEADERS {
        return;
    }
    let Some((reports, to)) = reports_to_pass(gateway.now(), &gateway.state()) else {
        return;
    };
    let bytes = send(gateway, socket, to, Datagram::LoadReports(reports)).await;
    round.reports = round.reports.saturating_sub(bytes + HEADERS);
}

/// The newest load reports, and a peer; none where there are none.
fn reports_to_pass(now: Instant, state: &State) -> Option<(Vec<LoadReport>, SocketAddr)> {
    let report =
        |(name, key): (&TargetId, &TargetKey)| { LoadReport::from_stats(*name, &state.board.get(*key), now)
    };
    let mut reports = state.names.iter().filter_map(report).collect::<Vec<_>>();
    reports::select(&mut reports);
    if reports.is_empty() {
        return None;
    }
    let to = draw(state, 1).pop()?;
    Some((reports, to))
}

/// `draw` is so many other routers, drawn anew each time.
#[must_use]
pub fn draw(state: &State, count: usize) -> Vec<SocketAddr> {
    let peers = state.routers.values().map(|r| r.address);
    let peers = peers.collect::<Vec<_>>();
    if peers.is_empty() {
        return peers;
    }
    let first = rand::random_range(0..peers.len());
    let turned = peers.iter().cycle().skip(first);
    turned.take(count.min(peers.len())).copied().collect()
}

/// Takes in load reports that another router passed on.
fn take_reports(gateway: &Gateway, reports: &[LoadReport]) {
    let now = gateway.now();
    let mut state = gateway.state();
    for report in reports {
        let Some(key) = state.names.get(&report.target()).copied() else {
            continue;
        };
        if let Some(stats) = state.board.get_mut(key) {
            stats.record_relayed_report(report.earliest_time(now), report.load());
        }
    }
}

/// The Unix time in milliseconds, 0 for a clock that stands before its beginning.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |s| u64::try_from(s.as_millis()).unwrap_or(u64::MAX))
}

/// This router's own work on a target, if there is any.
fn work(state: &State, target: TargetId, key: TargetKey) -> Option<Work> {
    let known = state.board.get(key);
    let busy = known.in_flight > 0;
    busy.then_some(Work {
        target,
        in_flight: known.in_flight,
        prefill_tokens: known.prefill_tokens,
    })
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
        match Datagram::decode(&space[..len]) {
            Ok(Datagram::Summary(summary)) => take(&gateway, from, &summary),
            Ok(Datagram::ConfirmationRequest(question)) => {
                if let Some(told) = confirm::answer(&gateway, question) {
                    send(&gateway, &socket, from, Datagram::Confirmation(told)).await;
                }
            }
            Ok(Datagram::Confirmation(told)) => confirm::take(&gateway, told),
            Ok(Datagram::LoadReports(reports)) => take_reports(&gateway, &reports),
            Ok(Datagram::CrashReports(reports)) => {
                crashes::hear(&gateway, &socket, from, &reports).await;
            }
            Err(_) => gateway.metrics.missed("malformed datagram"),
        }
    }
}

/// `send` sends one datagram and tells how many bytes it has.
pub async fn send(
    gateway: &Gateway,
    socket: &UdpSocket,
    to: SocketAddr,
    mut datagram: Datagram,
) -> usize {
    let Ok(bytes) = datagram.encode() else {
        return 0;
    };
    let sent = socket.send_to(&bytes, to).await;
    gateway.metrics.told(sent.is_ok());
    bytes.len()
}

fn take(gateway: &Gateway, from: SocketAddr, summary: &Summary) {
    let now = gateway.now();
    let mut state = gateway.state();
    if !state.peers.record_summary(now, from, summary) {
        return;
    }
    state.peers.expire(now);
    for hint in &summary.hints {
        if let Some(key) = state.names.get(&hint.target).copied() {
            state.prefixes.record(now, key, hint.prefix_hash);
        }
    }
    state.heard = now;
    for (target, sum) in state.peers.take_changed() {
        if let Some(key) = state.names.get(&target).copied() {
            state.board.set_peer_work(key, sum);
        }
    }
}
