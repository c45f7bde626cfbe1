// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! When two requests count as the same.

use peppercrank_direct::content::Content;
use peppercrank_direct::content::Fingerprint;

const QUESTION: Content<'static> = Content {
    method: "POST",
    host: b"one.example",
    path: "/safe/x?page=1",
    organisation: Some("org-one"),
    body: b"question",
};

#[test]
fn verify_each_part_of_a_request_tells_it_apart() {
    let others = [
        Content {
            method: "PUT",
            ..QUESTION
        },
        Content {
            host: b"two.example",
            ..QUESTION
        },
        Content {
            path: "/safe/x?page=2",
            ..QUESTION
        },
        Content {
            organisation: Some("org-two"),
            ..QUESTION
        },
        Content {
            organisation: None,
            ..QUESTION
        },
        Content {
            body: b"question!",
            ..QUESTION
        },
    ];
    let known = Fingerprint::of(&QUESTION);
    assert_eq!(known, Fingerprint::of(&QUESTION));
    for other in others {
        assert_ne!(known, Fingerprint::of(&other), "{other:?}");
    }
}

#[test]
fn verify_no_part_is_taken_for_the_beginning_of_the_next() {
    let moved = Content {
        path: "/safe/x?page=1org",
        organisation: Some("-one"),
        ..QUESTION
    };
    assert_ne!(Fingerprint::of(&QUESTION), Fingerprint::of(&moved));
}

#[test]
fn verify_a_fingerprint_is_the_same_in_every_process_and_version() {
    // Made by another program from the same definition.
    let told = Fingerprint::of(&QUESTION).to_string();
    assert_eq!(told, "8f5d5a1aca286f98");
}
