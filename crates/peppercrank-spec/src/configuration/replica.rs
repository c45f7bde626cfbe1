// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What one process holds, and the real store made of it.

use std::sync::Arc;

use peppercrank_config::object::Object;
use peppercrank_config::object::Version;
use peppercrank_config::store::Store;
use peppercrank_core::names::ObjectName;
use peppercrank_core::objects::Kind;
use peppercrank_core::objects::ObjectKey;

/// A body that passes the checks.
const VALID_BODY: &str = r#"{"spec":{"target":"t","action":"shutdown"}}"#;

/// A body that fails them.
const INVALID_BODY: &str = r#"{"spec":{"target":"t"}}"#;

/// `Body` is what a write makes of the object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Body {
    /// Content that passes the checks.
    Good,
    /// Content that fails them.
    Bad,
    /// A tombstone.
    Gone,
}

/// One version of the object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Write {
    pub(super) version: u64,
    pub(super) body: Body,
}

/// What one process's store holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Replica {
    pub(super) writes: Vec<Write>,
    pub(super) complete: u64,
    /// The highest version that was in force in this life.
    pub(super) highest_in_force: Option<Write>,
}

/// What a process told another.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Message {
    /// The versions that it holds.
    Versions(Vec<Write>),
    /// That it knows everything up to a revision and holds nothing.
    Absent(u64),
}

pub(super) fn key() -> ObjectKey {
    ObjectKey {
        kind: Kind::Mark,
        // A constant of the model; the tests would show a bad one.
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
    /// The real store that holds this.
    pub(super) fn store(&self) -> Store {
        let mut store = Store::new();
        for write in &self.writes {
            store.merge(&write.object());
        }
        store.set_complete(Kind::Mark, Version(self.complete));
        store
    }

    /// Takes over what the store holds now, and tells whether it went back.
    pub(super) fn record_store(&mut self, store: &Store) -> bool {
        let objects = store.objects(&key());
        self.writes = objects.map(|o| Write::of(&o)).collect();
        self.complete = store.complete(Kind::Mark).0;
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
        // A tombstone may be forgotten: what is not held is as much deleted.
        now.is_some() || high.body != Body::Gone
    }

    /// The body in force, if any.
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
