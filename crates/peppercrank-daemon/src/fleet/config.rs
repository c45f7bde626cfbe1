// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The configuration relay's actions, carried out.

use peppercrank_config::message::Carrier;
use peppercrank_config::message::Message as Config;
use peppercrank_config::relay;
use peppercrank_core::events::Event;
use peppercrank_core::names::VmName;
use peppercrank_member::Input;
use peppercrank_member::MemberId;
use peppercrank_member::input::MAX_RUMOUR;

use crate::fleet::Fleet;
use crate::fleet::lock;
use crate::fleet::piece::Piece;
use crate::fleet::write;

impl Fleet {
    /// `config` gives the configuration relay an input and carries out what it says.
    pub fn config(&self, input: relay::Input) {
        let now = self.clock.now();
        let actions = write(&self.relay).on(now, input);
        let mut applied = false;
        for action in actions {
            match action {
                relay::Action::Call(call) => self.call(call),
                relay::Action::Send {
                    to,
                    message,
                    carrier,
                } => self.send(&to, message, carrier),
                relay::Action::Applied { key, version } => {
                    applied = true;
                    let about = format!("{} {} {version}", key.kind.code(), key.name);
                    self.log.write_about(Event::ConfigApplied, &about);
                    let version = i64::try_from(version.0).unwrap_or(i64::MAX);
                    let newest = self.metrics.config.get().max(version);
                    self.metrics.config.set(newest);
                }
                relay::Action::HeldBack {
                    key,
                    version,
                    fault,
                } => {
                    let about = format!("{} {} {version}: {fault}", key.kind.code(), key.name);
                    self.log.write_about(Event::ConfigInvalid, &about);
                }
                // Only the command line's page asks for a survey, and it keeps its own answer.
                relay::Action::Surveyed { .. } => {}
                relay::Action::Readiness(state) => {
                    self.log.write_about(Event::Ready, &format!("{state:?}"));
                    self.bump();
                }
            }
        }
        if applied {
            self.rerank();
            self.bump();
        }
    }

    fn call(&self, call: relay::Call) {
        let at = peppercrank_core::objects::ObjectKind::ALL
            .iter()
            .position(|k| *k == call.kind());
        let workers = lock(&self.workers);
        if let Some(worker) = at.and_then(|at| workers.get(at)) {
            // A worker lives as long as the fleet, so its end is never gone.
            let _sent = worker.send(call);
        }
    }

    fn send(&self, to: &VmName, message: Config, carrier: Carrier) {
        let piece = Piece::Config(message);
        let bytes = piece.encode().filter(|b| b.len() <= MAX_RUMOUR);
        if let (Carrier::Datagram, Some(bytes)) = (carrier, bytes) {
            let to = MemberId::of(to);
            return self.gossip(Input::Relay { to, bytes });
        }
        if let Piece::Config(message) = piece {
            self.send_stream(to, &message);
        }
    }
}
