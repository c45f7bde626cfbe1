// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests the platform client of peppercrank-wire against the platform stand-in.

mod support;

use std::time::Duration;

use peppercrank_standin::platform;
use peppercrank_standin::platform::PlatformSettings;
use peppercrank_standin::platform::Vm;
use peppercrank_standin::platform::VmRole;
use peppercrank_wire::platform::Access;
use peppercrank_wire::platform::Condition;
use peppercrank_wire::platform::Failure;
use peppercrank_wire::platform::Fetched;
use peppercrank_wire::platform::Platform;
use peppercrank_wire::platform::Watched;
use peppercrank_wire::platform::Written;
use serde_json::json;
use support::set_faults;

fn vm() -> Vm {
    Vm {
        name: "v1".to_owned(),
        zone: "rae".to_owned(),
        address: "127.0.0.1:4000".to_owned(),
        role: VmRole::Agent,
        leaving: true,
    }
}

#[test]
fn verify_client_reads_every_answer() {
    let runtime = support::runtime();
    let settings = PlatformSettings {
        vms: vec![vm()],
        ..PlatformSettings::default()
    };
    let running = runtime
        .block_on(platform::start(settings))
        .expect("a start");
    let client = Platform::new(&Access::new(running.addr));
    let put = |on| client.put("pool", "a", on, &json!({"x": 1}));
    assert_eq!(client.get("pool", "a"), Ok(Fetched::Absent));
    assert_eq!(put(Condition::New), Ok(Written::Done(1)));
    let conflict = |written: Result<Written, Failure>| match written {
        Ok(Written::Conflict(object)) => object.map(|o| (o.version, o.body)),
        other => panic!("{other:?}"),
    };
    let current = Some((1, Some(json!({"x": 1}))));
    assert_eq!(conflict(put(Condition::New)), current);
    assert_eq!(conflict(put(Condition::Version(9))), current);
    assert_eq!(conflict(client.delete("pool", "a", 9)), current);
    assert_eq!(client.delete("pool", "a", 1), Ok(Written::Done(2)));
    assert_eq!(conflict(client.delete("pool", "a", 2)), Some((2, None)));
    let listed = client.list("pool").expect("a list");
    assert_eq!((listed.revision, listed.objects.len()), (2, 1));
    let watched = client.watch("pool", 1, Duration::ZERO);
    assert_eq!(watched, Ok(Watched::Changes(listed)));
    assert_eq!(client.watch("pool", 3, Duration::ZERO), Ok(Watched::TooOld));
    let vms = client.vms().expect("a list");
    assert_eq!(
        (vms.vms.len(), vms.invalid, vms.vms[0].leaving),
        (1, 0, true)
    );
}

#[test]
fn verify_client_classifies_every_failure() {
    let runtime = support::runtime();
    let start = platform::start(PlatformSettings::default());
    let running = runtime.block_on(start).expect("a start");
    let access = Access {
        call: Duration::from_millis(300),
        ..Access::new(running.addr)
    };
    let second = Some(Duration::from_secs(1));
    // Faults and the failure of a write; in all but the first two cases the write may have taken
    // effect.
    let cases = [
        (json!({"outage": true}), Failure::Down),
        (json!({"throttle": true}), Failure::Throttled(second)),
        (json!({"drop_before": true}), Failure::Unknown),
        (json!({"drop_after": true}), Failure::Unknown),
        (json!({"lose_answer": true}), Failure::Unknown),
        (json!({"cut_after": 3}), Failure::Unknown),
    ];
    for (n, (faults, failure)) in cases.into_iter().enumerate() {
        set_faults(running.addr, &faults);
        let client = Platform::new(&access);
        let written = client.put("pool", &n.to_string(), Condition::New, &json!(1));
        assert_eq!(written, Err(failure), "{faults}");
    }
}
