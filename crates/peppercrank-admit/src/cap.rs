// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The load that a target may carry.

use peppercrank_core::blackboard::MeanLoad;
use peppercrank_core::objects::PoolPolicy;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;

use crate::ceiling::Ceiling;
use crate::settings::MILLE;
use crate::settings::Settings;

/// Least and greatest multiple of the mean that a policy may set.
const MULTIPLES: (f64, f64) = (1.0, 10.0);

/// `Cap` works out the load that a target may carry from the mean that it knows.
///
/// The cap is `max(floor, multiple × mean)`, the mean taken for the target's weight, and never above the target's ceiling. A
/// mean that is older than the truth errs low while load rises, which refuses too early, and
/// high while load falls, which admits too much. Only the second endangers the bound, so a mean
/// counts in full for [`Settings::fresh`], fades evenly, and counts for nothing from
/// [`Settings::stale`] on: then the floor alone is left.
#[derive(Debug, Clone)]
pub struct Cap {
    multiple: u64,
    floor: Cost,
    weight: u32,
    ceiling: Ceiling,
    fresh: u128,
    stale: u128,
    mean: Option<MeanLoad>,
}

impl Cap {
    /// `new` starts with no mean: the floor alone counts.
    #[must_use]
    pub fn new(settings: &Settings, policy: &PoolPolicy) -> Self {
        Self {
            multiple: multiple(policy.cap),
            floor: policy.floor,
            weight: settings.weight,
            ceiling: Ceiling::new(settings.ceiling),
            fresh: settings.fresh.as_millis(),
            stale: settings.stale.as_millis(),
            mean: None,
        }
    }

    /// `apply` puts a changed policy in force.
    pub fn apply(&mut self, policy: &PoolPolicy) {
        self.multiple = multiple(policy.cap);
        self.floor = policy.floor;
    }

    /// `weigh` sets the target's relative capacity.
    pub fn weigh(&mut self, weight: u32) {
        self.weight = weight;
    }

    /// `hear` takes a mean in, unless a newer one is known.
    pub fn hear(&mut self, now: Instant, mean: MeanLoad) {
        // A moment to come would keep the mean fresh for ever.
        let at = mean.updated_at.min(now);
        if self.mean.is_some_and(|known| known.updated_at > at) {
            return;
        }
        self.mean = Some(MeanLoad {
            updated_at: at,
            ..mean
        });
    }

    /// `hear_engine` takes in what the engine itself runs and keeps waiting.
    pub fn hear_engine(&mut self, running: u32, waiting: u32, reserved: Cost) {
        self.ceiling.hear(running, waiting, reserved, self.floor);
    }

    /// `ceiling` is the load that the target can carry at all.
    #[must_use]
    pub fn ceiling(&self) -> Cost {
        self.ceiling.cost(self.floor)
    }

    /// `at` is the load that the target may carry at `now`.
    #[must_use]
    pub fn at(&self, now: Instant) -> Cost {
        if self.weight == 0 {
            return Cost::ZERO;
        }
        let mean = u128::from(self.faded(now).0);
        let product = mean * u128::from(self.multiple) / u128::from(MILLE);
        let relative = Cost(u64::try_from(product).unwrap_or(u64::MAX));
        relative.max(self.floor).min(self.ceiling())
    }

    /// `is_closed` tells whether the target's weight lets it take nothing.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.weight == 0
    }

    /// `is_stale` tells whether no mean is known that counts in full.
    #[must_use]
    pub fn is_stale(&self, now: Instant) -> bool {
        let age = self.mean.map(|mean| now.since(mean.updated_at).as_millis());
        age.is_none_or(|age| age > self.fresh)
    }

    /// The known mean for this target's weight, less what its age takes from it.
    fn faded(&self, now: Instant) -> Cost {
        let Some(mean) = self.mean else {
            return Cost::ZERO;
        };
        let age = now.since(mean.updated_at).as_millis();
        if age <= self.fresh {
            return mean.for_weight(self.weight);
        }
        if age >= self.stale {
            return Cost::ZERO;
        }
        let left = self.stale - age;
        let span = self.stale - self.fresh;
        let cost = u128::from(mean.for_weight(self.weight).0).saturating_mul(left) / span;
        Cost(u64::try_from(cost).unwrap_or(u64::MAX))
    }
}

/// A policy's multiple in thousandths; one that is out of range or no number is drawn into it.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to 1 to 10 before it is scaled"
)]
fn multiple(cap: f64) -> u64 {
    let (least, most) = MULTIPLES;
    let cap = if cap.is_finite() { cap } else { least };
    (cap.clamp(least, most) * 1_000.0).round() as u64
}
