// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A seeded trace in virtual time that drives the real routing and admission, beside baselines.
//!
//! [`trace::Trace`] draws the requests, [`world::World`] carries them through one [`ways::Way`] of
//! routing, and [`report::Report`] is what came of them. Engines are a cost and cache model:
//! nothing else of the fleet is imitated.
//!
//! [`surge`] does the same for routers that send straight to engines, under more load than these can
//! serve.

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
