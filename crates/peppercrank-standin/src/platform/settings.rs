// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Settings of the platform stand-in.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::faults::Faults;
use crate::platform::vms::Vm;

/// Settings of a platform stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSettings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// VM list at the start.
    pub vms: Vec<Vm>,
    /// Delay until a change of the VM list becomes visible to callers, in milliseconds.
    pub vms_lag_ms: u64,
    /// Limit of reads per second, including watches; 0 means no limit.
    pub reads: u32,
    /// Limit of writes per second; 0 means no limit.
    pub writes: u32,
    /// Number of tombstones retained for each kind.
    pub tombstones: usize,
    /// Faults that are active at the start.
    pub faults: Faults,
}

impl Default for PlatformSettings {
    /// Returns defaults with the rates that users of the platform report: several hundred writes
    /// and 2,000 reads per second.
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
