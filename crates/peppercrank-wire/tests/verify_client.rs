// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests that the client reports what may have been sent, and never mixes up responses.

#[path = "support/http.rs"]
mod requests;

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use peppercrank_wire::Error;
use peppercrank_wire::body;
use peppercrank_wire::client::Cause;
use peppercrank_wire::client::Client;
use peppercrank_wire::client::ClientConfig;
use peppercrank_wire::client::Count;
use peppercrank_wire::client::Framing;
use peppercrank_wire::client::Reuse;
use peppercrank_wire::client::SendError;
use peppercrank_wire::headers::strip_hop_by_hop;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use requests::get;
use requests::text;

/// What the scripted server does with a connection.
#[derive(Debug, Clone, Copy)]
enum Script {
    /// Sends these bytes and closes the connection.
    Answer(&'static str),
    /// Sends these bytes and keeps the connection open until the client closes it.
    Keep(&'static str),
}

/// Runs the scripts in order, each on a new connection.
async fn play(scripts: Vec<Script>) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let played = tokio::spawn(async move {
        for script in scripts {
            let (mut io, _) = listener.accept().await.expect("a connection");
            request(&mut io).await;
            let (Script::Answer(answer) | Script::Keep(answer)) = script;
            // The client may have disconnected already.
            let _sent = io.write_all(answer.as_bytes()).await;
            if matches!(script, Script::Keep(_)) {
                let _left = io.read_to_end(&mut Vec::new()).await;
            }
        }
    });
    (address, played)
}

/// Reads a request without a body.
async fn request(io: &mut TcpStream) {
    let mut seen = Vec::new();
    while !seen.ends_with(b"\r\n\r\n") {
        let read = io.read_buf(&mut seen).await.expect("a request");
        assert!(read > 0, "the client left within its request");
    }
}

const GOOD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood";
const BAD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad";

#[tokio::test]
async fn verify_send_outcomes() {
    let short = ClientConfig {
        first_byte: Duration::from_millis(300),
        ..ClientConfig::default()
    };
    let long = ClientConfig::default();
    let endless = format!("HTTP/1.1 200 OK\r\na: {}", "a".repeat(200_000));
    let endless: &str = Box::leak(endless.into_boxed_str());
    let cases = [
        (Script::Answer(""), &long, Cause::Closed),
        (Script::Answer("HTTP/1.1 200"), &long, Cause::Closed),
        (Script::Answer("nonsense\r\n\r\n"), &long, Cause::Malformed),
        (
            Script::Answer("HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n"),
            &long,
            Cause::Malformed,
        ),
        (Script::Answer(endless), &long, Cause::Malformed),
        (Script::Keep(""), &short, Cause::FirstByte),
        (Script::Keep("HTTP/1.1 200"), &short, Cause::FirstByte),
    ];
    for (script, times, cause) in cases {
        let (to, played) = play(vec![script]).await;
        let client = Client::new(times.clone());
        let sent = client.send(to, get("/"), Reuse::Allowed).await;
        let fate = sent.expect_err("no answer");
        assert_eq!(fate, SendError::MayHaveBeenSent(cause), "{script:?}");
        assert_eq!(
            client.counters().get(Count::MayHaveBeenSent),
            1,
            "{script:?}"
        );
        // The connection was closed; otherwise the script would not end.
        played.await.expect("a script played");
    }
}

#[tokio::test]
async fn verify_nothing_is_sent_without_a_connection() {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let to = listener.local_addr().expect("an address");
    drop(listener);
    let client = Client::new(ClientConfig::default());
    let sent = client.send(to, get("/"), Reuse::Allowed).await;
    let refused = SendError::NotSent(Cause::Connect(io::ErrorKind::ConnectionRefused));
    assert_eq!(sent.expect_err("no answer"), refused);
    assert_eq!(client.counters().get(Count::NotSent), 1);
}

#[tokio::test]
async fn verify_pending_connections_are_counted() {
    let client = Client::new(ClientConfig::default());
    assert_eq!(
        (
            client.pending_connections().count(),
            client.pending_connections().last_established()
        ),
        (0, None)
    );
    let (address, played) = play(vec![Script::Answer(GOOD)]).await;
    let answer = client.send(address, get("/"), Reuse::Never).await;
    let _whole = answer.expect("an answer");
    played.await.expect("a server");
    let made = client.pending_connections().last_established();
    assert!(made.is_some());
    // A failed connection and an abandoned one no longer count, and neither was established.
    let failed = client.send(address, get("/"), Reuse::Never).await;
    let _refused = failed.expect_err("nobody listens");
    let given_up = timeout(Duration::ZERO, client.send(address, get("/"), Reuse::Never)).await;
    assert!(!given_up.is_ok_and(|sent| sent.is_ok()));
    assert_eq!(
        (
            client.pending_connections().count(),
            client.pending_connections().last_established()
        ),
        (0, made)
    );
}

#[tokio::test]
async fn verify_an_aborted_request_body_is_reported() {
    let (to, played) = play(vec![Script::Answer(GOOD)]).await;
    let (feed, body) = body::channel(1);
    drop(feed);
    let request = Request::post("/").body(body).expect("a good path");
    let client = Client::new(ClientConfig::default());
    let sent = client.send(to, request, Reuse::Allowed).await;
    assert_eq!(
        sent.expect_err("no answer"),
        SendError::MayHaveBeenSent(Cause::Aborted)
    );
    played.abort();
}

#[tokio::test]
async fn verify_bodies() {
    let times = ClientConfig {
        idle: Duration::from_millis(300),
        ..ClientConfig::default()
    };
    let cases = [
        (Script::Keep(GOOD), Ok("good"), Framing::Length),
        (
            Script::Answer(&GOOD[..GOOD.len() - 1]),
            Err(Error::ResponseCut),
            Framing::Length,
        ),
        (
            Script::Keep(&GOOD[..GOOD.len() - 1]),
            Err(Error::ResponseIdle),
            Framing::Length,
        ),
        (
            Script::Keep(
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
            ),
            Ok("good"),
            Framing::Chunked,
        ),
        (
            Script::Answer("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ngood\r\n"),
            Err(Error::ResponseCut),
            Framing::Chunked,
        ),
        (
            Script::Answer("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nxx\r\n"),
            Err(Error::ResponseCut),
            Framing::Chunked,
        ),
        // It is unknown whether this body is complete, which its framing states.
        (
            Script::Answer("HTTP/1.1 200 OK\r\n\r\ngood"),
            Ok("good"),
            Framing::Close,
        ),
        (
            Script::Answer("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked, gzip\r\n\r\ngood"),
            Ok("good"),
            Framing::Close,
        ),
        (
            Script::Keep("HTTP/1.1 204 No Content\r\ntransfer-encoding: chunked\r\n\r\n"),
            Ok(""),
            Framing::Length,
        ),
        (
            Script::Keep("HTTP/1.1 204 No Content\r\n\r\n"),
            Ok(""),
            Framing::Length,
        ),
    ];
    for (script, expected, framing) in cases {
        let (to, played) = play(vec![script]).await;
        let client = Client::new(times.clone());
        let answer = client
            .send(to, get("/"), Reuse::Allowed)
            .await
            .expect("an answer");
        let body = answer.into_body();
        assert_eq!(body.framing(), framing, "{script:?}");
        assert_eq!(
            text(body).await.as_deref(),
            expected.as_deref(),
            "{script:?}"
        );
        drop(client);
        played.await.expect("a script played");
    }
}

#[tokio::test]
async fn verify_late_and_mismatched_responses_are_discarded() {
    let twice = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood\
                 HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad";
    let closing = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 4\r\n\r\ngood";
    let old = "HTTP/1.0 200 OK\r\ncontent-length: 4\r\n\r\ngood";
    let cases = [
        (Script::Keep(twice), false),
        (Script::Keep(closing), false),
        (Script::Keep(old), false),
        (Script::Answer(GOOD), true),
    ];
    for (first, wait) in cases {
        let (to, played) = play(vec![first, Script::Keep(GOOD)]).await;
        let client = Client::new(ClientConfig::default());
        for _ in 0..2 {
            let sent = client.send(to, get("/"), Reuse::Allowed).await;
            let body = sent.expect("an answer").into_body();
            assert_eq!(text(body).await.as_deref(), Ok("good"), "{first:?}");
            // A close may take a while; the other cases must hold immediately.
            while wait
                && client.counters().get(Count::Connected) == 1
                && client.idle_connections() > 0
            {
                tokio::task::yield_now().await;
            }
        }
        assert_eq!(client.counters().get(Count::Connected), 2, "{first:?}");
        drop(client);
        played.await.expect("a script played");
    }
}

#[tokio::test]
async fn verify_kept_connections() {
    let (to, played) = play(vec![Script::Keep(GOOD), Script::Keep(BAD)]).await;
    let client = Client::new(ClientConfig {
        keep: Duration::ZERO,
        ..ClientConfig::default()
    });
    for expected in ["good", "bad"] {
        // Kept longer than the limit.
        let answer = client
            .send(to, get("/"), Reuse::Allowed)
            .await
            .expect("an answer");
        assert_eq!(text(answer.into_body()).await.as_deref(), Ok(expected));
    }
    assert_eq!(client.counters().get(Count::Reused), 0);
    drop(client);
    played.await.expect("a script played");
}

/// Responds to the first request of each connection as soon as its head arrives, and reads nothing
/// more.
fn answer_early() -> (SocketAddr, JoinHandle<()>) {
    /// Bytes that a connection can buffer unread.
    const UNREAD: u32 = 64 << 10;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(UNREAD).expect("a small buffer");
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(any).expect("a free port");
    let listener = socket.listen(16).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let answering = tokio::spawn(async move {
        let mut kept = Vec::new();
        while let Ok((mut io, _)) = listener.accept().await {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(io.read_u8().await.expect("a head"));
            }
            io.write_all(GOOD.as_bytes()).await.expect("a client");
            kept.push(io);
        }
    });
    (address, answering)
}

#[tokio::test]
async fn verify_no_request_waits_for_one_that_is_still_being_sent() {
    /// More than the buffers on both sides of a connection can hold.
    const LONG: usize = 16 << 20;
    /// Timeout of the test, which is only reached if it fails.
    const GIVEN_UP: Duration = Duration::from_secs(30);
    let (feed, endless) = body::channel(1);
    feed.send("the first part".into()).await.expect("room");
    for unread in [endless, body::full(vec![b'x'; LONG])] {
        let (to, answering) = answer_early();
        // A request that waits for the long one would wait until the timeout of the test.
        let client = Client::new(ClientConfig {
            connect: GIVEN_UP * 2,
            ..ClientConfig::default()
        });
        let long = Request::post("/").body(unread).expect("a request");
        let sending = async {
            for request in [long, get("/")] {
                let sent = client.send(to, request, Reuse::Allowed).await;
                let answer = sent.expect("an answer").into_body();
                assert_eq!(text(answer).await.as_deref(), Ok("good"));
            }
        };
        let sent = timeout(GIVEN_UP, sending).await;
        sent.expect("no wait for a request that is still being sent");
        assert_eq!(client.counters().get(Count::Connected), 2);
        answering.abort();
    }
}

/// Name and value of a header.
type Pair = (&'static str, &'static str);

#[test]
fn verify_hop_by_hop_headers() {
    let cases: [(&[Pair], &[&str]); 5] = [
        (
            &[("accept", "a"), ("te", "trailers"), ("upgrade", "h2c")],
            &["accept"],
        ),
        (
            &[
                ("connection", "close, X-Own"),
                ("x-own", "1"),
                ("x-other", "2"),
            ],
            &["x-other"],
        ),
        (&[("connection", "keep-alive"), ("keep-alive", "1")], &[]),
        // Listing the length must not remove the framing of the message.
        (
            &[("connection", "content-length"), ("content-length", "4")],
            &["content-length"],
        ),
        (
            &[("transfer-encoding", "chunked"), ("content-length", "4")],
            &[],
        ),
    ];
    for (given, left) in cases {
        let mut headers = HeaderMap::new();
        for (name, value) in given {
            let name = HeaderName::from_bytes(name.as_bytes()).expect("a name");
            headers.append(name, HeaderValue::from_str(value).expect("a value"));
        }
        strip_hop_by_hop(&mut headers);
        let names: Vec<_> = headers.keys().map(HeaderName::as_str).collect();
        assert_eq!(names, left, "{given:?}");
    }
}

#[tokio::test]
async fn verify_body_sender_applies_backpressure() {
    let (feed, body) = body::channel(1);
    let part = Bytes::from_static(b"a");
    feed.send(part.clone()).await.expect("room");
    let mut second = Box::pin(feed.send(part.clone()));
    assert!(futures::poll!(&mut second).is_pending());
    drop(body);
    assert_eq!(second.await, Err(Error::ReaderGone));
    assert!(feed.is_closed());
}
