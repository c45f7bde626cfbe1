// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What a request takes in and gives out.

use std::time::Duration;

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::keys::RequestId;
use peppercrank_core::refusal::AttemptOutcome;
use peppercrank_core::refusal::MayHaveRun;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::time::Instant;

/// `Event` is what happened to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The candidates are known, the best first; sent once, to begin.
    Ranked(Vec<TargetKey>),
    /// The target refused the attempt as not run, or could not be connected to.
    NotRun {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: NotRun,
        /// The target that holds the context, when the refusal named one that ranks here.
        ///
        /// [`crate::Ranking::find`] gives it, so that a target that is leaving, dead or unknown
        /// here is no hint.
        hint: Option<TargetKey>,
    },
    /// The attempt ended with an unknown fate.
    MayHaveRun {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: MayHaveRun,
    },
    /// The first byte of an answer that echoes the attempt's id is there.
    FirstByte {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The whole answer of the attempt was delivered.
    Done {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The caller went away.
    CallerGone,
    /// The moment that [`Next::Wait`] named has come, or any other.
    Tick,
}

/// `Next` is what to do next with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Send the request to `target`, then report events of `attempt`, and a tick at the deadline.
    Send {
        /// The target.
        target: TargetKey,
        /// The id of the attempt.
        attempt: AttemptId,
        /// Whether the agent may refuse with [`NotRun::Elsewhere`].
        redirect: bool,
        /// Whether no further target will be tried, so that the agent may queue the request.
        last: bool,
    },
    /// Do nothing until `until`, then send a tick.
    Wait {
        /// The moment.
        until: Instant,
    },
    /// Pass the answer of the attempt in flight on to the caller.
    Deliver,
    /// The request is over and the caller needs no more from us.
    Finish {
        /// The attempt to cancel, when the caller went away under it.
        cancel: Option<AttemptId>,
    },
    /// Refuse the request now; after [`Next::Deliver`], end the stream with this as its error.
    Refuse {
        /// The outcome of the request over all its attempts, never `Done`.
        outcome: AttemptOutcome,
        /// When the caller may come back, where that helps.
        retry_after: Option<Duration>,
        /// The attempt to cancel, when one is in flight.
        cancel: Option<AttemptId>,
    },
    /// Do nothing: the event was of an attempt that is over, or came after the end.
    Ignore,
}

/// `Terms` are the limits of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// The request's id.
    pub id: RequestId,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// When its time is over.
    pub deadline: Instant,
    /// Tries at most, [`peppercrank_core::objects::PoolPolicy::tries`]; 0 counts as 1.
    pub tries: u32,
}
