// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Divides the room of overloaded pools between organisations, together with the other routers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::events::Event;
use peppercrank_core::hash::hash64;
use peppercrank_core::time::Instant;
use peppercrank_direct::peers::Datagram;
use peppercrank_direct::peers::PoolId;
use peppercrank_direct::place::Candidate;
use peppercrank_direct::place::mean_wait;
use peppercrank_direct::ranks::Rank;
use peppercrank_direct::rates::Rates;
use peppercrank_direct::shares::PoolView;
use peppercrank_direct::shares::Shares;
use peppercrank_direct::shares::Verdict;
use peppercrank_direct::shares::control::Transition;
use peppercrank_direct::shares::demand::Arrival;
use peppercrank_direct::shares::report::DemandReport;
use peppercrank_direct::shares::report::ReportError;
use peppercrank_direct::shares::retry::retry_after;
use peppercrank_log::Field;
use tokio::net::UdpSocket;

use crate::eligible::Rejection;
use crate::gateway::Gateway;
use crate::gossip;
use crate::gossip::BYTES_PER_INTERVAL;
use crate::gossip::DATAGRAM_HEADER_BYTES;
use crate::gossip::random_peers;
use crate::job::Job;
use crate::refuse::Reason;
use crate::state::State;

/// Seed of the hash by which routers differ in when they refuse.
const SEED: u64 = 0x7368_6172;

/// Part of the datagram bytes of an interval that demand reports may take, while there are any. With
/// more, hints about prompts come so late that prompts are prefilled again.
const REPORT_PERCENT: usize = 20;

/// How a request stands towards the division of its pool's room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The room is not divided, or the request is not counted in it.
    Undivided,
    /// The request is within its organisation's share.
    WithinShare,
}

impl Standing {
    /// Returns the rank by which the wait at the targets is judged. Less urgent requests within a
    /// share were thinned already.
    #[must_use]
    pub const fn rank(self, rank: Rank) -> Rank {
        match self {
            Self::Undivided => rank,
            Self::WithinShare => Rank { level: 0, ..rank },
        }
    }
}

/// Judges the first attempt of a request by its organisation's share.
///
/// # Errors
///
/// Refuses a request of an organisation that asks for more than its share.
pub fn check(
    gateway: &Gateway,
    state: &mut State,
    job: &Job,
    rates: &Rates,
    candidates: &[Candidate],
) -> Result<Standing, Rejection> {
    let now = gateway.now();
    let view = PoolView {
        wait: mean_wait(now, rates, candidates),
        goal: job.pool_goal,
        routers: state.router_count(now),
    };
    let arrival = Arrival {
        organisation: job.organisation.clone().unwrap_or_default(),
        size: job.size_tokens(),
        rank: job.rank,
    };
    let pool = &job.pool;
    let seed = || hash64(SEED, gateway.settings().name.as_bytes());
    let shares = state
        .shares
        .entry(PoolId::of(pool))
        .or_insert_with(|| Shares::new(Arc::clone(pool), seed()));
    let (verdict, transition) = shares.admit(now, &view, &arrival);
    if let Some(transition) = transition {
        log_transition(gateway, shares, transition);
    }
    match verdict {
        Verdict::Ample => Ok(Standing::Undivided),
        Verdict::Within => Ok(Standing::WithinShare),
        Verdict::OverShare => {
            let shortage = shares.expected_shortage(now);
            gateway
                .metrics
                .shares
                .count_refusal(pool, &arrival.organisation);
            Err(Rejection {
                reason: Reason::OverShare,
                retry_after: delay(job, now, shortage),
            })
        }
    }
}

/// Returns when the caller of a request that found all targets full should return.
#[must_use]
pub fn delay_when_full(state: &State, job: &Job, now: Instant) -> Duration {
    let admission = state.admission.get(&job.pool);
    let overloaded = admission.map_or(Duration::ZERO, |a| a.overload_duration(now));
    let shares = state.shares.get(&PoolId::of(&job.pool));
    let shortage = shares.map_or(Duration::ZERO, |s| s.expected_shortage(now));
    delay(job, now, overloaded.max(shortage))
}

fn delay(job: &Job, now: Instant, shortage: Duration) -> Duration {
    retry_after(shortage, job.deadline.since(now), job.id_hash())
}

fn log_transition(gateway: &Gateway, shares: &Shares, transition: Transition) {
    let event = match transition {
        Transition::Began => Event::RoomDivided,
        Transition::Ended => Event::RoomAmple,
    };
    let organisations = shares.by_organisation().count() as u64;
    let fields = [
        ("pool", Field::Text(&shares.pool)),
        ("demand", Field::Number(whole(shares.demand()))),
        ("organisations", Field::Number(organisations)),
    ];
    gateway.log.write(event, &fields);
}

/// Converts a rate to whole tokens per second.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a rate is not negative, and a log line needs no more"
)]
const fn whole(rate: f64) -> u64 {
    rate as u64
}

/// Schedules the reports of demand to other routers.
#[derive(Debug, Default)]
pub struct ReportSchedule {
    sequence: u64,
    /// Bytes sent beyond the allowance of past intervals.
    debt: usize,
}

impl ReportSchedule {
    /// Sends reports on the pools that are overloaded, as far as their part of the byte allowance
    /// permits, and returns the bytes sent, headers included. Called once per summary interval.
    pub async fn send(&mut self, gateway: &Gateway, socket: &UdpSocket, incarnation: u64) -> usize {
        let reports = self.due(gateway, incarnation);
        if reports.is_empty() {
            self.debt = 0;
            return 0;
        }
        let allowance = BYTES_PER_INTERVAL * REPORT_PERCENT / 100;
        self.debt = self.debt.saturating_sub(allowance);
        let mut sent = 0;
        for (report, to) in reports {
            if self.debt >= allowance {
                break;
            }
            let bytes = gossip::send(gateway, socket, to, Datagram::Demand(report)).await;
            let bytes = bytes + DATAGRAM_HEADER_BYTES;
            self.debt += bytes;
            sent += bytes;
        }
        sent
    }

    /// Returns the reports to send, with the routers that they go to.
    fn due(&mut self, gateway: &Gateway, incarnation: u64) -> Vec<(DemandReport, SocketAddr)> {
        /// Maximum number of datagrams in one interval.
        const MAX_REPORTS: usize = 4;
        let now = gateway.now();
        let state = gateway.state();
        if state.shares.is_empty() {
            return Vec::new();
        }
        self.sequence += 1;
        let number = (incarnation, self.sequence);
        let reports = state.shares.values();
        let reports = reports.filter_map(|s| s.report(now, number));
        let reports = reports.collect::<Vec<_>>();
        if reports.is_empty() {
            return Vec::new();
        }
        let peers = random_peers(&state, MAX_REPORTS);
        drop(state);
        let first = usize::try_from(self.sequence).unwrap_or(0) % reports.len();
        let rotated = reports.iter().cycle().skip(first);
        rotated.cloned().zip(peers).collect()
    }
}

/// Applies another router's report.
pub fn receive(gateway: &Gateway, from: SocketAddr, report: &DemandReport) {
    if !gateway.features().fair_shares {
        return;
    }
    let now = gateway.now();
    let mut state = gateway.state();
    // A pool that no caller of this router has asked for yet.
    let Some(shares) = state.shares.get_mut(&report.pool) else {
        return;
    };
    let result = shares.record_report(now, from, report);
    drop(state);
    match result {
        Ok(()) | Err(ReportError::Outdated) => {}
        Err(ReportError::Absurd) => gateway.metrics.count_failed_attempt("absurd demand"),
        Err(ReportError::TooManyRouters) => gateway.metrics.shares.count_ignored_report(),
    }
}
