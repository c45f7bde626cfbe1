// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Results and failures of calls to the platform.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use peppercrank_core::names::VmName;
use peppercrank_core::names::ZoneName;
use serde::Deserialize;
use serde_json::Value;

/// An object in the store of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Object {
    /// The version, which is unique in the whole store.
    pub version: u64,
    /// The body; absent for a tombstone.
    #[serde(default)]
    pub body: Option<Value>,
}

/// An object in a list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct NamedObject {
    /// The name, unique within the kind.
    pub name: String,
    /// The version, which is unique in the whole store.
    pub version: u64,
    /// The body; absent for a tombstone.
    #[serde(default)]
    pub body: Option<Value>,
}

/// Result of a list or a watch.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Listing {
    /// The revision up to which the result is complete.
    pub revision: u64,
    /// The objects, including tombstones.
    pub objects: Vec<NamedObject>,
}

/// Which daemon runs on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A router, on an entry VM.
    Router,
    /// An agent, on the VM of a target.
    Agent,
}

/// A VM in the platform's list, which may be out of date.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Vm {
    /// The name of the VM.
    pub name: VmName,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The address of the daemon on the VM.
    pub address: SocketAddr,
    /// The daemon that runs on the VM.
    pub role: Role,
    /// Whether the platform is removing the VM.
    pub leaving: bool,
}

/// The platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vms {
    /// The revision of the list.
    pub revision: u64,
    /// The VMs with valid entries.
    pub vms: Vec<Vm>,
    /// Number of invalid entries, which are omitted.
    pub invalid: usize,
}

/// Condition of a write on the current state of the object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    New,
    /// The object has this version.
    Version(u64),
}

/// Result of a `get`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fetched {
    /// The object exists.
    Found(Object),
    /// The object does not exist.
    Absent,
}

/// Result of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Watched {
    /// The newer objects, possibly none.
    Changes(Listing),
    /// The revision is too old to watch from; the objects must be listed again.
    TooOld,
}

/// Result of a write that the platform decided on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Written {
    /// The write took effect with this version.
    Done(u64),
    /// The condition did not hold; contains the current object if the platform returned it.
    Conflict(Option<Object>),
}

/// A call failed without a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The rate limit of the platform was reached; contains the requested pause, if any.
    Throttled(Option<Duration>),
    /// The platform is unreachable or unavailable; a write did not take effect.
    Down,
    /// The call timed out; a write was not sent.
    Slow,
    /// A write may or may not have taken effect; reading the object tells which.
    Unknown,
    /// The platform refused the call or violated its protocol.
    Bad(u16),
    /// A kind or name is not valid in a path, so no call was made.
    Name,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Throttled(Some(after)) => {
                write!(f, "the platform requested a pause of {} s", after.as_secs())
            }
            Self::Throttled(None) => f.write_str("the rate limit of the platform was reached"),
            Self::Down => f.write_str("the platform is unavailable"),
            Self::Slow => f.write_str("the platform did not answer in time"),
            Self::Unknown => f.write_str("the write may or may not have taken effect"),
            Self::Bad(status) => write!(
                f,
                "the platform returned an invalid response (status {status})"
            ),
            Self::Name => f.write_str("a kind or name is not valid in a path"),
        }
    }
}

impl std::error::Error for Failure {}
