// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Outcomes of an attempt, and the closed sets of reasons.

use serde::Deserialize;
use serde::Serialize;

macro_rules! reasons {
    ($(#[$doc:meta])* $name:ident { $($(#[$item:meta])* $variant:ident $code:literal,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum $name {
            $($(#[$item])* $variant,)*
        }

        impl $name {
            /// All reasons, in the order of their definition.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// `code` is the stable code of the reason in answers, headers and metrics.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self {
                    $(Self::$variant => $code,)*
                }
            }

            /// `from_code` finds the reason with this code.
            #[must_use]
            pub fn from_code(code: &str) -> Option<Self> {
                match code {
                    $($code => Some(Self::$variant),)*
                    _ => None,
                }
            }
        }
    };
}

reasons! {
    /// `NotRun` is why a request did not run: the target saw nothing of it.
    NotRun {
        /// The target carries its cap.
        OverCap "over_cap",
        /// The target is leaving or its agent is stopping.
        Leaving "leaving",
        /// The organisation is at its limit of work in flight.
        OrganisationLimit "organisation_limit",
        /// The queue is full.
        QueueFull "queue_full",
        /// The request waited as long as it may.
        QueueTimeout "queue_timeout",
        /// The request's deadline passed before it ran.
        Deadline "deadline",
        /// No connection to the target or its agent could be made.
        Connect "connect",
        /// The agent has heard neither its peers nor the platform past its limit.
        OutOfTouch "out_of_touch",
        /// The pool has no live target.
        NoTarget "no_target",
        /// The retry budget is spent.
        RetryBudget "retry_budget",
        /// The claim that keeps it from running twice could not be made.
        ClaimUnavailable "claim_unavailable",
        /// Another attempt with the same idempotency key holds the claim.
        ClaimHeld "claim_held",
        /// The caller went away before it ran.
        CallerGone "caller_gone",
        /// The process has no configuration that is new enough.
        NotReady "not_ready",
        /// The message between our processes was not authentic.
        Unauthentic "unauthentic",
        /// Another target holds the context; the refusal's hint names it.
        Elsewhere "elsewhere",
        /// The attempt was seen before: a duplicate delivery of one message.
        DuplicateAttempt "duplicate_attempt",
    }
}

reasons! {
    /// `MayHaveRun` is why it is unknown whether a request ran, or how far.
    MayHaveRun {
        /// The connection broke after the request was sent.
        Cut "cut",
        /// No answer came in time.
        Timeout "timeout",
        /// The answer was to another attempt.
        WrongAnswer "wrong_answer",
        /// The answer did not follow the protocol.
        BadAnswer "bad_answer",
        /// The target itself failed while it ran.
        TargetFailed "target_failed",
        /// An earlier attempt with the same idempotency key has begun.
        AlreadyBegun "already_begun",
        /// The caller went away while it ran.
        CallerGone "caller_gone",
    }
}

/// `Outcome` is how one attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The target saw nothing of the request.
    NotRun(NotRun),
    /// The target may have run some or all of it.
    MayHaveRun(MayHaveRun),
    /// The whole answer was delivered.
    Done,
}
