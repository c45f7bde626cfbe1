// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Keys that authenticate messages between the fleet's own processes.

use std::fmt;
use std::path::Path;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error as _;

use crate::Error;
use crate::Result;
use crate::file;

/// Most keys that are valid at once; a rotation needs two.
pub const MAX_KEYS: usize = 8;

/// The shortest secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// The longest secret, in bytes.
pub const MAX_SECRET_BYTES: usize = 64;

/// `Key` is one shared key; the first of a list signs, all of them verify.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The number that messages carry, so that the receiver knows which key to try.
    pub id: u32,
    /// The secret's bytes, hexadecimal in the file.
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

/// `load` reads a file of keys: a JSON list, with comments, newest first.
///
/// A daemon reads its `keys_file` again while it runs, so that keys rotate without a restart.
///
/// # Errors
///
/// Returns [`Error::File`] or, with the fault's place, [`Error::Text`].
pub fn load(path: &Path) -> Result<Vec<Key>> {
    parse(&file::read(path)?)
}

/// `parse` reads a list of keys from a text.
///
/// # Errors
///
/// Returns [`Error::Text`] with the fault's place.
pub fn parse(text: &str) -> Result<Vec<Key>> {
    let list = peppercrank_core::settings::parse::<KeyList>(text)?;
    Ok(list.0)
}

/// A list of keys alone in its text.
#[derive(Deserialize)]
#[serde(transparent)]
struct KeyList(#[serde(deserialize_with = "list")] Vec<Key>);

/// `list` reads one to [`MOST_KEYS`] keys with distinct ids.
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

/// Reads hexadecimal digits as bytes.
fn hex<'de, D: Deserializer<'de>>(from: D) -> std::result::Result<Vec<u8>, D::Error> {
    let text = String::deserialize(from)?;
    decode_secret(&text).ok_or_else(|| D::Error::custom(Error::Hex))
}

/// The bytes of `text`, when it is a secret of a length allowed.
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

/// The value of one hexadecimal digit.
fn hex_digit_value(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    u8::try_from(value).ok()
}
