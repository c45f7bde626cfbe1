// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How a request comes in: what speaks against it, and its place in the queue.

use std::time::Duration;

use peppercrank_core::refusal::NotRun;
use peppercrank_core::units::Cost;

use super::Admission;
use super::MAX_COST;
use super::Place;
use crate::messages::Action;
use crate::messages::Arrival;
use crate::organisations::OrganisationKey;
use crate::queue::Entry;
use crate::queue::TOP;
use crate::seen::Sight;
use crate::settings::Oversize;

impl Admission {
    /// Takes an arrival in, or refuses it.
    pub(super) fn arrive(&mut self, arrival: &Arrival, actions: &mut Vec<Action>) {
        match self.check(arrival) {
            Ok(organisation) => self.accept(arrival, organisation, actions),
            Err(reason) => actions.push(self.refusal(arrival.ticket, arrival.attempt, reason)),
        }
    }

    /// Finds what speaks against a request that does not depend on the load.
    fn check(&mut self, arrival: &Arrival) -> Result<OrganisationKey, NotRun> {
        let now = self.now;
        if self.places.contains_key(&arrival.ticket) {
            return Err(NotRun::DuplicateAttempt);
        }
        // Seen even if refused: its router goes on elsewhere, and a late copy must not run.
        let sight = self
            .seen
            .see(now, arrival.attempt, arrival.ticket, arrival.deadline);
        match sight {
            Sight::New => {}
            Sight::Known => return Err(NotRun::DuplicateAttempt),
            Sight::Full => return Err(NotRun::QueueFull),
        }
        if self.drain.is_leaving() {
            return Err(NotRun::Leaving);
        }
        if self.is_cut() {
            return Err(NotRun::OutOfTouch);
        }
        let found = self.organisations.find(&arrival.organisation);
        let organisation = found.ok_or(NotRun::NotReady)?;
        if now + arrival.need >= arrival.deadline {
            return Err(NotRun::Deadline);
        }
        if !self.organisations.allows(organisation, arrival.cost) {
            self.organisations.press(now, organisation);
            return Err(NotRun::OrganisationLimit);
        }
        if !self.may_ever_fit(arrival.cost) {
            return Err(NotRun::OverCap);
        }
        Ok(organisation)
    }

    /// Queues a request, runs it if its turn is now, and else keeps it only if it may wait or the
    /// target has patience.
    fn accept(
        &mut self,
        arrival: &Arrival,
        organisation: OrganisationKey,
        actions: &mut Vec<Action>,
    ) {
        let entry = self.entry(arrival, organisation);
        self.organisations.come(self.now, organisation, entry.cost);
        let key = self.queue.push(entry);
        self.places.insert(arrival.ticket, Place::Waiting(key));
        self.dispatch(actions);
        let patient = arrival.may_wait || !self.settings.patience.is_zero();
        if self.queue.contains(key) && !patient {
            self.give_up(key, NotRun::OverCap, actions);
        }
        self.shorten(organisation, actions);
    }

    fn entry(&self, arrival: &Arrival, organisation: OrganisationKey) -> Entry {
        let top = self.organisations.priority(organisation).min(TOP);
        let wait = Duration::from_millis(self.policy.wait_ms);
        let brief = !arrival.may_wait;
        let most = if brief { self.settings.patience } else { wait };
        let longest = self.now + wait.min(most);
        // A request that starts later than this could not end in time.
        let left = arrival.deadline.since(self.now + arrival.need);
        let latest = self.now + left;
        Entry {
            ticket: arrival.ticket,
            attempt: arrival.attempt,
            organisation,
            cost: arrival.cost.min(MAX_COST),
            class: arrival.priority.min(top),
            since: self.now,
            until: longest.min(latest),
            dated: latest < longest,
            brief,
        }
    }

    /// Gives up requests until the queue is no longer than it may be.
    pub(super) fn shorten(&mut self, newest: OrganisationKey, actions: &mut Vec<Action>) {
        let most = usize::try_from(self.policy.queue).unwrap_or(usize::MAX);
        while self.queue.len() > most {
            let organisations = &self.organisations;
            let weight = |key| organisations.weight(key);
            let Some(key) = self.queue.victim(newest, weight) else {
                return;
            };
            self.give_up(key, NotRun::QueueFull, actions);
        }
    }

    /// Tells whether a request could run on this target, were it idle.
    fn may_ever_fit(&self, cost: Cost) -> bool {
        if self.cap.is_closed() {
            return false;
        }
        cost <= self.cap.at(self.now) || self.settings.oversize == Oversize::Alone
    }
}
