// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Where one connection stands, shared by its gate, its task and its answer.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Waker;
use std::time::Duration;

use tokio::time::Instant;

use super::limits::Limits;
use super::refusal::Refused;

/// Far enough away to mean never, near enough for the clock's arithmetic.
const MAX_TIMEOUT: Duration = Duration::from_secs(60 * 60 * 24 * 365);

/// `Phase` is what a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// A request's first byte.
    Idle,
    /// The rest of a head.
    Head,
    /// The answer's end.
    Busy,
}

/// `Expired` is which time of a connection ran out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Expired {
    /// It idled.
    Idle,
    /// It is refused, or cut when its answer has begun.
    Refused(Refused),
}

#[derive(Debug)]
struct Inner {
    phase: Phase,
    phase_since: Instant,
    write_blocked_since: Option<Instant>,
    held_waker: Option<Waker>,
    refused: Option<Refused>,
    response_started: bool,
}

/// `Flow` is where one connection stands.
#[derive(Debug)]
pub(super) struct ConnectionState(Mutex<Inner>);

impl ConnectionState {
    pub(super) fn new() -> Self {
        Self(Mutex::new(Inner {
            phase: Phase::Idle,
            phase_since: Instant::now(),
            write_blocked_since: None,
            held_waker: None,
            refused: None,
            response_started: false,
        }))
    }

    /// A head's first byte has come.
    pub(super) fn head_started(&self) {
        self.enter(Phase::Head);
    }

    /// A whole head has come.
    pub(super) fn head_complete(&self) {
        self.enter(Phase::Busy);
        self.lock().response_started = false;
    }

    /// The answer was handed over to its end, or dropped.
    pub(super) fn response_ended(&self) {
        self.enter(Phase::Idle);
        let waker = self.lock().held_waker.take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    pub(super) fn phase(&self) -> Phase {
        self.lock().phase
    }

    /// Keeps the waker of a gate that holds back what comes before the answer's end.
    pub(super) fn set_held_waker(&self, waker: &Waker) {
        self.lock().held_waker = Some(waker.clone());
    }

    pub(super) fn refuse(&self, reason: Refused) {
        self.lock().refused = Some(reason);
    }

    /// Why the connection is refused, unless its answer has begun.
    pub(super) fn refused(&self) -> Option<Refused> {
        self.lock().refused
    }

    /// Whether any of the present answer was written.
    pub(super) fn response_started(&self) -> bool {
        self.lock().response_started
    }

    /// Bytes of an answer went out.
    pub(super) fn write_progressed(&self) {
        let mut state = self.lock();
        state.write_blocked_since = None;
        state.response_started = true;
    }

    /// The caller takes no bytes.
    pub(super) fn write_blocked(&self) {
        let mut state = self.lock();
        if state.write_blocked_since.is_none() {
            state.write_blocked_since = Some(Instant::now());
        }
    }

    /// The next time that runs out, and what it means.
    pub(super) fn deadline(
        &self,
        limits: &Limits,
        stopping: Option<Instant>,
    ) -> (Instant, Expired) {
        let state = self.lock();
        let phase = match state.phase {
            Phase::Idle => (
                idle_deadline(state.phase_since, limits, stopping),
                Expired::Idle,
            ),
            Phase::Head => {
                let reason = Expired::Refused(Refused::HeadTimeout);
                (deadline_after(state.phase_since, limits.head_time), reason)
            }
            Phase::Busy => {
                let reason = Expired::Refused(Refused::TotalTime);
                (deadline_after(state.phase_since, limits.total), reason)
            }
        };
        let Some(blocked_since) = state.write_blocked_since else {
            return phase;
        };
        let write = deadline_after(blocked_since, limits.write);
        if write < phase.0 {
            return (write, Expired::Refused(Refused::WriteTimeout));
        }
        phase
    }

    fn enter(&self, phase: Phase) {
        let mut state = self.lock();
        state.phase = phase;
        state.phase_since = Instant::now();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn idle_deadline(since: Instant, limits: &Limits, stopping: Option<Instant>) -> Instant {
    let end = deadline_after(since, limits.idle);
    match stopping {
        Some(at) => end.min(deadline_after(at, limits.stop_idle)),
        None => end,
    }
}

/// The moment `time` after `start`, however long that is.
pub(super) fn deadline_after(start: Instant, time: Duration) -> Instant {
    start + time.min(MAX_TIMEOUT)
}
