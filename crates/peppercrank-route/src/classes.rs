// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What follows each reason of a refusal.

use peppercrank_core::refusal::NotRun;

/// `After` is what a router does after a refusal as not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum After {
    /// Another target may have room: try it now.
    Next,
    /// Another target may serve, but many routers see the same failure: pause first.
    Pause,
    /// No other target would answer otherwise: refuse.
    Stop,
}

/// `after` tells what follows `reason`.
#[must_use]
pub const fn after(reason: NotRun) -> After {
    match reason {
        NotRun::OverCap
        | NotRun::Leaving
        | NotRun::QueueFull
        | NotRun::QueueTimeout
        | NotRun::Elsewhere
        // Each target holds a part of an organisation's limit, and another may have room.
        | NotRun::OrganisationLimit
        | NotRun::NoTarget => After::Next,
        NotRun::Connect | NotRun::OutOfTouch | NotRun::NotReady | NotRun::Unauthentic => {
            After::Pause
        }
        NotRun::Deadline
        | NotRun::RetryBudget
        | NotRun::ClaimUnavailable
        | NotRun::ClaimHeld
        | NotRun::CallerGone
        | NotRun::DuplicateAttempt => After::Stop,
    }
}

/// `is_worth_waiting` tells whether a caller refused for `reason` is told when to come back.
#[must_use]
pub const fn is_worth_waiting(reason: NotRun) -> bool {
    match reason {
        NotRun::OverCap
        | NotRun::Leaving
        | NotRun::OrganisationLimit
        | NotRun::QueueFull
        | NotRun::QueueTimeout
        | NotRun::Connect
        | NotRun::OutOfTouch
        | NotRun::NoTarget
        | NotRun::RetryBudget
        | NotRun::ClaimUnavailable
        | NotRun::ClaimHeld
        | NotRun::NotReady
        | NotRun::Elsewhere => true,
        NotRun::Deadline | NotRun::CallerGone | NotRun::Unauthentic | NotRun::DuplicateAttempt => {
            false
        }
    }
}

/// `tells_unreachable` tells whether `reason` means that the target itself was not reached.
#[must_use]
pub const fn tells_unreachable(reason: NotRun) -> bool {
    matches!(reason, NotRun::Connect)
}
