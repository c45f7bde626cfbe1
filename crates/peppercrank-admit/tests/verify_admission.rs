// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The contract of admission, case by case: load cap, queue, limits, duplicates, lost touch.
//!
//! The cap's multiple is 1.25, its floor 100, the limit of an organisation 1,000; eight requests
//! may wait for two seconds.

mod common;
mod script;

use std::time::Duration;

use peppercrank_admit::Oversize;
use peppercrank_admit::Settings;

use common::admission_with;
use common::policy;
use script::play;
use script::play_on;

#[test]
fn verify_cap() {
    // A mean counts in full for 5 s and not at all from 30 s on.
    let cases = [
        "0 tick | cap=100",
        "0 mean 0 4 | cap=100",
        "0 mean 160 4 | cap=100",
        "0 mean 1600 4 | cap=500",
        "0 mean 400 1 | cap=500",
        "0 mean 400 0 | cap=100",
        "0 mean 1600 4 |
         5000 tick | cap=500
         17500 tick | cap=250
         30000 tick | cap=100",
        // One of a time to come ages from now, and an older one than is known counts nothing.
        "0 mean 1600 4 at=90000 |
         30000 tick | cap=100",
        "900 mean 1600 4 |
         950 mean 160000 4 at=899 | cap=500",
    ];
    cases.into_iter().for_each(play);
}

#[test]
fn verify_learned_ceiling() {
    // Half of the way down to what runs; up in small steps while it is used, or below what the engine
    // has carried with none waiting; never below the floor.
    play(
        "0 targets 1 |
         0 mean 8000 1 | cap=10000
         0 arrive 1 800 | admit 1
         0 engine 1 0 | cap=10000
         1 engine 10 10 | cap=600
         2 engine 9 3 | cap=600
         3 engine 9 3 | cap=600
         4 engine 4 12 | cap=400
         5 arrive 2 1 of=linda | refuse 2 over_cap
         6 engine 4 0 | cap=425
         7 actual 1 100 |
         7 engine 4 0 | cap=451
         8 engine 0 9 | cap=225
         9 engine 0 9 | cap=112
         9 engine 0 9 | cap=100
         9 engine 4294967295 4294967295 | cap=100
         10 end 1 |
         10 engine 0 4294967295 | cap=100
         11 arrive 3 100 | admit 3
         11 engine 1 0 | cap=106",
    );
    play(
        "0 targets 1 |
         0 mean 8000 1 |
         0 arrive 1 800 | admit 1
         1 engine 10 10 | cap=600
         2 actual 1 100 |
         2 engine 4 0 | cap=600
         3 actual 1 524 |
         3 engine 4 0 | cap=600
         4 actual 1 525 |
         4 engine 4 0 | cap=637",
    );
}

#[test]
fn verify_over_cap() {
    // What ends twice is released once.
    play(
        "0 arrive 1 60 | admit 1
         0 arrive 2 40 | admit 2
         0 arrive 3 1 | refuse 3 over_cap
         1 end 1 |
         1 arrive 4 60 | admit 4
         2 end 1 |
         2 arrive 5 1 | refuse 5 over_cap, load=100",
    );
}

#[test]
fn verify_queue() {
    // None that may not wait overtakes those that do; a full queue refuses at once.
    play(
        "0 arrive 1 100 | admit 1
         0 wait 2 80 | wake=2000
         1 wait 3 10 |
         2 arrive 4 1 | refuse 4 over_cap
         3 gone 3 | refuse 3 caller_gone
         4 end 1 | admit 2
         5 wait 5 30 |
         2004 tick |
         2005 tick | refuse 5 queue_timeout, wake=none",
    );
    play(
        "0 arrive 1 100 | admit 1
         0 wait 2 10 |
         1 queue 0 | refuse 2 queue_full
         2 wait 3 10 | refuse 3 queue_full",
    );
}

#[test]
fn verify_full_queue_gives_up_the_longest_backlog() {
    // The ninth that waits pushes out the last of the organisation that has most waiting.
    let mut admission = admission_with(Settings::default(), policy());
    play_on(&mut admission, "0 arrive 1 100 | admit 1");
    for number in 2..=9 {
        play_on(&mut admission, &format!("0 wait {number} 10 |"));
    }
    play_on(
        &mut admission,
        "1 wait 10 10 of=linda | refuse 9 queue_full
         1 wait 11 10 | refuse 11 queue_full",
    );
}

#[test]
fn verify_refusal_before_waiting() {
    let cases = [
        "wait 2 10 deadline=5 | refuse 2 deadline",
        "wait 2 10 deadline=10 | refuse 2 deadline",
        "wait 2 10 deadline=100 need=90 | refuse 2 deadline",
        "wait 2 10 of=taara | refuse 2 not_ready",
        "wait 2 1001 | refuse 2 organisation_limit",
        "arrive 2 10 attempt=1 | refuse 2 duplicate_attempt",
        "arrive 1 10 attempt=2 | refuse 1 duplicate_attempt",
    ];
    for case in cases {
        play(&format!("0 arrive 1 10 | admit 1\n10 {case}, load=10"));
    }
}

#[test]
fn verify_deadline_in_queue() {
    // It is given up when it could no longer end in time, not when its deadline comes.
    play(
        "0 arrive 1 100 | admit 1
         0 wait 2 10 deadline=700 need=200 | wake=500
         500 tick | refuse 2 deadline",
    );
}

#[test]
fn verify_duplicate_window() {
    // An attempt with a minute left is remembered for two, and one that runs for as long as it does.
    play(
        "0 arrive 1 100 | admit 1
         1 end 1 |
         119999 touched |
         119999 arrive 2 100 attempt=1 deadline=200000 | refuse 2 duplicate_attempt
         120000 arrive 3 100 attempt=1 deadline=200000 | admit 3
         900000 touched |
         900000 arrive 4 100 attempt=1 deadline=999999 | refuse 4 duplicate_attempt
         900001 end 3 |
         960000 touched |
         960000 arrive 5 100 attempt=1 deadline=999999 | refuse 5 duplicate_attempt
         960001 arrive 6 100 attempt=1 deadline=999999 | admit 6",
    );
    // A refused one is remembered too: its router has gone on elsewhere.
    play(
        "0 arrive 1 100 | admit 1
         0 arrive 2 100 | refuse 2 over_cap
         1 end 1 |
         2 arrive 3 100 attempt=2 | refuse 3 duplicate_attempt",
    );
}

#[test]
fn verify_oversize() {
    let refuse = Settings {
        oversize: Oversize::Refuse,
        ..Settings::default()
    };
    play(
        "0 arrive 1 101 | admit 1
         0 arrive 2 1 | refuse 2 over_cap
         0 end 1 |
         0 arrive 3 500 | admit 3
         0 arrive 4 101 | refuse 4 over_cap",
    );
    play_on(
        &mut admission_with(refuse, policy()),
        "0 arrive 1 101 | refuse 1 over_cap
         0 arrive 2 100 | admit 2",
    );
    // It waits for an idle target, and holds up nobody meanwhile.
    play(
        "0 arrive 1 100 | admit 1
         0 wait 2 150 |
         0 wait 3 100 of=linda |
         1 end 1 | admit 3
         2 end 3 | admit 2",
    );
}

#[test]
fn verify_weight_of_zero() {
    play(
        "0 arrive 1 100 | admit 1
         0 wait 2 10 |
         1 weight 0 | refuse 2 over_cap, cap=0
         2 end 1 |
         3 wait 3 10 | refuse 3 over_cap",
    );
}

#[test]
fn verify_organisation_limit() {
    play(
        "0 targets 2 |
         0 mean 40000 4 |
         0 arrive 1 400 | admit 1
         0 arrive 2 101 | refuse 2 organisation_limit
         0 arrive 3 100 | admit 3
         1 actual 1 50 |
         1 arrive 4 350 | admit 4
         2 arrive 5 1 | refuse 5 organisation_limit
         2 arrive 6 1 of=linda | admit 6
         3 targets 1 |
         3 arrive 7 1 | admit 7
         4 set kalev limit=10 |
         4 arrive 8 1 | refuse 8 organisation_limit",
    );
    // At 1,300 targets, or before their number is heard, one request runs and a second does not.
    for targets in [0, 1_300] {
        play(&format!(
            "0 targets {targets} |
             0 arrive 1 40 | admit 1
             0 arrive 2 40 | refuse 2 organisation_limit"
        ));
    }
}

#[test]
fn verify_limit_holds_when_a_turn_comes() {
    // Within the limit on arrival, 3 is above it when its turn comes; 4 is another's.
    play(
        "0 set kalev limit=60 |
         0 arrive 1 50 | admit 1
         0 actual 1 99 |
         0 wait 2 100 of=linda |
         0 actual 1 10 |
         0 wait 3 50 |
         0 actual 1 20 |
         0 mean 400 1 | admit 2, load=120
         1 end 1 | admit 3",
    );
    play(
        "0 arrive 1 100 | admit 1
         0 wait 2 80 |
         0 wait 3 20 |
         1 set kalev limit=50 | refuse 2 organisation_limit
         2 end 1 | admit 3",
    );
}

#[test]
fn verify_parameters_gone() {
    play(
        "0 arrive 1 100 | admit 1
         0 wait 2 10 |
         1 forget kalev | refuse 2 not_ready
         1 forget kalev |
         2 end 1 | load=0
         3 arrive 3 10 | refuse 3 not_ready
         4 set kalev |
         4 arrive 4 100 | admit 4
         70000 touched |",
    );
}

#[test]
fn verify_out_of_touch() {
    play(
        "29000 arrive 1 100 | admit 1
         29000 wait 2 10 | wake=30000
         30000 tick | refuse 2 out_of_touch
         30001 arrive 3 10 | refuse 3 out_of_touch
         30002 touched |
         30003 end 1 |
         30004 arrive 4 100 | admit 4",
    );
}

#[test]
fn verify_clock_backwards() {
    // The past counts as the latest moment: nothing expires early and nothing lives longer.
    play(
        "10000 mean 1600 4 |
         10000 arrive 1 500 | admit 1
         10000 wait 2 10 |
         1 tick |
         1 mean 160000 4 at=1 | cap=500
         11999 tick |
         12000 tick | refuse 2 queue_timeout
         1 arrive 3 10 deadline=11000 | refuse 3 deadline",
    );
}

#[test]
fn verify_extremes() {
    // Times of none, the largest cost and the end of time are taken as they are.
    let hasty = Settings {
        active: Duration::ZERO,
        smooth: Duration::ZERO,
        fresh: Duration::ZERO,
        stale: Duration::ZERO,
        touch: Duration::MAX,
        ..Settings::default()
    };
    let most = u64::MAX;
    play_on(
        &mut admission_with(hasty, policy()),
        &format!(
            "0 mean {most} 1 | cap={most}
             1 tick | cap=100
             0 set kalev limit={most} weight=0 |
             0 set linda limit={most} |
             0 arrive 1 {most} | admit 1, load=1099511627776
             0 wait 2 {most} of=linda deadline={most} |
             1 actual 1 {most} | load=1099511627776
             1 wait 3 50 deadline={most} |
             2 tick |
             3 end 1 | admit 2
             3 end 2 | admit 3, load=50
             {most} tick |
             {most} engine 1 1 |
             {most} end 3 | load=0"
        ),
    );
}

#[test]
fn verify_settings_out_of_range() {
    let base = Settings::default;
    let cases = [
        Settings {
            reserve: 1_001,
            ..base()
        },
        Settings {
            bursts: 10_001,
            ..base()
        },
        Settings {
            spread: 0,
            ..base()
        },
        Settings {
            spread: 11,
            ..base()
        },
        Settings {
            stale: Duration::from_secs(4),
            ..base()
        },
    ];
    for settings in cases {
        settings.check().expect_err("out of range");
    }
    base().check().expect("the defaults are in range");
}
