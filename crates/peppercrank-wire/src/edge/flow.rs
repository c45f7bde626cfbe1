// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! State of a connection, shared by its stream, its task and its response.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Waker;
use std::time::Duration;

use tokio::time::Instant;

use super::limits::Limits;
use super::refusal::Refused;

/// Upper bound of timeouts, which prevents overflows in clock arithmetic.
const MAX_TIMEOUT: Duration = Duration::from_secs(60 * 60 * 24 * 365);

/// Maximum number of bytes of a chunked body that are received without any data of it: chunk sizes,
/// extensions and trailers, besides what hyper buffers.
const MAX_BYTES_WITHOUT_DATA: usize = 256 * 1_024;

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The first byte of the first request, which is on its way.
    New,
    /// The first byte of a further request.
    Idle,
    /// The rest of a head.
    Head,
    /// The end of the response, and that all of it was written.
    Busy,
}

/// Which timeout of a connection expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Expired {
    /// The idle timeout.
    Idle,
    /// A timeout for which the request is refused, or aborted if its response has started.
    Refused(Refused),
}

/// A stream that holds back what arrives before the end of the response.
#[derive(Debug, Default)]
struct Held {
    waker: Option<Waker>,
    /// Whether bytes of the next request have arrived.
    has_bytes: bool,
}

#[derive(Debug)]
struct Inner {
    phase: Phase,
    phase_since: Instant,
    write_blocked_since: Option<Instant>,
    held: Held,
    /// Whether the response has ended, but may not have been written completely.
    flushing: bool,
    /// Number of bytes of a chunked body received since data last reached its reader.
    bytes_without_data: usize,
    refused: Option<Refused>,
    response_started: bool,
    /// Whether the request that has begun has other limits than the one before.
    limits_changed: bool,
}

/// State of a connection.
#[derive(Debug)]
pub(super) struct ConnectionState(Mutex<Inner>);

impl ConnectionState {
    pub(super) fn new() -> Self {
        Self(Mutex::new(Inner {
            phase: Phase::New,
            phase_since: Instant::now(),
            write_blocked_since: None,
            held: Held::default(),
            flushing: false,
            bytes_without_data: 0,
            refused: None,
            response_started: false,
            limits_changed: false,
        }))
    }

    /// Records that the first byte of a head was received.
    pub(super) fn head_started(&self) {
        self.enter(Phase::Head);
    }

    /// Records that a whole head was received.
    pub(super) fn head_complete(&self) {
        self.enter(Phase::Busy);
        self.lock().response_started = false;
    }

    /// Records that the response was handed over completely, or dropped. The connection stays busy
    /// until the caller's side has accepted it.
    pub(super) fn response_ended(&self) {
        self.lock().flushing = true;
    }

    /// Records that all bytes handed over were written.
    pub(super) fn flushed(&self) {
        if !std::mem::take(&mut self.lock().flushing) {
            return;
        }
        let held = std::mem::take(&mut self.lock().held);
        // A connection that has received a part of the next request is not idle, so the request is
        // answered even if idle connections are closed now.
        self.enter(if held.has_bytes {
            Phase::Head
        } else {
            Phase::Idle
        });
        if let Some(waker) = held.waker {
            waker.wake();
        }
    }

    pub(super) fn phase(&self) -> Phase {
        self.lock().phase
    }

    /// Stores the waker of a stream that holds back data until the end of the response.
    pub(super) fn hold(&self, waker: &Waker, has_bytes: bool) {
        self.lock().held = Held {
            waker: Some(waker.clone()),
            has_bytes,
        };
    }

    /// Records received bytes of a chunked body, and returns whether its framing is still in
    /// proportion to its data.
    pub(super) fn chunked_received(&self, bytes: usize) -> bool {
        let mut state = self.lock();
        state.bytes_without_data += bytes;
        state.bytes_without_data <= MAX_BYTES_WITHOUT_DATA
    }

    /// Records that data of a body reached its reader.
    pub(super) fn data_read(&self) {
        self.lock().bytes_without_data = 0;
    }

    pub(super) fn refuse(&self, reason: Refused) {
        self.lock().refused = Some(reason);
    }

    /// Returns the reason for which the request is refused, if any.
    pub(super) fn refused(&self) -> Option<Refused> {
        self.lock().refused
    }

    /// Records that the request that has begun has other limits than the one before.
    pub(super) fn limits_changed(&self) {
        self.lock().limits_changed = true;
    }

    /// Returns whether the limits have changed since the last call.
    pub(super) fn take_limits_changed(&self) -> bool {
        std::mem::take(&mut self.lock().limits_changed)
    }

    /// Returns whether any part of the current response was written.
    pub(super) fn response_started(&self) -> bool {
        self.lock().response_started
    }

    /// Records that bytes of a response were written.
    pub(super) fn write_progressed(&self) {
        let mut state = self.lock();
        state.write_blocked_since = None;
        state.response_started = true;
    }

    /// Records that the caller accepts no bytes.
    pub(super) fn write_blocked(&self) {
        let mut state = self.lock();
        if state.write_blocked_since.is_none() {
            state.write_blocked_since = Some(Instant::now());
        }
    }

    /// Returns the next deadline and the timeout that expires then.
    pub(super) fn deadline(
        &self,
        limits: &Limits,
        stopping: Option<Instant>,
    ) -> (Instant, Expired) {
        let state = self.lock();
        let idle = |time| idle_deadline(state.phase_since, time, limits, stopping);
        let phase = match state.phase {
            Phase::New => (idle(limits.idle.max(limits.head_time)), Expired::Idle),
            Phase::Idle => (idle(limits.idle), Expired::Idle),
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

fn idle_deadline(
    since: Instant,
    time: Duration,
    limits: &Limits,
    stopping: Option<Instant>,
) -> Instant {
    let end = deadline_after(since, time);
    match stopping {
        Some(at) => end.min(deadline_after(at, limits.stop_idle)),
        None => end,
    }
}

/// Returns the instant `time` after `start`, limited to [`MAX_TIMEOUT`].
pub(super) fn deadline_after(start: Instant, time: Duration) -> Instant {
    start + time.min(MAX_TIMEOUT)
}
