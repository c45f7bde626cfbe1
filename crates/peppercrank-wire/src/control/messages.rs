// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Requests and responses of control calls.

use serde::Deserialize;
use serde::Serialize;

/// An order for the target of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing token, which is the version of the lease that the sender holds.
    pub fence: u64,
    /// The id of the order, which stays the same if the order is sent again.
    pub id: u128,
    /// The sequence number among the sender's orders to this agent, ascending.
    pub seq: u64,
    /// The order as JSON.
    pub order: String,
}

/// Request of a control call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// A message of the configuration relay, as encoded by its crate.
    Config(Vec<u8>),
    /// An order to forward to the target.
    Order(Order),
}

impl ControlRequest {
    /// Returns the name of the request in metrics.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Config(_) => "config",
            Self::Order(_) => "order",
        }
    }

    /// Returns whether the client may repeat the request.
    pub(super) const fn is_idempotent(&self) -> bool {
        // The sender repeats an order itself, because it knows whether its lease is still valid.
        !matches!(self, Self::Order(_))
    }
}

/// Response to a control call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlResponse {
    /// The message was received.
    Received,
    /// The outcome of the order, as JSON.
    Order(String),
    /// The response exceeds the maximum message size; the caller must request less.
    TooLarge,
}
