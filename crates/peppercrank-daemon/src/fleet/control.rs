// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Control calls between the processes: configuration too long for datagrams, and orders.

use std::net::SocketAddr;
use std::sync::Weak;

use peppercrank_config::message::Message;
use peppercrank_config::relay;
use peppercrank_core::names::VmName;
use peppercrank_wire::control::ControlRequest;
use peppercrank_wire::control::ControlResponse;
use peppercrank_wire::control::ControlServer;
use peppercrank_wire::control::Order;
use peppercrank_wire::seal::SenderId;
use peppercrank_wire::stop::Stop;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::fleet::Fleet;
use crate::fleet::lock;

/// `Given` is an order that came, with the way back for what became of it.
#[derive(Debug)]
pub struct Given {
    /// The order.
    pub order: Order,
    /// Takes what became of it, as JSON.
    pub told: oneshot::Sender<String>,
}

/// Answers control calls until told to stop.
pub(super) async fn serve(
    server: ControlServer,
    fleet: Weak<Fleet>,
    orders: mpsc::Sender<Given>,
    stop: Stop,
) {
    let answer = move |from, ask| answer(Weak::clone(&fleet), orders.clone(), from, ask);
    server.serve(stop, answer).await;
}

async fn answer(
    fleet: Weak<Fleet>,
    orders: mpsc::Sender<Given>,
    from: SenderId,
    ask: ControlRequest,
) -> ControlResponse {
    match ask {
        ControlRequest::Config(bytes) => {
            if let Some(fleet) = fleet.upgrade() {
                take(&fleet, from, &bytes);
            }
            ControlResponse::Received
        }
        ControlRequest::Order(order) => {
            let (told, reply) = oneshot::channel();
            // A process without a target drops the order, and so tells that it was not passed.
            drop(orders.send(Given { order, told }).await);
            ControlResponse::Order(reply.await.unwrap_or_else(|_| r#""no_target""#.to_owned()))
        }
    }
}

fn take(fleet: &Fleet, from: SenderId, bytes: &[u8]) {
    // The seal's sender id is the same hash of the VM's name as the member's id.
    let id = peppercrank_member::MemberId(from.0.to_be_bytes());
    if let (Some(from), Ok(message)) = (fleet.name_of(id), Message::decode(bytes)) {
        fleet.config(relay::Input::Message { from, message });
    }
}

impl Fleet {
    /// Sends a message of the configuration relay over a connection; it may be lost.
    pub(super) fn send_stream(&self, to: &VmName, message: &Message) {
        let Some(address) = self.control_of(to) else {
            return;
        };
        let Ok(bytes) = message.encode() else {
            return;
        };
        let client = self.client.clone();
        self.runtime.spawn(async move {
            // What is lost is asked for again by the relay itself.
            let _told = client.send_config(address, bytes).await;
        });
    }

    /// Where a member takes control calls.
    fn control_of(&self, vm: &VmName) -> Option<SocketAddr> {
        let members = lock(&self.members);
        members.get(vm)?.description.as_ref().map(|d| d.control)
    }
}
