// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Quarantine of requests by the target crashes under them.
//!
//! Guards against a request that was sent to targets up to 24 more times, under new ids and by any
//! router, after three targets had crashed under it; 42 targets crashed in all. Each attempt of a
//! caller was judged on its own, and no router knew what the others had seen.

use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::content::Fingerprint;
use peppercrank_direct::peers::Datagram;
use peppercrank_direct::peers::MAX_DATAGRAM_BYTES;
use peppercrank_direct::peers::TargetId;
use peppercrank_direct::quarantine::CRASH_LIMIT;
use peppercrank_direct::quarantine::EVIDENCE_TTL;
use peppercrank_direct::quarantine::PartReport;
use peppercrank_direct::quarantine::ProbeAction;
use peppercrank_direct::quarantine::Quarantine;
use peppercrank_direct::quarantine::Update;
use peppercrank_direct::quarantine::spread::missing_reports;

const CRASHING: Fingerprint = Fingerprint(7);

/// Returns the time `millis` milliseconds after the start of the test.
const fn at(millis: u64) -> Instant {
    Instant::from_millis(1_000_000 + millis)
}

/// Crashes these targets under a request, one after the other.
fn crash(quarantine: &mut Quarantine, fingerprint: Fingerprint, targets: std::ops::Range<u32>) {
    for target in targets {
        quarantine.record_crash_of(at(0), fingerprint, TargetId(target));
    }
}

/// Sends the pending reports of one router to another.
fn exchange(from: &mut Quarantine, to: &mut Quarantine, now: Instant, relay: bool) -> Vec<Update> {
    let reports = from.take_pending_reports(now);
    reports
        .iter()
        .map(|r| to.merge_report(now, r, relay))
        .collect()
}

#[test]
fn verify_a_request_is_quarantined_by_its_third_crash() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.is_empty());
    assert_eq!(quarantine.refuse(at(0), CRASHING), None);
    let record = |q: &mut Quarantine, target| q.record_crash_of(at(0), CRASHING, TargetId(target));
    assert_eq!(record(&mut quarantine, 1), Update::NewEvidence);
    // A start crashes only once, even if two requests were in flight or its connections are reset
    // again.
    assert_eq!(record(&mut quarantine, 1), Update::Unchanged);
    assert_eq!(record(&mut quarantine, 2), Update::NewEvidence);
    assert_eq!(quarantine.refuse(at(0), CRASHING), None);
    assert_eq!(record(&mut quarantine, 3), Update::Quarantined);
    assert_eq!(quarantine.refuse(at(0), CRASHING), Some(EVIDENCE_TTL));
    assert_eq!(record(&mut quarantine, 4), Update::Unchanged);
    assert_eq!(quarantine.refuse(at(0), Fingerprint(8)), None);
    assert_eq!(quarantine.quarantined_count(), 1);
}

#[test]
fn verify_a_served_request_is_not_quarantined() {
    let mut quarantine = Quarantine::default();
    for round in 0..20 {
        for target in round * 2..round * 2 + 2 {
            quarantine.record_crash_of(at(u64::from(target)), CRASHING, TargetId(target));
        }
        let now = at(u64::from(round * 2 + 1) + 1);
        quarantine.record_success(now, CRASHING);
        assert_eq!(quarantine.refuse(now, CRASHING), None, "round {round}");
    }
}

/// A router that has just started maps all times before its start to the same one, and must not
/// take crashes for cleared by a success that came before them.
#[test]
fn verify_a_router_that_started_later_counts_earlier_crashes() {
    let mut old = Quarantine::default();
    crash(&mut old, CRASHING, 0..1);
    old.record_success(at(1_000), CRASHING);
    for target in 1..4 {
        old.record_crash_of(at(2_000), CRASHING, TargetId(target));
    }
    let now = Instant::from_millis(100);
    let mut new = Quarantine::default();
    for report in old.quarantined_reports(at(9_000)) {
        assert_eq!(new.merge_report(now, &report, true), Update::Quarantined);
    }
    assert!(new.refuse(now, CRASHING).is_some());
}

/// All times before its start are one to it, so that three crashes look like one event; and what it
/// has not seen itself may be sound.
#[test]
fn verify_a_router_that_started_later_quarantines_the_same_parts() {
    let mut old = Quarantine::of_parts(at(0));
    for n in 1..=3 {
        let now = at(20_000 + 1_000 * u64::from(n));
        let content = Fingerprint(u64::from(n));
        old.record_crash_of_parts(now, content, &[CRASHING], TargetId(n));
    }
    assert!(old.is_quarantined(CRASHING));
    let started_at = Instant::from_millis(100);
    let mut new = Quarantine::of_parts(started_at);
    for report in old.quarantined_reports(at(25_000)) {
        let report = PartReport::from(report).into();
        new.merge_report(started_at, &report, true);
    }
    assert_eq!(new.settle(started_at), [CRASHING]);
    assert!(new.refuse(started_at, CRASHING).is_some());
}

#[test]
fn verify_routers_combine_their_evidence() {
    let mut routers = [
        Quarantine::default(),
        Quarantine::default(),
        Quarantine::default(),
    ];
    for (n, router) in (0..).zip(&mut routers) {
        router.record_crash_of(at(0), CRASHING, TargetId(n));
    }
    let [first, second, third] = &mut routers;
    assert_eq!(exchange(first, third, at(0), false), [Update::NewEvidence]);
    assert_eq!(exchange(second, third, at(0), false), [Update::Quarantined]);
    assert!(third.refuse(at(0), CRASHING).is_some());
    // Merged evidence is sent on as the router's own; the first router has nothing left to send
    // after two datagrams.
    assert_eq!(
        exchange(third, first, at(100), false),
        [Update::Quarantined]
    );
    assert!(first.refuse(at(100), CRASHING).is_some());
    assert_eq!(exchange(first, second, at(100), false).len(), 1);
    assert_eq!(exchange(first, second, at(200), false).len(), 0);
}

#[test]
fn verify_a_success_clears_earlier_crashes_on_all_routers() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    crash(&mut here, CRASHING, 0..2);
    let late = here.take_pending_reports(at(0));
    exchange(&mut here, &mut there, at(0), false);
    here.record_success(at(500), CRASHING);
    assert_eq!(
        exchange(&mut here, &mut there, at(500), false),
        [Update::NewEvidence]
    );
    // Delayed reports of the crashes are not counted again.
    for report in &late {
        assert_eq!(there.merge_report(at(500), report, true), Update::Unchanged);
    }
    there.record_crash_of(at(600), CRASHING, TargetId(9));
    assert_eq!(there.refuse(at(600), CRASHING), None);
}

#[test]
fn verify_a_router_with_less_evidence_is_sent_the_rest() {
    let (mut old, mut new) = (Quarantine::default(), Quarantine::default());
    crash(&mut old, CRASHING, 0..3);
    new.record_crash_of(at(0), CRASHING, TargetId(7));
    let reports = new.take_pending_reports(at(0));
    let answer = missing_reports(at(0), &old, &reports);
    assert_eq!(
        new.merge_report(at(0), &answer[0], false),
        Update::Quarantined
    );
    // After that neither replies, although each knows crashes that the other does not.
    let reports = new.take_pending_reports(at(100));
    assert_eq!(missing_reports(at(100), &old, &reports), []);
    assert_eq!(missing_reports(at(100), &new, &answer), []);
}

#[test]
fn verify_a_starting_router_is_sent_all_quarantined_requests() {
    let (mut old, mut new) = (Quarantine::default(), Quarantine::default());
    assert_eq!(missing_reports(at(0), &old, &[]), []);
    crash(&mut old, CRASHING, 0..3);
    crash(&mut old, Fingerprint(8), 0..2);
    let answer = missing_reports(at(0), &old, &[]);
    assert_eq!(answer.len(), 1);
    assert_eq!(
        new.merge_report(at(0), &answer[0], false),
        Update::Quarantined
    );
    assert!(new.refuse(at(0), CRASHING).is_some());
}

#[test]
fn verify_reminders_hold_only_quarantined_requests() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, Fingerprint(1), 0..2);
    assert!(quarantine.quarantined_reports(at(0)).is_empty());
    crash(&mut quarantine, CRASHING, 0..3);
    let reminder = quarantine.quarantined_reports(at(0));
    assert_eq!(reminder.len(), 1);
    let mut new = Quarantine::default();
    assert_eq!(
        new.merge_report(at(0), &reminder[0], true),
        Update::Quarantined
    );
    assert!(new.refuse(at(0), CRASHING).is_some());
}

#[test]
fn verify_a_quarantine_lasts_until_the_request_stops_coming() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, CRASHING, 0..3);
    let minute = Duration::from_secs(60);
    let mut now = at(0);
    // The request arrives every nine minutes.
    for _ in 0..10 {
        now = now + 9 * minute;
        quarantine.expire(now);
        assert!(quarantine.refuse(now, CRASHING).is_some());
    }
    now = now + EVIDENCE_TTL;
    assert_eq!(quarantine.refuse(now, CRASHING), None);
    quarantine.expire(now);
    assert!(quarantine.is_empty());
}

#[test]
fn verify_reminders_do_not_extend_the_quarantine() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    crash(&mut here, CRASHING, 0..3);
    let mut now = at(0);
    while now < at(0) + EVIDENCE_TTL {
        for report in here.quarantined_reports(now) {
            there.merge_report(now, &report, true);
        }
        for report in there.quarantined_reports(now) {
            here.merge_report(now, &report, true);
        }
        now = now + Duration::from_secs(10);
    }
    here.expire(now);
    there.expire(now);
    assert!(here.is_empty() && there.is_empty());
}

#[test]
fn verify_memory_is_bounded_and_quarantined_requests_are_kept() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, CRASHING, 0..3);
    for content in 100..6_000 {
        quarantine.record_crash_of(at(content), Fingerprint(content), TargetId(1));
    }
    assert!(quarantine.refuse(at(6_000), CRASHING).is_some());
    // 4,096 requests are remembered, and each is reported twice.
    let mut sent = 0;
    while quarantine.has_pending_reports() {
        sent += quarantine.take_pending_reports(at(6_000)).len();
    }
    assert_eq!(sent, 2 * 4_096);
}

/// Callers choose the ids of parts, and can invent any number of them.
#[test]
fn verify_invented_parts_displace_no_quarantined_one() {
    let mut quarantine = Quarantine::of_parts(at(0));
    for n in 1..=3 {
        let now = at(20_000 + 1_000 * u64::from(n));
        let content = Fingerprint(u64::from(n));
        quarantine.record_crash_of_parts(now, content, &[CRASHING], TargetId(n));
    }
    for n in 100..10_000 {
        let (now, part) = (at(30_000 + 1_000 * n), Fingerprint(n));
        quarantine.record_success(now, Fingerprint(100_000 + n));
        let target = TargetId(u32::try_from(n).expect("small"));
        quarantine.record_crash_of_parts(now, part, &[part], target);
    }
    assert!(quarantine.is_quarantined(CRASHING));
    assert_eq!(quarantine.quarantined_count(), 1);
    let mut reports = 0;
    while quarantine.has_pending_reports() {
        reports += quarantine.take_pending_reports(at(20_000_000)).len();
    }
    assert!(reports <= 2 * 4_096, "{reports}");
}

#[test]
fn verify_a_datagram_of_reports_fits_the_limit() {
    let mut quarantine = Quarantine::default();
    for content in 0..100 {
        let content = Fingerprint(u64::MAX - content);
        crash(&mut quarantine, content, u32::MAX - 3..u32::MAX);
        quarantine.record_success(at(1), content);
        for target in 0..u32::try_from(CRASH_LIMIT).expect("few") {
            quarantine.record_crash_of(at(2), content, TargetId(u32::MAX - target));
        }
    }
    let reports = quarantine.take_pending_reports(at(10_000_000));
    let bytes = Datagram::CrashReports(reports)
        .encode()
        .expect("a datagram");
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
}

#[test]
fn verify_a_datagram_of_part_reports_fits_the_limit() {
    let mut quarantine = Quarantine::of_parts(at(0));
    for n in 0..100_u32 {
        let part = Fingerprint(u64::MAX - u64::from(n));
        let begins = 10_000 * u64::from(n);
        quarantine.record_success(at(begins), part);
        for crash in 1..=u32::try_from(CRASH_LIMIT).expect("few") {
            let now = at(begins + 1_000 * u64::from(crash));
            let target = TargetId(u32::MAX - 10 * n - crash);
            let content = Fingerprint(u64::MAX - u64::from(crash));
            quarantine.record_crash_of_parts(now, content, &[part], target);
        }
    }
    let reports = quarantine.take_pending_reports(at(10_000_000));
    assert!(reports.len() > 20, "{}", reports.len());
    let reports = reports.into_iter().map(Into::into).collect();
    let bytes = Datagram::PartReports(reports).encode().expect("a datagram");
    assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
}

#[test]
fn verify_a_broken_answer_counts_only_after_its_target_has_crashed() {
    let mut quarantine = Quarantine::default();
    let beside = Fingerprint(8);
    for target in (0..20).map(TargetId) {
        assert_eq!(
            quarantine.record_broken_answer(CRASHING, target),
            ProbeAction::Probe
        );
        assert_eq!(
            quarantine.record_broken_answer(beside, target),
            ProbeAction::AlreadyProbing
        );
        quarantine.record_alive(target);
        assert_eq!(quarantine.record_crash(at(0), target), []);
    }
    assert!(quarantine.is_empty());
    for target in (20..22).map(TargetId) {
        assert_eq!(
            quarantine.record_broken_answer(CRASHING, target),
            ProbeAction::Probe
        );
        assert_eq!(
            quarantine.record_broken_answer(beside, target),
            ProbeAction::AlreadyProbing
        );
        let updates = [
            (CRASHING, Update::NewEvidence),
            (beside, Update::NewEvidence),
        ];
        assert_eq!(quarantine.record_crash(at(0), target), updates);
        assert_eq!(quarantine.record_crash(at(0), target), []);
    }
    // The next crash may reach the limit, so the target is probed before the request is retried,
    // even if a probe is already under way.
    let last = TargetId(22);
    assert_eq!(
        quarantine.record_broken_answer(Fingerprint(9), last),
        ProbeAction::Probe
    );
    assert_eq!(
        quarantine.record_broken_answer(CRASHING, last),
        ProbeAction::ProbeFirst
    );
    let changes = quarantine.record_crash(at(0), last);
    assert!(changes.contains(&(CRASHING, Update::Quarantined)));
}
