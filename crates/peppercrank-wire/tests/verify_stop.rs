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
use peppercrank_wire::edge::Reply;
use peppercrank_wire::edge::ServeSummary;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

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
