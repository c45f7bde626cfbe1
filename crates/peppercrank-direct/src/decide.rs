// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Whether a request is sent, where to, and when its caller should return if not.

use std::time::Duration;

use peppercrank_core::time::Moment;

use crate::admission::Admission;
use crate::admission::Pool;
use crate::place::Candidate;
use crate::place::Choice;
use crate::place::Holder;
use crate::place::PlacementOutcome;
use crate::place::PlacementRequest;
use crate::place::place;
use crate::place::shortest_wait_ms;
use crate::ranks::Rank;
use crate::rates::Rates;

/// `Attempt` is one attempt of a request, for admission.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// How urgent the request is among those of its pool.
    pub rank: Rank,
    /// The shortest goal of the requests for its pool.
    pub pool_goal: Duration,
    /// The time that its caller still waits.
    pub time_left: Duration,
    /// Whether it is the request's first.
    pub is_first: bool,
}

/// `Decision` is what becomes of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// It is sent.
    Send(Choice),
    /// No target can serve it in time.
    Full {
        /// When its caller should return.
        retry_after: Duration,
    },
    /// There are no targets.
    NoTarget {
        /// When its caller should return.
        retry_after: Duration,
    },
}

/// `decide` admits an attempt and chooses its target, or refuses it.
///
/// A request is admitted once: its further attempts count as the most urgent, since work was spent
/// on it.
pub fn decide(
    now: Moment,
    admission: &mut Admission,
    rates: &Rates,
    attempt: &Attempt,
    request: &PlacementRequest,
    candidates: &[Candidate],
    holders: &[Holder],
) -> Decision {
    let slots = candidates.iter().map(|c| c.slots).min().unwrap_or(1);
    let pool = Pool {
        goal: attempt.pool_goal,
        base: rates.base(),
        turn: rates.waiting(1, slots),
        wait: shortest_wait_ms(now, rates, candidates),
    };
    let rank = if attempt.is_first {
        attempt.rank
    } else {
        Rank::default()
    };
    let limit = admission.limit(now, &pool, rank);
    let placed = place(now, rates, request, limit, candidates, holders);
    if attempt.is_first && placed != PlacementOutcome::NoTarget {
        let admitted = matches!(placed, PlacementOutcome::Target(_));
        admission.count(now, attempt.rank, admitted);
    }
    let retry_after = admission.come_back(now, attempt.time_left);
    match placed {
        PlacementOutcome::Target(choice) => Decision::Send(choice),
        PlacementOutcome::Full => Decision::Full { retry_after },
        PlacementOutcome::NoTarget => Decision::NoTarget { retry_after },
    }
}
