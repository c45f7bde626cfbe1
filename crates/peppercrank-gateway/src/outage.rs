// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Whether the store answers this router, as its followers find out.

use tokio::sync::watch;

/// `Outage` tells the followers when one of them finds the store away or back, since the others
/// may wait on connections that are dead.
#[derive(Debug, Clone)]
pub struct Outage(watch::Sender<bool>);

impl Default for Outage {
    fn default() -> Self {
        Self(watch::channel(false).0)
    }
}

impl Outage {
    /// `is_away` tells whether the store does not answer.
    #[must_use]
    pub fn is_away(&self) -> bool {
        *self.0.borrow()
    }

    /// `set` notes whether the store is away; true if that is news.
    #[must_use]
    pub fn set_away(&self, away: bool) -> bool {
        self.0
            .send_if_modified(|now| std::mem::replace(now, away) != away)
    }

    /// `subscribe` is what a follower hears by.
    #[must_use]
    pub fn subscribe(&self) -> OutageListener {
        OutageListener(self.0.subscribe())
    }
}

/// `OutageListener` tells one follower of the store's outages.
#[derive(Debug, Clone)]
pub struct OutageListener(watch::Receiver<bool>);

impl OutageListener {
    /// `is_away` tells whether the store is away, and takes that as heard.
    pub fn is_away(&mut self) -> bool {
        *self.0.borrow_and_update()
    }

    /// `returned` returns once the store was away and is back.
    pub async fn wait_for_return(&mut self) {
        loop {
            if self.0.changed().await.is_err() {
                return std::future::pending().await;
            }
            if !self.is_away() {
                return;
            }
        }
    }
}
