// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Guards that release what was admitted, whatever path ends a request.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use crate::messages::Ticket;

/// `Releases` is the list of ended requests that permits fill and the daemon drains.
///
/// # Examples
///
/// ```
/// use peppercrank_admit::Releases;
/// use peppercrank_admit::Ticket;
///
/// let releases = Releases::default();
/// let permit = releases.permit(Ticket(7));
/// drop(permit);
/// assert_eq!(releases.drain(), [Ticket(7)]);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Releases {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    ended: Mutex<Vec<Ticket>>,
    news: Condvar,
}

impl Releases {
    /// `permit` makes the guard of an admitted request.
    pub fn permit(&self, ticket: Ticket) -> Permit {
        let shared = Arc::clone(&self.shared);
        Permit { ticket, shared }
    }

    /// `drain` takes the requests that ended, each to be put in as an `End`.
    #[must_use]
    pub fn drain(&self) -> Vec<Ticket> {
        std::mem::take(&mut *self.shared.lock())
    }

    /// `wait` is `drain` that first waits up to `most` for a request to end.
    #[must_use]
    pub fn wait(&self, most: Duration) -> Vec<Ticket> {
        let ended = self.shared.lock();
        let waited = self
            .shared
            .news
            .wait_timeout_while(ended, most, |ended| ended.is_empty());
        let (mut ended, _) = waited.unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *ended)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Vec<Ticket>> {
        // A push or a take leaves the list whole, so a poisoned lock guards a good one.
        self.ended.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `Permit` is the right of one admitted request to run; dropping it releases what it reserved.
///
/// It cannot be copied, so it releases once; and the admission takes a second `End` of one
/// ticket for nothing.
#[derive(Debug)]
#[must_use = "dropping the permit at once releases the request's reservation"]
pub struct Permit {
    ticket: Ticket,
    shared: Arc<Shared>,
}

impl Permit {
    /// `ticket` is the request that may run.
    #[must_use]
    pub fn ticket(&self) -> Ticket {
        self.ticket
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.shared.lock().push(self.ticket);
        self.shared.news.notify_one();
    }
}
