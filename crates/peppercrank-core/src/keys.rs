// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Fixed-size identifiers of chats, prompt prefixes, requests and attempts.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::Error;
use crate::errors;
use crate::hash::hash64;

macro_rules! keys {
    ($($(#[$doc:meta])* $name:ident $int:ty, $width:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub $int);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{:0", $width, "x}"), self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> crate::Result<Self> {
                // `from_str_radix` accepts a leading sign, which is not valid in a header.
                if text.len() != $width || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
                    return Err(errors::invalid_key(text));
                }
                let Ok(value) = <$int>::from_str_radix(text, 16) else {
                    return Err(errors::invalid_key(text));
                };
                Ok(Self(value))
            }
        }
    )*};
}

keys! {
    /// Identifies a chat of an organisation.
    ChatKey u64, 16;
    /// Identifies a leading block of a prompt within a model.
    PrefixKey u64, 16;
    /// Identifies a request across all of its attempts.
    RequestId u128, 32;
    /// Identifies an attempt at a target; unique to that attempt.
    AttemptId u128, 32;
}

impl ChatKey {
    /// Derives the key of a chat from its organisation and the chat id given by the caller.
    #[must_use]
    pub fn derive(organisation: &str, chat: &str) -> Self {
        // Seeding with the organisation separates equal chat ids of different organisations.
        Self(hash64(hash64(0, organisation.as_bytes()), chat.as_bytes()))
    }
}
