// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The gateway's own answers: refusals, with a counter for each reason.

use std::time::Duration;

use http::HeaderValue;
use http::StatusCode;
use http::header;
use peppercrank_wire::body;
use peppercrank_wire::edge::Reply;

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident $code:literal $status:ident;)*) => {
        /// `Reason` is why a request got no target's answer.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// All reasons, in the order of their definition.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// `code` is the reason's stable code in answers, logs and metrics.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self {
                    $(Self::$name => $code,)*
                }
            }

            /// `status` is the status that the caller gets.
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
    /// No configuration was read yet.
    NoConfiguration "no_configuration" SERVICE_UNAVAILABLE;
    /// What is known of keys is too old to be trusted.
    StaleKeys "stale_keys" SERVICE_UNAVAILABLE;
    /// No route matches, but what is known of routes is too old to tell.
    StaleRoutes "stale_routes" SERVICE_UNAVAILABLE;
    /// A header that must be there is missing or malformed.
    BadRequest "bad_request" BAD_REQUEST;
    /// No route matches the host and path.
    NoRoute "no_route" NOT_FOUND;
    /// The key is missing or nobody's.
    Denied "denied" UNAUTHORIZED;
    /// The pool has no target.
    NoTarget "no_target" SERVICE_UNAVAILABLE;
    /// All targets of the pool are in evacuated availability zones, or it is not known yet which zones are evacuated.
    Evacuated "evacuated" SERVICE_UNAVAILABLE;
    /// All targets of the pool that it may run on want no requests for a while.
    Paused "paused" SERVICE_UNAVAILABLE;
    /// No target in a region in which it may run takes work.
    NoRegion "no_region" SERVICE_UNAVAILABLE;
    /// All targets of the pool are cold and get what they bear.
    WarmingUp "warming_up" SERVICE_UNAVAILABLE;
    /// All targets of the pool are full.
    Full "full" SERVICE_UNAVAILABLE;
    /// Connections to all targets are slow: this router's own link is full.
    Congested "congested" SERVICE_UNAVAILABLE;
    /// Targets ended under it again and again.
    CrashesTargets "crashes_targets" SERVICE_UNAVAILABLE;
    /// Targets refused it, or could not be reached, and no further attempt is allowed.
    Refused "refused" SERVICE_UNAVAILABLE;
    /// Its time passed before it was sent.
    Late "late" SERVICE_UNAVAILABLE;
    /// An attempt may have run and gave no whole answer.
    Failed "failed" BAD_GATEWAY;
    /// Its time passed while a target was at work on it.
    TimedOut "timed_out" GATEWAY_TIMEOUT;
}

impl Reason {
    /// `passes` tells whether the same request may fare better a little later.
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
                | Self::Congested
                | Self::CrashesTargets
                | Self::Refused
                | Self::Late
        )
    }

    /// `parts` tells whether the caller fares better by another router, so that its connection is closed:
    /// only a new one comes to a router that is ready.
    #[must_use]
    pub const fn closes_connection(self) -> bool {
        matches!(
            self,
            Self::NoConfiguration | Self::StaleKeys | Self::StaleRoutes
        )
    }
}

/// `refuse` makes the answer; `after` tells when to come back, where that helps.
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
        // Digits and a point are always a header's value.
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    reply
}
