// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Status that a daemon reports to operators, as JSON on its operators' address.
//!
//! `GET /status` returns a [`Status`]. `GET /objects/{kind}/{name}` returns a [`HeldObject`], with
//! which the command line checks that an object is in force on all daemons. Both require an
//! operators' bearer token. Readers ignore unknown fields, so that newer daemons can add some.

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

/// Path of the [`Status`] resource.
pub const STATUS_PATH: &str = "/status";

/// Parent path of the [`HeldObject`] resources, `/objects/{kind}/{name}`.
pub const OBJECTS_PATH: &str = "/objects";

/// Which kind of daemon reports its status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DaemonRole {
    /// Accepts the requests of callers.
    Router,
    /// Runs next to a single target.
    Agent,
}

/// Status of a daemon and of the targets that it knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The VM on which the daemon runs.
    pub vm: VmName,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The kind of daemon.
    pub role: DaemonRole,
    /// Whether `/readyz` reports that the daemon is ready.
    pub ready: bool,
    /// Whether the daemon is shutting down.
    #[serde(default)]
    pub stopping: bool,
    /// The configuration in force.
    pub configuration: ConfigurationStatus,
    /// The address on which the daemon accepts control calls, if it reports one.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// The agent's own target, or all targets known to a router.
    #[serde(default)]
    pub targets: Vec<TargetStatus>,
}

/// Status of the configuration that a daemon holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationStatus {
    /// Digest of all objects and their versions, in hexadecimal; equal for equal configurations.
    pub digest: String,
    /// The highest version of any object.
    pub version: u64,
    /// Number of objects, without tombstones.
    pub objects: u64,
    /// Time since the configuration was last known to match the platform, in milliseconds.
    ///
    /// `None` if unknown.
    #[serde(default)]
    pub age_ms: Option<u64>,
    /// Object versions that failed validation, for which an older version remains in force.
    #[serde(default)]
    pub invalid: Vec<InvalidObject>,
}

/// An object version that failed validation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InvalidObject {
    /// The object whose version is invalid.
    pub key: ObjectKey,
    /// The invalid version.
    pub version: u64,
    /// The human-readable validation error.
    pub reason: String,
}

/// Status of a target as seen by the daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The name of the target.
    pub name: TargetName,
    /// The pool that the target belongs to.
    pub pool: PoolName,
    /// The availability zone of the target.
    pub zone: ZoneName,
    /// The state as seen by the daemon.
    pub state: TargetState,
    /// The load; only the target's own agent reports it.
    #[serde(default)]
    pub load: Option<LoadStatus>,
    /// The drain progress; only the target's own agent reports it, while the target is leaving.
    #[serde(default)]
    pub drain: Option<DrainStatus>,
}

/// Load of a target as counted by its own agent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadStatus {
    /// Work reserved for requests in flight, in cost units.
    pub cost: Cost,
    /// Current load cap, in cost units.
    pub cap: Cost,
    /// Number of requests in flight.
    pub running: u32,
    /// Number of requests in the queue.
    pub waiting: u32,
}

/// Drain progress of a leaving target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// The action requested by the mark.
    pub action: MarkAction,
    /// Whether no requests are running and the cache pointers were handed over.
    pub drained: bool,
}

/// The version of a configuration object that a daemon holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldObject {
    /// The version in force, which may be that of a tombstone; 0 if the object is unknown.
    pub version: u64,
    /// Whether this version is a tombstone.
    #[serde(default)]
    pub deleted: bool,
}
