// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The embedding example: what it prints is what the parts promise.

#[expect(dead_code, reason = "its `main` prints what is asserted here")]
#[path = "../examples/embed.rs"]
mod embed;

#[test]
fn verify_the_example_keeps_the_promises() {
    let tally = embed::run();
    assert_eq!(tally.ran + tally.failed, 2_000, "{tally}");
    assert_eq!(tally.late, 0, "a leaving engine got new work: {tally}");
    assert!(tally.drained.is_some(), "{tally}");
    // One engine of three leaves once; all else should find its context nearly always.
    assert!(tally.met * 10 >= tally.returning * 9, "{tally}");
    assert!(tally.ran >= 1_980, "{tally}");
}
