// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The messages between members; the codec is the wire crate's.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::description::Description;
use crate::description::MemberId;
use crate::description::Stamp;

/// The longest encoded message, in bytes, so that a datagram fits any path unfragmented.
pub const MAX_MESSAGE: usize = 1_100;

/// The highest boot number that is believed, so that a refutation always finds one above.
pub const MAX_BOOT: u64 = 1 << 62;

/// `Incarnation` orders what is said of one member: first by boot, then by turn.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// The number of the process's start; it never falls for one VM once peers were heard.
    pub boot: u64,
    /// How often the process has refuted or renewed what is said of it.
    pub turn: u32,
}

/// `State` is what is held of a member; at one incarnation the later state prevails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer a probe and may still refute.
    Suspect,
    /// It is held to have failed.
    Dead,
    /// It said that it goes.
    Left,
}

impl State {
    /// `is_live` tells whether the member still counts.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// `Claim` is one statement about one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The member that it is about.
    pub id: MemberId,
    /// The incarnation that it is about.
    pub incarnation: Incarnation,
    /// What is said.
    pub state: State,
    /// Whether the member takes no new work.
    pub leaving: bool,
    /// The stamp of the member's description.
    pub stamp: Stamp,
}

/// `Record` is a claim with the whole description.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The incarnation that is described.
    pub incarnation: Incarnation,
    /// What is held of it.
    pub state: State,
    /// Whether the member takes no new work.
    pub leaving: bool,
    /// The description.
    pub description: Arc<Description>,
}

/// `News` is one piece of membership that is being spread.
///
/// A receiver that lacks the description asks for it; so each description travels to each
/// process about once, while the short claim travels several times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum News {
    /// A statement on a member.
    Claim(Claim),
    /// A suspicion, with the member whose own probe failed.
    Accusation {
        /// What is said.
        claim: Claim,
        /// Who says it at first hand.
        by: MemberId,
    },
}

/// `Addressee` names whom a message is meant for, and what the sender holds of it.
///
/// A process that was given the address of another VM, or was started anew, notices by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addressee {
    /// The member meant.
    pub id: MemberId,
    /// What the sender holds of it; `None` when it knows the name alone.
    pub held: Option<(Incarnation, State)>,
}

/// `Sample` is one load report, as old as it says when it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The member that reported.
    pub id: MemberId,
    /// The boot in which it reported.
    pub boot: u64,
    /// The cost in flight at its target.
    pub cost: u64,
    /// How old the report is, in tenths of a second.
    pub age: u8,
}

/// `Body` is what a message is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an [`Body::Ack`] with the same number.
    Probe {
        /// The number, fresh for each probe.
        seq: u32,
        /// Whether the sender lacks the receiver's description.
        want: bool,
    },
    /// Answers a probe.
    Ack {
        /// The probe's number.
        seq: u32,
    },
    /// Asks the receiver to probe another member on the sender's behalf.
    ProbeFor {
        /// The sender's number.
        seq: u32,
        /// The member to probe.
        subject: MemberId,
    },
    /// Tells that the subject of a [`Body::ProbeFor`] answered.
    Vouch {
        /// The asker's number.
        seq: u32,
    },
    /// Tells that the subject of a [`Body::ProbeFor`] did not answer, but the relay lives.
    Silent {
        /// The asker's number.
        seq: u32,
    },
    /// Compares the sender's table with the receiver's.
    Compare {
        /// The digest over the live members of each bucket.
        digests: Vec<[u8; 4]>,
    },
    /// Answers a comparison with the buckets that differ, as far as they fit.
    Differ {
        /// The buckets.
        buckets: Vec<u8>,
        /// All members of these buckets, as the answerer holds them.
        claims: Vec<Claim>,
    },
    /// Asks for records with ids above `after`.
    Pull {
        /// The last id that the asker has.
        after: MemberId,
    },
    /// Answers a pull; the records ride along.
    Page {
        /// The pull's cursor.
        after: MemberId,
        /// Where the next pull goes on; `None` at the end.
        next: Option<MemberId>,
    },
    /// Asks for the records of these members.
    Ask {
        /// The members.
        ids: Vec<MemberId>,
    },
    /// Carries what rides on it and asks for nothing.
    Gossip,
    /// Refuses a message that was meant for another VM or an earlier boot.
    Refused,
    /// Carries bytes of the configuration relay to one member.
    Relay(
        /// The bytes, opaque here.
        Vec<u8>,
    ),
}

/// `Message` is one datagram between members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks, as a claim on itself.
    pub from: Claim,
    /// Who is meant.
    pub to: Addressee,
    /// What for.
    pub body: Body,
    /// Membership news, to be spread on.
    pub news: Vec<News>,
    /// Records that the receiver asked for or seems to lack.
    pub records: Vec<Record>,
    /// Load reports, the sender's own first.
    pub loads: Vec<Sample>,
    /// The sender's configuration digest, opaque here; empty for none.
    pub digest: Vec<u8>,
    /// Rumours of the configuration relay, opaque here.
    pub rumours: Vec<Vec<u8>>,
}
