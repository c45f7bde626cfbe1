// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The edge's limits as the settings give them.

use std::time::Duration;

use peppercrank_settings::Limits as Settings;
use peppercrank_wire::edge::Limits;

/// `of` makes the edge's limits of the settings, with `drain` for what runs at a stop.
#[must_use]
pub fn of(settings: &Settings, drain: Duration) -> Limits {
    Limits {
        connections: usize::try_from(settings.connections).unwrap_or(usize::MAX),
        head: settings.head,
        body: settings.body as u64,
        head_time: settings.head_time,
        body_time: settings.body_time,
        idle: settings.idle_time,
        total: settings.total_time,
        drain,
        ..Limits::default()
    }
}
