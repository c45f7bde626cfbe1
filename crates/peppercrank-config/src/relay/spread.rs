// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Telling peers of news: whole when small and within budget, else by stamp.

use std::collections::BTreeMap;
use std::time::Duration;

use peppercrank_core::names::VmName;
use peppercrank_core::objects::ObjectKey;
use peppercrank_core::time::Instant;

use crate::digest::Stamp;
use crate::message::DATAGRAM;
use crate::message::Message;
use crate::object::Object;
use crate::object::Version;
use crate::store::Store;

/// How many peers each process tells of a change when it first hears of it.
///
/// The share that an epidemic of fan-out 6 misses is about 0.25% (the root of
/// s = exp(-6 (1 - s))); the digests of heartbeats find these.
pub const FANOUT: usize = 6;
/// The least time between two rounds of telling, so that a burst goes in batches.
pub const ROUND_GAP: Duration = Duration::from_millis(50);
/// The bytes a second that a process may spend on telling news whole, over time; and as much on
/// telling stamps.
pub const RATE: f64 = 1_024.0;
/// The bytes that it may spend on either at once.
pub const BURST: f64 = 16.0 * 1_024.0;
/// After which a version that was asked for may be asked for again.
pub const ASK_AGAIN: Duration = Duration::from_secs(1);
/// The most objects that one message asks for.
pub const FETCH_KEYS: usize = 256;

/// Room for the framing of a message around its objects, in bytes.
const FRAME: usize = 16;

/// News that are to be told, and versions that were asked for.
#[derive(Debug)]
pub(super) struct Spread {
    news: BTreeMap<ObjectKey, Option<VmName>>,
    told: Instant,
    whole: Budget,
    stamps: Budget,
    asked: BTreeMap<ObjectKey, (Version, Instant)>,
}

impl Spread {
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            news: BTreeMap::new(),
            told: now,
            whole: Budget::FULL,
            stamps: Budget::FULL,
            asked: BTreeMap::new(),
        }
    }

    /// Notes that a version is news, and where it came from.
    pub(super) fn note(&mut self, key: &ObjectKey, source: Option<&VmName>) {
        self.news.insert(key.clone(), source.cloned());
    }

    /// Who is not to be told, since it told us everything that is news.
    pub(super) fn source(&self) -> Option<&VmName> {
        let mut sources = self.news.values();
        let first = sources.next()?.as_ref()?;
        let same = sources.all(|s| s.as_ref() == Some(first));
        same.then_some(first)
    }

    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.next().is_some_and(|at| at <= now)
    }

    pub(super) fn next(&self) -> Option<Instant> {
        if self.news.is_empty() {
            return None;
        }
        Some(self.told + ROUND_GAP)
    }

    /// The messages that tell the news to one peer, when `peers` peers are told.
    pub(super) fn tell(&mut self, now: Instant, store: &Store, peers: usize) -> Vec<Message> {
        let since = now.since(self.told);
        self.whole.refill(since);
        self.stamps.refill(since);
        self.told = now;
        let news = std::mem::take(&mut self.news);
        let mut objects = Vec::new();
        let mut stamps = Vec::new();
        for key in news.into_keys() {
            let versions: Vec<Object> = store.objects(&key).collect();
            let length: usize = versions.iter().map(length).sum();
            if length + FRAME <= DATAGRAM && self.whole.spend(length * peers) {
                objects.extend(versions);
            } else {
                stamps.extend(store.stamp(&key));
            }
        }
        // The digests of heartbeats tell of what the budget does not allow.
        stamps.retain(|s| self.stamps.spend(stamp_length(s) * peers));
        let objects = packed(objects, length, DATAGRAM).into_iter();
        let stamps = packed(stamps, stamp_length, DATAGRAM).into_iter();
        objects
            .map(Message::Objects)
            .chain(stamps.map(Message::News))
            .collect()
    }

    /// Which of the stamps told by a peer to ask it for.
    pub(super) fn wanted(
        &mut self,
        now: Instant,
        store: &Store,
        stamps: Vec<Stamp>,
    ) -> Vec<ObjectKey> {
        self.asked.retain(|_, (_, until)| *until > now);
        let mut wanted = Vec::new();
        for stamp in stamps {
            let asked = self.asked.get(&stamp.key);
            let in_hand = asked.is_some_and(|(version, _)| *version >= stamp.newest);
            if !in_hand && is_newer(store, &stamp) {
                self.asked
                    .insert(stamp.key.clone(), (stamp.newest, now + ASK_AGAIN));
                wanted.push(stamp.key);
            }
        }
        wanted
    }
}

/// Bytes that may be spent, refilled as time passes.
#[derive(Debug, Clone, Copy)]
struct Budget {
    left: f64,
}

impl Budget {
    const FULL: Self = Self { left: BURST };

    fn refill(&mut self, since: Duration) {
        let more = since.as_secs_f64() * RATE;
        self.left = BURST.min(self.left + more);
    }

    fn spend(&mut self, bytes: usize) -> bool {
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        let within = bytes <= self.left;
        if within {
            self.left -= bytes;
        }
        within
    }
}

/// Whether a peer that holds `theirs` can give us something.
pub(super) fn is_newer(store: &Store, theirs: &Stamp) -> bool {
    match store.stamp(&theirs.key) {
        Some(ours) => theirs.newest > ours.newest || theirs.good > ours.good,
        None => theirs.newest > store.complete(theirs.key.kind),
    }
}

/// The encoded length of an object, in bytes, to within a few.
pub(super) fn length(object: &Object) -> usize {
    let body = object.body.as_ref().map_or(0, |b| b.len() + 4);
    object.key.name.as_str().len() + body + 14
}

/// The encoded length of a stamp, in bytes, to within a few.
fn stamp_length(stamp: &Stamp) -> usize {
    stamp.key.name.as_str().len() + 14
}

/// Packs items in order into lists of up to `most` bytes, or of one item.
pub(super) fn packed<T>(items: Vec<T>, length: impl Fn(&T) -> usize, most: usize) -> Vec<Vec<T>> {
    let mut lists: Vec<Vec<T>> = Vec::new();
    let mut room = 0;
    for item in items {
        let need = length(&item);
        match lists.last_mut() {
            Some(list) if need <= room => {
                room -= need;
                list.push(item);
            }
            _ => {
                room = most.saturating_sub(FRAME + need);
                lists.push(vec![item]);
            }
        }
    }
    lists
}
