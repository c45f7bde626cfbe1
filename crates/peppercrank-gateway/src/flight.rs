// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A request on its way to a target, counted as the target's work.

use std::net::SocketAddr;
use std::sync::Arc;

use peppercrank_core::events::Event;
use peppercrank_core::time::Moment;
use peppercrank_direct::place::Choice;
use peppercrank_log::Field;
use peppercrank_platform::answer::Load;

use crate::gateway::Gateway;
use crate::job::Job;
use crate::state::State;

/// `Flight` counts a request as a target's work until it is dropped.
#[derive(Debug)]
pub struct Flight {
    pub(crate) gateway: Arc<Gateway>,
    /// The target, and what is expected of it.
    pub choice: Choice,
    /// The pool that it serves.
    pub pool: Arc<str>,
    /// The name of its start.
    pub instance: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The target that it should copy from.
    pub copy_from: Option<SocketAddr>,
    /// Whether it had nothing else to read when the request was sent.
    pub(crate) alone: bool,
    /// When the request was sent.
    pub sent: Moment,
    /// Whether the reading still counts.
    pub(crate) unread: bool,
}

impl Flight {
    /// `first` notes the answer's first part: the prompt is read.
    pub fn first(&mut self, job: &Job) {
        let gateway = Arc::clone(&self.gateway);
        let took = gateway.now().since(self.sent);
        gateway.metrics.target_answered(&self.instance, took);
        let mut state = gateway.state();
        self.read(&mut state);
        if let Some(stats) = state.board.of(self.choice.key) {
            stats.succeeded();
            stats.timed(took.as_secs_f64() * 1_000.0, self.choice.first);
        }
        if self.alone {
            let rates = state.rates.entry(Arc::clone(&job.pool)).or_default();
            rates.learn(self.choice.reading, took);
        }
    }

    fn read(&mut self, state: &mut State) {
        if !self.unread {
            return;
        }
        self.unread = false;
        if let Some(stats) = state.board.of(self.choice.key) {
            stats.reading = stats.reading.saturating_sub(self.choice.reading);
        }
    }

    /// `told` notes what the target tells of its load.
    pub fn told(&self, load: Load) {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        if let Some(stats) = state.board.of(self.choice.key) {
            stats.reported(now, load.running.saturating_add(load.waiting));
        }
    }

    /// `lost` notes that another instance answers at the target's address.
    pub fn lost(&self) {
        self.gateway.state().directory.lost(self.choice.key);
    }

    /// `failed` notes a failure that speaks against the target.
    pub fn failed(&self) {
        let now = self.gateway.now();
        self.gateway.metrics.target_failed(&self.instance);
        let mut state = self.gateway.state();
        let ejected = state
            .board
            .of(self.choice.key)
            .is_some_and(|s| s.failed(now));
        drop(state);
        if ejected {
            let fields = [("target", Field::Text(&self.instance))];
            self.gateway.log.write(Event::TargetEjected, &fields);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let gateway = Arc::clone(&self.gateway);
        let mut state = gateway.state();
        if !self.unread {
            let time = gateway.now().since(self.sent);
            let rates = state.rates.entry(Arc::clone(&self.pool)).or_default();
            rates.held(time);
        }
        self.read(&mut state);
        if let Some(stats) = state.board.of(self.choice.key) {
            stats.ended();
        }
    }
}
