// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests that callers which are slow, silent, half closed or too many hold no resources forever.

#[path = "support/edge.rs"]
mod edges;
#[path = "support/raw.rs"]
mod raw;

use std::time::Duration;

use bytes::Bytes;
use peppercrank_wire::body;
use peppercrank_wire::edge::Call;
use peppercrank_wire::edge::Limits;
use peppercrank_wire::edge::Refused;
use peppercrank_wire::edge::Reply;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use edges::echo;
use edges::start;
use raw::exchange;
use raw::read_all;

/// Short enough to wait for, and long enough that pauses of a loaded machine do not matter: each
/// case ends when its limit expires, however late.
const SHORT: Duration = Duration::from_millis(40);

/// For a limit that must not expire before the bytes of a case have arrived, even on a busy
/// machine.
const LONG: Duration = Duration::from_millis(800);

const GET: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Sends a notification when it is dropped.
struct DropNotifier(mpsc::UnboundedSender<()>);

impl Drop for DropNotifier {
    fn drop(&mut self) {
        // The test may be over.
        let _told = self.0.send(());
    }
}

/// Never responds, and sends a notification when it is cancelled.
async fn never(call: Call, told: DropNotifier) -> Reply {
    let _told = told;
    // A disconnect is detected once the body was read.
    call.body.read().await.expect("a body");
    std::future::pending().await
}

#[tokio::test]
async fn verify_slow_requests_end() {
    let limits = Limits {
        head_time: SHORT,
        body_time: SHORT,
        ..Limits::default()
    };
    let running = start(limits, echo).await;
    let cases = [
        ("GET / HT", "HTTP/1.1 408 ", Refused::HeadTimeout),
        (
            "GET / HTTP/1.1\r\nhost: a\r\n",
            "HTTP/1.1 408 ",
            Refused::HeadTimeout,
        ),
        ("\r\n\r\n", "HTTP/1.1 408 ", Refused::HeadTimeout),
        (
            "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc",
            "HTTP/1.1 408 ",
            Refused::BodyTimeout,
        ),
        (
            "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
            "HTTP/1.1 408 ",
            Refused::BodyTimeout,
        ),
    ];
    for (sent, start, reason) in cases {
        let before = running.counters.refused(reason);
        let answer = exchange(running.address, sent.as_bytes()).await;
        assert!(answer.starts_with(start), "{sent:?}: {answer}");
        assert!(answer.contains(reason.code()), "{sent:?}: {answer}");
        assert_eq!(running.counters.refused(reason), before + 1, "{sent:?}");
    }
    assert_eq!(running.stop().await.cut, 0);
}

#[tokio::test]
async fn verify_silent_callers_are_closed() {
    let limits = Limits {
        idle: LONG,
        head_time: LONG,
        ..Limits::default()
    };
    let running = start(limits, echo).await;
    assert_eq!(exchange(running.address, b"").await, "");
    // And a caller that sends nothing more.
    let answer = exchange(running.address, GET).await;
    assert!(answer.ends_with("GET / "), "{answer}");
    assert_eq!(running.counters.calls(), 1);
}

/// Guards against a first request that is not answered, as its connection counts as idle before it
/// arrives.
#[tokio::test]
async fn verify_a_short_idle_time_leaves_time_for_the_first_request() {
    let limits = Limits {
        idle: Duration::ZERO,
        ..Limits::default()
    };
    let running = start(limits, echo).await;
    let mut io = TcpStream::connect(running.address)
        .await
        .expect("a connection");
    tokio::time::sleep(SHORT).await;
    io.write_all(GET).await.expect("sent");
    // The connection is closed right after the answer.
    let answer = read_all(&mut io).await;
    assert!(answer.ends_with("GET / "), "{answer}");
}

#[tokio::test]
async fn verify_slow_heads_are_bounded_by_the_total_time() {
    let limits = Limits {
        head_time: SHORT,
        ..Limits::default()
    };
    let running = start(limits, echo).await;
    let mut io = TcpStream::connect(running.address)
        .await
        .expect("a connection");
    io.write_all(b"GET / HTTP/1.1\r\n").await.expect("sent");
    // Sends one header after the other: each byte arrives in time, but the whole head never does.
    while running.counters.refused(Refused::HeadTimeout) == 0 {
        if io.write_all(b"a: b\r\n").await.is_err() {
            break;
        }
        tokio::time::sleep(SHORT / 8).await;
    }
    assert_eq!(running.counters.refused(Refused::HeadTimeout), 1);
    assert_eq!(running.counters.calls(), 0);
}

/// Guards against callers that keep the server busy with the framing of a chunked body without end.
#[tokio::test]
async fn verify_framing_without_end_is_refused() {
    for framing in ["0", "5;a", "0\r\na: "] {
        let running = start(Limits::default(), echo).await;
        let mut io = TcpStream::connect(running.address)
            .await
            .expect("a connection");
        let head = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
        io.write_all(head.as_bytes()).await.expect("sent");
        io.write_all(framing.as_bytes()).await.expect("sent");
        let block = [b'0'; 16_384];
        // The server closes the connection long before the end of this.
        for _ in 0..4_096 {
            if io.write_all(&block).await.is_err() {
                break;
            }
        }
        while running.counters.busy() > 0 {
            tokio::task::yield_now().await;
        }
        assert_eq!(running.counters.refused(Refused::BadBody), 1, "{framing:?}");
        assert_eq!(running.counters.refused(Refused::BodyTimeout), 0);
    }
}

#[tokio::test]
async fn verify_an_unread_response_is_aborted() {
    let limits = Limits {
        write: SHORT,
        ..Limits::default()
    };
    let (tell, mut heard) = mpsc::unbounded_channel();
    let running = start(limits, move |_call| {
        let (feed, body) = body::channel(1);
        let told = DropNotifier(tell.clone());
        tokio::spawn(async move {
            let frame = Bytes::from(vec![0; 64 * 1_024]);
            while feed.send(frame.clone()).await.is_ok() {}
            drop(told);
        });
        std::future::ready(Reply::new(body))
    })
    .await;
    let mut io = TcpStream::connect(running.address)
        .await
        .expect("a connection");
    io.write_all(GET).await.expect("sent");
    heard.recv().await.expect("the writer stopped");
    assert_eq!(running.counters.refused(Refused::WriteTimeout), 1);
}

#[tokio::test]
async fn verify_total_time_ends_the_call() {
    let limits = Limits {
        total: SHORT,
        ..Limits::default()
    };
    let (tell, mut heard) = mpsc::unbounded_channel();
    let running = start(limits, move |call| never(call, DropNotifier(tell.clone()))).await;
    let answer = exchange(running.address, GET).await;
    assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
    assert!(answer.contains(r#""run":"may_have_run""#), "{answer}");
    heard.recv().await.expect("the call dropped");
    assert_eq!(running.counters.refused(Refused::TotalTime), 1);
    assert_eq!(running.counters.busy(), 0);
}

#[tokio::test]
async fn verify_a_started_response_is_aborted_without_an_end() {
    let limits = Limits {
        total: LONG,
        ..Limits::default()
    };
    let running = start(limits, |_call| {
        let (feed, body) = body::channel(1);
        tokio::spawn(async move {
            let part = Bytes::from_static(b"part");
            feed.send(part).await.expect("a reader");
            feed.closed().await;
        });
        std::future::ready(Reply::new(body))
    })
    .await;
    let answer = exchange(running.address, GET).await;
    // Neither the last chunk nor a second response follows.
    assert!(answer.ends_with("4\r\npart\r\n"), "{answer}");
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
}

#[tokio::test]
async fn verify_disconnects_are_detected() {
    let (tell, mut heard) = mpsc::unbounded_channel();
    let running = start(Limits::default(), move |call| {
        never(call, DropNotifier(tell.clone()))
    })
    .await;
    let post: &[u8] = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\nx";
    let pipelined = [GET, GET].concat();
    // A caller that half closes, one that closes, and one that closes after it sent its next
    // request in advance.
    let cases = [
        (GET, true),
        (GET, false),
        (post, true),
        (post, false),
        (&pipelined, true),
        (&pipelined, false),
    ];
    for (at, (sent, half)) in (1..).zip(cases) {
        let mut io = TcpStream::connect(running.address)
            .await
            .expect("a connection");
        io.write_all(sent).await.expect("sent");
        while running.counters.calls() < at {
            tokio::task::yield_now().await;
        }
        if half {
            io.shutdown().await.expect("half closed");
            heard.recv().await.expect("the call dropped");
            assert_eq!(read_all(&mut io).await, "");
        } else {
            drop(io);
            heard.recv().await.expect("the call dropped");
        }
    }
    assert_eq!(running.stop().await.calls, 6);
}

#[tokio::test]
async fn verify_connections_are_bounded() {
    let limits = Limits {
        connections: 1,
        ..Limits::default()
    };
    let running = start(limits, echo).await;
    let mut first = TcpStream::connect(running.address)
        .await
        .expect("a connection");
    first.write_all(GET).await.expect("sent");
    let mut space = [0; 1_024];
    let read = first.read(&mut space).await.expect("an answer");
    assert!(space[..read].ends_with(b"GET / "));
    for _ in 0..3 {
        let answer = exchange(running.address, GET).await;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert!(
            answer.contains(r#""code":"connections","run":"not_run""#),
            "{answer}"
        );
        assert!(answer.contains("retry-after: "), "{answer}");
    }
    assert_eq!(running.counters.refused(Refused::Connections), 3);
    drop(first);
    while running.counters.open() > 0 {
        tokio::task::yield_now().await;
    }
    let last = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let answer = exchange(running.address, last).await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
}

#[tokio::test]
async fn verify_a_panic_affects_only_its_own_call() {
    let running = start(Limits::default(), |call| async move {
        assert_eq!(call.head.uri.path(), "/good", "a fault of this one call");
        Reply::new(body::empty())
    })
    .await;
    let good = b"GET /good HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    for _ in 0..3 {
        assert_eq!(exchange(running.address, GET).await, "");
        let answer = exchange(running.address, good).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    }
    while running.counters.open() > 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!((running.counters.calls(), running.counters.busy()), (6, 0));
}

#[tokio::test]
async fn verify_total_body_size_is_bounded() {
    let limits = Limits {
        bodies: 10,
        ..Limits::default()
    };
    let (tell, mut heard) = mpsc::unbounded_channel();
    let running = start(limits, move |call| {
        let told = DropNotifier(tell.clone());
        async move {
            match call.head.uri.path() {
                "/never" => never(call, told).await,
                _ => echo(call).await,
            }
        }
    })
    .await;
    let post = |path| {
        let start = format!("POST {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n");
        format!("{start}content-length: 8\r\n\r\n12345678").into_bytes()
    };
    let mut first = TcpStream::connect(running.address)
        .await
        .expect("a connection");
    first.write_all(&post("/never")).await.expect("sent");
    while running.counters.body_bytes() < 8 {
        tokio::task::yield_now().await;
    }
    let answer = exchange(running.address, &post("/")).await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    let code = r#""code":"body_memory","run":"not_run""#;
    assert!(answer.contains(code), "{answer}");
    assert!(answer.contains("retry-after: 1\r\n"), "{answer}");
    assert_eq!(running.counters.refused(Refused::BodyMemory), 1);
    // The memory is released with the call, however it ends.
    drop(first);
    heard.recv().await.expect("the call dropped");
    while running.counters.body_bytes() > 0 {
        tokio::task::yield_now().await;
    }
    for _ in 0..3 {
        let answer = exchange(running.address, &post("/")).await;
        assert!(answer.ends_with("POST / 12345678"), "{answer}");
    }
}
