// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What a process spends does not grow with the fleet.

use std::time::Duration;

use peppercrank_daemon::fleet::platform::list_pause;

/// Bytes of a VM's entry in the platform's list, with names as in `deploy/`.
const ENTRY: &str = r#"{"name":"vm-galley-llm-1","zone":"ulemiste","address":"10.1.0.11:7400","role":"agent","leaving":false},"#;

/// Bytes a second that reading the list may take, of the 4 KB for control.
const MOST: f64 = 301.0;

/// Reads a second of the platform that the list of VMs may take at any size.
const READS: f64 = 12.0;

/// Availability zones of a fleet of that size, and watchers of each.
const SIZES: [(u32, u32); 4] = [(13, 4), (100, 4), (400, 8), (1_670, 15)];
const WATCHERS: u32 = 2;

#[test]
fn verify_the_list_of_vms_stays_within_its_share_at_any_size() {
    for (members, zones) in SIZES {
        let live = usize::try_from(members).expect("few");
        let bytes = f64::from(members) * f64::from(u32::try_from(ENTRY.len()).expect("short"));
        let [watcher, other] = [true, false].map(|w| list_pause(live, w).as_secs_f64());
        for pause in [watcher, other] {
            assert!(bytes / pause < MOST, "{members}: {} B/s", bytes / pause);
        }
        let watchers = f64::from(WATCHERS * zones);
        let reads = watchers / watcher + (f64::from(members) - watchers) / other;
        assert!(reads < READS, "{members}: {reads} reads/s");
        // One of the watchers still reads it much more often than each of them does.
        let between = watcher / watchers;
        assert!(between <= 21.0, "{members}: a read each {between} s");
    }
}

#[test]
fn verify_a_process_that_knows_nobody_asks_again_soon() {
    for watcher in [true, false] {
        assert_eq!(list_pause(1, watcher), Duration::from_secs(1));
    }
}
