// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Helpers that run a platform stand-in and the command in the test's own process.

#![expect(dead_code, reason = "each test file uses its own part of these")]

use std::ffi::OsString;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use peppercrank_cli::Environment;
use peppercrank_cli::Exit;
use peppercrank_settings::FleetSettings;
use peppercrank_standin::ServerHandle;
use peppercrank_standin::platform;
use peppercrank_standin::platform::PlatformSettings;
use rouille::Request;
use rouille::Response;
use rouille::Server;
use serde_json::Value;
use serde_json::json;
use tokio::runtime::Runtime;

/// Operator token of the daemons in tests.
pub const TOKEN: &str = "an-operators-token";

/// Result of one run of the command.
#[derive(Debug)]
pub struct RunResult {
    pub exit: Exit,
    pub out: String,
    pub err: String,
}

impl RunResult {
    /// Parses the standard output of a run with `--output json`.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|e| panic!("{e}: {self:?}"))
    }

    /// Parses the standard error of a run with `--output json`.
    pub fn error(&self) -> Value {
        serde_json::from_str(&self.err).unwrap_or_else(|e| panic!("{e}: {self:?}"))
    }
}

/// Runs the command with these arguments.
pub fn run(environment: &Environment, words: &[&str]) -> RunResult {
    let args = words.iter().map(OsString::from).collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = peppercrank_cli::run(args, environment, &mut out, &mut err);
    let text = |bytes| String::from_utf8(bytes).expect("text");
    RunResult {
        exit,
        out: text(out),
        err: text(err),
    }
}

/// A platform stand-in with the environment that points the command at it.
#[derive(Debug)]
pub struct TestPlatform {
    pub environment: Environment,
    pub address: SocketAddr,
    _running: ServerHandle,
    _runtime: Runtime,
}

impl TestPlatform {
    pub fn new() -> Self {
        Self::with(PlatformSettings::default())
    }

    pub fn with(settings: PlatformSettings) -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let running = runtime
            .block_on(platform::start(settings))
            .expect("a start");
        let address = running.addr;
        let environment = Environment {
            platform: Some(format!("http://{address}")),
            ..Environment::default()
        };
        Self {
            environment,
            address,
            _running: running,
            _runtime: runtime,
        }
    }

    /// Runs the command against the stand-in.
    pub fn run(&self, line: &str) -> RunResult {
        run(&self.environment, &line.split(' ').collect::<Vec<_>>())
    }

    /// Runs the command and asserts its exit code.
    #[track_caller]
    pub fn expect(&self, exit: Exit, line: &str) -> RunResult {
        let result = self.run(line);
        assert_eq!(result.exit, exit, "{line}: {result:?}");
        result
    }

    /// Configures fault injection of the stand-in.
    pub fn faults(&self, json: &str) {
        let answer = ureq::put(format!("http://{}/faults", self.address)).send(json);
        assert!(answer.expect("an answer").status().is_success(), "{json}");
    }

    /// Returns the call counters of the stand-in.
    pub fn calls(&self) -> Value {
        let answer = ureq::get(format!("http://{}/calls", self.address)).call();
        answer
            .expect("an answer")
            .body_mut()
            .read_json()
            .expect("JSON")
    }
}

/// Writes a file to cargo's scratch directory under a name that is unique to this process, and
/// returns its path.
pub fn file(name: &str, text: &str) -> String {
    let own = format!("{}-{name}", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(own);
    fs::write(&path, text).expect("a file");
    path.to_str().expect("a path").to_owned()
}

/// Writes a template with this weight, with a comment as operators write them, and returns its
/// path.
pub fn template(weight: u32) -> String {
    let text = format!(
        "// Weight {weight}.\n{{ \"parameters\": {{ \"weight\": {weight}, \"priority\": 5, \
         \"limit\": 1000, \"output\": 100, \"deadline_ms\": 60000 }} }}"
    );
    // Tests run concurrently and must not see another test's half-written file.
    let own = std::thread::current().id();
    file(&format!("template-{weight}-{own:?}.jsonc"), &text)
}

/// Starts an HTTP server that answers every request with `answer`, like the pages of a daemon.
pub fn http_server<F>(answer: F) -> SocketAddr
where
    F: Fn(&Request) -> Response + Send + Sync + 'static,
{
    let server = Server::new("127.0.0.1:0", answer).expect("a server");
    let address = server.server_addr();
    std::thread::spawn(move || server.run());
    address
}

/// Returns the loopback address with port 0, for any free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns the settings shared by all daemons of a test.
pub fn fleet(platform: &TestPlatform, vm: &str) -> FleetSettings {
    let settings = json!({
        "vm": vm, "zone": "rae", "gossip": any_port(), "control": any_port(), "operators": any_port(),
        "platform": { "url": format!("http://{}", platform.address) },
        "keys": [{ "id": 1, "secret": "0f".repeat(16) }],
        "tokens": [TOKEN],
    });
    serde_json::from_value(settings).expect("settings")
}
