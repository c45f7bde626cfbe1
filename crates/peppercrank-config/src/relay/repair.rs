// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Comparing with one peer, and making good what either lacks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use peppercrank_core::names::VmName;
use peppercrank_core::objects::ObjectKey;
use peppercrank_core::time::Instant;
use rand_chacha::ChaCha8Rng;

use super::calls::uniform;
use super::spread::FETCH_KEYS;
use super::spread::is_newer;
use crate::digest::BUCKETS;
use crate::digest::Stamp;
use crate::message::Beat;
use crate::message::Message;
use crate::object::Version;
use crate::store::Complete;
use crate::store::Store;

/// The time from a differing digest to the comparison, at most: news may be on its way.
pub const SETTLE: Duration = Duration::from_millis(500);
/// After which a comparison without progress is given up.
pub const STALLED: Duration = Duration::from_secs(3);
/// The pause after a comparison that brought nothing, doubled up to [`MAX_FUTILE`].
pub const MIN_FUTILE: Duration = Duration::from_secs(1);
/// The longest pause after comparisons that brought nothing.
pub const MAX_FUTILE: Duration = Duration::from_secs(60);

/// A difference that was noticed and is to be looked into.
#[derive(Debug)]
struct Notice {
    peer: VmName,
    digest: u64,
    at: Instant,
}

/// A comparison in progress.
#[derive(Debug)]
struct Session {
    peer: VmName,
    until: Instant,
    digest: u64,
    stage: Stage,
}

#[derive(Debug)]
enum Stage {
    Comparing,
    Fetching {
        beat: Beat,
        complete: Complete,
        /// Still to be asked for.
        queue: Vec<ObjectKey>,
        /// Asked for and not yet here.
        open: BTreeSet<ObjectKey>,
    },
}

/// What a peer's answer asks us to do.
#[derive(Debug, Default)]
pub(super) struct Verdict {
    /// Objects that the peer knows to be deleted.
    pub(super) deleted: Vec<(ObjectKey, Version)>,
    /// Objects that the peer lacks.
    pub(super) lacking: Vec<ObjectKey>,
}

/// A peer's answer to a comparison: its beat, its complete revisions, the buckets that differ
/// and their stamps.
pub(super) type Differs = (Beat, Complete, u128, Vec<Stamp>);

/// A comparison that was finished.
#[derive(Debug)]
pub(super) struct Finished {
    pub(super) peer: VmName,
    pub(super) beat: Beat,
    pub(super) complete: Complete,
}

/// Comparisons with peers, one at a time.
#[derive(Debug, Default)]
pub(super) struct Repair {
    notice: Option<Notice>,
    session: Option<Session>,
    futile: u32,
    earliest: Instant,
}

impl Repair {
    /// Notes that a peer's digest differs from ours.
    pub(super) fn note(&mut self, now: Instant, peer: &VmName, digest: u64, rng: &mut ChaCha8Rng) {
        if self.notice.is_some() || self.session.is_some() {
            return;
        }
        let at = self.earliest.max(now) + uniform(rng, SETTLE);
        let peer = peer.clone();
        self.notice = Some(Notice { peer, digest, at });
    }

    /// The peer to compare with now; none when news came since the difference was noticed.
    pub(super) fn due(&mut self, now: Instant, digest: u64) -> Option<VmName> {
        self.give_up_stalled(now);
        let notice = self.notice.take_if(|n| n.at <= now)?;
        let unchanged = notice.digest == digest && self.session.is_none();
        unchanged.then_some(notice.peer)
    }

    pub(super) fn begin(&mut self, now: Instant, peer: VmName, store: &Store) -> Message {
        self.session = Some(Session {
            peer,
            until: now + STALLED,
            digest: store.digest(),
            stage: Stage::Comparing,
        });
        let buckets = if store.is_empty() {
            // Too few digests ask for everything, and take less room.
            Vec::new()
        } else {
            store.buckets().to_vec()
        };
        Message::Compare { buckets }
    }

    pub(super) const fn is_busy(&self) -> bool {
        self.session.is_some()
    }

    /// Takes the answer to a comparison in.
    pub(super) fn differs(
        &mut self,
        now: Instant,
        store: &Store,
        from: &VmName,
        answer: Differs,
    ) -> Option<Verdict> {
        let session = self.session.as_mut()?;
        let comparing = matches!(session.stage, Stage::Comparing);
        if session.peer != *from || !comparing {
            return None;
        }
        let (beat, complete, buckets, stamps) = answer;
        let verdict = judge(store, &complete, buckets, &stamps);
        let wanted = stamps.into_iter().filter(|s| is_newer(store, s));
        session.until = now + STALLED;
        session.stage = Stage::Fetching {
            beat,
            complete,
            queue: wanted.map(|s| s.key).collect(),
            open: BTreeSet::new(),
        };
        Some(verdict)
    }

    /// Takes note of objects that came from a peer.
    pub(super) fn received(&mut self, now: Instant, from: &VmName, keys: &BTreeSet<ObjectKey>) {
        let Some(session) = self.session.as_mut().filter(|s| s.peer == *from) else {
            return;
        };
        if let Stage::Fetching { open, .. } = &mut session.stage {
            let before = open.len();
            open.retain(|key| !keys.contains(key));
            if open.len() < before {
                session.until = now + STALLED;
            }
        }
    }

    /// The next request of the comparison in progress.
    pub(super) fn request(&mut self) -> Option<(VmName, Message)> {
        let session = self.session.as_mut()?;
        let Stage::Fetching { queue, open, .. } = &mut session.stage else {
            return None;
        };
        if !open.is_empty() || queue.is_empty() {
            return None;
        }
        let rest = queue.len().saturating_sub(FETCH_KEYS);
        let keys = queue.split_off(rest);
        open.extend(keys.iter().cloned());
        Some((session.peer.clone(), Message::Fetch(keys)))
    }

    /// Ends the comparison once everything is here.
    pub(super) fn finish(&mut self, now: Instant, store: &Store) -> Option<Finished> {
        let done = |s: &mut Session| match &s.stage {
            Stage::Comparing => false,
            Stage::Fetching { queue, open, .. } => queue.is_empty() && open.is_empty(),
        };
        let session = self.session.take_if(done)?;
        self.judge_use(now, session.digest != store.digest());
        match session.stage {
            Stage::Comparing => None,
            Stage::Fetching { beat, complete, .. } => Some(Finished {
                peer: session.peer,
                beat,
                complete,
            }),
        }
    }

    /// When something is due next.
    pub(super) fn next(&self) -> Option<Instant> {
        let notice = self.notice.as_ref().map(|n| n.at);
        let session = self.session.as_ref().map(|s| s.until);
        notice.into_iter().chain(session).min()
    }

    fn judge_use(&mut self, now: Instant, useful: bool) {
        if useful {
            self.futile = 0;
            self.earliest = now;
            return;
        }
        // Processes whose checks differ never agree: they must not compare without end.
        let doubled = MIN_FUTILE.saturating_mul(1 << self.futile.min(10));
        self.futile += 1;
        self.earliest = now + doubled.min(MAX_FUTILE);
    }

    fn give_up_stalled(&mut self, now: Instant) {
        if self.session.take_if(|s| s.until <= now).is_some() {
            self.earliest = now;
        }
    }
}

fn judge(store: &Store, complete: &Complete, buckets: u128, stamps: &[Stamp]) -> Verdict {
    let theirs: BTreeMap<&ObjectKey, &Stamp> = stamps.iter().map(|s| (&s.key, s)).collect();
    let mut verdict = Verdict::default();
    for ours in store.stamps(|b| buckets >> b & 1 == 1) {
        let revision = complete[ours.key.kind as usize];
        match theirs.get(&ours.key) {
            Some(t) if ours.newest > t.newest || ours.good > t.good => {
                verdict.lacking.push(ours.key);
            }
            Some(_) => {}
            None if ours.newest <= revision => verdict.deleted.push((ours.key, revision)),
            None => verdict.lacking.push(ours.key),
        }
    }
    verdict
}

/// Answers a comparison.
pub(super) fn answer(store: &Store, beat: Beat, theirs: &[u64]) -> Message {
    let ours = store.buckets();
    let mut buckets = 0_u128;
    for (i, digest) in ours.iter().enumerate().take(BUCKETS) {
        // A peer that sent too few digests is given everything.
        if theirs.get(i) != Some(digest) {
            buckets |= 1 << i;
        }
    }
    let differs = |key_bucket: usize| buckets >> key_bucket & 1 == 1;
    Message::Differs {
        beat,
        complete: *store.completes(),
        buckets,
        stamps: store.stamps(differs).collect(),
    }
}
