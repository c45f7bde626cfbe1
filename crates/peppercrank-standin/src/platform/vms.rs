// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The list of running VMs and those that are about to be removed.

use serde::Deserialize;
use serde::Serialize;

/// Process that runs on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// A router.
    Router,
    /// An agent next to its target.
    Agent,
}

/// Entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address of the process on the VM.
    pub address: String,
    /// Process that runs on the VM.
    pub role: VmRole,
    /// Whether the VM is about to be removed; false if absent.
    #[serde(default)]
    pub leaving: bool,
}

/// All VMs at one revision of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct VmList {
    /// Revision of the list, incremented by each change.
    pub revision: u64,
    /// Entries in the order in which they were set.
    pub vms: Vec<Vm>,
}
