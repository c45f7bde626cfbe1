// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What became of an order at one target.

use std::fmt;

use peppercrank_lease::gate::Outcome;
use peppercrank_lease::gate::Reply;
use peppercrank_lease::store::Version;
use peppercrank_wire::control::ControlError;
use serde::Serialize;

use crate::exit::Exit;

/// `Fate` is what became of an order at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The engine obeyed.
    Obeyed,
    /// The engine refused.
    Refused,
    /// An answer was lost: the engine may have obeyed.
    Unknown,
    /// Not passed: the agent knows of this fencing number or a higher one.
    Stale {
        /// The least number that it passes.
        least: u64,
    },
    /// Not passed: the agent has restarted and cannot read the lease.
    Unread,
    /// Not passed: too many orders or calls wait at the agent.
    Busy,
    /// Not sent: the lease was held no more.
    Lapsed,
    /// Not sent: no connection to the agent was made.
    Unreached,
    /// Not sent: no daemon that answers is the target's agent, or it tells no control address.
    NoAgent,
    /// Not passed: the agent does not know the key that the order was sealed with.
    Unauthentic,
    /// Not passed: a plain service takes no orders.
    NoEngine,
    /// Not passed: the agent does not understand the order.
    Malformed,
}

impl OrderOutcome {
    /// `of` reads what the agent said, or why it said nothing.
    #[must_use]
    pub fn from_reply(told: Result<String, ControlError>) -> Self {
        match told {
            Ok(text) => Self::parse(&text),
            Err(ControlError::Connect(_)) => Self::Unreached,
            Err(ControlError::Busy) => Self::Busy,
            Err(ControlError::Refused(_)) => Self::Unauthentic,
            // The order may have been passed on before its answer was lost.
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
            // The words of a newer agent may mean that it passed the order.
            Ok(Outcome::Passed(Reply::Unknown)) | Err(_) => Self::Unknown,
        }
    }

    /// `exit` is the exit code that a run with this fate alone ends with.
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

    /// `worst` is the exit code of a run over several targets.
    ///
    /// An unknown fate goes before a lost race, and that before any other failure.
    #[must_use]
    pub fn worst_exit(fates: impl IntoIterator<Item = Self>) -> Exit {
        let rank = |exit: &Exit| match exit {
            Exit::Done => 0,
            Exit::Failure => 1,
            Exit::Conflict => 2,
            _ => 3,
        };
        let exits = fates.into_iter().map(Self::exit);
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
                return write!(f, "stale: the agent passes numbers from {least} on");
            }
            Self::Unread => "unread: the agent cannot read the lease",
            Self::Busy => "busy: too many orders wait there",
            Self::Lapsed => "lapsed: the lease was held no more, nothing was sent",
            Self::Unreached => "unreached: no connection to the agent",
            Self::NoAgent => "no agent: nobody told its control address",
            Self::Unauthentic => "unauthentic: the agent does not know the key",
            Self::NoEngine => "no engine: a plain service takes no orders",
            Self::Malformed => "malformed: the agent does not understand the order",
        })
    }
}
