// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests that datagrams are delivered once, sealed, counted and limited in size.

use std::net::Ipv4Addr;

use peppercrank_wire::Error;
use peppercrank_wire::datagram::DatagramConfig;
use peppercrank_wire::datagram::Datagrams;
use peppercrank_wire::datagram::MAX_DATAGRAM;
use peppercrank_wire::datagram::MAX_MESSAGE;
use peppercrank_wire::seal::Identity;
use peppercrank_wire::seal::Key;
use peppercrank_wire::seal::KeyRing;
use peppercrank_wire::seal::Rejected;
use peppercrank_wire::seal::SenderId;
use tokio::net::UdpSocket;

fn ring(id: u32) -> KeyRing {
    KeyRing::new(vec![Key::new(id, &[7; 16]).expect("a key")]).expect("a ring")
}

async fn socket(sender: u64, ring: KeyRing) -> Datagrams<Vec<u8>> {
    let place = DatagramConfig {
        bind: (Ipv4Addr::LOCALHOST, 0).into(),
        advertised: None,
        identity: Identity {
            sender: SenderId(sender),
            boot: 1,
        },
        max_senders: 16,
    };
    let bound = Datagrams::bind(place, ring, |_| "bytes").await;
    bound.expect("a free port")
}

#[tokio::test]
async fn verify_messages_arrive_sealed_and_counted() {
    let (a, b) = (socket(1, ring(1)).await, socket(2, ring(1)).await);
    let longest = vec![3; MAX_MESSAGE - 2];
    let bytes = a.send(b.address(), &longest).await.expect("sent");
    assert!(bytes <= MAX_DATAGRAM + 28);
    let received = b.receive().await;
    assert_eq!((received.sender, received.from), (SenderId(1), a.address()));
    assert_eq!(received.message, longest);
    assert_eq!(a.traffic().total().sent_bytes, bytes as u64);
    assert_eq!(b.traffic().by_kind()["bytes"].received_bytes, bytes as u64);
    let too_big = a.send(b.address(), &vec![3; MAX_MESSAGE]).await;
    assert!(matches!(too_big, Err(Error::MessageTooBig { .. })));
}

#[tokio::test]
async fn verify_foreign_datagrams_are_counted_and_skipped() {
    let (a, b) = (socket(1, ring(1)).await, socket(2, ring(1)).await);
    let stranger = socket(3, ring(2)).await;
    let plain = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a port");
    // Loopback preserves the order of consecutive datagrams.
    stranger.send(b.address(), &vec![1]).await.expect("sent");
    plain
        .send_to(&[0; MAX_DATAGRAM + 9], b.address())
        .await
        .expect("sent");
    // A datagram for A that was intercepted and sent to B twice.
    let tap = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a port");
    let tapped = tap.local_addr().expect("an address");
    a.send(tapped, &vec![2]).await.expect("sent");
    let mut space = [0; MAX_DATAGRAM];
    let (len, _) = tap.recv_from(&mut space).await.expect("a datagram");
    tap.send_to(&space[..len], b.address()).await.expect("sent");
    a.send(b.address(), &vec![4]).await.expect("sent");
    assert_eq!(b.receive().await.message, vec![4]);
    for reason in [Rejected::UnknownKey, Rejected::Malformed, Rejected::Forged] {
        assert_eq!(b.rejected(reason), 1, "{reason}");
    }
    assert_eq!(b.traffic().by_kind()["rejected"].received, 3);
    b.rotate(&ring(2));
    stranger.send(b.address(), &vec![5]).await.expect("sent");
    assert_eq!(b.receive().await.message, vec![5]);
}
