// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Outcome of an order at one target.

use std::fmt;

use peppercrank_lease::gate::Outcome;
use peppercrank_lease::gate::Reply;
use peppercrank_lease::store::Version;
use peppercrank_wire::control::ControlError;
use serde::Serialize;

use crate::exit::Exit;

/// `OrderOutcome` is the outcome of an order at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The engine carried out the order.
    Obeyed,
    /// The engine refused the order.
    Refused,
    /// The answer was lost or not understood; the engine may have carried out the order.
    Unknown,
    /// Not forwarded: the agent has already seen this fencing number or a higher one.
    Stale {
        /// Lowest fencing number that the agent accepts.
        least: u64,
    },
    /// Not forwarded: the agent has restarted and cannot read the lease.
    Unread,
    /// Not forwarded: too many orders or calls are queued at the agent.
    Busy,
    /// Not sent: the lease was no longer held.
    Lapsed,
    /// Not sent: connecting to the agent failed.
    Unreached,
    /// Not sent: none of the daemons that answered is the target's agent, or the agent reports no
    /// control address.
    NoAgent,
    /// Not forwarded: the agent does not know the key that the order was sealed with.
    Unauthentic,
    /// Not forwarded: the target is a plain service, which takes no orders.
    NoEngine,
    /// Not forwarded: the agent could not parse the order.
    Malformed,
}

impl OrderOutcome {
    /// Returns the outcome for an agent's reply or for a failed call.
    #[must_use]
    pub fn from_reply(reply: Result<String, ControlError>) -> Self {
        match reply {
            Ok(text) => Self::parse(&text),
            Err(ControlError::Connect(_)) => Self::Unreached,
            Err(ControlError::Busy) => Self::Busy,
            Err(ControlError::Refused(_)) => Self::Unauthentic,
            // The order may have been forwarded before the answer was lost.
            Err(_) => Self::Unknown,
        }
    }

    fn parse(text: &str) -> Self {
        match text {
            r#""no_target""# => return Self::NoEngine,
            r#""malformed""# => return Self::Malformed,
            _ => {}
        }
        match serde_json::from_str(text) {
            Ok(Outcome::Passed(Reply::Obeyed)) => Self::Obeyed,
            Ok(Outcome::Passed(Reply::Refused)) => Self::Refused,
            Ok(Outcome::Stale {
                least: Version(least),
            }) => Self::Stale { least },
            Ok(Outcome::Unread) => Self::Unread,
            Ok(Outcome::Busy) => Self::Busy,
            // The reply of a newer agent may mean that it forwarded the order.
            Ok(Outcome::Passed(Reply::Unknown)) | Err(_) => Self::Unknown,
        }
    }

    /// Returns the exit code of a run with only this outcome.
    #[must_use]
    pub const fn exit(self) -> Exit {
        match self {
            Self::Obeyed => Exit::Done,
            Self::Unknown => Exit::Unknown,
            Self::Stale { .. } | Self::Lapsed => Exit::Conflict,
            Self::Refused
            | Self::Unread
            | Self::Busy
            | Self::Unreached
            | Self::NoAgent
            | Self::Unauthentic
            | Self::NoEngine
            | Self::Malformed => Exit::Failure,
        }
    }

    /// Returns the exit code of a run over several targets.
    ///
    /// An unknown outcome takes precedence over a lost race for the lease, which takes precedence
    /// over any other failure.
    #[must_use]
    pub fn worst_exit(outcomes: impl IntoIterator<Item = Self>) -> Exit {
        let rank = |exit: &Exit| match exit {
            Exit::Done => 0,
            Exit::Failure => 1,
            Exit::Conflict => 2,
            _ => 3,
        };
        let exits = outcomes.into_iter().map(Self::exit);
        exits.max_by_key(rank).unwrap_or(Exit::Done)
    }
}

impl fmt::Display for OrderOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Obeyed => "obeyed",
            Self::Refused => "refused by the engine",
            Self::Unknown => "unknown: the engine may have obeyed",
            Self::Stale { least } => {
                return write!(
                    f,
                    "stale: the agent requires a fencing number of at least {least}"
                );
            }
            Self::Unread => "unread: the agent cannot read the lease",
            Self::Busy => "busy: too many orders are queued at the agent",
            Self::Lapsed => "lapsed: the lease was no longer held; nothing was sent",
            Self::Unreached => "unreached: no connection to the agent",
            Self::NoAgent => "no agent: its control address is unknown",
            Self::Unauthentic => "unauthentic: the agent does not know the key",
            Self::NoEngine => "no engine: a plain service takes no orders",
            Self::Malformed => "malformed: the agent does not understand the order",
        })
    }
}
