// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Tests where a request may run if its route or its organisation lists regions, if both do, and if
//! the region of a target is unknown.

use std::sync::Arc;

use peppercrank_direct::regions::Regions;

fn only(names: &[&str]) -> Regions {
    Regions::of(names.iter().map(|n| Arc::from(*n)).collect())
}

#[test]
fn verify_allowed_regions() {
    let rows = [
        (only(&[]), [true, true, true]),
        (only(&["north"]), [true, false, false]),
        (only(&["north", "south"]), [true, true, false]),
        (
            only(&["north", "south"]).intersection(&only(&["south", "west"])),
            [false, true, false],
        ),
        (
            only(&["north"]).intersection(&Regions::Any),
            [true, false, false],
        ),
        (
            Regions::Any.intersection(&only(&["north"])),
            [true, false, false],
        ),
        // Both lists apply, so two lists without a common region allow none.
        (
            only(&["north"]).intersection(&only(&["south"])),
            [false, false, false],
        ),
    ];
    for (regions, allowed) in rows {
        let asked = [Some("north"), Some("south"), None];
        assert_eq!(asked.map(|r| regions.allows(r)), allowed, "{regions:?}");
    }
}
