// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Checks of each kind, case by case.

use peppercrank_config::Store;
use peppercrank_config::Version;
use peppercrank_config::cross::Warning;
use peppercrank_config::cross::warnings;
use peppercrank_config::errors::Flaw;
use peppercrank_config::validate;
use peppercrank_core::names::ObjectName;
use peppercrank_core::objects::ObjectKey;
use peppercrank_core::objects::ObjectKind;
use serde_json::Value;
use serde_json::json;

const TEMPLATE: &str = r#"{"spec":{"parameters":{"weight":10,"priority":5,"limit":1000,
    "output":256,"deadline_ms":60000,"models":["m"]}}}"#;
const ORGANISATION: &str = r#"{"spec":{"template":"t","overrides":{"weight":3},
    "keys":["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]}}"#;
const POOL: &str = r#"{"spec":{"serves":{"models":["m"]},"policy":{"cap":1.25,"floor":8000,
    "queue":64,"wait_ms":2000,"prefix":2048,"tries":3,"retries":0.1}}}"#;
const MARK: &str = r#"{"spec":{"target":"x","action":"remove","grace_ms":5}}"#;

fn good(kind: ObjectKind) -> Value {
    let text = match kind {
        ObjectKind::Template => TEMPLATE,
        ObjectKind::Organisation => ORGANISATION,
        ObjectKind::Pool => POOL,
        ObjectKind::Mark => MARK,
    };
    serde_json::from_str(text).unwrap()
}

fn check(kind: ObjectKind, body: &Value) -> Result<(), (String, Flaw)> {
    let name = ObjectName::new("x").unwrap();
    let checked = validate(kind, &name, &body.to_string());
    checked.map(drop).map_err(|f| (f.path, f.flaw))
}

#[test]
fn verify_good_objects() {
    for kind in ObjectKind::ALL {
        assert_eq!(check(*kind, &good(*kind)), Ok(()));
    }
    let service = json!({"service": {"cost": 1, "repeatable": false}});
    let mut pool = good(ObjectKind::Pool);
    pool["spec"]["serves"] = service;
    assert_eq!(check(ObjectKind::Pool, &pool), Ok(()));
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table")]
fn verify_faults_with_paths() {
    use ObjectKind::Mark;
    use ObjectKind::Organisation;
    use ObjectKind::Pool;
    use ObjectKind::Template;
    let upper = json!(["A".repeat(64)]);
    let twice = json!(["a".repeat(64), "a".repeat(64)]);
    let cases = [
        (
            Template,
            "/spec/parameters/weight",
            json!(0),
            "spec.parameters.weight",
        ),
        (
            Template,
            "/spec/parameters/weight",
            json!(1_001),
            "spec.parameters.weight",
        ),
        (
            Template,
            "/spec/parameters/weight",
            json!(-1),
            "spec.parameters.weight",
        ),
        (
            Template,
            "/spec/parameters/priority",
            json!(10),
            "spec.parameters.priority",
        ),
        (
            Template,
            "/spec/parameters/limit",
            json!(0),
            "spec.parameters.limit",
        ),
        (
            Template,
            "/spec/parameters/output",
            json!(0),
            "spec.parameters.output",
        ),
        (
            Template,
            "/spec/parameters/deadline_ms",
            json!(0),
            "spec.parameters.deadline_ms",
        ),
        (
            Template,
            "/spec/parameters/models",
            json!(["m", "m"]),
            "spec.parameters.models",
        ),
        (
            Template,
            "/spec/parameters/models",
            json!(["M"]),
            "spec.parameters.models[0]",
        ),
        (
            Template,
            "/spec/parameters",
            json!({"weight": 1}),
            "spec.parameters",
        ),
        (Template, "/spec", json!({"parameter": 1}), "spec.parameter"),
        (
            Organisation,
            "/spec/template",
            json!("No Name"),
            "spec.template",
        ),
        (
            Organisation,
            "/spec/overrides/weight",
            json!(0),
            "spec.overrides.weight",
        ),
        (
            Organisation,
            "/spec/overrides",
            json!({"wait": 1}),
            "spec.overrides.wait",
        ),
        (Organisation, "/spec/keys", upper, "spec.keys[0]"),
        (Organisation, "/spec/keys", json!(["ab"]), "spec.keys[0]"),
        (Organisation, "/spec/keys", twice, "spec.keys"),
        (
            Pool,
            "/spec/serves",
            json!({"models": []}),
            "spec.serves.models",
        ),
        (Pool, "/spec/policy/cap", json!(1.0), "spec.policy.cap"),
        (Pool, "/spec/policy/cap", json!(10.5), "spec.policy.cap"),
        (Pool, "/spec/policy/floor", json!(0), "spec.policy.floor"),
        (
            Pool,
            "/spec/policy/queue",
            json!(100_001),
            "spec.policy.queue",
        ),
        (
            Pool,
            "/spec/policy/wait_ms",
            json!(600_001),
            "spec.policy.wait_ms",
        ),
        (Pool, "/spec/policy/prefix", json!(0), "spec.policy.prefix"),
        (Pool, "/spec/policy/tries", json!(0), "spec.policy.tries"),
        (
            Pool,
            "/spec/policy/retries",
            json!(1.1),
            "spec.policy.retries",
        ),
        (Mark, "/spec/target", json!("y"), "spec.target"),
        (Mark, "/spec/action", json!("shutdown"), "spec.grace_ms"),
        (Mark, "/spec/action", json!("stop"), "spec.action"),
        (Mark, "/spec/grace_ms", json!(86_400_001), "spec.grace_ms"),
    ];
    for (kind, at, value, path) in cases {
        let mut body = good(kind);
        *body.pointer_mut(at).unwrap() = value.clone();
        let fault = check(kind, &body).expect_err(&format!("{at} = {value}"));
        assert_eq!(fault.0, path, "{at} = {value}: {}", fault.1);
    }
}

#[test]
fn verify_faulty_envelopes() {
    let name = ObjectName::new("x").unwrap();
    let long = format!("{{\"spec\":\"{}\"}}", "x".repeat(1 << 20));
    let trailing = format!("{TEMPLATE} x");
    let bodies = [
        "",
        "{",
        "[]",
        "null",
        "{}",
        "{\"spec\":null}",
        &long,
        &trailing,
    ];
    for body in bodies {
        assert!(
            validate(ObjectKind::Template, &name, body).is_err(),
            "{body:.20}"
        );
    }
    let mut body = good(ObjectKind::Template);
    for (id, fine) in [
        ("0".repeat(32), true),
        ("0".repeat(31), false),
        ("+".repeat(32), false),
    ] {
        body["publish"] = json!(id);
        assert_eq!(check(ObjectKind::Template, &body).is_ok(), fine, "{id}");
    }
}

#[test]
fn verify_parameters_resolved() {
    let mut store = Store::new();
    put(
        &mut store,
        ObjectKind::Organisation,
        "o",
        1,
        Some(ORGANISATION),
    );
    let name = "o".parse().unwrap();
    let digest = [0xaa; 32];
    assert!(store.organisation(&name).unwrap().parameters.is_none());
    assert!(matches!(warnings(&store)[..], [Warning::NoTemplate { .. }]));
    put(&mut store, ObjectKind::Template, "t", 2, Some(TEMPLATE));
    assert!(matches!(warnings(&store)[..], [Warning::NoModel { .. }]));
    put(&mut store, ObjectKind::Pool, "p", 3, Some(POOL));
    assert_eq!(warnings(&store), []);
    let found = store.organisation_by_key(&digest).unwrap();
    let parameters = found.parameters.as_ref().unwrap();
    assert_eq!((parameters.weight, parameters.priority), (3, 5));
    let model = "m".parse().unwrap();
    assert_eq!(store.pools_of(&model).count(), 1);
    // The template's change reaches those that name it; its deletion leaves them without.
    let changed = TEMPLATE.replace("\"priority\":5", "\"priority\":7");
    put(&mut store, ObjectKind::Template, "t", 4, Some(&changed));
    let found = store.organisation_by_key(&digest).unwrap();
    assert_eq!(found.parameters.as_ref().unwrap().priority, 7);
    put(&mut store, ObjectKind::Template, "t", 5, None);
    assert!(store.organisation(&name).unwrap().parameters.is_none());
    // A key of two organisations finds neither.
    put(
        &mut store,
        ObjectKind::Organisation,
        "o2",
        6,
        Some(ORGANISATION),
    );
    assert!(store.organisation_by_key(&digest).is_none());
    assert!(matches!(warnings(&store)[0], Warning::SharedKey { .. }));
    put(&mut store, ObjectKind::Organisation, "o2", 7, None);
    assert!(store.organisation_by_key(&digest).is_some());
    put(&mut store, ObjectKind::Pool, "p", 8, None);
    assert_eq!(store.pools_of(&model).count(), 0);
    put(&mut store, ObjectKind::Mark, "x", 9, Some(MARK));
    let target = "x".parse().unwrap();
    assert_eq!(store.mark(&target).unwrap().grace_ms, 5);
    put(&mut store, ObjectKind::Mark, "x", 10, None);
    assert!(store.mark(&target).is_none());
}

fn put(store: &mut Store, kind: ObjectKind, name: &str, version: u64, body: Option<&str>) {
    let name = ObjectName::new(name).unwrap();
    store.merge(&peppercrank_config::Object {
        key: ObjectKey { kind, name },
        version: Version(version),
        body: body.map(Into::into),
    });
}
