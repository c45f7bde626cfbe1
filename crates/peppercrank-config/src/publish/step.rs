// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What the publisher is told and what it asks to be done.

use std::time::Duration;

use peppercrank_core::objects::ObjectKey;
use peppercrank_core::time::Instant;
use serde_json::Value;

use crate::diff::Difference;
use crate::errors::Fault;
use crate::object::Version;

/// `Base` is what the operator saw before changing it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Base {
    /// No such object, or a deleted one.
    Absent,
    /// This version.
    Version(Version),
}

/// `Change` is what is to be published.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// This content.
    Put(Value),
    /// No such object.
    Delete,
}

/// `Current` is an object as the platform's API holds it.
#[derive(Debug, Clone, PartialEq)]
pub struct Current {
    /// Its version.
    pub version: Version,
    /// Its body.
    pub body: Value,
}

/// `Failure` is why a call gave no answer that counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The API asked to wait (429): the call had no effect.
    Busy {
        /// How long to wait.
        after: Duration,
    },
    /// No connection was made: the call had no effect.
    Unreached,
    /// The answer was lost, late or 5xx: a write may have taken effect.
    Lost,
}

/// `Input` is what the publisher is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// Begin.
    Begin,
    /// The answer to a read, none for 404.
    Read(Result<Option<Current>, Failure>),
    /// The answer to a write or removal.
    Written(Result<Written, Failure>),
    /// The time named by [`Next::Wait`] has come.
    Due,
}

/// `Written` is the API's answer to a conditional write or removal.
#[derive(Debug, Clone, PartialEq)]
pub enum Written {
    /// It took effect as this version.
    Version(Version),
    /// The condition failed (412): the object as it stands, none when there is none.
    Refused(Option<Current>),
}

/// `Next` is what to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Next {
    /// Read the object.
    Read,
    /// Write this body on this condition.
    Write {
        /// The condition: `If-Match` or `If-None-Match: *`.
        base: Base,
        /// The body, envelope included.
        body: Value,
    },
    /// Delete the object on the condition that it has this version.
    Remove {
        /// `If-Match`.
        base: Version,
    },
    /// Come back at this time with [`Input::Due`].
    Wait {
        /// When.
        until: Instant,
    },
    /// It is published.
    Done(Done),
    /// Somebody else changed the object: nothing of theirs was overwritten.
    Conflict(Box<Conflict>),
    /// The content failed its checks: nothing was sent.
    Invalid(Fault),
    /// The time is up.
    GiveUp(Fate),
}

/// `Done` is a change that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Done {
    /// The version to wait for; for a lost answer to a removal, the least that it can have.
    pub version: Version,
    /// How it came about.
    pub how: How,
}

/// `How` is how a change came about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum How {
    /// By this write.
    Written,
    /// By an earlier write of the same act, the answer to which was lost.
    Recognised,
    /// It stood so already, by another act: nothing was written.
    Unchanged,
}

/// `Fate` is what is known of a change that was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// No write took effect.
    NotWritten,
    /// A write may have taken effect; publishing again with the same id tells.
    MayBeWritten,
}

/// `Conflict` is the object as somebody else left it, beside what the operator saw.
#[derive(Debug, Clone, PartialEq)]
pub struct Conflict {
    /// The object.
    pub key: ObjectKey,
    /// What the operator saw.
    pub base: Base,
    /// The object as it stands, none when there is none.
    pub current: Option<Current>,
    /// The fields in which ours and theirs differ.
    pub differences: Vec<Difference>,
    /// What is known of our own change: it may have been in force before theirs.
    pub fate: Fate,
}
