// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Leases with fencing numbers, the order gate, and claims for requests that run at most once.
