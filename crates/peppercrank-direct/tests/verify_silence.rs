// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Detection of stalled streams.

use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::silence::SilenceDetector;
use peppercrank_direct::silence::StreamState;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn verify_a_stream_is_silent_after_its_pause() {
    let start = Instant::ZERO;
    // A pause set by the route, one that is too short to detect silence by, and none.
    for (pause, limit) in [(Some(800), 600), (Some(50), 300), (None, 1_000)] {
        let silence = SilenceDetector::new(start, pause.map(ms));
        let until = start + ms(limit);
        assert_eq!(silence.state(start), StreamState::ActiveUntil(until));
        assert_eq!(
            silence.state(start + ms(limit - 1)),
            StreamState::ActiveUntil(until)
        );
        assert_eq!(silence.state(until), StreamState::Silent);
    }
}

#[test]
fn verify_each_part_restarts_the_limit() {
    let start = Instant::ZERO;
    let mut silence = SilenceDetector::new(start, Some(ms(800)));
    silence.record_part(start + ms(500));
    let until = start + ms(1_100);
    assert_eq!(
        silence.state(start + ms(900)),
        StreamState::ActiveUntil(until)
    );
    assert_eq!(silence.state(until), StreamState::Silent);
}
