// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The objects that one process holds, merged so that nothing reverts.
//!
//! Per object the highest version seen and the highest valid one are kept, each a maximum, so
//! that merging is commutative, associative and idempotent. Per kind the store also remembers
//! the revision up to which it once knew everything: a version at or below it, of an object
//! that is not held, was deleted since, and a late message cannot bring it back.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use peppercrank_core::names::ModelName;
use peppercrank_core::names::OrganisationName;
use peppercrank_core::names::PoolName;
use peppercrank_core::names::TargetName;
use peppercrank_core::names::TemplateName;
use peppercrank_core::objects::Mark;
use peppercrank_core::objects::ObjectKey;
use peppercrank_core::objects::ObjectKind;
use peppercrank_core::objects::Pool;
use peppercrank_core::objects::Template;

use crate::digest::BUCKETS;
use crate::digest::Digests;
use crate::digest::Stamp;
use crate::digest::bucket;
use crate::entry::Change;
use crate::entry::Entry;
use crate::entry::Held;
use crate::errors::Fault;
use crate::index::Effective;
use crate::index::Index;
use crate::object::Object;
use crate::object::Version;

/// The most tombstones kept before the oldest are dropped, some 100 bytes each.
///
/// One is dropped only at or below the kind's complete revision, where its absence says as much.
pub const MAX_TOMBSTONES: usize = 4_096;

/// How many kinds there are.
pub const KINDS: usize = ObjectKind::ALL.len();

/// `Complete` is, for each kind in the order of [`ObjectKind::ALL`], the revision up to which a
/// process knows every object.
pub type Complete = [Version; KINDS];

/// `Merged` is what became of one version.
#[derive(Debug, Clone, PartialEq)]
pub enum Merged {
    /// It is in force now.
    Applied,
    /// It failed its checks: the last good version stays in force.
    HeldBack(Fault),
    /// It, or a version above it, was known.
    Known,
    /// Its object was deleted after it.
    Deleted,
}

/// `Store` holds the configuration objects that a process has seen.
#[derive(Debug, Default)]
pub struct Store {
    entries: BTreeMap<ObjectKey, Entry>,
    index: Index,
    digests: Digests,
    tombstones: BTreeSet<(Version, ObjectKey)>,
    complete: Complete,
}

impl Store {
    /// `new` makes a store that holds nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// `merge` takes one version in, whatever its source.
    ///
    /// # Examples
    ///
    /// ```
    /// use peppercrank_config::Object;
    /// use peppercrank_config::Store;
    /// use peppercrank_config::Version;
    /// use peppercrank_config::publish::key;
    /// use peppercrank_config::store::Merged;
    /// use peppercrank_core::objects::ObjectKind;
    ///
    /// let mut store = Store::new();
    /// let mut object = Object {
    ///     key: key(ObjectKind::Mark, "engine-7")?,
    ///     version: Version(8),
    ///     body: None,
    /// };
    /// assert_eq!(store.merge(&object), Merged::Applied);
    /// object.version = Version(7);
    /// assert_eq!(store.merge(&object), Merged::Known);
    /// # Ok::<(), peppercrank_core::Error>(())
    /// ```
    pub fn merge(&mut self, object: &Object) -> Merged {
        let key = &object.key;
        let mut entry = match self.entries.get(key) {
            Some(entry) => entry.clone(),
            None if object.version <= self.complete(key.kind) => return Merged::Deleted,
            None => Entry::default(),
        };
        let old = entry.clone();
        let change = entry.merge(object);
        let merged = match change {
            Change::None => return Merged::Known,
            Change::Applied => Merged::Applied,
            Change::HeldBack(fault) => Merged::HeldBack(fault),
        };
        self.replace(key, &old, entry);
        merged
    }

    /// `merge_list` takes in a whole list of one kind, complete at `revision`, and returns
    /// what each object became.
    ///
    /// An object that the list lacks, and whose newest version is not above `revision`, was
    /// deleted.
    pub fn merge_list(
        &mut self,
        kind: ObjectKind,
        revision: Version,
        objects: &[Object],
    ) -> Vec<(Object, Merged)> {
        let listed: BTreeSet<&ObjectKey> = objects.iter().map(|o| &o.key).collect();
        let gone: Vec<Object> = self
            .entries
            .iter()
            .filter(|(key, entry)| key.kind == kind && !entry.is_tombstone())
            .filter(|(key, entry)| entry.newest() <= revision && !listed.contains(key))
            .map(|(key, _)| tombstone(key, revision))
            .collect();
        let mut results = Vec::with_capacity(objects.len());
        for object in objects.iter().chain(&gone) {
            let merged = self.merge(object);
            results.push((object.clone(), merged));
        }
        self.set_complete(kind, revision);
        results
    }

    /// `merge_changes` takes in the changes of one kind after `since` up to `revision`.
    pub fn merge_changes(
        &mut self,
        kind: ObjectKind,
        since: Version,
        revision: Version,
        objects: &[Object],
    ) -> Vec<(Object, Merged)> {
        let mut results = Vec::with_capacity(objects.len());
        for object in objects {
            let merged = self.merge(object);
            results.push((object.clone(), merged));
        }
        // Only an unbroken row of changes makes the knowledge complete.
        if since <= self.complete(kind) {
            self.set_complete(kind, revision);
        }
        results
    }

    /// `merge_absent` takes in that a peer complete at `revision` does not hold `key`.
    pub fn merge_absent(&mut self, key: &ObjectKey, revision: Version) -> Merged {
        match self.entries.get(key) {
            Some(e) if e.newest() <= revision && !e.is_tombstone() => {
                self.merge(&tombstone(key, revision))
            }
            _ => Merged::Known,
        }
    }

    /// `set_complete` notes that every object of the kind at `revision` was merged.
    pub fn set_complete(&mut self, kind: ObjectKind, revision: Version) {
        let slot = &mut self.complete[kind as usize];
        *slot = revision.max(*slot);
        self.drop_tombstones();
    }

    /// `complete` is the revision up to which every object of the kind is known.
    #[must_use]
    pub const fn complete(&self, kind: ObjectKind) -> Version {
        self.complete[kind as usize]
    }

    /// `completes` are the complete revisions of all kinds.
    #[must_use]
    pub const fn completes(&self) -> &Complete {
        &self.complete
    }

    /// `digest` is the digest of everything held that is not deleted.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digests.whole()
    }

    /// `buckets` are the digests by bucket.
    #[must_use]
    pub const fn buckets(&self) -> &[u64; BUCKETS] {
        self.digests.buckets()
    }

    /// `stamps` lists the versions held in the buckets chosen.
    pub fn stamps(&self, chosen: impl Fn(usize) -> bool) -> impl Iterator<Item = Stamp> {
        let entries = self.entries.iter();
        let entries = entries.filter(move |(key, _)| chosen(bucket(key)));
        entries.map(|(key, entry)| entry.stamp(key))
    }

    /// `stamp` tells the versions held of one object.
    #[must_use]
    pub fn stamp(&self, key: &ObjectKey) -> Option<Stamp> {
        self.entries.get(key).map(|e| e.stamp(key))
    }

    /// `in_force` is the version in force of an object, a tombstone's too.
    #[must_use]
    pub fn in_force(&self, key: &ObjectKey) -> Option<Version> {
        self.entries.get(key)?.good.as_ref().map(|g| g.version)
    }

    /// `covers` tells whether `version` of an object, or one above it, is in force.
    #[must_use]
    pub fn covers(&self, key: &ObjectKey, version: Version) -> bool {
        match self.entries.get(key) {
            Some(_) => self.in_force(key) >= Some(version),
            // It was deleted, and the tombstone is dropped.
            None => version <= self.complete(key.kind),
        }
    }

    /// `held` is the version of an object that is held back, with its fault.
    #[must_use]
    pub fn held(&self, key: &ObjectKey) -> Option<&Held> {
        self.entries.get(key)?.held.as_ref()
    }

    /// `all_held` lists the objects of which a version is held back.
    pub fn all_held(&self) -> impl Iterator<Item = (&ObjectKey, &Held)> {
        let entries = self.entries.iter();
        entries.filter_map(|(key, e)| e.held.as_ref().map(|h| (key, h)))
    }

    /// `objects` are the versions that a peer needs of one object: the one in force and the
    /// one held back.
    pub fn objects(&self, key: &ObjectKey) -> impl Iterator<Item = Object> + use<> {
        let entry = self.entries.get(key);
        let objects: Vec<Object> = entry.map(|e| e.objects(key).collect()).unwrap_or_default();
        objects.into_iter()
    }

    /// `keys` lists the objects held, tombstones included.
    pub fn keys(&self) -> impl Iterator<Item = &ObjectKey> {
        self.entries.keys()
    }

    /// `len` is how many objects are held, tombstones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// `is_empty` tells whether nothing is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// `tombstones` is how many deleted objects are remembered.
    #[must_use]
    pub fn tombstones(&self) -> usize {
        self.tombstones.len()
    }

    /// `organisation_by_key` finds the organisation with this API key digest.
    ///
    /// A digest that two organisations name finds neither: the key tells them not apart.
    #[must_use]
    pub fn organisation_by_key(&self, digest: &[u8; 32]) -> Option<&Arc<Effective>> {
        let names = self.index.keys.get(digest)?;
        let mut names = names.iter();
        match (names.next(), names.next()) {
            (Some(name), None) => self.organisation(name),
            _ => None,
        }
    }

    /// `organisation` finds the effective parameters of an organisation.
    #[must_use]
    pub fn organisation(&self, name: &OrganisationName) -> Option<&Arc<Effective>> {
        self.index.effective.get(name)
    }

    /// `has_keys` tells whether an organisation has API keys of its own.
    #[must_use]
    pub fn has_keys(&self, name: &OrganisationName) -> bool {
        let organisation = self.index.organisations.get(name);
        organisation.is_some_and(|o| !o.keys.is_empty())
    }

    /// `organisations` lists the effective parameters of all organisations.
    pub fn organisations(&self) -> impl Iterator<Item = &Arc<Effective>> {
        self.index.effective.values()
    }

    /// `template` finds a template.
    #[must_use]
    pub fn template(&self, name: &TemplateName) -> Option<&Template> {
        self.index.templates.get(name)
    }

    /// `pool` finds a pool.
    #[must_use]
    pub fn pool(&self, name: &PoolName) -> Option<&Pool> {
        self.index.pools.get(name)
    }

    /// `pools` lists all pools.
    pub fn pools(&self) -> impl Iterator<Item = (&PoolName, &Pool)> {
        self.index.pools.iter()
    }

    /// `pools_of` lists the pools that serve a model, in the order of their names.
    pub fn pools_of(&self, model: &ModelName) -> impl Iterator<Item = &PoolName> {
        self.index.models.get(model).into_iter().flatten()
    }

    /// `mark` finds the mark of a target.
    #[must_use]
    pub fn mark(&self, target: &TargetName) -> Option<&Mark> {
        self.index.marks.get(target)
    }

    /// `marks` lists all marks.
    pub fn marks(&self) -> impl Iterator<Item = &Mark> {
        self.index.marks.values()
    }

    pub(crate) const fn index(&self) -> &Index {
        &self.index
    }

    fn replace(&mut self, key: &ObjectKey, old: &Entry, new: Entry) {
        let known = old.newest() > Version(0);
        if known {
            self.forget(key, old);
        }
        let old = old.good.as_ref().and_then(|g| g.spec.as_deref());
        let spec = new.good.as_ref().and_then(|g| g.spec.as_deref());
        self.index.put(key, old, spec);
        if new.is_tombstone() {
            self.tombstones.insert((new.newest(), key.clone()));
        } else {
            self.digests.add(&new.stamp(key));
        }
        self.entries.insert(key.clone(), new);
        self.drop_tombstones();
    }

    fn forget(&mut self, key: &ObjectKey, old: &Entry) {
        if old.is_tombstone() {
            self.tombstones.remove(&(old.newest(), key.clone()));
        } else {
            self.digests.remove(&old.stamp(key));
        }
    }

    fn drop_tombstones(&mut self) {
        while self.tombstones.len() > MAX_TOMBSTONES {
            let complete = &self.complete;
            let known = |(v, key): &&(Version, ObjectKey)| *v <= complete[key.kind as usize];
            let Some(oldest) = self.tombstones.iter().find(known).cloned() else {
                return;
            };
            self.tombstones.remove(&oldest);
            self.entries.remove(&oldest.1);
        }
    }
}

fn tombstone(key: &ObjectKey, version: Version) -> Object {
    Object {
        key: key.clone(),
        version,
        body: None,
    }
}
