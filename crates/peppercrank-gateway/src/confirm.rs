// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Has what is known of keys confirmed by another router instead of the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_direct::confirm::Asked;
use peppercrank_direct::confirm::Confirmation;
use peppercrank_direct::confirm::Known;
use peppercrank_direct::confirm::Question;
use peppercrank_direct::confirm::Verdict;
use peppercrank_direct::confirm::askers;
use peppercrank_direct::freshness::Source;
use peppercrank_direct::peers::Datagram;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::evacuations;
use crate::gateway::Gateway;
use crate::gossip;

/// Time for another router's answer: some round trips between availability zones, and a router that is
/// busy. The store is asked after it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);

/// `Confirmer` asks other routers.
#[derive(Debug, Clone)]
pub struct Confirmer {
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    /// Whether the last answer told of a newer version.
    heard_of_newer_version: bool,
}

impl Confirmer {
    /// `new` asks over this socket.
    #[must_use]
    pub fn new(gateway: &Arc<Gateway>, socket: &Arc<UdpSocket>) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            socket: Arc::clone(socket),
            heard_of_newer_version: false,
        }
    }

    /// `asks_store` tells whether this router is one of those that ask the store.
    #[must_use]
    pub fn asks_store(&self) -> bool {
        self.choose_router().is_none()
    }

    /// `by_router` has what is known confirmed by a router that asks the store; false where the store
    /// has to be asked.
    ///
    /// A first word of a newer version leaves it to the watch: over the slow link of a small VM a
    /// large configuration may be on its way, and a second copy of it would hold up all streams.
    pub async fn confirm_by_router(&mut self) -> bool {
        let Some(to) = self.choose_router() else {
            return false;
        };
        let nonce = rand::random();
        let question = Question { nonce };
        let at = self.gateway.now();
        self.gateway.state().pending_question = Some(Asked { question, at });
        let answered = self.gateway.confirmation_received.notified();
        let datagram = Datagram::Question(question);
        gossip::send(&self.gateway, &self.socket, to, datagram).await;
        let answered = timeout(ANSWER_TIMEOUT, answered).await.is_ok();
        let confirmed = self.gateway.state().pending_question.take().is_none();
        let outdated = answered && !confirmed;
        let already_outdated = std::mem::replace(&mut self.heard_of_newer_version, outdated);
        confirmed || (outdated && !already_outdated)
    }

    /// One of the routers that ask the store; none if this one is of them.
    fn choose_router(&self) -> Option<SocketAddr> {
        let now = self.gateway.now();
        let own = self.gateway.settings().name.clone();
        let state = self.gateway.state();
        let alive = state.routers.iter();
        let alive = alive.filter(|(_, r)| state.peers.hears(now, r.address));
        let names = alive.map(|(name, _)| &**name).chain([own.as_str()]);
        let askers = askers(names.collect());
        if askers.contains(&own.as_str()) {
            return None;
        }
        let chosen = askers.get(rand::random_range(0..askers.len()))?;
        state.routers.get(*chosen).map(|r| r.address)
    }
}

/// `answer` answers another router's question; none where nothing is known.
#[must_use]
pub fn answer_question(gateway: &Gateway, question: Question) -> Option<Confirmation> {
    let now = gateway.now();
    let state = gateway.state();
    let known = Known {
        version: state.config.index().map(|i| i.desired().version),
        age: state.freshness.age(now),
        evacuations: state.directory.evacuations.digest(),
    };
    Confirmation::new(question, known)
}

/// `take` takes an answer in, if it is one to the question on its way.
pub fn apply_confirmation(gateway: &Gateway, confirmation: Confirmation) {
    let mut state = gateway.state();
    let version = state.config.index().map(|i| i.desired().version);
    let verdict = state
        .pending_question
        .map(|asked| asked.judge(confirmation, version));
    match verdict {
        Some(Verdict::Newest(at)) => {
            state.freshness.confirm(at, Source::Router);
            state.pending_question = None;
        }
        // The question stays, which tells that its answer confirmed nothing.
        Some(Verdict::Outdated) => {}
        Some(Verdict::Nothing) | None => return,
    }
    drop(state);
    evacuations::compare_digest(gateway, confirmation.evacuations);
    gateway.confirmation_received.notify_waiters();
}
