// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The agent's decisions: bounded load, fair queueing, limits of organisations, draining.
