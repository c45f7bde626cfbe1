// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How a target leaves, in scripts that begin with two requests that run and one that waits.

mod common;
mod script;

fn play(script: &str) {
    let begin = "0 arrive 1 50 | admit 1
                 0 arrive 2 50 | admit 2
                 0 wait 3 10 |";
    script::play(&format!("{begin}\n{script}"));
}

#[test]
fn verify_shutdown_cuts_nothing_off() {
    // However long it takes, what runs goes on to its end.
    play(
        "10 shutdown 5 | refuse 3 leaving
         11 arrive 4 1 | refuse 4 leaving
         12 wait 5 1 | refuse 5 leaving
         12 handed |
         20000 end 1 |
         20001 touched |
         29000 tick |
         29001 end 2 | drained
         29002 tick |",
    );
}

#[test]
fn verify_drained_waits_for_pointers() {
    // What was handed over before the mark is no longer all there is.
    play(
        "5 handed |
         10 shutdown 0 | refuse 3 leaving
         11 end 1 |
         12 end 2 |
         13 handed | drained
         14 handed |",
    );
}

#[test]
fn verify_removal_cancels_after_its_grace() {
    // The same mark heard again does not start the grace anew; guards release what is cancelled.
    play(
        "10 remove 500 | refuse 3 leaving, wake=510
         400 remove 500 | wake=510
         509 tick |
         510 tick | cancel 1, cancel 2, wake=none
         511 tick |
         511 handed |
         512 end 2 |
         513 end 1 | drained",
    );
    play("10 remove 0 | refuse 3 leaving, cancel 1, cancel 2");
    // What ends as the grace does is not cancelled.
    play(
        "10 remove 500 | refuse 3 leaving
         510 end 1 | cancel 2",
    );
}

#[test]
fn verify_changed_marks() {
    // A removal becomes a shutdown, and the other way round.
    play(
        "10 remove 500 | refuse 3 leaving
         400 shutdown 0 | wake=none
         9000 tick |",
    );
    play(
        "10 shutdown 0 | refuse 3 leaving
         400 remove 500 |
         899 tick |
         900 tick | cancel 1, cancel 2",
    );
    // A mark taken back, in the moment of its grace's end, too; pointers are handed over anew.
    play(
        "10 remove 500 | refuse 3 leaving
         11 handed |
         510 unmark |
         600 end 1 |
         601 arrive 4 50 | admit 4
         602 shutdown 0 |
         603 end 2 |
         604 end 4 |
         605 handed | drained",
    );
}

#[test]
fn verify_stop_is_not_taken_back() {
    play(
        "10 stop | refuse 3 leaving
         11 unmark |
         12 arrive 4 1 | refuse 4 leaving
         13 end 1 |
         14 end 2 |
         15 handed | drained",
    );
}
