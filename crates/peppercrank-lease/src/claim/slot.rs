// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The claims of one shard that are under way.

use std::time::Duration;

use peppercrank_core::keys::RequestId;
use peppercrank_core::time::Instant;

use crate::claim::Action;
use crate::claim::Policy;
use crate::claim::Verdict;
use crate::claim::tell;
use crate::shard::ClaimKey;
use crate::shard::Shard;
use crate::store::Answer;
use crate::store::Base;
use crate::store::CallId;

/// What a write in flight does for an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Part {
    None,
    Adds,
    Removes,
}

/// One claim or release that is not settled.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Op {
    key: ClaimKey,
    token: RequestId,
    /// Whether a request waits for it; else its claim, if any, is to be removed.
    claims: bool,
    /// When it is given up.
    until: Instant,
    /// When a write first carried it.
    first: Option<Instant>,
    /// Whether a write that carried it may have taken effect unseen.
    lost: bool,
    part: Part,
}

impl Op {
    pub(super) fn claim(key: ClaimKey, token: RequestId, until: Instant) -> Self {
        Self {
            key,
            token,
            claims: true,
            until,
            first: None,
            lost: false,
            part: Part::None,
        }
    }

    /// Gives up a claim that waits; what the store may hold of it is kept on to be removed.
    fn refuse(&mut self, now: Instant, out: &mut Vec<Action>) {
        if !self.claims {
            return;
        }
        out.push(tell(self.token, Verdict::Unavailable));
        self.claims = false;
        self.until = now;
        if self.may_stand() {
            self.until = now + RELEASE;
        }
    }

    /// Whether the store may hold, or come to hold, a claim of this operation.
    fn may_stand(&self) -> bool {
        self.lost || self.part == Part::Adds
    }
}

/// The object as last read or written.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct View {
    version: Base,
    body: Shard,
}

/// The call in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Flight {
    call: CallId,
    sent: Instant,
    /// What is written; `None` for a read.
    write: Option<View>,
}

/// How the answer to a call leaves the shard.
pub(super) enum Landing {
    /// The store answers.
    Answered,
    /// The call failed; the store may ask to be left alone for a time.
    Failed(Option<Duration>),
}

/// The work on one shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct Slot {
    pub(super) ops: Vec<Op>,
    /// No call starts before.
    pub(super) again: Option<Instant>,
    view: Option<View>,
    flight: Option<Flight>,
    /// The version that the last write with an unknown fate rests on.
    lost: Option<Base>,
}

impl Slot {
    pub(super) fn is_idle(&self) -> bool {
        self.ops.is_empty() && self.flight.is_none()
    }

    pub(super) fn is_flying(&self) -> bool {
        self.flight.is_some()
    }

    pub(super) fn flies(&self, call: CallId) -> bool {
        self.flight.as_ref().is_some_and(|f| f.call == call)
    }

    pub(super) fn overdue(&self, now: Instant, policy: &Policy) -> bool {
        let flight = self.flight.as_ref();
        flight.is_some_and(|f| now.since(f.sent) >= policy.call)
    }

    pub(super) fn wake(&self, policy: &Policy) -> Option<Instant> {
        let flight = self.flight.as_ref().map(|f| f.sent + policy.call);
        let again = self.again.filter(|_| flight.is_none());
        let ops = self.ops.iter().map(|o| o.until);
        ops.chain(flight).chain(again).min()
    }

    /// The request that waits for a claim on the key.
    pub(super) fn claimant(&self, key: ClaimKey) -> Option<RequestId> {
        let op = self.ops.iter().find(|o| o.key == key && o.claims);
        op.map(|o| o.token)
    }

    /// Turns a waiting claim into a release, or adds a release of a claim made before.
    pub(super) fn release(&mut self, key: ClaimKey, token: RequestId, until: Instant) {
        let found = self
            .ops
            .iter()
            .position(|o| o.key == key && o.token == token);
        let Some(at) = found else {
            let mut op = Op::claim(key, token, until);
            op.claims = false;
            self.ops.push(op);
            return;
        };
        if !self.ops[at].may_stand() {
            self.ops.remove(at);
            return;
        }
        self.ops[at].claims = false;
        self.ops[at].until = until;
    }

    /// Gives up what cannot wait past `now`.
    pub(super) fn expire(&mut self, now: Instant, out: &mut Vec<Action>) {
        for op in &mut self.ops {
            if now >= op.until {
                op.refuse(op.until, out);
            }
        }
        self.ops.retain(|o| now < o.until);
    }

    /// Gives up every claim that waits.
    pub(super) fn refuse_all(&mut self, now: Instant, out: &mut Vec<Action>) {
        for op in &mut self.ops {
            op.refuse(now, out);
        }
        self.ops.retain(|o| now < o.until);
    }

    pub(super) fn get(&mut self, now: Instant, call: CallId, shard: u16) -> Action {
        self.flight = Some(Flight {
            call,
            sent: now,
            write: None,
        });
        Action::Get { call, shard }
    }

    /// The next call, if there is anything to call for.
    pub(super) fn next(
        &mut self,
        now: Instant,
        call: CallId,
        shard: u16,
        epoch: u32,
        policy: &Policy,
        out: &mut Vec<Action>,
    ) -> Option<Action> {
        if self.ops.is_empty() {
            self.view = None;
            return None;
        }
        let Some(view) = self.view.take() else {
            return Some(self.get(now, call, shard));
        };
        let mut body = view.body;
        body.reach(epoch, policy.generations);
        self.settle(now, view.version, &mut body, policy, out);
        if self.ops.is_empty() {
            return None;
        }
        let base = view.version;
        let write = View {
            version: base,
            body: body.clone(),
        };
        self.flight = Some(Flight {
            call,
            sent: now,
            write: Some(write),
        });
        Some(Action::Put {
            call,
            shard,
            base,
            body,
        })
    }

    /// Settles what the object as read decides, and enters the rest into `body`.
    fn settle(
        &mut self,
        now: Instant,
        version: Base,
        body: &mut Shard,
        policy: &Policy,
        out: &mut Vec<Action>,
    ) {
        // A write of unknown fate can only take effect while the version that it rests on stands.
        let pending = self.lost == Some(version);
        self.ops.retain_mut(|op| {
            let step = if op.claims {
                add(op, body, policy)
            } else {
                remove(op, body, pending)
            };
            match step {
                Step::Write(part) => {
                    op.part = part;
                    op.first.get_or_insert(now);
                    true
                }
                Step::Tell(verdict) => {
                    let until = op.first.unwrap_or(now) + policy.life;
                    out.push(tell(op.token, verdict.at(until)));
                    false
                }
                Step::Drop => false,
            }
        });
    }

    /// Takes the answer to the call in flight.
    pub(super) fn land(
        &mut self,
        answer: Answer<Shard>,
        policy: &Policy,
        out: &mut Vec<Action>,
    ) -> Landing {
        let Some(flight) = self.flight.take() else {
            return Landing::Answered;
        };
        match (flight.write, answer) {
            (None, Answer::Found { version, body }) => self.know(Some(version), body),
            (None, Answer::Absent) => self.know(None, Shard::default()),
            (Some(write), Answer::Written { version }) => {
                self.written(policy, out);
                self.know(Some(version), write.body)
            }
            (Some(_), Answer::Conflict { current }) => {
                self.unfly(false);
                let Some((version, body)) = current else {
                    return Landing::Answered;
                };
                self.know(Some(version), body)
            }
            (Some(write), answer) => {
                self.unfly(true);
                self.lost = Some(write.version);
                Landing::Failed(pause(&answer))
            }
            (None, answer) => Landing::Failed(pause(&answer)),
        }
    }

    fn know(&mut self, version: Base, body: Shard) -> Landing {
        if self.lost.is_some_and(|base| base != version) {
            self.lost = None;
        }
        self.view = Some(View { version, body });
        Landing::Answered
    }

    /// Ends the write in flight for its operations, `lost` when its fate is unknown.
    fn unfly(&mut self, lost: bool) {
        for op in &mut self.ops {
            op.lost |= lost && op.part != Part::None;
            op.part = Part::None;
        }
    }

    /// Settles the operations of a write that took effect.
    fn written(&mut self, policy: &Policy, out: &mut Vec<Action>) {
        self.ops.retain_mut(|op| {
            let part = std::mem::replace(&mut op.part, Part::None);
            match (part, op.claims) {
                (Part::Adds, true) => {
                    let until = op.first.unwrap_or_default() + policy.life;
                    out.push(tell(op.token, Verdict::Granted { until }));
                    false
                }
                (Part::Removes, _) => false,
                // It was given up while its claim was being written: the claim goes next.
                (Part::Adds, false) | (Part::None, _) => true,
            }
        });
    }
}

/// How long the removal of a claim that was given up is tried.
const RELEASE: Duration = Duration::from_secs(600);

/// What becomes of an operation in view of the object.
enum Step {
    Write(Part),
    Tell(Found),
    Drop,
}

/// What a claim found in the object.
enum Found {
    Own,
    Other,
    Full,
}

impl Found {
    fn at(self, until: Instant) -> Verdict {
        match self {
            Self::Own => Verdict::Granted { until },
            Self::Other => Verdict::Begun,
            Self::Full => Verdict::Unavailable,
        }
    }
}

fn add(op: &Op, body: &mut Shard, policy: &Policy) -> Step {
    match body.get(op.key) {
        // Only a write of ours with an unknown fate makes the token in the object ours to use:
        // else this is a second delivery, and the first has used it.
        Some(claim) if claim.token == op.token && op.lost => Step::Tell(Found::Own),
        Some(_) => Step::Tell(Found::Other),
        None if body.bytes() + crate::shard::CLAIM_BYTES > policy.bytes => Step::Tell(Found::Full),
        None => {
            body.add(op.key, op.token);
            Step::Write(Part::Adds)
        }
    }
}

fn remove(op: &Op, body: &mut Shard, pending: bool) -> Step {
    let stood = body.remove(op.key, op.token);
    // Writing anew over a write that may yet take effect keeps that one from doing so.
    if stood || (op.lost && pending) {
        return Step::Write(Part::Removes);
    }
    Step::Drop
}

fn pause(answer: &Answer<Shard>) -> Option<Duration> {
    match answer {
        Answer::Failed { after } => *after,
        _ => None,
    }
}
