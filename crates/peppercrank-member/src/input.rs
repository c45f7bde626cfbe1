// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What goes into [`crate::Members`] and what comes out.

use std::net::SocketAddr;
use std::sync::Arc;

use peppercrank_core::names::VmName;
use peppercrank_core::names::ZoneName;
use peppercrank_core::units::Cost;

use crate::description::Description;
use crate::description::MemberId;
use crate::message::Message;

/// `SeedRole` is the role that the platform's list gives a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeedRole {
    /// A router runs there.
    Router,
    /// An agent runs there.
    Agent,
}

/// `Seed` is one line of the platform's lagging list of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seed {
    /// The VM.
    pub vm: VmName,
    /// The availability zone.
    pub zone: ZoneName,
    /// Where its process takes datagrams of this protocol.
    pub address: SocketAddr,
    /// What it does.
    pub role: SeedRole,
    /// Whether the platform will take the VM away.
    pub leaving: bool,
}

/// `Facts` are what the process knows of itself; each input replaces all of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Facts {
    /// The cost in flight at the target; `None` on a router.
    pub load: Option<Cost>,
    /// Whether the target takes no new work.
    pub leaving: bool,
    /// The digest of the configuration in force, opaque here, at most [`MAX_DIGEST`] bytes.
    pub digest: Vec<u8>,
}

/// The longest configuration digest, in bytes.
pub const MAX_DIGEST: usize = 32;

/// The longest rumour or relayed piece, in bytes.
pub const MAX_RUMOUR: usize = 900;

/// `Input` is one thing that happened.
#[derive(Debug, Clone)]
pub enum Input {
    /// The platform's list was read; it replaces the last one.
    ///
    /// When it cannot be read, give nothing: the last one then stands.
    Seeds(Vec<Seed>),
    /// An authentic datagram came.
    Datagram {
        /// Where it came from.
        from: SocketAddr,
        /// What it says.
        message: Box<Message>,
    },
    /// Time passed.
    Tick,
    /// The process's own facts changed.
    Facts(Facts),
    /// The description changed (weight, pool); another VM's name is ignored.
    Describe(Description),
    /// Pieces to spread to every member, each at most [`MAX_RUMOUR`] bytes.
    ///
    /// They ride on datagrams that are sent anyway. A receiver gets [`Action::Rumours`] and
    /// decides by itself whether to spread them further.
    Rumours(Vec<Vec<u8>>),
    /// A piece for one member, at most [`MAX_RUMOUR`] bytes.
    Relay {
        /// The member.
        to: MemberId,
        /// The piece.
        bytes: Vec<u8>,
    },
    /// The process is about to end in good order.
    Leave,
}

/// `Change` is what became of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It joined or came back.
    Alive,
    /// It does not answer.
    Suspect,
    /// It is held to have failed.
    Dead,
    /// It ended in good order.
    Left,
    /// It lives and describes itself anew.
    Updated,
    /// It was dead for long and the platform no longer lists it.
    Forgotten,
}

/// `Action` is one thing for the caller to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        message: Box<Message>,
    },
    /// A member changed.
    Changed {
        /// What became of it.
        change: Change,
        /// Whether it takes no new work.
        leaving: bool,
        /// How it describes itself.
        member: Arc<Description>,
    },
    /// A member's configuration digest differs from this process's own.
    Differs {
        /// The member.
        from: MemberId,
        /// Its digest.
        digest: Vec<u8>,
    },
    /// Pieces of the configuration relay came.
    Rumours {
        /// The member that sent them.
        from: MemberId,
        /// The pieces.
        pieces: Vec<Vec<u8>>,
    },
}
