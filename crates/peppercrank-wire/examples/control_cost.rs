// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Measures the cost of sealing and of control calls, in bytes and in time. Prints Markdown; takes
//! seconds.

use std::hint::black_box;
use std::net::Ipv4Addr;
use std::time::Instant;

use peppercrank_wire::control::ControlClient;
use peppercrank_wire::control::ControlClientConfig;
use peppercrank_wire::control::ControlLimits;
use peppercrank_wire::control::ControlRequest;
use peppercrank_wire::control::ControlResponse;
use peppercrank_wire::control::ControlServer;
use peppercrank_wire::control::Order;
use peppercrank_wire::seal::Channel;
use peppercrank_wire::seal::Identity;
use peppercrank_wire::seal::Key;
use peppercrank_wire::seal::KeyRing;
use peppercrank_wire::seal::Opener;
use peppercrank_wire::seal::Sealer;
use peppercrank_wire::seal::SenderId;
use peppercrank_wire::stop::stop;

/// Number of messages sealed and opened, and of calls, per row.
const MESSAGES: u32 = 50_000;
const CALLS: u32 = 5_000;

/// Number of senders that an opener knows in a whole fleet.
const FLEET: u64 = 1_670;

/// A boot number as used by daemons: a date in milliseconds.
const BOOT: u64 = 1_800_000_000_000;

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    seals();
    runtime.expect("a runtime").block_on(calls());
}

fn ring() -> KeyRing {
    KeyRing::new(vec![Key::new(1, &[7; 32]).expect("a key")]).expect("a ring")
}

fn identity(sender: u64) -> Identity {
    let sender = SenderId(sender << 40);
    Identity { sender, boot: BOOT }
}

fn seals() {
    println!("### Sealing and opening, {MESSAGES} messages, {FLEET} senders known\n");
    println!("| payload | bytes added | seal | open |\n| ---: | ---: | ---: | ---: |");
    let audience = b"10.100.200.30:7000";
    for size in [64, 300, 1_100] {
        let mut opener = Opener::new(Channel::Datagram, ring(), 4_096);
        for sender in 0..FLEET {
            let mut other = Sealer::new(Channel::Datagram, identity(sender), ring());
            let message = other.seal(audience, b"").1;
            opener.open(audience, &message).expect("a new message");
        }
        let mut sealer = Sealer::new(Channel::Datagram, identity(FLEET), ring());
        let payload = vec![b'a'; size];
        let begun = Instant::now();
        let messages: Vec<_> = (0..MESSAGES)
            .map(|_| sealer.seal(audience, &payload).1)
            .collect();
        let sealing = begun.elapsed() / MESSAGES;
        let begun = Instant::now();
        for message in &messages {
            black_box(opener.open(audience, message)).expect("a new message");
        }
        let opening = begun.elapsed() / MESSAGES;
        let added = messages.last().map_or(0, Vec::len) - size;
        println!("| {size} | {added} | {sealing:.1?} | {opening:.1?} |");
    }
    println!();
}

async fn calls() {
    let limits = ControlLimits::default();
    let bind = (Ipv4Addr::LOCALHOST, 0).into();
    let server = ControlServer::bind(bind, None, identity(1), ring(), limits).await;
    let server = server.expect("a free port");
    let to = server.address();
    let (_stopper, stop) = stop();
    tokio::spawn(server.serve(stop, |_, ask| async move {
        match ask {
            ControlRequest::Config(_) => ControlResponse::Received,
            ControlRequest::Order(order) => ControlResponse::Order(order.order),
        }
    }));
    println!("### Control calls on a kept connection, {CALLS} one after the other\n");
    println!("| call | bytes out | bytes back | time |\n| --- | ---: | ---: | ---: |");
    let order = Order {
        fence: 1,
        id: 2,
        seq: 3,
        order: r#"{"load_model":"galley-large"}"#.to_owned(),
    };
    let asks = [
        ("config of 300 bytes", ControlRequest::Config(vec![0; 300])),
        (
            "config of 30,000 bytes",
            ControlRequest::Config(vec![0; 30_000]),
        ),
        ("order of 29 bytes", ControlRequest::Order(order)),
    ];
    for (sender, (name, ask)) in (2..).zip(asks) {
        let client = ControlClient::new(identity(sender), ring(), ControlClientConfig::default());
        let begun = Instant::now();
        for _ in 0..CALLS {
            client.call(to, &ask).await.expect("an answer");
        }
        let time = begun.elapsed() / CALLS;
        let (sent, received) = client.codec().bytes_transferred();
        let calls = u64::from(CALLS);
        println!(
            "| {name} | {} | {} | {time:.0?} |",
            sent / calls,
            received / calls
        );
    }
}
