// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Settings of the platform stand-in.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::faults::Faults;
use crate::platform::vms::Vm;

/// `PlatformSettings` are the settings of one platform stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSettings {
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// The VMs at the start.
    pub vms: Vec<Vm>,
    /// Age of the VM list that callers see, in milliseconds.
    pub vms_lag_ms: u64,
    /// Reads a second, watches included; 0 for no limit.
    pub reads: u32,
    /// Writes a second; 0 for no limit.
    pub writes: u32,
    /// Tombstones kept of each kind.
    pub tombstones: usize,
    /// Faults from the start.
    pub faults: Faults,
}

impl Default for PlatformSettings {
    /// The rates are those that the platform's users give: several hundred writes, 2,000 reads.
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            vms: Vec::new(),
            vms_lag_ms: 1_000,
            reads: 2_000,
            writes: 400,
            tombstones: 4_096,
            faults: Faults::default(),
        }
    }
}
