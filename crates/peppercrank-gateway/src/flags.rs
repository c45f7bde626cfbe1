// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The command line's flags.

use std::path::PathBuf;

xflags::xflags! {
    /// Serves callers on the users' platform until SIGTERM, then ends what is in progress.
    cmd peppercrank-gateway {
        /// Its settings: a file of JSON with comments, read anew on SIGHUP or when it changes.
        required settings: PathBuf
        /// Only checks the settings; each fault comes with its line and column.
        optional --check
    }
}
