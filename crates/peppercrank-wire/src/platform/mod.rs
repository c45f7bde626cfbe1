// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Client of the platform's object API and its list of VMs.
//!
//! Its calls block and must run on plain threads. docs/design/0001-protocols.md specifies the API.

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

pub use counters::CallOutcome;
pub use counters::Calls;
pub use counters::Operation;
pub use outcomes::Condition;
pub use outcomes::Failure;
pub use outcomes::Fetched;
pub use outcomes::Listing;
pub use outcomes::NamedObject;
pub use outcomes::Object;
pub use outcomes::Role;
pub use outcomes::Vm;
pub use outcomes::Vms;
pub use outcomes::Watched;
pub use outcomes::Written;

use exchange::Exchange;
use exchange::RawResponse;

/// Address, token and limits for calls to the platform.
#[derive(Clone, PartialEq, Eq)]
pub struct Access {
    /// The address of the platform.
    pub address: SocketAddr,
    /// The bearer token, if the platform requires one.
    pub token: Option<String>,
    /// Timeout for establishing a connection.
    pub connect: Duration,
    /// Timeout of a call; the waiting time of a watch is added to it.
    pub call: Duration,
    /// Maximum size of a response, in bytes.
    pub answer: u64,
}

impl Access {
    /// Returns the access to a platform with default limits and without a token.
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
        // The token is a secret, so only its presence is shown.
        f.debug_struct("Access")
            .field("address", &self.address)
            .field("token", &self.token.is_some())
            .field("connect", &self.connect)
            .field("call", &self.call)
            .field("answer", &self.answer)
            .finish()
    }
}

/// A client of the platform; clones share connections and counters.
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
    /// Creates a client, which connects on its first call.
    #[must_use]
    pub fn new(access: &Access) -> Self {
        Self {
            exchange: Exchange::new(access),
            calls: Arc::default(),
        }
    }

    /// Returns the counters of the calls.
    #[must_use]
    pub fn calls(&self) -> Arc<Calls> {
        Arc::clone(&self.calls)
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns any [`Failure`] except [`Failure::Unknown`].
    pub fn get(&self, kind: &str, name: &str) -> Result<Fetched, Failure> {
        let path = object_path(kind, name)?;
        self.count_call(Operation::Get, fetch_outcome, || {
            let raw = self.exchange.read(&path, Duration::ZERO)?;
            match raw.status {
                200 => raw.parse().map(Fetched::Found),
                404 => Ok(Fetched::Absent),
                _ => Err(raw.failure()),
            }
        })
    }

    /// Writes an object if the condition holds.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unknown`] if the write may have taken effect nevertheless.
    pub fn put(
        &self,
        kind: &str,
        name: &str,
        condition: Condition,
        body: &Value,
    ) -> Result<Written, Failure> {
        let path = object_path(kind, name)?;
        let text = body.to_string();
        self.write(Operation::Put, Method::PUT, &path, condition, &text)
    }

    /// Deletes an object if it has this version, which leaves a tombstone.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unknown`] if the deletion may have taken effect nevertheless.
    pub fn delete(&self, kind: &str, name: &str, version: u64) -> Result<Written, Failure> {
        let path = object_path(kind, name)?;
        let condition = Condition::Version(version);
        self.write(Operation::Delete, Method::DELETE, &path, condition, "")
    }

    /// Reads all objects of a kind, including tombstones.
    ///
    /// # Errors
    ///
    /// Returns any [`Failure`] except [`Failure::Unknown`].
    pub fn list(&self, kind: &str) -> Result<Listing, Failure> {
        let kind = path_segment(kind)?;
        self.count_call(
            Operation::List,
            |_| CallOutcome::Found,
            || {
                let raw = self
                    .exchange
                    .read(&format!("/objects/{kind}"), Duration::ZERO)?;
                raw.parse_found()
            },
        )
    }

    /// Waits up to `wait` for objects of a kind that are newer than revision `since`.
    ///
    /// # Errors
    ///
    /// Returns any [`Failure`] except [`Failure::Unknown`].
    pub fn watch(&self, kind: &str, since: u64, wait: Duration) -> Result<Watched, Failure> {
        let kind = path_segment(kind)?;
        let wait_ms = wait.as_millis();
        let path = format!("/watch/{kind}?since={since}&wait_ms={wait_ms}");
        self.count_call(Operation::Watch, watch_outcome, || {
            let raw = self.exchange.read(&path, wait)?;
            match raw.status {
                410 => Ok(Watched::TooOld),
                _ => raw.parse_found().map(Watched::Changes),
            }
        })
    }

    /// Reads the list of VMs.
    ///
    /// # Errors
    ///
    /// Returns any [`Failure`] except [`Failure::Unknown`].
    pub fn vms(&self) -> Result<Vms, Failure> {
        self.count_call(
            Operation::Vms,
            |_| CallOutcome::Found,
            || {
                let raw = self.exchange.read("/vms", Duration::ZERO)?;
                let entries: Entries = raw.parse_found()?;
                Ok(parse_vms(entries))
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
        self.count_call(operation, write_outcome, || {
            let raw = self.exchange.write(method, path, condition, text)?;
            match raw.status {
                // The write took effect, but its version cannot be read from a malformed response.
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

    fn count_call<T>(
        &self,
        operation: Operation,
        ending: impl FnOnce(&T) -> CallOutcome,
        call: impl FnOnce() -> Result<T, Failure>,
    ) -> Result<T, Failure> {
        self.calls.begin();
        let result = call();
        let ending = match &result {
            Ok(value) => ending(value),
            Err(failure) => failure_outcome(*failure),
        };
        self.calls.end(operation, ending);
        result
    }
}

/// Validates a path segment, so that a name cannot refer to another object.
fn path_segment(text: &str) -> Result<ObjectName, Failure> {
    match ObjectName::new(text) {
        Ok(name) if !matches!(text, "." | "..") => Ok(name),
        _ => Err(Failure::Name),
    }
}

fn object_path(kind: &str, name: &str) -> Result<String, Failure> {
    Ok(format!(
        "/objects/{}/{}",
        path_segment(kind)?,
        path_segment(name)?
    ))
}

/// Keeps the valid entries: an invalid entry must not hide all other VMs.
fn parse_vms(entries: Entries) -> Vms {
    let all = entries.vms.len();
    let parsed = entries.vms.into_iter().map(serde_json::from_value);
    let vms: Vec<Vm> = parsed.filter_map(Result::ok).collect();
    Vms {
        revision: entries.revision,
        invalid: all - vms.len(),
        vms,
    }
}

const fn fetch_outcome(value: &Fetched) -> CallOutcome {
    match value {
        Fetched::Found(_) => CallOutcome::Found,
        Fetched::Absent => CallOutcome::Absent,
    }
}

const fn watch_outcome(value: &Watched) -> CallOutcome {
    match value {
        Watched::Changes(_) => CallOutcome::Found,
        Watched::TooOld => CallOutcome::TooOld,
    }
}

const fn write_outcome(value: &Written) -> CallOutcome {
    match value {
        Written::Done(_) => CallOutcome::Done,
        Written::Conflict(_) => CallOutcome::Conflict,
    }
}

const fn failure_outcome(failure: Failure) -> CallOutcome {
    match failure {
        Failure::Throttled(_) => CallOutcome::Throttled,
        Failure::Down => CallOutcome::Down,
        Failure::Slow => CallOutcome::Slow,
        Failure::Unknown => CallOutcome::Unknown,
        Failure::Bad(_) | Failure::Name => CallOutcome::Bad,
    }
}

impl RawResponse {
    fn parse_found<T: serde::de::DeserializeOwned>(&self) -> Result<T, Failure> {
        match self.status {
            200 => self.parse(),
            _ => Err(self.failure()),
        }
    }
}
