// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What the platform's calls come to.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use peppercrank_core::names::VmName;
use peppercrank_core::names::ZoneName;
use serde::Deserialize;
use serde_json::Value;

/// `Object` is one object as the platform holds it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Object {
    /// The version, taken from the whole store's numbers.
    pub version: u64,
    /// The body; absent for a tombstone.
    #[serde(default)]
    pub body: Option<Value>,
}

/// `Named` is one object of a list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct NamedObject {
    /// The name within the kind.
    pub name: String,
    /// The version, taken from the whole store's numbers.
    pub version: u64,
    /// The body; absent for a tombstone.
    #[serde(default)]
    pub body: Option<Value>,
}

/// `Listing` is what a list or a watch returns.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Listing {
    /// The revision up to which it tells everything.
    pub revision: u64,
    /// The objects, tombstones included.
    pub objects: Vec<NamedObject>,
}

/// `Role` is which of our daemons a VM runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry VM.
    Router,
    /// A target's VM.
    Agent,
}

/// `Vm` is one VM of the platform's list, which lags.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Vm {
    /// The VM's name.
    pub name: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where its daemon listens.
    pub address: SocketAddr,
    /// Which daemon that is.
    pub role: Role,
    /// Whether the platform is taking it away.
    pub leaving: bool,
}

/// `Vms` is the platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vms {
    /// The list's revision.
    pub revision: u64,
    /// The VMs whose entries are well formed.
    pub vms: Vec<Vm>,
    /// Entries left out since they are malformed.
    pub invalid: usize,
}

/// `Condition` is what a write demands of the object as it stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// There is none.
    New,
    /// It has this version.
    Version(u64),
}

/// `Fetched` is the result of a `get`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fetched {
    /// The object.
    Found(Object),
    /// There is none.
    Absent,
}

/// `Watched` is the result of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Watched {
    /// What is newer, which may be nothing.
    Changes(Listing),
    /// The revision is too old to watch from: list anew.
    TooOld,
}

/// `Written` is the result of a write that the platform decided on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Written {
    /// It took effect with this version.
    Done(u64),
    /// The condition did not hold; the object as it stands, where the platform told.
    Conflict(Option<Object>),
}

/// `Failure` is a call without a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The platform's limit of calls is reached; it says how long to wait, or not.
    Throttled(Option<Duration>),
    /// The platform cannot be reached, or says that it is out; a write did not take effect.
    Down,
    /// No answer came in time; a write was not sent.
    Slow,
    /// A write may or may not have taken effect: read the object to know.
    Unknown,
    /// The platform refused the call, or answered outside its protocol.
    Bad(u16),
    /// A kind or name cannot stand in a path, so that no call was made.
    Name,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Throttled(Some(after)) => {
                write!(f, "the platform asks to wait {} s", after.as_secs())
            }
            Self::Throttled(None) => f.write_str("the platform's limit of calls is reached"),
            Self::Down => f.write_str("the platform is down"),
            Self::Slow => f.write_str("the platform did not answer in time"),
            Self::Unknown => f.write_str("the write may or may not have taken effect"),
            Self::Bad(status) => write!(f, "the platform's answer ({status}) makes no sense"),
            Self::Name => f.write_str("a kind or name cannot stand in a path"),
        }
    }
}

impl std::error::Error for Failure {}
