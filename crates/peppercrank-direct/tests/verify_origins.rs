// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Origins of streams, and the routers that keep them.

use std::collections::HashMap;
use std::collections::HashSet;
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
    SoftwareVersion::of(name)
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
        queue.push(stream, if number == 2 { "other" } else { "pool" });
    }
    let none = queue.take_reports(after(1), &origins, |_| false);
    assert!(none.is_empty());
    let reports = queue.take_reports(after(2), &origins, |pool| *pool == "pool");
    let streams = reports.iter().map(|r| r.stream).collect::<Vec<_>>();
    assert_eq!(streams, [report(0).stream, report(1).stream]);
    assert!(reports.iter().all(|r| r.kept_ms == 28_000));
    assert!(
        queue
            .take_reports(after(3), &origins, |pool| *pool == "pool")
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
