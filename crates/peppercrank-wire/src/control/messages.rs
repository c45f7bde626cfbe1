// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What our processes ask each other, and what they tell.

use peppercrank_core::names::TargetName;
use peppercrank_core::objects::ObjectKey;
use serde::Deserialize;
use serde::Serialize;

/// `Pulled` is one configuration object as its giver holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulled {
    /// The object.
    pub key: ObjectKey,
    /// Its version.
    pub version: u64,
    /// Its body as JSON; absent for a tombstone.
    pub body: Option<String>,
}

/// `Pointer` tells which target last served a chat, or holds a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pointer {
    /// The chat's or prefix's key.
    pub key: u64,
    /// Whether the key is a prefix's.
    pub prefix: bool,
    /// The target.
    pub target: TargetName,
}

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
pub enum Ask {
    /// Give these configuration objects.
    Pull(Vec<ObjectKey>),
    /// Take this message of the configuration relay, in the encoding of its crate.
    Config(Vec<u8>),
    /// Give the digest of the configuration in force.
    Digest,
    /// Take over these pointers.
    Handover(Vec<Pointer>),
    /// Pass this order to the target.
    Order(Order),
    /// Tell the status.
    Status,
}

impl Ask {
    /// `kind` names the call in metrics.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Pull(_) => "pull",
            Self::Config(_) => "config",
            Self::Digest => "digest",
            Self::Handover(_) => "handover",
            Self::Order(_) => "order",
            Self::Status => "status",
        }
    }

    /// `repeats` tells whether asking twice does no more than asking once.
    pub(super) const fn repeats(&self) -> bool {
        // An order is repeated by its sender, which knows whether its lease still holds.
        !matches!(self, Self::Order(_))
    }
}

/// `Told` is the answer to one control call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Told {
    /// The objects that the giver has, of those asked for.
    Objects(Vec<Pulled>),
    /// The message was taken.
    Received,
    /// The digest, in the encoding of the crate that computes it.
    Digest(Vec<u8>),
    /// How many pointers were taken over.
    Taken(u32),
    /// What became of the order, as JSON.
    Order(String),
    /// The status, as JSON.
    Status(String),
    /// The asked process does not answer this call.
    Unsupported,
    /// The answer is longer than a message may be: ask for less.
    TooBig,
}
