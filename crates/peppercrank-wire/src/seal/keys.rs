// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The keys that our processes share, and their rotation.

use std::fmt;

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

use super::Channel;

/// Bytes of a message's code. Half of SHA-256's, as RFC 2104 allows; 2^128 guesses remain.
pub(super) const TAG_LEN: usize = 16;

/// The shortest secret, in bytes: as strong as the code that it makes.
const MIN_SECRET_BYTES: usize = 16;

/// `Key` is one shared secret and the number that messages name it by.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    id: u32,
    secret: Vec<u8>,
}

/// `KeyError` is what is wrong with a set of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// A secret is not hexadecimal.
    InvalidHex(u32),
    /// A secret is shorter than 16 bytes.
    SecretTooShort(u32),
    /// Two keys have one number.
    DuplicateId(u32),
    /// There is no key of the number to sign with, or none at all.
    MissingKey,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidHex(id) => write!(f, "the secret of key {id} is not hexadecimal"),
            Self::SecretTooShort(id) => {
                write!(f, "the secret of key {id} is shorter than 16 bytes")
            }
            Self::DuplicateId(id) => write!(f, "two keys have the number {id}"),
            Self::MissingKey => f.write_str("there is no key to sign with"),
        }
    }
}

impl std::error::Error for KeyError {}

impl Key {
    /// `new` makes a key of a number and a secret.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::SecretTooShort`] for a secret of fewer than 16 bytes.
    pub fn new(id: u32, secret: &[u8]) -> Result<Self, KeyError> {
        if secret.len() < MIN_SECRET_BYTES {
            return Err(KeyError::SecretTooShort(id));
        }
        let secret = secret.to_vec();
        Ok(Self { id, secret })
    }

    /// `from_hex` makes a key of a number and a secret in hexadecimal, as settings hold it.
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

    /// `id` is the number that messages name the key by.
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
        // The secret stays out of logs.
        f.debug_struct("Key")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// `KeyRing` holds the keys that are accepted, and the one that signs.
///
/// Rotation takes three rings in turn, each given to every process before the next: old and new
/// signing with the old; old and new signing with the new; the new alone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyRing {
    keys: Vec<Key>,
    signer: usize,
}

impl KeyRing {
    /// `new` accepts all the keys and signs with that of the highest number.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::MissingKey`] without a key, [`KeyError::DuplicateId`] for a repeated number.
    pub fn new(mut keys: Vec<Key>) -> Result<Self, KeyError> {
        keys.sort_by_key(Key::id);
        for pair in keys.windows(2) {
            if pair[0].id == pair[1].id {
                return Err(KeyError::DuplicateId(pair[0].id));
            }
        }
        let sign = keys.len().checked_sub(1).ok_or(KeyError::MissingKey)?;
        Ok(Self { keys, signer: sign })
    }

    /// `signing_with` is the same ring, signing with the key of this number.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::MissingKey`] when the ring holds no such key.
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

/// `Code` computes one message's authentication code.
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

    /// Adds bytes with their length, so that no two lists of parts have one code.
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

    /// Compares in constant time.
    pub(super) fn verify(self, tag: &[u8; TAG_LEN]) -> bool {
        self.0.verify_truncated_left(tag).is_ok()
    }
}
