// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Confirms what is known about API keys with another router instead of the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_direct::confirm::ConfirmableState;
use peppercrank_direct::confirm::Confirmation;
use peppercrank_direct::confirm::ConfirmationRequest;
use peppercrank_direct::confirm::PendingRequest;
use peppercrank_direct::confirm::Verdict;
use peppercrank_direct::confirm::store_readers;
use peppercrank_direct::freshness::Source;
use peppercrank_direct::peers::Datagram;
use peppercrank_direct::start_check::MAX_UNANSWERED_ROUNDS;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::evacuations;
use crate::gateway::Gateway;
use crate::gossip;

/// Time for another router's answer, after which the store is asked instead: a few round trips
/// between availability zones, plus the delay of a busy router.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);

/// Number of routers that are asked together after the start, since some may be out of touch.
const START_CHECK_ROUTERS: usize = 4;

/// Confirms the configuration and keys with other routers.
#[derive(Debug, Clone)]
pub struct Confirmer {
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    /// Whether the last answer reported a newer configuration version.
    heard_of_newer_version: bool,
}

impl Confirmer {
    /// Creates a confirmer that sends its requests over this socket.
    #[must_use]
    pub fn new(gateway: &Arc<Gateway>, socket: &Arc<UdpSocket>) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            socket: Arc::clone(socket),
            heard_of_newer_version: false,
        }
    }

    /// Returns whether this router is one of those that confirm with the store.
    #[must_use]
    pub fn asks_store(&self) -> bool {
        self.choose_router().is_none()
    }

    /// Asks a router that confirms with the store. Returns false if the store must be asked
    /// instead.
    ///
    /// The first report of a newer version is left to the watch: over the slow link of a small VM a
    /// large configuration may already be in transfer, and a second copy would delay all streams.
    pub async fn confirm_by_router(&mut self) -> bool {
        let Some(to) = self.choose_router() else {
            return false;
        };
        let (answered, confirmed) = self.ask(&[to]).await;
        let outdated = answered && !confirmed;
        let already_outdated = std::mem::replace(&mut self.heard_of_newer_version, outdated);
        confirmed || (outdated && !already_outdated)
    }

    /// Asks other routers, in some rounds, whether what was read since the start is the newest
    /// state. Returns whether one has confirmed it.
    pub async fn check_start(&self) -> bool {
        for _ in 0..MAX_UNANSWERED_ROUNDS {
            let to = gossip::random_peers(&self.gateway.state(), START_CHECK_ROUTERS);
            let (answered, confirmed) = self.ask(&to).await;
            if answered {
                return confirmed;
            }
            let mut state = self.gateway.state();
            if state.start_check.record_round() {
                state.trust_store();
            }
        }
        false
    }

    /// Asks these routers for a confirmation. Returns whether one has answered with a usable age,
    /// and whether it confirmed the configuration.
    async fn ask(&self, to: &[SocketAddr]) -> (bool, bool) {
        let nonce = rand::random();
        let question = ConfirmationRequest { nonce };
        let at = self.gateway.now();
        self.gateway.state().pending_confirmation = Some(PendingRequest {
            request: question,
            sent_at: at,
        });
        let answered = self.gateway.confirmation_received.notified();
        let datagram = Datagram::ConfirmationRequest(question);
        for address in to {
            gossip::send(&self.gateway, &self.socket, *address, datagram.clone()).await;
        }
        let answered = timeout(ANSWER_TIMEOUT, answered).await.is_ok();
        let confirmed = self.gateway.state().pending_confirmation.take().is_none();
        (answered, confirmed)
    }

    /// Chooses one of the routers that confirm with the store; `None` if this router is one of
    /// them.
    fn choose_router(&self) -> Option<SocketAddr> {
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

/// Answers another router's confirmation request; `None` if no configuration is known.
#[must_use]
pub fn answer_confirmation_request(
    gateway: &Gateway,
    question: ConfirmationRequest,
) -> Option<Confirmation> {
    let now = gateway.now();
    let state = gateway.state();
    let known = ConfirmableState {
        version: state.config.index().map(|i| i.desired().version),
        age: state.freshness.age(now),
        evacuations_digest: state.directory.evacuations.digest(),
    };
    Confirmation::new(question, known)
}

/// Applies a confirmation if it answers the pending request.
pub fn apply_confirmation(gateway: &Gateway, confirmation: Confirmation) {
    let mut state = gateway.state();
    let version = state.config.index().map(|i| i.desired().version);
    let Some(asked) = state.pending_confirmation else {
        return;
    };
    if asked.is_answered_by(confirmation) {
        state.start_check.record_answer();
        state.heard_version = state.heard_version.max(Some(confirmation.version));
    }
    let verdict = asked.evaluate(confirmation, version);
    match verdict {
        Verdict::CurrentAsOf(at) => {
            // What the store proved may be of an older copy, unlike this answer.
            let _proof = state.start_check.pass();
            state.freshness.confirm(at, Source::Router);
            state.pending_confirmation = None;
        }
        // The request stays pending, by which the waiting task sees that the answer confirmed
        // nothing.
        Verdict::Outdated(since) => {
            state.newer_version_since = since;
            gateway.newer_version_heard.notify_one();
        }
        Verdict::Unusable => return,
    }
    drop(state);
    evacuations::compare_digest(gateway, confirmation.evacuations_digest);
    gateway.confirmation_received.notify_waiters();
}
