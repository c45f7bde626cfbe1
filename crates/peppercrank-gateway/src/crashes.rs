// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Finds out under which requests targets ended, and tells other routers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_direct::congestion::is_congested;
use peppercrank_direct::content::Fingerprint;
use peppercrank_direct::peers::Datagram;
use peppercrank_direct::peers::TargetId;
use peppercrank_direct::quarantine::CrashReport;
use peppercrank_direct::quarantine::ProbeAction;
use peppercrank_direct::quarantine::Update;
use peppercrank_direct::quarantine::spread::BATCH_DELAY;
use peppercrank_direct::quarantine::spread::Broadcast;
use peppercrank_direct::quarantine::spread::Gossip;
use peppercrank_direct::quarantine::spread::RETRANSMIT_INTERVAL;
use peppercrank_direct::quarantine::spread::STARTUP_FANOUT;
use peppercrank_direct::quarantine::spread::missing_reports;
use peppercrank_direct::quarantine::spread::should_relay;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::choose::link_state;
use crate::flight::Flight;
use crate::gateway::Gateway;
use crate::gossip::HEADERS;
use crate::gossip::draw;
use crate::gossip::send;
use crate::job::Job;

/// `tell` tells other routers at once under which requests targets ended, and reminds them of what is quarantined.
pub async fn tell(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut spread = Gossip::new(gateway.now());
    ask_others(&gateway, &socket).await;
    loop {
        wait(&gateway).await;
        sleep(BATCH_DELAY).await;
        turn(&gateway, &socket, &mut spread).await;
    }
}

/// Asks others what is quarantined, once this router has read who they are.
async fn ask_others(gateway: &Gateway, socket: &UdpSocket) {
    gateway.routers_listed.notified().await;
    let peers = draw(&gateway.state(), STARTUP_FANOUT);
    for to in peers {
        send(gateway, socket, to, Datagram::CrashReports(Vec::new())).await;
    }
}

/// Waits for news, or for the time to tell what is known again.
async fn wait(gateway: &Gateway) {
    let news = gateway.crashed.notified();
    if gateway.state().quarantine.is_empty() {
        return news.await;
    }
    // Over at the time or before it: either way there is something to tell.
    let _over = timeout(RETRANSMIT_INTERVAL, news).await;
}

async fn turn(gateway: &Gateway, socket: &UdpSocket, spread: &mut Gossip) {
    let Some((reports, peers)) = next(gateway, spread) else {
        return;
    };
    let datagram = Datagram::CrashReports(reports);
    for to in peers {
        let bytes = send(gateway, socket, to, datagram.clone()).await;
        spread.record_sent(bytes + HEADERS);
    }
}

/// What is told now, and to whom.
fn next(gateway: &Gateway, spread: &mut Gossip) -> Option<(Vec<CrashReport>, Vec<SocketAddr>)> {
    let now = gateway.now();
    let mut state = gateway.state();
    let Broadcast {
        reports,
        fanout: peers,
    } = spread.next_broadcast(now, &mut state.quarantine)?;
    Some((reports, draw(&state, peers)))
}

/// `broke_off` finds out whether a target has ended whose answer to a request broke off.
pub async fn broke_off(gateway: &Arc<Gateway>, job: &Job, flight: &Flight) {
    let content = job.fingerprint();
    let target = flight.target;
    let broken = gateway
        .state()
        .quarantine
        .record_broken_answer(content, target);
    if broken == ProbeAction::AlreadyProbing {
        return;
    }
    // From a task of its own, as a caller who leaves must not take the answer from the others that wait for it.
    let asking = tokio::spawn(ask(Arc::clone(gateway), target, flight.address));
    if broken == ProbeAction::ProbeFirst {
        // It ends early only with the process.
        let _over = asking.await;
    }
}

/// Finds out whether a target has ended: then nobody listens there.
async fn ask(gateway: Arc<Gateway>, target: TargetId, address: SocketAddr) {
    let connected = gateway.client.connect(address).await.is_ok();
    // Where this router's own link is at fault, nothing is known of the target.
    if connected || is_congested(&link_state(&gateway)) {
        gateway.state().quarantine.record_alive(target);
        return;
    }
    let changes = gateway
        .state()
        .quarantine
        .record_crash(gateway.now(), target);
    for (content, change) in changes {
        learnt(&gateway, content, change);
    }
}

/// `started_again` notes that a target has started again with a request at work.
pub fn started_again(gateway: &Gateway, job: &Job, flight: &Flight) {
    let content = job.fingerprint();
    let now = gateway.now();
    let mut state = gateway.state();
    let change = state
        .quarantine
        .record_crash_of(now, content, flight.target);
    drop(state);
    learnt(gateway, content, change);
}

/// `quarantined` returns once a request in progress is quarantined.
pub async fn quarantined(gateway: &Gateway, job: &Job) {
    loop {
        let news = gateway.quarantined.notified();
        if refuses(gateway, job).is_some() {
            return;
        }
        news.await;
    }
}

/// `refuses` tells whether a request is kept from targets, as too many have ended under it, and when its caller should
/// return.
#[must_use]
pub fn refuses(gateway: &Gateway, job: &Job) -> Option<Duration> {
    let now = gateway.now();
    let mut state = gateway.state();
    if state.quarantine.is_empty() {
        return None;
    }
    state.quarantine.refuse(now, job.fingerprint())
}

/// Tells the log and other routers what this one has learnt.
fn learnt(gateway: &Gateway, content: Fingerprint, change: Update) {
    match change {
        Update::Unchanged => return,
        Update::NewEvidence => {}
        Update::Quarantined => gateway.note_quarantined(content, "here"),
    }
    gateway.crashed.notify_one();
}

/// `hear` takes in what another router told, and tells it what it does not know.
pub async fn hear(
    gateway: &Gateway,
    socket: &UdpSocket,
    from: SocketAddr,
    reports: &[CrashReport],
) {
    let unknown = take(gateway, reports);
    if !unknown.is_empty() {
        send(gateway, socket, from, Datagram::CrashReports(unknown)).await;
    }
}

/// Takes in reports, and returns what their sender does not know.
fn take(gateway: &Gateway, reports: &[CrashReport]) -> Vec<CrashReport> {
    let now = gateway.now();
    let mut state = gateway.state();
    let relay = should_relay(state.routers.len());
    let mut quarantined = Vec::new();
    for report in reports {
        if state.quarantine.merge_report(now, report, relay) == Update::Quarantined {
            quarantined.push(report.fingerprint());
        }
    }
    let unknown = missing_reports(now, &state.quarantine, reports);
    let news = state.quarantine.has_pending_reports();
    drop(state);
    if news {
        gateway.crashed.notify_one();
    }
    for content in quarantined {
        gateway.note_quarantined(content, "router");
    }
    unknown
}
