// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Finds out under which requests targets ended, and tells other routers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Moment;
use peppercrank_direct::congestion::is_congested;
use peppercrank_direct::content::Fingerprint;
use peppercrank_direct::peers::Datagram;
use peppercrank_direct::peers::TargetId;
use peppercrank_direct::quarantine::Broken;
use peppercrank_direct::quarantine::Change;
use peppercrank_direct::quarantine::CrashReport;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::choose::link_state;
use crate::flight::Flight;
use crate::gateway::Gateway;
use crate::gossip::HEADERS;
use crate::gossip::send;
use crate::job::Job;
use crate::state::State;

/// Routers that a datagram goes to. In a larger fleet each that learns something new passes it on, so that news reaches
/// some hundred routers in four turns.
const FANOUT: usize = 4;

/// Routers that a reminder goes to: a router that has just started hears four of them in its first second, at any
/// number of routers.
const REMINDED: usize = 2;

/// Pause between reminders.
const REMINDER_EVERY: Duration = Duration::from_millis(500);

/// Pause between tellings of the same news, so that one loss does not take both.
const AGAIN: Duration = Duration::from_millis(100);

/// Time in which news gathers for one datagram: all answers of a target that ends break off within a few milliseconds.
const GATHER: Duration = Duration::from_millis(5);

/// Bytes a second that crash reports may take, headers included: a quarter of what a router may send for control. Where no
/// target crashes none are sent.
const BYTES_A_SECOND: u128 = 1_024;

/// Bytes that are saved up for the moment at which targets crash: some ten reports to each of four routers, twice.
const SAVED: usize = 4_096;

/// `Teller` sends crash reports within its allowance of bytes.
#[derive(Debug)]
struct Teller {
    /// Bytes that may be sent now.
    allowance: usize,
    earned: Moment,
    reminded: Moment,
}

/// `tell` tells other routers at once under which requests targets ended, and reminds them of what is quarantined.
pub async fn tell(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut teller = Teller {
        allowance: SAVED,
        earned: gateway.now(),
        reminded: gateway.now(),
    };
    loop {
        wait(&gateway).await;
        sleep(GATHER).await;
        teller.turn(&gateway, &socket).await;
    }
}

/// Waits for news, or for the time to tell what is known again.
async fn wait(gateway: &Gateway) {
    let news = gateway.crashed.notified();
    if gateway.state().quarantine.is_empty() {
        return news.await;
    }
    // Over at the time or before it: either way there is something to tell.
    let _over = timeout(AGAIN, news).await;
}

impl Teller {
    async fn turn(&mut self, gateway: &Gateway, socket: &UdpSocket) {
        let now = gateway.now();
        let earned = now.since(self.earned).as_millis() * BYTES_A_SECOND / 1_000;
        let earned = usize::try_from(earned).unwrap_or(SAVED);
        self.allowance = self.allowance.saturating_add(earned).min(SAVED);
        self.earned = now;
        let (reports, peers) = self.next(now, &mut gateway.state());
        if reports.is_empty() {
            return;
        }
        let datagram = Datagram::Crashes(reports);
        for to in peers {
            let bytes = send(gateway, socket, to, datagram.clone()).await;
            self.allowance = self.allowance.saturating_sub(bytes + HEADERS);
        }
    }

    /// What is told in this turn, and to whom.
    fn next(&mut self, now: Moment, state: &mut State) -> (Vec<CrashReport>, Vec<SocketAddr>) {
        state.quarantine.expire(now);
        if self.allowance == 0 {
            return Default::default();
        }
        let news = state.quarantine.tell(now);
        if !news.is_empty() {
            return (news, draw(state, FANOUT));
        }
        if now.since(self.reminded) < REMINDER_EVERY {
            return Default::default();
        }
        self.reminded = now;
        (state.quarantine.remind(now), draw(state, REMINDED))
    }
}

/// So many other routers, drawn anew each time.
fn draw(state: &State, count: usize) -> Vec<SocketAddr> {
    let peers = state.routers.values().map(|r| r.address);
    let peers = peers.collect::<Vec<_>>();
    if peers.is_empty() {
        return peers;
    }
    let first = rand::random_range(0..peers.len());
    let turned = peers.iter().cycle().skip(first);
    turned.take(count.min(peers.len())).copied().collect()
}

/// `broke_off` finds out whether a target has ended whose answer to a request broke off.
pub async fn broke_off(gateway: &Arc<Gateway>, job: &Job, flight: &Flight) {
    let content = job.fingerprint();
    let target = flight.target;
    let broken = gateway.state().quarantine.broke_off(content, target);
    if broken == Broken::Asked {
        return;
    }
    // From a task of its own, as a caller who leaves must not take the answer from the others that wait for it.
    let asking = tokio::spawn(ask(Arc::clone(gateway), target, flight.address));
    if broken == Broken::AskFirst {
        // It ends early only with the process.
        let _over = asking.await;
    }
}

/// Finds out whether a target has ended: then nobody listens there.
async fn ask(gateway: Arc<Gateway>, target: TargetId, address: SocketAddr) {
    let connected = gateway.client.connect(address).await.is_ok();
    // Where this router's own link is at fault, nothing is known of the target.
    if connected || is_congested(&link_state(&gateway)) {
        gateway.state().quarantine.lives(target);
        return;
    }
    let changes = gateway.state().quarantine.ended(gateway.now(), target);
    for (content, change) in changes {
        learnt(&gateway, content, change);
    }
}

/// `started_again` notes that a target has started again with a request at work.
pub fn started_again(gateway: &Gateway, job: &Job, flight: &Flight) {
    let content = job.fingerprint();
    let now = gateway.now();
    let mut state = gateway.state();
    let change = state.quarantine.ended_under(now, content, flight.target);
    drop(state);
    learnt(gateway, content, change);
}

/// Tells the log and other routers what this one has learnt.
fn learnt(gateway: &Gateway, content: Fingerprint, change: Change) {
    match change {
        Change::Known => return,
        Change::News => {}
        Change::Quarantined => gateway.log_quarantined(content, "here"),
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
        send(gateway, socket, from, Datagram::Crashes(unknown)).await;
    }
}

/// Takes in reports, and returns what their sender does not know.
fn take(gateway: &Gateway, reports: &[CrashReport]) -> Vec<CrashReport> {
    let now = gateway.now();
    let mut state = gateway.state();
    let relay = state.routers.len() > FANOUT;
    let mut unknown = Vec::new();
    let mut quarantined = Vec::new();
    for report in reports {
        if state.quarantine.hear(now, report, relay) == Change::Quarantined {
            quarantined.push(report.content());
        }
        unknown.extend(state.quarantine.answer(now, report));
    }
    let news = state.quarantine.has_news();
    drop(state);
    if news {
        gateway.crashed.notify_one();
    }
    for content in quarantined {
        gateway.log_quarantined(content, "router");
    }
    unknown
}
