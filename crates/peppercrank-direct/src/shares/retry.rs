// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! When callers that a pool has no room for are told to return.

use std::time::Duration;

use crate::admission::MIN_RETRY_AFTER;
use crate::admission::TIME_LEFT_DIVISOR;

/// Divisor of the expected shortage that gives the mean delay. Callers return only once, and after
/// the whole time too late to be served in time.
const SHORTAGE_DIVISOR: u32 = 2;

/// Returns the delay after which a refused request with `left` time to its deadline should return,
/// where room is expected to lack for `shortage`.
///
/// Delays are spread by the request's hash between half and one and a half times the mean, so that
/// callers that were refused together do not meet again.
#[must_use]
pub fn retry_after(shortage: Duration, left: Duration, hash: u64) -> Duration {
    let mean = (shortage / SHORTAGE_DIVISOR).max(MIN_RETRY_AFTER);
    let most = (mean * 3 / 2).min(left / TIME_LEFT_DIVISOR);
    let least = (mean / 2).max(MIN_RETRY_AFTER).min(most / 2);
    let position = f64::from((hash >> 32) as u32) / f64::from(u32::MAX);
    least + most.saturating_sub(least).mul_f64(position)
}
