// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Which targets a request may be sent to at all, before their costs are weighed.

use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::admission::MIN_RETRY_AFTER;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::directory::WithheldReason;
use peppercrank_direct::warm_up::Allowance;
use peppercrank_direct::warm_up::Opens;
use peppercrank_direct::warm_up::fleet_budget;
use peppercrank_settings::GatewaySettings;

use crate::job::Job;
use crate::refuse::Reason;
use crate::state::State;

/// `Rejection` is why a request is sent to no target, and when its caller should return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// The reason for which it is refused.
    pub reason: Reason,
    /// Time after which it may fare better.
    pub after: Duration,
}

impl Rejection {
    /// `now` is a refusal of which no more is known.
    pub(crate) const fn now(reason: Reason) -> Self {
        let after = MIN_RETRY_AFTER;
        Self { reason, after }
    }
}

/// `Eligible` are the targets of a pool that take new work, as one request sees them.
#[derive(Debug, Default)]
pub struct Eligible {
    /// It may be sent to these.
    pub open: Vec<TargetKey>,
    /// It may not: they are in a region in which it must not run, or are cold and get what they bear.
    pub withheld: Vec<TargetKey>,
}

/// `find` finds the targets that a request may be sent to.
///
/// # Errors
///
/// Returns the reason for which there are none.
pub fn find(
    state: &mut State,
    now: Instant,
    job: &Job,
    settings: &GatewaySettings,
) -> Result<Eligible, Rejection> {
    if !state.directory.evacuations.is_listed() {
        return Err(Rejection::now(Reason::Evacuated));
    }
    let usable = state.directory.pool(now, &job.pool);
    let allowed = |key: &TargetKey| is_allowed(state, job, settings, *key);
    let (allowed, withheld) = usable.into_iter().partition::<Vec<_>, _>(allowed);
    if allowed.is_empty() {
        return match why_none(state, now, job, settings, !withheld.is_empty()) {
            Some(rejection) => Err(rejection),
            None => Ok(Eligible::default()),
        };
    }
    let mut eligible = Eligible {
        open: Vec::with_capacity(allowed.len()),
        withheld,
    };
    keep_from_cold(state, now, job, settings, allowed, &mut eligible)?;
    Ok(eligible)
}

/// Why no target of the pool may be sent a request, though there are some; `others` tells whether some take work in regions in which it
/// must not run.
fn why_none(
    state: &State,
    now: Instant,
    job: &Job,
    settings: &GatewaySettings,
    others: bool,
) -> Option<Rejection> {
    let finishing = state.directory.draining(now, &job.pool);
    let finishing = finishing.collect::<Vec<_>>();
    let allowed = finishing
        .iter()
        .filter(|(key, _)| is_allowed(state, job, settings, *key));
    let pauses = allowed.filter_map(|(_, why)| match why {
        WithheldReason::Paused(until) => Some(until.since(now)),
        _ => None,
    });
    if let Some(after) = pauses.min() {
        let reason = Reason::Paused;
        return Some(Rejection { reason, after });
    }
    if others {
        return Some(Rejection::now(Reason::NoRegion));
    }
    let evacuated = finishing
        .iter()
        .any(|(_, why)| *why == WithheldReason::Evacuated);
    evacuated.then(|| Rejection::now(Reason::Evacuated))
}

/// `is_allowed` tells whether a request may run in a target's region.
#[must_use]
pub fn is_allowed(state: &State, job: &Job, settings: &GatewaySettings, key: TargetKey) -> bool {
    let target = state.directory.get(key);
    let zone = target.map(|t| &*t.registration.zone);
    let region = zone.and_then(|zone| settings.regions.get(zone));
    job.regions.allows(region.map(String::as_str))
}

/// Keeps a request from cold targets that get what they bear.
fn keep_from_cold(
    state: &mut State,
    now: Instant,
    job: &Job,
    settings: &GatewaySettings,
    allowed: Vec<TargetKey>,
    eligible: &mut Eligible,
) -> Result<(), Rejection> {
    let Some(warm_up) = job.warm_up else {
        eligible.open = allowed;
        return Ok(());
    };
    let allowance = Allowance {
        overage: settings.warm_up.overage,
        slack: settings.warm_up.slack,
    };
    let requests = fleet_budget(&warm_up, &allowance);
    let blind = state.gate.is_stale(now, state.away);
    let routers = state.sharers(now);
    let mut soonest = warm_up.duration;
    for key in allowed {
        if !blind && now >= state.cold_until(key, warm_up.duration) {
            eligible.open.push(key);
            continue;
        }
        let Some(target) = state.directory.get(key) else {
            continue;
        };
        let name = target.registration.placement_id();
        match state.gate.opens(now, (key, name), requests, routers) {
            Opens::Now => eligible.open.push(key),
            Opens::After(time) => {
                soonest = soonest.min(time);
                eligible.withheld.push(key);
            }
            Opens::Never => eligible.withheld.push(key),
        }
    }
    if eligible.open.is_empty() {
        return Err(Rejection {
            reason: Reason::WarmingUp,
            after: soonest,
        });
    }
    Ok(())
}
