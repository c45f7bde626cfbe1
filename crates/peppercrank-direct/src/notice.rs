// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What a target says of new work in its answers.

use std::time::Duration;

/// `Notice` is what an answer says of new work for its target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the target is leaving, so that it takes none.
    pub leaving: bool,
    /// Time for which it takes none from this router.
    pub pause: Option<Duration>,
}
