// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Decision whether a request is sent and to which target, and when its caller should retry if not.

use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::admission::Admission;
use crate::admission::PoolLoad;
use crate::place::Candidate;
use crate::place::Choice;
use crate::place::FullCause;
use crate::place::Holder;
use crate::place::PlacementOutcome;
use crate::place::PlacementRequest;
use crate::place::place;
use crate::place::shortest_wait_ms;
use crate::ranks::Rank;
use crate::rates::Rates;

/// Predicted wait at which a request within its organisation's share is refused, as a fraction of
/// the pool's shortest latency goal. Half as long again as the wait that the division of room aims
/// at, and still in time.
const WITHIN_SHARE_WAIT: f64 = 0.45;

/// `Attempt` holds the properties of an attempt that admission depends on.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// Urgency of the request among those of its pool.
    pub rank: Rank,
    /// Shortest latency goal of the requests for the pool.
    pub pool_goal: Duration,
    /// Time for which the caller still waits.
    pub time_left: Duration,
    /// Whether it is the first attempt of the request.
    pub is_first: bool,
    /// Whether it continues a stream and may go only to the targets of one of the pool's software
    /// versions, whose waits say nothing about the whole pool.
    pub is_bound: bool,
    /// Whether it is within its organisation's share of an overloaded pool's room.
    pub is_within_share: bool,
}

/// `WaitCheck` is how long an attempt would wait behind other work, and how long it may.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WaitCheck {
    /// Shortest predicted wait at the targets that are not ejected; `None` if none was predicted.
    pub shortest: Option<Duration>,
    /// Longest wait that was allowed; `None` if it was not bounded, so that only load caps were.
    pub bound: Option<Duration>,
}

/// `Decision` is the result of admitting and placing an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// The attempt is sent to this target.
    Send(Choice),
    /// No target can serve the attempt in time.
    Full {
        /// What keeps the attempt from all targets.
        cause: FullCause,
        /// Delay after which the caller should retry.
        retry_after: Duration,
        /// Wait by which it was judged.
        wait: WaitCheck,
    },
    /// The pool has no targets.
    NoTarget {
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
}

/// Admits an attempt and chooses its target, or refuses it.
///
/// A request is admitted only once. Its later attempts count as most urgent, since work has already
/// been spent on it. A stream that goes on was admitted when it began, also where its caller
/// returns, so only the targets' load caps bound it.
pub fn decide(
    now: Instant,
    admission: &mut Admission,
    rates: &Rates,
    attempt: &Attempt,
    request: &PlacementRequest,
    candidates: &[Candidate],
    holders: &[Holder],
) -> Decision {
    if attempt.is_bound {
        let placed = place(now, rates, request, None, candidates, holders);
        let retry_after = admission.retry_after(now, attempt.time_left);
        return decision(placed, retry_after, WaitCheck::default());
    }
    let slots = candidates.iter().map(|c| c.slots).min().unwrap_or(1);
    let pool = PoolLoad {
        goal: attempt.pool_goal,
        base_ms: rates.base_ms(),
        slot_turnover_ms: rates.queue_wait_ms(1, slots),
        min_wait_ms: shortest_wait_ms(now, rates, candidates),
    };
    let rank = if attempt.is_first {
        attempt.rank
    } else {
        Rank::default()
    };
    let mut limit = admission.max_wait(now, &pool, rank);
    if attempt.is_within_share {
        let share_limit = attempt.pool_goal.mul_f64(WITHIN_SHARE_WAIT);
        limit = limit.map(|l| l.max(share_limit));
    }
    let placed = place(now, rates, request, limit, candidates, holders);
    if attempt.is_first && placed != PlacementOutcome::NoTarget {
        let admitted = matches!(placed, PlacementOutcome::Target(_));
        admission.record(now, attempt.rank, admitted);
    }
    let wait = WaitCheck {
        shortest: Duration::try_from_secs_f64(pool.min_wait_ms / 1_000.0).ok(),
        bound: limit,
    };
    decision(placed, admission.retry_after(now, attempt.time_left), wait)
}

const fn decision(placed: PlacementOutcome, retry_after: Duration, wait: WaitCheck) -> Decision {
    match placed {
        PlacementOutcome::Target(choice) => Decision::Send(choice),
        PlacementOutcome::Full(cause) => Decision::Full {
            cause,
            retry_after,
            wait,
        },
        PlacementOutcome::NoTarget => Decision::NoTarget { retry_after },
    }
}
