// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Publishing: check first, conditional update, never a silent overwrite.
//!
//! Each act of publishing has an id that travels in the object's envelope. When the answer to a
//! write is lost, the object is read again: its id tells whether the write took effect.

mod step;

use std::time::Duration;

use peppercrank_core::names::ObjectName;
use peppercrank_core::objects::ObjectKey;
use peppercrank_core::objects::ObjectKind;
use peppercrank_core::time::Instant;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

pub use step::Base;
pub use step::Change;
pub use step::Conflict;
pub use step::Current;
pub use step::Done;
pub use step::Failure;
pub use step::Fate;
pub use step::How;
pub use step::Input;
pub use step::Next;
pub use step::Written;

use crate::checks;
use crate::diff::diff;
use crate::errors::Fault;
use crate::errors::Flaw;
use crate::errors::fault;
use crate::object::Envelope;
use crate::object::MAX_BODY;
use crate::object::PublishId;
use crate::object::Version;

/// The first pause after a failed call, doubled up to [`MAX_PAUSE`].
pub const MIN_PAUSE: Duration = Duration::from_millis(200);
/// The longest pause after a failed call.
pub const MAX_PAUSE: Duration = Duration::from_secs(5);

/// `Publish` carries one act of publishing through.
#[derive(Debug)]
pub struct Publish {
    key: ObjectKey,
    id: PublishId,
    base: Base,
    change: Change,
    deadline: Instant,
    /// Whether a write was sent whose fate is unknown.
    unsure: bool,
    pauses: u32,
    /// What to do when a pause is over.
    resume: Resume,
    rng: ChaCha8Rng,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Resume {
    Read,
    Write,
}

impl Publish {
    /// `new` prepares an act of publishing that gives up at `deadline`.
    ///
    /// The id must be fresh for each act, and kept to publish the same act again.
    #[must_use]
    pub fn new(
        key: ObjectKey,
        id: PublishId,
        base: Base,
        change: Change,
        deadline: Instant,
    ) -> Self {
        let [a, b] = [id.0 >> 64, id.0].map(|half| u64::try_from(half & u128::from(u64::MAX)));
        let seed = a.unwrap_or(0) ^ b.unwrap_or(0);
        Self {
            key,
            id,
            base,
            change,
            deadline,
            unsure: false,
            pauses: 0,
            resume: Resume::Read,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// `id` is the id of this act.
    #[must_use]
    pub const fn id(&self) -> PublishId {
        self.id
    }

    /// `on` takes an answer in and tells what to do next.
    ///
    /// # Examples
    ///
    /// ```
    /// use peppercrank_config::Publish;
    /// use peppercrank_config::Version;
    /// use peppercrank_config::object::PublishId;
    /// use peppercrank_config::publish::*;
    /// use peppercrank_core::objects::ObjectKind;
    /// use peppercrank_core::time::Instant;
    ///
    /// let key = key(ObjectKind::Mark, "engine-7")?;
    /// let spec = serde_json::json!({"target": "engine-7", "action": "shutdown"});
    /// let deadline = Instant::from_millis(10_000);
    /// let change = Change::Put(spec);
    /// let mut act = Publish::new(key, PublishId(1), Base::Absent, change, deadline);
    /// assert_eq!(act.on(Instant::ZERO, Input::Begin), Next::Read);
    /// let next = act.on(Instant::ZERO, Input::Read(Ok(None)));
    /// assert!(matches!(next, Next::Write { base: Base::Absent, .. }));
    /// let written = Written::Version(Version(5));
    /// let next = act.on(Instant::ZERO, Input::Written(Ok(written)));
    /// assert!(matches!(next, Next::Done(Done { version: Version(5), .. })));
    /// # Ok::<(), peppercrank_core::Error>(())
    /// ```
    pub fn on(&mut self, now: Instant, input: Input) -> Next {
        let next = match input {
            Input::Begin => self.begin(),
            Input::Read(Ok(current)) => self.compare(current),
            Input::Read(Err(failure)) => self.pause(now, failure, Resume::Read),
            Input::Written(Ok(written)) => self.written(written),
            Input::Written(Err(failure)) => self.unwritten(now, failure),
            Input::Due => self.resumed(),
        };
        match next {
            Next::Read | Next::Write { .. } | Next::Remove { .. } if now >= self.deadline => {
                self.give_up()
            }
            Next::Wait { until } if until >= self.deadline => self.give_up(),
            next => next,
        }
    }

    fn begin(&self) -> Next {
        match self.check() {
            Ok(()) => Next::Read,
            Err(fault) => Next::Invalid(fault),
        }
    }

    fn check(&self) -> Result<(), Fault> {
        let Change::Put(spec) = &self.change else {
            return Ok(());
        };
        let kind = self.key.kind;
        if self.body(spec).to_string().len() > MAX_BODY {
            return Err(fault(kind, "", Flaw::TooLong { most: MAX_BODY }));
        }
        checks::validate_spec(kind, &self.key.name, spec.clone()).map(drop)
    }

    fn body(&self, spec: &Value) -> Value {
        serde_json::json!({ "publish": self.id.to_string(), "spec": spec })
    }

    fn give_up(&self) -> Next {
        Next::GiveUp(self.fate())
    }

    const fn fate(&self) -> Fate {
        if self.unsure {
            Fate::MayBeWritten
        } else {
            Fate::NotWritten
        }
    }

    fn compare(&mut self, current: Option<Current>) -> Next {
        self.pauses = 0;
        match (&current, self.base) {
            (Some(c), _) if self.is_ours(c) => done(c.version, How::Recognised),
            (Some(c), Base::Version(base)) if c.version == base => self.write(),
            (None, Base::Absent) if self.change != Change::Delete => self.write(),
            (None, base) if self.change == Change::Delete => self.removed(base),
            (Some(c), _) if self.is_same(c) => done(c.version, How::Unchanged),
            _ => self.conflict(current),
        }
    }

    /// The object that was to be deleted is not there.
    const fn removed(&self, base: Base) -> Next {
        // Any version above the one that we meant to delete is its deletion, or came after it.
        let version = match base {
            Base::Absent => Version(0),
            Base::Version(base) => Version(base.0.saturating_add(1)),
        };
        let how = if self.unsure {
            How::Recognised
        } else {
            How::Unchanged
        };
        done(version, how)
    }

    fn is_ours(&self, current: &Current) -> bool {
        let envelope = envelope(&current.body);
        envelope.and_then(|e| e.publish) == Some(self.id)
    }

    fn is_same(&self, current: &Current) -> bool {
        match &self.change {
            Change::Put(spec) => envelope(&current.body).is_some_and(|e| e.spec == *spec),
            Change::Delete => false,
        }
    }

    fn write(&self) -> Next {
        match (&self.change, self.base) {
            (Change::Put(spec), base) => Next::Write {
                base,
                body: self.body(spec),
            },
            (Change::Delete, Base::Version(base)) => Next::Remove { base },
            (Change::Delete, Base::Absent) => self.removed(Base::Absent),
        }
    }

    fn written(&mut self, written: Written) -> Next {
        match written {
            Written::Version(version) => done(version, How::Written),
            Written::Refused(current) => self.refused(current),
        }
    }

    fn refused(&mut self, current: Option<Current>) -> Next {
        match current {
            // Our own earlier write, still on its way when we looked, made the condition fail.
            Some(c) if self.is_ours(&c) => done(c.version, How::Recognised),
            None if self.change == Change::Delete => self.removed(self.base),
            current => self.conflict(current),
        }
    }

    fn conflict(&self, current: Option<Current>) -> Next {
        let theirs = current.as_ref().map_or(Value::Null, |c| {
            let envelope = envelope(&c.body);
            envelope.map_or_else(|| c.body.clone(), |e| e.spec)
        });
        let ours = match &self.change {
            Change::Put(spec) => spec,
            Change::Delete => &Value::Null,
        };
        Next::Conflict(Box::new(Conflict {
            key: self.key.clone(),
            base: self.base,
            differences: diff(ours, &theirs),
            current,
            fate: self.fate(),
        }))
    }

    fn unwritten(&mut self, now: Instant, failure: Failure) -> Next {
        match failure {
            Failure::Busy { .. } | Failure::Unreached => self.pause(now, failure, Resume::Write),
            Failure::Lost => {
                self.unsure = true;
                self.pause(now, failure, Resume::Read)
            }
        }
    }

    fn pause(&mut self, now: Instant, failure: Failure, resume: Resume) -> Next {
        self.resume = resume;
        let doubled = MIN_PAUSE.saturating_mul(1 << self.pauses.min(10));
        let full = doubled.min(MAX_PAUSE);
        let jitter = full.mul_f64(self.rng.random_range(0.5..=1.0));
        self.pauses += 1;
        let pause = match failure {
            Failure::Busy { after } => after.saturating_add(jitter),
            Failure::Unreached | Failure::Lost => jitter,
        };
        Next::Wait { until: now + pause }
    }

    fn resumed(&self) -> Next {
        match self.resume {
            Resume::Read => Next::Read,
            Resume::Write => self.write(),
        }
    }
}

const fn done(version: Version, how: How) -> Next {
    Next::Done(Done { version, how })
}

/// The envelope of a body, none when it was written past our tools.
fn envelope(body: &Value) -> Option<Envelope> {
    serde_json::from_value(body.clone()).ok()
}

/// `key` makes the key of an object.
///
/// # Errors
///
/// Returns the core's error when `name` is not a name.
pub fn key(kind: ObjectKind, name: &str) -> peppercrank_core::Result<ObjectKey> {
    let name = ObjectName::new(name)?;
    Ok(ObjectKey { kind, name })
}
