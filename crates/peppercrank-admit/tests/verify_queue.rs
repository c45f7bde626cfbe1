// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The order in which waiting requests run: classes, weights, and none waits for ever.

mod common;
mod steps;

use peppercrank_admit::Admission;
use peppercrank_admit::Arrival;
use peppercrank_admit::Input;
use peppercrank_admit::Settings;
use peppercrank_admit::Ticket;
use peppercrank_admit::queue::LONGEST_TURN;
use peppercrank_core::blackboard::Mean;
use peppercrank_core::objects::Parameters;
use peppercrank_core::objects::Policy;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::units::Cost;

use common::admission_with;
use common::at;
use common::organisation;
use common::parameters;
use common::policy;
use steps::Did;
use steps::Did::Admit;
use steps::Did::Refuse;
use steps::admission;
use steps::arrival;
use steps::arrive;
use steps::did;
use steps::patient;
use steps::run;

/// A target that runs one request of 100 at a time and lets many wait.
fn narrow() -> Admission {
    let policy = Policy {
        queue: 1_000,
        wait_ms: 50_000,
        ..policy()
    };
    let mut admission = admission_with(Settings::default(), policy);
    for (name, weight) in [("kalev", 30), ("linda", 10)] {
        set(&mut admission, name, weight, 1_000_000);
    }
    admission
}

fn set(admission: &mut Admission, name: &str, weight: u32, limit: u64) -> Vec<Did> {
    let changed = Parameters {
        weight,
        limit: Cost(limit),
        ..parameters()
    };
    let input = Input::ParametersChanged(organisation(name), Some(changed));
    did(&admission.on(at(0), input))
}

fn of(number: u64, name: &str, priority: u8) -> Input {
    Input::Arrive(Arrival {
        organisation: organisation(name),
        priority,
        may_wait: true,
        ..arrival(number, 100)
    })
}

/// Ends what runs, over and over, and lists what runs next each time.
fn serve(admission: &mut Admission, first: u64, times: usize) -> Vec<u64> {
    let mut running = first;
    let mut order = Vec::new();
    for _ in 0..times {
        let done = did(&admission.on(at(1), Input::End(Ticket(running))));
        let [Admit(next)] = done[..] else {
            panic!("one at a time: {done:?}");
        };
        running = next;
        order.push(next);
    }
    order
}

#[test]
fn verify_weights() {
    let mut admission = narrow();
    admission.on(at(0), arrive(1, 100));
    for number in 0..100 {
        admission.on(at(0), of(1_000 + number, "kalev", 5));
        admission.on(at(0), of(2_000 + number, "linda", 5));
    }
    let order = serve(&mut admission, 1, 80);
    let heavy = order.iter().filter(|number| **number < 2_000).count();
    // Three in four, but for the turns of those that wait longest.
    assert!((56..=62).contains(&heavy), "{heavy}");
}

#[test]
fn verify_no_time_is_saved_up() {
    // One that came late shares from then on; it does not catch up on what it never asked for.
    let mut admission = narrow();
    set(&mut admission, "kalev", 10, 1_000_000);
    admission.on(at(0), arrive(1, 100));
    for number in 0..60 {
        admission.on(at(0), of(1_000 + number, "kalev", 5));
    }
    let last = serve(&mut admission, 1, 20)[19];
    for number in 0..60 {
        admission.on(at(1), of(2_000 + number, "linda", 5));
    }
    let order = serve(&mut admission, last, 20);
    let late = order.iter().filter(|number| **number >= 2_000).count();
    assert!((8..=12).contains(&late), "{late}");
}

#[test]
fn verify_classes_and_no_starvation() {
    let mut admission = narrow();
    admission.on(at(0), arrive(1, 100));
    admission.on(at(0), of(2, "linda", 0));
    for number in 0..100 {
        admission.on(at(0), of(1_000 + number, "kalev", 9));
    }
    let order = serve(&mut admission, 1, 50);
    let turn = order.iter().position(|number| *number == 2);
    // All higher ones go first, but for the turn of the one that waits longest.
    assert_eq!(turn, usize::try_from(LONGEST_TURN - 1).ok());
}

#[test]
fn verify_priority_is_no_higher_than_the_organisations() {
    let mut admission = narrow();
    let low = Parameters {
        priority: 2,
        ..parameters()
    };
    let input = Input::ParametersChanged(organisation("linda"), Some(low));
    admission.on(at(0), input);
    admission.on(at(0), arrive(1, 100));
    admission.on(at(0), of(2, "linda", 9));
    admission.on(at(0), of(3, "kalev", 3));
    assert_eq!(serve(&mut admission, 1, 2), [3, 2]);
}

#[test]
fn verify_large_request_is_not_overtaken() {
    let mut admission = admission();
    let steps = vec![
        (0, arrive(1, 50)),
        (0, arrive(2, 50)),
        (0, patient(3, 90)),
        (0, patient(4, 10)),
        (1, Input::End(Ticket(1))),
        (2, Input::End(Ticket(2))),
    ];
    let done = run(&mut admission, steps);
    assert_eq!(done[4], []);
    assert_eq!(done[5], [Admit(3), Admit(4)]);
}

#[test]
fn verify_what_is_held_back_holds_up_nobody() {
    // A request that alone exceeds the cap waits for an idle target; others go by.
    let mut admission = narrow();
    admission.on(at(0), arrive(1, 100));
    let large = Input::Arrive(Arrival {
        may_wait: true,
        ..arrival(2, 150)
    });
    admission.on(at(0), large);
    admission.on(at(0), of(3, "linda", 5));
    assert_eq!(serve(&mut admission, 1, 2), [3, 2]);
}

#[test]
fn verify_limit_holds_when_a_turn_comes() {
    // What was let in within the limit may be above it when its turn comes.
    let mut admission = narrow();
    set(&mut admission, "kalev", 10, 60);
    let steps = vec![
        (0, arrive(1, 50)),
        (
            0,
            Input::Actual {
                ticket: Ticket(1),
                cost: Cost(99),
            },
        ),
        (0, of(2, "linda", 5)),
        (
            0,
            Input::Actual {
                ticket: Ticket(1),
                cost: Cost(10),
            },
        ),
    ];
    let done = run(&mut admission, steps);
    assert_eq!(done, [vec![Admit(1)], vec![], vec![], vec![]]);
    admission.on(at(0), patient(3, 50));
    admission.on(
        at(0),
        Input::Actual {
            ticket: Ticket(1),
            cost: Cost(20),
        },
    );
    // Room comes, and the other organisation takes it: 20 and 50 are above the limit of 60.
    admission.on(at(0), mean_of(400));
    let status = admission.status();
    assert_eq!((status.running, status.waiting), (2, 1));
    let done = did(&admission.on(at(1), Input::End(Ticket(1))));
    assert_eq!(done, [Admit(3)]);
}

#[test]
fn verify_limit_cut_below_what_waits() {
    let mut admission = narrow();
    admission.on(at(0), arrive(1, 100));
    admission.on(at(0), patient(2, 80));
    admission.on(at(0), patient(3, 20));
    let done = set(&mut admission, "kalev", 10, 50);
    assert_eq!(done, [Refuse(2, NotRun::OrganisationLimit)]);
    assert_eq!(serve(&mut admission, 1, 1), [3]);
}

fn mean_of(load: u64) -> Input {
    Input::MeanHeard(Mean {
        load: Cost(load),
        weight: 100,
        targets: 1,
        at: at(0),
    })
}
