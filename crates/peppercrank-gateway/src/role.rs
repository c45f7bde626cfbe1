// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The roles of the store's followers: how long their calls wait and how often they are made.

use std::time::Duration;

use peppercrank_platform::store::Kind;

use crate::confirm::Confirmer;

/// Wait of calls that confirm what is known about keys. An answer confirms the state at the time at
/// which the call was made, so the known state is fresher with calls that are answered at once than
/// with the same number of calls that wait for a change.
pub const CONFIRM_WAIT: Duration = Duration::from_millis(1);

/// Wait of the configuration watch, below the history that the store keeps. Changes end it at once.
/// A connection that silently broke does no harm: a version that another router reports twice is
/// fetched.
const CONFIG_WAIT: Duration = Duration::from_secs(18);

/// Wait of the targets watch. Changes end it at once. A connection that silently broke is noticed
/// after it at the latest.
const TARGETS_WAIT: Duration = Duration::from_secs(5);

/// Wait of the routers watch. Routers change rarely, and datagrams show which are alive.
const ROUTERS_WAIT: Duration = Duration::from_secs(20);

/// Wait of the evacuations watch at a router that confirms with the store for others. A connection
/// that silently broke is noticed after it at the latest, and other routers hear of the evacuation
/// only then.
const EVACUATIONS_WAIT: Duration = Duration::from_millis(2_500);

/// Wait of the evacuations watch at a router that other routers tell when its evacuations differ
/// from theirs. It is below the history that the store keeps.
const EVACUATIONS_WAIT_CONFIRMED: Duration = Duration::from_secs(18);

/// Pause between calls for targets. Each change ends a watch, and many arrive together when a pool
/// is replaced. A leaving target gets work for up to this much longer, which is a fifth of the time
/// for which that is usually permitted.
const TARGETS_PACE: Duration = Duration::from_millis(400);

/// Pause between calls for targets per router of the fleet. The pause grows with the fleet because
/// all routers call after each change.
const TARGETS_PACE_PER_ROUTER: Duration = Duration::from_millis(25);

/// Maximum pause between calls for targets. It is below half of the time for which a leaving target
/// is usually permitted to get work.
const MAX_TARGETS_PACE: Duration = Duration::from_millis(900);

/// Pause between confirmations of what is known about keys. It is below half of the time in which a
/// change usually has to take effect, and a fifth of the time after which a revoked key must
/// usually no longer be accepted.
const CONFIRM_PACE: Duration = Duration::from_millis(900);

/// Pause between watches of the configuration, so that a series of changes is read together: the
/// first takes effect at once, the next within a third of the time in which a change usually has to
/// take effect.
const CONFIG_PACE: Duration = Duration::from_millis(700);

/// Pause between calls for evacuations. They are rare, and several made together are read at once.
const EVACUATIONS_PACE: Duration = Duration::from_millis(300);

/// Pause between calls for routers. All of a fleet's routers register within its first second.
const ROUTERS_PACE: Duration = Duration::from_secs(2);

/// What a follower of the store does.
#[derive(Debug, Clone)]
pub enum FollowerRole {
    /// Applies changes of the targets as soon as they occur.
    Targets,
    /// Applies changes of the routers as soon as they occur.
    Routers,
    /// Applies changes of the evacuated availability zones as soon as they occur.
    Evacuations(Confirmer),
    /// Applies changes of the configuration as soon as they occur, while other routers confirm it.
    WatchConfiguration(Confirmer),
    /// Periodically confirms that the configuration is the newest, and detects the store's recovery
    /// after an outage.
    ConfirmConfiguration(Confirmer),
}

impl FollowerRole {
    /// Returns the kind of entries that it follows.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Targets => Kind::Targets,
            Self::Routers => Kind::Routers,
            Self::Evacuations(_) => Kind::Evacuations,
            Self::WatchConfiguration(_) | Self::ConfirmConfiguration(_) => Kind::Configuration,
        }
    }

    /// Returns how long the store is asked to wait for a change.
    #[must_use]
    pub fn wait(&self) -> Duration {
        match self {
            Self::Targets => TARGETS_WAIT,
            Self::Routers => ROUTERS_WAIT,
            Self::Evacuations(confirmer) if confirmer.asks_store() => EVACUATIONS_WAIT,
            Self::Evacuations(_) => EVACUATIONS_WAIT_CONFIRMED,
            Self::WatchConfiguration(_) => CONFIG_WAIT,
            Self::ConfirmConfiguration(_) => CONFIRM_WAIT,
        }
    }

    /// Returns whether the end of the wait shows a silent connection too late for the time within
    /// which a change must take effect at all routers.
    #[must_use]
    pub const fn outlasts_its_bound(&self) -> bool {
        match self {
            // Routers that do not ask the store hear of evacuations from those that do.
            Self::Targets | Self::Evacuations(_) => true,
            // The configuration is confirmed beside its watch, and datagrams show which routers
            // live.
            Self::WatchConfiguration(_) | Self::Routers | Self::ConfirmConfiguration(_) => false,
        }
    }

    /// Returns the pause between two calls in a fleet of `routers` routers.
    #[must_use]
    pub fn pace(&self, routers: usize) -> Duration {
        match self {
            Self::Targets => targets_pace(routers),
            Self::Routers => ROUTERS_PACE,
            Self::Evacuations(_) => EVACUATIONS_PACE,
            Self::WatchConfiguration(_) => CONFIG_PACE,
            Self::ConfirmConfiguration(_) => CONFIRM_PACE,
        }
    }
}

fn targets_pace(routers: usize) -> Duration {
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    let all = TARGETS_PACE_PER_ROUTER.saturating_mul(routers);
    all.clamp(TARGETS_PACE, MAX_TARGETS_PACE)
}
