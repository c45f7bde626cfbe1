// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Stand-in for a model engine.

pub mod answer;
pub mod batch;
pub mod cache;
pub mod journal;
pub mod orders;
pub mod prompt;
mod serve;
pub mod settings;
pub mod stream;
mod tell;

pub use serve::start;
pub use settings::EngineSettings;
