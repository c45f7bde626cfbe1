// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Has what is known of keys confirmed by another router instead of the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_direct::confirm::Confirmation;
use peppercrank_direct::confirm::ConfirmationRequest;
use peppercrank_direct::confirm::KeyState;
use peppercrank_direct::confirm::PendingRequest;
use peppercrank_direct::confirm::Verdict;
use peppercrank_direct::confirm::store_readers;
use peppercrank_direct::freshness::Source;
use peppercrank_direct::peers::Datagram;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::evacuations;
use crate::gateway::Gateway;
use crate::gossip;

/// Time for another router's answer: some round trips between availability zones, and a router that is
/// busy. The store is asked after it.
const ANSWER: Duration = Duration::from_millis(120);

/// `Confirmer` asks other routers.
#[derive(Debug, Clone)]
pub struct Confirmer {
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    /// Whether the last answer told of a newer version.
    behind: bool,
}

impl Confirmer {
    /// `new` asks over this socket.
    #[must_use]
    pub fn new(gateway: &Arc<Gateway>, socket: &Arc<UdpSocket>) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            socket: Arc::clone(socket),
            behind: false,
        }
    }

    /// `asks_store` tells whether this router is one of those that ask the store.
    #[must_use]
    pub fn asks_store(&self) -> bool {
        self.choose().is_none()
    }

    /// `by_router` has what is known confirmed by a router that asks the store; false where the store
    /// has to be asked.
    ///
    /// A first word of a newer version leaves it to the watch: over the slow link of a small VM a
    /// large configuration may be on its way, and a second copy of it would hold up all streams.
    pub async fn by_router(&mut self) -> bool {
        let Some(to) = self.choose() else {
            return false;
        };
        let nonce = rand::random();
        let question = ConfirmationRequest { nonce };
        let at = self.gateway.now();
        self.gateway.state().asked = Some(PendingRequest {
            request: question,
            sent_at: at,
        });
        let answered = self.gateway.answered.notified();
        let datagram = Datagram::ConfirmationRequest(question);
        gossip::send(&self.gateway, &self.socket, to, datagram).await;
        let answered = timeout(ANSWER, answered).await.is_ok();
        let confirmed = self.gateway.state().asked.take().is_none();
        let told = answered && !confirmed;
        let before = std::mem::replace(&mut self.behind, told);
        confirmed || (told && !before)
    }

    /// One of the routers that ask the store; none if this one is of them.
    fn choose(&self) -> Option<SocketAddr> {
        let now = self.gateway.now();
        let own = self.gateway.settings().name.clone();
        let state = self.gateway.state();
        let alive = state.routers.iter();
        let alive = alive.filter(|(_, r)| state.peers.is_alive(now, r.address));
        let names = alive.map(|(name, _)| &**name).chain([own.as_str()]);
        let askers = store_readers(names.collect());
        if askers.contains(&own.as_str()) {
            return None;
        }
        let chosen = askers.get(rand::random_range(0..askers.len()))?;
        state.routers.get(*chosen).map(|r| r.address)
    }
}

/// `answer` answers another router's question; none where nothing is known.
#[must_use]
pub fn answer(gateway: &Gateway, question: ConfirmationRequest) -> Option<Confirmation> {
    let now = gateway.now();
    let state = gateway.state();
    let known = KeyState {
        version: state.config.index().map(|i| i.desired().version),
        age: state.freshness.age(now),
        evacuations_digest: state.directory.evacuations.digest(),
    };
    Confirmation::new(question, known)
}

/// `take` takes an answer in, if it is one to the question on its way.
pub fn take(gateway: &Gateway, told: Confirmation) {
    let mut state = gateway.state();
    let version = state.config.index().map(|i| i.desired().version);
    let verdict = state.asked.map(|asked| asked.evaluate(told, version));
    match verdict {
        Some(Verdict::CurrentAsOf(at)) => {
            state.freshness.confirm(at, Source::Router);
            state.asked = None;
        }
        // The question stays, which tells that its answer confirmed nothing.
        Some(Verdict::Outdated) => {}
        Some(Verdict::Unusable) | None => return,
    }
    drop(state);
    evacuations::compare(gateway, told.evacuations_digest);
    gateway.answered.notify_waiters();
}
