// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Whether a request is sent, where to, and when its caller should return if not.

use std::time::Duration;

use peppercrank_core::time::Moment;

use crate::admission::Admission;
use crate::admission::PoolLoad;
use crate::place::Candidate;
use crate::place::Choice;
use crate::place::Holder;
use crate::place::Placed;
use crate::place::PlacementRequest;
use crate::place::least_wait;
use crate::place::place;
use crate::ranks::Rank;
use crate::rates::Rates;

/// `Attempt` is one attempt of a request, for admission.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// How urgent the request is among those of its pool.
    pub rank: Rank,
    /// The shortest goal of the requests for its pool.
    pub goal: Duration,
    /// The time that its caller still waits.
    pub left: Duration,
    /// Whether it is the request's first.
    pub first: bool,
}

/// `Decision` is what becomes of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// It is sent.
    Send(Choice),
    /// No target can serve it in time.
    Full {
        /// When its caller should return.
        after: Duration,
    },
    /// There are no targets.
    NoTarget {
        /// When its caller should return.
        after: Duration,
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
    let pool = PoolLoad {
        goal: attempt.goal,
        base_ms: rates.base_ms(),
        slot_turnover_ms: rates.queue_wait_ms(1, slots),
        min_wait_ms: least_wait(now, rates, candidates),
    };
    let rank = if attempt.first {
        attempt.rank
    } else {
        Rank::default()
    };
    let limit = admission.max_wait(now, &pool, rank);
    let placed = place(now, rates, request, limit, candidates, holders);
    if attempt.first && placed != Placed::NoTarget {
        let admitted = matches!(placed, Placed::At(_));
        admission.record(now, attempt.rank, admitted);
    }
    let after = admission.retry_after(now, attempt.left);
    match placed {
        Placed::At(choice) => Decision::Send(choice),
        Placed::Full => Decision::Full { after },
        Placed::NoTarget => Decision::NoTarget { after },
    }
}
