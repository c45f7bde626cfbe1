// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A seeded simulation in virtual time that drives the real routing and admission code and
//! compares it with baselines.
//!
//! [`trace::Trace`] generates the requests, [`world::Simulation`] runs them with one
//! [`ways::Strategy`] of routing, and [`report::Report`] holds the results. Engines are modelled
//! by cost and cache contents; no other part of a fleet is simulated.
//!
//! [`surge`] does the same for routers that send straight to engines, under more load than the
//! engines can serve.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the counts and times of a trace are far below 2 to the 52nd and never negative"
)]

pub mod cache;
pub mod churn;
pub mod engine;
pub mod report;
pub mod router;
pub mod shapes;
pub mod surge;
pub mod trace;
pub mod ways;
pub mod world;

pub use churn::Churn;
pub use report::Report;
pub use trace::Trace;
pub use trace::Workload;
pub use ways::Strategy;
pub use world::Simulation;
