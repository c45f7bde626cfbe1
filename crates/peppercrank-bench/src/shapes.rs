// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The shapes of the traces that are reported.

use crate::trace::Shape;

/// Long documents, the top one asked for by a fifth; chats mostly return within minutes.
pub const AUTHORITIES: Shape = Shape {
    engines: 9,
    routers: 4,
    seconds: 3_600,
    warm: 1_200,
    load: 0.8,
    surge: None,
    documents: 2_000,
    lead: 0.8,
    pause: 120.0,
    hours: 0.1,
    memory: 300_000,
};

/// Chats with few documents that return after minutes and hours to little memory.
pub const RETURNING: Shape = Shape {
    seconds: 7_200,
    warm: 3_600,
    documents: 200,
    lead: 0.2,
    hours: 0.4,
    memory: 150_000,
    ..AUTHORITIES
};

/// Manifests; one organisation surges for two hours of the night.
pub const NIGHT: Shape = Shape {
    seconds: 7_200,
    warm: 1_800,
    load: 0.6,
    surge: Some((1_800, 7_200)),
    documents: 200,
    lead: 0.5,
    hours: 0.2,
    ..AUTHORITIES
};

/// Authorities through churn at the half, where eight engines can carry what nine did.
pub const CHURN: Shape = Shape {
    seconds: 2_400,
    load: 0.6,
    ..AUTHORITIES
};

/// The same where they cannot.
pub const FULL: Shape = Shape { load: 0.8, ..CHURN };

/// Authorities at the size of two years from now, for as long as is affordable.
pub const LARGE: Shape = Shape {
    engines: 1_300,
    routers: 370,
    seconds: 240,
    warm: 120,
    documents: 20_000,
    pause: 30.0,
    hours: 0.0,
    ..AUTHORITIES
};

/// A short one for tests.
pub const QUICK: Shape = Shape {
    seconds: 900,
    warm: 300,
    pause: 60.0,
    ..AUTHORITIES
};

/// A short one in which an organisation surges.
pub const QUICK_NIGHT: Shape = Shape {
    load: 0.6,
    surge: Some((300, 900)),
    ..QUICK
};
