// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The shutdown signal for adapters.

use tokio::sync::watch;

/// Signals shutdown to all [`Stop`]s created with it; dropping it signals too.
#[derive(Debug)]
pub struct Stopper(watch::Sender<bool>);

/// Receives the shutdown signal of its [`Stopper`].
#[derive(Debug, Clone)]
pub struct Stop(watch::Receiver<bool>);

/// Creates a stopper and the receiver of its signal.
#[must_use]
pub fn stop() -> (Stopper, Stop) {
    let (tx, rx) = watch::channel(false);
    (Stopper(tx), Stop(rx))
}

impl Stopper {
    /// Sends the signal; sending it again has no effect.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }
}

impl Stop {
    /// Returns whether the signal was sent.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        // A dropped stopper counts as a signal, because it cannot send one any more.
        *self.0.borrow() || self.0.has_changed().is_err()
    }

    /// Waits until the signal is sent.
    pub async fn wait(&mut self) {
        // An error means that the stopper was dropped, which counts as a signal.
        let _given = self.0.wait_for(|given| *given).await;
    }
}
