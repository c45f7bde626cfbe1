// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The controller that writes targets and means to the blackboard.

use peppercrank_core::blackboard::Blackboard;
use peppercrank_core::blackboard::TargetState;
use peppercrank_core::names::TargetName;
use peppercrank_core::names::VmName;
use peppercrank_core::time::Instant;

use crate::description::Description;
use crate::input::Action;
use crate::input::Change;
use crate::members::Members;

/// `apply` writes a membership change to the blackboard; other actions pass.
///
/// A target that has moved to another VM is not touched by news of the VM that it left.
pub fn apply(board: &mut Blackboard, action: &Action) {
    let Action::Changed {
        change,
        leaving,
        member,
    } = action
    else {
        return;
    };
    let Some(agent) = member.agent() else {
        return;
    };
    match change {
        Change::Alive => put(board, member, live(*leaving)),
        Change::Updated if is_there(board, &agent.target, &member.vm) => {
            put(board, member, live(*leaving));
        }
        Change::Suspect if is_there(board, &agent.target, &member.vm) => {
            put(board, member, suspect(*leaving));
        }
        Change::Dead if is_there(board, &agent.target, &member.vm) => {
            put(board, member, TargetState::Dead);
        }
        Change::Left | Change::Forgotten if is_there(board, &agent.target, &member.vm) => {
            board.remove(&agent.target);
        }
        _ => {}
    }
}

/// `renew_means` writes the present means of all pools to the blackboard.
///
/// A pool of which nothing fresh is known keeps no mean: an old one would say too little in a
/// surge and too much after it.
pub fn renew_means(board: &mut Blackboard, members: &Members, now: Instant) {
    board.mean_loads = members.means(now);
}

const fn live(leaving: bool) -> TargetState {
    if leaving {
        TargetState::Leaving
    } else {
        TargetState::Live
    }
}

const fn suspect(leaving: bool) -> TargetState {
    if leaving {
        TargetState::Leaving
    } else {
        TargetState::Suspect
    }
}

/// Whether the target is known on this VM, or not known at all.
fn is_there(board: &Blackboard, target: &TargetName, vm: &VmName) -> bool {
    let key = board.keys_by_name.get(target);
    let known = key.and_then(|key| board.targets.get(*key));
    known.is_none_or(|t| t.vm == *vm)
}

fn put(board: &mut Blackboard, member: &Description, state: TargetState) {
    if let Some(target) = member.target(state) {
        board.upsert(target);
    }
}
