// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Small `Copy` keys: chats, prefixes, requests and attempts.

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
                // `from_str_radix` takes a sign, and a header must not smuggle one in.
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
    /// `ChatKey` stands for one chat of one organisation.
    ChatKey u64, 16;
    /// `PrefixKey` stands for one leading block of a prompt, within one model.
    PrefixKey u64, 16;
    /// `RequestId` stands for one request of a caller, over all its attempts.
    RequestId u128, 32;
    /// `AttemptId` stands for one attempt at one target; no two attempts share one.
    AttemptId u128, 32;
}

impl ChatKey {
    /// `of` derives the key of a chat from its organisation and the caller's chat id.
    #[must_use]
    pub fn derive(organisation: &str, chat: &str) -> Self {
        // The organisation seeds the hash, so that equal chat ids of two never meet.
        Self(hash64(hash64(0, organisation.as_bytes()), chat.as_bytes()))
    }
}
