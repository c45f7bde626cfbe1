// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Inputs by moment and what they bring about, for tests in tables.

use std::time::Duration;

use peppercrank_admit::Action;
use peppercrank_admit::Admission;
use peppercrank_admit::Arrival;
use peppercrank_admit::Input;
use peppercrank_admit::Settings;
use peppercrank_admit::Ticket;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::units::Cost;

use crate::common::NAMES;
use crate::common::admission_with;
use crate::common::at;
use crate::common::organisation;
use crate::common::policy;

/// A request of `kalev`'s that may not wait, with a minute left.
pub fn arrival(number: u64, cost: u64) -> Arrival {
    Arrival {
        ticket: Ticket(number),
        attempt: AttemptId(u128::from(number)),
        organisation: organisation(NAMES[0]),
        cost: Cost(cost),
        priority: 5,
        deadline: at(60_000),
        need: Duration::ZERO,
        may_wait: false,
    }
}

/// The same request, which may wait.
pub fn patient(number: u64, cost: u64) -> Input {
    Input::Arrive(Arrival {
        may_wait: true,
        ..arrival(number, cost)
    })
}

pub fn arrive(number: u64, cost: u64) -> Input {
    Input::Arrive(arrival(number, cost))
}

pub fn admission() -> Admission {
    admission_with(Settings::default(), policy())
}

/// What an action comes to, without the retry time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Did {
    Admit(u64),
    Refuse(u64, NotRun),
    Cancel(u64),
    Drained,
}

pub fn did(actions: &[Action]) -> Vec<Did> {
    let one = |action: &Action| match *action {
        Action::Admit { ticket, .. } => Did::Admit(ticket.0),
        Action::Refuse { ticket, reason, .. } => Did::Refuse(ticket.0, reason),
        Action::Cancel { ticket, .. } => Did::Cancel(ticket.0),
        Action::Drained => Did::Drained,
    };
    actions.iter().map(one).collect()
}

/// Puts inputs in at their moments and lists what was done each time.
pub fn run(admission: &mut Admission, steps: Vec<(u64, Input)>) -> Vec<Vec<Did>> {
    let step = |(millis, input)| did(&admission.on(at(millis), input));
    steps.into_iter().map(step).collect()
}
