// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The contract of admission, case by case: load cap, queue, limits, duplicates, lost touch.

mod common;
mod steps;

use std::time::Duration;

use peppercrank_admit::Arrival;
use peppercrank_admit::Input;
use peppercrank_admit::Oversize;
use peppercrank_admit::Settings;
use peppercrank_admit::Ticket;
use peppercrank_core::blackboard::Mean;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::objects::Parameters;
use peppercrank_core::objects::Policy;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::units::Cost;

use common::admission_with;
use common::at;
use common::organisation;
use common::parameters;
use common::policy;
use steps::Did::Admit;
use steps::Did::Refuse;
use steps::admission;
use steps::arrival;
use steps::arrive;
use steps::did;
use steps::patient;
use steps::run;

fn mean(load: u64, targets: u32, millis: u64) -> Input {
    Input::MeanHeard(Mean {
        load: Cost(load),
        weight: 100 * u64::from(targets),
        targets,
        at: at(millis),
    })
}

fn end(number: u64) -> Input {
    Input::End(Ticket(number))
}

#[test]
fn verify_cap() {
    // The multiple is 1.25, the floor 100; a mean counts in full for 5 s and not at all from 30 s.
    let cases = [
        ("no mean", None, 0, 100),
        ("mean of zero", Some((0, 4, 0)), 0, 100),
        ("mean below the floor", Some((160, 4, 0)), 0, 100),
        ("mean above the floor", Some((1_600, 4, 0)), 0, 500),
        ("a pool of one", Some((400, 1, 0)), 0, 500),
        ("no weight in the mean", Some((400, 0, 0)), 0, 100),
        ("still fresh", Some((1_600, 4, 0)), 5_000, 500),
        ("fading", Some((1_600, 4, 0)), 17_500, 250),
        ("stale", Some((1_600, 4, 0)), 30_000, 100),
        (
            "from the time to come",
            Some((1_600, 4, 90_000)),
            30_000,
            100,
        ),
    ];
    for (case, heard, now, cap) in cases {
        let mut admission = admission();
        if let Some((load, targets, millis)) = heard {
            admission.on(at(0), mean(load, targets, millis));
        }
        admission.on(at(now), Input::Tick);
        assert_eq!(admission.status().cap, Cost(cap), "{case}");
    }
}

#[test]
fn verify_over_cap() {
    let mut admission = admission();
    let steps = vec![
        (0, arrive(1, 60)),
        (0, arrive(2, 40)),
        (0, arrive(3, 1)),
        (1, end(1)),
        (1, arrive(4, 60)),
        // What ends twice is released once.
        (2, end(1)),
        (2, arrive(5, 1)),
    ];
    let over = |number| vec![Refuse(number, NotRun::OverCap)];
    let done = run(&mut admission, steps);
    let expected = [
        vec![Admit(1)],
        vec![Admit(2)],
        over(3),
        vec![],
        vec![Admit(4)],
        vec![],
        over(5),
    ];
    assert_eq!(done, expected);
    assert_eq!(admission.load(), Cost(100));
}

#[test]
fn verify_queue() {
    let mut admission = admission();
    let steps = vec![
        (0, arrive(1, 100)),
        (0, patient(2, 80)),
        (1, patient(3, 10)),
        // None that may not wait overtakes those that do.
        (2, arrive(4, 1)),
        (3, Input::CallerGone(Ticket(3))),
        (4, end(1)),
        (5, patient(5, 30)),
        (2_004, Input::Tick),
        (2_005, Input::Tick),
    ];
    let expected = [
        vec![Admit(1)],
        vec![],
        vec![],
        vec![Refuse(4, NotRun::OverCap)],
        vec![Refuse(3, NotRun::CallerGone)],
        vec![Admit(2)],
        vec![],
        vec![],
        vec![Refuse(5, NotRun::QueueTimeout)],
    ];
    assert_eq!(run(&mut admission, steps), expected);
    assert_eq!(admission.next_wake(), None);
}

#[test]
fn verify_refusal_before_waiting() {
    let late = |deadline, need| {
        Input::Arrive(Arrival {
            deadline: at(deadline),
            need: Duration::from_millis(need),
            may_wait: true,
            ..arrival(2, 10)
        })
    };
    let twice = |number, attempt| {
        Input::Arrive(Arrival {
            ticket: Ticket(number),
            attempt: AttemptId(attempt),
            ..arrival(0, 10)
        })
    };
    let unknown = Input::Arrive(Arrival {
        organisation: organisation("taara"),
        ..arrival(2, 10)
    });
    let cases = [
        ("deadline passed", late(5, 0), NotRun::Deadline),
        ("deadline now", late(10, 0), NotRun::Deadline),
        (
            "too short for what it needs",
            late(100, 90),
            NotRun::Deadline,
        ),
        ("no parameters", unknown, NotRun::NotReady),
        (
            "above the limit by itself",
            patient(2, 1_001),
            NotRun::OrganisationLimit,
        ),
        ("delivered twice", twice(2, 1), NotRun::DuplicateAttempt),
        ("one ticket twice", twice(1, 2), NotRun::DuplicateAttempt),
    ];
    for (case, input, reason) in cases {
        let mut admission = admission();
        admission.on(at(0), arrive(1, 10));
        let done = admission.on(at(10), input);
        let [Refuse(_, refused)] = did(&done)[..] else {
            panic!("{case}: {done:?}");
        };
        assert_eq!(refused, reason, "{case}");
        assert_eq!(admission.load(), Cost(10), "{case}");
    }
}

#[test]
fn verify_deadline_in_queue() {
    let mut admission = admission();
    admission.on(at(0), arrive(1, 100));
    let dated = Input::Arrive(Arrival {
        deadline: at(700),
        need: Duration::from_millis(200),
        may_wait: true,
        ..arrival(2, 10)
    });
    assert_eq!(did(&admission.on(at(0), dated)), []);
    // It is given up when it could no longer end in time, not when its deadline comes.
    assert_eq!(admission.next_wake(), Some(at(500)));
    let done = did(&admission.on(at(500), Input::Tick));
    assert_eq!(done, [Refuse(2, NotRun::Deadline)]);
}

#[test]
fn verify_duplicate_window() {
    // An attempt with a minute left is remembered for two minutes, refused or not.
    let copy = |number| {
        Input::Arrive(Arrival {
            ticket: Ticket(number),
            deadline: at(200_000),
            ..arrival(1, 100)
        })
    };
    let mut admission = admission();
    admission.on(at(0), arrive(1, 100));
    admission.on(at(1), end(1));
    admission.on(at(2), Input::Touched);
    let twice = [Refuse(2, NotRun::DuplicateAttempt)];
    assert_eq!(did(&admission.on(at(119_999), copy(2))), twice);
    admission.on(at(120_000), Input::Touched);
    assert_eq!(did(&admission.on(at(120_000), copy(3))), [Admit(3)]);
    // One that still runs is remembered for as long as it does.
    admission.on(at(900_000), Input::Touched);
    let twice = [Refuse(4, NotRun::DuplicateAttempt)];
    assert_eq!(did(&admission.on(at(900_000), copy(4))), twice);
}

#[test]
fn verify_oversize() {
    let refuse = Settings {
        oversize: Oversize::Refuse,
        ..Settings::default()
    };
    let over = |number| vec![Refuse(number, NotRun::OverCap)];
    let cases = [
        (
            Settings::default(),
            vec![vec![Admit(1)], over(2), vec![], vec![Admit(3)], over(4)],
        ),
        (
            refuse,
            vec![over(1), vec![Admit(2)], vec![], over(3), over(4)],
        ),
    ];
    for (settings, expected) in cases {
        let mut admission = admission_with(settings, policy());
        let steps = vec![
            (0, arrive(1, 101)),
            (0, arrive(2, 1)),
            (0, end(1)),
            (0, arrive(3, 500)),
            (0, arrive(4, 101)),
        ];
        assert_eq!(run(&mut admission, steps), expected, "{settings:?}");
    }
}

#[test]
fn verify_weight_of_zero() {
    let mut admission = admission();
    admission.on(at(0), arrive(1, 100));
    admission.on(at(0), patient(2, 10));
    let done = did(&admission.on(at(1), Input::WeightChanged(0)));
    assert_eq!(done, [Refuse(2, NotRun::OverCap)]);
    admission.on(at(2), end(1));
    let done = did(&admission.on(at(3), patient(3, 10)));
    assert_eq!(done, [Refuse(3, NotRun::OverCap)]);
}

#[test]
fn verify_organisation_limit() {
    // The part of one of four targets is twice its even part: 500 of 1,000.
    let mut admission = admission();
    admission.on(at(0), Input::TargetsHeard(4));
    admission.on(at(0), mean(40_000, 4, 0));
    let steps = vec![
        (0, arrive(1, 400)),
        (0, arrive(2, 101)),
        (0, arrive(3, 100)),
        (
            1,
            Input::Actual {
                ticket: Ticket(1),
                cost: Cost(50),
            },
        ),
        (1, arrive(4, 350)),
        (2, arrive(5, 1)),
        (3, Input::TargetsHeard(2)),
        (3, arrive(6, 1)),
    ];
    let limit = |number| vec![Refuse(number, NotRun::OrganisationLimit)];
    let done = run(&mut admission, steps);
    let expected = [
        vec![Admit(1)],
        limit(2),
        vec![Admit(3)],
        vec![],
        vec![Admit(4)],
        limit(5),
        vec![],
        vec![Admit(6)],
    ];
    assert_eq!(done, expected);
}

#[test]
fn verify_one_request_of_a_small_part() {
    // At 1,300 targets the part is one unit, so one request runs and a second does not.
    let mut admission = admission();
    admission.on(at(0), Input::TargetsHeard(1_300));
    let steps = vec![(0, arrive(1, 40)), (0, arrive(2, 40))];
    let done = run(&mut admission, steps);
    let expected = [vec![Admit(1)], vec![Refuse(2, NotRun::OrganisationLimit)]];
    assert_eq!(done, expected);
}

#[test]
fn verify_parameters_gone() {
    let mut admission = admission();
    admission.on(at(0), arrive(1, 100));
    admission.on(at(0), patient(2, 10));
    let name = organisation(common::NAMES[0]);
    let gone = Input::ParametersChanged(name.clone(), None);
    let done = did(&admission.on(at(1), gone));
    assert_eq!(done, [Refuse(2, NotRun::NotReady)]);
    admission.on(at(2), end(1));
    assert_eq!(admission.load(), Cost::ZERO);
    let back = Input::ParametersChanged(name, Some(parameters()));
    admission.on(at(3), back);
    assert_eq!(did(&admission.on(at(4), arrive(3, 100))), [Admit(3)]);
}

#[test]
fn verify_out_of_touch() {
    let mut admission = admission();
    admission.on(at(29_000), arrive(1, 100));
    admission.on(at(29_000), patient(2, 10));
    assert_eq!(admission.next_wake(), Some(at(30_000)));
    let done = did(&admission.on(at(30_000), Input::Tick));
    assert_eq!(done, [Refuse(2, NotRun::OutOfTouch)]);
    let done = did(&admission.on(at(30_001), arrive(3, 10)));
    assert_eq!(done, [Refuse(3, NotRun::OutOfTouch)]);
    admission.on(at(30_002), Input::Touched);
    admission.on(at(30_003), end(1));
    assert_eq!(did(&admission.on(at(30_004), arrive(4, 100))), [Admit(4)]);
}

#[test]
fn verify_clock_backwards() {
    let mut admission = admission();
    admission.on(at(10_000), mean(1_600, 4, 10_000));
    admission.on(at(10_000), arrive(1, 500));
    admission.on(at(10_000), patient(2, 10));
    // The past counts as the latest moment: nothing expires early and nothing lives longer.
    assert_eq!(did(&admission.on(at(1), Input::Tick)), []);
    admission.on(at(1), mean(160_000, 4, 1));
    assert_eq!(admission.status().cap, Cost(500));
    assert_eq!(did(&admission.on(at(11_999), Input::Tick)), []);
    let done = did(&admission.on(at(12_000), Input::Tick));
    assert_eq!(done, [Refuse(2, NotRun::QueueTimeout)]);
}

#[test]
fn verify_queue_of_none_and_policy_change() {
    let short = Policy {
        queue: 0,
        ..policy()
    };
    let mut admission = admission();
    let steps = vec![
        (0, arrive(1, 100)),
        (0, patient(2, 10)),
        (1, Input::PolicyChanged(short)),
        (2, patient(3, 10)),
    ];
    let full = |number| vec![Refuse(number, NotRun::QueueFull)];
    let expected = [vec![Admit(1)], vec![], full(2), full(3)];
    assert_eq!(run(&mut admission, steps), expected);
}

#[test]
fn verify_full_queue_gives_up_the_longest_backlog() {
    let of = |number, name: &str| {
        Input::Arrive(Arrival {
            organisation: organisation(name),
            may_wait: true,
            ..arrival(number, 10)
        })
    };
    let mut admission = admission();
    admission.on(at(0), arrive(1, 100));
    for number in 2..=9 {
        admission.on(at(0), of(number, "kalev"));
    }
    // The ninth that waits pushes out the last of the organisation that has eight.
    let done = did(&admission.on(at(1), of(10, "linda")));
    assert_eq!(done, [Refuse(9, NotRun::QueueFull)]);
    let done = did(&admission.on(at(1), of(11, "kalev")));
    assert_eq!(done, [Refuse(11, NotRun::QueueFull)]);
}

#[test]
fn verify_settings_out_of_range() {
    let cases = [
        Settings {
            reserve: 1_001,
            ..Settings::default()
        },
        Settings {
            spread: 0,
            ..Settings::default()
        },
        Settings {
            spread: 11,
            ..Settings::default()
        },
        Settings {
            stale: Duration::from_secs(4),
            ..Settings::default()
        },
    ];
    for settings in cases {
        assert!(settings.check().is_err(), "{settings:?}");
    }
    Settings::default()
        .check()
        .expect("the defaults are in range");
}

#[test]
fn verify_limit_of_parameters_in_force_at_once() {
    let mut admission = admission();
    admission.on(at(0), arrive(1, 10));
    let less = Parameters {
        limit: Cost(15),
        ..parameters()
    };
    let input = Input::ParametersChanged(organisation(common::NAMES[0]), Some(less));
    admission.on(at(1), input);
    let done = did(&admission.on(at(2), arrive(2, 10)));
    assert_eq!(done, [Refuse(2, NotRun::OrganisationLimit)]);
}
