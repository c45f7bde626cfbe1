// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Detects requests and parts of prompts that crash targets and shares this knowledge with other routers.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use peppercrank_core::time::Instant;
use peppercrank_direct::congestion::is_congested;
use peppercrank_direct::content::Fingerprint;
use peppercrank_direct::peers::Datagram;
use peppercrank_direct::peers::TargetId;
use peppercrank_direct::quarantine::CrashReport;
use peppercrank_direct::quarantine::ProbeAction;
use peppercrank_direct::quarantine::SURVIVAL_TIME;
use peppercrank_direct::quarantine::Subject;
use peppercrank_direct::quarantine::Update;
use peppercrank_direct::quarantine::spread::BATCH_DELAY;
use peppercrank_direct::quarantine::spread::Broadcast;
use peppercrank_direct::quarantine::spread::RETRANSMIT_INTERVAL;
use peppercrank_direct::quarantine::spread::STARTUP_FANOUT;
use peppercrank_direct::quarantine::spread::should_relay;
use peppercrank_wire::client::Cause;
use peppercrank_wire::client::Framing;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::choose::link_state;
use crate::flight::Flight;
use crate::gateway::Gateway;
use crate::gossip::DATAGRAM_HEADER_BYTES;
use crate::gossip::random_peers;
use crate::gossip::send;
use crate::job::Job;
use crate::state::State;

/// Sends reports of new crashes to other routers at once, and periodic reminders of what is
/// quarantined.
pub async fn send_crash_reports(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    request_reports(&gateway, &socket).await;
    loop {
        wait_for_news(&gateway).await;
        sleep(BATCH_DELAY).await;
        settle_parts(&gateway);
        for subject in [Subject::Request, Subject::Part] {
            send_next_reports(&gateway, &socket, subject).await;
        }
    }
}

/// Requests what is quarantined from other routers once their list was read.
async fn request_reports(gateway: &Gateway, socket: &UdpSocket) {
    gateway.routers_listed.notified().await;
    let peers = random_peers(&gateway.state(), STARTUP_FANOUT);
    for to in peers {
        for subject in [Subject::Request, Subject::Part] {
            send_reports(gateway, socket, to, subject, Vec::new()).await;
        }
    }
}

/// Waits for news, or until known crashes are due to be reported again.
async fn wait_for_news(gateway: &Gateway) {
    let news = gateway.crash_news.notified();
    if !has_evidence(&gateway.state()) {
        return news.await;
    }
    // Both new crashes and the end of the interval mean that there are reports to send.
    let _result = timeout(RETRANSMIT_INTERVAL, news).await;
}

fn has_evidence(state: &State) -> bool {
    !(state.quarantine.is_empty() && state.part_quarantine.is_empty())
}

async fn send_next_reports(gateway: &Gateway, socket: &UdpSocket, subject: Subject) {
    let Some((reports, peers)) = next_reports(gateway, subject) else {
        return;
    };
    for to in peers {
        send_reports(gateway, socket, to, subject, reports.clone()).await;
    }
}

/// Sends crash reports to another router, and counts their bytes.
async fn send_reports(
    gateway: &Gateway,
    socket: &UdpSocket,
    to: SocketAddr,
    subject: Subject,
    reports: Vec<CrashReport>,
) {
    let datagram = match subject {
        Subject::Request => Datagram::CrashReports(reports),
        Subject::Part => Datagram::PartReports(reports.into_iter().map(Into::into).collect()),
    };
    let bytes = send(gateway, socket, to, datagram).await;
    let mut state = gateway.state();
    let (_, gossip) = state.quarantine_of(subject);
    gossip.record_sent(bytes + DATAGRAM_HEADER_BYTES);
}

/// Returns the next reports and their recipients.
fn next_reports(
    gateway: &Gateway,
    subject: Subject,
) -> Option<(Vec<CrashReport>, Vec<SocketAddr>)> {
    let now = gateway.now();
    let mut state = gateway.state();
    let (quarantine, gossip) = state.quarantine_of(subject);
    let Broadcast {
        reports,
        fanout: peers,
    } = gossip.next_broadcast(now, quarantine)?;
    Some((reports, random_peers(&state, peers)))
}

/// Checks whether a target crashed after its answer to a request broke off.
pub async fn check_for_crash(gateway: &Arc<Gateway>, job: &Job, flight: &Flight) {
    let target = flight.target_id;
    let action = record_broken_answer(gateway, job, flight);
    if action == ProbeAction::AlreadyProbing {
        return;
    }
    // Probed in its own task: if this caller disconnects, other requests still need the result.
    let probe = tokio::spawn(probe_target(Arc::clone(gateway), target, flight.address));
    if action == ProbeAction::ProbeFirst {
        // The task fails only when the process ends.
        let _result = probe.await;
    }
}

/// Records that an answer broke off, and returns what to do about its target.
fn record_broken_answer(gateway: &Gateway, job: &Job, flight: &Flight) -> ProbeAction {
    let content = job.fingerprint();
    let target = flight.target_id;
    let parts = suspect_parts(gateway, job, flight);
    let mut state = gateway.state();
    let action = state.quarantine.record_broken_answer(content, target);
    match state
        .part_quarantine
        .record_broken_parts(content, parts, target)
    {
        ProbeAction::ProbeFirst => ProbeAction::ProbeFirst,
        ProbeAction::Probe | ProbeAction::AlreadyProbing => action,
    }
}

/// Returns the parts of a lost attempt's prompt that may have crashed its target: none if the target
/// went on after it had begun its answer.
fn suspect_parts<'a>(gateway: &Gateway, job: &'a Job, flight: &Flight) -> &'a [Fingerprint] {
    let now = gateway.now();
    match flight.began_at {
        Some(at) if now.since(at) >= SURVIVAL_TIME => &[],
        Some(_) | None => &job.part_fingerprints,
    }
}

/// Probes a target with a connection, which is refused if the target has crashed.
async fn probe_target(gateway: Arc<Gateway>, target: TargetId, address: SocketAddr) {
    let connected = gateway.client.connect(address).await.is_ok();
    // When this router's own link is congested, a failed connection says nothing about the target.
    if connected || is_congested(&link_state(&gateway)) {
        let mut state = gateway.state();
        state.quarantine.record_alive(target);
        state.part_quarantine.record_alive(target);
        return;
    }
    let now = gateway.now();
    let mut state = gateway.state();
    if let Some(key) = state.keys_by_id.get(&target).copied()
        && let Some(stats) = state.board.get_mut(key)
    {
        stats.record_unreachable();
    }
    let requests = state.quarantine.record_crash(now, target);
    let parts = state.part_quarantine.record_crash(now, target);
    drop(state);
    report_changes(&gateway, Subject::Request, &requests);
    report_changes(&gateway, Subject::Part, &parts);
}

/// Returns whether a target's process has ended: its address refuses connections.
///
/// That its entry is gone shows no end, as entries are also dropped after an outage of the store.
pub async fn has_ended(gateway: &Gateway, flight: &Flight) -> bool {
    // A connection that times out may be the fault of the network, and shows no end.
    let refused = Err(Cause::Connect(ErrorKind::ConnectionRefused));
    gateway.client.connect(flight.address).await == refused
}

/// Records that a target restarted while it was processing a request.
pub fn record_restart(gateway: &Gateway, job: &Job, flight: &Flight) {
    let content = job.fingerprint();
    let target = flight.target_id;
    let parts = suspect_parts(gateway, job, flight);
    let now = gateway.now();
    let mut state = gateway.state();
    let change = state.quarantine.record_crash_of(now, content, target);
    let parts = state
        .part_quarantine
        .record_crash_of_parts(now, content, parts, target);
    drop(state);
    report_changes(gateway, Subject::Request, &[(content, change)]);
    report_changes(gateway, Subject::Part, &parts);
}

/// Records that a target completed an answer, which clears the request, and the parts of its prompt
/// if the target went on from them.
///
/// Where only the connection's end tells the answer's, a crash may have ended it.
pub fn record_served(gateway: &Gateway, job: &Job, flight: &Flight, status: StatusCode) {
    let now = gateway.now();
    let began_at = flight.began_at.unwrap_or(now);
    let has_survived = now.since(began_at) >= SURVIVAL_TIME;
    if flight.framing == Some(Framing::Close) && !has_survived {
        return;
    }
    let mut state = gateway.state();
    if !state.quarantine.is_empty() {
        state.quarantine.record_success(now, job.fingerprint());
    }
    if status.is_success() {
        record_sound_parts(&mut state, job, began_at);
    }
}

/// Records that a target goes on with an answer, once that shows that no part of the prompt crashed
/// it.
pub fn record_survival(gateway: &Gateway, job: &Job, flight: &mut Flight) {
    let Some(began_at) = flight.began_at.filter(|_| !flight.has_survived) else {
        return;
    };
    if gateway.now().since(began_at) >= SURVIVAL_TIME {
        flight.has_survived = true;
        record_sound_parts(&mut gateway.state(), job, began_at);
    }
}

fn record_sound_parts(state: &mut State, job: &Job, began_at: Instant) {
    for part in &job.part_fingerprints {
        state.part_quarantine.record_success(began_at, *part);
    }
}

/// Returns once the request is quarantined.
pub async fn wait_until_quarantined(gateway: &Gateway, job: &Job) {
    loop {
        let news = gateway.quarantine_changed.notified();
        if quarantine_delay(gateway, job).is_some() {
            return;
        }
        news.await;
    }
}

/// Returns when the caller of a request should retry that is quarantined or holds a quarantined part;
/// `None` if there is no such reason.
#[must_use]
pub fn quarantine_delay(gateway: &Gateway, job: &Job) -> Option<Duration> {
    let now = gateway.now();
    let mut state = gateway.state();
    if !has_evidence(&state) {
        return None;
    }
    let parts = &mut state.part_quarantine;
    let refused = job
        .part_fingerprints
        .iter()
        .find_map(|p| parts.refuse(now, *p));
    if refused.is_some() || state.quarantine.is_empty() {
        return refused;
    }
    state.quarantine.refuse(now, job.fingerprint())
}

/// Returns what of a refused request is quarantined, and its fingerprint.
#[must_use]
pub fn quarantine_cause(gateway: &Gateway, job: &Job) -> (Subject, String) {
    let parts = &gateway.state().part_quarantine;
    let part = job
        .part_fingerprints
        .iter()
        .find(|p| parts.is_quarantined(**p));
    match part {
        Some(part) => (Subject::Part, part.to_string()),
        None => (Subject::Request, job.fingerprint().to_string()),
    }
}

/// Returns the log field that holds the fingerprint of a request or of a part of prompts.
#[must_use]
pub const fn log_key(subject: Subject) -> &'static str {
    match subject {
        Subject::Request => "content",
        Subject::Part => "part",
    }
}

/// Logs changes and schedules reports to other routers.
fn report_changes(gateway: &Gateway, subject: Subject, changes: &[(Fingerprint, Update)]) {
    for (fingerprint, change) in changes {
        match change {
            Update::Unchanged => continue,
            Update::NewEvidence => {}
            Update::Quarantined => gateway.record_quarantined(subject, *fingerprint, "here"),
        }
        gateway.crash_news.notify_one();
    }
}

/// Quarantines the parts for which that was put off until it was clear which one is at fault.
fn settle_parts(gateway: &Gateway) {
    let now = gateway.now();
    let quarantined = gateway.state().part_quarantine.settle(now);
    for part in quarantined {
        gateway.record_quarantined(Subject::Part, part, "here");
    }
}

/// Applies another router's crash reports and replies with those that it lacks.
pub async fn receive_reports(
    gateway: &Gateway,
    socket: &UdpSocket,
    from: SocketAddr,
    subject: Subject,
    reports: &[CrashReport],
) {
    let unknown = apply_reports(gateway, subject, reports);
    if !unknown.is_empty() {
        send_reports(gateway, socket, from, subject, unknown).await;
    }
}

/// Applies crash reports, and returns the reports that their sender lacks.
fn apply_reports(gateway: &Gateway, subject: Subject, reports: &[CrashReport]) -> Vec<CrashReport> {
    let now = gateway.now();
    let mut state = gateway.state();
    let relay = should_relay(state.routers.len());
    let (quarantine, gossip) = state.quarantine_of(subject);
    let mut quarantined = Vec::new();
    for report in reports {
        if quarantine.merge_report(now, report, relay) == Update::Quarantined {
            quarantined.push(report.fingerprint());
        }
    }
    quarantined.extend(quarantine.settle(now));
    let unknown = gossip.reply(now, quarantine, reports);
    let news = quarantine.has_pending_reports();
    drop(state);
    if news {
        gateway.crash_news.notify_one();
    }
    for fingerprint in quarantined {
        gateway.record_quarantined(subject, fingerprint, "router");
    }
    unknown
}
