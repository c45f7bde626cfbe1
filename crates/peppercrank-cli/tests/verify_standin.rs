// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The stand-ins run by the command: they print their address, serve, and end on SIGTERM.

mod support;

use std::ffi::OsString;
use std::io::BufRead;
use std::io::BufReader;
use std::io::pipe;
use std::thread;

use peppercrank_cli::Environment;
use peppercrank_cli::Exit;
use serde_json::Value;
use signal_hook::consts::SIGTERM;
use signal_hook::low_level::raise;
use support::file;
use support::run;

#[test]
fn verify_each_stand_in_serves_until_sigterm() {
    for kind in ["engine", "service", "platform"] {
        let path = file(
            &format!("{kind}.jsonc"),
            "{ \"listen\": \"127.0.0.1:0\" } // any port",
        );
        let (reader, mut writer) = pipe().expect("a pipe");
        let words = ["standin", kind, path.as_str(), "--output", "json"];
        let args = words.iter().map(OsString::from).collect::<Vec<_>>();
        let served = thread::spawn(move || {
            let environment = Environment::default();
            peppercrank_cli::run(args, &environment, &mut writer, &mut Vec::new())
        });
        let mut lines = BufReader::new(reader).lines();
        let first = lines.next().expect("a line").expect("a text");
        let told: Value = serde_json::from_str(&first).expect("JSON");
        let address = told["address"].as_str().expect("an address").to_owned();
        let health = ureq::get(format!("http://{address}/healthz")).call();
        assert_eq!(health.expect("an answer").status().as_u16(), 200, "{kind}");
        raise(SIGTERM).expect("a signal");
        assert_eq!(served.join().expect("an end"), Exit::Done, "{kind}");
        let last = lines.next().expect("a line").expect("a text");
        assert!(last.contains("stopped"), "{kind}: {last}");
        let health = ureq::get(format!("http://{address}/healthz")).call();
        assert!(health.is_err(), "{kind} still serves");
    }
}

#[test]
fn verify_invalid_stand_in_settings_are_rejected() {
    let environment = Environment::default();
    let cases = [
        ("engine", "{ \"slots\": \"many\" }", Exit::Invalid),
        ("platform", "{ \"reed\": 1 }", Exit::Invalid),
        (
            "service",
            "{ \"faults\": { \"throttle\": true } }",
            Exit::Failure,
        ),
        ("comet", "{}", Exit::Usage),
    ];
    for (kind, text, exit) in cases {
        let path = file(&format!("faulty-{kind}.jsonc"), text);
        let result = run(&environment, &["standin", kind, &path]);
        assert_eq!(result.exit, exit, "{result:?}");
    }
}
