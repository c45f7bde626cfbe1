// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The workloads that are reported.

use crate::trace::Workload;

/// Long documents, the most popular one used by a fifth of the chats on documents; chats mostly
/// return within minutes.
pub const AUTHORITIES: Workload = Workload {
    engines: 9,
    routers: 4,
    arrival_seconds: 3_600,
    warm_up_seconds: 1_200,
    target_load: 0.8,
    surge: None,
    documents: 2_000,
    document_chat_share: 0.8,
    mean_pause_seconds: 120.0,
    long_pause_share: 0.1,
    cache_tokens: 300_000,
};

/// Chats with few documents that return after minutes or hours to small caches.
pub const RETURNING: Workload = Workload {
    arrival_seconds: 7_200,
    warm_up_seconds: 3_600,
    documents: 200,
    document_chat_share: 0.2,
    long_pause_share: 0.4,
    cache_tokens: 150_000,
    ..AUTHORITIES
};

/// A two-hour night of manifests in which one organisation surges.
pub const NIGHT: Workload = Workload {
    arrival_seconds: 7_200,
    warm_up_seconds: 1_800,
    target_load: 0.6,
    surge: Some((1_800, 7_200)),
    documents: 200,
    document_chat_share: 0.5,
    long_pause_share: 0.2,
    ..AUTHORITIES
};

/// Long documents under churn, where eight engines can carry the load of nine.
pub const CHURN: Workload = Workload {
    arrival_seconds: 2_400,
    target_load: 0.6,
    ..AUTHORITIES
};

/// The same, where they cannot.
pub const FULL: Workload = Workload {
    target_load: 0.8,
    ..CHURN
};

/// Long documents on a fleet of the size projected for two years ahead, for as long as is
/// affordable.
pub const LARGE: Workload = Workload {
    engines: 1_300,
    routers: 370,
    arrival_seconds: 240,
    warm_up_seconds: 120,
    documents: 20_000,
    mean_pause_seconds: 30.0,
    long_pause_share: 0.0,
    ..AUTHORITIES
};

/// A short workload for tests.
pub const QUICK: Workload = Workload {
    arrival_seconds: 900,
    warm_up_seconds: 300,
    mean_pause_seconds: 60.0,
    ..AUTHORITIES
};

/// A short workload in which an organisation surges.
pub const QUICK_NIGHT: Workload = Workload {
    target_load: 0.6,
    surge: Some((300, 900)),
    ..QUICK
};
