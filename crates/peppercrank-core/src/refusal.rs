// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Outcomes of an attempt, with the closed sets of reasons for a failure.

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
            /// All reasons in the order of their definition.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the stable code of the reason in responses, headers and metrics.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self {
                    $(Self::$variant => $code,)*
                }
            }

            /// Returns the reason with this code, or `None` if the code is unknown.
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
    /// Why a request did not run; no part of it reached the target.
    NotRun {
        /// The target is at its load cap.
        OverCap "over_cap",
        /// The target is leaving or its agent is stopping.
        Leaving "leaving",
        /// The organisation is at its limit for work in flight.
        OrganisationLimit "organisation_limit",
        /// The queue of the target is full.
        QueueFull "queue_full",
        /// The request reached the maximum time in the queue.
        QueueTimeout "queue_timeout",
        /// The deadline of the request passed before it ran.
        Deadline "deadline",
        /// The connection to the target or its agent could not be established.
        Connect "connect",
        /// The agent heard from neither its peers nor the platform within its time limit.
        OutOfTouch "out_of_touch",
        /// The pool has no available target.
        NoTarget "no_target",
        /// The retry budget is exhausted.
        RetryBudget "retry_budget",
        /// The claim that prevents a second run of the request could not be acquired.
        ClaimUnavailable "claim_unavailable",
        /// Another attempt with the same idempotency key holds the claim.
        ClaimHeld "claim_held",
        /// The caller disconnected before the request ran.
        CallerGone "caller_gone",
        /// The process has no configuration that is recent enough.
        NotReady "not_ready",
        /// The message between processes of the fleet failed authentication.
        Unauthentic "unauthentic",
        /// Another target holds the cached context; the hint in the refusal names it.
        Elsewhere "elsewhere",
        /// The attempt was already received; this is a duplicate delivery of the message.
        DuplicateAttempt "duplicate_attempt",
    }
}

reasons! {
    /// Why it is unknown whether, or how far, a request ran.
    MayHaveRun {
        /// The connection failed after the request was sent.
        Cut "cut",
        /// No response arrived in time.
        Timeout "timeout",
        /// The response belonged to another attempt.
        WrongAnswer "wrong_answer",
        /// The response violated the protocol.
        BadAnswer "bad_answer",
        /// The target failed while the request ran.
        TargetFailed "target_failed",
        /// An earlier attempt with the same idempotency key already started.
        AlreadyBegun "already_begun",
        /// The caller disconnected while the request ran.
        CallerGone "caller_gone",
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// No part of the request reached the target.
    NotRun(NotRun),
    /// The target may have run part or all of the request.
    MayHaveRun(MayHaveRun),
    /// The complete response was delivered.
    Done,
}
