// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How often a request that crashes targets reaches them when it arrives repeatedly at any router
//! of a fleet.
//!
//! The requirement is that, from 3 s after three targets have crashed under a request, it reaches
//! targets at most three times, summed over all routers. The test simulates it in virtual time:
//! targets take 20 to 500 ms to crash and 3 s to recover, everything in flight on them breaks off,
//! each arrival may be sent to two of them, datagrams take 1 to 3 ms, and one in a hundred is lost.
//! `cargo test -p peppercrank-direct --test verify_spread -- --nocapture` prints the figures.

use std::collections::BTreeMap;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::content::Fingerprint;
use peppercrank_direct::peers::Datagram;
use peppercrank_direct::peers::TargetId;
use peppercrank_direct::quarantine::CrashReport;
use peppercrank_direct::quarantine::ProbeAction;
use peppercrank_direct::quarantine::Quarantine;
use peppercrank_direct::quarantine::Update;
use peppercrank_direct::quarantine::spread::BATCH_DELAY;
use peppercrank_direct::quarantine::spread::Gossip;
use peppercrank_direct::quarantine::spread::RETRANSMIT_INTERVAL;
use peppercrank_direct::quarantine::spread::STARTUP_FANOUT;
use peppercrank_direct::quarantine::spread::missing_reports;
use peppercrank_direct::quarantine::spread::should_relay;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;

const CRASHING: Fingerprint = Fingerprint(7);

/// Time after the third crash from which the requirement applies.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Maximum number of sends that the requirement allows after that.
const MAX_LATE_SENDS: usize = 3;

/// Shortest time between a starting router's queries and its first requests, in which it reads the
/// configuration and the targets and notifies the balancer.
const STARTUP_TIME: Duration = Duration::from_millis(20);

/// Maximum number of sends after that by routers that have just started: a router that waits for
/// its answers may send the request to two targets.
const MAX_STARTUP_SENDS: usize = 2;

/// Simulated time.
const SIMULATED_TIME: Duration = Duration::from_secs(60);

/// Time in which a crashed target recovers.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// Size of a datagram's IPv4 and UDP headers, in bytes.
const HEADER_BYTES: usize = 28;

/// Maximum mean bandwidth of a router for crash reports: a quarter of its limit for control
/// traffic.
const BYTES_PER_SECOND: usize = 1_024;

/// Burst that the limit allows, plus the last broadcast, which may exceed it.
const BURST_BYTES: usize = 4_096 + 4 * 1_228;

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    routers: usize,
    targets: usize,
    /// Arrivals per second.
    arrivals: u64,
    /// Whether routers restart in turn, one per second.
    rolling_restart: bool,
    seed: u64,
}

#[derive(Debug)]
enum Event {
    /// The request arrives at a router.
    Arrival,
    /// A target crashes, unless it has been restarted since.
    Crash(usize, TargetId),
    /// A router sends its pending reports.
    Broadcast(usize),
    /// A router receives a datagram: the receiver, the sender and the reports.
    Receive(usize, usize, Vec<CrashReport>),
    /// A router restarts.
    Restart(usize),
}

#[derive(Debug)]
struct Router {
    quarantine: Quarantine,
    gossip: Gossip,
    started_at: Instant,
    /// Whether the next broadcast is scheduled.
    broadcast_scheduled: bool,
    bytes_sent: usize,
}

#[derive(Debug)]
struct Target {
    start: TargetId,
    up_at: Instant,
    /// Sends in flight: their routers, and whether the request may be retried.
    in_flight: Vec<(usize, bool)>,
}

/// Results of a simulation.
#[derive(Debug, Default)]
struct Results {
    sends: usize,
    /// Sends later than `SETTLE_TIME` after the third crash, by routers that have been up for that
    /// long.
    late_sends: usize,
    /// Sends in the same time by routers that have just started.
    startup_sends: usize,
    crashes: usize,
    /// Most bytes sent by one router.
    max_bytes: usize,
    /// Time from the third crash until all routers refuse the request.
    settled_after: Option<Duration>,
}

struct Simulation {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    events_scheduled: u64,
    routers: Vec<Router>,
    targets: Vec<Target>,
    starts: u32,
    third_crash: Option<Instant>,
    results: Results,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let now = Instant::from_millis(1_000_000);
        let router = |_| Router {
            quarantine: Quarantine::default(),
            gossip: Gossip::new(now),
            started_at: now,
            broadcast_scheduled: false,
            bytes_sent: 0,
        };
        let mut simulation = Self {
            scenario,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            now,
            events: BTreeMap::new(),
            events_scheduled: 0,
            routers: (0..scenario.routers).map(router).collect(),
            targets: Vec::new(),
            starts: 0,
            third_crash: None,
            results: Results::default(),
        };
        for _ in 0..scenario.targets {
            let target = simulation.new_target(now);
            simulation.targets.push(target);
        }
        simulation.schedule(0, Event::Arrival);
        if scenario.rolling_restart {
            simulation.schedule(1_000, Event::Restart(0));
        }
        simulation
    }

    fn new_target(&mut self, up_at: Instant) -> Target {
        self.starts += 1;
        Target {
            start: TargetId(self.starts),
            up_at,
            in_flight: Vec::new(),
        }
    }

    /// Returns a random number below `most`.
    fn draw(&mut self, most: usize) -> usize {
        usize::try_from(self.rng.next_u64() % most as u64).expect("small")
    }

    fn schedule(&mut self, millis: u64, event: Event) {
        self.events_scheduled += 1;
        let at = self.now + Duration::from_millis(millis);
        self.events.insert((at, self.events_scheduled), event);
    }

    fn run(mut self) -> Results {
        let end = self.now + SIMULATED_TIME;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.step(event);
        }
        let bytes = self.routers.iter().map(|r| r.bytes_sent).max();
        self.results.max_bytes = bytes.unwrap_or(0);
        self.results
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrival => {
                self.schedule(1_000 / self.scenario.arrivals, Event::Arrival);
                let router = self.draw(self.scenario.routers);
                let began = self.routers[router].started_at;
                // Requests for a router that is not up yet go to the next one.
                let up = !self.scenario.rolling_restart || self.now.since(began) >= STARTUP_TIME;
                self.send(
                    if up {
                        router
                    } else {
                        (router + 1) % self.scenario.routers
                    },
                    true,
                );
            }
            Event::Crash(target, start) => self.crash(target, start),
            Event::Broadcast(router) => self.broadcast(router),
            Event::Receive(to, from, reports) => self.receive(to, from, &reports),
            Event::Restart(router) => {
                self.routers[router].quarantine = Quarantine::default();
                self.routers[router].started_at = self.now;
                self.query_peers(router);
                self.schedule(1_000, Event::Restart((router + 1) % self.scenario.routers));
            }
        }
        self.record_settled();
    }

    /// Sends the request to a target that is up, unless the router refuses it.
    fn send(&mut self, router: usize, retry: bool) {
        let now = self.now;
        let refused = self.routers[router].quarantine.refuse(now, CRASHING);
        let up = |t: &usize| self.targets[*t].up_at <= now;
        let up = (0..self.targets.len()).filter(up).collect::<Vec<_>>();
        if refused.is_some() || up.is_empty() {
            return;
        }
        let target = up[self.draw(up.len())];
        self.results.sends += 1;
        let late = self.third_crash.is_some_and(|t| now.since(t) > SETTLE_TIME);
        let fresh = now.since(self.routers[router].started_at) < SETTLE_TIME;
        self.results.late_sends += usize::from(late && !fresh);
        self.results.startup_sends += usize::from(late && fresh);
        self.targets[target].in_flight.push((router, retry));
        let start = self.targets[target].start;
        let millis = 20 + self.draw(480) as u64;
        self.schedule(millis, Event::Crash(target, start));
    }

    fn crash(&mut self, target: usize, start: TargetId) {
        let known = &self.targets[target];
        if known.start != start || known.in_flight.is_empty() {
            return;
        }
        let back = self.now + RECOVERY_TIME;
        let next = self.new_target(back);
        let crashed = std::mem::replace(&mut self.targets[target], next);
        self.results.crashes += 1;
        if self.results.crashes == 3 {
            self.third_crash = Some(self.now);
        }
        for (router, retry) in crashed.in_flight {
            let quarantine = &mut self.routers[router].quarantine;
            let first = quarantine.record_broken_answer(CRASHING, start) == ProbeAction::ProbeFirst;
            // The result of a background probe is known only after the next target was chosen.
            if !first && retry {
                self.send(router, false);
            }
            let changes = self.routers[router]
                .quarantine
                .record_crash(self.now, start);
            if changes.iter().any(|(_, c)| *c != Update::Unchanged) {
                self.schedule_broadcast(router, BATCH_DELAY);
            }
            if changes.iter().any(|(_, c)| *c == Update::Quarantined) {
                self.cancel_work(router);
            }
            if first && retry {
                self.send(router, false);
            }
        }
    }

    fn schedule_broadcast(&mut self, router: usize, pause: Duration) {
        if !self.routers[router].broadcast_scheduled {
            self.routers[router].broadcast_scheduled = true;
            let millis = u64::try_from(pause.as_millis()).expect("short");
            self.schedule(millis, Event::Broadcast(router));
        }
    }

    fn broadcast(&mut self, from: usize) {
        let now = self.now;
        let router = &mut self.routers[from];
        router.broadcast_scheduled = false;
        if let Some(broadcast) = router.gossip.next_broadcast(now, &mut router.quarantine) {
            let first = self.draw(self.scenario.routers - 1);
            for n in 0..broadcast.fanout.min(self.scenario.routers - 1) {
                let to =
                    (from + 1 + (first + n) % (self.scenario.routers - 1)) % self.scenario.routers;
                self.send_datagram(from, to, broadcast.reports.clone());
            }
        }
        if !self.routers[from].quarantine.is_empty() {
            self.schedule_broadcast(from, RETRANSMIT_INTERVAL);
        }
    }

    /// A restarted router queries others before it serves.
    fn query_peers(&mut self, router: usize) {
        let others = self.scenario.routers - 1;
        let first = self.draw(others);
        for n in 0..STARTUP_FANOUT.min(others) {
            let to = (router + 1 + (first + n) % others) % self.scenario.routers;
            self.send_datagram(router, to, Vec::new());
        }
    }

    fn send_datagram(&mut self, from: usize, to: usize, reports: Vec<CrashReport>) {
        let bytes = Datagram::CrashReports(reports.clone()).encode();
        let bytes = bytes.expect("a datagram").len() + HEADER_BYTES;
        self.routers[from].bytes_sent += bytes;
        self.routers[from].gossip.record_sent(bytes);
        if self.draw(100) > 0 {
            let millis = 1 + self.draw(3) as u64;
            self.schedule(millis, Event::Receive(to, from, reports));
        }
    }

    fn receive(&mut self, to: usize, from: usize, reports: &[CrashReport]) {
        let now = self.now;
        let relay = should_relay(self.scenario.routers - 1);
        for report in reports {
            let quarantine = &mut self.routers[to].quarantine;
            if quarantine.merge_report(now, report, relay) == Update::Quarantined {
                self.cancel_work(to);
            }
        }
        let reply = missing_reports(now, &self.routers[to].quarantine, reports);
        if !reply.is_empty() {
            self.send_datagram(to, from, reply);
        }
        if self.routers[to].quarantine.has_pending_reports() {
            self.schedule_broadcast(to, BATCH_DELAY);
        }
    }

    /// A router that learns of the quarantine cancels its sends; a target without any in flight
    /// does not crash.
    fn cancel_work(&mut self, router: usize) {
        for target in &mut self.targets {
            target.in_flight.retain(|(r, _)| *r != router);
        }
    }

    /// Records when all routers refuse the request.
    fn record_settled(&mut self) {
        let Some(third) = self
            .third_crash
            .filter(|_| self.results.settled_after.is_none())
        else {
            return;
        };
        let now = self.now;
        let refuses = |r: &Router| r.quarantine.quarantined_count() > 0;
        if self.routers.iter().all(refuses) {
            self.results.settled_after = Some(now.since(third));
        }
    }
}

/// Runs a simulation and checks the requirement.
fn check(scenario: Scenario) {
    let results = Simulation::new(scenario).run();
    println!("{scenario:?}: {results:?}");
    assert!(
        results.late_sends <= MAX_LATE_SENDS,
        "{scenario:?}: {results:?}"
    );
    // A restarted router serves only some milliseconds after its queries.
    assert!(
        results.startup_sends <= MAX_STARTUP_SENDS,
        "{scenario:?}: {results:?}"
    );
    let seconds = usize::try_from(SIMULATED_TIME.as_secs()).expect("short");
    assert!(
        results.max_bytes <= seconds * BYTES_PER_SECOND + BURST_BYTES,
        "{scenario:?}: {results:?}"
    );
}

/// Checks all fleet sizes, rates and seeds.
fn check_all(rolling_restart: bool) {
    for (routers, targets) in [(6, 9), (30, 53), (68, 120)] {
        for arrivals in [1, 10, 50] {
            for seed in 1..=3 {
                check(Scenario {
                    routers,
                    targets,
                    arrivals,
                    rolling_restart,
                    seed,
                });
            }
        }
    }
}

#[test]
fn verify_few_sends_follow_the_third_crash() {
    check_all(false);
}

#[test]
fn verify_restarted_routers_learn_of_the_quarantine() {
    check_all(true);
}
