// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What holds for a request whatever happens to it, over scripts of one fixed seed.

use std::collections::HashSet;
use std::time::Duration;

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::keys::RequestId;
use peppercrank_core::refusal::AttemptOutcome;
use peppercrank_core::refusal::MayHaveRun;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::time::Instant;
use peppercrank_route::Event;
use peppercrank_route::Next;
use peppercrank_route::Request;
use peppercrank_route::Retries;
use peppercrank_route::Terms;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use slotmap::KeyData;

/// The deadline of every request here, in milliseconds.
const DEADLINE: u64 = 300;

fn target(n: u64) -> TargetKey {
    TargetKey::from(KeyData::from_ffi(1 << 32 | n))
}

/// What an observer outside knows of a request.
#[derive(Debug, Default)]
struct Seen {
    attempts: Vec<AttemptId>,
    flying: Option<AttemptId>,
    /// Attempts that some engine may have run.
    ran: HashSet<AttemptId>,
    delivering: bool,
    over: bool,
}

impl Seen {
    /// Notes what an event makes true outside, and whether the request has to mind it.
    fn event(&mut self, event: &Event) {
        match event {
            Event::MayHaveRun { attempt, .. }
            | Event::FirstByte { attempt }
            | Event::Done { attempt } => {
                self.ran.insert(*attempt);
            }
            Event::NotRun {
                attempt, reason, ..
            } if *reason == NotRun::DuplicateAttempt && Some(*attempt) == self.flying => {
                self.ran.insert(*attempt);
            }
            _ => {}
        }
        let ends = match event {
            Event::NotRun { attempt, .. }
            | Event::MayHaveRun { attempt, .. }
            | Event::Done { attempt } => Some(*attempt),
            _ => None,
        };
        if ends.is_some() && ends == self.flying {
            self.flying = None;
        }
    }

    /// Checks and notes what the request does next.
    fn next(&mut self, next: Next, now: Instant, terms: &Terms) {
        assert!(!self.over || next == Next::Ignore, "nothing follows an end");
        match next {
            Next::Send { attempt, .. } => {
                assert_eq!(self.flying, None, "two in flight");
                assert!(!self.delivering, "sent again after a byte was delivered");
                assert!(!self.attempts.contains(&attempt), "an id used twice");
                assert!(terms.repeatable || self.ran.is_empty(), "may run twice");
                assert!(now < terms.deadline, "sent past the deadline");
                self.attempts.push(attempt);
                self.flying = Some(attempt);
                let tries = u32::try_from(self.attempts.len()).unwrap();
                assert!(tries <= terms.tries.max(1), "too many tries");
            }
            Next::Deliver => self.delivering = true,
            Next::Wait { until } => assert!(until <= terms.deadline, "waits past the deadline"),
            Next::Finish { .. } => self.over = true,
            Next::Refuse {
                outcome, cancel, ..
            } => {
                let untold = self.flying.is_some() || !self.ran.is_empty();
                let says = matches!(outcome, AttemptOutcome::MayHaveRun(_));
                assert_eq!(
                    says, untold,
                    "the refusal does not tell the truth: {outcome:?}"
                );
                assert_eq!(cancel, self.flying, "what is in flight must be cancelled");
                self.over = true;
            }
            Next::Ignore => {}
        }
    }
}

/// Makes an event of three random bytes; some are of attempts that are over.
fn event(bytes: [u8; 3], attempts: &[AttemptId]) -> Event {
    let [kind, which, reason] = bytes.map(usize::from);
    let latest = attempts.len().saturating_sub(1);
    // Three in four events are of the latest attempt.
    let index = if which % 4 == 0 {
        which / 4 % (latest + 1)
    } else {
        latest
    };
    let attempt = attempts.get(index).copied().unwrap_or(AttemptId(0));
    match kind % 10 {
        0..=3 => Event::NotRun {
            attempt,
            reason: NotRun::ALL[reason % NotRun::ALL.len()],
            hint: (which % 3 == 0).then(|| target(u64::from(bytes[1]) % 9 + 1)),
        },
        4 | 5 => Event::MayHaveRun {
            attempt,
            reason: MayHaveRun::ALL[reason % MayHaveRun::ALL.len()],
        },
        6 => Event::FirstByte { attempt },
        7 if which % 2 == 0 => Event::Done { attempt },
        8 if which % 8 == 0 => Event::CallerGone,
        _ => Event::Tick,
    }
}

/// Plays a script and checks every step.
fn holds(script: Vec<(u8, u8, u8)>, tries: u8, repeatable: bool) -> bool {
    let terms = Terms {
        id: RequestId(u128::from(tries)),
        repeatable,
        deadline: Instant::from_millis(DEADLINE),
        tries: u32::from(tries % 7),
    };
    let mut retries = Retries::new(0.3, u64::from(tries));
    let mut request = Request::new(terms);
    let mut seen = Seen::default();
    let mut now = Instant::ZERO;
    let ranked = (1..=u64::from(tries % 6)).map(target).collect();
    seen.next(
        request.on(now, Event::Ranked(ranked), &mut retries),
        now,
        &terms,
    );
    for (a, b, c) in script {
        // The clock goes on, and now and then back.
        now = if b % 32 == 31 {
            Instant::ZERO
        } else {
            now + Duration::from_millis(u64::from(c % 16))
        };
        let event = event([a, b, c], &seen.attempts);
        seen.event(&event);
        let next = request.on(now, event, &mut retries);
        seen.next(next, now, &terms);
    }
    // Once the deadline has come, whatever is left ends at once.
    let next = request.on(terms.deadline, Event::Tick, &mut retries);
    seen.next(next, terms.deadline, &terms);
    seen.over && request.is_over()
}

#[test]
fn verify_a_request_keeps_its_rules_whatever_happens() {
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 20_261_202))
        .tests(20_000)
        .max_tests(20_000)
        .min_tests_passed(20_000);
    check.quickcheck(holds as fn(Vec<(u8, u8, u8)>, u8, bool) -> bool);
}
