// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Origins of streams that a router keeps in the store.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::origins::Origins;
use peppercrank_direct::origins::SoftwareVersion;
use peppercrank_direct::origins::StreamId;
use peppercrank_direct::stored_origins::LaneObject;
use peppercrank_direct::stored_origins::LaneWrite;
use peppercrank_direct::stored_origins::StoredOrigins;
use peppercrank_direct::stored_origins::lane_of;
use peppercrank_direct::stored_origins::look_interval;
use peppercrank_direct::stored_origins::object_name;
use peppercrank_direct::stored_origins::owner;
use peppercrank_direct::stored_origins::write_interval;

const START: Instant = Instant::ZERO;

struct Router {
    origins: Origins,
    stored: StoredOrigins,
}

impl Router {
    fn new() -> Self {
        Self {
            origins: Origins::default(),
            stored: StoredOrigins::default(),
        }
    }

    fn begin(&mut self, stream: u64, until: Instant) {
        let pool: Arc<str> = "pool".into();
        let version = SoftwareVersion::of("pool", "v1");
        self.origins.record(START, StreamId(stream), version, until);
        self.stored.push(StreamId(stream), &pool, until);
    }

    fn write(&mut self) -> Option<LaneWrite> {
        self.stored.begin_write(START, &self.origins, |_| true)
    }

    /// Returns the streams to be written now; `None` if nothing is.
    fn take(&mut self, now: Instant, mixed: bool) -> Option<Vec<u64>> {
        let batch = self.stored.take_batch(now, &self.origins, |_| mixed)?;
        let streams = batch.into_iter().flat_map(|(_, streams)| streams);
        let mut streams = streams.map(|s| s.0).collect::<Vec<_>>();
        streams.sort_unstable();
        Some(streams)
    }
}

#[test]
fn verify_nothing_is_written_while_one_version_serves() {
    let mut router = Router::new();
    let until = START + Duration::from_secs(10);
    router.begin(1, until);
    assert_eq!(router.take(START, false), None);
    // A second version joins, and streams that began before it are written, too.
    router.begin(2, until);
    assert_eq!(router.take(START, true), Some(vec![1, 2]));
    assert_eq!(router.take(START, true), None);
}

#[test]
fn verify_a_write_that_failed_is_repeated() {
    let mut router = Router::new();
    router.begin(1, START + Duration::from_secs(10));
    assert_eq!(router.take(START, true), Some(vec![1]));
    router.stored.invalidate();
    assert_eq!(router.take(START, true), Some(vec![1]));
}

#[test]
fn verify_streams_of_an_earlier_process_stay_in_the_object() {
    let mut router = Router::new();
    let version = SoftwareVersion::of("pool", "v1");
    let until = START + Duration::from_secs(10);
    router.origins.record(START, StreamId(7), version, until);
    router.stored.push_earlier(START, StreamId(7));
    assert_eq!(router.take(START, true), None);
    router.begin(8, until);
    assert_eq!(router.take(START, true), Some(vec![7, 8]));
}

#[test]
fn verify_streams_are_kept_until_their_callers_give_up() {
    let mut router = Router::new();
    let until = START + Duration::from_secs(10);
    router.begin(1, until);
    router.begin(2, until + Duration::from_secs(1));
    assert_eq!(router.take(until, true), Some(vec![2]));
}

/// Guards against writes that grow with the number of streams and follow each other as fast as short ones.
#[test]
fn verify_long_writes_follow_each_other_more_slowly() {
    let millis = |streams| look_interval(4, streams).as_millis();
    assert_eq!(
        [0, 100, 1_000, 2_000, 16_384].map(millis),
        [20, 20, 61, 100, 100]
    );
}

#[test]
fn verify_a_large_fleet_writes_within_the_rate_of_the_store() {
    let rate = |routers: u32, interval: Duration| f64::from(routers) / interval.as_secs_f64();
    for routers in [1, 4, 30, 68, 370] {
        let number = routers as usize;
        let looks = [0, 2_000, 16_384].map(|streams| look_interval(number, streams));
        for interval in looks.into_iter().chain([write_interval(number)]) {
            assert!(rate(routers, interval) <= 200.0, "{routers} routers");
        }
    }
}

#[test]
fn verify_a_write_that_is_not_answered_holds_up_no_other() {
    let mut router = Router::new();
    for stream in 0..8 {
        router.begin(stream, START + Duration::from_secs(10));
        let write = router.write().expect("a free lane");
        assert_eq!(write.lane, usize::try_from(stream).expect("a small number"));
    }
    router.begin(8, START + Duration::from_secs(10));
    assert_eq!(router.write(), None);
}

#[test]
fn verify_a_doubtful_write_is_repeated_unless_a_newer_one_is_stored() {
    let mut router = Router::new();
    router.begin(1, START + Duration::from_secs(10));
    let first = router.write().expect("a write");
    assert_eq!(router.write(), None);
    router.stored.record_doubt(first.number);
    let second = router.write().expect("the same streams again");
    assert_eq!((second.lane, &second.batch), (1, &first.batch));
    router.stored.end_write(&second, LaneObject::At(5), true);
    router.stored.end_write(&first, LaneObject::Unread, false);
    assert_eq!(router.write(), None);
    router.begin(2, START + Duration::from_secs(10));
    let third = router.write().expect("a write");
    assert_eq!((third.lane, third.object), (1, LaneObject::At(5)));
}

#[test]
fn verify_objects_are_found_by_their_router() {
    assert_eq!(object_name("edge.9", 0), "edge.9");
    for lane in 0..8 {
        let name = object_name("edge-1", lane);
        assert_eq!(lane_of(&name, "edge-1"), Some(lane));
        assert_eq!(owner(&name), "edge-1");
    }
    assert_eq!(lane_of("edge-1.8", "edge-1"), None);
    assert_eq!(owner("edge.9"), "edge.9");
}
