// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The operator documentation: every command runs as written, and every table matches the code.

mod support;

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use peppercrank_cli::Environment;
use peppercrank_cli::Exit;
use peppercrank_core::events::Event;
use peppercrank_core::refusal::MayHaveRun;
use peppercrank_core::refusal::NotRun;
use peppercrank_settings::AgentSettings;
use peppercrank_settings::RouterSettings;
use peppercrank_wire::control::ControlLimits;
use peppercrank_wire::control::ControlResponse;
use peppercrank_wire::control::ControlServer;
use peppercrank_wire::edge::Refused;
use peppercrank_wire::seal::Identity;
use peppercrank_wire::seal::Key;
use peppercrank_wire::seal::KeyRing;
use peppercrank_wire::seal::SenderId;
use peppercrank_wire::stop::Stop;
use peppercrank_wire::stop::Stopper;
use peppercrank_wire::stop::stop;
use rouille::Response;
use serde_json::Value;
use serde_json::json;
use support::TestPlatform;
use support::http_server;
use support::run;
use tokio::runtime::Runtime;

/// Pages whose commands are run by this test.
const PAGES: &[&str] = &[
    "command-line.md",
    "draining.md",
    "install.md",
    "orders.md",
    "outages.md",
    "settings.md",
    "templates.md",
    "troubleshooting.md",
    "upgrade.md",
];

/// Prefixes of commands that are not run: those of other programs, and one of ours that does not
/// end by itself.
const ELSEWHERE: &[&str] = &["cargo build --release", "openssl rand -hex 32", "printf %s"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(name: &str) -> String {
    let path = root().join("docs/operators").join(name);
    fs::read_to_string(path).expect("a page")
}

/// Returns the lines of a page's `sh` blocks without comments.
fn commands(page: &str) -> Vec<String> {
    let mut inside = false;
    let mut found = Vec::new();
    for line in page.lines() {
        match line {
            "```sh" => inside = true,
            "```" => inside = false,
            line if inside && !line.starts_with('#') => found.push(line.to_owned()),
            _ => {}
        }
    }
    found
}

/// Resolves a path in a page: to the repository for `deploy/`, else to the scratch directory.
fn place(word: &str) -> String {
    let path = if word.starts_with("deploy/") {
        root().join(word)
    } else {
        PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("{}-page-{word}", std::process::id()))
    };
    path.to_str().expect("a path").to_owned()
}

fn is_path(word: &str) -> bool {
    word.starts_with("deploy/") || word.contains(".json")
}

/// A platform stand-in and the pages of one daemon, on which every change is in force at once.
struct Fleet {
    platform: TestPlatform,
    port: String,
    _stopper: Stopper,
    _runtime: Runtime,
}

/// Starts an agent's control server that accepts every order, writes a matching key file, and
/// returns the address.
async fn agent(stop: Stop) -> SocketAddr {
    let secret = "0f".repeat(16);
    let keys = format!("[{{ \"id\": 1, \"secret\": \"{secret}\" }}]");
    fs::write(place("keys.jsonc"), keys).expect("a file");
    let key = Key::from_hex(1, &secret).expect("a key");
    let ring = KeyRing::new(vec![key]).expect("a ring");
    let sender = SenderId(1);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let identity = Identity { sender, boot: 1 };
    let server = ControlServer::bind(any, None, identity, ring, ControlLimits::default()).await;
    let server = server.expect("a server");
    let address = server.address();
    let obeyed = |_, _| async { ControlResponse::Order(r#"{"Passed":"Obeyed"}"#.to_owned()) };
    tokio::spawn(server.serve(stop, obeyed));
    address
}

impl Fleet {
    fn new() -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let (stopper, stop) = stop();
        let control = runtime.block_on(agent(stop));
        let status = json!({
            "control": control,
            "vm": "entry-1", "zone": "rae", "role": "agent", "ready": true,
            "configuration": { "digest": "00", "version": 1, "objects": 1 },
            "targets": [{
                "name": "galley-llm-3", "pool": "galley-llm", "zone": "rae", "state": "Leaving",
                "load": { "cost": 0, "cap": 0, "running": 0, "waiting": 0 },
                "drain": { "action": "shutdown", "drained": true },
            }],
        });
        let address = http_server(move |request| match request.url().as_str() {
            "/status" => Response::json(&status),
            _ => Response::json(&json!({ "version": 1_000_000 })),
        });
        let vm = json!({ "name": "entry-1", "zone": "rae", "address": "127.0.0.1:7000", "role": "router" });
        let settings = serde_json::from_value(json!({ "vms": [vm], "vms_lag_ms": 0 }));
        Self {
            platform: TestPlatform::with(settings.expect("settings")),
            port: address.port().to_string(),
            _stopper: stopper,
            _runtime: runtime,
        }
    }

    /// Runs one command line of a page.
    fn run(&self, line: &str) {
        let (line, exit) = match line.split_once(" # exit ") {
            Some((line, code)) => (line, code.parse::<u8>().expect("a code")),
            None => (line, 0),
        };
        let (line, into) = match line.split_once(" > ") {
            Some((line, file)) => (line, Some(place(file))),
            None => (line, None),
        };
        let words = line.split(' ').skip(1).map(|word| {
            let path = is_path(word) || word == "deploy/pardikivi";
            if path { place(word) } else { word.to_owned() }
        });
        let words = words.collect::<Vec<_>>();
        if matches!(words[0].as_str(), "router" | "agent") {
            // The daemon would run until it is stopped, so only its settings are checked.
            check_settings(&words);
            return;
        }
        let mut words = words.iter().map(String::as_str).collect::<Vec<_>>();
        words.extend(["--operators-port", &self.port]);
        let result = run(&self.platform.environment, &words);
        assert_eq!(result.exit.code(), exit, "{line}: {result:?}");
        if let Some(file) = into {
            fs::write(file, result.out).expect("a file");
        }
    }
}

fn check_settings(words: &[String]) {
    let words = ["check-settings", &words[1], "--daemon-kind", &words[0]];
    let result = run(&Environment::default(), &words);
    assert_eq!(result.exit, Exit::Done, "{result:?}");
}

#[test]
fn verify_every_command_runs_as_written() {
    for name in PAGES {
        let fleet = Fleet::new();
        let commands = commands(&page(name));
        assert!(!commands.is_empty(), "{name} has no command");
        for line in commands {
            if line.starts_with("peppercrank ") {
                fleet.run(&line);
                continue;
            }
            let variable = line.strip_prefix("export PEPPERCRANK_");
            let known = ["PLATFORM=", "TOKEN=", "OPERATORS_TOKEN="];
            let ours = variable.is_some_and(|v| known.iter().any(|k| v.starts_with(k)));
            let theirs = ELSEWHERE.iter().any(|c| line.starts_with(c));
            assert!(ours || theirs, "{name}: `{line}` is not run by this test");
        }
    }
}

#[test]
fn verify_links_lead_somewhere() {
    let directory = root().join("docs/operators");
    for name in PAGES.iter().chain(&["README.md"]) {
        let text = page(name);
        for link in text.split("](").skip(1) {
            let target = link.split(')').next().expect("a target");
            let (file, anchor) = target.split_once('#').unwrap_or((target, ""));
            let path = directory.join(file);
            assert!(path.exists(), "{name}: {target}");
            if !anchor.is_empty() {
                let text = fs::read_to_string(&path).expect("a page");
                let heads = text.lines().filter_map(|l| l.strip_prefix("## "));
                let mut anchors =
                    heads.map(|h| h.to_lowercase().replace(' ', "-").replace('\'', ""));
                assert!(anchors.any(|a| a == anchor), "{name}: {target}");
            }
        }
    }
}

/// Returns the error codes of invalid requests found in the daemons' sources.
fn faults() -> BTreeSet<String> {
    const ENDS: &[&str] = &[
        "_empty",
        "_forbidden",
        "_malformed",
        "_missing",
        "_not_utf8",
        "_unknown",
    ];
    let mut found = BTreeSet::new();
    let mut places = vec![root().join("crates/peppercrank-daemon/src")];
    while let Some(place) = places.pop() {
        for entry in fs::read_dir(place).expect("a directory") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                places.push(path);
                continue;
            }
            let text = fs::read_to_string(path).expect("a source");
            let words = text.split('"').skip(1).step_by(2);
            let is_code = |w: &&str| {
                let letters = w
                    .bytes()
                    .all(|b| b.is_ascii_lowercase() || b"_8".contains(&b));
                letters && ENDS.iter().any(|end| w.ends_with(end))
            };
            found.extend(words.filter(is_code).map(str::to_owned));
        }
    }
    assert!(
        found.len() > 10,
        "the codes are not found any more: {found:?}"
    );
    found
}

#[test]
fn verify_every_reason_and_event_has_its_row() {
    let text = page("troubleshooting.md");
    let not_run = NotRun::ALL.iter().map(|r| r.code());
    let may_have_run = MayHaveRun::ALL.iter().map(|r| r.code());
    let edge = Refused::ALL.iter().map(|r| r.code());
    let faults = faults();
    let codes = not_run.chain(may_have_run).chain(edge);
    let codes = codes.chain(faults.iter().map(String::as_str));
    let codes = codes.collect::<Vec<_>>();
    for code in &codes {
        assert!(
            text.contains(&format!("\n| `{code}` |")),
            "no row for {code}"
        );
    }
    let rows = text
        .lines()
        .filter_map(|l| l.strip_prefix("| `")?.split('`').next());
    for row in rows {
        assert!(codes.contains(&row), "{row} is no code");
    }
    let events = text
        .lines()
        .filter(|l| l.starts_with("| ") && l[2..3].parse::<u8>().is_ok());
    let numbers = events.flat_map(|l| l[2..].split('|').next().unwrap_or_default().split(','));
    let numbers = numbers.map(|n| n.trim().parse().expect("a number"));
    let mut numbers = numbers.collect::<Vec<u16>>();
    numbers.sort_unstable();
    let all = Event::ALL.iter().map(|e| e.number()).collect::<Vec<_>>();
    assert_eq!(numbers, all);
}

/// Returns the rows of the settings page: path, default, minimum and maximum.
fn rows() -> Vec<[String; 4]> {
    let text = page("settings.md");
    let rows = text.lines().filter(|l| l.starts_with("| `"));
    let rows = rows.map(|l| {
        let mut cells = l
            .split('|')
            .skip(1)
            .map(|c| c.trim().trim_matches('`').to_owned());
        std::array::from_fn(|_| cells.next().expect("a cell"))
    });
    rows.collect()
}

/// Sets the value at a path, or removes it.
fn set(settings: &mut Value, path: &str, value: Option<&str>) {
    let (parents, last) = path.rsplit_once('.').unwrap_or(("", path));
    let mut at = settings;
    for key in parents.split('.').filter(|k| !k.is_empty()) {
        at = at
            .as_object_mut()
            .expect("an object")
            .entry(key)
            .or_insert(json!({}));
    }
    let at = at.as_object_mut().expect("an object");
    match value {
        Some(text) => at.insert(last.to_owned(), serde_json::from_str(text).expect("JSON")),
        None => at.remove(last),
    };
}

/// Parses settings as the daemon does and returns their debug text.
fn parsed(settings: &Value, agent: bool) -> Result<String, String> {
    let text = settings.to_string();
    if agent {
        let parsed = AgentSettings::parse(&text);
        return parsed.map(|s| format!("{s:?}")).map_err(|e| e.to_string());
    }
    let parsed = RouterSettings::parse(&text);
    parsed.map(|s| format!("{s:?}")).map_err(|e| e.to_string())
}

#[test]
fn verify_settings_page_tells_defaults_and_ranges() {
    let files = [("router", false), ("agent-service", true)];
    let files = files.map(|(name, agent)| {
        let path = root().join(format!("deploy/examples/{name}.jsonc"));
        let text = fs::read_to_string(path).expect("a text");
        let value = peppercrank_core::settings::parse::<Value>(&text).expect("sound");
        (value, agent)
    });
    let mut checked = 0;
    for [path, default, least, most] in rows() {
        let takes = |(file, agent): &&(Value, bool)| {
            let mut file = file.clone();
            set(&mut file, &path, Some("{}"));
            let refused = parsed(&file, *agent).expect_err("an object is no value");
            !refused.contains("unknown field")
        };
        let (file, agent) = files
            .iter()
            .find(takes)
            .expect("a daemon that has the field");
        let with = |value: Option<&str>| {
            let mut file = file.clone();
            set(&mut file, &path, value);
            parsed(&file, *agent)
        };
        let without = with(None);
        match default.as_str() {
            "required" => assert!(without.is_err(), "{path} is not required"),
            "none" => assert!(without.is_ok(), "{path} is required"),
            default => assert_eq!(without, with(Some(default)), "{path}"),
        }
        for bound in [&least, &most].into_iter().filter(|b| !b.is_empty()) {
            with(Some(bound)).unwrap_or_else(|e| panic!("{path} {bound}: {e}"));
        }
        if !least.is_empty() {
            // One more in the same unit exceeds the maximum.
            let past = past(&most);
            let refused = with(Some(&past)).expect_err("past the greatest value");
            assert!(refused.contains("outside"), "{path} {past}: {refused}");
        }
        checked += 1;
    }
    assert_eq!(
        checked, 42,
        "rows were added or lost: look at them, then change this number"
    );
}

/// Returns the value increased by one, with the same unit.
fn past(most: &str) -> String {
    let digits = most.trim_start_matches('"');
    let end = digits
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(digits.len());
    let number = digits[..end].parse::<u64>().expect("a number") + 1;
    let quote = if most.starts_with('"') { "\"" } else { "" };
    format!("{quote}{number}{}", &digits[end..])
}
