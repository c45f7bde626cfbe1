// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How a target leaves, in tables of inputs by moment and what they bring about.

mod common;
mod steps;

use peppercrank_admit::Input;
use peppercrank_admit::Ticket;
use peppercrank_core::names::TargetName;
use peppercrank_core::objects::Action;
use peppercrank_core::objects::Mark;
use peppercrank_core::refusal::NotRun;

use common::at;
use steps::Did;
use steps::Did::Admit;
use steps::Did::Cancel;
use steps::Did::Drained;
use steps::Did::Refuse;
use steps::admission;
use steps::arrive;
use steps::patient;
use steps::run;

fn mark(action: Action, grace_ms: u64) -> Input {
    let target = TargetName::new("engine-1").expect("the name is well formed");
    Input::Marked(Mark {
        target,
        action,
        grace_ms,
    })
}

fn end(number: u64) -> Input {
    Input::End(Ticket(number))
}

/// Puts the steps in after two requests that run and one that waits.
fn verify(case: &str, steps: Vec<(u64, Input, Vec<Did>)>) {
    let mut admission = admission();
    admission.on(at(0), arrive(1, 50));
    admission.on(at(0), arrive(2, 50));
    admission.on(at(0), patient(3, 10));
    for (millis, input, expected) in steps {
        let told = format!("{case}: {millis} {input:?}");
        let done = run(&mut admission, vec![(millis, input)]);
        assert_eq!(done, [expected], "{told}");
    }
}

#[test]
fn verify_shutdown_cuts_nothing_off() {
    let leaving = |number| vec![Refuse(number, NotRun::Leaving)];
    let steps = vec![
        (10, mark(Action::Shutdown, 5), leaving(3)),
        (11, arrive(4, 1), leaving(4)),
        (12, patient(5, 1), leaving(5)),
        (12, Input::HandedOver, vec![]),
        // However long it takes, what runs goes on to its end.
        (20_000, end(1), vec![]),
        (20_001, Input::Touched, vec![]),
        (29_000, Input::Tick, vec![]),
        (29_001, end(2), vec![Drained]),
        (29_002, Input::Tick, vec![]),
    ];
    verify("shutdown", steps);
}

#[test]
fn verify_drained_waits_for_pointers() {
    let steps = vec![
        // What was handed over before the mark is no longer all there is.
        (5, Input::HandedOver, vec![]),
        (
            10,
            mark(Action::Shutdown, 0),
            vec![Refuse(3, NotRun::Leaving)],
        ),
        (11, end(1), vec![]),
        (12, end(2), vec![]),
        (13, Input::HandedOver, vec![Drained]),
        (14, Input::HandedOver, vec![]),
    ];
    verify("pointers", steps);
}

#[test]
fn verify_removal_cancels_after_its_grace() {
    let steps = vec![
        (
            10,
            mark(Action::Remove, 500),
            vec![Refuse(3, NotRun::Leaving)],
        ),
        // The same mark heard again does not start the grace anew.
        (400, mark(Action::Remove, 500), vec![]),
        (509, Input::Tick, vec![]),
        (510, Input::Tick, vec![Cancel(1), Cancel(2)]),
        (511, Input::Tick, vec![]),
        (511, Input::HandedOver, vec![]),
        // What was cancelled is released by its guards only.
        (512, end(2), vec![]),
        (513, end(1), vec![Drained]),
    ];
    verify("removal", steps);
}

#[test]
fn verify_changed_marks() {
    let leaving = || vec![Refuse(3, NotRun::Leaving)];
    let cases = [
        (
            "a removal becomes a shutdown",
            vec![
                (10, mark(Action::Remove, 500), leaving()),
                (400, mark(Action::Shutdown, 0), vec![]),
                (9_000, Input::Tick, vec![]),
            ],
        ),
        (
            "a shutdown becomes a removal",
            vec![
                (10, mark(Action::Shutdown, 0), leaving()),
                (400, mark(Action::Remove, 500), vec![]),
                (899, Input::Tick, vec![]),
                (900, Input::Tick, vec![Cancel(1), Cancel(2)]),
            ],
        ),
        (
            "a removal without grace",
            vec![(
                10,
                mark(Action::Remove, 0),
                vec![Refuse(3, NotRun::Leaving), Cancel(1), Cancel(2)],
            )],
        ),
        (
            "a mark taken back",
            vec![
                (10, mark(Action::Remove, 500), leaving()),
                (11, Input::HandedOver, vec![]),
                (12, Input::Unmarked, vec![]),
                (600, end(1), vec![]),
                (601, arrive(4, 50), vec![Admit(4)]),
                // Pointers must be handed over anew the next time.
                (602, mark(Action::Shutdown, 0), vec![]),
                (603, end(2), vec![]),
                (604, end(4), vec![]),
                (605, Input::HandedOver, vec![Drained]),
            ],
        ),
        (
            "the agent itself stops",
            vec![
                (10, Input::Stopping, leaving()),
                (11, Input::Unmarked, vec![]),
                (12, arrive(4, 1), vec![Refuse(4, NotRun::Leaving)]),
                (13, end(1), vec![]),
                (14, end(2), vec![]),
                (15, Input::HandedOver, vec![Drained]),
            ],
        ),
    ];
    for (case, steps) in cases {
        verify(case, steps);
    }
}

#[test]
fn verify_wake_at_the_end_of_the_grace() {
    let mut admission = admission();
    admission.on(at(0), arrive(1, 50));
    admission.on(at(10), mark(Action::Remove, 500));
    assert_eq!(admission.next_wake(), Some(at(510)));
    admission.on(at(510), Input::Tick);
    assert_eq!(admission.next_wake(), None);
}
