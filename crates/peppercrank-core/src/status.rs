// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What a daemon tells operators of itself, as JSON on its operators' address.
//!
//! `GET /status` answers a [`Status`]; `GET /objects/{kind}/{name}` answers a [`Held`], which is
//! how the command line learns that an object is in force everywhere. Both want an operators'
//! bearer token. Readers skip fields that they do not know, so that newer daemons may add some.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::blackboard::TargetState;
use crate::names::PoolName;
use crate::names::TargetName;
use crate::names::VmName;
use crate::names::ZoneName;
use crate::objects::MarkAction;
use crate::objects::ObjectKey;
use crate::units::Cost;

/// Path of the [`Status`] page.
pub const STATUS_PATH: &str = "/status";

/// Path above the [`Held`] pages: `/objects/{kind}/{name}`.
pub const OBJECTS_PATH: &str = "/objects";

/// `Role` is which daemon answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DaemonRole {
    /// It takes callers' requests.
    Router,
    /// It stands beside one target.
    Agent,
}

/// `Status` is one daemon as it sees itself and the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Its VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Which daemon it is.
    pub role: DaemonRole,
    /// Whether `/readyz` says yes.
    pub ready: bool,
    /// Whether it was told to stop.
    #[serde(default)]
    pub stopping: bool,
    /// The configuration that it holds.
    pub configuration: ConfigurationStatus,
    /// Where it takes control calls, none when it does not say.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// The targets: an agent's own, or all that a router believes in.
    #[serde(default)]
    pub targets: Vec<TargetStatus>,
}

/// `Configuration` is what configuration a daemon holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationStatus {
    /// Digest over all objects and versions, hexadecimal: equal where the configuration is.
    pub digest: String,
    /// The highest version among the objects held.
    pub version: u64,
    /// How many objects it holds, tombstones not counted.
    pub objects: u64,
    /// Time since it was last known to be as new as the platform's, none when unknown.
    #[serde(default)]
    pub age_ms: Option<u64>,
    /// Objects that failed the checks, so that an older version is in force.
    #[serde(default)]
    pub invalid: Vec<InvalidObject>,
}

/// `Invalid` is an object that failed the checks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InvalidObject {
    /// The object.
    pub key: ObjectKey,
    /// The version that failed.
    pub version: u64,
    /// Why, for people.
    pub reason: String,
}

/// `TargetStatus` is one target as the daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The target.
    pub name: TargetName,
    /// Its pool.
    pub pool: PoolName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its state.
    pub state: TargetState,
    /// Its load, told by its own agent only.
    #[serde(default)]
    pub load: Option<LoadStatus>,
    /// Its drain, told by its own agent only, none while it is not leaving.
    #[serde(default)]
    pub drain: Option<DrainStatus>,
}

/// `LoadStatus` is the load of a target as its own agent counts it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadStatus {
    /// Work reserved in flight.
    pub cost: Cost,
    /// The most that it admits now.
    pub cap: Cost,
    /// Requests in flight.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
}

/// `DrainStatus` is how far a leaving target is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// What its mark asks.
    pub action: MarkAction,
    /// Whether nothing runs any more and its pointers were handed on.
    pub drained: bool,
}

/// `Held` is what a daemon holds of one object.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldObject {
    /// The version in force, a tombstone's included; 0 when it never heard of one.
    pub version: u64,
    /// Whether that version is a deletion.
    #[serde(default)]
    pub deleted: bool,
}
