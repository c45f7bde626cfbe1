// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How long a call to the store is left alone although other routers know more.

use std::time::Duration;

use peppercrank_direct::call_backoff::CallBackoff;

const QUICK: Duration = Duration::from_millis(50);
const SLOW: Duration = Duration::from_millis(900);

/// Returns the backoff after this many calls were replaced.
fn after(replaced: u32) -> CallBackoff {
    let mut backoff = CallBackoff::default();
    for _ in 0..replaced {
        backoff.record_replaced();
    }
    backoff
}

/// Guards against a router that replaces each call to a slow store.
#[test]
fn verify_the_delay_grows_until_a_slow_store_is_heard() {
    assert_eq!(after(0).delay(), Duration::ZERO);
    for replaced in 1..5 {
        assert_eq!(after(replaced + 1).delay(), after(replaced).delay() * 2);
    }
    // It stays finite however long the store is away.
    assert_eq!(after(1_000).delay(), after(5).delay());
}

/// Guards against a silent connection that is noticed late, long after the store was slow.
#[test]
fn verify_the_delay_ends_with_a_quick_answer() {
    let mut backoff = after(4);
    backoff.record_answered(SLOW);
    assert_eq!(backoff, after(1));
    backoff.record_answered(QUICK);
    assert_eq!(backoff, after(0));
    backoff.record_answered(SLOW);
    assert_eq!(backoff, after(0));
}
