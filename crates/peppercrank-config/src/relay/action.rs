// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What the relay is told and what it asks to be done.

use std::time::Duration;

use peppercrank_core::names::VmName;
use peppercrank_core::names::ZoneName;
use peppercrank_core::objects::ObjectKey;
use peppercrank_core::objects::ObjectKind;

use super::survey::Question;
use super::survey::Tally;
use crate::errors::Fault;
use crate::message::Beat;
use crate::message::Carrier;
use crate::message::Message;
use crate::object::Object;
use crate::object::Version;

/// `Member` is one live process of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Its VM.
    pub name: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// `Call` is a call to the platform's API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// All objects of a kind, tombstones included.
    List {
        /// The kind.
        kind: ObjectKind,
    },
    /// What changed after a revision; waits for a change when there is none yet.
    Watch {
        /// The kind.
        kind: ObjectKind,
        /// The revision.
        since: Version,
        /// How long the API may hold the call; zero asks and does not wait.
        wait: Duration,
    },
}

impl Call {
    /// `kind` is the kind that the call asks about.
    #[must_use]
    pub const fn kind(self) -> ObjectKind {
        match self {
            Self::List { kind } | Self::Watch { kind, .. } => kind,
        }
    }
}

/// `Answer` is how a call to the platform's API ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The objects: all of them for a list, the changed ones for a watch.
    Objects {
        /// The revision that they are complete at.
        revision: Version,
        /// The objects.
        objects: Vec<Object>,
    },
    /// The revision is too old to watch from (410).
    TooOld,
    /// The API asks to wait (429).
    Busy {
        /// For how long, when it says so.
        after: Option<Duration>,
    },
    /// No answer, an error or a timeout.
    Down,
}

/// `Input` is what the relay is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// The live members changed; these are all, with or without the process itself.
    Members(Vec<Member>),
    /// A heartbeat came.
    Beat {
        /// From whom.
        from: VmName,
        /// What it carried.
        beat: Beat,
    },
    /// A message came.
    Message {
        /// From whom.
        from: VmName,
        /// The message.
        message: Message,
    },
    /// A call to the platform's API ended.
    Answered {
        /// The call, as it was asked for.
        call: Call,
        /// How it ended.
        answer: Answer,
    },
    /// Someone asks on how many members a change is in force.
    Survey(Question),
    /// Time has passed.
    Tick,
}

/// `Action` is what the relay asks to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Call the platform's API, and report back how it ended.
    Call(Call),
    /// Send a message; it may be lost.
    Send {
        /// To whom.
        to: VmName,
        /// The message.
        message: Message,
        /// How.
        carrier: Carrier,
    },
    /// A version is in force now; read it from the store.
    Applied {
        /// The object.
        key: ObjectKey,
        /// The version, perhaps a tombstone's.
        version: Version,
    },
    /// A version failed its checks; the last good one stays in force.
    HeldBack {
        /// The object.
        key: ObjectKey,
        /// The version.
        version: Version,
        /// Why.
        fault: Fault,
    },
    /// A survey ended.
    Surveyed {
        /// What was asked.
        question: Question,
        /// The answer.
        tally: Tally,
    },
    /// Whether the process may serve changed.
    Readiness(Readiness),
}

/// `Basis` is what a process's configuration was compared with before it served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Basis {
    /// The platform's API.
    Api,
    /// Peers that serve.
    Peers,
}

/// `Readiness` is whether a process may serve by its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// It may: its configuration is at least as new as the basis was.
    Ready(Basis),
    /// It has not yet compared its configuration since it started or was out of touch.
    Fresh,
    /// It heard neither peers nor API past the limit.
    OutOfTouch,
}

impl Readiness {
    /// `is_ready` tells whether the process may serve.
    #[must_use]
    pub const fn is_ready(self) -> bool {
        matches!(self, Self::Ready(_))
    }
}
