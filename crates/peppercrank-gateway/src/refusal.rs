// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Why a request is sent to no target, with the figures on which that rests.

use peppercrank_direct::decide::WaitCheck;
use peppercrank_direct::place::FullCause;
use peppercrank_log::Field;

use crate::eligible::Rejection;

/// Why a request is sent to no target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The reason, as it is told to the caller, and when its caller should retry.
    pub rejection: Rejection,
    /// The figures on which it rests, for the log.
    pub basis: Basis,
}

impl From<Rejection> for Refusal {
    fn from(rejection: Rejection) -> Self {
        Self {
            rejection,
            basis: Basis::Reason,
        }
    }
}

/// The figures on which a refusal rests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Basis {
    /// None but the reason.
    #[default]
    Reason,
    /// What kept the request from all targets, and the wait that was predicted.
    Room(FullCause, WaitCheck),
    /// The memory that the request needs.
    Memory {
        /// Tokens that it takes at a target that holds no part of its prompt.
        need: u64,
        /// Tokens that a target may hold.
        capacity: u64,
        /// Number of targets without room for it.
        full: u64,
    },
}

impl Basis {
    /// Returns the fields of a log line; those that are not known are left out.
    #[must_use]
    pub fn log_fields(self) -> Vec<(&'static str, Field<'static>)> {
        match self {
            Self::Reason => Vec::new(),
            Self::Room(cause, check) => {
                let cause = match cause {
                    FullCause::Wait => "wait",
                    FullCause::Cap => "load cap",
                };
                let shortest = check.shortest.map(|t| ("shortest_ms", Field::Millis(t)));
                let bound = check.bound.map(|t| ("bound_ms", Field::Millis(t)));
                let cause = [("full_by", Field::Text(cause))];
                cause.into_iter().chain(shortest).chain(bound).collect()
            }
            Self::Memory {
                need,
                capacity,
                full,
            } => vec![
                ("need", Field::Number(need)),
                ("capacity", Field::Number(capacity)),
                ("without_memory", Field::Number(full)),
            ],
        }
    }
}
