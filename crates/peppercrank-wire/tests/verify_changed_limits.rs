// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests that requests on open connections are read under the limits in force when they begin.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use peppercrank_wire::body;
use peppercrank_wire::edge::Call;
use peppercrank_wire::edge::Edge;
use peppercrank_wire::edge::Limits;
use peppercrank_wire::edge::Reply;
use peppercrank_wire::edge::refuse_body;
use peppercrank_wire::stop::Stopper;
use peppercrank_wire::stop::stop;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;

const GET: &[u8] = b"GET /first HTTP/1.1\r\nhost: a\r\n\r\n";

/// Body of each response.
const ANSWER: &str = "answered";

/// A server whose limits change while it runs.
struct Changing {
    address: SocketAddr,
    limits: watch::Sender<Arc<Limits>>,
    _stopper: Stopper,
}

/// Answers a request once its body was read.
async fn read_and_answer(call: Call) -> Reply {
    match call.body.read().await {
        Ok(_) => Reply::new(body::full(ANSWER)),
        Err(e) => refuse_body(e),
    }
}

/// Returns what is received until the connection ends.
async fn read_all(io: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset ends it too.
    let _read = io.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

async fn start(limits: Limits) -> Changing {
    let edge = Edge::bind((Ipv4Addr::LOCALHOST, 0).into()).await;
    let edge = edge.expect("a free port");
    let address = edge.local_addr();
    let (limits, newest) = watch::channel(Arc::new(limits));
    let (stopper, stop) = stop();
    tokio::spawn(edge.serve_within(newest, stop, read_and_answer));
    Changing {
        address,
        limits,
        _stopper: stopper,
    }
}

/// Returns limits of a head and a body, in bytes.
fn limits(head: usize, body: u64) -> Limits {
    Limits {
        head,
        body,
        ..Limits::default()
    }
}

/// Returns a request with a body of this many bytes in one chunk.
fn chunked(body: usize) -> Vec<u8> {
    let text = format!(
        "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n{body:x}\r\n{}\r\n0\r\n\r\n",
        "b".repeat(body)
    );
    text.into_bytes()
}

/// Returns a request with a body of this many bytes and a length.
fn with_length(body: usize) -> Vec<u8> {
    let text = format!(
        "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {body}\r\n\r\n{}",
        "b".repeat(body)
    );
    text.into_bytes()
}

/// Returns a request with a header of this many bytes.
fn with_header(bytes: usize) -> Vec<u8> {
    let value = "h".repeat(bytes);
    let text = format!("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx: {value}\r\n\r\n");
    text.into_bytes()
}

/// Opens a connection and completes a request on it.
async fn open_and_use(to: SocketAddr) -> TcpStream {
    let mut io = TcpStream::connect(to).await.expect("a connection");
    io.write_all(GET).await.expect("a write");
    let mut answer = Vec::new();
    while !answer.ends_with(ANSWER.as_bytes()) {
        answer.push(io.read_u8().await.expect("an answer"));
    }
    io
}

/// Sends a request and returns what is received on a connection that was used before.
async fn answer_on(mut io: TcpStream, request: &[u8]) -> String {
    // The server may refuse and close before it has received everything.
    let _sent = io.write_all(request).await;
    read_all(&mut io).await
}

/// Guards against refusals of what a newer configuration allows, on connections opened before it.
#[tokio::test]
async fn verify_open_connections_follow_raised_limits() {
    let (low, high) = (limits(1_024, 1_024), limits(65_536, 262_144));
    for request in [chunked(98_304), with_length(98_304), with_header(40_000)] {
        let server = start(low.clone()).await;
        let used = open_and_use(server.address).await;
        let unused = TcpStream::connect(server.address)
            .await
            .expect("a connection");
        server.limits.send_replace(Arc::new(high.clone()));
        for io in [used, unused] {
            let answer = answer_on(io, &request).await;
            assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:.80}");
        }
    }
}

/// Guards against memory that callers take beyond lowered limits, on connections opened before.
#[tokio::test]
async fn verify_open_connections_follow_lowered_limits() {
    let (low, high) = (limits(1_024, 1_024), limits(65_536, 262_144));
    for request in [chunked(2_048), with_length(2_048), with_header(2_048)] {
        let server = start(high.clone()).await;
        let io = open_and_use(server.address).await;
        server.limits.send_replace(Arc::new(low.clone()));
        let answer = answer_on(io, &request).await;
        assert!(!answer.starts_with("HTTP/1.1 200 "), "{answer:.80}");
    }
}

/// Guards against a request that began before the limits were lowered and is refused in the middle.
#[tokio::test]
async fn verify_a_request_in_progress_keeps_its_limits() {
    let server = start(limits(65_536, 262_144)).await;
    let mut io = open_and_use(server.address).await;
    let request = with_length(8_192);
    io.write_all(&request[..4_096]).await.expect("a write");
    // Another connection shows that the server has read what was sent before.
    drop(open_and_use(server.address).await);
    server.limits.send_replace(Arc::new(limits(1_024, 1_024)));
    io.write_all(&request[4_096..]).await.expect("a write");
    let answer = read_all(&mut io).await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:.80}");
}

/// Guards against a request that is lost because it was sent before the answer to the last one.
#[tokio::test]
async fn verify_a_pipelined_request_follows_changed_limits() {
    let server = start(limits(1_024, 1_024)).await;
    let mut io = open_and_use(server.address).await;
    server
        .limits
        .send_replace(Arc::new(limits(65_536, 262_144)));
    let mut both = GET.to_vec();
    both.extend(with_header(40_000));
    io.write_all(&both).await.expect("a write");
    let answers = read_all(&mut io).await;
    assert_eq!(answers.matches("HTTP/1.1 200 ").count(), 2, "{answers:.80}");
}
