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
const NEVER: Duration = Duration::from_secs(60 * 60 * 24 * 365);

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
struct State {
    phase: Phase,
    since: Instant,
    blocked: Option<Instant>,
    held: Option<Waker>,
    refused: Option<Refused>,
    wrote: bool,
}

/// `Flow` is where one connection stands.
#[derive(Debug)]
pub(super) struct Flow(Mutex<State>);

impl Flow {
    pub(super) fn new() -> Self {
        Self(Mutex::new(State {
            phase: Phase::Idle,
            since: Instant::now(),
            blocked: None,
            held: None,
            refused: None,
            wrote: false,
        }))
    }

    /// A head's first byte has come.
    pub(super) fn head(&self) {
        self.enter(Phase::Head);
    }

    /// A whole head has come.
    pub(super) fn begin(&self) {
        self.enter(Phase::Busy);
        self.state().wrote = false;
    }

    /// The answer was handed over to its end, or dropped.
    pub(super) fn end(&self) {
        self.enter(Phase::Idle);
        let held = self.state().held.take();
        if let Some(waker) = held {
            waker.wake();
        }
    }

    pub(super) fn phase(&self) -> Phase {
        self.state().phase
    }

    /// Keeps the waker of a gate that holds back what comes before the answer's end.
    pub(super) fn hold(&self, waker: &Waker) {
        self.state().held = Some(waker.clone());
    }

    pub(super) fn refuse(&self, reason: Refused) {
        self.state().refused = Some(reason);
    }

    /// Why the connection is refused, unless its answer has begun.
    pub(super) fn refused(&self) -> Option<Refused> {
        self.state().refused
    }

    /// Whether any of the present answer was written.
    pub(super) fn wrote(&self) -> bool {
        self.state().wrote
    }

    /// Bytes of an answer went out.
    pub(super) fn written(&self) {
        let mut state = self.state();
        state.blocked = None;
        state.wrote = true;
    }

    /// The caller takes no bytes.
    pub(super) fn blocked(&self) {
        let mut state = self.state();
        if state.blocked.is_none() {
            state.blocked = Some(Instant::now());
        }
    }

    /// The next time that runs out, and what it means.
    pub(super) fn deadline(
        &self,
        limits: &Limits,
        stopping: Option<Instant>,
    ) -> (Instant, Expired) {
        let state = self.state();
        let phase = match state.phase {
            Phase::Idle => (idle(state.since, limits, stopping), Expired::Idle),
            Phase::Head => {
                let reason = Expired::Refused(Refused::HeadTimeout);
                (after(state.since, limits.head_time), reason)
            }
            Phase::Busy => {
                let reason = Expired::Refused(Refused::TotalTime);
                (after(state.since, limits.total), reason)
            }
        };
        let Some(blocked) = state.blocked else {
            return phase;
        };
        let write = after(blocked, limits.write);
        if write < phase.0 {
            return (write, Expired::Refused(Refused::WriteTimeout));
        }
        phase
    }

    fn enter(&self, phase: Phase) {
        let mut state = self.state();
        state.phase = phase;
        state.since = Instant::now();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn idle(since: Instant, limits: &Limits, stopping: Option<Instant>) -> Instant {
    let end = after(since, limits.idle);
    match stopping {
        Some(at) => end.min(after(at, limits.stop_idle)),
        None => end,
    }
}

/// The moment `time` after `start`, however long that is.
pub(super) fn after(start: Instant, time: Duration) -> Instant {
    start + time.min(NEVER)
}
