// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Reading of settings files, bounded.

use std::fs::File;
use std::io::Read;
use std::path::Path;

use crate::Result;
use crate::errors;

/// The longest settings file, in bytes; a longer one is cut there and so fails to parse.
const MOST_FILE: u64 = 1 << 20;

/// `read` reads the file at `path` as UTF-8.
///
/// # Errors
///
/// Returns [`crate::Error::File`] when it cannot be read or is not UTF-8.
pub fn read(path: &Path) -> Result<String> {
    let mut text = String::new();
    File::open(path)
        .and_then(|file| file.take(MOST_FILE).read_to_string(&mut text))
        .map_err(|e| errors::file(path, e))?;
    Ok(text)
}
