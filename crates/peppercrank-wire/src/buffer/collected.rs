// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! An answer that is collected part by part, and counts the memory that it takes.

use bytes::Bytes;
use bytes::BytesMut;

use super::HeldBytes;
use super::Room;
use super::counted;

/// Capacity of a block in which small parts are put together, in bytes. With an allocation for each
/// part, one of a single byte takes some 64 times its size.
const BLOCK_BYTES: usize = 4 * 1_024;

/// An answer that is being collected.
#[derive(Debug)]
pub struct CollectedAnswer {
    held: HeldBytes,
    blocks: Vec<BytesMut>,
}

impl CollectedAnswer {
    /// Creates an answer without parts, whose memory this counts.
    #[must_use]
    pub const fn new(held: HeldBytes) -> Self {
        Self {
            held,
            blocks: Vec::new(),
        }
    }

    /// Copies a part, which may be a slice of a read buffer that it would keep, and returns whether
    /// more may follow. Streams are cut if the budget is exceeded.
    #[must_use]
    pub fn add(&mut self, part: &[u8]) -> Room {
        if let Some(block) = self.blocks.last_mut()
            && part.len() <= block.capacity() - block.len()
        {
            block.extend_from_slice(part);
            return self.held.add(0);
        }
        // Most answers are a single part, which needs no spare capacity.
        let capacity = if self.blocks.is_empty() {
            part.len()
        } else {
            part.len().max(BLOCK_BYTES)
        };
        let room = self.held.add(capacity);
        let mut block = BytesMut::with_capacity(capacity);
        block.extend_from_slice(part);
        self.blocks.push(block);
        room
    }

    /// Returns the complete answer, which counts toward the budget until the last copy is dropped.
    #[must_use]
    pub fn complete(mut self) -> Bytes {
        self.held.complete();
        self.into_bytes()
    }

    /// Returns what was collected, which counts toward the budget until the last copy is dropped.
    #[must_use]
    pub fn into_bytes(mut self) -> Bytes {
        let bytes = match self.blocks.len() {
            1 => self.blocks.remove(0).freeze(),
            _ => self.blocks.concat().into(),
        };
        counted(bytes, self.held)
    }
}
