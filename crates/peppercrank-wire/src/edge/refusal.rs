// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Reasons for which a server itself refuses requests or closes connections, and its counters.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use http::StatusCode;

macro_rules! refused {
    ($($(#[$doc:meta])* $variant:ident $code:literal $status:ident $text:literal,)*) => {
        /// Why a server refused a request or closed a connection by itself.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Refused {
            $($(#[$doc])* $variant,)*
        }

        impl Refused {
            /// All reasons in the order of their definition.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the stable code of the reason in responses and metrics.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self {
                    $(Self::$variant => $code,)*
                }
            }

            /// Returns the status of the response to a refused caller.
            #[must_use]
            pub const fn status(self) -> StatusCode {
                match self {
                    $(Self::$variant => StatusCode::$status,)*
                }
            }

            /// Returns the message for the caller.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }
        }
    };
}

refused! {
    /// The maximum number of connections was reached.
    Connections "connections" SERVICE_UNAVAILABLE "too many connections",
    /// The server is shutting down and starts no more calls.
    Stopping "stopping" SERVICE_UNAVAILABLE "shutting down",
    /// The head could not be parsed.
    BadHead "bad_head" BAD_REQUEST "malformed request head",
    /// The head specifies the end of the body in an ambiguous or unsupported way.
    Framing "bad_framing" BAD_REQUEST "ambiguous or unsupported request framing",
    /// The head is too large or has too many headers.
    HeadTooBig "head_too_big" REQUEST_HEADER_FIELDS_TOO_LARGE "request head too large",
    /// The head did not arrive in time.
    HeadTimeout "head_timeout" REQUEST_TIMEOUT "request head not received in time",
    /// The request is not HTTP/1.1.
    Version "http_version" HTTP_VERSION_NOT_SUPPORTED "protocol version not supported",
    /// The method is not supported.
    Method "method" METHOD_NOT_ALLOWED "method not supported",
    /// The body exceeds the maximum size.
    BodyTooBig "body_too_big" PAYLOAD_TOO_LARGE "request body too large",
    /// The bodies of all calls in progress reached their maximum total size.
    BodyMemory "body_memory" SERVICE_UNAVAILABLE "too many request bodies in progress",
    /// The body did not arrive in time.
    BodyTimeout "body_timeout" REQUEST_TIMEOUT "request body not received in time",
    /// The body was truncated or its chunks are malformed.
    BadBody "bad_body" BAD_REQUEST "malformed request body",
    /// The caller did not read the response in time.
    WriteTimeout "write_timeout" REQUEST_TIMEOUT "answer not read in time",
    /// The call exceeded its total time.
    TotalTime "total_time" GATEWAY_TIMEOUT "call exceeded its total time",
}

impl Refused {
    /// Returns whether the refused call may have run, as a code for responses and metrics.
    #[must_use]
    pub const fn run(self) -> &'static str {
        match self {
            Self::TotalTime | Self::WriteTimeout => "may_have_run",
            _ => "not_run",
        }
    }
}

/// Counters of a server.
#[derive(Debug, Default)]
pub struct Counters {
    refused: [AtomicU64; Refused::ALL.len()],
    open: AtomicU64,
    busy: AtomicU64,
    calls: AtomicU64,
    callers_gone: AtomicU64,
    accept_errors: AtomicU64,
    body_bytes: AtomicU64,
}

impl Counters {
    /// Returns how often the server refused a request or closed a connection for `reason`.
    #[must_use]
    pub fn refused(&self, reason: Refused) -> u64 {
        self.refused[reason as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the number of calls in progress.
    #[must_use]
    pub fn busy(&self) -> u64 {
        self.busy.load(Ordering::Relaxed)
    }

    /// Returns the number of calls since the start.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns the number of calls that ended early because the caller disconnected.
    #[must_use]
    pub fn gone(&self) -> u64 {
        self.callers_gone.load(Ordering::Relaxed)
    }

    /// Returns how often the system failed to accept a connection.
    #[must_use]
    pub fn accept_errors(&self) -> u64 {
        self.accept_errors.load(Ordering::Relaxed)
    }

    /// Returns the bytes of the request bodies of calls in progress.
    #[must_use]
    pub fn body_bytes(&self) -> u64 {
        self.body_bytes.load(Ordering::Relaxed)
    }

    /// Counts bytes of a body as held, and returns whether the total stays within `max`.
    pub(super) fn reserve_body_bytes(&self, bytes: u64, max: u64) -> bool {
        let before = self.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        let fits = before.saturating_add(bytes) <= max;
        if !fits {
            self.release_body_bytes(bytes);
        }
        fits
    }

    pub(super) fn release_body_bytes(&self, bytes: u64) {
        self.body_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    pub(super) fn refuse(&self, reason: Refused) {
        self.refused[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn caller_gone(&self) {
        self.callers_gone.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn accept_failed(&self) {
        self.accept_errors.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a connection as open and returns the number of open connections.
    pub(super) fn connection_opened(&self) -> u64 {
        self.open.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub(super) fn connection_closed(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    pub(super) fn call_started(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.busy.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn call_ended(&self) {
        self.busy.fetch_sub(1, Ordering::Relaxed);
    }
}
