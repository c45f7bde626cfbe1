// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Attribution of failed answers to targets or to the request.

use peppercrank_direct::attribution::Attribution;
use peppercrank_direct::attribution::RequestEnd;
use peppercrank_direct::attribution::Suspect;
use peppercrank_direct::directory::TargetKey;
use slotmap::SlotMap;

/// How many targets failed a request, how the request ended, and how many targets the failures
/// count against.
const TABLE: &[(usize, RequestEnd, usize)] = &[
    (0, RequestEnd::Served, 0),
    (0, RequestEnd::Failed, 0),
    (1, RequestEnd::Served, 1),
    (1, RequestEnd::Failed, 1),
    (2, RequestEnd::Served, 2),
    (2, RequestEnd::Failed, 0),
    (3, RequestEnd::Served, 3),
    (3, RequestEnd::Failed, 0),
];

#[test]
fn verify_which_targets_failures_count_against() {
    for (failed, end, against) in TABLE {
        let mut targets = SlotMap::<TargetKey, ()>::with_key();
        let mut attribution = Attribution::default();
        for n in 0..*failed {
            let key = targets.insert(());
            let instance = format!("i-{n}").into();
            attribution.add_suspect(Suspect { key, instance });
        }
        let settled = attribution.resolve(*end);
        assert_eq!(settled.len(), *against, "{failed} failed, {end:?}");
        assert!(
            attribution.resolve(RequestEnd::Served).is_empty(),
            "resolved once"
        );
    }
}
