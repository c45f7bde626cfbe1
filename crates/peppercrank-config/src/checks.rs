// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Checks of one object, each fault with the path of its field.
//!
//! These need the object alone. What needs others too (does the template exist?) is a
//! [warning](crate::cross), since objects arrive in any order.

use std::ops::RangeInclusive;

use peppercrank_core::names::ObjectName;
use peppercrank_core::objects::Mark;
use peppercrank_core::objects::MarkAction;
use peppercrank_core::objects::ObjectKind;
use peppercrank_core::objects::Organisation;
use peppercrank_core::objects::Overrides;
use peppercrank_core::objects::Parameters;
use peppercrank_core::objects::Pool;
use peppercrank_core::objects::PoolPolicy;
use peppercrank_core::objects::PoolWorkload;
use peppercrank_core::objects::Template;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::errors::Fault;
use crate::errors::Flaw;
use crate::errors::fault;
use crate::object::Envelope;
use crate::object::MAX_BODY;
use crate::object::PublishId;
use crate::object::Spec;

/// The greatest share of a contended target, relative to other organisations.
pub const MAX_WEIGHT: u64 = 1_000;
/// The first priority.
pub const MAX_PRIORITY: u64 = 9;
/// The greatest cost that a field may hold: beyond it, sums over the fleet lose meaning.
pub const MAX_COST: u64 = 1 << 50;
/// The longest expected answer, in tokens.
pub const MAX_OUTPUT: u64 = 1 << 20;
/// The longest time that a field may hold, in milliseconds: a day.
pub const MAX_TIME_MS: u64 = 24 * 60 * 60 * 1_000;
/// The greatest multiple of the mean load.
pub const MAX_CAP: f64 = 10.0;
/// The most requests that may wait at one target.
pub const MAX_QUEUE: u64 = 100_000;
/// The longest wait in a target's queue, in milliseconds.
pub const MAX_WAIT_MS: u64 = 10 * 60 * 1_000;
/// The longest leading text that ranks a new chat, in bytes.
pub const MAX_PREFIX: u64 = 1 << 20;
/// The most targets that one request may try.
pub const MAX_TRIES: u64 = 100;
/// The most names or keys in one list.
pub const MAX_ITEMS: usize = 1_000;

/// The length of an API key's digest: SHA-256 in hexadecimal.
const DIGEST_DIGITS: usize = 64;

type Check<T = ()> = Result<T, Fault>;

/// `Checked` is a body that passed its checks.
#[derive(Debug, Clone, PartialEq)]
pub struct Checked {
    /// The act of publishing that wrote it.
    pub publish: Option<PublishId>,
    /// The content.
    pub spec: Spec,
}

/// `validate` checks the body of an object, envelope and content.
///
/// # Errors
///
/// Returns the first [`Fault`], with the path of its field from the body's root.
///
/// # Examples
///
/// ```
/// use peppercrank_config::validate;
/// use peppercrank_core::names::ObjectName;
/// use peppercrank_core::objects::ObjectKind;
///
/// let name = ObjectName::new("engine-7")?;
/// let body = r#"{"spec":{"target":"engine-8","action":"shutdown"}}"#;
/// let fault = validate(ObjectKind::Mark, &name, body).unwrap_err();
/// assert_eq!(fault.path, "spec.target");
/// # Ok::<(), peppercrank_core::Error>(())
/// ```
pub fn validate(kind: ObjectKind, name: &ObjectName, body: &str) -> Result<Checked, Fault> {
    if body.len() > MAX_BODY {
        return Err(fault(kind, "", Flaw::TooLong { most: MAX_BODY }));
    }
    let mut json = serde_json::Deserializer::from_str(body);
    let envelope: Envelope =
        serde_path_to_error::deserialize(&mut json).map_err(|e| shape(kind, "", &e))?;
    if let Err(e) = json.end() {
        return Err(fault(kind, "", Flaw::Shape(e.to_string())));
    }
    let spec = validate_spec(kind, name, envelope.spec)?;
    let publish = envelope.publish;
    Ok(Checked { publish, spec })
}

/// `validate_spec` checks the content of an object.
///
/// # Errors
///
/// Returns the first [`Fault`], with the path of its field below `spec`.
pub fn validate_spec(kind: ObjectKind, name: &ObjectName, spec: Value) -> Result<Spec, Fault> {
    let at = At { kind };
    match kind {
        ObjectKind::Template => {
            let spec: Template = at.read(spec)?;
            at.parameters(&spec.parameters)?;
            Ok(Spec::Template(spec))
        }
        ObjectKind::Organisation => {
            let spec = at.read(spec)?;
            at.organisation(&spec)?;
            Ok(Spec::Organisation(spec))
        }
        ObjectKind::Pool => {
            let spec = at.read(spec)?;
            at.pool(&spec)?;
            Ok(Spec::Pool(spec))
        }
        ObjectKind::Mark => {
            let spec = at.read(spec)?;
            at.mark(name, &spec)?;
            Ok(Spec::Mark(spec))
        }
    }
}

/// `digest` reads an API key's digest, 64 lower-case hexadecimal digits.
#[must_use]
pub fn digest(text: &str) -> Option<[u8; 32]> {
    let digits = text.as_bytes();
    if digits.len() != DIGEST_DIGITS {
        return None;
    }
    let mut bytes = [0; 32];
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = nibble(pair[0])? << 4 | nibble(pair[1])?;
    }
    Some(bytes)
}

const fn nibble(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}

fn shape<E: std::fmt::Display>(
    kind: ObjectKind,
    root: &str,
    e: &serde_path_to_error::Error<E>,
) -> Fault {
    let path = match (root, e.path().to_string()) {
        (root, path) if path == "." => root.to_owned(),
        ("", path) => path,
        (root, path) => format!("{root}.{path}"),
    };
    fault(kind, &path, Flaw::Shape(e.inner().to_string()))
}

/// Checks of one kind's fields.
#[derive(Clone, Copy)]
struct At {
    kind: ObjectKind,
}

impl At {
    fn read<T: DeserializeOwned>(self, spec: Value) -> Check<T> {
        serde_path_to_error::deserialize(spec).map_err(|e| shape(self.kind, "spec", &e))
    }

    fn parameters(self, p: &Parameters) -> Check {
        // A template is an organisation that overrides everything, as far as ranges go.
        let all = Overrides {
            weight: Some(p.weight),
            priority: Some(p.priority),
            limit: Some(p.limit),
            output: Some(p.output),
            deadline_ms: Some(p.deadline_ms),
            models: Some(p.models.clone()),
            services: Some(p.services.clone()),
        };
        self.overrides("spec.parameters", &all)
    }

    fn overrides(self, path: &str, o: &Overrides) -> Check {
        let limit = o.limit.map(|c| c.0);
        self.range(path, "weight", o.weight, 1..=MAX_WEIGHT)?;
        self.range(path, "priority", o.priority, 0..=MAX_PRIORITY)?;
        self.range(path, "limit", limit, 1..=MAX_COST)?;
        self.range(path, "output", o.output, 1..=MAX_OUTPUT)?;
        self.range(path, "deadline_ms", o.deadline_ms, 1..=MAX_TIME_MS)?;
        if let Some(models) = &o.models {
            self.list(&format!("{path}.models"), models, 0)?;
        }
        if let Some(services) = &o.services {
            self.list(&format!("{path}.services"), services, 0)?;
        }
        Ok(())
    }

    fn organisation(self, o: &Organisation) -> Check {
        self.overrides("spec.overrides", &o.overrides)?;
        self.list("spec.keys", &o.keys, 0)?;
        for (i, key) in o.keys.iter().enumerate() {
            if digest(key).is_none() {
                return Err(fault(self.kind, &format!("spec.keys[{i}]"), Flaw::Digest));
            }
        }
        Ok(())
    }

    fn pool(self, pool: &Pool) -> Check {
        match &pool.serves {
            PoolWorkload::Models(models) => self.list("spec.serves.models", models, 1)?,
            PoolWorkload::Service { cost, .. } => {
                self.range("spec.serves.service", "cost", Some(cost.0), 1..=MAX_COST)?;
            }
        }
        self.policy(&pool.policy)
    }

    fn policy(self, p: &PoolPolicy) -> Check {
        const PATH: &str = "spec.policy";
        // A cap of the mean itself can be held by no real placement.
        let above_mean = p.cap > 1.0;
        if !above_mean || p.cap > MAX_CAP {
            return Err(self.outside(PATH, "cap", 1.0, MAX_CAP));
        }
        if !(0.0..=1.0).contains(&p.retries) {
            return Err(self.outside(PATH, "retries", 0.0, 1.0));
        }
        self.range(PATH, "floor", Some(p.floor.0), 1..=MAX_COST)?;
        self.range(PATH, "queue", Some(p.queue), 0..=MAX_QUEUE)?;
        self.range(PATH, "wait_ms", Some(p.wait_ms), 0..=MAX_WAIT_MS)?;
        self.range(PATH, "prefix", Some(p.prefix), 1..=MAX_PREFIX)?;
        self.range(PATH, "tries", Some(p.tries), 1..=MAX_TRIES)
    }

    fn mark(self, name: &ObjectName, mark: &Mark) -> Check {
        if mark.target.as_str() != name.as_str() {
            return Err(fault(self.kind, "spec.target", Flaw::NameDiffers));
        }
        // A graceful shutdown cuts nothing off, so that no grace can run out.
        if mark.action == MarkAction::Shutdown && mark.grace_ms != 0 {
            return Err(fault(self.kind, "spec.grace_ms", Flaw::Unused));
        }
        self.range("spec", "grace_ms", Some(mark.grace_ms), 0..=MAX_TIME_MS)
    }

    fn range(
        self,
        path: &str,
        field: &str,
        value: Option<impl Into<u64>>,
        bounds: RangeInclusive<u64>,
    ) -> Check {
        match value.map(Into::into) {
            Some(v) if !bounds.contains(&v) => {
                let [least, most] = [*bounds.start(), *bounds.end()].map(number);
                Err(self.outside(path, field, least, most))
            }
            _ => Ok(()),
        }
    }

    fn outside(self, path: &str, field: &str, least: f64, most: f64) -> Fault {
        let path = format!("{path}.{field}");
        fault(self.kind, &path, Flaw::Range { least, most })
    }

    fn list<T: Ord + ToString>(self, path: &str, items: &[T], least: usize) -> Check {
        let most = MAX_ITEMS;
        if !(least..=most).contains(&items.len()) {
            return Err(fault(self.kind, path, Flaw::Count { least, most }));
        }
        let mut sorted: Vec<&T> = items.iter().collect();
        sorted.sort();
        match sorted.windows(2).find(|pair| pair[0] == pair[1]) {
            Some(pair) => Err(fault(self.kind, path, Flaw::Twice(pair[0].to_string()))),
            None => Ok(()),
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "a bound, for a message")]
const fn number(value: u64) -> f64 {
    value as f64
}
