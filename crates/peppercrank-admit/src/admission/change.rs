// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How changed configuration comes into force.

use peppercrank_core::names::OrganisationName;
use peppercrank_core::objects::Parameters;
use peppercrank_core::objects::PoolPolicy;
use peppercrank_core::refusal::NotRun;

use super::Admission;
use crate::messages::Action;
use crate::organisations::OrganisationKey;

impl Admission {
    /// Puts a policy in force, and gives up what its queue has no place for.
    pub(super) fn change_policy(&mut self, policy: PoolPolicy, actions: &mut Vec<Action>) {
        self.cap.apply(&policy);
        self.policy = policy;
        self.shorten(OrganisationKey::default(), actions);
    }

    /// Sets the target's weight; without any it takes nothing, not even what waits.
    pub(super) fn change_weight(&mut self, weight: u32, actions: &mut Vec<Action>) {
        self.cap.weigh(weight);
        if weight == 0 {
            self.refuse_all(NotRun::OverCap, actions);
        }
    }

    /// Puts an organisation's parameters in force for what waits, too.
    pub(super) fn change_parameters(
        &mut self,
        name: OrganisationName,
        parameters: Option<&Parameters>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(parameters) = parameters {
            let key = self.organisations.put(name, parameters);
            while let Some(entry) = self.queue.take_above(key, parameters.limit) {
                self.refuse(&entry, NotRun::OrganisationLimit, actions);
            }
            return;
        }
        let Some(gone) = self.organisations.remove(&name) else {
            return;
        };
        while let Some(entry) = self.queue.take_of(gone) {
            self.refuse(&entry, NotRun::NotReady, actions);
        }
        self.queue.forget(gone);
    }
}
