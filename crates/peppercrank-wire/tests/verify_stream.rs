// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests that responses are streamed event by event, that truncation is an error, and that a
//! disconnect cancels them.

#[path = "support/edge.rs"]
mod edges;
#[path = "support/http.rs"]
mod requests;

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use peppercrank_wire::Error;
use peppercrank_wire::body;
use peppercrank_wire::client::Client;
use peppercrank_wire::client::ClientConfig;
use peppercrank_wire::client::Count;
use peppercrank_wire::client::Reuse;
use peppercrank_wire::edge::Limits;
use peppercrank_wire::edge::Reply;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;

use edges::echo;
use edges::start;
use requests::get;
use requests::text;

#[tokio::test]
async fn verify_events_arrive_one_by_one() {
    let step = Arc::new(Semaphore::new(0));
    let gate = Arc::clone(&step);
    let running = start(Limits::default(), move |_call| {
        let (feed, body) = body::channel(1);
        let gate = Arc::clone(&gate);
        tokio::spawn(async move {
            for n in 0..3 {
                let event = Bytes::from(format!("data: {n}\n\n"));
                feed.send(event).await.expect("a reader");
                // The next event is sent only after the caller has received this one.
                gate.acquire().await.expect("an open gate").forget();
            }
            feed.finish();
        });
        std::future::ready(Reply::new(body))
    })
    .await;
    let client = Client::new(ClientConfig::default());
    let answer = client.send(running.address, get("/"), Reuse::Allowed).await;
    let mut body = answer.expect("an answer").into_body();
    for n in 0..3 {
        let frame = body.frame().await.expect("an event").expect("a whole one");
        assert_eq!(
            frame.data_ref(),
            Some(&Bytes::from(format!("data: {n}\n\n")))
        );
        step.add_permits(1);
    }
    assert!(body.frame().await.is_none());
}

#[tokio::test]
async fn verify_a_truncated_response_is_an_error() {
    let step = Arc::new(Semaphore::new(0));
    let gate = Arc::clone(&step);
    let running = start(Limits::default(), move |_call| {
        let (feed, body) = body::channel(1);
        let gate = Arc::clone(&gate);
        tokio::spawn(async move {
            let half = Bytes::from_static(b"half");
            feed.send(half).await.expect("a reader");
            // Dropped before the end, once the caller has received the head.
            gate.acquire().await.expect("an open gate").forget();
            drop(feed);
        });
        std::future::ready(Reply::new(body))
    })
    .await;
    let client = Client::new(ClientConfig::default());
    let answer = client.send(running.address, get("/"), Reuse::Allowed).await;
    let body = answer.expect("a head").into_body();
    step.add_permits(1);
    assert_eq!(text(body).await, Err(Error::ResponseCut));
    assert_eq!(running.counters.gone(), 0);
    assert_eq!(running.stop().await.cut, 0);
}

#[tokio::test]
async fn verify_a_disconnect_drops_the_response() {
    let (dropped, mut heard) = mpsc::unbounded_channel();
    let running = start(Limits::default(), move |call| {
        let guard = DropNotifier(dropped.clone());
        let early = call.head.uri.path() == "/head";
        async move {
            if early {
                // No response has started when the caller disconnects.
                std::future::pending::<()>().await;
            }
            let (feed, body) = body::channel(1);
            tokio::spawn(async move {
                feed.send(Bytes::from_static(b"one"))
                    .await
                    .expect("a reader");
                feed.closed().await;
                drop(guard);
            });
            Reply::new(body)
        }
    })
    .await;
    let client = Client::new(ClientConfig::default());
    let answer = client
        .send(running.address, get("/body"), Reuse::Allowed)
        .await;
    let mut body = answer.expect("a head").into_body();
    body.frame().await.expect("a frame").expect("a whole one");
    drop(body);
    heard.recv().await.expect("the stream dropped");
    let mut sending = Box::pin(client.send(running.address, get("/head"), Reuse::Allowed));
    while running.counters.calls() < 2 {
        assert!(futures::poll!(&mut sending).is_pending());
        tokio::task::yield_now().await;
    }
    drop(sending);
    heard.recv().await.expect("the future dropped");
    assert_eq!(client.counters().get(Count::Reused), 0);
}

#[tokio::test]
async fn verify_unread_connection_is_not_reused() {
    let running = start(Limits::default(), echo).await;
    let client = Client::new(ClientConfig::default());
    let cases = [("read", true, 1), ("dropped", false, 1), ("read", true, 2)];
    for (name, whole, connected) in cases {
        let answer = client
            .send(running.address, get("/a"), Reuse::Allowed)
            .await;
        let body = answer.expect("an answer").into_body();
        if whole {
            assert_eq!(text(body).await.expect("a body"), "GET /a ");
        }
        assert_eq!(client.counters().get(Count::Connected), connected, "{name}");
    }
    let answer = client.send(running.address, get("/a"), Reuse::Never).await;
    drop(answer.expect("an answer"));
    assert_eq!(client.counters().get(Count::Connected), 3);
}

#[tokio::test]
async fn verify_a_proxy_forwards_truncation_and_cancellation() {
    let (dropped, mut heard) = mpsc::unbounded_channel();
    let step = Arc::new(Semaphore::new(0));
    let gate = Arc::clone(&step);
    let origin = start(Limits::default(), move |call| {
        let told = DropNotifier(dropped.clone());
        let gate = Arc::clone(&gate);
        let cuts = call.head.uri.path() == "/cut";
        let (feed, body) = body::channel(1);
        tokio::spawn(async move {
            let part = Bytes::from_static(b"part");
            feed.send(part).await.expect("a reader");
            if cuts {
                gate.acquire().await.expect("an open gate").forget();
            } else {
                feed.closed().await;
            }
            drop((feed, told));
        });
        std::future::ready(Reply::new(body))
    })
    .await;
    let upstream = Client::new(ClientConfig::default());
    let hop = start(Limits::default(), move |call| {
        let (client, to) = (upstream.clone(), origin.address);
        async move {
            let request = get(call.head.uri.path());
            let sent = client.send(to, request, Reuse::Allowed).await;
            sent.expect("an answer").map(BodyExt::boxed_unsync)
        }
    })
    .await;
    let client = Client::new(ClientConfig::default());
    let sent = client.send(hop.address, get("/cut"), Reuse::Allowed).await;
    let body = sent.expect("a head").into_body();
    step.add_permits(1);
    assert_eq!(text(body).await, Err(Error::ResponseCut));
    heard.recv().await.expect("the cut stream dropped");

    let sent = client.send(hop.address, get("/long"), Reuse::Allowed).await;
    let mut body = sent.expect("a head").into_body();
    body.frame().await.expect("a frame").expect("a whole one");
    drop(body);
    heard.recv().await.expect("the origin's stream dropped");
}

/// Sends a notification when it is dropped.
struct DropNotifier(mpsc::UnboundedSender<()>);

impl Drop for DropNotifier {
    fn drop(&mut self) {
        // The test may be over.
        let _told = self.0.send(());
    }
}
