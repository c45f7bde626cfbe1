// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Guards release what was admitted, whatever path ends a request.

mod common;
mod script;

use std::panic::catch_unwind;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use peppercrank_admit::Input;
use peppercrank_admit::Releases;
use peppercrank_admit::Settings;
use peppercrank_admit::Ticket;
use peppercrank_core::units::Cost;

use common::admission_with;
use common::at;
use common::policy;
use script::play_on;

/// A way for a request to end.
#[derive(Debug, Clone, Copy)]
enum Ending {
    Return,
    Panic,
    EarlyError,
    ThreadPanic,
    SenderGone,
}

fn end(releases: &Releases, ending: Ending) {
    let permit = releases.permit(Ticket(1));
    match ending {
        Ending::Return => drop(permit),
        Ending::Panic => {
            let ended = catch_unwind(move || {
                let _permit = permit;
                panic!("the request's code fails");
            });
            ended.expect_err("it panicked");
        }
        Ending::EarlyError => {
            let parse = move || -> Result<u8, std::num::ParseIntError> {
                let _permit = permit;
                let number: u8 = "x".parse()?;
                Ok(number)
            };
            parse().expect_err("it is no number");
        }
        Ending::ThreadPanic => {
            let ended = thread::spawn(move || {
                let _permit = permit;
                panic!("the request's thread fails");
            });
            ended.join().expect_err("it panicked");
        }
        Ending::SenderGone => {
            // A request that was cancelled before its thread took it from a channel.
            let (sender, receiver) = mpsc::channel();
            sender.send(permit).expect("the receiver is there");
            drop(receiver);
        }
    }
}

#[test]
fn verify_release_on_every_path() {
    let endings = [
        Ending::Return,
        Ending::Panic,
        Ending::EarlyError,
        Ending::ThreadPanic,
        Ending::SenderGone,
    ];
    for ending in endings {
        let releases = Releases::default();
        let mut admission = admission_with(Settings::default(), policy());
        play_on(&mut admission, "0 arrive 1 100 | admit 1");
        end(&releases, ending);
        let ended = releases.wait(Duration::from_secs(60));
        assert_eq!(ended, [Ticket(1)], "{ending:?}");
        for ticket in ended {
            admission.on(at(1), Input::End(ticket));
            // The daemon may end it a second time on another path: nothing more is released.
            admission.on(at(1), Input::End(ticket));
        }
        assert_eq!(admission.load(), Cost::ZERO, "{ending:?}");
        assert!(releases.drain().is_empty(), "{ending:?}");
    }
}

#[test]
fn verify_load_is_kept_until_the_guard_goes() {
    // The engine still works on what its caller left: the load is true until the guard drops.
    script::play(
        "0 arrive 1 100 | admit 1
         0 wait 2 10 |
         1 gone 1 | load=100
         2 end 1 | admit 2",
    );
}
