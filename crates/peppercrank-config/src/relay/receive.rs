// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Taking inputs in: members, heartbeats, messages and the platform's answers.

use std::collections::BTreeSet;

use peppercrank_core::names::VmName;
use peppercrank_core::objects::ObjectKey;
use peppercrank_core::time::Instant;

use super::Relay;
use super::WATCHER_SPREAD;
use super::action::Action;
use super::action::Answer;
use super::action::Call;
use super::action::Member;
use super::repair;
use super::spread;
use super::survey::Question;
use super::survey::Word;
use crate::message::Beat;
use crate::message::CHUNK;
use crate::message::Message;
use crate::object::Object;
use crate::store::Merged;

impl Relay {
    pub(super) fn on_members(&mut self, now: Instant, members: Vec<Member>) {
        self.peers.replace(members);
        self.kick(now);
    }

    pub(super) fn on_beat(&mut self, now: Instant, from: &VmName, beat: Beat) {
        self.heard_peer(now, from, beat);
        let ours = self.beat(now);
        if ours.digest == beat.digest {
            self.confirm(now, beat);
            self.boot.compared(from, beat.ready, beat.age);
        } else if beat.ready && self.readiness().is_ready() {
            // One that is not ready yet compares by itself.
            let digest = self.store.digest();
            self.repair.note(now, from, digest, &mut self.rng);
        }
    }

    fn heard_peer(&mut self, now: Instant, from: &VmName, beat: Beat) {
        self.peers.note_ready(from, beat.ready);
        self.peer_heard = now;
        self.boot.heard(now);
    }

    /// A peer with our digest vouches for our configuration as for its own.
    pub(super) fn confirm(&mut self, now: Instant, beat: Beat) {
        let origin = now.since_origin();
        let at = beat.age.and_then(|age| origin.checked_sub(age));
        self.confirmed = self.confirmed.max(at.map(Instant::from_origin));
    }

    pub(super) fn on_message(&mut self, now: Instant, from: &VmName, message: Message) {
        self.peer_heard = now;
        self.boot.heard(now);
        match message {
            Message::Objects(objects) => self.on_objects(now, from, &objects),
            Message::News(stamps) => {
                let keys = self.spread.wanted(now, &self.store, stamps);
                if !keys.is_empty() {
                    self.send(from.clone(), Message::Fetch(keys));
                }
            }
            Message::Fetch(keys) => self.give(from, &keys),
            Message::Compare { buckets } => {
                let answer = repair::answer(&self.store, self.beat(now), &buckets);
                self.send(from.clone(), answer);
            }
            Message::Differs {
                beat,
                complete,
                buckets,
                stamps,
            } => {
                self.heard_peer(now, from, beat);
                self.on_differs(now, from, (beat, complete, buckets, stamps));
            }
            Message::Ask { question, group } => {
                let known = (&self.store, &self.peers);
                let words = self.surveys.asked(now, from, question, group, known);
                self.say(words);
            }
            Message::Tally { id, tally } => {
                let words = self.surveys.counted(now, from, id, tally);
                self.say(words);
            }
        }
    }

    fn on_differs(&mut self, now: Instant, from: &VmName, answer: repair::Differs) {
        let verdict = self.repair.differs(now, &self.store, from, answer);
        let verdict = verdict.unwrap_or_default();
        self.give(from, &verdict.lacking);
        for (key, revision) in verdict.deleted {
            if self.store.merge_absent(&key, revision) == Merged::Applied {
                self.applied(&key, Some(from));
            }
        }
    }

    pub(super) fn on_survey(&mut self, now: Instant, question: Question) {
        let rng = &mut self.rng;
        let words = self
            .surveys
            .begin(now, question, &self.store, &self.peers, rng);
        self.say(words);
    }

    pub(super) fn say(&mut self, words: Vec<Word>) {
        for word in words {
            match word {
                Word::Send(to, message) => self.send(to, message),
                Word::Report(question, tally) => {
                    self.out.push(Action::Surveyed { question, tally });
                }
            }
        }
    }

    fn on_objects(&mut self, now: Instant, from: &VmName, objects: &[Object]) {
        for object in objects {
            let merged = self.store.merge(object);
            self.note(object, merged, Some(from));
        }
        let keys: BTreeSet<ObjectKey> = objects.iter().map(|o| o.key.clone()).collect();
        self.repair.received(now, from, &keys);
    }

    /// Sends a peer what we hold of these objects.
    fn give(&mut self, to: &VmName, keys: &[ObjectKey]) {
        let objects: Vec<Object> = keys.iter().flat_map(|k| self.store.objects(k)).collect();
        for objects in spread::packed(objects, spread::length, CHUNK) {
            self.send(to.clone(), Message::Objects(objects));
        }
    }

    pub(super) fn on_answer(&mut self, now: Instant, call: Call, answer: Answer) {
        self.calls.answered(now, call, &answer, &mut self.rng);
        self.count(&answer);
        let Answer::Objects { revision, objects } = answer else {
            return;
        };
        let known = self.store.complete(call.kind());
        self.counters.reverted += u64::from(revision < known);
        self.boot.heard(now);
        if !self.readiness().is_ready() {
            // The API answers: what else it holds is wanted soon.
            let began = self.boot.began();
            self.calls.hasten(now, began, WATCHER_SPREAD, &mut self.rng);
        }
        let results = match call {
            Call::List { kind } => self.store.merge_list(kind, revision, &objects),
            Call::Watch { kind, since, .. } => {
                self.store.merge_changes(kind, since, revision, &objects)
            }
        };
        for (object, merged) in results {
            self.note(&object, merged, None);
        }
    }

    fn count(&mut self, answer: &Answer) {
        match answer {
            Answer::Objects { .. } => {}
            Answer::TooOld => self.counters.expired += 1,
            Answer::Busy { .. } => self.counters.busy += 1,
            Answer::Down => self.counters.failed += 1,
        }
    }

    /// Reports what a merge did, and makes news of it.
    fn note(&mut self, object: &Object, merged: Merged, source: Option<&VmName>) {
        match merged {
            Merged::Applied => self.applied(&object.key, source),
            Merged::HeldBack(fault) => {
                self.counters.held += 1;
                self.spread.note(&object.key, source);
                self.out.push(Action::HeldBack {
                    key: object.key.clone(),
                    version: object.version,
                    fault,
                });
            }
            Merged::Known => self.counters.known += 1,
            Merged::Deleted => self.counters.deleted += 1,
        }
    }

    pub(super) fn applied(&mut self, key: &ObjectKey, source: Option<&VmName>) {
        let Some(version) = self.store.in_force(key) else {
            return;
        };
        self.counters.applied += 1;
        self.spread.note(key, source);
        let key = key.clone();
        self.out.push(Action::Applied { key, version });
    }
}
