// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Validated names of VMs, zones, organisations, targets, pools and other named entities.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::errors;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_LEN: usize = 63;

/// Returns whether `text` is 1 to 63 bytes of `[a-z0-9._-]`.
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
            /// Creates a name from `text`.
            ///
            /// # Errors
            ///
            /// Returns [`Error::Name`] if `text` is not 1 to 63 bytes of `[a-z0-9._-]`.
            pub fn new(text: &str) -> crate::Result<Self> {
                if is_valid_name(text) {
                    return Ok(Self(Arc::from(text)));
                }
                Err(errors::invalid_name($kind, text))
            }

            /// Returns the name as a string slice.
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
    /// Name of a VM, which also identifies the single fleet process that runs on it.
    VmName "VM";
    /// Name of an availability zone.
    ZoneName "availability zone";
    /// Name of an organisation.
    OrganisationName "organisation";
    /// Name of a target: a model engine or a replica of a plain service.
    TargetName "target";
    /// Name of a pool of targets that can serve the same requests.
    PoolName "pool";
    /// Name of a model that engines load.
    ModelName "model";
    /// Name of an organisation template.
    TemplateName "template";
    /// Name of a configuration object in the API of the platform, unique within its kind.
    ObjectName "object";
}
