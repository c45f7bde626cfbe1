// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The one place that decides for a target.

mod arrive;
mod change;
mod room;

use std::collections::HashMap;

use peppercrank_core::keys::AttemptId;
use peppercrank_core::names::OrganisationName;
use peppercrank_core::objects::PoolPolicy;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;

use crate::cap::Cap;
use crate::drain::Drain;
use crate::messages::Action;
use crate::messages::Input;
use crate::messages::Ticket;
use crate::organisations::OrganisationKey;
use crate::organisations::Organisations;
use crate::queue::Entry;
use crate::queue::EntryKey;
use crate::queue::Queue;
use crate::rate::Rate;
use crate::seen::Seen;
use crate::settings::Settings;
use room::Room;

/// Most that one request can cost; a greater claim is cut to it, so that sums never overflow.
pub const MAX_COST: Cost = Cost(1 << 40);

/// `Running` is one request that was admitted and has not ended.
#[derive(Debug, Clone, Copy)]
struct Running {
    attempt: AttemptId,
    organisation: OrganisationKey,
    cost: Cost,
}

/// `Place` is where a request that arrived now is.
#[derive(Debug, Clone, Copy)]
enum Place {
    Waiting(EntryKey),
    Running(Running),
}

/// `Status` is what an operator may want to know of a target's admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// What is reserved by the requests that run.
    pub reserved: Cost,
    /// What runs and what waits: the load to report to peers.
    pub demand: Cost,
    /// How many requests run.
    pub running: usize,
    /// How many requests wait.
    pub waiting: usize,
    /// The load that the target may carry now.
    pub cap: Cost,
    /// Whether no mean is known that counts in full.
    pub stale: bool,
    /// Whether the target takes no new work because it leaves.
    pub leaving: bool,
    /// Whether neither peer nor platform was heard past the limit.
    pub cut: bool,
}

/// `Admission` decides for one target what runs, what waits and what is refused.
///
/// Every arrival is answered by exactly one [`Action::Admit`] or [`Action::Refuse`]. Whatever
/// was given up is refused in the very call in which it was given up.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    policy: PoolPolicy,
    now: Instant,
    touched: Instant,
    cap: Cap,
    drain: Drain,
    organisations: Organisations,
    queue: Queue,
    rate: Rate,
    seen: Seen,
    places: HashMap<Ticket, Place>,
    running: usize,
    reserved: Cost,
}

impl Admission {
    /// `new` starts with nothing in flight, no organisation, no mean and no mark.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Range`] when a setting lies outside its range.
    pub fn new(now: Instant, settings: Settings, policy: PoolPolicy) -> crate::Result<Self> {
        settings.check()?;
        Ok(Self {
            cap: Cap::new(&settings, &policy),
            drain: Drain::default(),
            organisations: Organisations::new(&settings),
            queue: Queue::default(),
            rate: Rate::default(),
            seen: Seen::default(),
            places: HashMap::new(),
            running: 0,
            reserved: Cost::ZERO,
            touched: now,
            now,
            settings,
            policy,
        })
    }

    /// `on` takes an input in and returns what the daemon must do, in order.
    ///
    /// A moment before an earlier one counts as that earlier one.
    ///
    /// # Examples
    ///
    /// ```
    /// use peppercrank_admit::Admission;
    /// use peppercrank_admit::Input;
    /// use peppercrank_admit::Settings;
    /// use peppercrank_core::objects::PoolPolicy;
    /// use peppercrank_core::time::Instant;
    /// use peppercrank_core::units::Cost;
    ///
    /// let policy = PoolPolicy {
    ///     cap: 1.25,
    ///     floor: Cost(10_000),
    ///     queue: 16,
    ///     wait_ms: 2_000,
    ///     prefix: 1_024,
    ///     tries: 3,
    ///     retries: 0.1,
    /// };
    /// let mut admission = Admission::new(Instant::ZERO, Settings::default(), policy)?;
    /// let actions = admission.on(Instant::from_millis(5), Input::Touched);
    /// assert!(actions.is_empty());
    /// assert_eq!(admission.status().cap, Cost(10_000));
    /// # Ok::<(), peppercrank_admit::Error>(())
    /// ```
    pub fn on(&mut self, now: Instant, input: Input) -> Vec<Action> {
        self.now = self.now.max(now);
        let mut actions = Vec::new();
        self.apply(input, &mut actions);
        // Only now: what has just ended is not cancelled, nor is anything by a mark taken away.
        self.expire(&mut actions);
        self.dispatch(&mut actions);
        if self.drain.take_drained(self.running == 0) {
            actions.push(Action::Drained);
        }
        actions
    }

    /// `next_wake` is when `on` is to be called with a tick if nothing else comes before.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        let grace = self.drain.grace_end();
        if self.queue.is_empty() {
            return grace;
        }
        let cut = self.touched + self.settings.touch;
        let share = self.organisations.next_check();
        let wakes = [grace, self.queue.next_end(), Some(cut), share];
        wakes.into_iter().flatten().min()
    }

    /// `ticket` finds the arrival that brought an attempt, while it runs or waits.
    #[must_use]
    pub fn ticket(&self, attempt: AttemptId) -> Option<Ticket> {
        let ticket = self.seen.ticket(attempt)?;
        self.places.contains_key(&ticket).then_some(ticket)
    }

    /// `status` is what an operator may want to know.
    #[must_use]
    pub fn status(&self) -> Status {
        Status {
            reserved: self.reserved,
            demand: self.demand(),
            running: self.running,
            waiting: self.queue.len(),
            cap: self.cap.at(self.now),
            stale: self.cap.is_stale(self.now),
            leaving: self.drain.is_leaving(),
            cut: self.is_cut(),
        }
    }

    /// `demand` is the load to report to peers: what runs and what waits.
    ///
    /// The cap follows the mean of what peers report. Were that only what runs, then what a cap
    /// keeps waiting would not show in the mean, and a cap that has come down to its floor would
    /// stay there while callers wait.
    #[must_use]
    pub fn demand(&self) -> Cost {
        self.reserved + self.queue.cost()
    }

    /// `load` is what is reserved by the requests that run.
    #[must_use]
    pub fn load(&self) -> Cost {
        self.reserved
    }

    /// `in_use` is what an organisation has running here.
    #[must_use]
    pub fn in_use(&self, organisation: &OrganisationName) -> Cost {
        let key = self.organisations.find(organisation);
        key.map_or(Cost::ZERO, |key| self.organisations.running(key))
    }

    /// Takes an input in.
    fn apply(&mut self, input: Input, actions: &mut Vec<Action>) {
        match input {
            Input::Arrive(arrival) => {
                // Nothing that has waited too long stands before it.
                self.expire(actions);
                self.arrive(&arrival, actions);
            }
            Input::Actual { ticket, cost } => self.revise(ticket, cost.min(MAX_COST)),
            Input::End(ticket) | Input::CallerGone(ticket) if self.is_waiting(ticket) => {
                self.abandon(ticket, actions);
            }
            Input::End(ticket) => self.end(ticket),
            Input::MeanHeard(mean) => self.cap.hear(self.now, mean),
            Input::EngineHeard { running, waiting } => {
                self.cap.hear_engine(running, waiting, self.reserved);
            }
            Input::TargetsHeard(targets) => self.organisations.hear_targets(targets),
            Input::PolicyChanged(policy) => self.change_policy(policy, actions),
            Input::WeightChanged(weight) => self.change_weight(weight, actions),
            Input::ParametersChanged(name, parameters) => {
                self.change_parameters(name, parameters.as_ref(), actions);
            }
            Input::Marked(mark) => self.drain.mark(self.now, mark),
            Input::Unmarked => self.drain.unmark(),
            Input::Stopping => self.drain.stop(),
            Input::HandedOver => self.drain.hand_over(),
            Input::Touched => self.touched = self.now,
            // What runs stays reserved until its guard says that it has ended.
            Input::CallerGone(_) | Input::Tick => {}
        }
    }

    /// Runs what may run, in its turn.
    fn dispatch(&mut self, actions: &mut Vec<Action>) {
        while let Some(entry) = self.next_entry() {
            self.organisations.start(entry.organisation, entry.cost);
            self.reserved += entry.cost;
            self.running += 1;
            let running = Running {
                attempt: entry.attempt,
                organisation: entry.organisation,
                cost: entry.cost,
            };
            self.places.insert(entry.ticket, Place::Running(running));
            actions.push(Action::Admit {
                ticket: entry.ticket,
                attempt: entry.attempt,
            });
        }
    }

    fn next_entry(&mut self) -> Option<Entry> {
        if self.queue.is_empty() {
            return None;
        }
        let room = Room {
            now: self.now,
            cap: self.cap.at(self.now),
            ceiling: self.cap.ceiling(),
            reserved: self.reserved,
            idle: self.running == 0,
            settings: &self.settings,
            organisations: &self.organisations,
        };
        let weight = |key| room.organisations.weight(key);
        self.queue.pop(weight, |entry| room.standing(entry))
    }

    /// Gives up what has waited long enough, what a leaving or cut off target holds, and what
    /// runs past the grace of a removal.
    fn expire(&mut self, actions: &mut Vec<Action>) {
        let places = &self.places;
        self.seen
            .expire(self.now, |ticket| places.contains_key(&ticket));
        for gone in self.organisations.expire(self.now) {
            self.queue.forget(gone);
        }
        while let Some(entry) = self.queue.take_expired(self.now) {
            let reason = match (entry.dated, entry.brief) {
                (true, _) => NotRun::Deadline,
                (false, true) => NotRun::OverCap,
                (false, false) => NotRun::QueueTimeout,
            };
            self.refuse(&entry, reason, actions);
        }
        if self.drain.is_leaving() {
            self.refuse_all(NotRun::Leaving, actions);
        }
        if self.is_cut() {
            self.refuse_all(NotRun::OutOfTouch, actions);
        }
        if self.drain.take_cancel(self.now) {
            self.cancel_all(actions);
        }
    }

    fn refuse_all(&mut self, reason: NotRun, actions: &mut Vec<Action>) {
        while let Some(entry) = self.queue.take_any() {
            self.refuse(&entry, reason, actions);
        }
    }

    fn cancel_all(&self, actions: &mut Vec<Action>) {
        let cancel = |(ticket, place): (&Ticket, &Place)| match place {
            Place::Running(running) => Some((*ticket, running.attempt)),
            Place::Waiting(_) => None,
        };
        let mut cut: Vec<_> = self.places.iter().filter_map(cancel).collect();
        cut.sort_unstable();
        let act = |(ticket, attempt)| Action::Cancel { ticket, attempt };
        actions.extend(cut.into_iter().map(act));
    }

    fn give_up(&mut self, key: EntryKey, reason: NotRun, actions: &mut Vec<Action>) {
        if let Some(entry) = self.queue.remove(key) {
            self.refuse(&entry, reason, actions);
        }
    }

    /// Answers a request that was taken out of the queue.
    fn refuse(&mut self, entry: &Entry, reason: NotRun, actions: &mut Vec<Action>) {
        self.places.remove(&entry.ticket);
        self.organisations
            .leave(self.now, entry.organisation, entry.cost);
        actions.push(self.refusal(entry.ticket, entry.attempt, reason));
    }

    fn refusal(&self, ticket: Ticket, attempt: AttemptId, reason: NotRun) -> Action {
        let loaded = matches!(
            reason,
            NotRun::OverCap | NotRun::QueueFull | NotRun::QueueTimeout | NotRun::OrganisationLimit
        );
        let retry_after = loaded.then(|| self.rate.wait(self.queue.cost()));
        Action::Refuse {
            ticket,
            attempt,
            reason,
            retry_after,
        }
    }

    fn is_waiting(&self, ticket: Ticket) -> bool {
        matches!(self.places.get(&ticket), Some(Place::Waiting(_)))
    }

    /// Takes out a waiting request whose caller is gone.
    fn abandon(&mut self, ticket: Ticket, actions: &mut Vec<Action>) {
        if let Some(Place::Waiting(key)) = self.places.get(&ticket).copied() {
            self.give_up(key, NotRun::CallerGone, actions);
        }
    }

    fn end(&mut self, ticket: Ticket) {
        let Some(Place::Running(running)) = self.places.remove(&ticket) else {
            return;
        };
        let organisation = running.organisation;
        self.organisations.end(self.now, organisation, running.cost);
        self.reserved -= running.cost;
        self.running -= 1;
        self.rate.release(self.now, running.cost);
        self.seen.ended(self.now, running.attempt);
        if self.running == 0 {
            self.queue.rest();
        }
    }

    /// Puts the true cost of a running request in place of the expected one.
    fn revise(&mut self, ticket: Ticket, cost: Cost) {
        let Some(Place::Running(running)) = self.places.get_mut(&ticket) else {
            return;
        };
        let was = std::mem::replace(&mut running.cost, cost);
        let organisation = running.organisation;
        self.organisations.revise(self.now, organisation, was, cost);
        self.reserved -= was;
        self.reserved += cost;
    }

    fn is_cut(&self) -> bool {
        self.now.since(self.touched) >= self.settings.touch
    }
}
