// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A prefix that was refused once does not stay spread for ever.

use peppercrank_core::keys::PrefixKey;
use peppercrank_core::time::Instant;
use peppercrank_route::Spread;

const RARE: PrefixKey = PrefixKey(1);
const OTHER: PrefixKey = PrefixKey(2);

fn at(seconds: u64) -> Instant {
    Instant::from_millis(seconds * 1_000)
}

#[test]
fn verify_a_spread_fades_with_time() {
    // Seconds after two refusals, and the breadth then.
    let cases = [(0, 4), (60, 3), (120, 2), (200, 1), (86_400, 1)];
    for (after, breadth) in cases {
        let mut spread = Spread::new(64);
        spread.refused(at(10), RARE);
        spread.refused(at(10), RARE);
        // The news of any prefix tells the time.
        spread.admitted(at(10 + after), OTHER);
        assert_eq!(spread.breadth(Some(RARE)), breadth, "after {after} s");
    }
}

#[test]
fn verify_a_prefix_that_stays_hot_stays_spread() {
    let mut spread = Spread::new(64);
    for second in 0..3_600 {
        spread.refused(at(second), RARE);
    }
    assert_eq!(spread.breadth(Some(RARE)), 4_096);
    // A clock that goes back makes nothing older.
    spread.admitted(at(0), OTHER);
    assert_eq!(spread.breadth(Some(RARE)), 4_096);
    spread.admitted(at(3_599 + 12 * 120), RARE);
    assert_eq!(spread.breadth(Some(RARE)), 1);
}
