// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The rule by which one claim on a member prevails over another.

use crate::message::Incarnation;
use crate::message::State;

/// `Verdict` is what to do with a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It says nothing new.
    Ignore,
    /// It is to be held, as given.
    Adopt(State),
}

/// `judge` weighs a claim of gossip against what is held.
///
/// A claim of a later incarnation prevails, then the later [`State`]. One exception: a death
/// that comes as a surprise becomes a suspicion, so that its subject can still refute. Where a
/// member truly failed, its suspicion has nearly always arrived before its death.
#[must_use]
pub fn judge(held: (Incarnation, State), claim: (Incarnation, State)) -> Verdict {
    let later = claim.0 > held.0;
    let graver = claim.0 == held.0 && claim.1 > held.1;
    if !later && !graver {
        return Verdict::Ignore;
    }
    if claim.1 == State::Dead && held.1 == State::Alive {
        return Verdict::Adopt(State::Suspect);
    }
    Verdict::Adopt(claim.1)
}

/// `refute` is the incarnation above a claim on this very process, if the claim needs one.
#[must_use]
pub fn refute(own: Incarnation, claim: (Incarnation, State)) -> Option<Incarnation> {
    let accused = claim.0 == own && claim.1 != State::Alive;
    if claim.0 <= own && !accused {
        return None;
    }
    if claim.0.boot > own.boot {
        // This start's number lies below an earlier one's: the wall clock went back.
        let boot = claim.0.boot.saturating_add(1);
        return Some(Incarnation { boot, turn: 0 });
    }
    let turn = claim.0.turn.saturating_add(1);
    Some(Incarnation {
        boot: own.boot,
        turn,
    })
}
