// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Object store with store-wide versions, conditional writes and tombstones.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::Error;
use crate::Result;

/// Maximum size of a value, in bytes of JSON text: one megabyte, as the platform documents.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object is absent or deleted.
    Absent,
    /// The object has this version and is not deleted.
    Version(u64),
}

/// An object or its tombstone.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Object {
    /// Name of the object, unique within its kind.
    pub name: String,
    /// Version of its last write.
    pub version: u64,
    /// Body of the object; absent for a tombstone.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body: Option<Value>,
}

/// Objects of one kind at one revision of the store.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Listing {
    /// Revision of the store: the version of its last write.
    pub revision: u64,
    /// Objects and tombstones, sorted by name.
    pub objects: Vec<Object>,
}

/// In-memory object store; each write takes the next version of the whole store.
#[derive(Debug)]
pub struct Store {
    revision: u64,
    /// Tombstones up to this version may have been pruned.
    pruned_through: u64,
    max_tombstones: usize,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
}

impl Store {
    /// Creates an empty store that retains at most `max_tombstones` tombstones of each kind.
    #[must_use]
    pub const fn new(max_tombstones: usize) -> Self {
        Self {
            revision: 0,
            pruned_through: 0,
            max_tombstones,
            kinds: BTreeMap::new(),
        }
    }

    /// Returns an object, or `None` if it is absent or deleted.
    #[must_use]
    pub fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        let object = self.kinds.get(kind)?.get(name)?;
        object.body.is_some().then_some(object)
    }

    /// Writes an object and returns its new version.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] with the current object if the condition does not hold.
    pub fn put(
        &mut self,
        kind: &str,
        name: &str,
        condition: Condition,
        body: Value,
    ) -> Result<u64> {
        self.check_condition(kind, name, condition)?;
        Ok(self.write(kind, name, Some(body)))
    }

    /// Replaces an object with a tombstone and returns the version of the tombstone.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] with the current object if the condition does not hold.
    pub fn delete(&mut self, kind: &str, name: &str, condition: Condition) -> Result<u64> {
        self.check_condition(kind, name, condition)?;
        let version = self.write(kind, name, None);
        self.prune_tombstones(kind);
        Ok(version)
    }

    /// Returns all objects of a kind, including tombstones.
    #[must_use]
    pub fn list(&self, kind: &str) -> Listing {
        self.objects_since(kind, 0)
    }

    /// Returns the objects of a kind written after `since`, including tombstones.
    ///
    /// # Errors
    ///
    /// Returns [`Error::WatchTooOld`] if tombstones since then may have been pruned, or if
    /// `since` is newer than the store, as after a restart of the store.
    pub fn list_since(&self, kind: &str, since: u64) -> Result<Listing> {
        if since < self.pruned_through || since > self.revision {
            return Err(Error::WatchTooOld);
        }
        Ok(self.objects_since(kind, since))
    }

    fn objects_since(&self, kind: &str, since: u64) -> Listing {
        let objects = self.kinds.get(kind).into_iter().flat_map(BTreeMap::values);
        Listing {
            revision: self.revision,
            objects: objects.filter(|o| o.version > since).cloned().collect(),
        }
    }

    fn check_condition(&self, kind: &str, name: &str, condition: Condition) -> Result<()> {
        let found = self.kinds.get(kind).and_then(|objects| objects.get(name));
        let existing = found.filter(|object| object.body.is_some());
        let holds = match condition {
            Condition::Absent => existing.is_none(),
            Condition::Version(version) => existing.is_some_and(|object| object.version == version),
        };
        if holds {
            return Ok(());
        }
        let current = match found {
            Some(Object {
                version,
                body: Some(body),
                ..
            }) => json!({"version": version, "body": body}),
            Some(Object { version, .. }) => json!({"version": version}),
            None => json!({"version": 0}),
        };
        Err(Error::Conflict { current })
    }

    fn write(&mut self, kind: &str, name: &str, body: Option<Value>) -> u64 {
        self.revision += 1;
        let object = Object {
            name: name.to_owned(),
            version: self.revision,
            body,
        };
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        objects.insert(name.to_owned(), object);
        self.revision
    }

    /// Removes the oldest tombstones of a kind that exceed the limit.
    fn prune_tombstones(&mut self, kind: &str) {
        let Some(objects) = self.kinds.get_mut(kind) else {
            return;
        };
        let deleted = objects.values().filter(|object| object.body.is_none());
        let mut versions: Vec<u64> = deleted.map(|object| object.version).collect();
        if versions.len() <= self.max_tombstones {
            return;
        }
        versions.sort_unstable();
        let last_pruned = versions[versions.len() - self.max_tombstones - 1];
        objects.retain(|_, object| object.body.is_some() || object.version > last_pruned);
        self.pruned_through = self.pruned_through.max(last_pruned);
    }
}
