// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Reading of settings files, bounded.

use std::fs::File;
use std::io;
use std::io::Read;
use std::path::Path;

use crate::Result;
use crate::errors;

/// The longest file, in bytes: as much as the platform holds of one object.
pub const MAX_FILE_BYTES: u64 = 1 << 20;

/// `read` reads the file at `path` as UTF-8.
///
/// # Errors
///
/// Returns [`crate::Error::File`] when it cannot be read, is longer than [`MOST_FILE`] or is not
/// UTF-8.
pub fn read(path: &Path) -> Result<String> {
    read_bounded(path).map_err(|e| errors::unreadable_file(path, e))
}

fn read_bounded(path: &Path) -> io::Result<String> {
    let mut bytes = Vec::new();
    // One byte more tells a file of the greatest length from a longer one.
    File::open(path)?
        .take(MAX_FILE_BYTES + 1)
        .read_to_end(&mut bytes)?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(io::ErrorKind::FileTooLarge.into());
    }
    String::from_utf8(bytes).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
}
