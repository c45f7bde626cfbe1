// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Bytes held for callers that are behind. A process that holds whatever they leave unread exceeds
//! its memory and is killed with all its streams; one that holds nothing keeps targets from their
//! other work, and targets cut answers that stay unread.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use peppercrank_wire::Error;
use peppercrank_wire::buffer::BufferBudget;
use peppercrank_wire::buffer::BufferLimits;
use peppercrank_wire::buffer::CollectedAnswer;
use peppercrank_wire::buffer::Room;
use peppercrank_wire::buffer::Unread;
use peppercrank_wire::buffer::counted;
use tokio::time::Duration;
use tokio::time::timeout;

const LIMITS: BufferLimits = BufferLimits {
    stream: 4_000,
    collected: 10_000,
    total: 10_000,
};

/// Time within which something that must not happen would have.
const MOMENT: Duration = Duration::from_millis(20);

fn part() -> Bytes {
    Bytes::from(vec![b'x'; 936])
}

#[tokio::test]
async fn verify_a_writer_is_held_back_by_its_own_reader_only() {
    let budget = BufferBudget::new(LIMITS);
    let (slow, mut unread) = budget.stream();
    let (fast, mut read) = budget.stream();
    for _ in 0..3 {
        slow.send(part()).await.expect("room");
    }
    let held_back = timeout(MOMENT, slow.send(part())).await;
    assert_eq!(held_back.ok(), None);
    assert_eq!(budget.usage().waiting, 1);
    for _ in 0..100 {
        fast.send(part()).await.expect("room");
        assert!(matches!(read.frame().await, Some(Ok(_))));
    }
    assert!(matches!(unread.frame().await, Some(Ok(_))));
    assert_eq!((budget.usage().bytes, budget.usage().waiting), (3_000, 0));
}

#[tokio::test]
async fn verify_the_stream_that_stalled_longest_is_cut() {
    let budget = BufferBudget::new(LIMITS);
    let mut streams = Vec::new();
    for _ in 0..3 {
        let (writer, body) = budget.stream();
        for _ in 0..3 {
            writer.send(part()).await.expect("room");
        }
        tokio::time::sleep(MOMENT).await;
        streams.push((writer, body));
    }
    // The first reader takes a part, so that the second has stalled longest.
    assert!(matches!(streams[0].1.frame().await, Some(Ok(_))));
    let (writer, _body) = budget.stream();
    for _ in 0..3 {
        writer.send(part()).await.expect("room");
        assert!(budget.usage().bytes <= LIMITS.total);
    }
    assert_eq!(budget.usage().cut, 1);
    assert_eq!(streams[1].0.send(part()).await, Err(Unread::Cut));
    // Never a clean end.
    let cut = streams[1].1.frame().await;
    assert!(matches!(cut, Some(Err(Error::Aborted))));
    assert!(matches!(streams[0].1.frame().await, Some(Ok(_))));
    assert!(matches!(streams[2].1.frame().await, Some(Ok(_))));
}

#[tokio::test]
async fn verify_a_reader_that_leaves_while_behind_is_noticed() {
    let budget = BufferBudget::new(LIMITS);
    let (writer, body) = budget.stream();
    for _ in 0..3 {
        writer.send(part()).await.expect("room");
    }
    let (sent, ()) = tokio::join!(writer.send(part()), async {
        tokio::time::sleep(MOMENT).await;
        drop(body);
    });
    assert_eq!(sent, Err(Unread::ReaderGone));
    assert_eq!(budget.usage().bytes, 0);
}

#[tokio::test]
async fn verify_a_finished_stream_is_read_late() {
    let budget = BufferBudget::new(LIMITS);
    let (writer, body) = budget.stream();
    writer.send("data: 1\n\n".into()).await.expect("room");
    writer.finish();
    drop(writer);
    let whole = body.collect().await.expect("a whole body");
    assert_eq!(whole.to_bytes(), "data: 1\n\n");
    assert_eq!(budget.usage().bytes, 0);
}

#[tokio::test]
async fn verify_an_aborted_stream_has_no_clean_end() {
    let budget = BufferBudget::new(LIMITS);
    let (writer, body) = budget.stream();
    writer.send("data: 1\n\n".into()).await.expect("room");
    drop(writer);
    assert_eq!(body.collect().await.err(), Some(Error::Aborted));
}

#[tokio::test]
async fn verify_whole_answers_count_until_they_are_dropped() {
    let budget = BufferBudget::new(LIMITS);
    let (writer, _body) = budget.stream();
    writer.send(part()).await.expect("room");
    let mut held = budget.hold();
    let room = held.add(LIMITS.total);
    assert_eq!(room, Room::Enough, "the stream is cut first");
    assert_eq!(budget.usage().cut, 1);
    let answer = counted(part(), held);
    let mut refused = budget.hold();
    assert_eq!(refused.add(1), Room::Exceeded);
    drop(refused);
    let copy = answer.slice(..10);
    drop(answer);
    assert_eq!(budget.usage().bytes, LIMITS.total);
    drop(copy);
    assert_eq!(budget.usage().bytes, 0);
}

/// A part that was read together with others is a slice of their buffer, and kept all of it, so that
/// a stream held many times what it counted.
#[tokio::test]
async fn verify_a_held_part_does_not_keep_the_buffer_that_it_was_read_into() {
    let buffer = Arc::new(vec![b'x'; 8_192]);
    let whole = Bytes::from_owner(SharedBuffer(Arc::clone(&buffer)));
    let budget = BufferBudget::new(LIMITS);
    let (writer, _unread) = budget.stream();
    writer.send(whole.slice(..100)).await.expect("room");
    drop(whole);
    assert_eq!(Arc::strong_count(&buffer), 1);
}

/// One answer that fits nowhere must not cost other callers their streams.
#[tokio::test]
async fn verify_an_answer_beyond_the_whole_budget_cuts_no_stream() {
    let budget = BufferBudget::new(LIMITS);
    let (writer, mut unread) = budget.stream();
    writer.send(part()).await.expect("room");
    let mut held = budget.hold();
    assert_eq!(held.add(LIMITS.total + 1), Room::Exceeded);
    drop(held);
    assert!(matches!(unread.frame().await, Some(Ok(_))));
}

/// Guards against streams that are cut because answers without end fill the budget.
#[tokio::test]
async fn verify_answers_that_are_being_collected_cut_no_stream() {
    let budget = BufferBudget::new(BufferLimits {
        stream: 4_000,
        collected: 40_000,
        total: 60_000,
    });
    let (writer, mut unread) = budget.stream();
    writer.send(part()).await.expect("room");
    let mut first = budget.hold();
    assert_eq!(first.add(40_000), Room::Enough);
    let mut second = budget.hold();
    assert_eq!(second.add(35_000), Room::Collected);
    drop(second);
    first.complete();
    let mut third = budget.hold();
    assert_eq!(third.add(15_000), Room::Enough, "the first is collected");
    assert_eq!(budget.usage().cut, 0);
    assert!(matches!(unread.frame().await, Some(Ok(_))));
    drop((first, third));
    assert_eq!(budget.usage().bytes, 0);
}

/// Guards against answers in tiny parts, each of which took some 64 times the memory that it counted.
#[test]
fn verify_tiny_parts_of_an_answer_share_their_memory() {
    let limit = 1_024 * 1_024;
    let budget = BufferBudget::new(BufferLimits {
        stream: limit,
        collected: limit,
        total: limit,
    });
    let mut answer = CollectedAnswer::new(budget.hold());
    let mut sent = Vec::new();
    for (n, letter) in (b'a'..=b'z').cycle().take(20_000).enumerate() {
        let size = if n % 1_000 == 0 { 5_000 } else { 1 };
        let part = vec![letter; size];
        assert_eq!(answer.add(&part), Room::Enough);
        sent.extend(part);
        let (bytes, taken) = (sent.len(), budget.usage().bytes);
        assert!(
            taken >= bytes && taken <= 2 * bytes + 4_096,
            "{bytes} take {taken}"
        );
    }
    let whole = answer.complete();
    assert_eq!(whole, sent);
    drop(whole);
    assert_eq!(budget.usage().bytes, 0);
}

struct SharedBuffer(Arc<Vec<u8>>);

impl AsRef<[u8]> for SharedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}
