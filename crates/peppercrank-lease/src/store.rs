// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Calls of the platform's object API, as the machines of this crate see them.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// `Version` is the number that the store gave a write; of two writes the later has the higher.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// `Base` is the version that a conditional write rests on; `None` for an object not there.
pub type Base = Option<Version>;

/// `CallId` tells one call of a machine from its other calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// `Answer` is how one call of the platform's API ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Answer<B> {
    /// A read found the object.
    Found {
        /// Its version.
        version: Version,
        /// Its body.
        body: B,
    },
    /// A read found no object.
    Absent,
    /// A conditional write took effect.
    Written {
        /// The object's new version.
        version: Version,
    },
    /// A conditional write met another version and took no effect.
    Conflict {
        /// The object as it stands, when the answer told.
        current: Option<(Version, B)>,
    },
    /// The call failed or its answer was lost; a write may have taken effect.
    Failed {
        /// How long the store asks to be left alone.
        after: Option<Duration>,
    },
}
