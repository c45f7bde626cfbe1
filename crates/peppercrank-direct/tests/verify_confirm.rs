// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Confirmations between routers never make a copy of the keys look newer than it is.

use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::confirm::ConfirmableState;
use peppercrank_direct::confirm::Confirmation;
use peppercrank_direct::confirm::ConfirmationRequest;
use peppercrank_direct::confirm::PendingRequest;
use peppercrank_direct::confirm::Verdict;
use peppercrank_direct::confirm::store_readers;
use peppercrank_direct::freshness::Freshness;
use peppercrank_direct::freshness::Source;
use peppercrank_direct::peers::Datagram;
use serde::Deserialize;

const REQUEST: ConfirmationRequest = ConfirmationRequest { nonce: 7 };

const fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn confirmation(version: u64, age: u64) -> Confirmation {
    let age = Some(Duration::from_millis(age));
    Confirmation::new(REQUEST, confirmable_state(Some(version), age))
        .expect("the key state is known")
}

fn confirmable_state(version: Option<u64>, age: Option<Duration>) -> ConfirmableState {
    ConfirmableState {
        version,
        age,
        evacuations_digest: 3,
    }
}

#[test]
fn verify_verdicts_on_confirmations() {
    let asked = PendingRequest {
        request: REQUEST,
        sent_at: at(10_000),
    };
    let other = Confirmation {
        nonce: 8,
        ..confirmation(5, 0)
    };
    let rows = [
        // The age counts from the sending of the request, and is rounded up.
        (confirmation(5, 0), Some(5), Verdict::CurrentAsOf(at(9_999))),
        (
            confirmation(5, 700),
            Some(5),
            Verdict::CurrentAsOf(at(9_299)),
        ),
        // A router with an older version confirms a newer one here, but not the other way round.
        (
            confirmation(4, 700),
            Some(5),
            Verdict::CurrentAsOf(at(9_299)),
        ),
        (confirmation(6, 0), Some(5), Verdict::Outdated(at(9_999))),
        (confirmation(6, 700), Some(5), Verdict::Outdated(at(9_299))),
        (confirmation(5, 0), None, Verdict::Outdated(at(9_999))),
        (confirmation(5, 1_300), Some(5), Verdict::Unusable),
        (other, Some(5), Verdict::Unusable),
    ];
    for (answer, version, verdict) in rows {
        assert_eq!(
            asked.evaluate(answer, version),
            verdict,
            "{answer:?} {version:?}"
        );
    }
}

#[test]
fn verify_a_time_before_the_clock_origin_is_unusable() {
    // The time of the confirmed state lies before the clock's origin and cannot be represented;
    // clamping it to the origin would make it look newer.
    let asked = PendingRequest {
        request: REQUEST,
        sent_at: at(300),
    };
    assert_eq!(
        asked.evaluate(confirmation(5, 700), Some(5)),
        Verdict::Unusable
    );
    assert_eq!(
        asked.evaluate(confirmation(5, 200), Some(5)),
        Verdict::CurrentAsOf(at(99))
    );
}

#[test]
fn verify_no_confirmation_without_a_version_and_an_age() {
    let age = Some(Duration::ZERO);
    assert_eq!(
        Confirmation::new(REQUEST, confirmable_state(None, age)),
        None
    );
    assert_eq!(
        Confirmation::new(REQUEST, confirmable_state(Some(1), None)),
        None
    );
}

#[test]
fn verify_a_chain_of_confirmations_never_understates_the_age() {
    // The clocks of the three routers differ; the store was queried at 0 of the common time.
    let offsets = [5_000, 90_000, 40_000];
    let mut freshness = Freshness::new(None);
    freshness.confirm(at(offsets[0]), Source::Store);
    let mut common = 0;
    for hop in 1..offsets.len() {
        // The request takes 60 ms, the answering router stalls for 200 ms, and the answer takes 90
        // ms.
        let (sent, answered) = (common + 60, common + 120);
        let age = freshness.age(at(offsets[hop - 1] + answered));
        let answer = Confirmation::new(REQUEST, confirmable_state(Some(1), age))
            .expect("the key state is known");
        let asked = PendingRequest {
            request: REQUEST,
            sent_at: at(offsets[hop] + sent),
        };
        let Verdict::CurrentAsOf(moment) = asked.evaluate(answer, Some(1)) else {
            panic!("{answer:?}");
        };
        assert!(moment <= at(offsets[hop]), "hop {hop}");
        freshness = Freshness::new(None);
        freshness.confirm(moment, Source::Store);
        common += 60 + 200 + 90;
    }
}

#[test]
fn verify_a_few_routers_ask_the_store() {
    for (count, ask) in [(1, 1), (2, 2), (4, 2), (29, 2), (100, 5), (370, 18)] {
        let names = (0..count).map(|n| format!("r-{n:03}")).collect::<Vec<_>>();
        let sorted = names.iter().map(String::as_str).collect::<Vec<_>>();
        let mut turned = sorted.clone();
        turned.rotate_left(count / 2);
        // The result does not depend on the order in which a router knows the others.
        assert_eq!(store_readers(turned), sorted[..ask]);
    }
}

/// Fields that a router of an earlier version decodes from a confirmation.
#[derive(Debug, Deserialize, PartialEq, Eq)]
struct EarlierConfirmation {
    nonce: u64,
    version: u64,
    age: u32,
}

#[test]
fn verify_routers_of_two_versions_confirm_to_each_other_or_ask_the_store() {
    let mut datagram = Datagram::Confirmation(confirmation(5, 700));
    let bytes = datagram.encode().expect("a datagram");
    // The first byte is the variant of the datagram.
    let earlier = postcard::from_bytes::<EarlierConfirmation>(&bytes[1..]);
    let expected = EarlierConfirmation {
        nonce: REQUEST.nonce,
        version: 5,
        age: 701,
    };
    assert_eq!(earlier, Ok(expected));
    // A shorter confirmation from an earlier version does not decode, so the store is queried
    // instead.
    let shorter = Datagram::decode(&bytes[..bytes.len() - 1]);
    shorter.expect_err("a truncated datagram");
}
