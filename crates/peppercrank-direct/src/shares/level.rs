// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Max-min fair division of a rate (water-filling).

/// Demand of one organisation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// Estimated demand.
    pub demand: f64,
    /// Demand that is beyond doubt, by which the organisation is compared with others. Not more
    /// than `demand`.
    pub certain: f64,
}

impl Claim {
    /// Creates a claim on a demand that is known.
    #[must_use]
    pub const fn certain(demand: f64) -> Self {
        Self {
            demand,
            certain: demand,
        }
    }
}

/// Returns the level up to which the certain part of each demand is served, such that together the
/// demands take `room`; infinite if there is room for all. Of an organisation above the level, the
/// fraction `level / certain` is served. Sorts the claims. Whatever is not a number, or negative,
/// counts as no demand or no room.
///
/// # Examples
///
/// ```
/// use peppercrank_direct::shares::level::Claim;
/// use peppercrank_direct::shares::level::fair_level;
///
/// // The smallest leaves a part of its third to the two others.
/// let mut claims = [50.0, 10.0, 30.0].map(Claim::certain);
/// assert_eq!(fair_level(&mut claims, 60.0), 25.0);
/// ```
#[must_use]
pub fn fair_level(claims: &mut [Claim], room: f64) -> f64 {
    for claim in claims.iter_mut() {
        // Also replaces what is not a number.
        claim.demand = claim.demand.clamp(0.0, f64::MAX).max(0.0);
        claim.certain = claim.certain.clamp(0.0, f64::MAX).max(f64::MIN_POSITIVE);
    }
    claims.sort_unstable_by(|a, b| a.certain.total_cmp(&b.certain));
    let mut left = room.max(0.0);
    // What the claims that are left take at a level of 1.
    let mut slope = claims.iter().map(|c| c.demand / c.certain).sum::<f64>();
    for claim in claims {
        let level = left / slope;
        if claim.certain > level {
            return level;
        }
        left -= claim.demand;
        slope -= claim.demand / claim.certain;
    }
    f64::INFINITY
}
