// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Checked names of the things that operators name.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::errors;

/// The longest name, in bytes.
pub const MAX_NAME_LEN: usize = 63;

/// Tells whether `text` may serve as a name.
fn is_valid_name(text: &str) -> bool {
    let fits = (1..=MAX_NAME_LEN).contains(&text.len());
    fits && text
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b"._-".contains(&b))
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// `new` checks `text` and makes a name of it.
            ///
            /// # Errors
            ///
            /// Returns [`Error::Name`] when `text` is not 1 to 63 of `[a-z0-9._-]`.
            pub fn new(text: &str) -> crate::Result<Self> {
                if is_valid_name(text) {
                    return Ok(Self(Arc::from(text)));
                }
                Err(errors::invalid_name($kind, text))
            }

            /// `as_str` is the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> crate::Result<Self> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> crate::Result<Self> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    )*};
}

names! {
    /// `VmName` names one VM, and with it the one process of the fleet that runs there.
    VmName "VM";
    /// `ZoneName` names one availability zone.
    ZoneName "availability zone";
    /// `OrganisationName` names one organisation.
    OrganisationName "organisation";
    /// `TargetName` names one target: a model engine or one replica of a plain service.
    TargetName "target";
    /// `PoolName` names one pool of targets that can serve the same requests.
    PoolName "pool";
    /// `ModelName` names one model that engines load.
    ModelName "model";
    /// `TemplateName` names one organisation template.
    TemplateName "template";
    /// `ObjectName` names one object of the platform's API within its kind.
    ObjectName "object";
}
