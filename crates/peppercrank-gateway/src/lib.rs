// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The gateway daemon: a router on the users' platform that sends straight to targets.
//!
//! One thread runs everything. It reads the clock and moves bytes; `peppercrank-direct` decides
//! and `peppercrank-platform` translates.
//!
//! - [`serve`] answers callers: route, key, placement, attempts, answer.
//! - [`follow`] keeps the configuration and the targets up to date from the store.
//! - [`confirm`] has other routers confirm what is known of keys, where they may.
//! - [`intake`] takes in what the store tells, and [`targets`] what that means for each target.
//! - [`eligible`] finds the targets that a request may be sent to, and [`choose`] one of them.
//! - [`evacuations`] tells what the evacuation of an availability zone means.
//! - [`outage`] tells the followers whether the store answers.
//! - [`suspension`] notices that the machine was suspended.
//! - [`termination`] tells attempts that their target has started again.
//! - [`gossip`] exchanges loads and held prompts with other routers.
//! - [`crashes`] tells other routers under which requests targets ended.
//! - [`admin`] answers the balancer and serves the metrics.
//! - [`run`] starts all of it and ends it on SIGTERM.

pub mod admin;
pub mod attempt;
pub mod choose;
pub mod confirm;
pub mod crashes;
pub mod eligible;
pub mod errors;
pub mod evacuations;
pub mod flight;
pub mod follow;
pub mod gateway;
pub mod gossip;
pub mod intake;
pub mod job;
pub mod limits;
pub mod metrics;
pub mod outage;
pub mod progress;
pub mod refuse;
pub mod register;
pub mod relay;
pub mod reload;
pub mod role;
pub mod run;
pub mod serve;
pub mod state;
pub mod store;
pub mod suspension;
pub mod targets;
pub mod termination;

pub use errors::Error;
pub use errors::Result;
