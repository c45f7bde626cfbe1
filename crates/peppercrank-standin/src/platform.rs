// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The platform's stand-in: object API and VM list, all in memory.

pub mod limits;
pub mod store;
