// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Whether the process hears anybody.

use std::sync::atomic::Ordering;
use std::time::Duration;

use peppercrank_core::events::Event;
use peppercrank_core::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::lock;

/// `Heard` is when others were last heard.
#[derive(Debug, Clone, Copy)]
pub(super) struct Heard {
    peer: Instant,
    platform: Instant,
    /// Whether the process was in touch when it was last asked.
    touch: bool,
}

impl Heard {
    /// A process that starts counts as having heard both just now.
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            peer: now,
            platform: now,
            touch: true,
        }
    }
}

impl Fleet {
    /// `is_in_touch` tells whether a peer or the platform was heard within its limit.
    ///
    /// A process that hears its peers rides out any outage of the platform, and one that hears the
    /// platform may be alone.
    #[must_use]
    pub fn is_in_touch(&self) -> bool {
        let now = self.clock.now();
        let limits = self.settings.touch;
        let within = |at: Instant, limit: Duration| now.since(at) < limit;
        let mut heard = lock(&self.heard);
        let touch = within(heard.peer, limits.peers) || within(heard.platform, limits.platform);
        let lost = heard.touch && !touch;
        heard.touch = touch;
        drop(heard);
        if lost {
            self.log.write_about(Event::OutOfTouch, "");
        }
        touch
    }

    /// Notes that a peer was heard.
    pub(super) fn heard_peer(&self) {
        lock(&self.heard).peer = self.clock.now();
    }

    /// Notes whether the platform answered, and logs a change.
    pub(super) fn note_platform(&self, up: bool) {
        if up {
            lock(&self.heard).platform = self.clock.now();
        }
        if self.platform_up.swap(up, Ordering::Relaxed) != up {
            let event = if up {
                Event::PlatformUp
            } else {
                Event::PlatformDown
            };
            self.log.write_about(event, "");
        }
    }
}
