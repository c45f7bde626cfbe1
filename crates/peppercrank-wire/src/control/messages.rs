// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What our processes ask each other, and what they tell.

use serde::Deserialize;
use serde::Serialize;

/// `Order` is an order for the target beside an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number: the version of the lease that the sender holds.
    pub fence: u64,
    /// The order's own id, the same when it is sent again.
    pub id: u128,
    /// Its number among the sender's orders to this agent, rising.
    pub seq: u64,
    /// The order as JSON.
    pub order: String,
}

/// `Ask` is one control call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Take this message of the configuration relay, in the encoding of its crate.
    Config(Vec<u8>),
    /// Pass this order to the target.
    Order(Order),
}

impl ControlRequest {
    /// `kind` names the call in metrics.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Config(_) => "config",
            Self::Order(_) => "order",
        }
    }

    /// `repeats` tells whether asking twice does no more than asking once.
    pub(super) const fn is_idempotent(&self) -> bool {
        // An order is repeated by its sender, which knows whether its lease still holds.
        !matches!(self, Self::Order(_))
    }
}

/// `Told` is the answer to one control call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlResponse {
    /// The message was taken.
    Received,
    /// What became of the order, as JSON.
    Order(String),
    /// The answer is longer than a message may be: ask for less.
    TooLarge,
}
