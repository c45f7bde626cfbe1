// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The receiving side: opens each message once, or rejects it with a reason.

use std::collections::HashMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::Channel;
use super::keys::KeyRing;
use super::keys::MessageMac;
use super::sealer::Envelope;
use super::sealer::SenderId;
use super::window::CounterStatus;
use super::window::ReplayWindow;

macro_rules! rejected {
    ($($(#[$doc:meta])* $variant:ident $code:literal,)*) => {
        /// Why a message was rejected.
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub enum Rejected {
            $($(#[$doc])* $variant,)*
        }

        impl Rejected {
            /// All reasons in the order of their definition.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the stable code of the reason in metrics.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self {
                    $(Self::$variant => $code,)*
                }
            }
        }
    };
}

rejected! {
    /// The bytes are not a sealed message.
    Malformed "malformed",
    /// The key ring has no key with the id in the message.
    UnknownKey "unknown_key",
    /// The code does not match; the message was forged, altered or meant for another audience.
    Forged "forged",
    /// The message was received before.
    Replayed "replayed",
    /// The counter is too far behind the sender's latest to tell whether the message was received
    /// before.
    TooOld "too_old",
    /// The sender has restarted since it sealed the message.
    OldBoot "old_boot",
}

impl fmt::Display for Rejected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

impl std::error::Error for Rejected {}

/// An authentic message that was received for the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opened<'a> {
    /// The sender of the message.
    pub sender: SenderId,
    /// The boot number of the sender.
    pub boot: u64,
    /// The counter of the message within this boot.
    pub counter: u64,
    /// The authenticated payload.
    pub payload: &'a [u8],
}

/// Opens the messages of a channel that are addressed to one process.
///
/// It stores the latest boot number and a replay window per sender, for a bounded number of
/// senders. Only holders of a key can use up that space; beyond the bound, the sender that was
/// silent the longest is evicted.
#[derive(Debug)]
pub struct Opener {
    channel: Channel,
    ring: KeyRing,
    max_senders: usize,
    /// Incremented with each opened message, to find the sender that was silent the longest.
    logical_clock: u64,
    senders: HashMap<SenderId, (u64, ReplayWindow)>,
    rejected: [u64; Rejected::ALL.len()],
}

impl Opener {
    /// Creates an opener that remembers up to `max_senders` senders.
    #[must_use]
    pub fn new(channel: Channel, ring: KeyRing, max_senders: usize) -> Self {
        Self {
            channel,
            ring,
            max_senders: max_senders.max(1),
            logical_clock: 0,
            senders: HashMap::new(),
            rejected: [0; Rejected::ALL.len()],
        }
    }

    /// Replaces the key ring; the replay state is kept.
    pub fn rotate(&mut self, ring: KeyRing) {
        self.ring = ring;
    }

    /// Returns the number of messages rejected for `reason`.
    #[must_use]
    pub const fn rejected(&self, reason: Rejected) -> u64 {
        self.rejected[reason as usize]
    }

    /// Returns the number of remembered senders.
    #[must_use]
    pub fn senders(&self) -> usize {
        self.senders.len()
    }

    /// Verifies and opens a message addressed to `audience`.
    ///
    /// # Errors
    ///
    /// Returns the reason if the message is rejected, and counts it.
    pub fn open<'a>(&mut self, audience: &[u8], bytes: &'a [u8]) -> Result<Opened<'a>, Rejected> {
        let opened = verify(&self.ring, self.channel, audience, bytes);
        let opened = opened.and_then(|o| self.check_replay(&o).map(|()| o));
        if let Err(reason) = opened {
            self.reject(reason);
        }
        opened
    }

    /// Opens a message whose audience is a single call, such as the response to it.
    ///
    /// The audience prevents replays, so no replay state is stored for the sender.
    ///
    /// # Errors
    ///
    /// Returns the reason if the message is rejected, and counts it.
    pub fn open_once<'a>(
        &mut self,
        audience: &[u8],
        bytes: &'a [u8],
    ) -> Result<Opened<'a>, Rejected> {
        let opened = verify(&self.ring, self.channel, audience, bytes);
        if let Err(reason) = opened {
            self.reject(reason);
        }
        opened
    }

    /// Counts a message that the caller of the opener rejected.
    pub(crate) const fn reject(&mut self, reason: Rejected) {
        self.rejected[reason as usize] += 1;
    }

    /// Rejects replays and messages of earlier boots, and records the others.
    fn check_replay(&mut self, opened: &Opened<'_>) -> Result<(), Rejected> {
        self.logical_clock += 1;
        let clock = self.logical_clock;
        let Some((last_heard, window)) = self.senders.get_mut(&opened.sender) else {
            self.evict_longest_silent();
            let window = ReplayWindow::new(opened.boot, opened.counter);
            self.senders.insert(opened.sender, (clock, window));
            return Ok(());
        };
        if opened.boot < window.boot {
            return Err(Rejected::OldBoot);
        }
        *last_heard = clock;
        if opened.boot > window.boot {
            *window = ReplayWindow::new(opened.boot, opened.counter);
            return Ok(());
        }
        match window.record(opened.counter) {
            CounterStatus::Fresh => Ok(()),
            CounterStatus::Seen => Err(Rejected::Replayed),
            CounterStatus::TooOld => Err(Rejected::TooOld),
        }
    }

    fn evict_longest_silent(&mut self) {
        if self.senders.len() < self.max_senders {
            return;
        }
        let oldest = self
            .senders
            .iter()
            .min_by_key(|(_, (last_heard, _))| *last_heard);
        if let Some(sender) = oldest.map(|(s, _)| *s) {
            self.senders.remove(&sender);
        }
    }
}

/// Performs all checks of a message that do not depend on earlier messages.
fn verify<'a>(
    ring: &KeyRing,
    channel: Channel,
    audience: &[u8],
    bytes: &'a [u8],
) -> Result<Opened<'a>, Rejected> {
    let Ok((envelope, [])) = postcard::take_from_bytes::<Envelope<'a>>(bytes) else {
        return Err(Rejected::Malformed);
    };
    let key = ring.find(envelope.key).ok_or(Rejected::UnknownKey)?;
    let code = MessageMac::new(key, channel);
    if !envelope.update_mac(code, audience).verify(&envelope.tag) {
        return Err(Rejected::Forged);
    }
    Ok(Opened {
        sender: SenderId(envelope.sender),
        boot: envelope.boot,
        counter: envelope.counter,
        payload: envelope.payload,
    })
}
