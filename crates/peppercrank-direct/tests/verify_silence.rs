// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! When a stream counts as silent.

use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::silence::Heard;
use peppercrank_direct::silence::Silence;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn verify_a_stream_is_silent_after_its_pause() {
    let start = Instant::ZERO;
    // The pause that is named, one that is too short to tell silence by, and none.
    for (pause, limit) in [(Some(800), 600), (Some(50), 300), (None, 1_000)] {
        let silence = Silence::new(start, pause.map(ms));
        let until = start + ms(limit);
        assert_eq!(silence.at(start), Heard::Until(until));
        assert_eq!(silence.at(start + ms(limit - 1)), Heard::Until(until));
        assert_eq!(silence.at(until), Heard::Silent);
    }
}

#[test]
fn verify_each_part_begins_the_pause_anew() {
    let start = Instant::ZERO;
    let mut silence = Silence::new(start, Some(ms(800)));
    silence.heard(start + ms(500));
    let until = start + ms(1_100);
    assert_eq!(silence.at(start + ms(900)), Heard::Until(until));
    assert_eq!(silence.at(until), Heard::Silent);
}
