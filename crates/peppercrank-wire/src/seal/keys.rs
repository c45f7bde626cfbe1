// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Keys shared by the processes of the fleet, and their rotation.

use std::fmt;

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

use super::Channel;

/// Length of an authentication code in bytes.
///
/// RFC 2104 allows truncating HMAC-SHA256 to half of its length, which leaves 2^128 possible codes.
pub(super) const TAG_LEN: usize = 16;

/// Minimum length of a secret in bytes, which gives it the same strength as the code.
const MIN_SECRET_BYTES: usize = 16;

/// A shared secret with the id that messages refer to.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    id: u32,
    secret: Vec<u8>,
}

/// A set of keys is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// The secret of the key with this id is not hexadecimal.
    InvalidHex(u32),
    /// The secret of the key with this id is shorter than 16 bytes.
    SecretTooShort(u32),
    /// Two keys have this id.
    DuplicateId(u32),
    /// The key ring is empty, or has no key with the id to sign with.
    MissingKey,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidHex(id) => write!(f, "the secret of key {id} is not hexadecimal"),
            Self::SecretTooShort(id) => {
                write!(f, "the secret of key {id} is shorter than 16 bytes")
            }
            Self::DuplicateId(id) => write!(f, "two keys have the id {id}"),
            Self::MissingKey => f.write_str("there is no key to sign with"),
        }
    }
}

impl std::error::Error for KeyError {}

impl Key {
    /// Creates a key from an id and a secret.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::SecretTooShort`] if the secret is shorter than 16 bytes.
    pub fn new(id: u32, secret: &[u8]) -> Result<Self, KeyError> {
        if secret.len() < MIN_SECRET_BYTES {
            return Err(KeyError::SecretTooShort(id));
        }
        let secret = secret.to_vec();
        Ok(Self { id, secret })
    }

    /// Creates a key from an id and a hexadecimal secret, as written in settings.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::InvalidHex`] or [`KeyError::SecretTooShort`].
    pub fn from_hex(id: u32, text: &str) -> Result<Self, KeyError> {
        let digits = text.as_bytes();
        let (pairs, rest) = digits.as_chunks::<2>();
        if !rest.is_empty() {
            return Err(KeyError::InvalidHex(id));
        }
        let secret: Option<Vec<u8>> = pairs.iter().map(|p| decode_hex_byte(*p)).collect();
        Self::new(id, &secret.ok_or(KeyError::InvalidHex(id))?)
    }

    /// Returns the id that messages refer to.
    #[must_use]
    pub const fn id(&self) -> u32 {
        self.id
    }
}

fn decode_hex_byte([high, low]: [u8; 2]) -> Option<u8> {
    let high = char::from(high).to_digit(16)?;
    let low = char::from(low).to_digit(16)?;
    u8::try_from(high * 16 + low).ok()
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Keeps the secret out of logs.
        f.debug_struct("Key")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// The accepted keys, one of which signs.
///
/// A rotation deploys three key rings one after the other, each to every process: old and new key,
/// signing with the old one; old and new key, signing with the new one; the new key only.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyRing {
    keys: Vec<Key>,
    signer: usize,
}

impl KeyRing {
    /// Creates a key ring that accepts all keys and signs with the one that has the highest id.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::MissingKey`] without keys, or [`KeyError::DuplicateId`] if two keys have
    /// the same id.
    pub fn new(mut keys: Vec<Key>) -> Result<Self, KeyError> {
        keys.sort_by_key(Key::id);
        for pair in keys.windows(2) {
            if pair[0].id == pair[1].id {
                return Err(KeyError::DuplicateId(pair[0].id));
            }
        }
        let signer = keys.len().checked_sub(1).ok_or(KeyError::MissingKey)?;
        Ok(Self { keys, signer })
    }

    /// Returns the same key ring, but signing with the key that has this id.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::MissingKey`] if the key ring has no such key.
    pub fn signing_with(mut self, id: u32) -> Result<Self, KeyError> {
        let found = self.keys.iter().position(|k| k.id == id);
        self.signer = found.ok_or(KeyError::MissingKey)?;
        Ok(self)
    }

    pub(super) fn signer(&self) -> &Key {
        &self.keys[self.signer]
    }

    pub(super) fn find(&self, id: u32) -> Option<&Key> {
        self.keys.iter().find(|k| k.id == id)
    }
}

/// Computes the authentication code of a message.
#[derive(Debug)]
pub(super) struct MessageMac(Hmac<Sha256>);

impl MessageMac {
    pub(super) fn new(key: &Key, channel: Channel) -> Self {
        let mac = <Hmac<Sha256> as KeyInit>::new_from_slice(&key.secret);
        let code = Self(mac.expect("HMAC takes keys of every length"));
        code.number(u64::from(channel.byte()))
            .number(u64::from(key.id))
    }

    pub(super) fn number(mut self, value: u64) -> Self {
        self.0.update(&value.to_le_bytes());
        self
    }

    /// Adds bytes with their length, so that different sequences of parts never give the same
    /// input.
    pub(super) fn bytes(self, bytes: &[u8]) -> Self {
        let mut code = self.number(bytes.len() as u64);
        code.0.update(bytes);
        code
    }

    pub(super) fn tag(self) -> [u8; TAG_LEN] {
        let whole: [u8; 32] = self.0.finalize().into_bytes().into();
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&whole[..TAG_LEN]);
        tag
    }

    /// Compares the code in constant time.
    pub(super) fn verify(self, tag: &[u8; TAG_LEN]) -> bool {
        self.0.verify_truncated_left(tag).is_ok()
    }
}
