// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Prints the time that one decision takes, by how many requests wait.
//!
//! Each round ends one request, which lets the next run, and takes in another, which waits.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant as StdInstant;

use peppercrank_admit::Action;
use peppercrank_admit::Admission;
use peppercrank_admit::Arrival;
use peppercrank_admit::Input;
use peppercrank_admit::Settings;
use peppercrank_admit::Ticket;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::names::OrganisationName;
use peppercrank_core::objects::Parameters;
use peppercrank_core::objects::PoolPolicy;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;

const ROUNDS: u32 = 50_000;
const ORGANISATIONS: u64 = 4_600;
const COST: u64 = 1_800;

fn main() {
    println!("{ORGANISATIONS} organisations known, 16 requests run, each waits for another\n");
    println!("waiting  us a decision");
    for waiting in [0, 16, 64, 256, 1_024] {
        println!("{waiting:>7} {:>10.2}", time(waiting));
    }
}

/// Microseconds a decision, over rounds of one end and one arrival.
fn time(waiting: u64) -> f64 {
    let mut admission = admission();
    let mut number = 0;
    let mut running = 1;
    for _ in 0..16 + waiting {
        number += 1;
        admission.on(Instant::ZERO, arrive(number));
    }
    let began = StdInstant::now();
    for round in 0..ROUNDS {
        let now = Instant::from_millis(u64::from(round));
        admission.on(now, Input::Touched);
        let mut done = admission.on(now, Input::End(Ticket(running)));
        number += 1;
        done.extend(admission.on(now, arrive(number)));
        let Some(Action::Admit { .. }) = black_box(&done).first() else {
            panic!("one runs for one that ended: {done:?}");
        };
        running += 1;
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS * 2)
}

fn admission() -> Admission {
    let settings = Settings {
        ceiling: Cost(16 * COST),
        ..Settings::default()
    };
    let policy = PoolPolicy {
        cap: 1.25,
        floor: settings.ceiling,
        queue: 2_000,
        wait_ms: 1 << 40,
        prefix: 0,
        tries: 1,
        retries: 0.0,
    };
    let mut admission = Admission::new(Instant::ZERO, settings, policy).expect("in range");
    admission.on(Instant::ZERO, Input::TargetsHeard(1));
    for number in 0..ORGANISATIONS {
        let parameters = Parameters {
            weight: 10,
            priority: 5,
            limit: Cost(1 << 40),
            output: 200,
            deadline_ms: 1,
            models: Vec::new(),
            services: Vec::new(),
        };
        admission.on(
            Instant::ZERO,
            Input::ParametersChanged(name(number), Some(parameters)),
        );
    }
    admission
}

fn arrive(number: u64) -> Input {
    Input::Arrive(Arrival {
        ticket: Ticket(number),
        attempt: AttemptId(number.into()),
        organisation: name(number % ORGANISATIONS),
        cost: Cost(COST),
        priority: 5,
        deadline: Instant::from_origin(Duration::from_secs(1 << 40)),
        need: Duration::ZERO,
        may_wait: true,
    })
}

fn name(number: u64) -> OrganisationName {
    OrganisationName::new(&format!("org-{number}")).expect("well formed")
}
