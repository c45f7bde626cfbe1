// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Doing what has become due: comparing, telling, judging, calling.

use std::time::Duration;

use peppercrank_core::names::VmName;
use peppercrank_core::objects::ObjectKind;
use peppercrank_core::time::Instant;

use super::LONELY;
use super::MAX_TRY;
use super::Relay;
use super::TRY_RATE;
use super::UNTOLD;
use super::WATCHER_SPREAD;
use super::action::Action;
use super::boot::Around;
use super::boot::Step;
use super::calls;
use super::calls::Mode;
use super::repair::Finished;
use super::spread::FANOUT;

impl Relay {
    /// Does what has become due.
    pub(super) fn turn(&mut self, now: Instant) {
        self.mend(now);
        let words = self.surveys.turn(now);
        self.say(words);
        self.tell(now);
        self.judge(now);
        self.call(now);
    }

    fn mend(&mut self, now: Instant) {
        if let Some(peer) = self.repair.due(now, self.store.digest()) {
            self.compare(now, peer);
        }
        if let Some((to, message)) = self.repair.request() {
            self.send(to, message);
        }
        if let Some(finished) = self.repair.finish(now, &self.store) {
            self.finished(now, &finished);
        }
    }

    fn compare(&mut self, now: Instant, peer: VmName) {
        self.counters.compared += 1;
        let message = self.repair.begin(now, peer.clone(), &self.store);
        self.send(peer, message);
    }

    fn finished(&mut self, now: Instant, finished: &Finished) {
        let Finished {
            peer,
            beat,
            complete,
        } = finished;
        for (kind, revision) in ObjectKind::ALL.iter().zip(complete) {
            self.store.set_complete(*kind, *revision);
        }
        if self.beat(now).digest == beat.digest {
            self.confirm(now, *beat);
        }
        self.boot.compared(peer, beat.ready, beat.age);
    }

    fn tell(&mut self, now: Instant) {
        if !self.spread.is_due(now) {
            return;
        }
        // What a fresh process learns is no news to those that it learns it from.
        let fanout = if self.readiness().is_ready() {
            FANOUT
        } else {
            0
        };
        let source = self.spread.source().cloned();
        let peers = self.peers.sample(&mut self.rng, fanout, source.as_ref());
        let messages = self.spread.tell(now, &self.store, peers.len());
        for message in messages {
            for to in &peers {
                self.send(to.clone(), message.clone());
            }
        }
    }

    fn judge(&mut self, now: Instant) {
        let around = Around {
            ready: self.peers.ready_count(),
            peers: self.peers.count() - 1,
            confirmed: self.calls.confirmed(),
            failing: self.calls.failing(ObjectKind::ALL[0]),
            busy: self.repair.is_busy(),
        };
        match self.boot.step(now, around) {
            Step::Wait => {}
            Step::Compare => self.compare_fresh(now),
            Step::TryApi => self.try_api(now),
        }
    }

    fn try_api(&mut self, now: Instant) {
        let members = u32::try_from(self.peers.count()).unwrap_or(u32::MAX);
        let spread = Duration::from_secs_f64(f64::from(members) / TRY_RATE);
        let at = now + calls::uniform(&mut self.rng, spread.min(MAX_TRY));
        self.boot.try_api(at);
        self.calls.hasten_one(ObjectKind::ALL[0], at);
    }

    fn compare_fresh(&mut self, now: Instant) {
        let boot = &self.boot;
        let skip = |name: &VmName| boot.skips(now, name);
        let Some(peer) = self.peers.candidate(&mut self.rng, skip) else {
            return;
        };
        self.boot.ask(now, &peer);
        self.compare(now, peer);
    }

    fn call(&mut self, now: Instant) {
        let alone = self.peers.is_alone() || now.since(self.peer_heard) >= LONELY;
        let members = self.peers.count();
        let mode = match (self.peers.is_watcher(), self.readiness().is_ready()) {
            (true, true) => Mode::Watch,
            (true, false) => Mode::Eager,
            (false, true) if alone => Mode::Lonely,
            (false, true) => Mode::Poll { members },
            (false, false) => Mode::Fresh { members },
        };
        self.calls.set_mode(now, mode, &mut self.rng);
        if now.since(self.boot.began()) >= UNTOLD {
            self.kick(now);
        }
        for call in self.calls.due(now, self.store.completes()) {
            self.counters.calls += 1;
            self.out.push(Action::Call(call));
        }
    }

    /// Sets the calls of a fresh process going.
    pub(super) fn kick(&mut self, now: Instant) {
        if self.kicked {
            return;
        }
        self.kicked = true;
        let spread = if self.is_watcher() {
            WATCHER_SPREAD
        } else {
            calls::fresh(self.peers.count())
        };
        let began = self.boot.began();
        self.calls.hasten(now, began, spread, &mut self.rng);
    }
}
