// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The order in which waiting requests run: classes, weights, and none waits for ever.

mod common;
mod script;

use peppercrank_admit::Action;
use peppercrank_admit::Admission;
use peppercrank_admit::Input;
use peppercrank_admit::Settings;
use peppercrank_admit::Ticket;
use peppercrank_admit::queue::LONGEST_TURN;
use peppercrank_core::objects::PoolPolicy;

use common::admission_with;
use common::at;
use common::policy;
use script::play_on;

/// A target that runs one request of 100 at a time, with `1` running, and lets many wait.
fn narrow(weight: u32) -> Admission {
    let policy = PoolPolicy {
        queue: 1_000,
        wait_ms: 50_000,
        ..policy()
    };
    let mut admission = admission_with(Settings::default(), policy);
    let begin = format!(
        "0 set kalev limit=1000000 weight={weight} |
         0 set linda limit=1000000 weight=10 priority=7 |
         0 arrive 1 100 | admit 1"
    );
    play_on(&mut admission, &begin);
    admission
}

/// Lets so many of an organisation's requests wait.
fn fill(admission: &mut Admission, first: u64, count: u64, words: &str) {
    for number in first..first + count {
        play_on(admission, &format!("0 wait {number} 100 {words} |"));
    }
}

/// Ends what runs, over and over, and lists what runs next each time.
fn serve(admission: &mut Admission, first: u64, times: usize) -> Vec<u64> {
    let mut running = first;
    let mut order = Vec::new();
    for _ in 0..times {
        let done = admission.on(at(1), Input::End(Ticket(running)));
        let [Action::Admit { ticket, .. }] = done[..] else {
            panic!("one at a time: {done:?}");
        };
        running = ticket.0;
        order.push(running);
    }
    order
}

#[test]
fn verify_weights() {
    let mut admission = narrow(30);
    fill(&mut admission, 1_000, 100, "of=kalev");
    fill(&mut admission, 2_000, 100, "of=linda");
    let order = serve(&mut admission, 1, 80);
    let heavy = order.iter().filter(|number| **number < 2_000).count();
    // Three in four, but for the turns of those that wait longest.
    assert!((56..=62).contains(&heavy), "{heavy}");
}

#[test]
fn verify_no_time_is_saved_up() {
    // One that came late shares from then on; it does not catch up on what it never asked for.
    let mut admission = narrow(10);
    fill(&mut admission, 1_000, 60, "of=kalev");
    let last = serve(&mut admission, 1, 20)[19];
    fill(&mut admission, 2_000, 60, "of=linda");
    let order = serve(&mut admission, last, 20);
    let late = order.iter().filter(|number| **number >= 2_000).count();
    assert!((8..=12).contains(&late), "{late}");
}

#[test]
fn verify_classes_and_no_starvation() {
    let mut admission = narrow(30);
    fill(&mut admission, 2, 1, "of=linda class=0");
    fill(&mut admission, 1_000, 100, "of=kalev class=9");
    let order = serve(&mut admission, 1, 50);
    let turn = order.iter().position(|number| *number == 2);
    // All higher ones go first, but for the turn of the one that waits longest.
    assert_eq!(turn, usize::try_from(LONGEST_TURN - 1).ok());
}

#[test]
fn verify_priority_is_no_higher_than_the_organisations() {
    let mut admission = narrow(30);
    fill(&mut admission, 2, 1, "of=linda class=9");
    fill(&mut admission, 3, 1, "of=kalev class=8");
    assert_eq!(serve(&mut admission, 1, 2), [3, 2]);
}

#[test]
fn verify_large_request_is_not_overtaken() {
    script::play(
        "0 arrive 1 50 | admit 1
         0 arrive 2 50 | admit 2
         0 wait 3 90 |
         0 wait 4 10 |
         1 end 1 |
         2 end 2 | admit 3, admit 4",
    );
}
