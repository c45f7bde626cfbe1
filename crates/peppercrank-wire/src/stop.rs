// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The shutdown signal for adapters.

use tokio::sync::watch;
use tokio::time::Instant;

/// Signals shutdown to all [`Stop`]s created with it; dropping it signals too.
#[derive(Debug)]
pub struct Stopper(watch::Sender<Option<Instant>>);

/// Receives the shutdown signal of its [`Stopper`].
#[derive(Debug, Clone)]
pub struct Stop(watch::Receiver<Option<Instant>>);

/// Creates a stopper and the receiver of its signal.
#[must_use]
pub fn stop() -> (Stopper, Stop) {
    let (tx, rx) = watch::channel(None);
    (Stopper(tx), Stop(rx))
}

impl Stopper {
    /// Sends the signal; sending it again has no effect.
    pub fn stop(&self) {
        self.0.send_if_modified(|at| {
            let first = at.is_none();
            at.get_or_insert_with(Instant::now);
            first
        });
    }
}

impl Drop for Stopper {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Stop {
    /// Returns when the signal was sent, the same instant for all receivers; `None` before.
    ///
    /// All time limits of a shutdown count from this instant. A task that counts from when it sees
    /// the signal itself outlives the others by the age of the signal.
    #[must_use]
    pub fn sent_at(&self) -> Option<Instant> {
        *self.0.borrow()
    }

    /// Returns whether the signal was sent.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.sent_at().is_some()
    }

    /// Waits until the signal is sent.
    pub async fn wait(&mut self) {
        // The stopper signals before it is dropped, so there is no error.
        let _sent = self.0.wait_for(Option::is_some).await;
    }
}
