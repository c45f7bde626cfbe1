// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The client of the platform's object API and its list of VMs.
//!
//! Its calls block: run them on plain threads. The API is the one of docs/design/0001-protocols.md.

mod counters;
mod exchange;
mod outcomes;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use peppercrank_core::names::ObjectName;
use serde::Deserialize;
use serde_json::Value;

pub use counters::Calls;
pub use counters::Ending;
pub use counters::Operation;
pub use outcomes::Condition;
pub use outcomes::Failure;
pub use outcomes::Fetched;
pub use outcomes::Listing;
pub use outcomes::Named;
pub use outcomes::Object;
pub use outcomes::Role;
pub use outcomes::Vm;
pub use outcomes::Vms;
pub use outcomes::Watched;
pub use outcomes::Written;

use exchange::Exchange;
use exchange::Raw;

/// `Access` is how to reach the platform, and within what limits.
#[derive(Clone, PartialEq, Eq)]
pub struct Access {
    /// Where the platform listens.
    pub address: SocketAddr,
    /// The bearer token, if the platform wants one.
    pub token: Option<String>,
    /// Time for a connection to be made.
    pub connect: Duration,
    /// Time for a whole call; a watch gets its own waiting time on top.
    pub call: Duration,
    /// The longest answer taken, in bytes.
    pub answer: u64,
}

impl Access {
    /// `new` is the access to a platform at an address, with the default limits and no token.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            token: None,
            connect: Duration::from_secs(1),
            call: Duration::from_secs(3),
            // 17,000 objects of a kind at 4 KB each.
            answer: 64 * 1_024 * 1_024,
        }
    }
}

impl std::fmt::Debug for Access {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The token is a secret, so only its presence is told.
        f.debug_struct("Access")
            .field("address", &self.address)
            .field("token", &self.token.is_some())
            .field("connect", &self.connect)
            .field("call", &self.call)
            .field("answer", &self.answer)
            .finish()
    }
}

/// `Platform` calls the platform; its clones share connections and counts.
#[derive(Debug, Clone)]
pub struct Platform {
    exchange: Exchange,
    calls: Arc<Calls>,
}

#[derive(Deserialize)]
struct Version {
    version: u64,
}

#[derive(Deserialize)]
struct Entries {
    revision: u64,
    vms: Vec<Value>,
}

impl Platform {
    /// `new` makes a client; it connects with its first call.
    #[must_use]
    pub fn new(access: &Access) -> Self {
        Self {
            exchange: Exchange::new(access),
            calls: Arc::default(),
        }
    }

    /// `calls` are the counts of all calls.
    #[must_use]
    pub fn calls(&self) -> Arc<Calls> {
        Arc::clone(&self.calls)
    }

    /// `get` reads one object.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] other than [`Failure::Unknown`].
    pub fn get(&self, kind: &str, name: &str) -> Result<Fetched, Failure> {
        let path = object(kind, name)?;
        self.counted(Operation::Get, fetched, || {
            let raw = self.exchange.read(&path, Duration::ZERO)?;
            match raw.status {
                200 => raw.parse().map(Fetched::Found),
                404 => Ok(Fetched::Absent),
                _ => Err(raw.failure()),
            }
        })
    }

    /// `put` writes one object if the condition holds.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unknown`] when the write may have taken effect all the same.
    pub fn put(
        &self,
        kind: &str,
        name: &str,
        condition: Condition,
        body: &Value,
    ) -> Result<Written, Failure> {
        let path = object(kind, name)?;
        let text = body.to_string();
        self.write(Operation::Put, Method::PUT, &path, condition, &text)
    }

    /// `delete` deletes one object of a version and leaves a tombstone.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unknown`] when the delete may have taken effect all the same.
    pub fn delete(&self, kind: &str, name: &str, version: u64) -> Result<Written, Failure> {
        let path = object(kind, name)?;
        let condition = Condition::Version(version);
        self.write(Operation::Delete, Method::DELETE, &path, condition, "")
    }

    /// `list` reads all objects of a kind, tombstones included.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] other than [`Failure::Unknown`].
    pub fn list(&self, kind: &str) -> Result<Listing, Failure> {
        let kind = part(kind)?;
        self.counted(
            Operation::List,
            |_| Ending::Found,
            || {
                let raw = self
                    .exchange
                    .read(&format!("/objects/{kind}"), Duration::ZERO)?;
                raw.found()
            },
        )
    }

    /// `watch` waits up to `wait` for objects of a kind newer than revision `since`.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] other than [`Failure::Unknown`].
    pub fn watch(&self, kind: &str, since: u64, wait: Duration) -> Result<Watched, Failure> {
        let kind = part(kind)?;
        let wait_ms = wait.as_millis();
        let path = format!("/watch/{kind}?since={since}&wait_ms={wait_ms}");
        self.counted(Operation::Watch, watched, || {
            let raw = self.exchange.read(&path, wait)?;
            match raw.status {
                410 => Ok(Watched::TooOld),
                _ => raw.found().map(Watched::News),
            }
        })
    }

    /// `vms` reads the list of VMs.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] other than [`Failure::Unknown`].
    pub fn vms(&self) -> Result<Vms, Failure> {
        self.counted(
            Operation::Vms,
            |_| Ending::Found,
            || {
                let raw = self.exchange.read("/vms", Duration::ZERO)?;
                let entries: Entries = raw.found()?;
                Ok(sort_out(entries))
            },
        )
    }

    fn write(
        &self,
        operation: Operation,
        method: Method,
        path: &str,
        condition: Condition,
        text: &str,
    ) -> Result<Written, Failure> {
        self.counted(operation, written, || {
            let raw = self.exchange.write(method, path, condition, text)?;
            match raw.status {
                // The version is lost with a malformed answer, though the write is done.
                200 => match raw.parse::<Version>() {
                    Ok(done) => Ok(Written::Done(done.version)),
                    Err(_) => Err(Failure::Unknown),
                },
                404 => Ok(Written::Conflict(None)),
                412 => Ok(Written::Conflict(raw.parse().ok())),
                _ => Err(raw.write_failure()),
            }
        })
    }

    fn counted<T>(
        &self,
        operation: Operation,
        ending: impl FnOnce(&T) -> Ending,
        call: impl FnOnce() -> Result<T, Failure>,
    ) -> Result<T, Failure> {
        self.calls.begin();
        let result = call();
        let ending = match &result {
            Ok(value) => ending(value),
            Err(failure) => failed(*failure),
        };
        self.calls.end(operation, ending);
        result
    }
}

/// Checks one part of a path, so that no name reaches another object.
fn part(text: &str) -> Result<ObjectName, Failure> {
    match ObjectName::new(text) {
        Ok(name) if !matches!(text, "." | "..") => Ok(name),
        _ => Err(Failure::Name),
    }
}

fn object(kind: &str, name: &str) -> Result<String, Failure> {
    Ok(format!("/objects/{}/{}", part(kind)?, part(name)?))
}

/// Keeps the well-formed entries: one bad entry must not hide every other VM.
fn sort_out(entries: Entries) -> Vms {
    let all = entries.vms.len();
    let parsed = entries.vms.into_iter().map(serde_json::from_value);
    let vms: Vec<Vm> = parsed.filter_map(Result::ok).collect();
    Vms {
        revision: entries.revision,
        invalid: all - vms.len(),
        vms,
    }
}

const fn fetched(value: &Fetched) -> Ending {
    match value {
        Fetched::Found(_) => Ending::Found,
        Fetched::Absent => Ending::Absent,
    }
}

const fn watched(value: &Watched) -> Ending {
    match value {
        Watched::News(_) => Ending::Found,
        Watched::TooOld => Ending::TooOld,
    }
}

const fn written(value: &Written) -> Ending {
    match value {
        Written::Done(_) => Ending::Done,
        Written::Conflict(_) => Ending::Conflict,
    }
}

const fn failed(failure: Failure) -> Ending {
    match failure {
        Failure::Throttled(_) => Ending::Throttled,
        Failure::Down => Ending::Down,
        Failure::Slow => Ending::Slow,
        Failure::Unknown => Ending::Unknown,
        Failure::Bad(_) | Failure::Name => Ending::Bad,
    }
}

impl Raw {
    fn found<T: serde::de::DeserializeOwned>(&self) -> Result<T, Failure> {
        match self.status {
            200 => self.parse(),
            _ => Err(self.failure()),
        }
    }
}
