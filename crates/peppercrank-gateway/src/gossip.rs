// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Datagrams between routers, which share their load and the prompt parts that they sent.

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
use peppercrank_direct::quarantine::Subject;
use peppercrank_direct::reports;
use peppercrank_direct::reports::LoadReport;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::confirm;
use crate::crashes;
use crate::failures;
use crate::gateway::Gateway;
use crate::missed;
use crate::origins;
use crate::shares;
use crate::shares::ReportSchedule;
use crate::state::State;

/// Interval between summaries. In a small fleet, peers know of this router's work with up to this
/// delay. In a larger fleet, the byte allowance makes the summaries to each peer rarer.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(100);

/// Datagram bytes that a router may send per second, headers included. The users allow each daemon
/// 4 KB/s of control traffic.
const BYTES_PER_SECOND: usize = 4_096;

/// Datagram bytes that a router may send per summary interval.
pub const BYTES_PER_INTERVAL: usize = BYTES_PER_SECOND / 10;

/// Bytes per interval that failure reports may take of the allowance while targets fail: a fifth.
const FAILURE_BYTES: usize = BYTES_PER_INTERVAL / 5;

/// Bytes of a datagram's IPv4 and UDP headers.
pub const DATAGRAM_HEADER_BYTES: usize = 28;

/// Size of the receive buffer, which exceeds the longest datagram sent.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// Schedules summaries to all peers in turn within the byte allowance.
#[derive(Debug)]
struct SummarySchedule {
    incarnation: u64,
    sequence: u64,
    /// Summary bytes that may be sent now.
    summary_allowance: usize,
    /// The index of the next peer in name order.
    next_peer: usize,
    /// The size of the previous summary in bytes, headers included.
    last_summary_bytes: usize,
    /// Load report bytes that may be sent now.
    report_allowance: usize,
    /// Bytes of other datagrams that are still to be taken from the summaries.
    owed: usize,
}

impl SummarySchedule {
    /// Adds the allowance of one interval.
    fn add_allowance(&mut self, peers: usize) {
        let bytes_per_interval = BYTES_PER_INTERVAL;
        let reports = reports::report_bytes(
            bytes_per_interval,
            peers,
            self.last_summary_bytes,
            BYTES_PER_SECOND,
        );
        // Capped so that an idle period does not lead to a burst.
        self.summary_allowance = (self.summary_allowance + bytes_per_interval - reports)
            .min(2 * bytes_per_interval.max(self.last_summary_bytes));
        self.report_allowance = (self.report_allowance + reports).min(2 * bytes_per_interval);
        let paid = self.owed.min(self.summary_allowance);
        self.summary_allowance -= paid;
        self.owed -= paid;
    }

    /// Returns the next summary and its recipients.
    fn next_summary(&mut self, state: &mut State) -> (Summary, Vec<SocketAddr>) {
        let peers = state.routers.iter().map(|(name, r)| (name, r.address));
        let mut peers = peers.collect::<Vec<_>>();
        self.add_allowance(peers.len());
        peers.sort_unstable();
        let count = (self.summary_allowance / self.last_summary_bytes.max(1)).min(peers.len());
        let rotated = peers
            .iter()
            .cycle()
            .skip(self.next_peer % peers.len().max(1));
        let to = rotated.take(count).map(|(_, address)| *address);
        let to = to.collect::<Vec<_>>();
        self.next_peer = (self.next_peer + count) % peers.len().max(1);
        self.sequence += 1;
        (self.summary(state, to.len()), to)
    }

    fn summary(&self, state: &mut State, to: usize) -> Summary {
        let targets = state.keys_by_id.iter();
        let work = targets.filter_map(|(name, key)| own_work(state, *name, *key));
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

    /// Deducts the sent datagrams from the allowance.
    fn record_sent(&mut self, bytes: usize, datagrams: usize) {
        self.last_summary_bytes = bytes + DATAGRAM_HEADER_BYTES;
        let spent = self.last_summary_bytes * datagrams;
        self.summary_allowance = self.summary_allowance.saturating_sub(spent);
    }
}

/// Sends summaries to other routers once per `SUMMARY_INTERVAL`, as far as the byte allowance
/// permits.
pub async fn send_summaries(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut schedule = SummarySchedule {
        incarnation: unix_millis(),
        sequence: 0,
        summary_allowance: 0,
        next_peer: 0,
        last_summary_bytes: DATAGRAM_HEADER_BYTES,
        report_allowance: 0,
        owed: 0,
    };
    let mut demand = ReportSchedule::default();
    let mut failure_schedule = failures::Schedule::default();
    let mut ticks = interval(SUMMARY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let (summary, to) = schedule.next_summary(&mut gateway.state());
        let Ok(bytes) = Datagram::Summary(summary).encode() else {
            continue;
        };
        for address in &to {
            let sent = socket.send_to(&bytes, address).await;
            gateway.metrics.count_datagram(sent.is_ok());
        }
        schedule.record_sent(bytes.len(), to.len());
        let report_bytes = origins::send_reports(&gateway).await;
        let demand_bytes = demand.send(&gateway, &socket, schedule.incarnation).await;
        let failure_bytes = failure_schedule
            .tick(&gateway, &socket, FAILURE_BYTES)
            .await;
        schedule.summary_allowance = schedule.summary_allowance.saturating_sub(report_bytes);
        let leaving_bytes = missed::announce_leaving(&gateway, &socket).await;
        let spent = demand_bytes + failure_bytes + leaving_bytes;
        // Capped so that summaries go on after a burst.
        schedule.owed = (schedule.owed + spent).min(2 * BYTES_PER_INTERVAL);
        relay_reports(&gateway, &socket, &mut schedule).await;
    }
}

/// Relays load reports to one random peer if the allowance permits.
async fn relay_reports(gateway: &Gateway, socket: &UdpSocket, schedule: &mut SummarySchedule) {
    if schedule.report_allowance < reports::MAX_REPORTS_BYTES + DATAGRAM_HEADER_BYTES {
        return;
    }
    let Some((reports, to)) = reports_to_relay(gateway.now(), &gateway.state()) else {
        return;
    };
    let bytes = send(gateway, socket, to, Datagram::LoadReports(reports)).await;
    schedule.report_allowance = schedule
        .report_allowance
        .saturating_sub(bytes + DATAGRAM_HEADER_BYTES);
}

/// Returns the load reports to relay and a random peer; `None` if there are no reports or peers.
fn reports_to_relay(now: Instant, state: &State) -> Option<(Vec<LoadReport>, SocketAddr)> {
    let report = |(name, key): (&TargetId, &TargetKey)| {
        LoadReport::from_stats(*name, &state.board.get(*key), now)
    };
    let mut reports = state
        .keys_by_id
        .iter()
        .filter_map(report)
        .collect::<Vec<_>>();
    reports::select(&mut reports);
    if reports.is_empty() {
        return None;
    }
    let to = random_peers(state, 1).pop()?;
    Some((reports, to))
}

/// Returns the addresses of up to `count` other routers, starting at a random one.
#[must_use]
pub fn random_peers(state: &State, count: usize) -> Vec<SocketAddr> {
    let peers = state.routers.values().map(|r| r.address);
    let peers = peers.collect::<Vec<_>>();
    if peers.is_empty() {
        return peers;
    }
    let first = rand::random_range(0..peers.len());
    let rotated = peers.iter().cycle().skip(first);
    rotated.take(count.min(peers.len())).copied().collect()
}

/// Applies load reports relayed by another router.
fn apply_reports(gateway: &Gateway, reports: &[LoadReport]) {
    let now = gateway.now();
    let mut state = gateway.state();
    for report in reports {
        let Some(key) = state.keys_by_id.get(&report.target()).copied() else {
            continue;
        };
        if let Some(stats) = state.board.get_mut(key) {
            stats.record_relayed_report(report.earliest_time(now), report.load());
        }
    }
}

/// The Unix time in milliseconds; 0 if the clock is set before the epoch.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |s| u64::try_from(s.as_millis()).unwrap_or(u64::MAX))
}

/// Returns this router's own load on a target; `None` if it has no requests there.
fn own_work(state: &State, target: TargetId, key: TargetKey) -> Option<Work> {
    let target_stats = state.board.get(key);
    let busy = target_stats.in_flight > 0;
    busy.then_some(Work {
        target,
        in_flight: target_stats.in_flight,
        prefill_tokens: target_stats.prefill_tokens,
    })
}

/// Receives and handles datagrams from other routers.
pub async fn receive(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    /// Pause after a failed read, to avoid a tight loop on a broken socket.
    const READ_RETRY_PAUSE: Duration = Duration::from_millis(50);
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(READ_RETRY_PAUSE).await;
            continue;
        };
        match Datagram::decode(&buffer[..len]) {
            Ok(Datagram::Summary(summary)) => apply_summary(&gateway, from, &summary),
            Ok(Datagram::ConfirmationRequest(question)) => {
                if let Some(confirmation) = confirm::answer_confirmation_request(&gateway, question)
                {
                    send(
                        &gateway,
                        &socket,
                        from,
                        Datagram::Confirmation(confirmation),
                    )
                    .await;
                }
            }
            Ok(Datagram::Confirmation(confirmation)) => {
                confirm::apply_confirmation(&gateway, confirmation);
            }
            Ok(Datagram::LoadReports(reports)) => apply_reports(&gateway, &reports),
            Ok(Datagram::CrashReports(reports)) => {
                let subject = Subject::Request;
                crashes::receive_reports(&gateway, &socket, from, subject, &reports).await;
            }
            Ok(Datagram::PartReports(reports)) => {
                let reports = reports.into_iter().map(Into::into).collect::<Vec<_>>();
                crashes::receive_reports(&gateway, &socket, from, Subject::Part, &reports).await;
            }
            Ok(Datagram::Origins(reports)) => origins::receive_reports(&gateway, &reports),
            Ok(Datagram::OriginQuery(stream)) => {
                origins::answer_query(&gateway, from, stream).await;
            }
            Ok(Datagram::OriginUnknown(stream)) => origins::receive_unknown(&gateway, stream),
            Ok(Datagram::Demand(report)) => shares::receive(&gateway, from, &report),
            Ok(Datagram::Failures(summary)) => failures::receive_summary(&gateway, from, &summary),
            Ok(Datagram::Leaving(targets)) => missed::receive_leaving(&gateway, &targets),
            Err(_) => gateway.metrics.count_failed_attempt("malformed datagram"),
        }
    }
}

/// Sends a datagram and returns its payload size in bytes; 0 if it cannot be encoded.
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
    gateway.metrics.count_datagram(sent.is_ok());
    bytes.len()
}

fn apply_summary(gateway: &Gateway, from: SocketAddr, summary: &Summary) {
    let now = gateway.now();
    let mut state = gateway.state();
    if !state.peers.record_summary(now, from, summary) {
        return;
    }
    state.peers.expire(now);
    for hint in &summary.hints {
        if let Some(key) = state.keys_by_id.get(&hint.target).copied() {
            state.prefixes.record(now, key, hint.prefix_hash);
        }
    }
    state.peers_heard_at = now;
    for (target, sum) in state.peers.take_changed() {
        if let Some(key) = state.keys_by_id.get(&target).copied() {
            state.board.set_peer_work(key, sum);
        }
    }
}
