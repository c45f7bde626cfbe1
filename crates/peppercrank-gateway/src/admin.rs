// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Answers the load balancer's health checks and serves the metrics.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderValue;
use http::StatusCode;
use http::header;
use peppercrank_core::events::Event;
use peppercrank_log::Field;
use peppercrank_platform::READY_PATH;
use peppercrank_wire::body;
use peppercrank_wire::edge::Call;
use peppercrank_wire::edge::Reply;

use crate::gateway::Gateway;

/// Share of the maximum key age after which a router reports that it is not ready, so that callers
/// go to routers that may still reach the store.
const READY_SHARE: f64 = 0.5;

/// Time without the store after which a router reports that it is not ready. Even if other routers
/// confirm that its keys are current, it does not learn of targets that join and leave.
const MAX_STORE_OUTAGE: Duration = Duration::from_millis(1_500);

/// Time after the first list of targets for which a router that has not read which software versions
/// served is not ready. After it, streams whose origin it does not know are refused.
const MAX_RECORDS_WAIT: Duration = Duration::from_secs(2);

/// Returns whether the router should get new callers.
#[must_use]
pub fn is_ready(gateway: &Gateway) -> bool {
    let now = gateway.now();
    let settings = gateway.settings();
    let state = gateway.state();
    let age = state.freshness.age(now);
    let keys_fresh = match (age, settings.keys) {
        (None, _) => false,
        (Some(_), None) => true,
        (Some(age), Some(keys)) => age < keys.revoke.mul_f64(READY_SHARE),
    };
    let in_touch = state
        .store_down_since
        .is_none_or(|since| now.since(since) < MAX_STORE_OUTAGE);
    let knows_records = |listed_at| state.records_read || now.since(listed_at) >= MAX_RECORDS_WAIT;
    let listed_at = state.directory.first_listed_at();
    let listed = listed_at.is_some_and(knows_records) && state.directory.evacuations.is_listed();
    keys_fresh && in_touch && listed && !gateway.stop_signal.is_stopping()
}

/// Answers the load balancer's health check, and logs when the router's readiness changes.
#[must_use]
pub fn ready(gateway: &Gateway, call: &Call) -> Reply {
    let mut reply = Reply::new(body::empty());
    let ready = is_ready(gateway);
    *reply.status_mut() = match call.head.uri.path() {
        READY_PATH if ready => StatusCode::OK,
        READY_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    if gateway.reported_ready.swap(ready, Ordering::Relaxed) != ready {
        let stopping = gateway.stop_signal.is_stopping();
        let fields = [
            ("ready", Field::Number(u64::from(ready))),
            ("stopping", Field::Number(u64::from(stopping))),
        ];
        let fields = [&fields[..], &gateway.state_summary().log_fields()[..]].concat();
        gateway.log.write(Event::Ready, &fields);
    }
    reply
}

/// Answers a request for the metrics.
#[must_use]
pub fn metrics(gateway: &Arc<Gateway>, call: &Call) -> Reply {
    if call.head.uri.path() != "/metrics" {
        let mut reply = Reply::new(body::empty());
        *reply.status_mut() = StatusCode::NOT_FOUND;
        return reply;
    }
    let mut reply = Reply::new(body::full(gateway.metrics.render(gateway)));
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}
