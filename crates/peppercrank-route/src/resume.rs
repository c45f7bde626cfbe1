// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One streamed answer on its way from an engine, through cuts.
//!
//! A stream that breaks is resumed from the first event that was not passed on. Where that fails
//! it ends with an error: a truncated answer never looks whole.

use std::time::Duration;

use peppercrank_core::keys::AttemptId;
use peppercrank_core::refusal::MayHaveRun;
use peppercrank_core::time::Instant;

/// Resumes in a row that may bring no event.
pub const RESUMES: u32 = 3;

/// The pause before the second resume in a row; each later one is twice as long.
pub const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// `Input` is what happened to a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Input {
    /// An event came that names `attempt`.
    Event {
        /// The attempt that the event is of.
        attempt: AttemptId,
    },
    /// The end mark came.
    End,
    /// The connection ended or failed before the end mark, or could not be made.
    Cut,
    /// The engine does not know the stream any more, or cannot resume.
    Gone,
    /// The caller went away.
    CallerGone,
    /// The moment that [`Step::Wait`] named has come, or any other.
    Tick,
}

/// `Step` is what to do next with a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Pass the event on.
    Pass,
    /// Pass the end mark on: the answer is whole.
    Finish,
    /// Ask the engine for the stream from event `from`, counted from 0.
    Resume {
        /// The first event that was not passed on.
        from: u64,
    },
    /// Do nothing until `until`, then send a tick.
    Wait {
        /// The moment.
        until: Instant,
    },
    /// End the answer with this error, and cancel the stream at the engine.
    Fail(MayHaveRun),
    /// Cancel the stream at the engine: nobody reads it any more.
    Cancel,
    /// Do nothing: the stream is over.
    Ignore,
}

/// `Phase` is how far a stream is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// A connection is open, or being opened.
    Open,
    /// It was cut and waits to be resumed.
    Pausing(Instant),
    /// It has ended.
    Over,
}

/// `Stream` is the state of one streamed answer.
#[derive(Debug, Clone, Copy)]
pub struct Stream {
    attempt: AttemptId,
    deadline: Instant,
    phase: Phase,
    /// Events passed on.
    passed: u64,
    /// Resumes since the last event.
    resumes: u32,
}

impl Stream {
    /// `new` begins the stream of `attempt`, which has to end before `deadline`.
    #[must_use]
    pub fn new(attempt: AttemptId, deadline: Instant) -> Self {
        Self {
            attempt,
            deadline,
            phase: Phase::Open,
            passed: 0,
            resumes: 0,
        }
    }

    /// `passed` is the number of events passed on.
    #[must_use]
    pub fn passed(&self) -> u64 {
        self.passed
    }

    /// `on` takes in one input and says what to do next.
    pub fn on(&mut self, now: Instant, input: Input) -> Step {
        if self.phase == Phase::Over {
            return Step::Ignore;
        }
        match input {
            Input::CallerGone => self.end(Step::Cancel),
            _ if now >= self.deadline => self.end(Step::Fail(MayHaveRun::Timeout)),
            // No connection is open: what still comes is of the one that was cut.
            Input::Event { .. } | Input::End | Input::Cut if self.phase != Phase::Open => {
                self.on_tick(now)
            }
            Input::Event { attempt } => self.on_event(attempt),
            Input::End => self.end(Step::Finish),
            Input::Cut => self.on_cut(now),
            Input::Gone => self.end(Step::Fail(MayHaveRun::Cut)),
            Input::Tick => self.on_tick(now),
        }
    }

    fn on_event(&mut self, attempt: AttemptId) -> Step {
        if attempt != self.attempt {
            return self.end(Step::Fail(MayHaveRun::WrongAnswer));
        }
        self.passed += 1;
        self.resumes = 0;
        Step::Pass
    }

    fn on_cut(&mut self, now: Instant) -> Step {
        if self.resumes >= RESUMES {
            return self.end(Step::Fail(MayHaveRun::Cut));
        }
        self.resumes += 1;
        if self.resumes == 1 {
            return self.resume();
        }
        let until = now + RESUME_PAUSE.saturating_mul(1 << (self.resumes - 2));
        // A pause that outlasts the deadline would only hold the error back.
        if until >= self.deadline {
            return self.end(Step::Fail(MayHaveRun::Cut));
        }
        self.phase = Phase::Pausing(until);
        Step::Wait { until }
    }

    fn on_tick(&mut self, now: Instant) -> Step {
        match self.phase {
            Phase::Pausing(until) if until <= now => self.resume(),
            Phase::Pausing(until) => Step::Wait { until },
            Phase::Open | Phase::Over => Step::Wait {
                until: self.deadline,
            },
        }
    }

    fn resume(&mut self) -> Step {
        self.phase = Phase::Open;
        Step::Resume { from: self.passed }
    }

    fn end(&mut self, step: Step) -> Step {
        self.phase = Phase::Over;
        step
    }
}
