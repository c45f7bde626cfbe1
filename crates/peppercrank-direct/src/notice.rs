// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Notices in a target's answers about new work.

use std::time::Duration;

/// Notice of a target about new work, from one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the target is leaving and takes no new work.
    pub leaving: bool,
    /// Time for which the target takes no new work from this router; `None` without a pause.
    pub pause: Option<Duration>,
}
