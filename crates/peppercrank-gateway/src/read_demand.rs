// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Paces reads of the store that callers wait for.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::stored_origins::write_interval;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::store::jittered;

/// Time between two reads of one kind.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Time as a multiple of that between two writes of origins, which grows with the number of
    /// routers.
    pub writes: u32,
    /// Maximum time, after which no caller has waited too long.
    pub max: Duration,
}

/// `ReadDemand` tells the task that reads one kind of records whether callers wait for it. One read
/// answers all callers before it, and one that fails is repeated as long as a caller waits.
#[derive(Debug)]
pub struct ReadDemand {
    pace: Pace,
    asked: Notify,
    waiting: Mutex<Waiting>,
}

#[derive(Debug, Default)]
struct Waiting {
    /// When the last caller gives up; `None` before the first.
    until: Option<Instant>,
    /// Whether the last read failed.
    has_failed: bool,
}

impl ReadDemand {
    /// Creates a demand for reads at this pace.
    #[must_use]
    pub fn new(pace: Pace) -> Self {
        Self {
            pace,
            asked: Notify::new(),
            waiting: Mutex::default(),
        }
    }

    /// Asks for a read, for which a caller waits until a point in time.
    pub fn ask(&self, until: Instant) {
        let mut waiting = self.waiting();
        waiting.until = waiting.until.max(Some(until));
        drop(waiting);
        self.asked.notify_one();
    }

    /// Waits until a read is due.
    pub async fn wait(&self, gateway: &Gateway) {
        if !self.must_repeat(gateway) {
            self.asked.notified().await;
        }
    }

    /// Records how a read ended, which is `None` if it failed, and pauses until the next one may
    /// follow.
    pub async fn pause(&self, gateway: &Gateway, read: Option<()>) {
        self.waiting().has_failed = read.is_none();
        let routers = gateway.state().routers.len() + 1;
        let pause = write_interval(routers).saturating_mul(self.pace.writes);
        sleep(jittered(pause.min(self.pace.max))).await;
    }

    /// Returns whether a caller still waits for a read that failed. None does while the store is
    /// away.
    fn must_repeat(&self, gateway: &Gateway) -> bool {
        let now = gateway.now();
        let is_away = gateway.state().directory.is_store_down();
        let waiting = self.waiting();
        let is_awaited = waiting.until.is_some_and(|until| now < until);
        waiting.has_failed && is_awaited && !is_away
    }

    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
