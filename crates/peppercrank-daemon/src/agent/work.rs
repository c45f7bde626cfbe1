// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! An attempt's work at the target, which is ended there before its reservation is released.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::units::Cost;
use peppercrank_settings::agent::TargetKind;
use peppercrank_wire::body;
use peppercrank_wire::client::Reuse;
use tokio::time::timeout;

use crate::agent::Agent;
use crate::agent::desk::Pass;

/// Time for the engine to confirm a cancellation; then the reservation goes all the same.
const CANCEL: Duration = Duration::from_secs(2);

/// `Work` is the work of one admitted attempt.
///
/// Dropped before it is over, it is cancelled at the engine, and its reservation stays until the
/// engine has said so: until then the engine does carry it.
#[derive(Debug)]
pub struct Work {
    agent: Arc<Agent>,
    attempt: AttemptId,
    pass: Option<Pass>,
    over: bool,
}

impl Work {
    /// `new` begins the work of an admitted attempt.
    pub const fn new(agent: Arc<Agent>, attempt: AttemptId, pass: Pass) -> Self {
        Self {
            agent,
            attempt,
            pass: Some(pass),
            over: false,
        }
    }

    /// `cancelled` returns when the admission ends the work.
    pub async fn cancelled(&self) {
        match &self.pass {
            Some(pass) => pass.cancelled().await,
            None => std::future::pending().await,
        }
    }

    /// `revise` puts the true cost in place of the expected one.
    pub fn revise(&self, cost: Cost) {
        if let Some(pass) = &self.pass {
            pass.revise(cost);
        }
    }

    /// `end` notes that the target has nothing left to do for it.
    pub const fn end(&mut self) {
        self.over = true;
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        let Some(pass) = self.pass.take() else {
            return;
        };
        // A plain service has no cancellation but the connection, which is closed by now.
        if self.over || self.agent.settings.target.kind == TargetKind::Service {
            return;
        }
        let agent = Arc::clone(&self.agent);
        let attempt = self.attempt;
        self.agent.fleet.spawn(async move {
            // A lost cancellation costs work of the engine, never a wrong answer.
            let _told = timeout(CANCEL, cancel(&agent, attempt)).await;
            drop(pass);
        });
    }
}

/// Tells the engine that nobody wants an answer any more.
async fn cancel(agent: &Agent, attempt: AttemptId) {
    let path = format!("/v1/streams/{attempt}");
    let request = Request::delete(path).body(body::empty());
    if let Ok(request) = request {
        let target = agent.settings.target.address;
        drop(agent.client.send(target, request, Reuse::Allowed).await);
    }
}
