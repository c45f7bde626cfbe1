// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Stand-in for the platform: an in-memory object API and VM list.

pub mod limits;
mod serve;
pub mod settings;
pub mod store;
pub mod vms;

pub use serve::MAX_WAIT_MS;
pub use serve::start;
pub use settings::PlatformSettings;
pub use vms::Vm;
pub use vms::VmList;
pub use vms::VmRole;
