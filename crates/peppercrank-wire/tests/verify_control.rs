// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests that control calls are authenticated, limited in time and size, and survive the loss of
//! connections.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_wire::control::ControlClient;
use peppercrank_wire::control::ControlClientConfig;
use peppercrank_wire::control::ControlCodec;
use peppercrank_wire::control::ControlError;
use peppercrank_wire::control::ControlLimits;
use peppercrank_wire::control::ControlRequest;
use peppercrank_wire::control::ControlResponse;
use peppercrank_wire::control::ControlServer;
use peppercrank_wire::control::Order;
use peppercrank_wire::seal::Identity;
use peppercrank_wire::seal::Key;
use peppercrank_wire::seal::KeyRing;
use peppercrank_wire::seal::Rejected;
use peppercrank_wire::seal::SenderId;
use peppercrank_wire::stop::Stopper;
use peppercrank_wire::stop::stop;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

const FREE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

struct Running {
    address: SocketAddr,
    codec: Arc<ControlCodec>,
    stopper: Stopper,
    ended: JoinHandle<()>,
    dropped: mpsc::UnboundedReceiver<()>,
}

fn ring(id: u32) -> KeyRing {
    KeyRing::new(vec![Key::new(id, &[7; 16]).expect("a key")]).expect("a ring")
}

fn identity(sender: u64) -> Identity {
    let sender = SenderId(sender);
    Identity { sender, boot: 1 }
}

/// A message that is accepted, one whose handling never ends, and one that gets the response of
/// another kind of call.
const PLAIN: &[u8] = b"plain";
const ENDLESS: &[u8] = b"endless";
const CROSSED: &[u8] = b"crossed";

fn order(text: &str) -> Order {
    Order {
        fence: 1,
        id: 2,
        seq: 3,
        order: text.to_owned(),
    }
}

async fn start(at: SocketAddr, limits: ControlLimits) -> Running {
    let server = ControlServer::bind(at, None, identity(1), ring(1), limits).await;
    let server = server.expect("a free port");
    let address = server.address();
    let codec = server.codec();
    let (stopper, stop) = stop();
    let (tell, dropped) = mpsc::unbounded_channel();
    let ended = tokio::spawn(server.serve(stop, move |from, ask| answer(from, ask, tell.clone())));
    Running {
        address,
        codec,
        stopper,
        ended,
        dropped,
    }
}

async fn answer(
    from: SenderId,
    ask: ControlRequest,
    tell: mpsc::UnboundedSender<()>,
) -> ControlResponse {
    assert_eq!(from, SenderId(2));
    match ask {
        ControlRequest::Config(message) if message == ENDLESS => {
            let _told = DropNotifier(tell);
            std::future::pending().await
        }
        ControlRequest::Config(message) if message == CROSSED => {
            ControlResponse::Order(String::new())
        }
        ControlRequest::Config(_) => ControlResponse::Received,
        // The response is three times as long as the order.
        ControlRequest::Order(order) => ControlResponse::Order(order.order.repeat(3)),
    }
}

/// Sends a notification when the future of a call is dropped.
struct DropNotifier(mpsc::UnboundedSender<()>);

impl Drop for DropNotifier {
    fn drop(&mut self) {
        // The test may be over.
        let _told = self.0.send(());
    }
}

fn client(ring: KeyRing, times: ControlClientConfig) -> ControlClient {
    ControlClient::new(identity(2), ring, times)
}

#[tokio::test]
async fn verify_calls_and_counts() {
    let running = start(FREE, ControlLimits::default()).await;
    let client = client(ring(1), ControlClientConfig::default());
    let to = running.address;
    assert_eq!(client.send_config(to, PLAIN.to_vec()).await, Ok(()));
    assert_eq!(
        client.send_order(to, order("{}")).await,
        Ok("{}{}{}".to_owned())
    );
    let crossed = client.send_config(to, CROSSED.to_vec()).await;
    assert_eq!(crossed, Err(ControlError::Unexpected));
    let sent = client.codec().traffic().by_kind();
    let received = running.codec.traffic().by_kind();
    for (kind, calls) in [("config", 2), ("order", 1)] {
        assert_eq!(
            (sent[kind].sent, sent[kind].received),
            (calls, calls),
            "{kind}"
        );
        assert_eq!(
            sent[kind].sent_bytes, received[kind].received_bytes,
            "{kind}"
        );
        assert_eq!(
            sent[kind].received_bytes, received[kind].sent_bytes,
            "{kind}"
        );
    }
    let (sent, received) = client.codec().bytes_transferred();
    assert_eq!(running.codec.bytes_transferred(), (received, sent));
    assert!(sent > client.codec().traffic().total().sent_bytes);
}

#[tokio::test]
async fn verify_deadline_ends_both_sides() {
    let mut running = start(FREE, ControlLimits::default()).await;
    let times = ControlClientConfig {
        call: Duration::from_millis(800),
        ..ControlClientConfig::default()
    };
    let client = client(ring(1), times);
    assert_eq!(
        client.send_config(running.address, ENDLESS.to_vec()).await,
        Err(ControlError::Timeout)
    );
    running.dropped.recv().await.expect("the call dropped");
}

#[tokio::test]
async fn verify_a_disconnect_cancels_the_call() {
    let mut running = start(FREE, ControlLimits::default()).await;
    // Far longer than the test takes, so that the deadline does not end the call.
    let call = Duration::from_secs(600);
    let times = ControlClientConfig {
        call,
        ..ControlClientConfig::default()
    };
    let client = client(ring(1), times);
    let mut call = Box::pin(client.send_config(running.address, ENDLESS.to_vec()));
    while !running.codec.traffic().by_kind().contains_key("config") {
        assert!(futures::poll!(&mut call).is_pending());
        tokio::task::yield_now().await;
    }
    drop(call);
    running.dropped.recv().await.expect("the call dropped");
}

#[tokio::test]
async fn verify_unknown_keys_are_refused() {
    let running = start(FREE, ControlLimits::default()).await;
    let stranger = client(ring(2), ControlClientConfig::default());
    let refused = ControlError::Refused(Rejected::UnknownKey);
    assert_eq!(
        stranger.send_config(running.address, PLAIN.to_vec()).await,
        Err(refused)
    );
    assert_eq!(running.codec.rejected(Rejected::UnknownKey), 1);
    // Keys can be rotated while the server runs.
    running.codec.rotate(&ring(2));
    assert_eq!(
        stranger.send_config(running.address, PLAIN.to_vec()).await,
        Ok(())
    );
}

#[tokio::test]
async fn verify_calls_for_another_address_are_refused() {
    let elsewhere = SocketAddr::from(([10, 0, 0, 1], 1));
    let limits = ControlLimits::default();
    let server = ControlServer::bind(FREE, Some(elsewhere), identity(1), ring(1), limits).await;
    let server = server.expect("a free port");
    assert_eq!(server.address(), elsewhere);
    let local = server.local_addr();
    let (_stopper, stop) = stop();
    tokio::spawn(server.serve(stop, |_, _| async { ControlResponse::Received }));
    // Simulates a call that was intercepted on its way to one process and sent to another.
    let client = client(ring(1), ControlClientConfig::default());
    let refused = ControlError::Refused(Rejected::Forged);
    assert_eq!(
        client.send_config(local, PLAIN.to_vec()).await,
        Err(refused)
    );
}

#[tokio::test]
async fn verify_invalid_input_does_not_affect_other_calls() {
    let running = start(
        FREE,
        ControlLimits {
            frame: 1_000,
            ..ControlLimits::default()
        },
    )
    .await;
    let garbage: [&[u8]; 4] = [
        b"GET / HTTP/1.1\r\n\r\n",
        &[0xff; 64],
        &[0, 0, 0, 4, 1, 2, 3, 4],
        // A frame whose length exceeds the limit.
        &[0, 1, 0, 0, 0],
    ];
    for bytes in garbage {
        let mut io = TcpStream::connect(running.address)
            .await
            .expect("a connection");
        io.write_all(bytes).await.expect("sent");
        // The server closes the connection, cleanly or with a reset.
        let _closed = io.read_to_end(&mut Vec::new()).await;
    }
    let client = client(ring(1), ControlClientConfig::default());
    assert_eq!(
        client.send_config(running.address, PLAIN.to_vec()).await,
        Ok(())
    );
}

#[tokio::test]
async fn verify_oversized_messages_are_reported() {
    let running = start(
        FREE,
        ControlLimits {
            frame: 2_000,
            ..ControlLimits::default()
        },
    )
    .await;
    let client = client(
        ring(1),
        ControlClientConfig {
            frame: 2_000,
            ..ControlClientConfig::default()
        },
    );
    let order_of = |length| order(&"x".repeat(length));
    assert_eq!(
        client.send_order(running.address, order_of(2_000)).await,
        Err(ControlError::TooLarge)
    );
    // The request fits, but the response does not.
    let ordering = client.send_order(running.address, order_of(1_000)).await;
    assert_eq!(ordering, Err(ControlError::TooLarge));
    assert_eq!(
        client.send_config(running.address, PLAIN.to_vec()).await,
        Ok(())
    );
}

#[tokio::test]
async fn verify_idle_connection_is_closed() {
    let limits = ControlLimits {
        idle: Duration::from_millis(20),
        ..ControlLimits::default()
    };
    let running = start(FREE, limits).await;
    let mut io = TcpStream::connect(running.address)
        .await
        .expect("a connection");
    assert_eq!(io.read(&mut [0]).await.expect("a proper close"), 0);
}

#[tokio::test]
async fn verify_stop_finishes_calls() {
    let limits = ControlLimits {
        drain: Duration::from_secs(60),
        ..ControlLimits::default()
    };
    let server = ControlServer::bind(FREE, None, identity(1), ring(1), limits).await;
    let server = server.expect("a free port");
    let address = server.address();
    let gate = Arc::new(Semaphore::new(0));
    let held = Arc::clone(&gate);
    let (stopper, stop) = stop();
    let codec = server.codec();
    let ended = tokio::spawn(server.serve(stop, move |_, _| {
        let held = Arc::clone(&held);
        async move {
            held.acquire().await.expect("an open gate").forget();
            // More than a socket accepts at once.
            ControlResponse::Order("x".repeat(3_000_000))
        }
    }));
    let call = Duration::from_secs(60);
    let times = ControlClientConfig {
        call,
        ..ControlClientConfig::default()
    };
    let client = client(ring(1), times);
    let call = tokio::spawn({
        let client = client.clone();
        async move { client.send_order(address, order("{}")).await }
    });
    while codec.traffic().total().received == 0 {
        tokio::task::yield_now().await;
    }
    stopper.stop();
    while TcpStream::connect(address).await.is_ok() {}
    gate.add_permits(1);
    let told = call.await.expect("a call without a panic");
    assert_eq!(told.map(|t| t.len()), Ok(3_000_000));
    ended.await.expect("an end");
}

#[tokio::test]
async fn verify_restart_is_survived() {
    let running = start(FREE, ControlLimits::default()).await;
    let address = running.address;
    let client = client(ring(1), ControlClientConfig::default());
    assert_eq!(client.send_config(address, PLAIN.to_vec()).await, Ok(()));
    running.stopper.stop();
    running.ended.await.expect("an end");
    let gone = client.send_config(address, PLAIN.to_vec()).await;
    assert!(matches!(gone, Err(ControlError::Connect(_))), "{gone:?}");
    let _again = start(address, ControlLimits::default()).await;
    assert_eq!(client.send_config(address, PLAIN.to_vec()).await, Ok(()));
}
