// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Shares whether the store answers this router among its followers.

use tokio::sync::watch;

/// Notifies all followers when one of them finds that the store is unavailable or has recovered.
/// Without that, the others might wait for answers on connections that are dead.
#[derive(Debug, Clone)]
pub struct Outage(watch::Sender<bool>);

impl Default for Outage {
    fn default() -> Self {
        Self(watch::channel(false).0)
    }
}

impl Outage {
    /// Returns whether the store is unavailable.
    #[must_use]
    pub fn is_store_down(&self) -> bool {
        *self.0.borrow()
    }

    /// Records whether the store is unavailable, and returns whether that changed.
    #[must_use]
    pub fn set_store_down(&self, down: bool) -> bool {
        self.0
            .send_if_modified(|now| std::mem::replace(now, down) != down)
    }

    /// Returns a listener for one follower.
    #[must_use]
    pub fn subscribe(&self) -> OutageListener {
        OutageListener(self.0.subscribe())
    }
}

/// Notifies one follower of the store's outages.
#[derive(Debug, Clone)]
pub struct OutageListener(watch::Receiver<bool>);

impl OutageListener {
    /// Returns whether the store is unavailable, and marks that state as seen.
    pub fn is_store_down(&mut self) -> bool {
        *self.0.borrow_and_update()
    }

    /// Waits until the store has recovered from an outage.
    pub async fn wait_for_recovery(&mut self) {
        loop {
            if self.0.changed().await.is_err() {
                return std::future::pending().await;
            }
            if !self.is_store_down() {
                return;
            }
        }
    }
}
