// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests that each caller gets its own complete response, however requests are fragmented,
//! interleaved, dropped or stopped.

#[path = "support/edge.rs"]
mod edges;
#[path = "support/raw.rs"]
mod raw;
#[path = "support/http.rs"]
mod requests;

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use peppercrank_wire::body;
use peppercrank_wire::client::Client;
use peppercrank_wire::client::ClientConfig;
use peppercrank_wire::client::Count;
use peppercrank_wire::client::Reuse;
use peppercrank_wire::client::SendError;
use peppercrank_wire::edge::Call;
use peppercrank_wire::edge::Limits;
use peppercrank_wire::edge::Reply;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use edges::echo;
use edges::start;
use raw::exchange;
use requests::get;
use requests::text;

/// Number of concurrent callers, and of calls per caller.
const CALLERS: u64 = 16;
const CALLS: usize = 150;

/// Returns a random number below `end`.
fn draw(rng: &mut ChaCha8Rng, end: usize) -> usize {
    let wide = u64::from(rng.next_u32()) * end as u64;
    usize::try_from(wide >> 32).expect("a number below the end")
}

/// Responds with the body, in chunks if the path asks for it.
async fn repeat(call: Call) -> Reply {
    let chunked = call.head.uri.path() == "/chunked";
    let bytes = call.body.read().await.expect("a whole body");
    if !chunked {
        return Reply::new(body::full(bytes));
    }
    let (feed, body) = body::channel(1);
    tokio::spawn(async move {
        for part in bytes.chunks(1_000) {
            if feed.send(Bytes::copy_from_slice(part)).await.is_err() {
                return;
            }
        }
        feed.finish();
    });
    Reply::new(body)
}

#[tokio::test]
async fn verify_mixed_calls_get_their_own_answers() {
    let running = start(Limits::default(), repeat).await;
    let client = Client::new(ClientConfig::default());
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let (client, to) = (client.clone(), running.address);
        callers.spawn(async move {
            let mut rng = ChaCha8Rng::seed_from_u64(caller);
            for call in 0..CALLS {
                let own = format!("{caller}-{call} ").repeat(1 + draw(&mut rng, 2_000));
                let path = ["/sized", "/chunked"][draw(&mut rng, 2)];
                let request = Request::post(path).body(body::full(own.clone()));
                let request = request.expect("a good path");
                let sent = client.send(to, request, Reuse::Allowed).await;
                let mut answer = sent.expect("an answer").into_body();
                match draw(&mut rng, 3) {
                    0 => drop(answer),
                    1 => {
                        let frame = answer.frame().await.expect("a frame");
                        let data = frame.expect("a whole one").into_data().expect("data");
                        assert!(own.as_bytes().starts_with(&data), "{caller} {call}");
                    }
                    _ => {
                        let whole = answer.collect().await.expect("a whole answer");
                        assert_eq!(whole.to_bytes(), own.as_bytes(), "{caller} {call}");
                    }
                }
            }
        });
    }
    while let Some(caller) = callers.join_next().await {
        caller.expect("a caller without a fault");
    }
    assert!(client.counters().get(Count::Reused) > 0);
}

#[tokio::test]
async fn verify_fragmented_requests() {
    let running = start(Limits::default(), echo).await;
    let requests = "\r\nGET /a HTTP/1.1\r\nhost: a\r\n\r\n\
                    POST /b HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n\r\n\r\n\
                    GET /c HTTP/1.1\nhost: a\n\n\
                    POST /d HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for longest in [1, 2, 3, 7, 40, 400] {
        let mut io = TcpStream::connect(running.address)
            .await
            .expect("a connection");
        io.set_nodelay(true).expect("an open socket");
        let mut left = requests.as_bytes();
        while !left.is_empty() {
            let len = left.len().min(1 + draw(&mut rng, longest));
            io.write_all(&left[..len]).await.expect("sent");
            left = &left[len..];
            // Usually the server receives the fragment separately.
            tokio::task::yield_now().await;
        }
        let mut answer = Vec::new();
        io.read_to_end(&mut answer).await.expect("a proper close");
        let answer = String::from_utf8_lossy(&answer);
        let places =
            ["GET /a ", "POST /b \r\n\r\n", "GET /c ", "POST /d abc"].map(|p| answer.find(p));
        assert!(places.iter().all(Option::is_some), "{longest}: {answer}");
        assert!(places.is_sorted(), "{longest}: {answer}");
        assert_eq!(
            answer.matches("HTTP/1.1 200 ").count(),
            4,
            "{longest}: {answer}"
        );
    }
}

#[tokio::test]
async fn verify_mutated_requests_do_not_affect_other_calls() {
    let running = start(Limits::default(), echo).await;
    let good = "POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\nx: y\r\n\r\nabc\
                POST /b HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..1_500 {
        let mut bytes = good.as_bytes().to_vec();
        for _ in 0..=draw(&mut rng, 3) {
            let at = draw(&mut rng, bytes.len());
            match draw(&mut rng, 3) {
                0 => drop(bytes.remove(at)),
                1 => bytes.insert(at, b"\r\n :0\0\xff"[draw(&mut rng, 7)]),
                _ => bytes[at] ^= 1 << draw(&mut rng, 8),
            }
        }
        let mut io = TcpStream::connect(running.address)
            .await
            .expect("a connection");
        // The server may already have refused the request and closed the connection.
        let _sent = io.write_all(&bytes).await;
        let _ended = io.shutdown().await;
        let mut answer = Vec::new();
        let _closed = io.read_to_end(&mut answer).await;
        let answer = String::from_utf8_lossy(&answer);
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 "),
            "{answer}"
        );
    }
    let last = b"GET /last HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let answer = exchange(running.address, last).await;
    assert!(answer.ends_with("GET /last "), "{answer}");
    let counters = std::sync::Arc::clone(&running.counters);
    assert_eq!(running.stop().await.cut, 0);
    assert_eq!(
        (counters.open(), counters.busy(), counters.body_bytes()),
        (0, 0, 0)
    );
}

#[tokio::test]
async fn verify_an_early_refusal_reaches_the_caller() {
    let limits = Limits {
        body: 100,
        ..Limits::default()
    };
    let running = start(limits, echo).await;
    let client = Client::new(ClientConfig::default());
    // A length that is refused with the head, and chunks that are refused while they arrive.
    for (size, sized) in [
        (1_000, true),
        (500_000, true),
        (500_000, false),
        (8_000_000, true),
    ] {
        let body = if sized {
            body::full(vec![b'a'; size])
        } else {
            let (feed, body) = body::channel(1);
            tokio::spawn(async move {
                while feed.send(Bytes::from(vec![b'a'; 1_000])).await.is_ok() {}
            });
            body
        };
        let request = Request::post("/").body(body).expect("a good path");
        let sent = client.send(running.address, request, Reuse::Allowed).await;
        let answer = sent.expect("an answer");
        assert_eq!(answer.status(), 413, "{size} {sized}");
        let text = answer.into_body().collect().await.expect("a whole answer");
        let text = String::from_utf8_lossy(&text.to_bytes()).into_owned();
        assert!(text.contains("body_too_big"), "{size} {sized}: {text}");
    }
    // No connection is reused whose request was not read completely.
    let sent = client
        .send(running.address, get("/after"), Reuse::Allowed)
        .await;
    let answer = sent.expect("an answer").into_body();
    assert_eq!(text(answer).await.as_deref(), Ok("GET /after "));
}

#[tokio::test]
async fn verify_stop_under_load_aborts_no_call() {
    let limits = Limits {
        stop_idle: Duration::from_secs(2),
        ..Limits::default()
    };
    let running = start(limits, repeat).await;
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let to = running.address;
        callers.spawn(async move {
            // Each caller has its own pool, so that some connections are idle while the server
            // stops.
            let client = Client::new(ClientConfig::default());
            let own = format!("{caller} ").repeat(1_000);
            loop {
                let request = Request::post("/chunked").body(body::full(own.clone()));
                let request = request.expect("a good path");
                let answer = match client.send(to, request, Reuse::Allowed).await {
                    Ok(answer) => answer,
                    // The listener is closed, which is how a late caller learns of the shutdown.
                    Err(SendError::NotSent(_)) => return,
                    Err(e) => panic!("{e}"),
                };
                let closes = answer.headers().contains_key("connection");
                let whole = answer.into_body().collect().await.expect("a whole answer");
                assert_eq!(whole.to_bytes(), own.as_bytes());
                if closes {
                    // The caller has learnt of the shutdown and uses another server.
                    return;
                }
            }
        });
    }
    while running.counters.calls() < 200 {
        tokio::task::yield_now().await;
    }
    running.stopper.stop();
    while let Some(caller) = callers.join_next().await {
        caller.expect("a caller whose answers were whole");
    }
    assert_eq!(running.ended.await.expect("an end").cut, 0);
}
