// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The membership's actions, carried out.

use peppercrank_config::message::Beat;
use peppercrank_config::relay;
use peppercrank_core::events::Event;
use peppercrank_member::Action;
use peppercrank_member::Change;
use peppercrank_member::Description;
use peppercrank_member::Facts;
use peppercrank_member::Input;
use peppercrank_member::MemberId;
use peppercrank_member::board;
use peppercrank_route::note::Addressed;

use crate::fleet::Fleet;
use crate::fleet::lock;
use crate::fleet::piece::Piece;
use crate::fleet::read;
use crate::fleet::write;

impl Fleet {
    /// `gossip` gives the membership an input and carries out what it says.
    pub fn gossip(&self, input: Input) {
        let now = self.clock.now();
        let actions = lock(&self.members).on(now, input);
        let mut moved = false;
        for action in actions {
            moved |= matches!(action, Action::Changed { .. });
            self.act(action);
        }
        if moved {
            self.members_changed();
        }
    }

    fn act(&self, action: Action) {
        match action {
            Action::Send { to, message } => {
                // A full outbox drops, as a full network would.
                drop(self.outbox.try_send((to, message)));
            }
            Action::Changed {
                change, ref member, ..
            } => {
                self.note_change(change, member);
                board::apply(&mut write(&self.board), &action);
            }
            Action::Differs { from, digest } => {
                self.heard_peer();
                if let (Some(from), Some(beat)) = (self.name_of(from), Beat::from_bytes(&digest)) {
                    self.config(relay::Input::Beat { from, beat });
                }
            }
            Action::Rumours { from, pieces } => {
                for piece in pieces {
                    self.take_piece(from, &piece);
                }
            }
        }
    }

    fn note_change(&self, change: Change, member: &Description) {
        let event = match change {
            Change::Alive => Event::MemberAlive,
            Change::Suspect => Event::MemberSuspect,
            Change::Dead | Change::Left | Change::Forgotten => Event::MemberDead,
            Change::Updated => {
                return;
            }
        };
        let id = MemberId::of(&member.vm);
        if change == Change::Forgotten {
            write(&self.names).remove(&id);
        } else {
            write(&self.names).insert(id, member.vm.clone());
        }
        self.log.write_about(event, member.vm.as_str());
    }

    fn take_piece(&self, from: MemberId, bytes: &[u8]) {
        match (Piece::decode(bytes), self.name_of(from)) {
            (Some(Piece::Config(message)), Some(from)) => {
                self.config(relay::Input::Message { from, message });
            }
            (Some(Piece::Note(note)), _) => drop(self.notes.try_send(note)),
            // Of another version, or of a member not yet known: its loss is made good.
            _ => {}
        }
    }

    /// `tell` sends a note to the agent of the target that it is addressed to.
    pub fn tell(&self, addressed: &Addressed) {
        let vm = self.board().targets.get(addressed.to).map(|t| t.vm.clone());
        let bytes = Piece::Note(addressed.note).encode();
        if let (Some(vm), Some(bytes)) = (vm, bytes) {
            self.gossip(Input::Relay {
                to: MemberId::of(&vm),
                bytes,
            });
        }
    }

    /// What the next heartbeat says of this process.
    pub(super) fn facts(&self) -> Facts {
        let own = lock(&self.facts).clone();
        let digest = read(&self.relay).beat_bytes(self.clock.now()).to_vec();
        Facts {
            load: own.load,
            leaving: own.leaving,
            digest,
        }
    }

    fn members_changed(&self) {
        let members: Vec<_> = {
            let members = lock(&self.members);
            let live = members.iter().filter(|m| m.state.is_live());
            let known = live.filter_map(|m| m.description.as_ref());
            known
                .map(|d| relay::Member {
                    name: d.vm.clone(),
                    zone: d.zone.clone(),
                })
                .collect()
        };
        self.metrics
            .members
            .set(i64::try_from(members.len()).unwrap_or(i64::MAX));
        self.config(relay::Input::Members(members));
        self.rerank();
        self.bump();
    }
}
