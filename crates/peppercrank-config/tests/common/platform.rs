// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A stand-in of the platform's object API, in memory and virtual time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_config::Object;
use peppercrank_config::Version;
use peppercrank_config::relay::Answer;
use peppercrank_config::relay::Call;
use peppercrank_core::objects::ObjectKey;
use peppercrank_core::objects::ObjectKind;

/// How the API behaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Health {
    /// It answers after this long.
    Up(Duration),
    /// It answers with errors.
    Down,
    /// It refuses calls above so many a second.
    Limited(u32),
}

/// The platform's object API.
#[derive(Debug)]
pub struct Platform {
    pub health: Health,
    pub revision: u64,
    pub objects: BTreeMap<ObjectKey, Object>,
    /// The calls in each second.
    pub calls: Vec<u32>,
    /// Drops tombstones from lists, as a platform that compacts does.
    pub compacts: bool,
}

impl Platform {
    pub fn new() -> Self {
        Self {
            health: Health::Up(Duration::from_millis(3)),
            revision: 0,
            objects: BTreeMap::new(),
            calls: Vec::new(),
            compacts: false,
        }
    }

    /// Writes an object whatever its body, none for a deletion.
    pub fn put(&mut self, key: &ObjectKey, body: Option<&str>) -> Object {
        self.revision += 1;
        let object = Object {
            key: key.clone(),
            version: Version(self.revision),
            body: body.map(Arc::from),
        };
        self.objects.insert(key.clone(), object.clone());
        object
    }

    /// Counts a call and tells its answer; none when it is to be held.
    pub fn call(&mut self, at: Duration, call: Call) -> Option<Answer> {
        let second = usize::try_from(at.as_secs()).unwrap();
        self.calls.resize(self.calls.len().max(second + 1), 0);
        self.calls[second] += 1;
        match self.health {
            Health::Down => return Some(Answer::Down),
            Health::Limited(most) if self.calls[second] > most => {
                let after = Some(Duration::from_secs(2));
                return Some(Answer::Busy { after });
            }
            Health::Up(_) | Health::Limited(_) => {}
        }
        match call {
            Call::List { kind } => Some(self.changed(kind, Version(0))),
            Call::Watch { kind, since, wait } => {
                let news = self.changed(kind, since);
                let empty = matches!(&news, Answer::Objects { objects, .. } if objects.is_empty());
                (!empty || wait.is_zero()).then_some(news)
            }
        }
    }

    /// What changed of a kind after a revision.
    pub fn changed(&self, kind: ObjectKind, since: Version) -> Answer {
        let whole = since == Version(0);
        let objects = self.objects.values().filter(|o| o.key.kind == kind);
        let objects = objects.filter(|o| o.version > since);
        let objects = objects.filter(|o| o.body.is_some() || !(whole && self.compacts));
        Answer::Objects {
            revision: Version(self.revision),
            objects: objects.cloned().collect(),
        }
    }
}
