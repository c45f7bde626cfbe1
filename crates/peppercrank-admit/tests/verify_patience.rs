// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A request that may go elsewhere waits for room no longer than the target's patience.

mod common;

use std::time::Duration;

use common::admission_with;
use common::at;
use common::organisation;
use common::policy;
use peppercrank_admit::Action;
use peppercrank_admit::Admission;
use peppercrank_admit::Arrival;
use peppercrank_admit::Input;
use peppercrank_admit::Settings;
use peppercrank_admit::Ticket;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::objects::PoolPolicy;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;

/// A full target with this patience; its one running request has ticket 0.
fn full(patience: u64, policy: PoolPolicy) -> Admission {
    let settings = Settings {
        patience: Duration::from_millis(patience),
        ..Settings::default()
    };
    let mut admission = admission_with(settings, policy);
    let done = admission.on(Instant::ZERO, arrival(0, true, 60_000));
    assert!(matches!(done[..], [Action::Admit { .. }]), "{done:?}");
    admission
}

fn arrival(number: u64, may_wait: bool, deadline: u64) -> Input {
    Input::Arrive(Arrival {
        ticket: Ticket(number),
        attempt: AttemptId(number.into()),
        organisation: organisation("kalev"),
        cost: Cost(100),
        priority: 5,
        deadline: at(deadline),
        need: Duration::ZERO,
        may_wait,
    })
}

/// When and why the request of ticket 1 is refused, if the target is woken as it asks to be.
fn refused(admission: &mut Admission, request: Input) -> Option<(Instant, NotRun)> {
    let mut now = Instant::ZERO;
    let mut actions = admission.on(now, request);
    for _ in 0..100 {
        for action in &actions {
            if let Action::Refuse { reason, .. } = action {
                return Some((now, *reason));
            }
        }
        now = admission.next_wake()?;
        actions = admission.on(now, Input::Tick);
    }
    None
}

#[test]
fn verify_when_patience_ends() {
    // Patience, longest wait, whether it may wait, deadline; when and why it is refused.
    let cases = [
        (0, 2_000, false, 60_000, 0, NotRun::OverCap),
        (500, 2_000, false, 60_000, 500, NotRun::OverCap),
        (5_000, 2_000, false, 60_000, 2_000, NotRun::OverCap),
        (500, 2_000, false, 300, 300, NotRun::Deadline),
        (500, 2_000, true, 60_000, 2_000, NotRun::QueueTimeout),
        (0, 2_000, true, 60_000, 2_000, NotRun::QueueTimeout),
        (500, 0, false, 60_000, 0, NotRun::OverCap),
    ];
    for case in cases {
        let (patience, wait_ms, may_wait, deadline, when, why) = case;
        let policy = PoolPolicy {
            wait_ms,
            ..policy()
        };
        let mut admission = full(patience, policy);
        let found = refused(&mut admission, arrival(1, may_wait, deadline));
        assert_eq!(found, Some((at(when), why)), "{case:?}");
    }
}

#[test]
fn verify_room_in_time_is_taken() {
    let mut admission = full(500, policy());
    assert_eq!(admission.on(at(0), arrival(1, false, 60_000)), []);
    let done = admission.on(at(499), Input::End(Ticket(0)));
    assert!(
        matches!(
            done[..],
            [Action::Admit {
                ticket: Ticket(1),
                ..
            }]
        ),
        "{done:?}"
    );
}

#[test]
fn verify_what_is_given_up_is_refused_at_once() {
    let mut admission = full(500, policy());
    assert_eq!(admission.on(at(0), arrival(1, false, 60_000)), []);
    let done = admission.on(at(10), Input::Stopping);
    let leaving = |action: &Action| {
        matches!(
            action,
            Action::Refuse {
                ticket: Ticket(1),
                reason: NotRun::Leaving,
                ..
            }
        )
    };
    assert!(done.iter().any(leaving), "{done:?}");
    let mut short = full(
        500,
        PoolPolicy {
            queue: 0,
            ..policy()
        },
    );
    let found = refused(&mut short, arrival(1, false, 60_000));
    assert_eq!(found, Some((at(0), NotRun::QueueFull)));
}
