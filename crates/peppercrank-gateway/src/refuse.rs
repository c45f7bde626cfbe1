// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The gateway's own answers, which refuse a request with a reason.

use std::time::Duration;

use http::HeaderValue;
use http::StatusCode;
use http::header;
use peppercrank_wire::body;
use peppercrank_wire::edge::Reply;

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident $code:literal $status:ident;)*) => {
        /// Why a request received no answer from a target.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// All reasons in the order of their definition.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the reason's stable code in answers, logs and metrics.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self {
                    $(Self::$name => $code,)*
                }
            }

            /// Returns the HTTP status sent to the caller.
            #[must_use]
            pub const fn status(self) -> StatusCode {
                match self {
                    $(Self::$name => StatusCode::$status,)*
                }
            }
        }
    };
}

reasons! {
    /// No configuration has been read yet.
    NoConfiguration "no_configuration" SERVICE_UNAVAILABLE;
    /// What is known about keys is too old to be trusted.
    StaleKeys "stale_keys" SERVICE_UNAVAILABLE;
    /// No route matches, but the known routes are too old to be sure.
    StaleRoutes "stale_routes" SERVICE_UNAVAILABLE;
    /// A required header is missing or malformed.
    BadRequest "bad_request" BAD_REQUEST;
    /// No route matches the host and path.
    NoRoute "no_route" NOT_FOUND;
    /// The API key is missing or unknown.
    Denied "denied" UNAUTHORIZED;
    /// The pool has no usable target.
    NoTarget "no_target" SERVICE_UNAVAILABLE;
    /// All targets of the pool are in evacuated availability zones, or it is not yet known which
    /// zones are evacuated.
    Evacuated "evacuated" SERVICE_UNAVAILABLE;
    /// All targets of the pool that the request may run on asked for a pause in requests.
    Paused "paused" SERVICE_UNAVAILABLE;
    /// No target in an allowed region accepts work.
    NoRegion "no_region" SERVICE_UNAVAILABLE;
    /// All targets of the pool are cold and already get as many requests as they can take.
    WarmingUp "warming_up" SERVICE_UNAVAILABLE;
    /// All targets of the pool are at capacity.
    Full "full" SERVICE_UNAVAILABLE;
    /// The pool has too little room, and the organisation asks for more than its share of it.
    OverShare "over_share" SERVICE_UNAVAILABLE;
    /// The request needs more memory than any target of the pool has.
    TooLarge "too_large" SERVICE_UNAVAILABLE;
    /// No target of the pool has enough free memory.
    NoMemory "no_memory" SERVICE_UNAVAILABLE;
    /// Connections to all targets are slow because this router's own link is congested.
    Congested "congested" SERVICE_UNAVAILABLE;
    /// The caller resumes a stream, and no target runs the software version that began it.
    VersionGone "version_gone" SERVICE_UNAVAILABLE;
    /// The caller resumes a stream, and it is not known which of several software versions began
    /// it.
    OriginUnknown "origin_unknown" SERVICE_UNAVAILABLE;
    /// The software versions of all targets joined just now and are not on record yet, which they
    /// must be before streams begin that may be resumed.
    VersionUnrecorded "version_unrecorded" SERVICE_UNAVAILABLE;
    /// Targets repeatedly crashed while running the request.
    CrashesTargets "crashes_targets" SERVICE_UNAVAILABLE;
    /// Targets refused the request or could not be reached, and no further attempt is allowed.
    Refused "refused" SERVICE_UNAVAILABLE;
    /// The request's deadline passed before it was sent.
    Late "late" SERVICE_UNAVAILABLE;
    /// An attempt may have run but gave no complete answer.
    Failed "failed" BAD_GATEWAY;
    /// The request's deadline passed while a target was processing it.
    TimedOut "timed_out" GATEWAY_TIMEOUT;
}

impl Reason {
    /// Returns whether the caller may succeed a little later, with the same request or, where the
    /// origin of a stream is missing, with one that begins anew.
    #[must_use]
    pub const fn is_transient(self) -> bool {
        matches!(
            self,
            Self::NoConfiguration
                | Self::StaleKeys
                | Self::StaleRoutes
                | Self::NoTarget
                | Self::Evacuated
                | Self::Paused
                | Self::NoRegion
                | Self::WarmingUp
                | Self::Full
                | Self::OverShare
                | Self::NoMemory
                | Self::Congested
                | Self::VersionGone
                | Self::OriginUnknown
                | Self::VersionUnrecorded
                | Self::CrashesTargets
                | Self::Refused
                | Self::Late
        )
    }

    /// Returns whether the caller's connection is closed because another router may serve it: the
    /// load balancer sends only new connections to a router that is ready.
    #[must_use]
    pub const fn closes_connection(self) -> bool {
        matches!(
            self,
            Self::NoConfiguration | Self::StaleKeys | Self::StaleRoutes
        )
    }
}

/// Builds the refusal. `after` is the retry delay, sent only for transient reasons.
#[must_use]
pub fn refuse(reason: Reason, after: Duration) -> Reply {
    let mut reply = Reply::new(body::full(reason.code()));
    *reply.status_mut() = reason.status();
    let headers = reply.headers_mut();
    let code = HeaderValue::from_static(reason.code());
    headers.insert("x-peppercrank-reason", code);
    if reason.closes_connection() {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    if reason.is_transient() {
        let seconds = format!("{:.3}", after.as_secs_f64());
        // Digits and a decimal point are always a valid header value.
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    reply
}
