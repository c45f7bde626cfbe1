// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Which requests have the same fingerprint.

use peppercrank_direct::content::Fingerprint;
use peppercrank_direct::content::RequestContent;

const REQUEST: RequestContent<'static> = RequestContent {
    method: "POST",
    host: b"one.example",
    path: "/safe/x?page=1",
    organisation: Some("org-one"),
    body: b"question",
};

#[test]
fn verify_each_part_of_a_request_changes_its_fingerprint() {
    let others = [
        RequestContent {
            method: "PUT",
            ..REQUEST
        },
        RequestContent {
            host: b"two.example",
            ..REQUEST
        },
        RequestContent {
            path: "/safe/x?page=2",
            ..REQUEST
        },
        RequestContent {
            organisation: Some("org-two"),
            ..REQUEST
        },
        RequestContent {
            organisation: None,
            ..REQUEST
        },
        RequestContent {
            body: b"question!",
            ..REQUEST
        },
    ];
    let known = Fingerprint::of(&REQUEST);
    assert_eq!(known, Fingerprint::of(&REQUEST));
    for other in others {
        assert_ne!(known, Fingerprint::of(&other), "{other:?}");
    }
}

#[test]
fn verify_bytes_cannot_move_between_parts() {
    let moved = RequestContent {
        path: "/safe/x?page=1org",
        organisation: Some("-one"),
        ..REQUEST
    };
    assert_ne!(Fingerprint::of(&REQUEST), Fingerprint::of(&moved));
}

#[test]
fn verify_a_fingerprint_is_the_same_in_every_process_and_version() {
    // Computed by an independent program from the same definition.
    let fingerprint = Fingerprint::of(&REQUEST).to_string();
    assert_eq!(fingerprint, "8f5d5a1aca286f98");
}
