// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Membership by probes and gossip, and the aggregation of load over it.
