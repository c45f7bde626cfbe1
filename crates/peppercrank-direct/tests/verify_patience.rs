// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How long a call to the store is left alone although other routers know more.

use std::time::Duration;

use peppercrank_direct::patience::Patience;

const QUICK: Duration = Duration::from_millis(50);
const SLOW: Duration = Duration::from_millis(900);

/// Returns the patience after this many calls were replaced.
fn after(replaced: u32) -> Patience {
    let mut patience = Patience::default();
    for _ in 0..replaced {
        patience.record_replaced();
    }
    patience
}

/// Guards against a router that replaces each call to a slow store.
#[test]
fn verify_patience_grows_until_a_slow_store_is_heard() {
    assert_eq!(after(0).time(), Duration::ZERO);
    for replaced in 1..5 {
        assert_eq!(after(replaced + 1).time(), after(replaced).time() * 2);
    }
    // It stays finite however long the store is away.
    assert_eq!(after(1_000).time(), after(5).time());
}

/// Guards against a silent connection that is noticed late, long after the store was slow.
#[test]
fn verify_patience_ends_with_a_quick_answer() {
    let mut patience = after(4);
    patience.record_answered(SLOW);
    assert_eq!(patience, after(1));
    patience.record_answered(QUICK);
    assert_eq!(patience, after(0));
    patience.record_answered(SLOW);
    assert_eq!(patience, after(0));
}
