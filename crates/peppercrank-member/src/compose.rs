// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Putting a message together within the byte budget.

use std::net::SocketAddr;

use rand::RngExt;

use peppercrank_core::names::PoolName;
use peppercrank_core::time::Instant;

use crate::budget::OVERHEAD;
use crate::description::MemberId;
use crate::input::Action;
use crate::input::MAX_RUMOUR;
use crate::members::Members;
use crate::message::Addressee;
use crate::message::Body;
use crate::message::MAX_MESSAGE;
use crate::message::Message;
use crate::message::News;
use crate::message::Record;
use crate::message::Sample;
use crate::message::State;
use crate::size;
use crate::suspicion::Suspicion;
use crate::table::Member;
use crate::table::MemberKey;

/// Bytes of news on a message that is sent anyway.
const NEWS_ROOM: usize = 400;

/// Bytes of rumours on a message that is sent anyway.
const RUMOUR_ROOM: usize = MAX_RUMOUR + 2;

/// Others' load reports on a message that is sent anyway.
const LOADS: usize = 6;

/// Others' load reports on a message to another of the own pool for their sake.
const LOADS_EXCHANGE: usize = 24;

/// `Class` is how a message stands when bytes are scarce.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Class {
    /// Probes and their answers: may use the last byte.
    Vital,
    /// Load exchange: leaves a quarter of the bucket to the vital ones.
    Exchange,
    /// Everything else: leaves half of it.
    Bulk,
}

/// `Draft` is a message before what rides on it is added.
#[derive(Debug)]
pub(crate) struct Draft {
    pub id: MemberId,
    pub address: SocketAddr,
    pub body: Body,
    /// Records that this message is for; sent as far as they fit.
    pub records: Vec<Record>,
    pub class: Class,
}

impl Draft {
    pub fn new(id: MemberId, address: SocketAddr, body: Body, class: Class) -> Self {
        Self {
            id,
            address,
            body,
            records: Vec::new(),
            class,
        }
    }
}

impl Members {
    /// A draft to a known member, if it can be reached at all.
    pub(crate) fn draft(&self, key: MemberKey, body: Body, class: Class) -> Option<Draft> {
        let member = self.table.get(key)?;
        Some(Draft::new(member.id, member.address()?, body, class))
    }

    /// Sends a draft with what fits on it, and tells whether the budget allowed it.
    pub(crate) fn send(&mut self, now: Instant, draft: Draft) -> bool {
        let Some(mut message) = self.bare(&draft) else {
            return false;
        };
        let floor = match draft.class {
            Class::Vital => 0,
            Class::Exchange => self.budget.depth() / 4,
            Class::Bulk => self.budget.depth() / 2,
        };
        let free = self.budget.left(now).saturating_sub(floor);
        let mut size = size::message(&message);
        if size + OVERHEAD > free {
            self.counters.throttled += 1;
            return false;
        }
        // What rides along never takes the half that is kept for probes and answers.
        let spare = self
            .budget
            .left(now)
            .saturating_sub(self.budget.depth() / 2);
        let room = spare.max(size + OVERHEAD) - OVERHEAD;
        let most = room.min(MAX_MESSAGE);
        for record in draft.records {
            let more = size::record(&record);
            if size + more <= free.saturating_sub(OVERHEAD).min(MAX_MESSAGE) {
                size += more;
                message.records.push(record);
            }
        }
        size += self.add_rumours(&mut message, most.saturating_sub(size));
        size += self.add_news(&mut message, most.saturating_sub(size));
        size += self.add_loads(now, &mut message, most.saturating_sub(size), draft.class);
        self.budget.take(now, size + OVERHEAD);
        self.counters.sent += 1;
        self.counters.sent_bytes += (size + OVERHEAD) as u64;
        self.out.push(Action::Send {
            to: draft.address,
            message: Box::new(message),
        });
        true
    }

    fn bare(&self, draft: &Draft) -> Option<Message> {
        let held = self.table.find(draft.id).filter(|m| m.is_heard());
        Some(Message {
            from: self.own()?.claim(),
            to: Addressee {
                id: draft.id,
                held: held.map(|m| (m.incarnation, m.state)),
            },
            body: draft.body.clone(),
            news: Vec::new(),
            records: Vec::new(),
            loads: Vec::new(),
            digest: self.facts.digest.clone(),
            rumours: Vec::new(),
        })
    }

    fn add_rumours(&mut self, message: &mut Message, room: usize) -> usize {
        if self.rumours.is_empty() {
            return 0;
        }
        message.rumours = self.rumours.take(room.min(RUMOUR_ROOM));
        message.rumours.iter().map(|r| size::bytes(r.len())).sum()
    }

    fn add_news(&mut self, message: &mut Message, room: usize) -> usize {
        let room = match message.body {
            Body::Gossip => room,
            _ => room.min(NEWS_ROOM),
        };
        let mut used = 0;
        for key in self.news.next(&mut self.rng) {
            if used + MIN_NEWS > room {
                break;
            }
            let Some(member) = self.table.get(key) else {
                self.news.drop_member(key);
                continue;
            };
            if member.is_vague() {
                // A receiver would ask here for the description, in vain as yet.
                continue;
            }
            let news = self.tell(key, member);
            let more = size::news(&news);
            if used + more > room {
                break;
            }
            used += more;
            message.news.push(news);
            self.news.spent(key);
        }
        used
    }

    /// What is to be said of a member now.
    fn tell(&self, key: MemberKey, member: &Member) -> News {
        let claim = member.claim();
        let accuser = self.suspicions.get(&key).and_then(Suspicion::accuser);
        match accuser.filter(|_| member.state == State::Suspect) {
            Some(by) => News::Accusation { claim, by },
            None => News::Claim(claim),
        }
    }

    /// This process's own record.
    pub(crate) fn own_record(&self) -> Option<Record> {
        self.own()?.record()
    }

    fn add_loads(
        &mut self,
        now: Instant,
        message: &mut Message,
        room: usize,
        class: Class,
    ) -> usize {
        let most = match class {
            Class::Exchange => LOADS_EXCHANGE,
            Class::Vital => LOADS,
            Class::Bulk => 0,
        };
        let mut samples: Vec<Sample> = self.own_sample().into_iter().collect();
        if let Some(pool) = self.pool_for(message.to.id) {
            let others = self.loads.freshest(&pool, most, message.to.id, now);
            samples.extend(others);
        }
        let mut used = 0;
        for sample in samples {
            let more = size::sample(&sample);
            if used + more > room {
                break;
            }
            used += more;
            message.loads.push(sample);
        }
        used
    }

    fn own_sample(&self) -> Option<Sample> {
        let load = self.own_load()?;
        Some(Sample {
            id: self.id,
            boot: self.incarnation().boot,
            cost: load.cost.0,
            age: 0,
        })
    }

    /// The pool whose loads the receiver has use for; a router gets any.
    fn pool_for(&mut self, id: MemberId) -> Option<PoolName> {
        let receiver = self.table.find(id)?.description.as_ref()?;
        if let Some(pool) = receiver.pool() {
            return Some(pool.clone());
        }
        let count = self.loads.pools().count();
        if count == 0 {
            return None;
        }
        let nth = self.rng.random_range(0..count);
        self.loads.pools().nth(nth).cloned()
    }
}

/// The size of the shortest piece of news.
const MIN_NEWS: usize = 17;
