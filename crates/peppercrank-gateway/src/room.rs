// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Room in the memory of targets, for pools whose targets fail when they hold too much.

use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::admission::MIN_RETRY_AFTER;
use peppercrank_direct::admission::TIME_LEFT_DIVISOR;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::directory::WithheldReason;
use peppercrank_direct::memory::Members;
use peppercrank_direct::memory::Need;
use peppercrank_direct::memory::PoolMemory;
use peppercrank_direct::memory::RoomCheck;
use peppercrank_direct::peers::TargetId;
use peppercrank_direct::place::Candidate;
use peppercrank_direct::rates::Rates;
use peppercrank_direct::warm_up::name_hash;

use crate::eligible::Rejection;
use crate::job::Job;
use crate::refuse::Reason;
use crate::state::RegisteredRouter;
use crate::state::State;

/// Time for which a registered router that is not heard from counts as one that sends requests.
const SILENT_FOR: Duration = Duration::from_secs(5);

/// Memory that a request needs, and that the targets of its pool have.
#[derive(Debug)]
pub struct Demand {
    need: Need,
    capacity: u64,
}

impl Demand {
    /// Returns the need of a request; `None` where memory is not bounded.
    ///
    /// # Errors
    ///
    /// Returns the rejection of a request whose prompt no target has the memory for.
    pub fn of(job: &Job) -> Result<Option<Self>, Rejection> {
        let Some(capacity) = job.target_memory else {
            return Ok(None);
        };
        let (prompt, output) = (job.prompt_tokens, job.max_output_tokens);
        match Need::new(prompt, output, job.shared_parts(), capacity) {
            Some(need) => Ok(Some(Self { need, capacity })),
            None => Err(Rejection::with_default_delay(Reason::TooLarge)),
        }
    }

    /// Returns the request's need.
    #[must_use]
    pub const fn need(&self) -> &Need {
        &self.need
    }

    /// Takes note of a request that arrived or is sent again, before its targets are checked.
    pub fn record(&self, state: &mut State, now: Instant, job: &Job, is_first: bool) {
        let known_routers = state.router_count(now);
        let mut memory = std::mem::take(&mut state.memory);
        if is_first {
            memory.record_arrival(now, &job.pool, &self.need);
        }
        let routers = &state.warm_up_gate.routers;
        let members = || members(state, now, &job.pool);
        memory.divide(
            now,
            &job.pool,
            self.capacity,
            routers,
            known_routers,
            members,
        );
        state.memory = memory;
    }

    /// Removes the candidates without room, and returns their keys. `targets` is the number of the
    /// pool's targets.
    #[must_use]
    pub fn remove_full(
        &self,
        state: &State,
        now: Instant,
        job: &Job,
        candidates: &mut Vec<Candidate>,
        targets: usize,
    ) -> Vec<TargetKey> {
        let rates = state.rates.get(&job.pool).copied().unwrap_or_default();
        let pool = PoolMemory {
            capacity: self.capacity,
            targets,
            routers: state.router_count(now),
            lag: state.peers.mean_age(now),
            hold_ms: rates.hold_ms(),
        };
        let check = state.memory.check(now, &job.pool, &pool, &self.need);
        let check = check.with_pool(candidates.iter().map(|c| (c.key, peers_in_flight(c))));
        let removed = candidates.extract_if(.., |c| !has_room(&check, c));
        removed.map(|c| c.key).collect()
    }
}

/// Returns the routers that send to a pool, and the targets that take new work, also those that asked
/// only this router for a pause.
fn members(state: &State, now: Instant, pool: &str) -> Members {
    let directory = &state.directory;
    let paused = directory.draining(now, pool);
    let paused = paused.filter(|(_, why)| matches!(why, WithheldReason::Paused(_)));
    let usable = directory.pool(now, pool).into_iter();
    let all = usable.chain(paused.map(|(key, _)| key));
    let mut targets = all
        .filter_map(|key| Some((directory.get(key)?.registration.placement_id(), key)))
        .collect::<Vec<_>>();
    targets.sort_unstable_by_key(|(id, _)| *id);
    let is_in_pool = |id: TargetId| {
        let key = state.keys_by_id.get(&id);
        let target = key.and_then(|key| directory.get(*key));
        target.is_some_and(|t| *t.registration.pool == *pool)
    };
    let is_busy = |router: &RegisteredRouter| {
        if state.peers.is_alive(now, router.address) {
            state.peers.targets_of(router.address).any(is_in_pool)
        } else {
            now.since(router.last_heard) < SILENT_FOR
        }
    };
    let busy = state.routers.iter().filter(|(_, r)| is_busy(r));
    let busy = busy.map(|(name, _)| name_hash(name)).collect();
    Members { busy, targets }
}

/// Returns the known number of the other routers' requests at a candidate.
fn peers_in_flight(candidate: &Candidate) -> u32 {
    let stats = &candidate.stats;
    // The load is what the target reports, where that is known and lower than the routers' counts.
    stats.load().saturating_sub(stats.in_flight)
}

fn has_room(check: &RoomCheck<'_>, candidate: &Candidate) -> bool {
    let peers = peers_in_flight(candidate);
    check.fits(candidate.key, peers)
}

/// Returns the rejection of a request that finds no room now: its caller returns after the time in
/// which a request ends, and so others make room.
#[must_use]
pub fn no_room(rates: &Rates, time_left: Duration) -> Rejection {
    let hold = Duration::from_secs_f64(rates.hold_ms().max(0.0) / 1_000.0);
    Rejection {
        reason: Reason::NoMemory,
        retry_after: hold.min(time_left / TIME_LEFT_DIVISOR).max(MIN_RETRY_AFTER),
    }
}
