// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Taking in a datagram: whom it is meant for, who speaks, and what it says.

use std::net::SocketAddr;
use std::sync::Arc;

use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;

use crate::compose::Class;
use crate::compose::Draft;
use crate::description::Description;
use crate::description::MemberId;
use crate::input::Action;
use crate::judge::Verdict;
use crate::judge::judge;
use crate::judge::refute;
use crate::load::Report;
use crate::load::made_at;
use crate::members::Members;
use crate::message::Body;
use crate::message::Claim;
use crate::message::Incarnation;
use crate::message::MAX_BOOT;
use crate::message::Message;
use crate::message::News;
use crate::message::Record;
use crate::message::Sample;
use crate::message::State;
use crate::table::Member;
use crate::table::MemberKey;

impl Members {
    pub(crate) fn on_datagram(&mut self, now: Instant, address: SocketAddr, message: Message) {
        self.counters.received += 1;
        if !is_sane(&message.from) || message.from.id == self.id {
            self.counters.malformed += 1;
            return;
        }
        let answer = match message.body {
            // Two that refuse each other would never end.
            Body::Refused => None,
            Body::Probe { .. } => Some(Class::Vital),
            _ => Some(Class::Bulk),
        };
        if message.to.id != self.id {
            self.counters.misdirected += 1;
            self.refuse(now, address, message.from.id, answer);
            return;
        }
        if let Some((incarnation, state)) = message.to.held {
            if incarnation.boot < self.incarnation().boot {
                self.counters.outdated += 1;
                self.refuse(now, address, message.from.id, answer);
                return;
            }
            self.answer_claim(incarnation, state);
        }
        let speaker = self.table.find(message.from.id);
        if speaker.is_some_and(|m| message.from.incarnation.boot < m.incarnation.boot) {
            // Late from before a restart, or from a start whose clock went back; the answer
            // tells the latter what it must rise above.
            self.counters.stale += 1;
            self.refuse(now, address, message.from.id, answer);
            return;
        }
        self.heard = now;
        self.take_in(now, address, message);
    }

    fn take_in(&mut self, now: Instant, address: SocketAddr, message: Message) {
        let from = message.from.id;
        let mut asks = Vec::new();
        self.merge(now, message.from, Learnt::Told, None, &mut asks);
        for news in message.news {
            self.take_news(now, news, &mut asks);
        }
        for record in message.records {
            self.take_record(now, record, &mut asks);
        }
        self.take_loads(now, &message.loads);
        self.take_digest(from, message.digest);
        self.take_rumours(from, message.rumours);
        let answers = matches!(message.body, Body::Probe { .. } | Body::Refused);
        self.take_body(now, from, address, message.body, &mut asks);
        if !answers {
            self.notify(now, from, address);
        }
        self.ask(now, from, address, asks);
    }

    fn take_body(
        &mut self,
        now: Instant,
        from: MemberId,
        address: SocketAddr,
        body: Body,
        asks: &mut Vec<MemberId>,
    ) {
        match body {
            Body::Probe { seq, want } => self.on_probe(now, from, address, seq, want),
            Body::Ack { seq } => self.on_ack(now, from, seq),
            Body::Compare { digests } => self.on_compare(now, from, address, &digests),
            Body::Differ { buckets, claims } => {
                self.reconcile(now, from, address, &buckets, &claims, asks);
            }
            Body::ProbeFor { seq, subject } => {
                self.on_probe_for(now, from, address, seq, subject);
            }
            Body::Vouch { seq } => self.on_vouch(seq),
            Body::Silent { seq } => self.on_silent(seq),
            Body::Pull { after } => self.on_pull(now, from, address, after),
            Body::Page { after, next } => self.on_page(now, after, next),
            Body::Ask { ids } => self.on_ask(now, from, address, &ids),
            Body::Gossip | Body::Refused => {}
            Body::Relay(piece) => self.out.push(Action::Rumours {
                from,
                pieces: vec![piece],
            }),
        }
    }

    /// Tells a sender that its message was not for this process, and who is here.
    fn refuse(&mut self, now: Instant, address: SocketAddr, to: MemberId, class: Option<Class>) {
        let Some(class) = class else {
            return;
        };
        let mut draft = Draft::new(to, address, Body::Refused, class);
        draft.records.extend(self.own_record());
        self.send(now, draft);
    }

    /// Lets a speaker know that it is held suspect or dead, so that it can refute.
    fn notify(&mut self, now: Instant, id: MemberId, address: SocketAddr) {
        let accused = |s: State| matches!(s, State::Suspect | State::Dead);
        if self.table.find(id).is_some_and(|m| accused(m.state)) {
            let draft = Draft::new(id, address, Body::Gossip, Class::Bulk);
            self.send(now, draft);
        }
    }

    /// Rises above a claim on this process itself.
    fn answer_claim(&mut self, incarnation: Incarnation, state: State) {
        let Some(own) = self.own() else {
            return;
        };
        if own.state == State::Left || incarnation.boot > MAX_BOOT {
            return;
        }
        let Some(next) = refute(own.incarnation, (incarnation, state)) else {
            return;
        };
        let missed = incarnation == own.incarnation && state == State::Suspect;
        self.counters.refuted += 1;
        if missed {
            // Others missed answers of this process: it may be slow.
            self.health.worse(1);
        }
        self.renew(Some(next));
    }

    fn on_probe(
        &mut self,
        now: Instant,
        from: MemberId,
        address: SocketAddr,
        seq: u32,
        want: bool,
    ) {
        let mut draft = Draft::new(from, address, Body::Ack { seq }, Class::Vital);
        if want {
            draft.records.extend(self.own_record());
        }
        self.send(now, draft);
    }

    fn take_news(&mut self, now: Instant, news: News, asks: &mut Vec<MemberId>) {
        match news {
            News::Claim(claim) => self.merge(now, claim, Learnt::Told, None, asks),
            News::Accusation { claim, by } => {
                self.merge(now, claim, Learnt::Told, Some(by), asks);
            }
        }
    }

    fn take_record(&mut self, now: Instant, record: Record, asks: &mut Vec<MemberId>) {
        let claim = Claim {
            id: MemberId::of(&record.description.vm),
            incarnation: record.incarnation,
            state: record.state,
            leaving: record.leaving,
            stamp: record.description.stamp(),
        };
        self.merge(now, claim, Learnt::Read, None, asks);
        if let Some(key) = self.table.key(claim.id).filter(|key| *key != self.me) {
            self.take_description(key, record.description);
        }
        asks.retain(|id| *id != claim.id);
    }

    /// Weighs a claim and holds what prevails.
    pub(crate) fn merge(
        &mut self,
        now: Instant,
        claim: Claim,
        learnt: Learnt,
        by: Option<MemberId>,
        asks: &mut Vec<MemberId>,
    ) {
        if !is_sane(&claim) {
            self.counters.malformed += 1;
            return;
        }
        if claim.id == self.id {
            self.answer_claim(claim.incarnation, claim.state);
            return;
        }
        if self.table.key(claim.id).is_none() && !claim.state.is_live() {
            return;
        }
        let key = self.table.enter(claim.id, now, Some(&mut self.rng));
        let Some(member) = self.table.get(key) else {
            return;
        };
        let held = (member.incarnation, member.state);
        match judge(held, (claim.incarnation, claim.state)) {
            Verdict::Ignore => self.hear_again(key, held, &claim, by),
            Verdict::Adopt(state) => self.adopt(now, key, &claim, state, by, learnt),
        }
        if self.table.get(key).is_some_and(Member::is_vague) {
            asks.push(claim.id);
        }
    }

    fn hear_again(
        &mut self,
        key: MemberKey,
        held: (Incarnation, State),
        claim: &Claim,
        by: Option<MemberId>,
    ) {
        if held == (claim.incarnation, claim.state) {
            self.news.heard(key);
        }
        if let Some(by) = by.filter(|_| held.0 == claim.incarnation) {
            self.accuse(key, by);
        }
    }

    fn adopt(
        &mut self,
        now: Instant,
        key: MemberKey,
        claim: &Claim,
        state: State,
        by: Option<MemberId>,
        learnt: Learnt,
    ) {
        let copies = self.copies();
        let Some(member) = self.table.get_mut(key) else {
            return;
        };
        let was = member.state;
        let before = member.incarnation;
        let renewed = member.leaving != claim.leaving;
        let started = claim.incarnation.boot > before.boot;
        member.incarnation = claim.incarnation;
        member.leaving = claim.leaving;
        member.stamp = claim.stamp;
        if started {
            self.loads.drop_member(claim.id);
        }
        let returned = started || !was.is_live();
        if before.boot > 0 && returned && state.is_live() {
            self.flap(now, key);
        }
        match state {
            State::Suspect => self.suspect(now, key, by),
            State::Dead | State::Left => self.declare(now, key, state),
            State::Alive => {
                self.suspicions.remove(&key);
                if let Some(member) = self.table.get_mut(key) {
                    member.state = State::Alive;
                    member.since = if was == State::Alive {
                        member.since
                    } else {
                        now
                    };
                }
                if learnt == Learnt::Told || before.boot > 0 {
                    self.news.put(key, copies);
                }
                self.publish(key, renewed);
            }
        }
    }

    fn take_description(&mut self, key: MemberKey, description: Arc<Description>) {
        let Some(member) = self.table.get_mut(key) else {
            return;
        };
        let stamp = description.stamp();
        if stamp != member.stamp || stamp == member.described {
            return;
        }
        let moved = member.description.as_ref().map(|d| d.pool()) != Some(description.pool());
        member.describe(description);
        let id = member.id;
        if moved {
            self.loads.drop_member(id);
        }
        self.publish(key, true);
    }

    fn take_loads(&mut self, now: Instant, samples: &[Sample]) {
        for sample in samples.iter().filter(|s| s.id != self.id) {
            let Some(member) = self.table.find(sample.id) else {
                continue;
            };
            if sample.boot != member.incarnation.boot {
                self.counters.loads_stale += 1;
                continue;
            }
            if !member.state.is_live() || member.is_leaving() {
                continue;
            }
            let Some(description) = member.description.as_ref().map(Arc::clone) else {
                continue;
            };
            let Some(agent) = description.agent() else {
                continue;
            };
            let report = Report {
                id: sample.id,
                boot: sample.boot,
                weight: agent.weight,
                cost: Cost(sample.cost),
                at: made_at(sample.age, now),
            };
            self.loads.note(&agent.pool, report);
        }
    }

    fn take_digest(&mut self, from: MemberId, digest: Vec<u8>) {
        if !digest.is_empty() && digest != self.facts.digest {
            self.out.push(Action::Differs { from, digest });
        }
    }

    fn take_rumours(&mut self, from: MemberId, pieces: Vec<Vec<u8>>) {
        for piece in &pieces {
            self.rumours.heard(piece);
        }
        if !pieces.is_empty() {
            self.out.push(Action::Rumours { from, pieces });
        }
    }
}

/// `Learnt` is how a claim reached this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Learnt {
    /// As news, which is spread on.
    Told,
    /// From another's table, where most others have read it too.
    Read,
}

/// Whether a claim's numbers are such as a member gives itself.
const fn is_sane(claim: &Claim) -> bool {
    let boot = claim.incarnation.boot;
    boot > 0 && boot <= MAX_BOOT + u16::MAX as u64
}
