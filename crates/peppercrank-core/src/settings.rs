// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Settings texts: JSON with comments, checked, with line and column in each error.

use std::io::Read;

use json_comments::StripComments;
use serde::de::DeserializeOwned;

use crate::Error;

/// `parse` reads a settings text, JSON with comments, into `T`.
///
/// Types that refuse unknown keys and check ranges as they deserialize get the line and column
/// of each fault for nothing.
///
/// # Errors
///
/// Returns [`Error::Settings`] with the place of the first fault.
pub fn parse<T: DeserializeOwned>(text: &str) -> crate::Result<T> {
    let mut plain = String::with_capacity(text.len());
    // Comments become spaces, so that places stay true.
    let stripped = StripComments::new(text.as_bytes()).read_to_string(&mut plain);
    if let Err(e) = stripped {
        return Err(Error::Settings {
            line: 1,
            column: 1,
            reason: e.to_string(),
        });
    }
    serde_json::from_str(&plain).map_err(|e| Error::Settings {
        line: e.line(),
        column: e.column(),
        reason: reason(&e),
    })
}

/// The fault without the place that `serde_json` appends to it.
fn reason(e: &serde_json::Error) -> String {
    let text = e.to_string();
    match text.rfind(" at line ") {
        Some(at) => text[..at].to_owned(),
        None => text,
    }
}
