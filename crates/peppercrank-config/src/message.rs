// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What processes tell each other of configuration.

use std::time::Duration;

use peppercrank_core::objects::ObjectKey;
use serde::Deserialize;
use serde::Serialize;

use crate::digest::Stamp;
use crate::errors;
use crate::object::Object;
use crate::relay::Group;
use crate::relay::Question;
use crate::relay::Tally;
use crate::store::Complete;

/// The longest message that may go as one datagram, in bytes.
///
/// The gossip that carries it takes 900 bytes, less a tag, beside its own news and
/// authentication within 1,200: no link of today splits that.
pub const DATAGRAM: usize = 890;

/// The most that one message of objects carries, in bytes, unless one object alone is longer.
pub const CHUNK: usize = 256 * 1024;

/// `Carrier` is how a message is to travel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Carrier {
    /// As one datagram: it is short, and its loss is made good.
    Datagram,
    /// Over a connection.
    Stream,
}

/// `Message` is what one process tells another of configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Versions of objects, whole.
    Objects(Vec<Object>),
    /// Versions that the sender holds and can be asked for.
    News(Vec<Stamp>),
    /// Asks for what the peer holds of these objects.
    Fetch(Vec<ObjectKey>),
    /// Asks which objects differ, by the sender's digests of all buckets.
    Compare {
        /// The digests, one a bucket.
        buckets: Vec<u64>,
    },
    /// Answers a comparison.
    Differs {
        /// What the answering process knows of its own state.
        beat: Beat,
        /// The revisions up to which it knows everything.
        complete: Complete,
        /// The buckets that differ, a bit each.
        buckets: u128,
        /// All stamps of those buckets.
        stamps: Vec<Stamp>,
    },
    /// Asks whether a change is in force here, or on how many members of a group.
    Ask {
        /// The change.
        question: Question,
        /// The group to be counted; none for the receiver alone.
        group: Option<Group>,
    },
    /// Answers a question.
    Tally {
        /// The question's id.
        id: u64,
        /// The count.
        tally: Tally,
    },
}

impl Message {
    /// `encode` is the message's encoded form.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Encoding`](crate::Error::Encoding) when the encoder does.
    pub fn encode(&self) -> crate::Result<Vec<u8>> {
        postcard::to_stdvec(self).map_err(errors::encoding)
    }

    /// `decode` reads an encoded message.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Encoding`](crate::Error::Encoding) when `bytes` are none.
    pub fn decode(bytes: &[u8]) -> crate::Result<Self> {
        postcard::from_bytes(bytes).map_err(errors::encoding)
    }

    /// `carrier` is how the message is to travel.
    #[must_use]
    pub fn carrier(&self) -> Carrier {
        match self {
            Self::Fetch(_) | Self::Compare { .. } | Self::Differs { .. } => Carrier::Stream,
            _ if self.length() <= DATAGRAM => Carrier::Datagram,
            _ => Carrier::Stream,
        }
    }

    /// `length` is the encoded length, in bytes.
    #[must_use]
    pub fn length(&self) -> usize {
        let flavor = postcard::ser_flavors::Size::default();
        postcard::serialize_with_flavor(self, flavor).unwrap_or(usize::MAX)
    }
}

/// The bytes of a beat in a heartbeat: one packed word and a salt.
pub const BEAT_BYTES: usize = 10;

/// How many bits of the digest a packed beat carries.
const DIGEST_BITS: u32 = 48;
/// The age, in seconds, that stands for "unknown or longer".
const OLD_S: u64 = (1 << 15) - 1;

/// `Beat` is what each heartbeat carries, in [`BEAT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The lower 48 bits of the store's digest.
    pub digest: u64,
    /// Since when the store is known to be as new as the platform's API; none for over 9 hours.
    pub age: Option<Duration>,
    /// Whether the process has a configuration that it serves by.
    pub ready: bool,
}

impl Beat {
    /// `new` makes a beat of the store's whole digest.
    #[must_use]
    pub const fn new(digest: u64, age: Option<Duration>, ready: bool) -> Self {
        let digest = digest & ((1 << DIGEST_BITS) - 1);
        Self { digest, age, ready }
    }

    /// `pack` puts the beat into one word: 48 bits of digest, 15 of age in seconds rounded up,
    /// and one of readiness.
    #[must_use]
    pub fn pack(&self) -> u64 {
        let age = self.age.map_or(OLD_S, |a| {
            let partial = u64::from(a.subsec_nanos() > 0);
            a.as_secs().saturating_add(partial).min(OLD_S)
        });
        self.digest << 16 | age << 1 | u64::from(self.ready)
    }

    /// `to_bytes` is the packed beat for a heartbeat, with a salt that tells members apart.
    ///
    /// A carrier that hands on only what differs from its own thereby hands on every beat.
    #[must_use]
    pub fn to_bytes(&self, salt: u16) -> [u8; BEAT_BYTES] {
        let mut bytes = [0; BEAT_BYTES];
        bytes[..8].copy_from_slice(&self.pack().to_le_bytes());
        bytes[8..].copy_from_slice(&salt.to_le_bytes());
        bytes
    }

    /// `from_bytes` reads what [`Beat::to_bytes`] wrote; none when the length is another.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let bytes: [u8; BEAT_BYTES] = bytes.try_into().ok()?;
        let mut word = [0; 8];
        word.copy_from_slice(&bytes[..8]);
        Some(Self::unpack(u64::from_le_bytes(word)))
    }

    /// `unpack` reads a packed beat; every word is one.
    #[must_use]
    pub const fn unpack(word: u64) -> Self {
        let seconds = word >> 1 & OLD_S;
        let age = if seconds == OLD_S {
            None
        } else {
            Some(Duration::from_secs(seconds))
        };
        Self {
            digest: word >> 16,
            age,
            ready: word & 1 == 1,
        }
    }
}
