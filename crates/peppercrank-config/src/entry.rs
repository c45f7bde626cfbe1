// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One object's versions: the highest seen, and the highest that passed its checks.

use std::sync::Arc;

use peppercrank_core::objects::ObjectKey;

use crate::checks;
use crate::digest::Stamp;
use crate::errors::Fault;
use crate::object::Object;
use crate::object::Spec;
use crate::object::Version;

/// The version in force; without content the object is deleted.
#[derive(Debug, Clone)]
pub(crate) struct Good {
    pub(crate) version: Version,
    pub(crate) body: Option<Arc<str>>,
    pub(crate) spec: Option<Arc<Spec>>,
}

/// `Held` is a version that failed its checks and is held back.
#[derive(Debug, Clone, PartialEq)]
pub struct Held {
    /// The version.
    pub version: Version,
    /// Its body, kept so that peers can be given it.
    pub body: Arc<str>,
    /// Why it is not in force.
    pub fault: Fault,
}

/// What a merge did to an entry.
#[derive(Debug)]
pub(crate) enum Change {
    /// Nothing: this version or one above it was known.
    None,
    /// The version is in force now.
    Applied,
    /// The version failed its checks.
    HeldBack(Fault),
}

/// One object's versions.
///
/// Both parts only ever rise, each as the maximum over all versions seen, so that the order
/// and the path by which versions arrive make no difference.
#[derive(Debug, Clone, Default)]
pub(crate) struct Entry {
    pub(crate) good: Option<Good>,
    pub(crate) held: Option<Held>,
}

impl Entry {
    pub(crate) fn newest(&self) -> Version {
        let good = self.good.as_ref().map_or(Version(0), |g| g.version);
        self.held.as_ref().map_or(good, |h| good.max(h.version))
    }

    pub(crate) fn is_tombstone(&self) -> bool {
        let deleted = self.good.as_ref().is_some_and(|g| g.body.is_none());
        deleted && self.held.is_none()
    }

    pub(crate) fn stamp(&self, key: &ObjectKey) -> Stamp {
        Stamp {
            key: key.clone(),
            newest: self.newest(),
            good: self.good.as_ref().map(|g| g.version),
        }
    }

    /// Takes a version in.
    pub(crate) fn merge(&mut self, object: &Object) -> Change {
        let newest = self.newest();
        let above_good = self
            .good
            .as_ref()
            .is_none_or(|g| object.version > g.version);
        if !above_good || object.version == newest {
            return Change::None;
        }
        match check(object) {
            Ok(good) => {
                self.good = Some(good);
                self.held = self.held.take().filter(|h| h.version > object.version);
                Change::Applied
            }
            Err(held) if held.version > newest => {
                let fault = held.fault.clone();
                self.held = Some(held);
                Change::HeldBack(fault)
            }
            // A newer version is known, and this one can never be in force.
            Err(_) => Change::None,
        }
    }

    /// The versions that a peer needs to come to the same state.
    pub(crate) fn objects(&self, key: &ObjectKey) -> impl Iterator<Item = Object> {
        let good = self.good.as_ref().map(|g| (g.version, g.body.clone()));
        let held = self.held.as_ref();
        let held = held.map(|h| (h.version, Some(Arc::clone(&h.body))));
        let key = key.clone();
        let versions = good.into_iter().chain(held);
        versions.map(move |(version, body)| Object {
            key: key.clone(),
            version,
            body,
        })
    }
}

/// A version that passed its checks, or one that is to be held back.
fn check(object: &Object) -> Result<Good, Held> {
    let version = object.version;
    let Some(body) = &object.body else {
        return Ok(Good {
            version,
            body: None,
            spec: None,
        });
    };
    match checks::validate(object.key.kind, &object.key.name, body) {
        Ok(checked) => Ok(Good {
            version,
            body: Some(Arc::clone(body)),
            spec: Some(Arc::new(checked.spec)),
        }),
        Err(fault) => Err(Held {
            version,
            body: Arc::clone(body),
            fault,
        }),
    }
}
