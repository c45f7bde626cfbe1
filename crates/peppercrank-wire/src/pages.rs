// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! HTTP endpoints for operators: metrics, health, readiness and status.
//!
//! They are served by rouille on a separate address, which only operators and the balancer should
//! be able to reach: rouille uses a thread for each connection that sends its request slowly.

use std::fmt;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use rouille::Request;
use rouille::Response;
use rouille::Server;

use crate::Result;
use crate::errors;
use crate::errors::Error;
use crate::errors::Step;
use crate::seal::BearerTokens;

/// Interval at which the server checks whether it has to stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Path prefix of the endpoints of single objects.
const OBJECTS_PREFIX: &str = "/objects/";

/// Response of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The HTTP status code.
    pub status: u16,
    /// The content type.
    pub content_type: &'static str,
    /// The response text.
    pub text: String,
}

impl Page {
    /// Returns a plain text response with this status.
    #[must_use]
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        Self {
            status,
            content_type: "text/plain; charset=utf-8",
            text: text.into(),
        }
    }

    /// Returns a response in the `OpenMetrics` text format.
    #[must_use]
    pub const fn metrics(text: String) -> Self {
        Self {
            status: 200,
            content_type: "application/openmetrics-text; version=1.0.0; charset=utf-8",
            text,
        }
    }

    /// Returns a JSON response with this status.
    #[must_use]
    pub const fn json(status: u16, text: String) -> Self {
        Self {
            status,
            content_type: "application/json",
            text,
        }
    }
}

/// Creates the response for each request to an endpoint.
pub type PageSource = Box<dyn Fn() -> Page + Send + Sync>;

/// The endpoints of a daemon.
pub struct Pages {
    /// `/metrics`.
    pub metrics: PageSource,
    /// `/healthz`: 200 while the process is healthy.
    pub healthz: PageSource,
    /// `/readyz`: 200 while the process accepts requests, 503 otherwise.
    pub readyz: PageSource,
    /// `/status`.
    pub status: PageSource,
    /// The endpoints below `/objects/`, called with the rest of the path.
    pub objects: Box<dyn Fn(&str) -> Page + Send + Sync>,
    /// Tokens for `/status` and `/objects/`; if absent, these endpoints need no token.
    pub tokens: Option<BearerTokens>,
}

impl fmt::Debug for Pages {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pages").finish_non_exhaustive()
    }
}

impl Pages {
    /// Serves the endpoints with `threads` threads until the returned server is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if the address cannot be bound or the thread cannot be started.
    ///
    /// # Panics
    ///
    /// Panics if `threads` is 0.
    pub fn serve(self, address: SocketAddr, threads: usize) -> Result<PagesServer> {
        let bound = Server::new(address, move |request| respond(&self, request));
        let server = bound.map_err(|e| bind_error(&*e))?.pool_size(threads);
        let address = server.server_addr();
        let stopped = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stopped);
        let run = move || {
            while !stop.load(Ordering::Acquire) {
                server.poll_timeout(STOP_POLL_INTERVAL);
            }
            server.join();
        };
        let spawned = thread::Builder::new().name("pages".to_owned()).spawn(run);
        let thread = spawned.map_err(|e| errors::io(Step::Spawn, &e))?;
        Ok(PagesServer {
            address,
            stopped,
            thread: Some(thread),
        })
    }
}

/// A running server of endpoints; dropping it stops the server.
#[derive(Debug)]
pub struct PagesServer {
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl PagesServer {
    /// Returns the address that the server listens on.
    #[must_use]
    pub const fn local_addr(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for PagesServer {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            // A panic in an endpoint is answered with 500, so the thread itself does not panic.
            let _ended = thread.join();
        }
    }
}

fn bind_error(error: &(dyn std::error::Error + Send + Sync + 'static)) -> Error {
    match error.downcast_ref::<std::io::Error>() {
        Some(e) => errors::io(Step::Bind, e),
        None => errors::io(Step::Bind, &std::io::ErrorKind::Other.into()),
    }
}

fn respond(pages: &Pages, request: &Request) -> Response {
    if !matches!(request.method(), "GET" | "HEAD") {
        return response(Page::text(405, "only GET and HEAD\n"))
            .with_additional_header("Allow", "GET, HEAD");
    }
    let url = request.url();
    let object = url.strip_prefix(OBJECTS_PREFIX);
    if (url == "/status" || object.is_some()) && !is_authorized(pages, request) {
        let page = response(Page::text(401, "a token is wanted\n"));
        return page.with_additional_header("WWW-Authenticate", "Bearer");
    }
    let make = || match (url.as_str(), object) {
        (_, Some(object)) => (pages.objects)(object),
        ("/metrics", _) => (pages.metrics)(),
        ("/healthz", _) => (pages.healthz)(),
        ("/readyz", _) => (pages.readyz)(),
        ("/status", _) => (pages.status)(),
        _ => Page::text(404, "no such page\n"),
    };
    // A panic in one endpoint must not stop the server.
    match catch_unwind(AssertUnwindSafe(make)) {
        Ok(page) => response(page),
        Err(_) => response(Page::text(500, "the page could not be made\n")),
    }
}

fn is_authorized(pages: &Pages, request: &Request) -> bool {
    let Some(tokens) = &pages.tokens else {
        return true;
    };
    request
        .header("Authorization")
        .is_some_and(|v| tokens.matches(v))
}

fn response(page: Page) -> Response {
    let response = Response::from_data(page.content_type, page.text);
    response.with_status_code(page.status).with_no_cache()
}
