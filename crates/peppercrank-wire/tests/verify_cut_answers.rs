// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Answers that are cut at any byte, in any way: the client never takes them for whole ones, nor for
//! a part of the next one.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use peppercrank_wire::body;
use peppercrank_wire::body::Body;
use peppercrank_wire::client::Client;
use peppercrank_wire::client::ClientConfig;
use peppercrank_wire::client::Reuse;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::task::yield_now;

/// Whole answers, each with another framing or form.
const ANSWERS: [&str; 8] = [
    "HTTP/1.1 200 OK\r\na: b\r\ncontent-length: 8\r\n\r\ngoodgood",
    "HTTP/1.1 200 OK\r\ncontent-length: 800\r\ncontent-length: 800\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;a=b\r\ngood\r\n0\r\na: b\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood",
    "HTTP/1.0 200 OK\r\ncontent-length: 4\r\n\r\ngood",
    "HTTP/1.1 200 OK\na: b\ncontent-length: 4\n\ngood",
    "HTTP/1.1 204 No Content\r\na: b\r\n\r\n",
    "HTTP/1.1 200 OK\r\na: b\r\nconnection: close\r\n\r\n",
];

/// Size of a request that no socket buffers hold.
const LONG_REQUEST_BYTES: usize = 16 * 1_024 * 1_024;

/// Number of cases that are played at once.
const CONCURRENT_CASES: usize = 32;

/// What follows the last byte of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Closed,
    Reset,
    /// The connection stays open without another byte.
    Open,
}

/// How an answer is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pace {
    AtOnce,
    ByteByByte,
}

/// When an answer is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Begin {
    /// Once the request was read.
    AfterRequest,
    /// Once the head of the request was read, whose body is still on its way.
    AfterHead,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    answer: &'static str,
    end: End,
    pace: Pace,
    begin: Begin,
}

impl Case {
    const fn new(answer: &'static str, end: End) -> Self {
        Self {
            answer,
            end,
            pace: Pace::AtOnce,
            begin: Begin::AfterRequest,
        }
    }
}

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn get(path: &str) -> Request<Body> {
    Request::get(path).body(body::empty()).expect("a request")
}

async fn read_head(io: &mut TcpStream) {
    let mut seen = Vec::new();
    while !seen.windows(4).any(|w| w == b"\r\n\r\n") {
        let read = io.read_buf(&mut seen).await.expect("a request");
        assert!(read > 0, "the client left within its request");
    }
}

/// Answers one request.
async fn serve(listener: TcpListener, case: Case) {
    let (mut io, _) = listener.accept().await.expect("a connection");
    io.set_nodelay(true).expect("an option");
    read_head(&mut io).await;
    // The client may have closed the connection.
    let bytes = case.answer.as_bytes();
    match case.pace {
        Pace::AtOnce => drop(io.write_all(bytes).await),
        Pace::ByteByByte => {
            for byte in bytes {
                drop(io.write_all(&[*byte]).await);
                yield_now().await;
            }
        }
    }
    match case.end {
        End::Closed if case.begin == Begin::AfterRequest => drop(io.shutdown().await),
        // With the rest of the request unread, this resets the connection.
        End::Closed => {}
        End::Reset => io.set_zero_linger().expect("an option"),
        End::Open => drop(io.read_to_end(&mut Vec::new()).await),
    }
}

fn client() -> Client {
    Client::new(ClientConfig {
        first_byte: Duration::from_millis(300),
        idle: Duration::from_millis(300),
        ..ClientConfig::default()
    })
}

/// Returns the status and body of an answer that the client takes for whole.
async fn fetch(
    client: &Client,
    to: SocketAddr,
    request: Request<Body>,
) -> Option<(StatusCode, String)> {
    let answer = client.send(to, request, Reuse::Allowed).await.ok()?;
    let status = answer.status();
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

async fn play(case: Case) -> Option<(StatusCode, String)> {
    let (listener, to) = bind().await;
    let served = tokio::spawn(serve(listener, case));
    let request = match case.begin {
        Begin::AfterRequest => get("/"),
        Begin::AfterHead => {
            let body = body::full(vec![b'a'; LONG_REQUEST_BYTES]);
            Request::post("/").body(body).expect("a request")
        }
    };
    let read = fetch(&client(), to, request).await;
    served.abort();
    read
}

/// Plays these cases, and checks that none is taken for whole.
async fn check_none_is_whole(cases: Vec<Case>) {
    let permits = Arc::new(Semaphore::new(CONCURRENT_CASES));
    let mut plays = JoinSet::new();
    for case in cases {
        let permits = Arc::clone(&permits);
        plays.spawn(async move {
            let _permit = permits.acquire_owned().await.expect("an open semaphore");
            assert_eq!(play(case).await, None, "{case:?}");
        });
    }
    while let Some(played) = plays.join_next().await {
        played.expect("a case that holds");
    }
}

/// Returns what an answer is after each of its bytes but the last.
fn prefixes(answer: &'static str) -> impl Iterator<Item = &'static str> {
    (0..answer.len()).map(|cut| &answer[..cut])
}

/// Returns whether a head is complete in these bytes.
fn has_whole_head(bytes: &str) -> bool {
    bytes.contains("\r\n\r\n") || bytes.contains("\n\n")
}

/// Guards against a part of an answer that looks whole because its connection ended there, or went
/// silent.
#[tokio::test]
async fn verify_an_answer_cut_at_any_byte_is_not_whole() {
    for end in [End::Closed, End::Reset, End::Open] {
        let cuts = ANSWERS.into_iter().flat_map(prefixes);
        check_none_is_whole(cuts.map(|cut| Case::new(cut, end)).collect()).await;
    }
}

/// Guards against a line that is taken for complete at the edge of a read.
#[tokio::test]
async fn verify_an_answer_that_comes_byte_by_byte_is_not_whole_before_its_end() {
    let cuts = ANSWERS.into_iter().flat_map(prefixes);
    let cases = cuts.map(|cut| Case {
        pace: Pace::ByteByByte,
        ..Case::new(cut, End::Closed)
    });
    check_none_is_whole(cases.collect()).await;
    // The cuts are of answers that are whole with their last bytes.
    for answer in ANSWERS.into_iter().filter(|a| !a.contains("800")) {
        let case = Case {
            pace: Pace::ByteByByte,
            ..Case::new(answer, End::Closed)
        };
        assert!(play(case).await.is_some(), "{answer:?}");
    }
}

/// Guards against a part of an answer that looks whole because the request was not sent to its end.
#[tokio::test]
async fn verify_an_early_answer_cut_at_any_byte_is_not_whole() {
    for end in [End::Closed, End::Reset] {
        let cases = prefixes(ANSWERS[0]).map(|cut| Case {
            begin: Begin::AfterHead,
            ..Case::new(cut, end)
        });
        check_none_is_whole(cases.collect()).await;
    }
}

/// Answers the first request with a whole answer, and the second one, on whatever connection it
/// comes, with a failure behind these bytes.
async fn serve_two(listener: TcpListener, extra: &'static str, is_late: bool) {
    const FIRST: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";
    const SECOND: &str = "HTTP/1.1 500 No\r\ncontent-length: 6\r\n\r\nsecond";
    let (mut io, _) = listener.accept().await.expect("a connection");
    read_head(&mut io).await;
    let (at_once, late) = if is_late { ("", extra) } else { (extra, "") };
    let sent = io.write_all(format!("{FIRST}{at_once}").as_bytes()).await;
    sent.expect("a client that reads");
    let mut seen = Vec::new();
    let mut prefix = late;
    tokio::select! {
        read = io.read_buf(&mut seen) => if read.is_err() || seen.is_empty() {
            io = listener.accept().await.expect("a connection").0;
            read_head(&mut io).await;
            prefix = "";
        },
        accepted = listener.accept() => {
            io = accepted.expect("a connection").0;
            read_head(&mut io).await;
            prefix = "";
        }
    }
    let _sent = io.write_all(format!("{prefix}{SECOND}").as_bytes()).await;
    let _closed = io.shutdown().await;
}

/// Guards against a failure that looks like a success: the head of another answer, which was cut,
/// stood before it on a kept connection.
#[tokio::test]
async fn verify_a_cut_answer_behind_a_whole_one_is_no_part_of_the_next() {
    for is_late in [false, true] {
        let cuts = ANSWERS.into_iter().flat_map(prefixes);
        // A whole head of another answer is known by the id of its request.
        for extra in cuts.filter(|cut| !is_late || !has_whole_head(cut)) {
            let (listener, to) = bind().await;
            let served = tokio::spawn(serve_two(listener, extra, is_late));
            let client = client();
            let first = fetch(&client, to, get("/")).await;
            assert_eq!(first, Some((StatusCode::OK, "first".to_owned())));
            let second = fetch(&client, to, get("/")).await;
            let is_failure = second
                .as_ref()
                .is_none_or(|(status, _)| *status == StatusCode::INTERNAL_SERVER_ERROR);
            assert!(is_failure, "{is_late} {extra:?} {second:?}");
            served.abort();
        }
    }
}

/// Guards against answers that are refused for a protocol version in a header.
#[tokio::test]
async fn verify_a_header_may_name_a_protocol_version() {
    let answer = "HTTP/1.1 200 OK\r\nvia: HTTP/1.1 cache\r\ncontent-length: 4\r\n\r\ngood";
    let read = play(Case::new(answer, End::Closed)).await;
    assert_eq!(read, Some((StatusCode::OK, "good".to_owned())));
}

/// Guards against an answer without a status of its own: a switch of protocols, which no request asks
/// for, ended the connection of the caller it was passed on to.
#[tokio::test]
async fn verify_a_switch_of_protocols_is_no_answer() {
    let answer = "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: a\r\n\r\n";
    let read = play(Case::new(answer, End::Closed)).await;
    assert_eq!(read, None);
}
