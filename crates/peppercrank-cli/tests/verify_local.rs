// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! `local`, and other subcommands with the environment that it prints.

mod support;

use std::ffi::OsString;
use std::io;
use std::io::Write;
use std::sync::mpsc;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;

use peppercrank_cli::Environment;
use peppercrank_cli::Exit;
use serde_json::json;
use support::run;

/// Forwards written text on each flush, so that the output of a subcommand that keeps running can
/// be read.
struct FlushSink {
    text: Vec<u8>,
    out: Sender<String>,
}

impl Write for FlushSink {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.text.extend(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let text = String::from_utf8(self.text.clone()).expect("text");
        self.out.send(text).map_err(io::Error::other)
    }
}

/// Starts a local fleet that runs until the test process ends, and returns its output.
fn local(words: &'static str) -> String {
    let (out, told) = mpsc::channel();
    thread::spawn(move || {
        let args = words.split(' ').map(OsString::from).collect();
        let mut sink = FlushSink {
            text: Vec::new(),
            out,
        };
        peppercrank_cli::run(args, &Environment::default(), &mut sink, &mut io::sink())
    });
    told.recv_timeout(Duration::from_secs(60))
        .expect("a fleet that came together")
}

/// Parses the environment from the `export` line that `local` prints.
fn environment(text: &str) -> Environment {
    let line = text.lines().find_map(|l| l.strip_prefix("export "));
    let line = line.expect("a line to export");
    let value = |name: &str| {
        let found = line.split(' ').find_map(|w| w.strip_prefix(name));
        found
            .and_then(|rest| rest.strip_prefix('='))
            .map(str::to_owned)
    };
    Environment {
        platform: value("PEPPERCRANK_PLATFORM"),
        token: None,
        operators_token: value("PEPPERCRANK_OPERATORS_TOKEN"),
        daemons: value("PEPPERCRANK_DAEMONS"),
    }
}

#[test]
fn verify_printed_environment_reaches_a_local_fleet() {
    let words = "local --agents --port 0 --engines 2 --services 1 --run-time 600s";
    let environment = environment(&local(words));
    let verb = |line: &str| {
        let mut words = line.split(' ').collect::<Vec<_>>();
        words.extend(["--output", "json"]);
        let result = run(&environment, &words);
        assert_eq!(result.exit, Exit::Done, "{line}: {result:?}");
        result.json()
    };
    let status = verb("status");
    assert_eq!(
        status["daemons"].as_array().map(Vec::len),
        Some(5),
        "{status}"
    );
    assert_eq!(status["silent"], json!([]), "{status}");
    let set = verb("set-organisation guest output=50 --wait --within 60s");
    assert_eq!(set["daemons"], 5, "{set}");
    let marked = verb("mark engine-0 --shutdown --drained --drained-within 60s");
    assert_eq!(marked["drained"], true, "{marked}");
}

#[test]
fn verify_local_fleet_without_agents_prints_its_addresses() {
    let text = local("local --port 0 --engines 2 --services 1 --run-time 600s");
    let of = |part: &str| text.lines().filter(|l| l.starts_with(part)).count();
    assert_eq!((of("router "), of("target "), of("store ")), (2, 3, 1));
    assert_eq!(text.lines().last(), Some("ready"), "{text}");
    assert!(!text.contains("agent"), "{text}");
}

#[test]
fn verify_platform_port_requires_agents() {
    let environment = Environment::default();
    let result = run(&environment, &["local", "--platform-port", "1"]);
    assert_eq!(result.exit, Exit::Usage, "{result:?}");
    assert!(result.err.contains("--agents"), "{result:?}");
}

#[test]
fn verify_malformed_daemons_variable_is_rejected() {
    for text in [
        "10.0.0.1",
        "10.0.0.1:7002,",
        "entry-1:7002",
        "10.0.0.1:7002;10.0.0.2:7002",
    ] {
        let environment = Environment {
            platform: Some("http://127.0.0.1:9".to_owned()),
            daemons: Some(text.to_owned()),
            ..Environment::default()
        };
        let result = run(&environment, &["status"]);
        assert_eq!(result.exit, Exit::Usage, "{text}: {result:?}");
        assert!(result.err.contains("PEPPERCRANK_DAEMONS"), "{result:?}");
    }
}
