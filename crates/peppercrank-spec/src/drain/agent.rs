// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The agent: the real admission, driven by the steps of the model.

use std::collections::BTreeMap;
use std::time::Duration;

use peppercrank_admit::Action;
use peppercrank_admit::Admission;
use peppercrank_admit::Arrival;
use peppercrank_admit::Input;
use peppercrank_admit::Settings;
use peppercrank_admit::Ticket;
use peppercrank_core::hash::hash64;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::names::OrganisationName;
use peppercrank_core::names::TargetName;
use peppercrank_core::objects;
use peppercrank_core::objects::Mark;
use peppercrank_core::objects::Parameters;
use peppercrank_core::objects::PoolPolicy;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;

use crate::drain::Flaw;
use crate::drain::STRIDE_MS;
use crate::drain::Step;

/// An admission, the tickets of its requests and the number of arrivals.
pub(super) struct Agent {
    pub(super) admission: Admission,
    pub(super) tickets: BTreeMap<u8, Ticket>,
    pub(super) arrivals: u64,
}

impl Agent {
    /// Returns an agent without requests. Its settings are constants of the model; the tests would
    /// fail if they were out of range.
    pub(super) fn new() -> Self {
        let policy = PoolPolicy {
            cap: 2.0,
            floor: Cost(1),
            queue: 8,
            wait_ms: STRIDE_MS / 2,
            prefix: 0,
            tries: 1,
            retries: 0.0,
        };
        let settings = Settings {
            touch: Duration::from_secs(1_000),
            ..Settings::default()
        };
        let mut admission =
            Admission::new(Instant::ZERO, settings, policy).expect("the model's settings hold");
        let parameters = Parameters {
            weight: 1,
            priority: 9,
            limit: Cost(1_000),
            output: 1,
            deadline_ms: 100_000,
            models: Vec::new(),
            services: Vec::new(),
        };
        admission.on(Instant::ZERO, Input::TargetsHeard(1));
        let known = Input::ParametersChanged(organisation(), Some(parameters));
        admission.on(Instant::ZERO, known);
        Self {
            admission,
            tickets: BTreeMap::new(),
            arrivals: 0,
        }
    }

    pub(super) fn arrive(&mut self, now: Instant, request: u8) -> Vec<Action> {
        let ticket = Ticket(self.arrivals);
        self.arrivals += 1;
        self.tickets.entry(request).or_insert(ticket);
        let arrival = Arrival {
            ticket,
            attempt: AttemptId(u128::from(request)),
            organisation: organisation(),
            cost: Cost(1),
            priority: 5,
            deadline: Instant::from_millis(100_000),
            need: Duration::ZERO,
            may_wait: true,
        };
        self.admission.on(now, Input::Arrive(arrival))
    }

    pub(super) fn end(&mut self, now: Instant, request: u8) -> Vec<Action> {
        match self.tickets.get(&request) {
            Some(ticket) => self.admission.on(now, Input::End(*ticket)),
            None => Vec::new(),
        }
    }

    pub(super) fn hear_mark(&mut self, now: Instant, flaw: Flaw) -> Vec<Action> {
        let action = if flaw == Flaw::Removes {
            objects::MarkAction::Remove
        } else {
            objects::MarkAction::Shutdown
        };
        let mark = Mark {
            target: TargetName::new("t").expect("the model's name is well formed"),
            action,
            grace_ms: 0,
        };
        if flaw == Flaw::Unheeded {
            return Vec::new();
        }
        let mut actions = Vec::new();
        if flaw == Flaw::Miscounts {
            let tickets: Vec<u8> = self.tickets.keys().copied().collect();
            for request in tickets {
                actions.extend(self.end(now, request));
            }
        }
        actions.extend(self.admission.on(now, Input::Marked(mark)));
        actions
    }

    pub(super) fn drive(&mut self, now: Instant, step: Step, flaw: Flaw) -> Vec<Action> {
        match step {
            Step::Arrive(request) | Step::Repeat(request) => self.arrive(now, request),
            Step::End(request) => self.end(now, request),
            Step::Leave(request) => match self.tickets.get(&request) {
                Some(ticket) => self.admission.on(now, Input::CallerGone(*ticket)),
                None => Vec::new(),
            },
            Step::Hear => self.hear_mark(now, flaw),
            Step::Unmark => self.admission.on(now, Input::Unmarked),
            Step::Stop => self.admission.on(now, Input::Stopping),
            Step::HandOver => self.admission.on(now, Input::HandedOver),
            Step::Stride => self.admission.on(now, Input::Tick),
            Step::Publish | Step::Restart | Step::Read => Vec::new(),
        }
    }

    /// Returns a digest of the admission's state that does not depend on the order of its hash
    /// maps.
    pub(super) fn digest(&self) -> u64 {
        let text = format!("{:?}", self.admission);
        let mut words: Vec<&str> = text.split([' ', ',', '{', '}', '(', ')']).collect();
        words.sort_unstable();
        hash64(0, words.join(" ").as_bytes())
    }
}

fn organisation() -> OrganisationName {
    OrganisationName::new("o").expect("the model's name is well formed")
}
