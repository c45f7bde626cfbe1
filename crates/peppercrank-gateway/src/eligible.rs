// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Selects the targets that a request may be sent to at all, before their costs are compared.

use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::admission::MIN_RETRY_AFTER;
use peppercrank_direct::desired::RouteKind;
use peppercrank_direct::directory::TargetKey;
use peppercrank_direct::directory::WithheldReason;
use peppercrank_direct::origins::SoftwareVersion;
use peppercrank_direct::warm_up::Allowance;
use peppercrank_direct::warm_up::Opens;
use peppercrank_direct::warm_up::fleet_budget;
use peppercrank_settings::GatewaySettings;

use crate::job::Job;
use crate::refuse::Reason;
use crate::state::State;

/// Why a request is sent to no target, and when its caller should retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Why no target can be used, as it is told to the caller.
    pub reason: Reason,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

impl Rejection {
    /// Creates a rejection with the shortest retry delay, for lack of a better estimate.
    pub(crate) const fn with_default_delay(reason: Reason) -> Self {
        let retry_after = MIN_RETRY_AFTER;
        Self {
            reason,
            retry_after,
        }
    }
}

/// The targets of a pool that accept new work, as one request sees them.
#[derive(Debug, Default)]
pub struct Eligible {
    /// Targets that the request may be sent to.
    pub candidates: Vec<TargetKey>,
    /// Targets that it may not be sent to: they are in a region in which it must not run, run
    /// another software version than the one that began its stream, or are cold and already get as
    /// many requests as they can take.
    pub withheld: Vec<TargetKey>,
    /// Whether some of the withheld targets run another software version.
    pub is_bound: bool,
}

/// Returns the targets that a request may be sent to, of the given software version if any.
///
/// # Errors
///
/// Returns the reason and the retry delay when there are none.
pub fn find(
    state: &mut State,
    now: Instant,
    job: &Job,
    settings: &GatewaySettings,
    version: Option<SoftwareVersion>,
) -> Result<Eligible, Rejection> {
    if !state.directory.evacuations.is_listed() {
        return Err(Rejection::with_default_delay(Reason::Evacuated));
    }
    let usable = state.directory.pool(now, &job.pool);
    let allowed = |key: &TargetKey| is_allowed(state, job, settings, *key);
    let (allowed, withheld) = usable.into_iter().partition::<Vec<_>, _>(allowed);
    if allowed.is_empty() {
        return match no_candidate_reason(state, now, job, settings, !withheld.is_empty()) {
            Some(rejection) => Err(rejection),
            None => Ok(Eligible::default()),
        };
    }
    let mut eligible = Eligible {
        candidates: Vec::new(),
        withheld,
        is_bound: false,
    };
    let allowed = match version {
        Some(version) => withhold_other_versions(state, version, allowed, &mut eligible)?,
        None => withhold_unrecorded_versions(state, now, job, allowed, &mut eligible)?,
    };
    eligible.candidates.reserve(allowed.len());
    apply_warm_up(state, now, job, settings, allowed, &mut eligible)?;
    Ok(eligible)
}

/// Returns why the pool has no target that the request may be sent to; `None` if none of its
/// targets is paused, evacuated or excluded by region. `excluded_by_region` tells whether some
/// targets accept work in regions in which the request must not run.
fn no_candidate_reason(
    state: &State,
    now: Instant,
    job: &Job,
    settings: &GatewaySettings,
    excluded_by_region: bool,
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
    if let Some(retry_after) = pauses.min() {
        let reason = Reason::Paused;
        return Some(Rejection {
            reason,
            retry_after,
        });
    }
    if excluded_by_region {
        return Some(Rejection::with_default_delay(Reason::NoRegion));
    }
    let evacuated = finishing
        .iter()
        .any(|(_, why)| *why == WithheldReason::Evacuated);
    evacuated.then(|| Rejection::with_default_delay(Reason::Evacuated))
}

/// Returns whether a request may run in a target's region.
#[must_use]
pub fn is_allowed(state: &State, job: &Job, settings: &GatewaySettings, key: TargetKey) -> bool {
    let target = state.directory.get(key);
    let zone = target.map(|t| &*t.registration.zone);
    let region = zone.and_then(|zone| settings.regions.get(zone));
    job.regions.allows(region.map(String::as_str))
}

/// Returns the targets that run a software version, and withholds the others.
fn withhold_other_versions(
    state: &State,
    version: SoftwareVersion,
    allowed: Vec<TargetKey>,
    eligible: &mut Eligible,
) -> Result<Vec<TargetKey>, Rejection> {
    let same = |key: &TargetKey| runs_version(state, *key, Some(version));
    let (same, others) = allowed.into_iter().partition::<Vec<_>, _>(same);
    if same.is_empty() {
        return Err(Rejection::with_default_delay(Reason::VersionGone));
    }
    eligible.is_bound = !others.is_empty();
    eligible.withheld.extend(others);
    Ok(same)
}

/// Withholds the targets whose software version is not on record yet. Streams that may be resumed
/// must not begin there, as routers conclude from the record where a stream began, also after all
/// have started again. While the store is down, they begin there if no target of a version on
/// record is left at which they might be taken up, and in a pool with one version if the records
/// were never read.
fn withhold_unrecorded_versions(
    state: &State,
    now: Instant,
    job: &Job,
    allowed: Vec<TargetKey>,
    eligible: &mut Eligible,
) -> Result<Vec<TargetKey>, Rejection> {
    let is_resumable = matches!(job.kind, RouteKind::Stream { resumable: true });
    let can_be_recorded = state.version_records.are_known();
    if !is_resumable || !(can_be_recorded || state.may_cross_versions(now, &job.pool)) {
        return Ok(allowed);
    }
    let is_recorded = |key: &TargetKey| {
        let target = state.directory.get(*key);
        let records = &state.version_records;
        target.is_some_and(|t| records.is_confirmed(&job.pool, t.software))
    };
    let (recorded, others) = allowed.into_iter().partition::<Vec<_>, _>(is_recorded);
    if !recorded.is_empty() {
        eligible.withheld.extend(others);
        return Ok(recorded);
    }
    let mut leaving = state.directory.draining(now, &job.pool);
    let is_left = leaving.any(|(key, _)| is_recorded(&key));
    if state.directory.is_store_down() && can_be_recorded && !is_left {
        return Ok(others);
    }
    Err(Rejection::with_default_delay(Reason::VersionUnrecorded))
}

/// Returns whether a target runs the given software version; always true if none is given.
#[must_use]
pub fn runs_version(state: &State, key: TargetKey, version: Option<SoftwareVersion>) -> bool {
    let runs = |version| {
        let target = state.directory.get(key);
        target.is_some_and(|t| t.software == version)
    };
    version.is_none_or(runs)
}

/// Excludes cold targets that already get as many requests as they can take. When the router may
/// have missed restarts, it treats all targets as cold.
fn apply_warm_up(
    state: &mut State,
    now: Instant,
    job: &Job,
    settings: &GatewaySettings,
    allowed: Vec<TargetKey>,
    eligible: &mut Eligible,
) -> Result<(), Rejection> {
    let Some(warm_up) = job.warm_up else {
        eligible.candidates = allowed;
        return Ok(());
    };
    let allowance = Allowance {
        rate_factor: settings.warm_up.overage,
        slack: settings.warm_up.slack,
    };
    let request_limit = fleet_budget(&warm_up, &allowance);
    let cold_state_unknown = state.warm_up_gate.is_stale(now, state.store_down_since);
    let routers = state.router_count(now);
    let mut min_delay = warm_up.duration;
    for key in allowed {
        if !cold_state_unknown && now >= state.cold_until(key, warm_up.duration) {
            eligible.candidates.push(key);
            continue;
        }
        let Some(target) = state.directory.get(key) else {
            continue;
        };
        let name = target.registration.placement_id();
        match state
            .warm_up_gate
            .opens(now, (key, name), request_limit, routers)
        {
            Opens::Now => eligible.candidates.push(key),
            Opens::After(delay) => {
                min_delay = min_delay.min(delay);
                eligible.withheld.push(key);
            }
            Opens::Never => eligible.withheld.push(key),
        }
    }
    if eligible.candidates.is_empty() {
        return Err(Rejection {
            reason: Reason::WarmingUp,
            retry_after: min_delay,
        });
    }
    Ok(())
}
