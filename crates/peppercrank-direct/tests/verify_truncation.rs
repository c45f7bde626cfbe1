// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Truncated answers are followed without the usual pause, whatever the limit of the store.
//!
//! Guards against reading the return of many targets slowly: a store lost all entries of 40 targets
//! and reported their return, 80 changes, three at a time. Routers took only answers of 100 changes
//! or more for truncated ones, so they read three changes every 0.75 s, from 41.6 s to beyond 53.0
//! s, and 626 requests were refused for lack of a target (soak test with 150 gateways, seed 23).

use std::time::Duration;

use peppercrank_direct::truncation::AnswerSize;
use peppercrank_direct::truncation::GATHER_PAUSE;
use peppercrank_direct::truncation::Next;
use peppercrank_direct::truncation::Truncation;

/// Size of one change, in bytes.
const CHANGE_BYTES: usize = 300;

/// Time for a query and its answer.
const CALL_TIME: Duration = Duration::from_millis(5);

/// Usual pause between queries.
const USUAL_PAUSE: Duration = Duration::from_millis(750);

/// A store that truncates its answers to `max_changes`.
struct Store {
    max_changes: usize,
    pending: usize,
}

impl Store {
    fn answer(&mut self) -> AnswerSize {
        let changes = self.pending.min(self.max_changes);
        self.pending -= changes;
        let bytes = 30 + changes * CHANGE_BYTES;
        AnswerSize { changes, bytes }
    }
}

/// Returns the time until all changes are known, and the number of calls.
fn catch_up(truncation: &mut Truncation, max_changes: usize, pending: usize) -> (Duration, usize) {
    let mut store = Store {
        max_changes,
        pending,
    };
    let (mut time, mut calls) = (Duration::ZERO, 0);
    while store.pending > 0 {
        time += CALL_TIME;
        calls += 1;
        let next = truncation.record_answer(store.answer());
        if store.pending > 0 {
            time += match next {
                Next::Soon => GATHER_PAUSE,
                Next::Paced => USUAL_PAUSE,
            };
        }
    }
    (time, calls)
}

#[test]
fn verify_truncated_answers_are_followed_without_the_usual_pause() {
    for max_changes in [2, 3, 10, 100, 500] {
        // On a normal day the router has seen few changes at a time, or none.
        let mut truncation = Truncation::default();
        for changes in [1, 0, 1, 1, 0, 2, 0] {
            truncation.record_answer(AnswerSize {
                changes: changes.min(max_changes),
                bytes: changes * CHANGE_BYTES,
            });
        }
        let (time, calls) = catch_up(&mut truncation, max_changes, 80);
        assert!(
            time < Duration::from_secs(2),
            "{time:?}, cut at {max_changes}"
        );
        assert_eq!(calls, 80_usize.div_ceil(max_changes));
    }
}

#[test]
fn verify_the_call_rate_is_bounded_for_short_answers() {
    let mut truncation = Truncation::default();
    let (time, calls) = catch_up(&mut truncation, 1, 1_000);
    let rate = 1_000.0 / time.as_secs_f64();
    assert!(rate < 50.0, "{rate} calls a second, {calls} in all");
    assert!(rate > 25.0, "{rate} calls a second, {calls} in all");
}

#[test]
fn verify_short_answers_keep_the_usual_pause() {
    // Once a longer answer was seen, shorter ones are complete and cost no extra calls.
    let mut truncation = Truncation::default();
    truncation.record_answer(AnswerSize {
        changes: 40,
        bytes: 40 * CHANGE_BYTES,
    });
    for changes in [1, 5, 20, 38, 0] {
        let bytes = 30 + changes * CHANGE_BYTES;
        let next = truncation.record_answer(AnswerSize { changes, bytes });
        assert_eq!(next, Next::Paced, "{changes}");
    }
}

#[test]
fn verify_an_answer_truncated_by_bytes_is_followed_without_the_usual_pause() {
    const MOST: usize = 1_048_576;
    let mut truncation = Truncation::default();
    truncation.record_answer(AnswerSize {
        changes: 500,
        bytes: 150_000,
    });
    truncation.record_answer(AnswerSize {
        changes: 3,
        bytes: MOST - 10_000,
    });
    // Fewer changes and bytes than the longest, but one more change would not have fitted.
    let cut = AnswerSize {
        changes: 2,
        bytes: MOST - 200_000,
    };
    assert_eq!(truncation.record_answer(cut), Next::Soon);
}
