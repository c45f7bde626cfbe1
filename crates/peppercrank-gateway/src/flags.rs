// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Command-line flags.

use std::path::PathBuf;

xflags::xflags! {
    /// Serves callers on the users' platform until SIGTERM, then finishes the requests in progress.
    cmd peppercrank-gateway {
        /// Settings file (JSON with comments), reloaded on SIGHUP or when it changes.
        required settings: PathBuf
        /// Only checks the settings, and reports each error with its line and column.
        optional --check
    }
}
