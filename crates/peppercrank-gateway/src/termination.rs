// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tells attempts that the start of the target which they were sent to has ended.
//!
//! A target that starts again answers nothing that it was sent before. Where its host fell silent
//! meanwhile, the connection does not tell, and an attempt would wait for its deadline.

use std::time::Duration;

use peppercrank_direct::directory::TargetKey;
use slotmap::SecondaryMap;
use tokio::sync::watch;
use tokio::time::sleep;

/// Time for answers that the old start sent before its end: a hundred round trips between availability
/// zones.
const TRANSIT_TIME: Duration = Duration::from_millis(300);

/// `Terminations` holds the starts of targets that take part.
#[derive(Debug, Default)]
pub struct Terminations {
    senders: SecondaryMap<TargetKey, watch::Sender<bool>>,
}

impl Terminations {
    /// `track` notes a start that takes part.
    pub fn track(&mut self, key: TargetKey) {
        self.senders.insert(key, watch::Sender::new(false));
    }

    /// `terminate` tells all attempts at a start that it has ended.
    pub fn terminate(&mut self, key: TargetKey) {
        if let Some(sender) = self.senders.get(key) {
            sender.send_replace(true);
        }
    }

    /// `forget` drops a start that takes no part any more; it may still answer what it has.
    pub fn forget(&mut self, key: TargetKey) {
        self.senders.remove(key);
    }

    /// `subscribe` is what an attempt at a start watches.
    #[must_use]
    pub fn subscribe(&self, key: TargetKey) -> Termination {
        Termination(self.senders.get(key).map(watch::Sender::subscribe))
    }
}

/// `Termination` is what an attempt knows of its target's start.
#[derive(Debug, Clone)]
pub struct Termination(Option<watch::Receiver<bool>>);

impl Termination {
    /// `wait` returns once the start has ended and what it sent before has come in.
    pub async fn wait(&mut self) {
        let Some(receiver) = &mut self.0 else {
            return std::future::pending().await;
        };
        // A sender that goes without a word is that of a target which leaves and may still answer.
        if receiver.wait_for(|ended| *ended).await.is_err() {
            return std::future::pending().await;
        }
        sleep(TRANSIT_TIME).await;
    }
}
