// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Origins of streams, and the routers that keep them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::origins::OriginQueue;
use peppercrank_direct::origins::OriginReport;
use peppercrank_direct::origins::Origins;
use peppercrank_direct::origins::Resumption;
use peppercrank_direct::origins::SoftwareVersion;
use peppercrank_direct::origins::StreamId;
use peppercrank_direct::origins::address_reports;
use peppercrank_direct::origins::keepers;
use peppercrank_direct::peers::Datagram;
use peppercrank_direct::peers::MAX_DATAGRAM_BYTES;

const START: Instant = Instant::ZERO;

fn after(seconds: u64) -> Instant {
    START + Duration::from_secs(seconds)
}

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::of("pool", name)
}

fn report(number: u64) -> OriginReport {
    OriginReport {
        stream: StreamId::of(&number.to_string()),
        version: version("v1"),
        kept_ms: 30_000,
    }
}

#[test]
fn verify_a_stream_of_unknown_origin_goes_on_only_where_one_version_is_certain() {
    let (v1, v2) = (version("v1"), version("v2"));
    assert_ne!(v1, v2);
    let cases = [
        (Some(v1), true, Resumption::At(v1)),
        (Some(v2), false, Resumption::At(v2)),
        (None, true, Resumption::Anywhere),
        (None, false, Resumption::Refused),
    ];
    for (origin, one_version, wanted) in cases {
        assert_eq!(Resumption::decide(origin, one_version), wanted);
    }
}

#[test]
fn verify_an_origin_is_kept_as_long_as_the_caller_may_return() {
    let mut origins = Origins::default();
    let stream = StreamId::of("a");
    origins.record(START, stream, version("v1"), after(100));
    assert_eq!(origins.version(after(99), stream), Some(version("v1")));
    assert_eq!(origins.version(after(100), stream), None);
    // A caller whose stream goes on may return later still.
    origins.record(after(90), stream, version("v1"), after(190));
    origins.record(after(150), StreamId::of("b"), version("v1"), after(160));
    assert_eq!(origins.version(after(189), stream), Some(version("v1")));
    origins.record(after(200), StreamId::of("c"), version("v1"), after(210));
    assert_eq!(origins.version(after(200), stream), None);
    assert_eq!(origins.len(), 1);
}

#[test]
fn verify_the_version_that_began_a_stream_stays() {
    let mut origins = Origins::default();
    let stream = StreamId::of("a");
    origins.record(START, stream, version("v1"), after(10));
    let other = OriginReport {
        stream,
        version: version("v2"),
        kept_ms: 60_000,
    };
    origins.record_report(after(1), other);
    assert_eq!(origins.version(after(2), stream), Some(version("v1")));
}

#[test]
fn verify_the_number_of_origins_is_bounded() {
    let mut origins = Origins::default();
    for number in 0..40_000_u64 {
        origins.record_report(START, report(number));
    }
    assert!(origins.len() <= 16_384);
    assert!(origins.version(START, report(39_999).stream).is_some());
    assert!(origins.version(START, report(0).stream).is_none());
}

#[test]
fn verify_streams_that_began_before_a_second_version_joined_are_reported() {
    let mut origins = Origins::default();
    let mut queue = OriginQueue::default();
    for number in 0..3_u64 {
        let stream = report(number).stream;
        origins.record(START, stream, version("v1"), after(10));
        let pool = if number == 2 { "other" } else { "pool" };
        queue.push(stream, &pool.into());
    }
    let none = queue.take_reports(after(1), &origins, |_| false);
    assert!(none.is_empty());
    let reports = queue.take_reports(after(2), &origins, |pool| pool == "pool");
    let streams = reports.iter().map(|r| r.stream).collect::<Vec<_>>();
    assert_eq!(streams, [report(0).stream, report(1).stream]);
    assert!(reports.iter().all(|r| r.kept_ms == 28_000));
    assert!(
        queue
            .take_reports(after(3), &origins, |pool| pool == "pool")
            .is_empty()
    );
    // The other pool's stream is dropped once its origin is no longer kept.
    assert!(!queue.is_empty());
    queue.take_reports(after(31), &origins, |_| false);
    assert!(queue.is_empty());
}

#[test]
fn verify_routers_agree_on_the_keepers_of_an_origin() {
    let names = (0..370).map(|n| format!("router-{n}")).collect::<Vec<_>>();
    let mut kept = HashMap::<&str, usize>::new();
    for number in 0..3_700_u64 {
        let stream = report(number).stream;
        let forth = keepers(stream, names.iter().map(String::as_str));
        let back = keepers(stream, names.iter().rev().map(String::as_str));
        assert_eq!(forth, back);
        assert_eq!(forth.iter().collect::<HashSet<_>>().len(), 3);
        // A router that does not know of one of them still agrees on the other two.
        let missing = names
            .iter()
            .map(String::as_str)
            .filter(|name| *name != forth[0]);
        let others = keepers(stream, missing);
        assert!(others.contains(&forth[1]) && others.contains(&forth[2]));
        for name in forth {
            *kept.entry(name).or_default() += 1;
        }
    }
    let most = kept.values().max().expect("keepers");
    assert!(*most < 70, "one router keeps {most} origins, 30 on average");
}

#[test]
fn verify_reports_go_to_their_keepers_in_datagrams_of_bounded_size() {
    let reports = (0..200).map(report).collect::<Vec<_>>();
    let others = ["b", "c", "d", "e"];
    let mut received = HashMap::<StreamId, HashSet<&str>>::new();
    for (name, part) in address_reports(&reports, "a", &others) {
        for report in &part {
            received.entry(report.stream).or_default().insert(name);
        }
        let bytes = Datagram::Origins(part).encode().expect("a datagram");
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    }
    for report in &reports {
        let all = others.into_iter().chain(["a"]);
        let wanted = keepers(report.stream, all).into_iter();
        let wanted = wanted.filter(|name| *name != "a").collect::<HashSet<_>>();
        assert_eq!(received.get(&report.stream), Some(&wanted));
    }
}

#[test]
fn verify_a_query_ends_with_its_last_answer() {
    let mut origins = Origins::default();
    let stream = StreamId::of("a");
    assert!(!origins.is_awaited(stream));
    origins.record_query(stream, 2);
    origins.record_unknown(stream);
    assert!(origins.is_awaited(stream));
    origins.record_unknown(stream);
    assert!(!origins.is_awaited(stream));
    origins.record_unknown(stream);
    origins.record_query(stream, 2);
    origins.end_query(stream);
    assert!(!origins.is_awaited(stream));
}

/// Result of a simulation.
struct Outcome {
    /// Datagram bytes that each router sent per second, with headers.
    bytes_per_second: usize,
    /// Most origins that a router held.
    most_held: usize,
    /// Streams that the lost router began in its last two seconds.
    lost: usize,
    /// Those of them whose origin one of its other keepers knows.
    found: usize,
}

/// Simulates routers that report their streams ten times a second, for 20 seconds. Each datagram is
/// lost with a probability of 3 %, and at the end one router is lost.
fn simulate(routers: usize, streams_per_second: usize) -> Outcome {
    const SECONDS: usize = 20;
    const TICKS: u32 = 200;
    const TICK: Duration = Duration::from_millis(100);
    const HEADER_BYTES: usize = 28;
    let names = (0..routers).map(|n| format!("router-{n}"));
    let names = names.collect::<Vec<_>>();
    let index = |name: &str| names.iter().position(|n| n == name).expect("a router");
    let mut known = (0..routers).map(|_| Origins::default()).collect::<Vec<_>>();
    let mut queues = (0..routers)
        .map(|_| OriginQueue::default())
        .collect::<Vec<_>>();
    let pool = Arc::from("pool");
    let mut rng = 1_u64;
    let mut draw = move |below: u64| {
        rng = rng.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (rng >> 33) % below
    };
    let (mut bytes, mut most_held, mut of_lost) = (0, 0, Vec::new());
    let mut number = 0;
    for tick in 0..TICKS {
        let now = START + TICK * tick;
        for _ in 0..streams_per_second.div_ceil(10) {
            number += 1;
            let router = usize::try_from(draw(routers as u64)).expect("a small number");
            let stream = report(number).stream;
            let until = now + Duration::from_secs(12);
            known[router].record(now, stream, version("v1"), until);
            queues[router].push(stream, &pool);
            if router == 0 && tick + 20 > TICKS {
                of_lost.push(stream);
            }
        }
        for router in 0..routers {
            let reports = queues[router].take_reports(now, &known[router], |_| true);
            let others = names.iter().enumerate().filter(|(n, _)| *n != router);
            let others = others.map(|(_, name)| name.as_str()).collect::<Vec<_>>();
            for (to, part) in address_reports(&reports, &names[router], &others) {
                let datagram = Datagram::Origins(part.clone()).encode();
                bytes += datagram.expect("a datagram").len() + HEADER_BYTES;
                for report in part.iter().filter(|_| draw(100) >= 3) {
                    known[index(to)].record_report(now, *report);
                }
            }
            most_held = most_held.max(known[router].len());
        }
    }
    let end = START + TICK * TICKS;
    let found = of_lost.iter().filter(|stream| {
        let keepers = keepers(**stream, names.iter().map(String::as_str)).into_iter();
        let mut others = keepers.map(&index).filter(|router| *router != 0);
        others.any(|router| known[router].version(end, **stream).is_some())
    });
    Outcome {
        bytes_per_second: bytes / SECONDS / routers,
        most_held,
        lost: of_lost.len(),
        found: found.count(),
    }
}

#[test]
fn verify_origins_fit_the_allowance_of_a_large_fleet_and_outlast_a_router() {
    // Streams in proportion to the routers, as at the size that the fleet is built for.
    for (routers, streams) in [(4, 20), (30, 105), (100, 350), (370, 1_300)] {
        let Outcome {
            bytes_per_second,
            most_held,
            lost,
            found,
        } = simulate(routers, streams);
        assert!(bytes_per_second < 600, "{routers}: {bytes_per_second} B/s");
        assert!(most_held < 1_000, "{routers}: {most_held}");
        assert!(lost > 0 && found * 100 >= lost * 95, "{found} of {lost}");
    }
}

/// A router that starts reads each stream from two or more objects of the router that began it.
#[test]
fn verify_origins_that_are_reported_again_displace_no_others() {
    let mut origins = Origins::default();
    for _ in 0..4 {
        for number in 0..10_000 {
            origins.record_report(START, report(number));
        }
    }
    let known = (0..10_000).filter(|n| origins.version(START, report(*n).stream).is_some());
    assert_eq!((known.count(), origins.len()), (10_000, 10_000));
}

/// As many are dropped as are too many, and first those that were reported longest ago.
#[test]
fn verify_an_origin_that_is_reported_again_is_dropped_as_late_as_a_new_one() {
    let mut origins = Origins::default();
    origins.record_report(START, report(0));
    let mut number = 1_u64;
    while u64::try_from(origins.len()) == Ok(number) {
        origins.record_report(START, report(number));
        if number == 1 {
            origins.record_report(after(1), report(0));
        }
        number += 1;
    }
    assert!(origins.version(after(1), report(0).stream).is_some());
    assert!(origins.version(after(1), report(1).stream).is_none());
    assert!(origins.version(after(1), report(2).stream).is_some());
    assert!(origins.version(after(30), report(0).stream).is_some());
    assert!(origins.version(after(31), report(0).stream).is_none());
}
