// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The caller's end of a stream.

use bytes::Bytes;
use peppercrank_wire::body;
use peppercrank_wire::body::Body;
use peppercrank_wire::body::BodySender;
use peppercrank_wire::buffer::BufferWriter;
use peppercrank_wire::buffer::Unread;

use crate::gateway::Gateway;

/// Maximum number of parts that are held for a caller, where bytes are not counted.
const BUFFERED_PARTS: usize = 8;

/// Maximum number of bytes of such a part. Longer ones are split.
const MAX_PART_BYTES: usize = 8 * 1_024;

/// Writes a stream to its caller.
#[derive(Debug)]
pub enum Downstream {
    /// Holds a few parts of limited length.
    Parts(BodySender),
    /// Holds bytes within the process's budget.
    Budget(BufferWriter),
}

impl Downstream {
    /// Returns the writer of a stream and the body that the caller reads.
    #[must_use]
    pub fn open(gateway: &Gateway) -> (Self, Body) {
        if gateway.features().memory_limits {
            let (writer, body) = gateway.answers.stream();
            return (Self::Budget(writer), body);
        }
        let (sender, body) = body::channel(BUFFERED_PARTS);
        (Self::Parts(sender), body)
    }

    /// Writes a part, and waits while the caller is behind.
    ///
    /// # Errors
    ///
    /// Returns why the stream is no longer read.
    pub async fn send(&self, part: Bytes) -> Result<(), Unread> {
        match self {
            Self::Parts(sender) => {
                for piece in part.chunks(MAX_PART_BYTES) {
                    // A part may be a slice of a read buffer, all of which it would keep.
                    let sent = sender.send(Bytes::copy_from_slice(piece)).await;
                    sent.map_err(|_unsent| Unread::ReaderGone)?;
                }
                Ok(())
            }
            Self::Budget(writer) => writer.send(part).await,
        }
    }

    /// Waits until the stream is no longer read, and returns why.
    pub async fn closed(&self) -> Unread {
        match self {
            Self::Parts(sender) => {
                sender.closed().await;
                Unread::ReaderGone
            }
            Self::Budget(writer) => writer.closed().await,
        }
    }

    /// Ends the stream regularly. Returns the writer if the caller may still have to read a part.
    #[must_use]
    pub fn finish(self) -> Option<BufferWriter> {
        match self {
            Self::Parts(sender) => {
                sender.finish();
                None
            }
            Self::Budget(writer) => {
                writer.finish();
                Some(writer)
            }
        }
    }

    /// Drops what the caller has not read, where that counts toward the budget.
    pub fn cut(&self) {
        if let Self::Budget(writer) = self {
            writer.cut();
        }
    }
}
