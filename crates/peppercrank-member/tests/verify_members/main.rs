// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests of membership over message passing in memory.

mod net;
mod verify_detection;
mod verify_faults;
mod verify_identity;
mod verify_join;
mod verify_loads;
mod verify_riders;
