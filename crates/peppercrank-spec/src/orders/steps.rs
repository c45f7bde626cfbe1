// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Enabled steps.

use crate::orders::Orders;
use crate::orders::Step;
use crate::orders::state::State;

impl Orders {
    /// Adds the enabled steps of the contenders and the store.
    pub(super) fn lease_steps(self, s: &State, steps: &mut Vec<Step>) {
        for (at, contender) in s.contenders.iter().enumerate() {
            if contender.wake().is_some_and(|w| w <= s.now) {
                steps.push(Step::Tick(at));
            }
            let holds = contender.fence(s.now).is_some();
            if holds && s.orders_given < self.orders {
                steps.push(Step::Give(at));
            }
            if holds && s.leaves < self.leaves {
                steps.push(Step::Leave(at));
            }
        }
        for (at, call) in s.calls.iter().enumerate() {
            steps.push(Step::Serve(at));
            if call.from.is_some() && s.losses < self.losses {
                steps.push(Step::Lose(at));
            }
        }
    }

    /// Adds the enabled steps of the agent and the engine.
    pub(super) fn agent_steps(self, s: &State, steps: &mut Vec<Step>) {
        for at in 0..s.to_agent.len() {
            steps.push(Step::Arrive(at));
            if s.repeats < self.repeats {
                steps.push(Step::Repeat(at));
            }
        }
        for (at, (_, waits)) in s.to_engine.iter().enumerate() {
            steps.push(Step::Obey(at));
            if *waits && s.cuts < self.cuts {
                steps.push(Step::Cut(at));
            }
        }
        if s.gate.wake().is_some_and(|w| w <= s.now) {
            steps.push(Step::Settle);
        }
        // A restart before the first order makes no difference.
        if s.restarts < self.restarts && s.orders_given > 0 {
            steps.push(Step::Restart);
        }
    }
}
