// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The list of live and leaving VMs.

use serde::Deserialize;
use serde::Serialize;

/// `VmRole` is what runs on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// A router.
    Router,
    /// An agent beside its target.
    Agent,
}

/// `Vm` is one VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// The address of the process on it.
    pub address: String,
    /// What runs on it.
    pub role: VmRole,
    /// Whether it is about to go.
    #[serde(default)]
    pub leaving: bool,
}

/// `VmList` is all VMs at one revision of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct VmList {
    /// The revision; each change of the list takes the next.
    pub revision: u64,
    /// The VMs.
    pub vms: Vec<Vm>,
}
