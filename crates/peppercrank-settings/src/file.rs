// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Reads settings files of bounded size.

use std::fs::File;
use std::io;
use std::io::Read;
use std::path::Path;

use crate::Result;
use crate::errors;

/// Maximum size of a file in bytes, equal to the maximum size of an object on the platform.
pub const MAX_FILE_BYTES: u64 = 1 << 20;

/// Reads the file at `path` as UTF-8.
///
/// # Errors
///
/// Returns [`crate::Error::File`] if the file cannot be read, is larger than [`MAX_FILE_BYTES`] or
/// is not UTF-8.
pub fn read(path: &Path) -> Result<String> {
    read_bounded(path).map_err(|e| errors::unreadable_file(path, e))
}

fn read_bounded(path: &Path) -> io::Result<String> {
    let mut bytes = Vec::new();
    // The additional byte distinguishes a file of the maximum size from a larger one.
    File::open(path)?
        .take(MAX_FILE_BYTES + 1)
        .read_to_end(&mut bytes)?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(io::ErrorKind::FileTooLarge.into());
    }
    String::from_utf8(bytes).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
}
