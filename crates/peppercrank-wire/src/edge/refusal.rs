// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What an edge refuses or cuts by itself, and how often.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use http::StatusCode;

macro_rules! refused {
    ($($(#[$doc:meta])* $variant:ident $code:literal $status:ident $text:literal,)*) => {
        /// `Refused` is why an edge refused a request or cut a connection by itself.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Refused {
            $($(#[$doc])* $variant,)*
        }

        impl Refused {
            /// All reasons, in the order of their definition.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// `code` is the stable code of the reason in answers and metrics.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self {
                    $(Self::$variant => $code,)*
                }
            }

            /// `status` is the status that a refused caller is answered with.
            #[must_use]
            pub const fn status(self) -> StatusCode {
                match self {
                    $(Self::$variant => StatusCode::$status,)*
                }
            }

            /// `text` is the message for the caller.
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
    /// As many connections as allowed were open.
    Connections "connections" SERVICE_UNAVAILABLE "too many connections",
    /// The head does not parse.
    BadHead "bad_head" BAD_REQUEST "malformed request head",
    /// The head says in more than one way where the body ends.
    Framing "bad_framing" BAD_REQUEST "ambiguous or unsupported request framing",
    /// The head is too long or has too many headers.
    HeadTooBig "head_too_big" REQUEST_HEADER_FIELDS_TOO_LARGE "request head too large",
    /// The head did not arrive in time.
    HeadTimeout "head_timeout" REQUEST_TIMEOUT "request head not received in time",
    /// The request is not HTTP/1.1.
    Version "http_version" HTTP_VERSION_NOT_SUPPORTED "protocol version not supported",
    /// The method is not one that is passed on.
    Method "method" METHOD_NOT_ALLOWED "method not supported",
    /// The body is longer than the limit.
    BodyTooBig "body_too_big" PAYLOAD_TOO_LARGE "request body too large",
    /// The bodies of all calls in progress fill the room that there is for them.
    BodyMemory "body_memory" SERVICE_UNAVAILABLE "too many request bodies in progress",
    /// The body did not arrive in time.
    BodyTimeout "body_timeout" REQUEST_TIMEOUT "request body not received in time",
    /// The body broke off or its chunks are malformed.
    BadBody "bad_body" BAD_REQUEST "malformed request body",
    /// The caller left its answer unread too long.
    WriteTimeout "write_timeout" REQUEST_TIMEOUT "answer not read in time",
    /// The call took longer than the total time.
    TotalTime "total_time" GATEWAY_TIMEOUT "call exceeded its total time",
}

impl Refused {
    /// `run` tells whether a call that ended so may have run, in the words of answers and metrics.
    #[must_use]
    pub const fn run(self) -> &'static str {
        match self {
            Self::TotalTime | Self::WriteTimeout => "may_have_run",
            _ => "not_run",
        }
    }
}

/// `Counters` count what happens at one edge.
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
    /// `refused` is how often the edge refused or cut for this reason.
    #[must_use]
    pub fn refused(&self, reason: Refused) -> u64 {
        self.refused[reason as usize].load(Ordering::Relaxed)
    }

    /// `open` is how many connections are open.
    #[must_use]
    pub fn open(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }

    /// `busy` is how many calls are in progress.
    #[must_use]
    pub fn busy(&self) -> u64 {
        self.busy.load(Ordering::Relaxed)
    }

    /// `calls` is how many calls were taken up.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// `gone` is how many calls ended early since their callers went away.
    #[must_use]
    pub fn gone(&self) -> u64 {
        self.callers_gone.load(Ordering::Relaxed)
    }

    /// `accept_errors` is how often the system failed to accept a connection.
    #[must_use]
    pub fn accept_errors(&self) -> u64 {
        self.accept_errors.load(Ordering::Relaxed)
    }

    /// `body_bytes` is the length of the bodies that calls in progress have sent.
    #[must_use]
    pub fn body_bytes(&self) -> u64 {
        self.body_bytes.load(Ordering::Relaxed)
    }

    /// Counts bytes of a body as held, if there is room for them.
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

    /// Counts a connection as open and returns how many are.
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
