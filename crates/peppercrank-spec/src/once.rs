// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Checks that a non-repeatable request with an idempotency key runs at most once, and that "not
//! run" is reported truthfully.
//!
//! The model has one key, two routers that run the real [`Claims`] state machine on one shard, a
//! caller that submits the same request any number of times, and one agent. Calls of the store are
//! answered late, in any order or not at all, and may take effect even if the answer is lost. One
//! assumption is built in: a forwarded request is accepted by the agent within the retention time
//! less the lifetime of a grant, or never.

mod bounds;
mod state;
mod steps;

use std::collections::BTreeSet;
use std::time::Duration;

use peppercrank_core::keys::RequestId;
use peppercrank_core::time::Instant;
use peppercrank_lease::claim::Action;
use peppercrank_lease::claim::Claims;
use peppercrank_lease::claim::Input;
use peppercrank_lease::claim::Policy;
use peppercrank_lease::claim::Verdict;
use peppercrank_lease::shard::ClaimKey;
use peppercrank_lease::shard::EPOCH;
use peppercrank_lease::shard::Shard;
use peppercrank_lease::store::Answer;
use peppercrank_lease::store::Base;
use peppercrank_lease::store::Version;

use crate::once::state::Call;
use crate::once::state::Report;
use crate::once::state::Router;
use crate::once::state::Submission;
use crate::search::Model;

pub use crate::once::bounds::Flaw;
pub use crate::once::bounds::Once;
pub use crate::once::state::State;

/// Property: the request runs at most once.
pub const RAN_TWICE: &str = "a request that must not run twice ran twice";

/// Property: a submission reported as "not run" never ran and never runs.
pub const FALSE_NOT_RUN: &str = "\"not run\" was reported of a submission that ran";

/// Property: "not run", reported under a claim, is true of all submissions with the key.
///
/// Without a claim, in an outage or after a pause longer than the grant, a router reports on the
/// one submission only, since it cannot know of the others.
pub const FALSE_NOT_RUN_OF_KEY: &str =
    "\"not run\" was reported under a claim of a key that ran or might run";

/// Idempotency key of all submissions.
const KEY: ClaimKey = ClaimKey(7);

/// Duration of a long time step: an epoch, which is longer than a grant or a wait for a claim.
const STRIDE: Duration = Duration::from_secs(4);

/// Duration of a short time step: longer than a wait for a claim, shorter than a grant.
const NAP: Duration = Duration::from_millis(1_500);

/// `Step` is one step of the model.
#[derive(Debug, Clone)]
pub enum Step {
    /// The caller submits the request to a router.
    Send(usize),
    /// The store handles a call and its answer arrives.
    Serve(usize),
    /// The router treats a call as failed; it may still take effect.
    Lose(usize),
    /// A router's timer fires.
    Tick(usize),
    /// A router that has a grant forwards the request.
    Forward(usize, RequestId),
    /// The agent accepts a request and runs it; its answer may be lost.
    Run(RequestId),
    /// The agent refuses a request as not run.
    Refuse(RequestId),
    /// The connection is lost; the request may still reach the agent.
    Cut(RequestId),
    /// A router crashes and restarts with no state.
    Crash(usize),
    /// A long time passes, or all processes are paused.
    Stride,
    /// A short time passes.
    Nap,
    /// Another router that has observed the epoch for a whole period starts the next one.
    Roll,
}

impl Once {
    fn policy() -> Policy {
        Policy {
            shards: 1,
            bytes: 10_000,
            period: STRIDE,
            generations: 2,
            life: STRIDE / 2,
            wait: STRIDE / 4,
            call: Duration::from_secs(1_000),
            retry: Duration::ZERO,
            fails: 2,
            probe: Duration::ZERO,
        }
    }

    fn router() -> Router {
        // The policy is a constant of the model; the tests would fail if it were invalid.
        let claims = Claims::new(Self::policy(), 1).expect("the model's policy is in range");
        Router {
            claims,
            grants: Vec::new(),
            awaiting: Vec::new(),
        }
    }

    fn drive_claims(self, s: &mut State, at: usize, input: Input) {
        let actions = s.routers[at].claims.on(s.now, input);
        for action in actions {
            match action {
                Action::Get { call, shard } => s.calls.push(Call {
                    from: Some(at),
                    id: call,
                    shard,
                    write: None,
                }),
                Action::Put {
                    call,
                    shard,
                    base,
                    body,
                } => s.calls.push(Call {
                    from: Some(at),
                    id: call,
                    shard,
                    write: Some((base, body)),
                }),
                Action::Tell { token, verdict } => self.record_verdict(s, at, token, verdict),
            }
        }
    }

    fn record_verdict(self, s: &mut State, at: usize, token: RequestId, verdict: Verdict) {
        match verdict {
            Verdict::Granted { until } => s.routers[at].grants.push((token, until)),
            Verdict::Begun if self.flaw == Flaw::BegunNotRun => s.report_not_run(token, true),
            Verdict::Begun => s.report(token, Report::MayHaveRun),
            Verdict::Unavailable => s.report_not_run(token, false),
        }
    }

    fn send_request(self, s: &mut State, at: usize) {
        let token = RequestId(s.submissions.len() as u128);
        s.submissions.push(Submission {
            at: s.now,
            runs_before: s.runs.len(),
        });
        if self.flaw == Flaw::NoClaim {
            let until = s.now + STRIDE;
            s.routers[at].grants.push((token, until));
            return;
        }
        let wait = STRIDE;
        let key = KEY;
        self.drive_claims(s, at, Input::Claim { key, token, wait });
    }

    fn serve_call(self, s: &mut State, at: usize) {
        let call = s.calls.remove(at);
        let answer = self.call_store(s, call.shard, call.write);
        if let Some(router) = call.from {
            let call = call.id;
            self.drive_claims(s, router, Input::Answer { call, answer });
        }
    }

    fn call_store(self, s: &mut State, shard: u16, write: Option<(Base, Shard)>) -> Answer<Shard> {
        let current = s.object(shard).clone();
        let Some((base, body)) = write else {
            return match current {
                Some((version, body)) => Answer::Found { version, body },
                None => Answer::Absent,
            };
        };
        let is_current = base == current.as_ref().map(|c| c.0);
        if !is_current && self.flaw != Flaw::Unconditional {
            return Answer::Conflict { current };
        }
        s.put(shard, body);
        Answer::Written {
            version: Version(s.version),
        }
    }

    fn lose_answer(self, s: &mut State, at: usize) {
        s.losses += 1;
        let call = s.calls[at].id;
        let Some(router) = s.calls[at].from.take() else {
            return;
        };
        if s.calls[at].write.is_none() {
            s.calls.remove(at);
        }
        let answer = Answer::Failed { after: None };
        self.drive_claims(s, router, Input::Answer { call, answer });
    }

    fn forward(self, s: &mut State, at: usize, token: RequestId) {
        let mut grants = s.routers[at].grants.iter();
        let Some(found) = grants.position(|g| g.0 == token) else {
            return;
        };
        let (_, until) = s.routers[at].grants.remove(found);
        if s.now < until || self.flaw == Flaw::OldGrant {
            s.in_flight.push((token, s.now));
            s.routers[at].awaiting.push((token, until));
            return;
        }
        s.report_not_run(token, false);
        self.release_claim(s, at, token);
    }

    fn release_claim(self, s: &mut State, at: usize, token: RequestId) {
        let key = KEY;
        self.drive_claims(s, at, Input::Release { key, token });
    }

    fn refuse(self, s: &mut State, token: RequestId) {
        s.in_flight.retain(|w| w.0 != token);
        let Some((at, until)) = s.stop_awaiting(token) else {
            return;
        };
        s.report_not_run(token, s.now < until);
        self.release_claim(s, at, token);
    }

    fn cut_connection(self, s: &mut State, token: RequestId) {
        s.cuts += 1;
        let Some((at, until)) = s.stop_awaiting(token) else {
            return;
        };
        match self.flaw {
            Flaw::RetriesCut => s.in_flight.push((token, s.now)),
            Flaw::CutNotRun => s.report_not_run(token, s.now < until),
            _ => s.report(token, Report::MayHaveRun),
        }
        if self.flaw == Flaw::ReleasesCut {
            self.release_claim(s, at, token);
        }
    }

    fn crash_router(s: &mut State, at: usize) {
        s.crashes += 1;
        s.routers[at] = Self::router();
        // Reads of the crashed router are lost; its writes may still take effect.
        s.calls.retain(|c| c.from != Some(at) || c.write.is_some());
        for call in &mut s.calls {
            call.from.take_if(|r| *r == at);
        }
    }

    fn advance_time(s: &mut State, time: Duration) {
        s.now = s.now + time;
        // Assumption on the network and on paused agents: a forwarded request is accepted before
        // its claim can be dropped, or never.
        let policy = Self::policy();
        let max_transit = policy.retention().saturating_sub(policy.life);
        let now = s.now;
        s.in_flight.retain(|w| now.since(w.1) < max_transit);
    }

    fn may_advance_epoch(self, s: &State) -> bool {
        let period = Self::policy().period;
        let watched = s.epoch_since.is_none_or(|at| s.now.since(at) >= period);
        // Advancing the epoch makes no difference while no claim is held.
        let useful = s.object(0).as_ref().is_some_and(|o| !o.1.is_empty());
        useful && (watched || self.flaw == Flaw::EarlyEpoch)
    }

    fn advance_epoch(s: &mut State) {
        let number = s.object(EPOCH).as_ref().map_or(0, |o| o.1.epoch());
        s.put(EPOCH, Shard::of_epoch(number + 1));
    }

    fn apply(self, s: &State, step: &Step) -> State {
        let mut s = s.clone();
        match *step {
            Step::Send(at) => self.send_request(&mut s, at),
            Step::Serve(at) => self.serve_call(&mut s, at),
            Step::Lose(at) => self.lose_answer(&mut s, at),
            Step::Tick(at) => self.drive_claims(&mut s, at, Input::Tick),
            Step::Forward(at, token) => self.forward(&mut s, at, token),
            Step::Run(token) => s.run(token),
            Step::Refuse(token) => self.refuse(&mut s, token),
            Step::Cut(token) => self.cut_connection(&mut s, token),
            Step::Crash(at) => Self::crash_router(&mut s, at),
            Step::Stride => {
                s.strides += 1;
                Self::advance_time(&mut s, STRIDE);
            }
            Step::Nap => {
                s.naps += 1;
                Self::advance_time(&mut s, NAP);
            }
            Step::Roll => Self::advance_epoch(&mut s),
        }
        s
    }
}

impl Model for Once {
    type State = State;
    type Step = Step;

    fn initial_state(&self) -> State {
        State {
            now: Instant::ZERO,
            version: 0,
            shard: None,
            epoch: None,
            epoch_since: None,
            routers: [Self::router(), Self::router()],
            calls: Vec::new(),
            in_flight: Vec::new(),
            runs: Vec::new(),
            reports: BTreeSet::new(),
            false_report: false,
            submissions: Vec::new(),
            ran_twice: false,
            losses: 0,
            crashes: 0,
            strides: 0,
            naps: 0,
            cuts: 0,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = Vec::new();
        self.router_steps(state, 0, &mut steps);
        self.router_steps(state, 1, &mut steps);
        for (i, call) in state.calls.iter().enumerate() {
            steps.push(Step::Serve(i));
            if call.from.is_some() && state.losses < self.losses {
                steps.push(Step::Lose(i));
            }
        }
        for (token, _) in &state.in_flight {
            steps.push(Step::Run(*token));
            let open = state.is_awaited(*token);
            if open {
                steps.push(Step::Refuse(*token));
            }
            if open && state.cuts < self.cuts {
                steps.push(Step::Cut(*token));
            }
        }
        if state.strides < self.strides {
            steps.push(Step::Stride);
        }
        if state.naps < self.naps {
            steps.push(Step::Nap);
        }
        if self.may_advance_epoch(state) {
            steps.push(Step::Roll);
        }
        let next = steps.into_iter().map(|step| {
            let next = self.apply(state, &step);
            (step, next)
        });
        next.collect()
    }

    fn violations(&self, state: &State) -> Vec<&'static str> {
        let mut bad = Vec::new();
        if state.ran_twice {
            bad.push(RAN_TWICE);
        }
        let mut told = state.reports.iter();
        if told.any(|(t, w)| *w == Report::NotRun && state.runs.contains(t)) {
            bad.push(FALSE_NOT_RUN);
        }
        if state.false_report {
            bad.push(FALSE_NOT_RUN_OF_KEY);
        }
        bad
    }
}
