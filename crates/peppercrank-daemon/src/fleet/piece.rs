// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Pieces that ride on the members' datagrams.

use peppercrank_config::message::Message;
use peppercrank_route::Note;
use serde::Deserialize;
use serde::Serialize;

/// `Piece` is one piece as it rides on a datagram of the members.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Piece {
    /// A message of the configuration relay.
    Config(Message),
    /// A note of where a context is.
    Note(Note),
}

impl Piece {
    /// `encode` is the piece's bytes; nothing when it does not encode.
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok()
    }

    /// `decode` reads a piece; one of another version of the program may be none.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
