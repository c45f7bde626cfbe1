// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What each follower of the store is for, how long its calls wait and how often they come.

use std::time::Duration;

use peppercrank_platform::store::Kind;

use crate::confirm::Confirmer;

/// Time that a question which confirms what is known of keys waits. What an answer confirms is as old
/// as the question, so questions that are answered at once keep the knowledge younger than the
/// same number of questions that wait.
const CONFIRM_WAIT: Duration = Duration::from_millis(1);

/// Time that the watch of the configuration waits, below the history that the store keeps. Changes end
/// it at once, and one that went silent does no harm: a version that another router tells of twice is
/// fetched.
const CONFIG_WAIT: Duration = Duration::from_secs(18);

/// Time that the watch of targets waits; a change ends it at once, and a connection that went
/// silent is noticed after it.
const TARGETS_WAIT: Duration = Duration::from_secs(5);

/// Time that the watch of routers waits: they change rarely, and datagrams tell who lives.
const ROUTERS_WAIT: Duration = Duration::from_secs(20);

/// Time that the watch of evacuations waits at a router that asks the store for others: a connection that went
/// silent is noticed after it, within half of the usual bound on evacuations.
const EVACUATIONS_WAIT: Duration = Duration::from_millis(2_500);

/// The same at a router that is told by others when it knows something else than they do; below the history that the store keeps.
const EVACUATIONS_WAIT_TOLD: Duration = Duration::from_secs(18);

/// Pause between calls for targets: each change ends a watch, and many come at once when a pool is
/// replaced. A leaving target gets work for this much longer, a fifth of the usual bound.
const TARGETS_PACE: Duration = Duration::from_millis(400);

/// The same for each router of a large fleet, as all of them call after each change.
const TARGETS_PACE_EACH: Duration = Duration::from_millis(25);

/// The longest pause between calls for targets: below half of the usual bound for a leaving target.
const TARGETS_PACE_MOST: Duration = Duration::from_millis(900);

/// Pause between confirmations of what is known of keys: below half of the usual bounds for a change to come
/// in force, and a fifth of the usual bound on keys.
const CONFIRM_PACE: Duration = Duration::from_millis(900);

/// Pause between watches of the configuration, so that a series of changes gathers: the first one is in
/// force at once, the next within a third of the usual bound.
const CONFIG_PACE: Duration = Duration::from_millis(700);

/// Pause between calls for evacuations, which are rare: a few that come together gather.
const EVACUATIONS_PACE: Duration = Duration::from_millis(300);

/// Pause between calls for routers, which are all registered within the first second of a fleet.
const ROUTERS_PACE: Duration = Duration::from_secs(2);

/// `Role` is what a follower is for.
#[derive(Debug, Clone)]
pub enum Role {
    /// Takes changes of the targets in as soon as they come.
    Targets,
    /// Takes changes of the routers in as soon as they come.
    Routers,
    /// Takes changes of the evacuated zones in as soon as they come.
    Evacuations(Confirmer),
    /// Takes changes of the configuration in as soon as they come, where others confirm it.
    Watches(Confirmer),
    /// Confirms again and again that the configuration is the newest, and finds out when the store is
    /// back after an outage.
    Confirms(Confirmer),
}

impl Role {
    /// `kind` is the kind of entries that it follows.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Targets => Kind::Targets,
            Self::Routers => Kind::Routers,
            Self::Evacuations(_) => Kind::Evacuations,
            Self::Watches(_) | Self::Confirms(_) => Kind::Configuration,
        }
    }

    /// `wait` is how long the store is asked to wait for a change.
    #[must_use]
    pub fn wait(&self) -> Duration {
        match self {
            Self::Targets => TARGETS_WAIT,
            Self::Routers => ROUTERS_WAIT,
            Self::Evacuations(confirmer) if confirmer.asks_store() => EVACUATIONS_WAIT,
            Self::Evacuations(_) => EVACUATIONS_WAIT_TOLD,
            Self::Watches(_) => CONFIG_WAIT,
            Self::Confirms(_) => CONFIRM_WAIT,
        }
    }

    /// `pace` is the pause between two calls in a fleet of so many routers.
    #[must_use]
    pub fn pace(&self, routers: usize) -> Duration {
        match self {
            Self::Targets => targets_pace(routers),
            Self::Routers => ROUTERS_PACE,
            Self::Evacuations(_) => EVACUATIONS_PACE,
            Self::Watches(_) => CONFIG_PACE,
            Self::Confirms(_) => CONFIRM_PACE,
        }
    }
}

fn targets_pace(routers: usize) -> Duration {
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    let all = TARGETS_PACE_EACH.saturating_mul(routers);
    all.clamp(TARGETS_PACE, TARGETS_PACE_MOST)
}
