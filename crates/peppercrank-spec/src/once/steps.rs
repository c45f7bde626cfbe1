// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Enabled steps of a router.

use crate::once::Once;
use crate::once::Step;
use crate::once::state::State;

impl Once {
    pub(super) fn router_steps(self, s: &State, at: usize, steps: &mut Vec<Step>) {
        let router = &s.routers[at];
        // The routers are interchangeable, so the first submission goes to the first one.
        if s.submission_count() < self.sends && (at == 0 || s.submission_count() > 0) {
            steps.push(Step::Send(at));
        }
        if router.claims.wake().is_some_and(|w| w <= s.now) {
            steps.push(Step::Tick(at));
        }
        steps.extend(router.grants.iter().map(|g| Step::Forward(at, g.0)));
        if s.crashes < self.crashes {
            steps.push(Step::Crash(at));
        }
    }
}
