// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! When to call the platform's API: watches, slow polls, pauses after failures.

use std::time::Duration;

use peppercrank_core::objects::ObjectKind;
use peppercrank_core::time::Instant;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::action::Answer;
use super::action::Call;
use crate::object::Version;
use crate::store::Complete;
use crate::store::KINDS;

/// How long the API may hold a watch.
pub const WATCH_WAIT: Duration = Duration::from_secs(20);
/// The least time between two watches of one kind, so that a burst of changes comes in batches.
pub const WATCH_GAP: Duration = Duration::from_millis(250);
/// After which a call that has not ended is given up, beyond the time that it may be held.
pub const CALL_LIMIT: Duration = Duration::from_secs(30);
/// The first pause after a failed call, doubled up to [`MAX_PAUSE`].
pub const MIN_PAUSE: Duration = Duration::from_secs(1);
/// The longest pause after a failed call.
pub const MAX_PAUSE: Duration = Duration::from_secs(10);
/// How many fresh processes a second turn to the API when no peer is ready.
pub const FRESH_RATE: f64 = 10.0;
/// The least time that they spread over.
pub const MIN_FRESH: Duration = Duration::from_secs(2);
/// The slow polls of the whole fleet, in calls a second.
pub const POLL_RATE: f64 = 2.0;
/// The shortest interval of slow polls.
pub const MIN_POLL: Duration = Duration::from_secs(60);
/// The interval of polls by a process that hears no peer.
pub const LONELY_POLL: Duration = Duration::from_secs(20);

/// Why a process calls the platform's API now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Mode {
    /// It watches for its zone.
    Watch,
    /// It watches for its zone once it may serve.
    Eager,
    /// It may not serve yet, one of so many members, and does not watch.
    Fresh {
        /// The members of the fleet.
        members: usize,
    },
    /// It polls slowly, one of so many members.
    Poll {
        /// The members of the fleet.
        members: usize,
    },
    /// It hears no peer.
    Lonely,
}

#[derive(Debug, Clone, Copy)]
enum State {
    /// Calls at this time, or when told to.
    Idle { at: Option<Instant> },
    /// Waits for an answer, until then.
    Waiting { until: Instant },
}

/// The calls about one kind.
#[derive(Debug, Clone, Copy)]
struct Slot {
    state: State,
    started: Instant,
    failures: u32,
    relist: bool,
    /// Whether a list was answered: what an empty API holds is known at revision 0, too.
    listed: bool,
    /// The latest time of which it is known that nothing newer was to be had.
    confirmed: Option<Instant>,
}

/// When to call the platform's API.
#[derive(Debug)]
pub(super) struct Calls {
    slots: [Slot; KINDS],
    mode: Mode,
}

impl Calls {
    pub(super) const fn new(mode: Mode) -> Self {
        let slot = Slot {
            state: State::Idle { at: None },
            started: Instant::ZERO,
            failures: 0,
            relist: false,
            listed: false,
            confirmed: None,
        };
        let slots = [slot; KINDS];
        Self { slots, mode }
    }

    /// Sets why to call from now on.
    pub(super) fn set_mode(&mut self, now: Instant, mode: Mode, rng: &mut ChaCha8Rng) {
        if self.mode == mode {
            return;
        }
        let same = std::mem::discriminant(&self.mode) == std::mem::discriminant(&mode);
        self.mode = mode;
        if !same {
            self.retime(now, rng);
        }
    }

    /// Brings the calls about kinds not confirmed after `since` forward to within `spread` of
    /// now, pauses after failures excepted.
    pub(super) fn hasten(
        &mut self,
        now: Instant,
        since: Instant,
        spread: Duration,
        rng: &mut ChaCha8Rng,
    ) {
        let soon = now + uniform(rng, spread);
        for slot in &mut self.slots {
            if slot.confirmed.is_none_or(|at| at < since) {
                slot.hasten(soon);
            }
        }
    }

    /// Puts all calls to when the mode asks for them.
    fn retime(&mut self, now: Instant, rng: &mut ChaCha8Rng) {
        // One time for all kinds: one kind's answer brings the others' calls forward.
        let at = now + first_pause(self.mode, rng);
        for slot in &mut self.slots {
            slot.retime(at);
        }
    }

    /// Brings the call about one kind forward.
    pub(super) fn hasten_one(&mut self, kind: ObjectKind, at: Instant) {
        self.slots[kind as usize].hasten(at);
    }

    /// The calls that are due.
    pub(super) fn due(&mut self, now: Instant, complete: &Complete) -> Vec<Call> {
        let wait = match self.mode {
            Mode::Watch => WATCH_WAIT,
            // One that may not serve yet wants an answer now, also that nothing changed.
            Mode::Eager | Mode::Fresh { .. } | Mode::Poll { .. } | Mode::Lonely => Duration::ZERO,
        };
        let kinds = ObjectKind::ALL.iter().zip(&mut self.slots).zip(complete);
        let due = kinds.filter_map(|((kind, slot), since)| slot.call(now, *kind, *since, wait));
        due.collect()
    }

    /// Takes the end of a call in.
    pub(super) fn answered(
        &mut self,
        now: Instant,
        call: Call,
        answer: &Answer,
        rng: &mut ChaCha8Rng,
    ) {
        let mode = self.mode;
        let slot = &mut self.slots[call.kind() as usize];
        // The answer to a call given up before says nothing about when to call next.
        let State::Waiting { .. } = slot.state else {
            return;
        };
        let pause = match answer {
            Answer::Objects { objects, .. } => {
                slot.failures = 0;
                slot.relist = false;
                slot.listed |= matches!(call, Call::List { .. });
                slot.confirm(now, call, objects.is_empty());
                next_pause(now, slot.started, mode, rng)
            }
            Answer::TooOld => {
                slot.relist = true;
                uniform(rng, MIN_PAUSE)
            }
            Answer::Busy { after } => {
                slot.failures += 1;
                let after = after.unwrap_or_default();
                // Those who were told the same time must not all come back at it.
                let spread = uniform(rng, after.max(MIN_PAUSE));
                after.max(backoff(slot.failures, rng)) + spread
            }
            Answer::Down => {
                slot.failures += 1;
                let next = next_pause(now, slot.started, mode, rng);
                next.max(backoff(slot.failures, rng))
            }
        };
        let at = Some(now + pause);
        slot.state = State::Idle { at };
    }

    /// The latest time of which it is known of every kind that nothing newer was to be had.
    pub(super) fn confirmed(&self) -> Option<Instant> {
        let all = self.slots.iter().map(|s| s.confirmed);
        all.min().flatten()
    }

    /// Whether the last call about a kind failed.
    pub(super) const fn failing(&self, kind: ObjectKind) -> bool {
        self.slots[kind as usize].failures > 0
    }

    /// When something is due next.
    pub(super) fn next(&self) -> Option<Instant> {
        let times = self.slots.iter().filter_map(|s| match s.state {
            State::Idle { at } => at,
            State::Waiting { until } => Some(until),
        });
        times.min()
    }
}

impl Slot {
    fn retime(&mut self, to: Instant) {
        let State::Idle { at: Some(at) } = self.state else {
            return;
        };
        // A pause after a failure may grow, but changing sides must not shorten it.
        let floor = if self.failures > 0 { at } else { to };
        let at = Some(to.max(floor));
        self.state = State::Idle { at };
    }

    fn hasten(&mut self, soon: Instant) {
        let State::Idle { at } = self.state else {
            return;
        };
        let at = match at {
            Some(at) if self.failures > 0 || at < soon => at,
            _ => soon,
        };
        self.state = State::Idle { at: Some(at) };
    }

    fn call(
        &mut self,
        now: Instant,
        kind: ObjectKind,
        since: Version,
        wait: Duration,
    ) -> Option<Call> {
        let due = match self.state {
            State::Idle { at } => at,
            State::Waiting { until } => Some(until),
        };
        if due.is_none_or(|at| at > now) {
            return None;
        }
        let list = self.relist || (since == Version(0) && !self.listed);
        let (call, held) = if list {
            (Call::List { kind }, Duration::ZERO)
        } else {
            (Call::Watch { kind, since, wait }, wait)
        };
        self.started = now;
        self.state = State::Waiting {
            until: now + held + CALL_LIMIT,
        };
        Some(call)
    }

    fn confirm(&mut self, now: Instant, call: Call, unchanged: bool) {
        let held = match call {
            // An API that held the call to its end would have told of a change until then.
            Call::Watch { wait, .. } if unchanged => wait,
            _ => Duration::ZERO,
        };
        let at = now.min(self.started + held);
        self.confirmed = self.confirmed.max(Some(at));
    }
}

fn first_pause(mode: Mode, rng: &mut ChaCha8Rng) -> Duration {
    match mode {
        Mode::Watch => uniform(rng, WATCH_GAP),
        Mode::Eager => uniform(rng, MIN_PAUSE),
        Mode::Fresh { members } => uniform(rng, fresh(members)),
        Mode::Poll { members } => uniform(rng, poll(members)),
        Mode::Lonely => uniform(rng, LONELY_POLL),
    }
}

fn next_pause(now: Instant, started: Instant, mode: Mode, rng: &mut ChaCha8Rng) -> Duration {
    match mode {
        Mode::Watch => WATCH_GAP.saturating_sub(now.since(started)),
        Mode::Eager => MIN_PAUSE,
        Mode::Fresh { members } => fresh(members).mul_f64(rng.random_range(0.5..1.5)),
        Mode::Poll { members } => poll(members).mul_f64(rng.random_range(0.5..1.5)),
        Mode::Lonely => LONELY_POLL.mul_f64(rng.random_range(0.5..1.5)),
    }
}

/// The time over which so many fresh processes turn to the API at the set rate.
pub(super) fn fresh(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    MIN_FRESH.max(Duration::from_secs_f64(f64::from(members) / FRESH_RATE))
}

/// The interval at which so many members together poll at the set rate.
fn poll(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    let calls = f64::from(members) * f64::from(u8::try_from(KINDS).unwrap_or(u8::MAX));
    MIN_POLL.max(Duration::from_secs_f64(calls / POLL_RATE))
}

fn backoff(failures: u32, rng: &mut ChaCha8Rng) -> Duration {
    let doubled = MIN_PAUSE.saturating_mul(1 << failures.saturating_sub(1).min(10));
    doubled.min(MAX_PAUSE).mul_f64(rng.random_range(0.5..1.0))
}

/// A time drawn evenly from zero to `most`.
pub(super) fn uniform(rng: &mut ChaCha8Rng, most: Duration) -> Duration {
    most.mul_f64(rng.random_range(0.0..1.0))
}
