// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Configuration objects: checks, versioned merge, relay between processes, publishing.
