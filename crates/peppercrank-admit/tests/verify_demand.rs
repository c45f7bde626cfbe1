// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What a target reports lets a cap at its floor rise while callers wait.

mod common;

use std::time::Duration;

use common::admission_with;
use common::at;
use common::organisation;
use common::policy;
use peppercrank_admit::Admission;
use peppercrank_admit::Arrival;
use peppercrank_admit::Input;
use peppercrank_admit::Settings;
use peppercrank_admit::Ticket;
use peppercrank_core::blackboard::MeanLoad;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;

fn arrive(admission: &mut Admission, now: Instant, number: u64, cost: u64) {
    let arrival = Arrival {
        ticket: Ticket(number),
        attempt: AttemptId(number.into()),
        organisation: organisation("kalev"),
        cost: Cost(cost),
        priority: 5,
        deadline: now + Duration::from_secs(60),
        need: Duration::ZERO,
        may_wait: true,
    };
    admission.on(now, Input::Arrive(arrival));
}

/// The cap and what runs once the mean of what `report` gives is heard.
fn settle(report: fn(&Admission) -> Cost) -> (Cost, usize) {
    let mut admission = admission_with(Settings::default(), policy());
    for number in 0..6 {
        arrive(&mut admission, at(0), number, 60);
    }
    let now = at(1_000);
    let mean = MeanLoad {
        total_load: report(&admission),
        total_weight: 100,
        target_count: 1,
        updated_at: now,
    };
    admission.on(now, Input::MeanHeard(mean));
    let status = admission.status();
    (status.cap, status.running)
}

#[test]
fn verify_waiting_work_raises_the_mean() {
    // The floor is 100: one request of 60 runs, and five wait.
    assert_eq!(settle(Admission::load), (Cost(100), 1));
    assert_eq!(settle(Admission::demand), (Cost(450), 6));
}

#[test]
fn verify_demand_follows_what_runs_and_waits() {
    let mut admission = admission_with(Settings::default(), policy());
    let mut demands = Vec::new();
    for number in 0..3 {
        arrive(&mut admission, at(0), number, 60);
        demands.push(admission.demand());
    }
    admission.on(at(10), Input::CallerGone(Ticket(2)));
    demands.push(admission.demand());
    admission.on(at(20), Input::End(Ticket(0)));
    demands.push(admission.demand());
    admission.on(at(30), Input::End(Ticket(1)));
    demands.push(admission.demand());
    assert_eq!(demands, [60, 120, 180, 120, 60, 0].map(Cost));
    assert_eq!(admission.status().demand, admission.demand());
}
