// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests that forged, replayed, old and foreign messages are rejected, and that key rotation loses
//! no messages.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Uri;
use peppercrank_wire::seal::BearerTokens;
use peppercrank_wire::seal::Channel;
use peppercrank_wire::seal::Identity;
use peppercrank_wire::seal::Key;
use peppercrank_wire::seal::KeyError;
use peppercrank_wire::seal::KeyRing;
use peppercrank_wire::seal::MAC_HEADER;
use peppercrank_wire::seal::Opener;
use peppercrank_wire::seal::Rejected;
use peppercrank_wire::seal::SEAL_OVERHEAD;
use peppercrank_wire::seal::Sealer;
use peppercrank_wire::seal::SenderId;
use peppercrank_wire::seal::sign_head;
use peppercrank_wire::seal::verify_head;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;

/// A modification of the headers in transit.
type Change = fn(&mut HeaderMap);

fn key(id: u32) -> Key {
    Key::new(id, &[u8::try_from(id).expect("a small id"); 32]).expect("a key")
}

fn ring(ids: &[u32]) -> KeyRing {
    KeyRing::new(ids.iter().copied().map(key).collect()).expect("a ring")
}

fn sending(ids: &[u32], boot: u64) -> Sealer {
    let sender = SenderId(42);
    Sealer::new(Channel::Datagram, Identity { sender, boot }, ring(ids))
}

fn receiving(ids: &[u32]) -> Opener {
    Opener::new(Channel::Datagram, ring(ids), 4)
}

#[test]
fn verify_messages_open_once_and_in_any_order() {
    let mut sealer = sending(&[1], 5);
    let message: Vec<_> = (0..200_u8).map(|n| sealer.seal(b"b", &[n]).1).collect();
    let mut opener = receiving(&[1]);
    for at in [0, 2, 1, 130, 129, 199] {
        let found = opener.open(b"b", &message[at]).expect("a new message");
        assert_eq!(found.sender, SenderId(42));
        assert_eq!((found.boot, found.counter), (5, at as u64 + 1));
        assert_eq!(usize::from(found.payload[0]), at);
    }
    for (at, reason) in [
        (199, Rejected::Replayed),
        (129, Rejected::Replayed),
        (1, Rejected::TooOld),
        (70, Rejected::TooOld),
    ] {
        let before = opener.rejected(reason);
        assert_eq!(opener.open(b"b", &message[at]), Err(reason), "{at}");
        assert_eq!(opener.rejected(reason), before + 1);
    }
    opener.open(b"b", &message[72]).expect("a new message");
}

#[test]
fn verify_every_altered_bit_is_rejected() {
    let (_, message) = sending(&[1], 5).seal(b"b", b"payload");
    assert!(message.len() <= b"payload".len() + SEAL_OVERHEAD);
    let mut opener = receiving(&[1]);
    for at in 0..message.len() * 8 {
        let mut forged = message.clone();
        forged[at / 8] ^= 1 << (at % 8);
        let open = opener.open(b"b", &forged);
        assert!(open.err().is_some(), "bit {at}");
    }
    for len in 0..message.len() {
        assert_eq!(
            opener.open(b"b", &message[..len]),
            Err(Rejected::Malformed),
            "{len}"
        );
    }
    assert_eq!(opener.senders(), 0);
    opener.open(b"b", &message).expect("a new message");
}

#[test]
fn verify_messages_for_others_are_rejected() {
    let identity = Identity {
        sender: SenderId(1),
        boot: 1,
    };
    let mut other_key = Sealer::new(Channel::Datagram, identity, ring(&[2]));
    let mut other_channel = Sealer::new(Channel::ControlRequest, identity, ring(&[1]));
    let mut same_id = {
        let key = Key::new(1, &[9; 32]).expect("a key");
        let ring = KeyRing::new(vec![key]).expect("a ring");
        Sealer::new(Channel::Datagram, identity, ring)
    };
    let cases = [
        (
            "key of another ring",
            other_key.seal(b"b", b"x").1,
            Rejected::UnknownKey,
        ),
        (
            "another channel",
            other_channel.seal(b"b", b"x").1,
            Rejected::Forged,
        ),
        (
            "another secret",
            same_id.seal(b"b", b"x").1,
            Rejected::Forged,
        ),
        (
            "another audience",
            sending(&[1], 1).seal(b"c", b"x").1,
            Rejected::Forged,
        ),
        ("nothing", Vec::new(), Rejected::Malformed),
        (
            "one byte more",
            {
                let mut s = sending(&[1], 1).seal(b"b", b"x").1;
                s.push(0);
                s
            },
            Rejected::Malformed,
        ),
    ];
    let mut opener = receiving(&[1]);
    for (name, message, reason) in cases {
        assert_eq!(opener.open(b"b", &message), Err(reason), "{name}");
    }
    assert_eq!(opener.rejected(Rejected::Forged), 3);
}

#[test]
fn verify_garbage_never_opens() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut opener = receiving(&[1]);
    for len in 0..2_000 {
        let mut bytes = vec![0; len % 1_300];
        rng.fill_bytes(&mut bytes);
        opener.open(b"b", &bytes).expect_err("a message not sealed");
    }
    assert_eq!(opener.senders(), 0);
}

#[test]
fn verify_messages_of_an_earlier_boot_are_rejected() {
    let mut opener = receiving(&[1]);
    let before = sending(&[1], 5).seal(b"b", b"x").1;
    let mut old = sending(&[1], 5);
    old.seal(b"b", b"x");
    let held_back = old.seal(b"b", b"y").1;
    opener.open(b"b", &before).expect("a new message");
    // The counters start again with each boot.
    opener
        .open(b"b", &sending(&[1], 6).seal(b"b", b"x").1)
        .expect("a new message");
    assert_eq!(opener.open(b"b", &held_back), Err(Rejected::OldBoot));
    assert_eq!(opener.open(b"b", &before), Err(Rejected::OldBoot));
}

#[test]
fn verify_memory_is_bounded() {
    let mut opener = receiving(&[1]);
    for sender in 0..100 {
        let identity = Identity {
            sender: SenderId(sender),
            boot: 1,
        };
        let mut sealer = Sealer::new(Channel::Datagram, identity, ring(&[1]));
        opener
            .open(b"b", &sealer.seal(b"b", b"x").1)
            .expect("a new message");
    }
    assert_eq!(opener.senders(), 4);
}

#[test]
fn verify_key_rotation_loses_no_message() {
    let old = ring(&[1]);
    let both = ring(&[1, 2]).signing_with(1).expect("key 1");
    let new_signs = ring(&[1, 2]);
    let new = ring(&[2]);
    let steps = [old, both, new_signs, new];
    // Processes at adjacent steps of the rotation accept each other's messages.
    for pair in steps.windows(2) {
        for (from, to) in [(&pair[0], &pair[1]), (&pair[1], &pair[0])] {
            let identity = Identity {
                sender: SenderId(1),
                boot: 1,
            };
            let mut sealer = Sealer::new(Channel::Datagram, identity, from.clone());
            let mut opener = Opener::new(Channel::Datagram, to.clone(), 4);
            opener
                .open(b"b", &sealer.seal(b"b", b"x").1)
                .expect("a new message");
        }
    }
    // A replay is rejected even after the key ring was replaced.
    let mut sealer = sending(&[1], 1);
    let mut opener = receiving(&[1]);
    let message = sealer.seal(b"b", b"x").1;
    opener.open(b"b", &message).expect("a new message");
    opener.rotate(ring(&[1, 2]));
    assert_eq!(opener.open(b"b", &message), Err(Rejected::Replayed));
    opener.rotate(ring(&[2]));
    assert_eq!(opener.open(b"b", &message), Err(Rejected::UnknownKey));
    sealer.rotate(ring(&[2]));
    opener
        .open(b"b", &sealer.seal(b"b", b"x").1)
        .expect("a new message");
}

#[test]
fn verify_invalid_keys() {
    assert_eq!(Key::new(1, &[0; 15]), Err(KeyError::SecretTooShort(1)));
    assert_eq!(
        Key::from_hex(1, &"0".repeat(33)),
        Err(KeyError::InvalidHex(1))
    );
    assert_eq!(
        Key::from_hex(1, &"0g".repeat(16)),
        Err(KeyError::InvalidHex(1))
    );
    assert_eq!(Key::from_hex(3, &"03".repeat(32)), Ok(key(3)));
    assert_eq!(KeyRing::new(Vec::new()), Err(KeyError::MissingKey));
    assert_eq!(
        KeyRing::new(vec![key(1), key(1)]),
        Err(KeyError::DuplicateId(1))
    );
    assert_eq!(ring(&[1]).signing_with(2), Err(KeyError::MissingKey));
    assert!(!format!("{:?}", ring(&[3])).contains("3, 3"));
}

#[test]
fn verify_request_heads() {
    let agent = SocketAddr::from((Ipv4Addr::LOCALHOST, 80));
    let path: Uri = "/v1/chat/completions?a=1".parse().expect("a path");
    let mut headers = HeaderMap::new();
    headers.insert("x-peppercrank-attempt", HeaderValue::from_static("00ff"));
    headers.insert("x-peppercrank-cost", HeaderValue::from_static("12"));
    let mac = sign_head(&ring(&[1]), agent, &Method::POST, &path, &headers);
    headers.insert(MAC_HEADER, mac);
    // Headers without the signed prefix may change in transit.
    headers.insert("accept", HeaderValue::from_static("*/*"));
    let check = |ids: &[u32], agent, method: Method, path: &Uri, headers: &HeaderMap| {
        verify_head(&ring(ids), agent, &method, path, headers)
    };
    assert_eq!(check(&[1, 2], agent, Method::POST, &path, &headers), Ok(()));

    let elsewhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 81));
    let other: Uri = "/v1/chat/completions?a=2".parse().expect("a path");
    let forged = Err(Rejected::Forged);
    assert_eq!(
        check(&[1], elsewhere, Method::POST, &path, &headers),
        forged
    );
    assert_eq!(check(&[1], agent, Method::PUT, &path, &headers), forged);
    assert_eq!(check(&[1], agent, Method::POST, &other, &headers), forged);
    assert_eq!(
        check(&[2], agent, Method::POST, &path, &headers),
        Err(Rejected::UnknownKey)
    );
    let faults: [(&str, Change, Rejected); 6] = [
        (
            "other value",
            |h| {
                h.insert("x-peppercrank-cost", HeaderValue::from_static("1"));
            },
            Rejected::Forged,
        ),
        (
            "second value",
            |h| {
                h.append("x-peppercrank-cost", HeaderValue::from_static("12"));
            },
            Rejected::Forged,
        ),
        (
            "new header",
            |h| {
                h.insert("x-peppercrank-priority", HeaderValue::from_static("9"));
            },
            Rejected::Forged,
        ),
        (
            "no code",
            |h| {
                h.remove(MAC_HEADER);
            },
            Rejected::Malformed,
        ),
        (
            "short code",
            |h| {
                h.insert(MAC_HEADER, HeaderValue::from_static("00000001ff"));
            },
            Rejected::Malformed,
        ),
        (
            "two codes",
            |h| {
                h.append(MAC_HEADER, HeaderValue::from_static("0"));
            },
            Rejected::Malformed,
        ),
    ];
    for (name, change, reason) in faults {
        let mut changed = headers.clone();
        change(&mut changed);
        assert_eq!(
            check(&[1], agent, Method::POST, &path, &changed),
            Err(reason),
            "{name}"
        );
    }
}

#[test]
fn verify_bearer_tokens() {
    let bearers = BearerTokens::new(["one", "two"]);
    let cases = [
        ("Bearer one", true),
        ("Bearer two", true),
        ("Bearer three", false),
        ("Bearer ", false),
        ("Bearer onee", false),
        ("one", false),
        ("Basic one", false),
    ];
    for (value, admitted) in cases {
        let mut headers = HeaderMap::new();
        headers.insert("authorization", HeaderValue::from_static(value));
        assert_eq!(bearers.authorizes(&headers), admitted, "{value}");
    }
    assert!(!bearers.authorizes(&HeaderMap::new()));
    assert!(!BearerTokens::new([]).matches("Bearer "));
}
