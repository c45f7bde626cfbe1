// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Platform client of the subcommands: reads with retries, and publishing.

use std::thread;
use std::time::Duration;
use std::time::Instant as StdInstant;

use peppercrank_config::object::Version;
use peppercrank_config::publish::Base;
use peppercrank_config::publish::Current;
use peppercrank_config::publish::Done;
use peppercrank_config::publish::Failure;
use peppercrank_config::publish::Fate;
use peppercrank_config::publish::Input;
use peppercrank_config::publish::Next;
use peppercrank_config::publish::Publish;
use peppercrank_config::publish::Written;
use peppercrank_core::objects::ObjectKey;
use peppercrank_core::objects::ObjectKind;
use peppercrank_core::time::Instant;
use peppercrank_wire::platform;
use peppercrank_wire::platform::Condition;
use peppercrank_wire::platform::Fetched;
use peppercrank_wire::platform::Listing;
use peppercrank_wire::platform::Object;
use peppercrank_wire::platform::Platform;
use peppercrank_wire::platform::Vms;
use serde_json::Value;

use crate::access::Access;
use crate::errors::Error;
use crate::errors::Result;

/// Initial delay before a read is retried; doubled on each retry.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay before a read is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Delay after a throttled call without a retry hint.
const THROTTLED_RETRY_DELAY: Duration = Duration::from_secs(1);

/// `PlatformClient` calls the platform within the timeout of one subcommand.
#[derive(Debug)]
pub(crate) struct PlatformClient {
    platform: Platform,
    start: StdInstant,
    timeout: Duration,
}

impl PlatformClient {
    pub(crate) fn new(access: &Access) -> Result<Self> {
        let mut to = platform::Access::new(access.platform()?.address());
        to.token = access.token.as_ref().map(|t| t.reveal().to_owned());
        // A single call that hangs must leave time for another.
        to.call = to.call.min(access.timeout / 2);
        to.connect = to.connect.min(to.call);
        Ok(Self {
            platform: Platform::new(&to),
            start: StdInstant::now(),
            timeout: access.timeout,
        })
    }

    /// Returns the underlying platform API, for callers with timeouts of their own.
    pub(crate) fn into_platform(self) -> Platform {
        self.platform
    }

    /// Returns the deadline of all calls, on the clock of [`Self::now`].
    pub(crate) fn deadline(&self) -> Instant {
        Instant::from_origin(self.timeout)
    }

    /// Reads an object; `None` if it does not exist.
    pub(crate) fn read(&self, key: &ObjectKey) -> Result<Option<Current>> {
        self.retry(|| self.fetch(key))
    }

    /// Reads an object, or returns [`Error::NotFound`].
    pub(crate) fn read_existing(&self, key: &ObjectKey) -> Result<Current> {
        let found = self.read(key)?;
        found.ok_or_else(|| Error::NotFound(key.clone()))
    }

    /// Lists all objects of a kind.
    pub(crate) fn list(&self, kind: ObjectKind) -> Result<Listing> {
        self.retry(|| self.platform.list(kind.code()))
    }

    /// Lists the VMs.
    pub(crate) fn vms(&self) -> Result<Vms> {
        self.retry(|| self.platform.vms())
    }

    /// Runs the publishing state machine to its end.
    pub(crate) fn publish(&self, key: &ObjectKey, mut publish: Publish) -> Result<Done> {
        let id = publish.id();
        let mut write_uncertain = false;
        let mut input = Input::Begin;
        loop {
            let answer = match publish.on(self.now(), input) {
                Next::Read => self.fetch(key).map(|c| Input::Read(Ok(c))),
                Next::Write { base, body } => self.write(key, base, &body),
                Next::Remove { base } => self.remove(key, base),
                Next::Wait { until } => {
                    thread::sleep(until.since(self.now()));
                    Ok(Input::Due)
                }
                Next::Done(done) => return Ok(done),
                Next::Conflict(conflict) => return Err(Error::Conflict(conflict)),
                Next::Invalid(fault) => return Err(Error::InvalidObject(fault)),
                Next::GiveUp(Fate::NotWritten) => return Err(Error::Unavailable),
                Next::GiveUp(Fate::MayBeWritten) => return Err(Error::OutcomeUnknown(id)),
            };
            input = match answer {
                Ok(input) => input,
                Err(failure) => {
                    write_uncertain |= failure == platform::Failure::Unknown;
                    match publish_failure(failure) {
                        Some(Failure::Lost) => Input::Written(Err(Failure::Lost)),
                        Some(failure) => Input::Read(Err(failure)),
                        // A refusal does not undo an earlier write of unknown outcome, which may
                        // have been accepted.
                        None if write_uncertain => return Err(Error::OutcomeUnknown(id)),
                        None => return Err(Error::Platform(failure)),
                    }
                }
            };
        }
    }

    fn fetch(&self, key: &ObjectKey) -> std::result::Result<Option<Current>, platform::Failure> {
        let found = self.platform.get(key.kind.code(), key.name.as_str())?;
        Ok(match found {
            Fetched::Found(object) => live_object(object),
            Fetched::Absent => None,
        })
    }

    fn write(
        &self,
        key: &ObjectKey,
        base: Base,
        body: &Value,
    ) -> std::result::Result<Input, platform::Failure> {
        let condition = match base {
            Base::Absent => Condition::New,
            Base::Version(version) => Condition::Version(version.0),
        };
        let (kind, name) = (key.kind.code(), key.name.as_str());
        let written = self.platform.put(kind, name, condition, body)?;
        self.write_result(key, written)
    }

    fn remove(
        &self,
        key: &ObjectKey,
        base: Version,
    ) -> std::result::Result<Input, platform::Failure> {
        let (kind, name) = (key.kind.code(), key.name.as_str());
        let written = self.platform.delete(kind, name, base.0)?;
        self.write_result(key, written)
    }

    fn write_result(
        &self,
        key: &ObjectKey,
        written: platform::Written,
    ) -> std::result::Result<Input, platform::Failure> {
        let written = match written {
            platform::Written::Done(version) => Written::Version(Version(version)),
            platform::Written::Conflict(Some(object)) => Written::Refused(live_object(object)),
            // The conflict did not include the current object; it must not be mistaken for an
            // absent one.
            platform::Written::Conflict(None) => Written::Refused(self.fetch(key)?),
        };
        Ok(Input::Written(Ok(written)))
    }

    fn retry<T>(
        &self,
        mut call: impl FnMut() -> std::result::Result<T, platform::Failure>,
    ) -> Result<T> {
        let mut pause = INITIAL_RETRY_DELAY;
        loop {
            let failure = match call() {
                Ok(value) => return Ok(value),
                Err(failure) => failure,
            };
            let wait = match publish_failure(failure) {
                Some(Failure::Busy { after }) => after,
                Some(_) => pause,
                None => return Err(Error::Platform(failure)),
            };
            if self.now() + wait >= self.deadline() {
                return Err(Error::Unavailable);
            }
            thread::sleep(wait);
            pause = pause.saturating_mul(2).min(MAX_RETRY_DELAY);
        }
    }

    fn now(&self) -> Instant {
        Instant::from_origin(self.start.elapsed())
    }
}

/// Converts a failure for the publishing state machine; `None` if a retry cannot help.
fn publish_failure(failure: platform::Failure) -> Option<Failure> {
    match failure {
        platform::Failure::Throttled(after) => Some(Failure::Busy {
            after: after.unwrap_or(THROTTLED_RETRY_DELAY),
        }),
        platform::Failure::Down | platform::Failure::Slow => Some(Failure::Unreached),
        platform::Failure::Unknown => Some(Failure::Lost),
        platform::Failure::Bad(_) | platform::Failure::Name => None,
    }
}

/// Returns the object unless it is a tombstone.
fn live_object(object: Object) -> Option<Current> {
    let body = object.body?;
    let version = Version(object.version);
    Some(Current { version, body })
}
