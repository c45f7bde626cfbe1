// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Authentication of messages between processes of the fleet.
//!
//! This module performs no input or output; keys, boot numbers and messages are passed in. A sealed
//! message carries a key id, a sender, the boot number of the sender, a counter, and a truncated
//! HMAC-SHA256 over all of these, the channel, the audience and the payload.
//!
//! # Examples
//!
//! ```
//! use peppercrank_wire::seal::Channel;
//! use peppercrank_wire::seal::Identity;
//! use peppercrank_wire::seal::Key;
//! use peppercrank_wire::seal::KeyRing;
//! use peppercrank_wire::seal::Opener;
//! use peppercrank_wire::seal::Rejected;
//! use peppercrank_wire::seal::Sealer;
//! use peppercrank_wire::seal::SenderId;
//!
//! let ring = KeyRing::new(vec![Key::new(1, &[7; 32])?])?;
//! let identity = Identity { sender: SenderId(1), boot: 1 };
//! let mut sealer = Sealer::new(Channel::Datagram, identity, ring.clone());
//! let mut opener = Opener::new(Channel::Datagram, ring, 4_096);
//!
//! let (_counter, message) = sealer.seal(b"10.0.0.2:7000", b"ping");
//! let opened = opener.open(b"10.0.0.2:7000", &message)?;
//! assert_eq!(opened.payload, b"ping");
//! let again = opener.open(b"10.0.0.2:7000", &message);
//! assert_eq!(again, Err(Rejected::Replayed));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod bearer;
mod head;
mod keys;
mod opener;
mod sealer;
mod window;

pub use bearer::BearerTokens;
pub use head::MAC_HEADER;
pub use head::sign_head;
pub use head::verify_head;
pub use keys::Key;
pub use keys::KeyError;
pub use keys::KeyRing;
pub use opener::Opened;
pub use opener::Opener;
pub use opener::Rejected;
pub use sealer::Identity;
pub use sealer::SEAL_OVERHEAD;
pub use sealer::Sealer;
pub use sealer::SenderId;

/// Purpose of a sealed message; a message sealed for one channel cannot be opened on another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Channel {
    /// A gossip datagram.
    Datagram,
    /// A control request.
    ControlRequest,
    /// The response to a control request.
    ControlResponse,
    /// The head of a request from a router to an agent.
    RequestHead,
}

impl Channel {
    /// Returns the byte that represents the channel in the authenticated data.
    const fn byte(self) -> u8 {
        match self {
            Self::Datagram => 1,
            Self::ControlRequest => 2,
            Self::ControlResponse => 3,
            Self::RequestHead => 4,
        }
    }
}
