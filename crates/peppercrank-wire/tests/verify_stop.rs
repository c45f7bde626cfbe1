// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests that connections are kept between requests, and that a shutdown aborts no call within its
//! timeout.

#[path = "support/edge.rs"]
mod edges;
#[path = "support/raw.rs"]
mod raw;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use peppercrank_wire::body;
use peppercrank_wire::edge::Limits;
use peppercrank_wire::edge::Refused;
use peppercrank_wire::edge::Reply;
use peppercrank_wire::edge::ServeSummary;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::yield_now;
use tokio::time::advance;
use tokio::time::pause;

use edges::Running;
use edges::echo;
use edges::start;
use raw::exchange;
use raw::read_all;

const GET: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Streams one part, and the rest once permitted.
async fn halting(limits: Limits) -> (Running, Arc<Semaphore>) {
    let gate = Arc::new(Semaphore::new(0));
    let held = Arc::clone(&gate);
    let running = start(limits, move |_call| {
        let (feed, body) = body::channel(1);
        let held = Arc::clone(&held);
        tokio::spawn(async move {
            let part = Bytes::from_static(b"part");
            feed.send(part.clone()).await.expect("a reader");
            held.acquire().await.expect("an open gate").forget();
            // The server may have aborted the response already.
            if feed.send(part).await.is_ok() {
                feed.finish();
            }
        });
        std::future::ready(Reply::new(body))
    })
    .await;
    (running, gate)
}

async fn begin(running: &Running) -> TcpStream {
    let mut io = TcpStream::connect(running.address)
        .await
        .expect("a connection");
    io.write_all(GET).await.expect("sent");
    let mut seen = Vec::new();
    while !seen.ends_with(b"part\r\n") {
        io.read_buf(&mut seen).await.expect("a part");
    }
    io
}

#[tokio::test]
async fn verify_stop_finishes_streams() {
    let (running, gate) = halting(Limits::default()).await;
    let mut first = begin(&running).await;
    let mut second = begin(&running).await;
    let address = running.address;
    running.stopper.stop();
    // The system refuses new connections once the listener is closed.
    while TcpStream::connect(address).await.is_ok() {}
    assert!(!running.ended.is_finished());
    assert_eq!(running.counters.busy(), 2);
    gate.add_permits(2);
    for io in [&mut first, &mut second] {
        assert_eq!(read_all(io).await, "4\r\npart\r\n0\r\n\r\n");
    }
    let finished = running.ended.await.expect("an edge that ends");
    assert_eq!(finished, ServeSummary { calls: 2, cut: 0 });
}

#[tokio::test]
async fn verify_stop_aborts_calls_after_its_timeout() {
    let limits = Limits {
        drain: Duration::from_millis(20),
        ..Limits::default()
    };
    let (running, _gate) = halting(limits).await;
    let mut io = begin(&running).await;
    let finished = running.stop().await;
    assert_eq!(finished, ServeSummary { calls: 1, cut: 1 });
    // The aborted response has no end.
    assert_eq!(read_all(&mut io).await, "");
}

#[tokio::test]
async fn verify_stop_answers_on_kept_connections() {
    // A caller may send a request on a kept connection just when the server is told to stop.
    let limits = Limits {
        stop_idle: Duration::from_secs(3),
        ..Limits::default()
    };
    let running = start(limits, echo).await;
    let mut io = TcpStream::connect(running.address)
        .await
        .expect("a connection");
    io.write_all(GET).await.expect("sent");
    let mut seen = Vec::new();
    while !seen.ends_with(b"GET / ") {
        io.read_buf(&mut seen).await.expect("an answer");
    }
    running.stopper.stop();
    io.write_all(GET).await.expect("sent");
    let answer = read_all(&mut io).await;
    assert!(answer.contains("connection: close\r\n"), "{answer}");
    assert!(answer.ends_with("GET / "), "{answer}");
    assert_eq!(running.stop().await, ServeSummary { calls: 2, cut: 0 });
}

/// Limits of a server that accepts requests for 3 s of a shutdown of 20 s.
fn slow_stop() -> Limits {
    Limits {
        stop_idle: Duration::from_secs(3),
        drain: Duration::from_secs(20),
        ..Limits::default()
    }
}

/// Stops the clock, which then only [`advance`] moves: a paused clock jumps to the next timer while
/// all tasks wait for sockets, so one task never waits.
fn stop_clock() {
    pause();
    tokio::spawn(async {
        loop {
            yield_now().await;
        }
    });
}

/// Guards against answers that a shutdown cuts, since requests are accepted too late in it: a
/// connection that was opened after the stop counted the time for idle connections from its own
/// start.
#[tokio::test]
async fn verify_connections_opened_after_a_stop_accept_no_later_requests() {
    let running = start(slow_stop(), echo).await;
    stop_clock();
    running.stopper.stop();
    advance(Duration::from_secs(2)).await;
    let mut io = TcpStream::connect(running.address)
        .await
        .expect("a connection");
    while running.counters.open() == 0 {
        yield_now().await;
    }
    advance(Duration::from_secs(2)).await;
    // The connection may be closed already.
    let _sent = io.write_all(GET).await;
    let mut answer = Vec::new();
    let _end = io.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer);
    assert!(!answer.contains("200 OK"), "{answer}");
}

/// Guards against answers that a shutdown cuts, since requests are accepted too late in it: the
/// next request on a connection whose answer had begun before the stop.
#[tokio::test]
async fn verify_requests_after_a_long_answer_are_refused_late_in_a_stop() {
    let (running, gate) = halting(slow_stop()).await;
    let mut io = begin(&running).await;
    stop_clock();
    running.stopper.stop();
    io.write_all(GET).await.expect("sent");
    advance(Duration::from_secs(4)).await;
    gate.add_permits(2);
    let answer = read_all(&mut io).await;
    let (first, second) = answer.split_once("0\r\n\r\n").expect("a whole answer");
    assert_eq!(first, "4\r\npart\r\n");
    assert!(second.contains("503 Service Unavailable"), "{second}");
    assert!(second.contains("x-peppercrank-run: not_run"), "{second}");
    assert_eq!(running.counters.refused(Refused::Stopping), 1);
}

/// Guards against long answers that a shutdown cuts: a connection counted as idle once the last
/// part of its answer was ready, though its caller had not read it.
#[tokio::test]
async fn verify_stop_finishes_answers_that_callers_read_slowly() {
    /// More than the buffers of the system hold.
    const SIZE: usize = 32 * 1_024 * 1_024;
    let running = start(slow_stop(), |_call| {
        std::future::ready(Reply::new(body::full(vec![b'a'; SIZE])))
    })
    .await;
    let mut io = TcpStream::connect(running.address)
        .await
        .expect("a connection");
    io.write_all(GET).await.expect("sent");
    // The answer has begun, so the server has written all that fits.
    io.readable().await.expect("an answer");
    stop_clock();
    running.stopper.stop();
    // The connection's task sees the signal before the time for idle connections is over.
    for _ in 0..100 {
        yield_now().await;
    }
    advance(Duration::from_secs(4)).await;
    let answer = read_all(&mut io).await;
    assert!(answer.len() > SIZE, "{} bytes", answer.len());
}

#[tokio::test]
async fn verify_kept_connections() {
    let running = start(Limits::default(), echo).await;
    let post = "POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc";
    let ask = "POST /b HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\nabc";
    let chunked =
        "POST /c HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let get = "\r\nGET /d HTTP/1.1\r\nhost: a\r\n\r\n";
    // All requests are sent at once; the one after a chunked body is not handled.
    let sent = [post, ask, get, chunked, get].concat();
    let answer = exchange(running.address, sent.as_bytes()).await;
    let places: Vec<_> = ["POST /a abc", "POST /b abc", "GET /d ", "POST /c abc"]
        .iter()
        .map(|part| answer.find(part))
        .collect();
    assert!(places.iter().all(Option::is_some), "{answer}");
    assert!(places.is_sorted(), "{answer}");
    assert_eq!(answer.matches("HTTP/1.1 200 ").count(), 4, "{answer}");
    assert_eq!(running.stop().await, ServeSummary { calls: 4, cut: 0 });
}
