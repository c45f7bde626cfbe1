// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Subcommands against the platform stand-in: objects, organisations and marks.

mod support;

use peppercrank_cli::Exit;
use serde_json::json;
use support::TestPlatform;
use support::file;
use support::template;

#[test]
fn verify_object_lifecycle() {
    let platform = TestPlatform::new();
    let [one, two] = [1, 2].map(template);
    let done = platform.expect(
        Exit::Done,
        &format!("publish template t {one} --output json"),
    );
    assert_eq!(done.json()["version"], 1);
    assert_eq!(done.json()["how"], "written");

    let got = platform.expect(Exit::Done, "get template t");
    assert!(
        got.out.starts_with("// template `t`, version 1\n{"),
        "{got:?}"
    );
    // The output of `get` is a file that `diff` and `revise` accept.
    let kept = file("kept.jsonc", &got.out);
    platform.expect(Exit::Done, &format!("diff template t {kept}"));
    let same = platform.expect(
        Exit::Done,
        &format!("revise template t {kept} --output json"),
    );
    assert_eq!(same.json()["how"], "unchanged");
    assert_eq!(same.json()["version"], 1);

    let differs = platform.expect(
        Exit::Differs,
        &format!("diff template t {two} --output json"),
    );
    let weight = json!([{ "path": "parameters.weight", "ours": 2, "theirs": 1 }]);
    assert_eq!(differs.json()["differences"], weight);
    let revised = platform.expect(Exit::Done, &format!("revise template t {two}"));
    assert!(revised.out.contains("it replaces version 1"), "{revised:?}");
    assert!(
        revised.out.contains("parameters.weight: 1 -> 2"),
        "{revised:?}"
    );

    let list = platform
        .expect(Exit::Done, "list template --output json")
        .json();
    assert_eq!(list["objects"][0]["name"], "t");
    assert_eq!(list["objects"][0]["version"], 2);
    platform.expect(Exit::Done, "delete template t");
    platform.expect(Exit::NotFound, "get template t");
    let list = platform
        .expect(Exit::Done, "list template --output json")
        .json();
    assert_eq!(list["objects"], json!([]));
    let again = platform.expect(
        Exit::Done,
        &format!("publish template t {one} --output json"),
    );
    assert_eq!(again.json()["version"], 4, "above the deletion's");
}

#[test]
fn verify_missing_objects_are_not_found() {
    let platform = TestPlatform::new();
    let one = template(1);
    let lines = [
        "get pool p",
        "delete pool p",
        "unmark e-1",
        "get-organisation o",
        &format!("revise template t {one}"),
        &format!("diff template t {one}"),
    ];
    for line in lines {
        platform.expect(Exit::NotFound, line);
    }
    assert_eq!(platform.calls()["writes"], 0);
}

#[test]
fn verify_invalid_file_is_not_sent() {
    let platform = TestPlatform::new();
    let broken = file("broken.jsonc", "{\n  \"parameters\": {,}\n}");
    let heavy = template(1001);
    for verb in ["publish", "validate"] {
        let result = platform.expect(
            Exit::Invalid,
            &format!("{verb} template t {broken} --output json"),
        );
        assert_eq!(result.error()["line"], 2);
        assert_eq!(result.error()["column"], 18);
        let result = platform.expect(
            Exit::Invalid,
            &format!("{verb} template t {heavy} --output json"),
        );
        assert_eq!(result.error()["path"], "spec.parameters.weight");
        platform.expect(Exit::Failure, &format!("{verb} template t /no/such/file"));
    }
    assert_eq!(platform.calls()["calls"], json!({}));
}

#[test]
fn verify_organisation_parameters_override_the_template() {
    let platform = TestPlatform::new();
    platform.expect(Exit::Done, &format!("publish template t {}", template(1)));
    platform.expect(Exit::Usage, "set-organisation o weight=3");
    platform.expect(
        Exit::Done,
        "set-organisation o template=t weight=3 models=a,b",
    );
    let got = platform
        .expect(Exit::Done, "get-organisation o --output json")
        .json();
    assert_eq!(got["parameters"]["weight"], 3);
    assert_eq!(got["parameters"]["models"], json!(["a", "b"]));
    assert_eq!(got["parameters"]["priority"], 5);
    assert_eq!(
        got["overrides"],
        json!({ "weight": 3, "models": ["a", "b"] })
    );

    platform.expect(Exit::Done, "set-organisation o weight= models=*");
    let got = platform
        .expect(Exit::Done, "get-organisation o --output json")
        .json();
    assert_eq!(got["overrides"], json!({ "models": [] }));
    assert_eq!(got["parameters"]["weight"], 1);

    let faults = [
        "weight=much",
        "colour=blue",
        "template=",
        "models=A",
        "weight",
    ];
    for fault in faults {
        platform.expect(Exit::Usage, &format!("set-organisation o {fault}"));
    }
    platform.expect(Exit::Invalid, "set-organisation o weight=0");
    platform.expect(Exit::Invalid, "set-organisation o keys=abc");
    platform.expect(Exit::Usage, "set-organisation o");
}

#[test]
fn verify_marks_are_set_changed_and_removed() {
    let platform = TestPlatform::new();
    platform.expect(Exit::Done, "mark e-1 --shutdown");
    let got = platform
        .expect(Exit::Done, "get mark e-1 --output json")
        .json();
    assert_eq!(got["spec"]["action"], "shutdown");
    let same = platform
        .expect(Exit::Done, "mark e-1 --shutdown --output json")
        .json();
    assert_eq!(same["how"], "unchanged");
    platform.expect(Exit::Done, "mark e-1 --remove --grace 30s");
    let got = platform
        .expect(Exit::Done, "get mark e-1 --output json")
        .json();
    assert_eq!(
        got["spec"],
        json!({ "target": "e-1", "action": "remove", "grace_ms": 30_000 })
    );
    platform.expect(Exit::Done, "unmark e-1");
    platform.expect(Exit::NotFound, "unmark e-1");

    for line in [
        "mark e-1",
        "mark e-1 --remove --shutdown",
        "mark e-1 --shutdown --grace 1s",
    ] {
        platform.expect(Exit::Usage, line);
    }
}

#[test]
fn verify_objects_are_checked_together() {
    let platform = TestPlatform::new();
    platform.expect(Exit::Done, "set-organisation o template=gone");
    let told = platform
        .expect(Exit::Done, "check-objects --output json")
        .json();
    assert_eq!(told["objects"], 1);
    assert_eq!(
        told["warnings"],
        json!(["organisation `o`: no template `gone`"])
    );
    platform.expect(
        Exit::Done,
        &format!("publish template gone {}", template(1)),
    );
    let told = platform.expect(Exit::Done, "check-objects").out;
    assert!(told.contains("2 objects, all valid"), "{told}");

    // An object that was written without this tool.
    let path = format!("http://{}/objects/pool/p", platform.address);
    let body = r#"{ "spec": { "serves": { "models": [] } } }"#;
    let answer = ureq::put(path).header("if-none-match", "*").send(body);
    assert!(answer.expect("an answer").status().is_success());
    let told = platform.expect(Exit::Invalid, "check-objects").out;
    assert!(
        told.contains("invalid: pool `p`, version 3: pool: `spec"),
        "{told}"
    );
}
