// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Which requests are kept from targets, by what targets ended under.
//!
//! What users saw: the same request, under new ids and at any router, was sent to targets up to 24 times after three had ended
//! under it, and 42 ended in all. Cause: each attempt of a caller was judged alone, and no router knew what the others
//! had seen.

use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_direct::content::Fingerprint;
use peppercrank_direct::peers::Datagram;
use peppercrank_direct::peers::MOST_BYTES;
use peppercrank_direct::peers::TargetId;
use peppercrank_direct::quarantine::Broken;
use peppercrank_direct::quarantine::Change;
use peppercrank_direct::quarantine::ENDS;
use peppercrank_direct::quarantine::KEPT;
use peppercrank_direct::quarantine::Quarantine;
use peppercrank_direct::quarantine::spread::reply;

const DEADLY: Fingerprint = Fingerprint(7);

/// A moment so many milliseconds after the first.
const fn at(millis: u64) -> Instant {
    Instant::from_millis(1_000_000 + millis)
}

/// Ends so many targets under a request, one after the other.
fn end(quarantine: &mut Quarantine, content: Fingerprint, targets: std::ops::Range<u32>) {
    for target in targets {
        quarantine.ended_under(at(0), content, TargetId(target));
    }
}

/// Tells one router what another has to tell.
fn tell(from: &mut Quarantine, to: &mut Quarantine, now: Instant, relay: bool) -> Vec<Change> {
    let reports = from.tell(now);
    reports.iter().map(|r| to.hear(now, r, relay)).collect()
}

#[test]
fn verify_a_request_is_quarantined_by_the_third_target_that_ends_under_it() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.is_empty());
    assert_eq!(quarantine.refuses(at(0), DEADLY), None);
    let told = |q: &mut Quarantine, target| q.ended_under(at(0), DEADLY, TargetId(target));
    assert_eq!(told(&mut quarantine, 1), Change::News);
    // The same start ends only once: two requests in one, or its connections were reset again.
    assert_eq!(told(&mut quarantine, 1), Change::Known);
    assert_eq!(told(&mut quarantine, 2), Change::News);
    assert_eq!(quarantine.refuses(at(0), DEADLY), None);
    assert_eq!(told(&mut quarantine, 3), Change::Quarantined);
    assert_eq!(quarantine.refuses(at(0), DEADLY), Some(KEPT));
    assert_eq!(told(&mut quarantine, 4), Change::Known);
    assert_eq!(quarantine.refuses(at(0), Fingerprint(8)), None);
    assert_eq!(quarantine.quarantined(), 1);
}

#[test]
fn verify_a_request_that_was_served_is_not_at_fault() {
    let mut quarantine = Quarantine::default();
    for round in 0..20 {
        for target in round * 2..round * 2 + 2 {
            quarantine.ended_under(at(u64::from(target)), DEADLY, TargetId(target));
        }
        let now = at(u64::from(round * 2 + 1) + 1);
        quarantine.served(now, DEADLY);
        assert_eq!(quarantine.refuses(now, DEADLY), None, "round {round}");
    }
}

/// What reading the code again showed: a router that has just started cannot tell moments before its own start apart, and took
/// ends for refuted by a run that had been whole before them.
#[test]
fn verify_a_router_that_started_after_it_all_counts_the_ends() {
    let mut old = Quarantine::default();
    end(&mut old, DEADLY, 0..1);
    old.served(at(1_000), DEADLY);
    for target in 1..4 {
        old.ended_under(at(2_000), DEADLY, TargetId(target));
    }
    let now = Instant::from_millis(100);
    let mut new = Quarantine::default();
    for report in old.remind(at(9_000)) {
        assert_eq!(new.hear(now, &report, true), Change::Quarantined);
    }
    assert!(new.refuses(now, DEADLY).is_some());
}

#[test]
fn verify_routers_add_up_what_each_has_seen() {
    let mut routers = [
        Quarantine::default(),
        Quarantine::default(),
        Quarantine::default(),
    ];
    for (n, router) in (0..).zip(&mut routers) {
        router.ended_under(at(0), DEADLY, TargetId(n));
    }
    let [first, second, third] = &mut routers;
    assert_eq!(tell(first, third, at(0), false), [Change::News]);
    assert_eq!(tell(second, third, at(0), false), [Change::Quarantined]);
    assert!(third.refuses(at(0), DEADLY).is_some());
    // What was told goes on as news of the router itself; the first has told enough after two datagrams.
    assert_eq!(tell(third, first, at(100), false), [Change::Quarantined]);
    assert!(first.refuses(at(100), DEADLY).is_some());
    assert_eq!(tell(first, second, at(100), false).len(), 1);
    assert_eq!(tell(first, second, at(200), false).len(), 0);
}

#[test]
fn verify_word_of_a_served_request_takes_earlier_ends_back_everywhere() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    end(&mut here, DEADLY, 0..2);
    let late = here.tell(at(0));
    tell(&mut here, &mut there, at(0), false);
    here.served(at(500), DEADLY);
    assert_eq!(tell(&mut here, &mut there, at(500), false), [Change::News]);
    // Word of the ends that comes late does not count again.
    for report in &late {
        assert_eq!(there.hear(at(500), report, true), Change::Known);
    }
    there.ended_under(at(600), DEADLY, TargetId(9));
    assert_eq!(there.refuses(at(600), DEADLY), None);
}

#[test]
fn verify_a_router_that_knows_less_is_told() {
    let (mut old, mut new) = (Quarantine::default(), Quarantine::default());
    end(&mut old, DEADLY, 0..3);
    new.ended_under(at(0), DEADLY, TargetId(7));
    let told = new.tell(at(0));
    let answer = reply(at(0), &old, &told);
    assert_eq!(new.hear(at(0), &answer[0], false), Change::Quarantined);
    // Then both are silent, though each knows other ends.
    let told = new.tell(at(100));
    assert_eq!(reply(at(100), &old, &told), []);
    assert_eq!(reply(at(100), &new, &answer), []);
}

#[test]
fn verify_a_router_that_has_just_started_asks_and_is_told_all() {
    let (mut old, mut new) = (Quarantine::default(), Quarantine::default());
    assert_eq!(reply(at(0), &old, &[]), []);
    end(&mut old, DEADLY, 0..3);
    end(&mut old, Fingerprint(8), 0..2);
    let answer = reply(at(0), &old, &[]);
    assert_eq!(answer.len(), 1);
    assert_eq!(new.hear(at(0), &answer[0], false), Change::Quarantined);
    assert!(new.refuses(at(0), DEADLY).is_some());
}

#[test]
fn verify_reminders_name_what_is_quarantined_and_nothing_else() {
    let mut quarantine = Quarantine::default();
    end(&mut quarantine, Fingerprint(1), 0..2);
    assert!(quarantine.remind(at(0)).is_empty());
    end(&mut quarantine, DEADLY, 0..3);
    let reminder = quarantine.remind(at(0));
    assert_eq!(reminder.len(), 1);
    let mut new = Quarantine::default();
    assert_eq!(new.hear(at(0), &reminder[0], true), Change::Quarantined);
    assert!(new.refuses(at(0), DEADLY).is_some());
}

#[test]
fn verify_it_lasts_until_the_request_has_stayed_away() {
    let mut quarantine = Quarantine::default();
    end(&mut quarantine, DEADLY, 0..3);
    let minute = Duration::from_secs(60);
    let mut now = at(0);
    // It comes every nine minutes.
    for _ in 0..10 {
        now = now + 9 * minute;
        quarantine.expire(now);
        assert!(quarantine.refuses(now, DEADLY).is_some());
    }
    now = now + KEPT;
    assert_eq!(quarantine.refuses(now, DEADLY), None);
    quarantine.expire(now);
    assert!(quarantine.is_empty());
}

#[test]
fn verify_reminders_do_not_keep_each_other_alive() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    end(&mut here, DEADLY, 0..3);
    let mut now = at(0);
    while now < at(0) + KEPT {
        for report in here.remind(now) {
            there.hear(now, &report, true);
        }
        for report in there.remind(now) {
            here.hear(now, &report, true);
        }
        now = now + Duration::from_secs(10);
    }
    here.expire(now);
    there.expire(now);
    assert!(here.is_empty() && there.is_empty());
}

#[test]
fn verify_a_flood_of_requests_takes_bounded_memory_and_leaves_what_matters() {
    let mut quarantine = Quarantine::default();
    end(&mut quarantine, DEADLY, 0..3);
    for content in 100..6_000 {
        quarantine.ended_under(at(content), Fingerprint(content), TargetId(1));
    }
    assert!(quarantine.refuses(at(6_000), DEADLY).is_some());
    // 4,096 are remembered, each told twice.
    let mut told = 0;
    while quarantine.has_news() {
        told += quarantine.tell(at(6_000)).len();
    }
    assert_eq!(told, 2 * 4_096);
}

#[test]
fn verify_a_datagram_of_reports_is_short_enough() {
    let mut quarantine = Quarantine::default();
    for content in 0..100 {
        let content = Fingerprint(u64::MAX - content);
        end(&mut quarantine, content, u32::MAX - 3..u32::MAX);
        quarantine.served(at(1), content);
        for target in 0..u32::try_from(ENDS).expect("few") {
            quarantine.ended_under(at(2), content, TargetId(u32::MAX - target));
        }
    }
    let reports = quarantine.tell(at(10_000_000));
    let bytes = Datagram::Crashes(reports).encode().expect("a datagram");
    assert!(bytes.len() <= MOST_BYTES, "{} bytes", bytes.len());
}

#[test]
fn verify_an_answer_that_breaks_off_counts_only_once_its_target_has_ended() {
    let mut quarantine = Quarantine::default();
    let beside = Fingerprint(8);
    for target in (0..20).map(TargetId) {
        assert_eq!(quarantine.broke_off(DEADLY, target), Broken::Ask);
        assert_eq!(quarantine.broke_off(beside, target), Broken::Asked);
        quarantine.lives(target);
        assert_eq!(quarantine.ended(at(0), target), []);
    }
    assert!(quarantine.is_empty());
    for target in (20..22).map(TargetId) {
        assert_eq!(quarantine.broke_off(DEADLY, target), Broken::Ask);
        assert_eq!(quarantine.broke_off(beside, target), Broken::Asked);
        let news = [(DEADLY, Change::News), (beside, Change::News)];
        assert_eq!(quarantine.ended(at(0), target), news);
        assert_eq!(quarantine.ended(at(0), target), []);
    }
    // The next one may be the last that counts, so it is asked before the request goes on, also beside another question.
    let last = TargetId(22);
    assert_eq!(quarantine.broke_off(Fingerprint(9), last), Broken::Ask);
    assert_eq!(quarantine.broke_off(DEADLY, last), Broken::AskFirst);
    let changes = quarantine.ended(at(0), last);
    assert!(changes.contains(&(DEADLY, Change::Quarantined)));
}
