// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Notifies attempts that the incarnation of their target has ended.
//!
//! A target that restarts never answers earlier requests. If its host failed silently, the
//! connection does not show that, and an attempt would wait until its deadline.

use std::time::Duration;

use peppercrank_direct::directory::TargetKey;
use slotmap::SecondaryMap;
use tokio::sync::watch;
use tokio::time::sleep;

/// Time for answers that the old incarnation sent before it ended: a hundred round trips between
/// availability zones.
const TRANSIT_TIME: Duration = Duration::from_millis(300);

/// The live incarnations of targets, with a notification channel for each.
#[derive(Debug, Default)]
pub struct Terminations {
    senders: SecondaryMap<TargetKey, watch::Sender<bool>>,
}

impl Terminations {
    /// Adds an incarnation that has joined.
    pub fn track(&mut self, key: TargetKey) {
        self.senders.insert(key, watch::Sender::new(false));
    }

    /// Notifies all attempts at an incarnation that it has ended.
    pub fn terminate(&mut self, key: TargetKey) {
        if let Some(sender) = self.senders.get(key) {
            sender.send_replace(true);
        }
    }

    /// Removes an incarnation that has left. It may still finish the requests that it has.
    pub fn forget(&mut self, key: TargetKey) {
        self.senders.remove(key);
    }

    /// Returns the notification for an attempt at an incarnation.
    #[must_use]
    pub fn subscribe(&self, key: TargetKey) -> Termination {
        Termination(self.senders.get(key).map(watch::Sender::subscribe))
    }
}

/// Notifies an attempt that its target's incarnation has ended.
#[derive(Debug, Clone)]
pub struct Termination(Option<watch::Receiver<bool>>);

impl Termination {
    /// Waits until the incarnation has ended and its last answers have had time to arrive.
    pub async fn wait(&mut self) {
        let Some(receiver) = &mut self.0 else {
            return std::future::pending().await;
        };
        // The sender is dropped without a notification when a target leaves, which may still
        // answer.
        if receiver.wait_for(|ended| *ended).await.is_err() {
            return std::future::pending().await;
        }
        sleep(TRANSIT_TIME).await;
    }
}
