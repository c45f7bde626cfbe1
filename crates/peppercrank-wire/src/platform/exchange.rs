// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Sends single requests to the platform and interprets their failures.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use http::Request;
use http::Response;
use http::header;
use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::Body;
use ureq::Error;
use ureq::Timeout;

use super::Access;
use super::Condition;
use super::Failure;

/// Maximum number of unused connections, enough for a few watches and concurrent calls.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Maximum pause that the platform can request, so that a single response cannot stop a daemon for
/// days.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// A completely received response.
#[derive(Debug)]
pub(super) struct RawResponse {
    pub(super) status: u16,
    retry_after: Option<Duration>,
    body: Vec<u8>,
}

impl RawResponse {
    pub(super) fn parse<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        let parsed = serde_json::from_slice(&self.body);
        parsed.map_err(|_malformed| Failure::Bad(self.status))
    }

    /// Returns the failure that a response to a read represents, if it is neither a result nor an
    /// absence.
    pub(super) fn failure(&self) -> Failure {
        match self.status {
            429 => Failure::Throttled(self.retry_after),
            500..=599 => Failure::Down,
            status => Failure::Bad(status),
        }
    }

    /// Returns the failure that a response to a write represents, if the platform did not decide on
    /// the write.
    pub(super) fn write_failure(&self) -> Failure {
        match self.status {
            429 => Failure::Throttled(self.retry_after),
            503 => Failure::Down,
            // An internal error of the platform does not reveal whether the write took effect.
            500..=599 => Failure::Unknown,
            status => Failure::Bad(status),
        }
    }
}

/// Sends requests to the platform and reads its responses.
#[derive(Debug, Clone)]
pub(super) struct Exchange {
    agent: Agent,
    address: SocketAddr,
    token: Option<Secret>,
    call: Duration,
    answer: u64,
}

/// An `Authorization` value that is kept out of logs.
#[derive(Clone)]
struct Secret(String);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret")
    }
}

impl Exchange {
    pub(super) fn new(access: &Access) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            // Proxy settings in the environment must not redirect the calls.
            .proxy(None)
            .timeout_connect(Some(access.connect))
            .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS)
            .build();
        let token = access.token.as_ref();
        Self {
            agent: Agent::new_with_config(config),
            address: access.address,
            token: token.map(|t| Secret(format!("Bearer {t}"))),
            call: access.call,
            answer: access.answer,
        }
    }

    /// Reads a path; the platform may delay its response by up to `wait`.
    pub(super) fn read(&self, path: &str, wait: Duration) -> Result<RawResponse, Failure> {
        let request = self.request(Method::GET, path).body(());
        let request = request.map_err(|_malformed| Failure::Name)?;
        let agent = &self.agent;
        let within = Some(self.call.saturating_add(wait));
        let request = agent.configure_request(request);
        let request = request.timeout_per_call(within).build();
        let read = agent.run(request).and_then(|r| self.read_response(r));
        read.map_err(|e| read_failure(&e))
    }

    /// Writes an object if the condition holds.
    pub(super) fn write(
        &self,
        method: Method,
        path: &str,
        condition: Condition,
        text: &str,
    ) -> Result<RawResponse, Failure> {
        let request = self.request(method, path);
        let request = match condition {
            Condition::New => request.header(header::IF_NONE_MATCH, "*"),
            Condition::Version(version) => request.header(header::IF_MATCH, version),
        };
        let request = request.header(header::CONTENT_TYPE, "application/json");
        let request = request.body(text.to_owned());
        let request = request.map_err(|_malformed| Failure::Name)?;
        let agent = &self.agent;
        let request = agent.configure_request(request);
        let request = request.timeout_per_call(Some(self.call)).build();
        let wrote = agent.run(request).and_then(|r| self.read_response(r));
        wrote.map_err(|e| write_failure(&e))
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        let uri = format!("http://{}{path}", self.address);
        let request = Request::builder().method(method).uri(uri);
        match &self.token {
            Some(token) => request.header(header::AUTHORIZATION, &token.0),
            None => request,
        }
    }

    fn read_response(&self, mut response: Response<Body>) -> Result<RawResponse, Error> {
        let status = response.status().as_u16();
        let retry_after = retry_after(&response);
        let body = response.body_mut();
        let body = body.with_config().limit(self.answer).read_to_vec()?;
        Ok(RawResponse {
            status,
            retry_after,
            body,
        })
    }
}

/// Returns the duration in the `Retry-After` header.
fn retry_after(response: &Response<Body>) -> Option<Duration> {
    let value = response.headers().get(header::RETRY_AFTER)?;
    let seconds = value.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).min(MAX_RETRY_AFTER))
}

fn read_failure(error: &Error) -> Failure {
    match error {
        Error::Timeout(_) => Failure::Slow,
        Error::Io(e) if e.kind() == io::ErrorKind::TimedOut => Failure::Slow,
        Error::Io(_) | Error::HostNotFound | Error::ConnectionFailed => Failure::Down,
        _ => Failure::Bad(0),
    }
}

/// Returns the failure of a write, which is known to be unsent only if no connection was
/// established.
fn write_failure(error: &Error) -> Failure {
    match error {
        Error::Timeout(Timeout::Connect | Timeout::Resolve) => Failure::Slow,
        Error::HostNotFound | Error::ConnectionFailed => Failure::Down,
        Error::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused => Failure::Down,
        _ => Failure::Unknown,
    }
}
