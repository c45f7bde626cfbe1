// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Whom failures that targets answer speak against.

use peppercrank_direct::attribution::Attribution;
use peppercrank_direct::attribution::End;
use peppercrank_direct::attribution::Suspect;
use peppercrank_direct::directory::TargetKey;
use slotmap::SlotMap;

/// How many targets failed a request, how it ended, and against how many that speaks.
const TABLE: &[(usize, End, usize)] = &[
    (0, End::Served, 0),
    (0, End::Failed, 0),
    (1, End::Served, 1),
    (1, End::Failed, 1),
    (2, End::Served, 2),
    (2, End::Failed, 0),
    (3, End::Served, 3),
    (3, End::Failed, 0),
];

#[test]
fn verify_whom_failures_speak_against() {
    for (failed, end, against) in TABLE {
        let mut targets = SlotMap::<TargetKey, ()>::with_key();
        let mut attribution = Attribution::default();
        for n in 0..*failed {
            let key = targets.insert(());
            let instance = format!("i-{n}").into();
            attribution.suspect(Suspect { key, instance });
        }
        let settled = attribution.settle(*end);
        assert_eq!(settled.len(), *against, "{failed} failed, {end:?}");
        assert!(attribution.settle(End::Served).is_empty(), "settled once");
    }
}
