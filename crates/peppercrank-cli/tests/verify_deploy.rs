// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Every file under `deploy/` parses, passes validation, and refers only to things that exist.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ffi::OsStr;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use peppercrank_cli::Exit;
use peppercrank_config::checks::validate_spec;
use peppercrank_config::object::Spec;
use peppercrank_core::names::ObjectName;
use peppercrank_core::objects::ObjectKind;
use peppercrank_core::objects::PoolWorkload;
use peppercrank_core::settings::parse;
use peppercrank_settings::AgentSettings;
use peppercrank_settings::GatewaySettings;
use peppercrank_settings::RouterSettings;
use peppercrank_standin::engine::EngineSettings;
use peppercrank_standin::platform::PlatformSettings;
use peppercrank_standin::service::ServiceSettings;
use serde_json::Value;
use support::TestPlatform;

const ZONES: &[(&str, [&str; 4])] = &[
    ("pardikivi", ["ulemiste", "muuga", "lasnamae", "rae"]),
    (
        "trentholme",
        [
            "derby-hall",
            "nottingham-hall",
            "leicester-hall",
            "loughborough-hall",
        ],
    ),
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy")
}

/// Returns all files under a directory.
fn files(at: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(at).expect("a directory");
    let paths = entries.map(|e| e.expect("an entry").path());
    let found = paths.flat_map(|p| if p.is_dir() { files(&p) } else { vec![p] });
    found.collect()
}

fn stem(path: &Path) -> &str {
    path.file_stem().and_then(OsStr::to_str).expect("a name")
}

fn directory(path: &Path) -> &str {
    let parent = path.parent().and_then(Path::file_name);
    parent.and_then(OsStr::to_str).expect("a directory")
}

/// Reads and validates the objects of a deployment.
fn objects(deployment: &str) -> BTreeMap<(ObjectKind, String), Spec> {
    let all = files(&root().join(deployment));
    let all = all.iter().filter_map(|path| {
        let kind = ObjectKind::from_code(directory(path))?;
        let text = fs::read_to_string(path).expect("a text");
        let value: Value = peppercrank_core::settings::parse(&text)
            .unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        let name = ObjectName::new(stem(path)).expect("an object's name");
        let spec =
            validate_spec(kind, &name, value).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        Some(((kind, stem(path).to_owned()), spec))
    });
    all.collect()
}

/// Parses a stand-in's settings; the kind is taken from the file name.
fn check_stand_in(path: &Path, text: &str) {
    let parsed = match stem(path).split('-').next() {
        Some("platform") => parse::<PlatformSettings>(text).map(drop),
        Some("engine") => parse::<EngineSettings>(text).map(drop),
        Some("service") => parse::<ServiceSettings>(text).map(drop),
        _ => panic!("{}", path.display()),
    };
    parsed.unwrap_or_else(|e| panic!("{}: {e}", path.display()));
}

#[test]
fn verify_loopback_fleet_is_consistent() {
    let objects = objects("loopback");
    let read = |place: &str| {
        let paths = files(&root().join("loopback").join(place));
        let read = |path: PathBuf| {
            let text = fs::read_to_string(&path).expect("a text");
            let value: Value = peppercrank_core::settings::parse(&text).expect("sound");
            (stem(&path).to_owned(), value)
        };
        paths.into_iter().map(read).collect::<BTreeMap<_, _>>()
    };
    let stand_ins = read("standin");
    let daemons = read("settings");
    let vms = stand_ins["platform"]["vms"].as_array().expect("a list");
    assert_eq!(vms.len(), daemons.len());
    let platform = stand_ins["platform"]["listen"].as_str().expect("a text");
    let mut taken = BTreeSet::new();
    for (name, daemon) in &daemons {
        let fleet = &daemon["fleet"];
        let listed = vms.iter().find(|vm| vm["name"] == fleet["vm"]);
        let listed = listed.unwrap_or_else(|| panic!("{name} is not listed"));
        assert_eq!(listed["address"], fleet["gossip"], "{name}");
        assert_eq!(listed["zone"], fleet["zone"], "{name}");
        assert_eq!(fleet["platform"]["url"], format!("http://{platform}"));
        let own = [
            &fleet["gossip"],
            &fleet["control"],
            &fleet["operators"],
            &daemon["listen"],
        ];
        for address in own {
            assert!(
                taken.insert(address.to_string()),
                "{name}: {address} is used twice"
            );
        }
        if let Some(target) = daemon.get("target") {
            let pool = target["pool"].as_str().expect("a name").to_owned();
            assert!(objects.contains_key(&(ObjectKind::Pool, pool)), "{name}");
            let serves = |s: &&Value| s["listen"] == target["address"];
            assert!(stand_ins.values().any(|s| serves(&s)), "{name}: no target");
        }
    }
}

/// Checks that the platform's role file names existing templates and programs that it builds.
fn check_roles(path: &Path) {
    let text = fs::read_to_string(path).expect("a text");
    let values = |key: &str| {
        let lines = text.lines().filter_map(|l| l.split_once(" = "));
        let found = lines.filter(|(k, _)| *k == key);
        let found = found.map(|(_, v)| v.trim_matches('"').to_owned());
        found.collect::<Vec<_>>()
    };
    let templates = values("template");
    assert!(!templates.is_empty());
    for template in templates {
        let path = root().join("..").join(&template);
        assert!(path.exists(), "{template}");
    }
    for run in values("run") {
        let program = run.split(' ').next().and_then(|p| p.rsplit('/').next());
        let program = program.expect("a program");
        assert!(values("build").iter().any(|b| b.contains(program)), "{run}");
    }
}

/// Checks that a fault scenario names its source, is named like its file, and fits any deployment:
/// names of one deployment's parts are placeholders.
fn check_day(path: &Path) {
    let text = fs::read_to_string(path).expect("a text");
    assert!(text.starts_with("# "), "{}", path.display());
    assert!(text.contains("After:"), "{}", path.display());
    let stem = path.file_stem().and_then(OsStr::to_str).expect("a name");
    assert!(text.contains(&format!("name = \"{stem}\"")), "{stem}");
    assert_eq!(text.matches("[[day]]").count(), 1, "{stem}");
    assert!(text.contains("plan = [") && text.contains("faults = ["));
    for entry in text.lines().filter(|l| l.starts_with("  {")) {
        assert!(entry.contains("at = ") && entry.contains("kind = \""));
        for key in ["class", "service", "zone", "to_zone"] {
            let named = format!(" {key} = \"");
            let mut values = entry.split(&named).skip(1);
            assert!(values.all(|v| v.starts_with('@')), "{entry}");
        }
    }
}

#[test]
fn verify_every_file_has_a_known_type_and_is_valid() {
    let mut seen = 0;
    for path in files(&root()) {
        let name = path.file_name().and_then(OsStr::to_str).expect("a name");
        if name == "README.md" {
            continue;
        }
        if name == "system.toml" {
            check_roles(&path);
            seen += 1;
            continue;
        }
        if directory(&path) == "days" {
            check_day(&path);
            seen += 1;
            continue;
        }
        let comments = path.extension() == Some(OsStr::new("jsonc"));
        assert!(comments, "{}", path.display());
        let text = fs::read_to_string(&path).expect("a text");
        let checked = match directory(&path) {
            "examples" | "settings" if name.starts_with("router") => {
                RouterSettings::parse(&text).map(drop)
            }
            "examples" | "settings" if name.starts_with("agent-") => {
                AgentSettings::parse(&text).map(drop)
            }
            "examples" if name.starts_with("gateway") => GatewaySettings::parse(&text).map(drop),
            // These are filled in and parsed by the tests of the adapter, which knows the names of
            // the placeholders.
            "platform" => {
                assert!(text.contains("{{"), "{}", path.display());
                Ok(())
            }
            "standin" => {
                check_stand_in(&path, &text);
                Ok(())
            }
            kind => {
                assert!(ObjectKind::from_code(kind).is_some(), "{}", path.display());
                Ok(())
            }
        };
        checked.unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        seen += 1;
    }
    assert_eq!(
        seen, 101,
        "files were added or lost: look at them, then change this number"
    );
}

#[test]
fn verify_examples_show_every_default() {
    let text = fs::read_to_string(root().join("examples/router.jsonc")).expect("a text");
    let shown = RouterSettings::parse(&text).expect("sound");
    let defaults = RouterSettings::new(shown.fleet.clone(), shown.listen);
    assert_eq!(shown, defaults);
    let text = fs::read_to_string(root().join("examples/agent-engine.jsonc")).expect("a text");
    let shown = AgentSettings::parse(&text).expect("sound");
    let defaults = AgentSettings::new(shown.fleet.clone(), shown.listen, shown.target.clone());
    assert_eq!(shown, defaults);
}

#[test]
fn verify_deployments_are_consistent() {
    for (deployment, zones) in ZONES {
        let objects = objects(deployment);
        let count = |kind| objects.keys().filter(|(k, _)| *k == kind).count();
        assert_eq!(count(ObjectKind::Organisation), 10, "{deployment}");
        assert_eq!(count(ObjectKind::Pool), 2, "{deployment}");
        for ((_, name), spec) in &objects {
            match spec {
                Spec::Organisation(o) => {
                    let template = (ObjectKind::Template, o.template.to_string());
                    assert!(objects.contains_key(&template), "{deployment} {name}");
                }
                Spec::Template(t) => {
                    for pool in &t.parameters.services {
                        let pool = (ObjectKind::Pool, pool.to_string());
                        assert!(objects.contains_key(&pool), "{deployment} {name}");
                    }
                    for model in &t.parameters.models {
                        let served = objects.values().any(|s| {
                            matches!(s, Spec::Pool(p)
                                if matches!(&p.serves, PoolWorkload::Models(m) if m.contains(model)))
                        });
                        assert!(served, "{deployment} {name}: no pool serves {model}");
                    }
                }
                Spec::Pool(_) | Spec::Mark(_) => {}
            }
        }
        for path in files(&root().join(deployment).join("settings")) {
            let text = fs::read_to_string(&path).expect("a text");
            let zone = if stem(&path).starts_with("router") {
                RouterSettings::parse(&text).expect("sound").fleet.zone
            } else {
                let settings = AgentSettings::parse(&text).expect("sound");
                let pool = (ObjectKind::Pool, settings.target.pool.to_string());
                assert!(objects.contains_key(&pool), "{}", path.display());
                settings.fleet.zone
            };
            assert!(zones.contains(&zone.as_str()), "{}", path.display());
        }
    }
}

#[test]
fn verify_one_weighs_skew_and_the_other_reuse() {
    let policy = |deployment, pool: &str| {
        let objects = objects(deployment);
        match &objects[&(ObjectKind::Pool, pool.to_owned())] {
            Spec::Pool(pool) => pool.policy.clone(),
            other => panic!("{other:?}"),
        }
    };
    let skew = policy("pardikivi", "galley-llm");
    let reuse = policy("trentholme", "peppercrank-pool");
    assert!(skew.cap < reuse.cap);
    assert!(skew.floor < reuse.floor);
    assert!(skew.prefix < reuse.prefix);
    assert!(skew.wait_ms < reuse.wait_ms);
}

/// Runs `publish-all` and counts its results.
fn counts(platform: &TestPlatform, exit: Exit, line: &str) -> BTreeMap<String, usize> {
    let json = platform
        .expect(exit, &format!("{line} --output json"))
        .json();
    let objects = json["objects"].as_array().expect("objects").clone();
    let mut counts = BTreeMap::new();
    for object in objects {
        let how = object["how"].as_str().expect("a word").to_owned();
        *counts.entry(how).or_default() += 1;
    }
    counts
}

#[test]
fn verify_deployment_is_published_and_republished() {
    let of = |word: &str, count| BTreeMap::from([(word.to_owned(), count)]);
    for (deployment, _) in ZONES {
        let platform = TestPlatform::new();
        let directory = root().join(deployment);
        let line = format!("publish-all {}", directory.display());
        assert_eq!(counts(&platform, Exit::Done, &line), of("created", 15));
        assert_eq!(counts(&platform, Exit::Done, &line), of("unchanged", 15));
        assert_eq!(platform.calls()["writes"], 15);

        // A later change is left alone unless `--revise` is given.
        let name = match *deployment {
            "pardikivi" => "vaike-air",
            _ => "county-clerks",
        };
        platform.expect(Exit::Done, &format!("set-organisation {name} weight=7"));
        let mixed = counts(&platform, Exit::Differs, &line);
        assert_eq!(mixed["differs, left alone"], 1);
        assert_eq!(mixed["unchanged"], 14);
        let own = platform.expect(
            Exit::Done,
            &format!("get-organisation {name} --output json"),
        );
        assert_eq!(own.json()["overrides"]["weight"], 7);
        assert_eq!(
            counts(&platform, Exit::Done, &format!("{line} --revise"))["revised"],
            1
        );
        assert_eq!(counts(&platform, Exit::Done, &line), of("unchanged", 15));
    }
}

#[test]
fn verify_one_invalid_file_blocks_the_directory() {
    let platform = TestPlatform::new();
    let base =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-faulty", std::process::id()));
    for kind in ["pool", "template"] {
        fs::create_dir_all(base.join(kind)).expect("a directory");
    }
    let pool = fs::read_to_string(root().join("pardikivi/pool/galley-llm.jsonc"));
    fs::write(base.join("pool/p.jsonc"), pool.expect("a text")).expect("a file");
    let faulty = base.join("template/t.jsonc");
    fs::write(&faulty, r#"{ "parameters": { "weight": 0 } }"#).expect("a file");
    let line = format!("publish-all {}", base.display());
    let result = platform.expect(Exit::Invalid, &line);
    assert!(
        result.err.starts_with(faulty.to_str().expect("a path")),
        "{result:?}"
    );
    platform.expect(
        Exit::Failure,
        &format!("publish-all {}", base.join("pool").display()),
    );
    assert_eq!(platform.calls()["writes"], 0);
}
