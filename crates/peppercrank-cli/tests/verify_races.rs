// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Concurrent operators, lost answers and platform outages.

mod support;

use std::thread;

use peppercrank_cli::Exit;
use serde_json::json;
use support::TestPlatform;
use support::run;
use support::template;

#[test]
fn verify_publish_of_an_existing_object_shows_it() {
    let platform = TestPlatform::new();
    let [one, two] = [1, 2].map(template);
    platform.expect(Exit::Done, &format!("publish template t {one}"));
    let result = platform.expect(
        Exit::Conflict,
        &format!("publish template t {two} --output json"),
    );
    let error = result.error();
    assert_eq!(error["exit"], 3);
    assert_eq!(error["current"]["version"], 1);
    assert_eq!(error["current"]["spec"]["parameters"]["weight"], 1);
    let differences = json!([{ "path": "parameters.weight", "ours": 2, "theirs": 1 }]);
    assert_eq!(error["differences"], differences);

    let text = platform
        .expect(Exit::Conflict, &format!("publish template t {two}"))
        .err;
    assert!(
        text.contains("is there already, at version 1; nothing was overwritten"),
        "{text}"
    );
    assert!(
        text.contains("parameters.weight: ours 2, theirs 1"),
        "{text}"
    );
}

#[test]
fn verify_stale_version_is_a_conflict_for_every_write() {
    let platform = TestPlatform::new();
    let [one, two, three] = [1, 2, 3].map(template);
    platform.expect(Exit::Done, &format!("publish template t {one}"));
    platform.expect(
        Exit::Done,
        &format!("revise template t {two} --if-version 1"),
    );
    platform.expect(Exit::Done, "set-organisation o template=t weight=1");
    platform.expect(Exit::Done, "set-organisation o weight=2 --if-version 3");
    let lines = [
        format!("revise template t {three} --if-version 1"),
        "delete template t --if-version 1".to_owned(),
        "set-organisation o weight=3 --if-version 3".to_owned(),
    ];
    for line in lines {
        let result = platform.expect(Exit::Conflict, &line);
        assert!(result.err.contains("nothing was overwritten"), "{result:?}");
    }
    let template = platform
        .expect(Exit::Done, "get template t --output json")
        .json();
    assert_eq!(template["spec"]["parameters"]["weight"], 2);
    let own = platform
        .expect(Exit::Done, "get-organisation o --output json")
        .json();
    assert_eq!(own["overrides"]["weight"], 2);
}

#[test]
fn verify_one_of_eight_racing_operators_wins() {
    let platform = TestPlatform::new();
    platform.expect(Exit::Done, &format!("publish template t {}", template(100)));
    let racers = (1..=8).map(|weight| {
        let (environment, path) = (platform.environment.clone(), template(weight));
        thread::spawn(move || {
            let words = ["revise", "template", "t", &path, "--if-version", "1"];
            (weight, run(&environment, &words))
        })
    });
    let racers = racers.collect::<Vec<_>>();
    let result = racers.into_iter().map(|r| r.join().expect("a racer"));
    let (won, lost): (Vec<_>, Vec<_>) = result.partition(|(_, e)| e.exit == Exit::Done);
    assert_eq!(won.len(), 1, "{won:?}");
    assert!(
        lost.iter().all(|(_, e)| e.exit == Exit::Conflict),
        "{lost:?}"
    );
    let got = platform
        .expect(Exit::Done, "get template t --output json")
        .json();
    assert_eq!(got["version"], 2);
    assert_eq!(got["spec"]["parameters"]["weight"], won[0].0);
}

#[test]
fn verify_lost_answer_is_recognised_by_its_publish_id() {
    let faults = [
        r#"{ "only": "put", "times": 1, "drop_after": true }"#,
        r#"{ "only": "put", "times": 1, "lose_answer": true }"#,
        r#"{ "only": "put", "times": 1, "cut_after": 5 }"#,
    ];
    for (at, fault) in faults.iter().enumerate() {
        let platform = TestPlatform::new();
        platform.faults(fault);
        let line = format!(
            "publish template t {} --timeout 12s --output json",
            template(1)
        );
        let done = platform.expect(Exit::Done, &line).json();
        assert_eq!(done["how"], "written before, recognised", "case {at}");
        assert_eq!(done["version"], 1);
        assert_eq!(platform.calls()["writes"], 1, "case {at}");
    }
}

#[test]
fn verify_lost_deletion_is_done_once() {
    let platform = TestPlatform::new();
    platform.expect(Exit::Done, "mark e-1 --shutdown");
    platform.faults(r#"{ "only": "delete", "times": 1, "drop_after": true }"#);
    platform.expect(Exit::Done, "unmark e-1");
    assert_eq!(platform.calls()["writes"], 2);
    platform.expect(Exit::NotFound, "get mark e-1");
}

#[test]
fn verify_unknown_outcome_is_resolved_by_publish_id() {
    let platform = TestPlatform::new();
    let one = template(1);
    // The first read succeeds; the write takes effect, but its answer and all later ones are lost.
    platform.faults(r#"{ "skip": 1, "drop_after": true }"#);
    let line = format!("publish template t {one} --timeout 5s --output json");
    let error = platform.expect(Exit::Unknown, &line).error();
    let id = error["publish"].as_str().expect("an id").to_owned();

    platform.faults("{}");
    let line = format!("publish template t {one} --publish-id {id} --output json");
    let done = platform.expect(Exit::Done, &line).json();
    assert_eq!(done["how"], "written before, recognised");
    assert_eq!(platform.calls()["writes"], 1);

    // Another operator's change is not mistaken for it.
    let two = template(2);
    platform.expect(Exit::Conflict, &format!("publish template t {two}"));
}

#[test]
fn verify_outage_is_reported_and_nothing_is_written() {
    let cases = [
        r#"{ "outage": true }"#,
        r#"{ "throttle": true }"#,
        r#"{ "drop_before": true, "only": "get" }"#,
        r#"{ "delay_ms": 60000, "only": "get" }"#,
    ];
    for fault in cases {
        let platform = TestPlatform::new();
        platform.faults(fault);
        let one = template(1);
        let publish = format!("publish template t {one} --timeout 500ms");
        for line in [&publish, "get template t --timeout 500ms"] {
            let result = platform.expect(Exit::Unavailable, line);
            assert!(result.err.contains("nothing was written"), "{result:?}");
        }
        platform.faults("{}");
        platform.expect(Exit::NotFound, "get template t");
        assert_eq!(platform.calls()["writes"], 0, "{fault}");
    }
}

#[test]
fn verify_short_outage_is_retried() {
    for fault in [
        r#"{ "times": 2, "outage": true }"#,
        r#"{ "times": 2, "drop_before": true }"#,
        r#"{ "times": 1, "throttle": true }"#,
    ] {
        let platform = TestPlatform::new();
        platform.faults(fault);
        platform.expect(Exit::Done, &format!("publish template t {}", template(1)));
        assert_eq!(platform.calls()["writes"], 1, "{fault}");
    }
}
