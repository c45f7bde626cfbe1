// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Contents of a process's store, and the real store built from them.

use std::sync::Arc;

use peppercrank_config::object::Object;
use peppercrank_config::object::Version;
use peppercrank_config::store::Store;
use peppercrank_core::names::ObjectName;
use peppercrank_core::objects::ObjectKey;
use peppercrank_core::objects::ObjectKind;

/// Body that passes validation.
const VALID_BODY: &str = r#"{"spec":{"target":"t","action":"shutdown"}}"#;

/// Body that fails validation.
const INVALID_BODY: &str = r#"{"spec":{"target":"t"}}"#;

/// `Body` is the content of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Body {
    /// Content that passes validation.
    Good,
    /// Content that fails validation.
    Bad,
    /// A tombstone.
    Gone,
}

/// `Write` is one version of the object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Write {
    pub(super) version: u64,
    pub(super) body: Body,
}

/// `Replica` is the content of one process's store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Replica {
    pub(super) writes: Vec<Write>,
    pub(super) complete: u64,
    /// Highest version that was in force since the process started.
    pub(super) highest_in_force: Option<Write>,
}

/// `Message` is a message from one process to another.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Message {
    /// Versions that the sender holds.
    Versions(Vec<Write>),
    /// Revision up to which the sender is complete without holding the object.
    Absent(u64),
}

pub(super) fn key() -> ObjectKey {
    ObjectKey {
        kind: ObjectKind::Mark,
        // A constant of the model; the tests would fail if it were invalid.
        name: ObjectName::new("t").expect("the model's name is well formed"),
    }
}

impl Write {
    pub(super) fn object(self) -> Object {
        let body = match self.body {
            Body::Good => Some(Arc::from(VALID_BODY)),
            Body::Bad => Some(Arc::from(INVALID_BODY)),
            Body::Gone => None,
        };
        Object {
            key: key(),
            version: Version(self.version),
            body,
        }
    }

    pub(super) fn of(object: &Object) -> Self {
        let body = match object.body.as_deref() {
            None => Body::Gone,
            Some(VALID_BODY) => Body::Good,
            Some(_) => Body::Bad,
        };
        Self {
            version: object.version.0,
            body,
        }
    }
}

impl Replica {
    /// Builds the real store with these contents.
    pub(super) fn store(&self) -> Store {
        let mut store = Store::new();
        for write in &self.writes {
            store.merge(&write.object());
        }
        store.set_complete(ObjectKind::Mark, Version(self.complete));
        store
    }

    /// Records the contents of the store and returns whether its version in force reverted.
    pub(super) fn record_store(&mut self, store: &Store) -> bool {
        let objects = store.objects(&key());
        self.writes = objects.map(|o| Write::of(&o)).collect();
        self.complete = store.complete(ObjectKind::Mark).0;
        let version = store.in_force(&key()).map_or(0, |v| v.0);
        let mut writes = self.writes.iter().copied();
        let now = writes.find(|w| w.version == version);
        let Some(high) = self.highest_in_force else {
            self.highest_in_force = now;
            return false;
        };
        if version >= high.version {
            self.highest_in_force = now;
            return false;
        }
        // A tombstone may be dropped: an object that is not held is deleted just as well.
        now.is_some() || high.body != Body::Gone
    }

    /// Returns the version in force, if any.
    pub(super) fn in_force(&self) -> Option<Write> {
        let version = self.store().in_force(&key())?;
        let mut writes = self.writes.iter().copied();
        writes.find(|w| w.version == version.0)
    }

    pub(super) fn message(&self) -> Message {
        if self.writes.is_empty() {
            return Message::Absent(self.complete);
        }
        Message::Versions(self.writes.clone())
    }
}
