// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The router's decisions: ranking of targets, context pointers, retries.
