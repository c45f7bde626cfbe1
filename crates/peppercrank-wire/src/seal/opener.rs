// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The receiving side: messages opened once each, or rejected with the reason.

use std::collections::HashMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::Channel;
use super::keys::Code;
use super::keys::KeyRing;
use super::sealer::Envelope;
use super::sealer::SenderId;
use super::window::Place;
use super::window::Window;

macro_rules! rejected {
    ($($(#[$doc:meta])* $variant:ident $code:literal,)*) => {
        /// `Rejected` is why a message was not opened.
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub enum Rejected {
            $($(#[$doc])* $variant,)*
        }

        impl Rejected {
            /// All reasons, in the order of their definition.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// `code` is the stable code of the reason in metrics.
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
    /// The key that it names is not on the ring.
    UnknownKey "unknown_key",
    /// The code does not match: forged, altered, or meant for another audience.
    Forged "forged",
    /// It came before.
    Replayed "replayed",
    /// It is too far behind its sender's newest to tell whether it came before.
    TooOld "too_old",
    /// Its sender has started anew since.
    OldBoot "old_boot",
}

impl fmt::Display for Rejected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

impl std::error::Error for Rejected {}

/// `Opened` is an authentic message that came for the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opened<'a> {
    /// Who sealed it.
    pub sender: SenderId,
    /// The sender's boot.
    pub boot: u64,
    /// The message's counter within that boot.
    pub counter: u64,
    /// What was sealed.
    pub payload: &'a [u8],
}

/// `Opener` opens the messages of one channel that are meant for one process.
///
/// It remembers each sender's newest boot and counters, for at most as many senders as it was made
/// for. Only holders of a key can take up that room; past it the longest silent is forgotten.
#[derive(Debug)]
pub struct Opener {
    channel: Channel,
    ring: KeyRing,
    room: usize,
    /// Grows with each message opened, to find the longest silent.
    clock: u64,
    senders: HashMap<SenderId, (u64, Window)>,
    rejected: [u64; Rejected::ALL.len()],
}

impl Opener {
    /// `new` makes an opener that remembers up to `room` senders.
    #[must_use]
    pub fn new(channel: Channel, ring: KeyRing, room: usize) -> Self {
        Self {
            channel,
            ring,
            room: room.max(1),
            clock: 0,
            senders: HashMap::new(),
            rejected: [0; Rejected::ALL.len()],
        }
    }

    /// `rotate` puts another ring in place of the present one; what was seen stays known.
    pub fn rotate(&mut self, ring: KeyRing) {
        self.ring = ring;
    }

    /// `rejected` is how many messages were rejected for a reason.
    #[must_use]
    pub const fn rejected(&self, reason: Rejected) -> u64 {
        self.rejected[reason as usize]
    }

    /// `senders` is how many senders are remembered.
    #[must_use]
    pub fn senders(&self) -> usize {
        self.senders.len()
    }

    /// `open` checks and opens a message meant for `audience`.
    ///
    /// # Errors
    ///
    /// Returns why the message is rejected, and counts it.
    pub fn open<'a>(&mut self, audience: &[u8], bytes: &'a [u8]) -> Result<Opened<'a>, Rejected> {
        let opened = verify(&self.ring, self.channel, audience, bytes);
        let opened = opened.and_then(|o| self.first(&o).map(|()| o));
        if let Err(reason) = opened {
            self.reject(reason);
        }
        opened
    }

    /// `open_once` opens a message whose audience is a call that is answered once.
    ///
    /// The audience makes a replay impossible, so nothing is remembered of its sender.
    ///
    /// # Errors
    ///
    /// Returns why the message is rejected, and counts it.
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

    /// Counts a message that its reader rejects.
    pub(crate) const fn reject(&mut self, reason: Rejected) {
        self.rejected[reason as usize] += 1;
    }

    /// Notes an authentic message, which must be its sender's newest boot's and new.
    fn first(&mut self, opened: &Opened<'_>) -> Result<(), Rejected> {
        self.clock += 1;
        let clock = self.clock;
        let Some((heard, window)) = self.senders.get_mut(&opened.sender) else {
            self.make_room();
            let window = Window::new(opened.boot, opened.counter);
            self.senders.insert(opened.sender, (clock, window));
            return Ok(());
        };
        if opened.boot < window.boot {
            return Err(Rejected::OldBoot);
        }
        *heard = clock;
        if opened.boot > window.boot {
            *window = Window::new(opened.boot, opened.counter);
            return Ok(());
        }
        match window.note(opened.counter) {
            Place::Fresh => Ok(()),
            Place::Seen => Err(Rejected::Replayed),
            Place::TooOld => Err(Rejected::TooOld),
        }
    }

    fn make_room(&mut self) {
        if self.senders.len() < self.room {
            return;
        }
        let oldest = self.senders.iter().min_by_key(|(_, (heard, _))| *heard);
        if let Some(sender) = oldest.map(|(s, _)| *s) {
            self.senders.remove(&sender);
        }
    }
}

/// Checks everything about a message that needs no memory.
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
    let code = Code::new(key, channel);
    if !envelope.code(code, audience).matches(&envelope.tag) {
        return Err(Rejected::Forged);
    }
    Ok(Opened {
        sender: SenderId(envelope.sender),
        boot: envelope.boot,
        counter: envelope.counter,
        payload: envelope.payload,
    })
}
