// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Versioned objects as they travel, and the envelope of their bodies.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use peppercrank_core::errors::invalid_key as malformed_key;
use peppercrank_core::objects::Mark;
use peppercrank_core::objects::ObjectKey;
use peppercrank_core::objects::Organisation;
use peppercrank_core::objects::Pool;
use peppercrank_core::objects::Template;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// The longest body that the platform's API holds, in bytes.
pub const MAX_BODY: usize = 1 << 20;

/// `Version` is a version of the platform's whole store: each write takes the next.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// `Object` is one version of one object; without a body it is a tombstone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The object's key.
    pub key: ObjectKey,
    /// The version that this body was written as.
    pub version: Version,
    /// The body as JSON text, none once deleted.
    pub body: Option<Arc<str>>,
}

/// `PublishId` marks one act of publishing, so that its author knows it again.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PublishId(pub u128);

impl fmt::Display for PublishId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for PublishId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for PublishId {
    type Err = peppercrank_core::Error;

    fn from_str(text: &str) -> peppercrank_core::Result<Self> {
        let digits = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
        match u128::from_str_radix(text, 16) {
            Ok(value) if digits => Ok(Self(value)),
            _ => Err(malformed_key(text)),
        }
    }
}

impl TryFrom<String> for PublishId {
    type Error = peppercrank_core::Error;

    fn try_from(text: String) -> peppercrank_core::Result<Self> {
        text.parse()
    }
}

impl From<PublishId> for String {
    fn from(id: PublishId) -> Self {
        id.to_string()
    }
}

/// `Envelope` is the body of an object: what was published, and by which act.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// The act of publishing, none when the object was written past our tools.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub publish: Option<PublishId>,
    /// The object itself.
    pub spec: Value,
}

/// `Spec` is the checked content of an object.
#[derive(Debug, Clone, PartialEq)]
pub enum Spec {
    /// An organisation template.
    Template(Template),
    /// An organisation.
    Organisation(Organisation),
    /// A pool.
    Pool(Pool),
    /// A target's mark.
    Mark(Mark),
}
