// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Probes, direct and through relays, and what follows from their silence.

use std::net::SocketAddr;
use std::time::Duration;

use peppercrank_core::time::Instant;

use crate::compose::Class;
use crate::compose::Draft;
use crate::description::MemberId;
use crate::members::Members;
use crate::message::Body;
use crate::message::State;
use crate::suspicion::Suspicion;
use crate::table::Member;
use crate::table::MemberKey;

/// Probes on others' behalf that may run at once.
const MAX_RELAYED: usize = 64;

/// Members that may wait to be probed out of turn.
const MAX_DOUBTS: usize = 256;

/// `Probe` is the probe of the present period.
#[derive(Debug)]
pub(crate) struct Probe {
    pub key: MemberKey,
    pub id: MemberId,
    pub seq: u32,
    /// When relays are asked; `None` once they were.
    relay: Option<Instant>,
    ends: Instant,
    /// How many relays were asked.
    asked: usize,
    /// How many of them said that the member is silent.
    silent: usize,
}

impl Probe {
    pub fn wake(&self) -> Instant {
        self.relay.unwrap_or(self.ends)
    }

    pub fn postpone(&mut self, by: Duration) {
        self.relay = self.relay.map(|at| at + by);
        self.ends = self.ends + by;
    }
}

/// `Relayed` is a probe on another's behalf.
#[derive(Debug)]
pub(crate) struct Relayed {
    pub seq: u32,
    pub subject: MemberId,
    pub asker: MemberId,
    pub address: SocketAddr,
    /// The asker's number.
    pub theirs: u32,
    pub ends: Instant,
}

impl Members {
    pub(crate) fn run_probe(&mut self, now: Instant) {
        let relay = self.probe.as_ref().and_then(|p| p.relay);
        if relay.is_some_and(|at| now >= at) {
            self.ask_relays(now);
        }
        if self.probe.as_ref().is_some_and(|p| now >= p.ends) {
            self.conclude(now);
        }
        if now >= self.due.probe && self.probe.is_none() {
            self.due.probe = now + self.health.stretch(self.settings.period);
            self.start_probe(now);
        }
    }

    fn start_probe(&mut self, now: Instant) {
        // Every other probe at most is out of turn, so that the round goes on.
        self.in_turn = !self.in_turn;
        let doubt = if self.in_turn {
            None
        } else {
            self.next_doubt()
        };
        let key = doubt.or_else(|| self.table.next_probe(&mut self.rng));
        let Some(key) = key else {
            return;
        };
        let Some(seq) = self.send_probe(now, key) else {
            return;
        };
        let Some(member) = self.table.get(key) else {
            return;
        };
        self.probe = Some(Probe {
            key,
            id: member.id,
            seq,
            relay: Some(now + self.health.stretch(self.settings.timeout)),
            ends: now + self.health.stretch(self.settings.period),
            asked: 0,
            silent: 0,
        });
    }

    /// Sends a probe and returns its number, if the budget allowed it.
    fn send_probe(&mut self, now: Instant, key: MemberKey) -> Option<u32> {
        self.seq = self.seq.wrapping_add(1);
        let seq = self.seq;
        let want = self.table.get(key)?.is_vague();
        let draft = self.draft(key, Body::Probe { seq, want }, Class::Vital)?;
        self.send(now, draft).then_some(seq)
    }

    fn ask_relays(&mut self, now: Instant) {
        let Some(mut probe) = self.probe.take() else {
            return;
        };
        probe.relay = None;
        let body = Body::ProbeFor {
            seq: probe.seq,
            subject: probe.id,
        };
        let mut asked: Vec<MemberId> = vec![probe.id];
        for _ in 0..self.settings.relays {
            let fits = |m: &Member| m.state == State::Alive && !asked.contains(&m.id);
            let Some(relay) = self.table.pick(&mut self.rng, fits) else {
                break;
            };
            let Some(draft) = self.draft(relay, body.clone(), Class::Vital) else {
                break;
            };
            asked.push(draft.id);
            if self.send(now, draft) {
                probe.asked += 1;
            }
        }
        self.probe = Some(probe);
    }

    /// The period ended without an answer.
    fn conclude(&mut self, now: Instant) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        self.counters.unanswered += 1;
        if probe.asked > 0 && probe.silent == 0 {
            // Not one relay was heard either: that speaks against this process.
            self.health.worse(1);
        }
        let state = self.table.get(probe.key).map(|m| m.state);
        match state {
            Some(State::Alive) => {
                self.counters.suspected += 1;
                self.suspect(now, probe.key, None);
                self.accuse_here(probe.key);
            }
            Some(State::Suspect) => self.accuse_here(probe.key),
            Some(State::Dead | State::Left) => {
                // Someone held it live, and it is not: let that be known again.
                let copies = self.copies();
                self.news.put(probe.key, copies);
            }
            None => {}
        }
    }

    /// Begins a suspicion.
    pub(crate) fn suspect(&mut self, now: Instant, key: MemberKey, by: Option<MemberId>) {
        let live = self.table.live();
        let stretch = self.health.score() + 1;
        let copies = self.copies();
        let Some(member) = self.table.get_mut(key) else {
            return;
        };
        member.state = State::Suspect;
        member.since = now;
        let suspicion = Suspicion::new(now, by, live, &self.settings, stretch);
        self.suspicions.insert(key, suspicion);
        self.news.put(key, copies);
        self.publish(key, false);
    }

    /// Adds an accuser to a running suspicion and spreads it if it was news.
    pub(crate) fn accuse(&mut self, key: MemberKey, by: MemberId) {
        let copies = self.copies();
        let Some(suspicion) = self.suspicions.get_mut(&key) else {
            return;
        };
        if suspicion.accuse(by) {
            self.news.put(key, copies);
        }
    }

    /// Adds this process as an accuser.
    fn accuse_here(&mut self, key: MemberKey) {
        let copies = self.copies();
        let id = self.id;
        let Some(suspicion) = self.suspicions.get_mut(&key) else {
            return;
        };
        if suspicion.accuse_here(id) {
            self.news.put(key, copies);
        }
    }

    pub(crate) fn run_suspicions(&mut self, now: Instant) {
        let ended = self.suspicions.iter().filter(|(_, s)| now >= s.ends());
        let keys: Vec<_> = ended.map(|(key, _)| *key).collect();
        if keys.is_empty() {
            return;
        }
        let isolated = self.is_isolated(now);
        for key in keys {
            let asked = self.suspicions.get(&key).is_some_and(Suspicion::is_asked);
            if isolated {
                // With nobody heard, the fault is most likely here.
                self.postpone_suspicion(key);
            } else if asked {
                self.counters.declared += 1;
                self.declare(now, key, State::Dead);
            } else {
                self.ask_last(now, key);
            }
        }
    }

    /// Asks a suspect itself before it is declared dead: it may have refuted unheard.
    fn ask_last(&mut self, now: Instant, key: MemberKey) {
        let reachable = self.table.get(key).is_some_and(|m| m.address().is_some());
        if reachable && self.send_probe(now, key).is_none() {
            self.postpone_suspicion(key);
            return;
        }
        let overdue = now + self.health.stretch(self.settings.period);
        if let Some(suspicion) = self.suspicions.get_mut(&key) {
            suspicion.ask(overdue);
        }
    }

    fn postpone_suspicion(&mut self, key: MemberKey) {
        let period = self.settings.period;
        if let Some(suspicion) = self.suspicions.get_mut(&key) {
            suspicion.postpone(period);
        }
    }

    /// Whether there are several others and none was heard for long.
    fn is_isolated(&self, now: Instant) -> bool {
        let silent = now.since(self.heard) > self.settings.isolation;
        silent && self.table.live() > 2
    }

    /// Holds a member dead or gone.
    pub(crate) fn declare(&mut self, now: Instant, key: MemberKey, state: State) {
        let copies = self.copies();
        self.suspicions.remove(&key);
        let Some(member) = self.table.get_mut(key) else {
            return;
        };
        member.state = state;
        member.since = now;
        self.loads.drop_member(member.id);
        self.news.put(key, copies);
        self.publish(key, false);
    }

    /// Has a member probed out of turn.
    pub(crate) fn doubt(&mut self, key: MemberKey) {
        if self.doubts.len() < MAX_DOUBTS && !self.doubts.contains(&key) {
            self.doubts.push_back(key);
        }
    }

    fn next_doubt(&mut self) -> Option<MemberKey> {
        while let Some(key) = self.doubts.pop_front() {
            if self.table.get(key).is_some_and(|m| m.address().is_some()) {
                return Some(key);
            }
        }
        None
    }

    pub(crate) fn on_ack(&mut self, now: Instant, from: MemberId, seq: u32) {
        if self
            .probe
            .as_ref()
            .is_some_and(|p| p.seq == seq && p.id == from)
        {
            self.probe = None;
            self.health.better();
            return;
        }
        let place = self
            .relayed
            .iter()
            .position(|r| r.seq == seq && r.subject == from);
        let Some(place) = place else {
            return;
        };
        let relayed = self.relayed.swap_remove(place);
        let body = Body::Vouch {
            seq: relayed.theirs,
        };
        let draft = Draft::new(relayed.asker, relayed.address, body, Class::Vital);
        self.send(now, draft);
    }

    pub(crate) fn on_vouch(&mut self, seq: u32) {
        if self.probe.as_ref().is_some_and(|p| p.seq == seq) {
            self.probe = None;
            self.health.better();
        }
    }

    pub(crate) fn on_silent(&mut self, seq: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|p| p.seq == seq) {
            probe.silent += 1;
        }
    }

    pub(crate) fn on_probe_for(
        &mut self,
        now: Instant,
        asker: MemberId,
        address: SocketAddr,
        theirs: u32,
        subject: MemberId,
    ) {
        let Some(key) = self.table.key(subject).filter(|key| *key != self.me) else {
            return;
        };
        if self.relayed.len() >= MAX_RELAYED {
            return;
        }
        let Some(seq) = self.send_probe(now, key) else {
            return;
        };
        self.relayed.push(Relayed {
            seq,
            subject,
            asker,
            address,
            theirs,
            ends: now + self.settings.timeout,
        });
    }

    pub(crate) fn run_relayed(&mut self, now: Instant) {
        while let Some(place) = self.relayed.iter().position(|r| now >= r.ends) {
            let relayed = self.relayed.swap_remove(place);
            let body = Body::Silent {
                seq: relayed.theirs,
            };
            let draft = Draft::new(relayed.asker, relayed.address, body, Class::Vital);
            self.send(now, draft);
        }
    }

    pub(crate) fn run_gossip(&mut self, now: Instant) {
        self.due.gossip = now + self.settings.gossip;
        if self.news.is_empty() && self.rumours.is_empty() {
            return;
        }
        let to = self.table.pick(&mut self.rng, |m| {
            m.state.is_live() && m.address().is_some()
        });
        let draft = to.and_then(|key| self.draft(key, Body::Gossip, Class::Bulk));
        if let Some(draft) = draft {
            self.send(now, draft);
        }
    }

    /// Sends loads to another of the own pool.
    pub(crate) fn run_exchange(&mut self, now: Instant) {
        let Some(pool) = self.own_pool().cloned() else {
            return;
        };
        let fits = |m: &Member| {
            let theirs = m.description.as_ref().and_then(|d| d.pool());
            m.state == State::Alive && theirs == Some(&pool)
        };
        let to = self.table.pick(&mut self.rng, fits);
        let draft = to.and_then(|key| self.draft(key, Body::Gossip, Class::Exchange));
        if let Some(draft) = draft {
            self.send(now, draft);
        }
    }
}
