// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Keys that authenticate messages between processes of the fleet.

use std::fmt;
use std::path::Path;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error as _;

use crate::Error;
use crate::Result;
use crate::file;

/// Maximum number of keys that are valid at the same time; a rotation needs two.
pub const MAX_KEYS: usize = 8;

/// Minimum length of a secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Maximum length of a secret, in bytes.
pub const MAX_SECRET_BYTES: usize = 64;

/// A shared key; the first key of a list signs, all of them verify.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The id that messages carry to tell the receiver which key to use.
    pub id: u32,
    /// The secret, which is hexadecimal in the settings.
    #[serde(deserialize_with = "hex")]
    pub secret: Vec<u8>,
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Key")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// Reads a file of keys, a JSON array with comments, newest key first.
///
/// A daemon reloads its `keys_file` while it runs, so that keys can be rotated without a restart.
///
/// # Errors
///
/// Returns [`Error::File`] if the file cannot be read, or [`Error::Text`] with the position of the
/// first error.
pub fn load(path: &Path) -> Result<Vec<Key>> {
    parse(&file::read(path)?)
}

/// Parses a list of keys.
///
/// # Errors
///
/// Returns [`Error::Text`] with the position of the first error.
pub fn parse(text: &str) -> Result<Vec<Key>> {
    let list = peppercrank_core::settings::parse::<KeyList>(text)?;
    Ok(list.0)
}

/// A list of keys as a whole document.
#[derive(Deserialize)]
#[serde(transparent)]
struct KeyList(#[serde(deserialize_with = "list")] Vec<Key>);

/// Deserializes 1 to [`MAX_KEYS`] keys with distinct ids.
pub(crate) fn list<'de, D: Deserializer<'de>>(from: D) -> std::result::Result<Vec<Key>, D::Error> {
    let keys = Vec::<Key>::deserialize(from)?;
    if !(1..=MAX_KEYS).contains(&keys.len()) {
        let most = MAX_KEYS.to_string();
        let count = format!("{} keys", keys.len());
        return Err(D::Error::custom(crate::errors::out_of_range(
            &count, "1", &most,
        )));
    }
    for (at, key) in keys.iter().enumerate() {
        if keys[..at].iter().any(|k| k.id == key.id) {
            return Err(D::Error::custom(Error::DuplicateKeyId { id: key.id }));
        }
    }
    Ok(keys)
}

/// Deserializes a secret from hexadecimal digits.
fn hex<'de, D: Deserializer<'de>>(from: D) -> std::result::Result<Vec<u8>, D::Error> {
    let text = String::deserialize(from)?;
    decode_secret(&text).ok_or_else(|| D::Error::custom(Error::Hex))
}

/// Decodes a hexadecimal secret, or returns `None` if it is malformed or its length is invalid.
fn decode_secret(text: &str) -> Option<Vec<u8>> {
    let digits = text
        .bytes()
        .map(hex_digit_value)
        .collect::<Option<Vec<u8>>>()?;
    let pairs = digits.chunks_exact(2);
    let whole = pairs.remainder().is_empty();
    let secret = pairs.map(|p| p[0] << 4 | p[1]).collect::<Vec<u8>>();
    let fits = (MIN_SECRET_BYTES..=MAX_SECRET_BYTES).contains(&secret.len());
    (whole && fits).then_some(secret)
}

/// Returns the value of a hexadecimal digit.
fn hex_digit_value(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    u8::try_from(value).ok()
}
