// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The signal that tells adapters to stop.

use tokio::sync::watch;

/// `Stopper` tells every [`Stop`] made with it to stop; dropping it tells them too.
#[derive(Debug)]
pub struct Stopper(watch::Sender<bool>);

/// `Stop` waits for its [`Stopper`].
#[derive(Debug, Clone)]
pub struct Stop(watch::Receiver<bool>);

/// `stop` makes a stopper and the signal that it gives.
#[must_use]
pub fn stop() -> (Stopper, Stop) {
    let (tx, rx) = watch::channel(false);
    (Stopper(tx), Stop(rx))
}

impl Stopper {
    /// `stop` gives the signal; giving it twice does nothing more.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }
}

impl Stop {
    /// `is_stopping` tells whether the signal was given.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        // A dropped stopper can give no signal any more, so it counts as one.
        *self.0.borrow() || self.0.has_changed().is_err()
    }

    /// `wait` returns once the signal was given.
    pub async fn wait(&mut self) {
        // An error means that the stopper is gone, which is a signal too.
        let _given = self.0.wait_for(|given| *given).await;
    }
}
