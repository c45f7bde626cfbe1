// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Shares with other routers at which software version each stream began.

use std::net::SocketAddr;
use std::time::Duration;

use peppercrank_direct::origins::OriginReport;
use peppercrank_direct::origins::Resumption;
use peppercrank_direct::origins::SoftwareVersion;
use peppercrank_direct::origins::StreamId;
use peppercrank_direct::origins::address_reports;
use peppercrank_direct::origins::keepers;
use peppercrank_direct::peers::Datagram;

use crate::flight::Flight;
use crate::gateway::Gateway;
use crate::gossip::DATAGRAM_HEADER_BYTES;
use crate::gossip::send;
use crate::job::Job;
use crate::missed_origins;
use crate::single_version;
use crate::state::State;
use crate::state::may_cross_versions;

/// Time for other routers' answers, after which the origin counts as unknown: a few round trips
/// between availability zones, plus the delay of a busy router.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);

/// Records that a target began to stream the answer to a request, or goes on with a stream that the
/// caller resumed.
pub fn record_stream(gateway: &Gateway, job: &Job, flight: &Flight) {
    let now = gateway.now();
    let named = job.resumption.as_ref().and_then(|r| r.origin.as_deref());
    let stream = StreamId::of(named.unwrap_or(&job.id));
    let mut state = gateway.state();
    state
        .origins
        .record(now, stream, flight.software, job.deadline);
    state.origin_queue.push(stream, &job.pool);
    state.stored_origins.push(stream, &job.pool, job.deadline);
}

/// Finds where a stream that the caller resumes may go on; other requests may go anywhere.
pub async fn find_resumption(gateway: &Gateway, job: &Job) -> Resumption {
    let Some(resumption) = &job.resumption else {
        return Resumption::Anywhere;
    };
    let Some(request) = &resumption.origin else {
        missed_origins::wait_for_first_read(gateway).await;
        return resume_unnamed(gateway, job);
    };
    let origin = match find_origin(gateway, StreamId::of(request)).await {
        Some(version) => Some(version),
        None => find_in_store(gateway, job, StreamId::of(request)).await,
    };
    Resumption::decide(origin, false)
}

/// Returns the version that began a stream which no router knows, by what the store has on record.
async fn find_in_store(gateway: &Gateway, job: &Job, stream: StreamId) -> Option<SoftwareVersion> {
    missed_origins::wait_for_first_read(gateway).await;
    let single = single_version::find(gateway, &job.pool, job.received_at).await;
    // A report may have arrived meanwhile.
    match known_version(gateway, stream).or(single) {
        Some(version) => Some(version),
        None => missed_origins::find(gateway, &job.pool, stream, job.received_at).await,
    }
}

/// Decides where a stream goes on whose caller does not name its origin. It belongs to a fleet that
/// runs one version at a time.
fn resume_unnamed(gateway: &Gateway, job: &Job) -> Resumption {
    let now = gateway.now();
    let state = gateway.state();
    let decided = Resumption::decide(None, !state.may_cross_versions(now, &job.pool));
    let versions = state.directory.software_versions(now, &job.pool);
    match (decided, versions.as_slice()) {
        // Another version may join before the stream goes on.
        (Resumption::Anywhere, [only]) => Resumption::At(only.version),
        _ => decided,
    }
}

/// Returns the version that began a stream, and asks other routers if this one does not know it.
async fn find_origin(gateway: &Gateway, stream: StreamId) -> Option<SoftwareVersion> {
    if let Some(version) = known_version(gateway, stream) {
        return Some(version);
    }
    let asked = other_keepers(gateway, &gateway.state(), stream);
    if asked.is_empty() {
        return None;
    }
    let query = PendingQuery::new(gateway, stream, asked.len());
    for to in asked {
        send(
            gateway,
            &gateway.peer_socket,
            to,
            Datagram::OriginQuery(stream),
        )
        .await;
    }
    let until = gateway.now() + ANSWER_TIMEOUT;
    let origin = gateway.timeout_at(until, query.wait()).await.flatten();
    gateway.metrics.count_origin_query(origin.is_some());
    origin
}

/// Returns the version that began a stream, if this router knows it.
pub fn known_version(gateway: &Gateway, stream: StreamId) -> Option<SoftwareVersion> {
    gateway.state().origins.version(gateway.now(), stream)
}

/// Returns the addresses of the other routers that keep a stream's origin.
fn other_keepers(gateway: &Gateway, state: &State, stream: StreamId) -> Vec<SocketAddr> {
    let own = gateway.settings().name.clone();
    let names = state.routers.keys().map(|name| &**name);
    let keepers = keepers(stream, names.chain([own.as_str()]));
    let others = keepers.iter().filter_map(|name| state.routers.get(*name));
    others.map(|router| router.address).collect()
}

/// A stream's origin that was asked for, until it is dropped.
struct PendingQuery<'a> {
    gateway: &'a Gateway,
    stream: StreamId,
}

impl<'a> PendingQuery<'a> {
    fn new(gateway: &'a Gateway, stream: StreamId, asked: usize) -> Self {
        gateway.state().origins.record_query(stream, asked);
        Self { gateway, stream }
    }

    /// Waits until a router knows the origin, or none of those asked does.
    async fn wait(&self) -> Option<SoftwareVersion> {
        loop {
            let answered = self.gateway.origin_answered.notified();
            let version = known_version(self.gateway, self.stream);
            if version.is_some() || !self.gateway.state().origins.is_awaited(self.stream) {
                return version;
            }
            answered.await;
        }
    }
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        self.gateway.state().origins.end_query(self.stream);
    }
}

/// Reports the streams that began to the routers that keep their origins, and returns the bytes
/// sent.
pub async fn send_reports(gateway: &Gateway) -> usize {
    let mut sent = 0;
    for (to, reports) in next_reports(gateway) {
        sent += send(
            gateway,
            &gateway.peer_socket,
            to,
            Datagram::Origins(reports),
        )
        .await;
        sent += DATAGRAM_HEADER_BYTES;
    }
    sent
}

fn next_reports(gateway: &Gateway) -> Vec<(SocketAddr, Vec<OriginReport>)> {
    let now = gateway.now();
    let own = gateway.settings().name.clone();
    let mut state = gateway.state();
    let State {
        origin_queue,
        origins,
        directory,
        version_records,
        routers,
        ..
    } = &mut *state;
    if origin_queue.is_empty() {
        return Vec::new();
    }
    let reports = origin_queue.take_reports(now, origins, |pool| {
        may_cross_versions(directory, version_records, now, pool)
    });
    let names = routers.keys().map(|name| &**name).collect::<Vec<_>>();
    let addressed = address_reports(&reports, &own, &names);
    let addressed = addressed.into_iter();
    let to = |(name, reports)| Some((routers.get::<str>(name)?.address, reports));
    addressed.filter_map(to).collect()
}

/// Records another router's reports.
pub fn receive_reports(gateway: &Gateway, reports: &[OriginReport]) {
    let now = gateway.now();
    let mut state = gateway.state();
    for report in reports {
        state.origins.record_report(now, *report);
    }
    drop(state);
    gateway.origin_answered.notify_waiters();
}

/// Answers another router's query.
pub async fn answer_query(gateway: &Gateway, from: SocketAddr, stream: StreamId) {
    let report = gateway.state().origins.report(gateway.now(), stream);
    let answer = match report {
        Some(report) => Datagram::Origins(vec![report]),
        None => Datagram::OriginUnknown(stream),
    };
    send(gateway, &gateway.peer_socket, from, answer).await;
}

/// Records that another router does not know a stream's origin.
pub fn receive_unknown(gateway: &Gateway, stream: StreamId) {
    gateway.state().origins.record_unknown(stream);
    gateway.origin_answered.notify_waiters();
}
