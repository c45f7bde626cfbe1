// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The verbs against the platform's stand-in: objects, organisations, marks.

mod support;

use peppercrank_cli::Exit;
use serde_json::json;
use support::TestPlatform;
use support::file;
use support::template;

#[test]
fn verify_object_goes_through_its_life() {
    let bench = TestPlatform::new();
    let [one, two] = [1, 2].map(template);
    let done = bench.expect(
        Exit::Done,
        &format!("publish template t {one} --output json"),
    );
    assert_eq!(done.json()["version"], 1);
    assert_eq!(done.json()["how"], "written");

    let got = bench.expect(Exit::Done, "get template t");
    assert!(
        got.out.starts_with("// template `t`, version 1\n{"),
        "{got:?}"
    );
    // What `get` prints is a file that `diff` and `revise` take.
    let kept = file("kept.jsonc", &got.out);
    bench.expect(Exit::Done, &format!("diff template t {kept}"));
    let same = bench.expect(
        Exit::Done,
        &format!("revise template t {kept} --output json"),
    );
    assert_eq!(same.json()["how"], "unchanged");
    assert_eq!(same.json()["version"], 1);

    let differs = bench.expect(
        Exit::Differs,
        &format!("diff template t {two} --output json"),
    );
    let weight = json!([{ "path": "parameters.weight", "ours": 2, "theirs": 1 }]);
    assert_eq!(differs.json()["differences"], weight);
    let revised = bench.expect(Exit::Done, &format!("revise template t {two}"));
    assert!(revised.out.contains("it replaces version 1"), "{revised:?}");
    assert!(
        revised.out.contains("parameters.weight: 1 -> 2"),
        "{revised:?}"
    );

    let list = bench
        .expect(Exit::Done, "list template --output json")
        .json();
    assert_eq!(list["objects"][0]["name"], "t");
    assert_eq!(list["objects"][0]["version"], 2);
    bench.expect(Exit::Done, "delete template t");
    bench.expect(Exit::NotFound, "get template t");
    let list = bench
        .expect(Exit::Done, "list template --output json")
        .json();
    assert_eq!(list["objects"], json!([]));
    let again = bench.expect(
        Exit::Done,
        &format!("publish template t {one} --output json"),
    );
    assert_eq!(again.json()["version"], 4, "above the deletion's");
}

#[test]
fn verify_what_is_not_there_is_not_found() {
    let bench = TestPlatform::new();
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
        bench.expect(Exit::NotFound, line);
    }
    assert_eq!(bench.calls()["writes"], 0);
}

#[test]
fn verify_faulty_file_is_not_sent() {
    let bench = TestPlatform::new();
    let broken = file("broken.jsonc", "{\n  \"parameters\": {,}\n}");
    let heavy = template(1001);
    for verb in ["publish", "validate"] {
        let ended = bench.expect(
            Exit::Invalid,
            &format!("{verb} template t {broken} --output json"),
        );
        assert_eq!(ended.error()["line"], 2);
        assert_eq!(ended.error()["column"], 18);
        let ended = bench.expect(
            Exit::Invalid,
            &format!("{verb} template t {heavy} --output json"),
        );
        assert_eq!(ended.error()["path"], "spec.parameters.weight");
        bench.expect(Exit::Failure, &format!("{verb} template t /no/such/file"));
    }
    assert_eq!(bench.calls()["calls"], json!({}));
}

#[test]
fn verify_organisation_parameters_stand_over_the_template() {
    let bench = TestPlatform::new();
    bench.expect(Exit::Done, &format!("publish template t {}", template(1)));
    bench.expect(Exit::Usage, "set-organisation o weight=3");
    bench.expect(
        Exit::Done,
        "set-organisation o template=t weight=3 models=a,b",
    );
    let got = bench
        .expect(Exit::Done, "get-organisation o --output json")
        .json();
    assert_eq!(got["parameters"]["weight"], 3);
    assert_eq!(got["parameters"]["models"], json!(["a", "b"]));
    assert_eq!(got["parameters"]["priority"], 5);
    assert_eq!(
        got["overrides"],
        json!({ "weight": 3, "models": ["a", "b"] })
    );

    bench.expect(Exit::Done, "set-organisation o weight= models=*");
    let got = bench
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
        bench.expect(Exit::Usage, &format!("set-organisation o {fault}"));
    }
    bench.expect(Exit::Invalid, "set-organisation o weight=0");
    bench.expect(Exit::Invalid, "set-organisation o keys=abc");
    bench.expect(Exit::Usage, "set-organisation o");
}

#[test]
fn verify_marks_are_set_changed_and_taken_back() {
    let bench = TestPlatform::new();
    bench.expect(Exit::Done, "mark e-1 --shutdown");
    let got = bench
        .expect(Exit::Done, "get mark e-1 --output json")
        .json();
    assert_eq!(got["spec"]["action"], "shutdown");
    let same = bench
        .expect(Exit::Done, "mark e-1 --shutdown --output json")
        .json();
    assert_eq!(same["how"], "unchanged");
    bench.expect(Exit::Done, "mark e-1 --remove --grace 30s");
    let got = bench
        .expect(Exit::Done, "get mark e-1 --output json")
        .json();
    assert_eq!(
        got["spec"],
        json!({ "target": "e-1", "action": "remove", "grace_ms": 30_000 })
    );
    bench.expect(Exit::Done, "unmark e-1");
    bench.expect(Exit::NotFound, "unmark e-1");

    for line in [
        "mark e-1",
        "mark e-1 --remove --shutdown",
        "mark e-1 --shutdown --grace 1s",
    ] {
        bench.expect(Exit::Usage, line);
    }
}

#[test]
fn verify_objects_are_checked_together() {
    let bench = TestPlatform::new();
    bench.expect(Exit::Done, "set-organisation o template=gone");
    let told = bench
        .expect(Exit::Done, "check-objects --output json")
        .json();
    assert_eq!(told["objects"], 1);
    assert_eq!(
        told["warnings"],
        json!(["organisation `o`: no template `gone`"])
    );
    bench.expect(
        Exit::Done,
        &format!("publish template gone {}", template(1)),
    );
    let told = bench.expect(Exit::Done, "check-objects").out;
    assert!(told.contains("2 objects, all valid"), "{told}");

    // An object that was written past our tools.
    let path = format!("http://{}/objects/pool/p", bench.address);
    let body = r#"{ "spec": { "serves": { "models": [] } } }"#;
    let answer = ureq::put(path).header("if-none-match", "*").send(body);
    assert!(answer.expect("an answer").status().is_success());
    let told = bench.expect(Exit::Invalid, "check-objects").out;
    assert!(
        told.contains("invalid: pool `p`, version 3: pool: `spec"),
        "{told}"
    );
}
