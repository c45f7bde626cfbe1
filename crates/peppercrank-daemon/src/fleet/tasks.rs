// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The tasks that drive membership and configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use peppercrank_config::relay;
use peppercrank_core::events::Event;
use peppercrank_member::Input;
use peppercrank_member::Message;
use peppercrank_wire::datagram::Datagrams;
use peppercrank_wire::seal::Rejected;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::fleet::Fleet;
use crate::fleet::lock;
use crate::fleet::read;

/// The longest sleep of a timer: facts that changed wait no longer to be told.
const LONGEST: Duration = Duration::from_millis(200);

/// The shortest sleep of a timer, so that one that is always due does not spin.
const SHORTEST: Duration = Duration::from_millis(1);

/// Time between two looks at what was rejected, so that nobody can flood the log.
const LOOK: Duration = Duration::from_secs(5);

/// Starts the tasks; they end once the fleet is dropped.
pub(super) fn start(
    fleet: &Arc<Fleet>,
    datagrams: Datagrams<Message>,
    sends: mpsc::Receiver<(SocketAddr, Box<Message>)>,
) {
    let weak = Arc::downgrade(fleet);
    tokio::spawn(send(datagrams.clone(), sends));
    tokio::spawn(receive(datagrams, Weak::clone(&weak)));
    tokio::spawn(time_members(Weak::clone(&weak)));
    tokio::spawn(log_rejected(Weak::clone(&weak)));
    tokio::spawn(time_config(weak));
}

async fn send(
    datagrams: Datagrams<Message>,
    mut sends: mpsc::Receiver<(SocketAddr, Box<Message>)>,
) {
    while let Some((to, message)) = sends.recv().await {
        // A datagram that cannot be sent is lost, which the protocol expects.
        let _sent = datagrams.send(to, &message).await;
    }
}

async fn receive(datagrams: Datagrams<Message>, fleet: Weak<Fleet>) {
    loop {
        let received = datagrams.receive().await;
        let Some(fleet) = fleet.upgrade() else {
            return;
        };
        let message = Box::new(received.message);
        fleet.gossip(Input::Datagram {
            from: received.from,
            message,
        });
    }
}

async fn time_members(fleet: Weak<Fleet>) {
    loop {
        let pause = {
            let Some(fleet) = fleet.upgrade() else {
                return;
            };
            fleet.gossip(Input::Facts(fleet.facts()));
            fleet.gossip(Input::Tick);
            let wake = lock(&fleet.members).next_wake();
            wake.since(fleet.clock.now())
        };
        sleep(pause.clamp(SHORTEST, LONGEST)).await;
    }
}

async fn time_config(fleet: Weak<Fleet>) {
    loop {
        let pause = {
            let Some(fleet) = fleet.upgrade() else {
                return;
            };
            fleet.config(relay::Input::Tick);
            let wake = read(&fleet.relay).next();
            wake.since(fleet.clock.now())
        };
        sleep(pause.clamp(SHORTEST, LONGEST)).await;
    }
}

/// Logs for each reason how many control messages were rejected since the last look.
async fn log_rejected(fleet: Weak<Fleet>) {
    let mut known = [0; Rejected::ALL.len()];
    loop {
        sleep(LOOK).await;
        let Some(fleet) = fleet.upgrade() else {
            return;
        };
        for (reason, known) in Rejected::ALL.iter().zip(&mut known) {
            let count = fleet.rejected(*reason);
            let more = count.saturating_sub(*known);
            *known = count;
            if more > 0 {
                let about = format!("{} x {more}", reason.code());
                fleet.log.write_about(Event::ControlMessageRefused, &about);
            }
        }
    }
}
