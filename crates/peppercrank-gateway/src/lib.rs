// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The gateway daemon: a router on the users' platform that forwards requests directly to targets.
//!
//! One thread runs everything. This crate reads the clock and does the I/O; `peppercrank-direct`
//! makes the decisions and `peppercrank-platform` translates to and from the platform's formats.
//!
//! - [`serve`] answers callers: it finds the route, checks the key, sends attempts and returns the
//!   answer.
//! - `request_log` writes the log lines of requests.
//! - [`follow`] keeps the configuration and the targets up to date from the store.
//! - [`confirm`] lets other routers confirm what is known about keys, where possible.
//! - [`intake`] applies entries read from the store, and [`targets`] changes of targets.
//! - [`eligible`] selects the targets that a request may be sent to, and [`choose`] picks one of
//!   them.
//! - [`evacuations`] handles evacuations of availability zones.
//! - [`outage`] shares whether the store answers among the followers.
//! - [`suspension`] detects that the machine was suspended.
//! - [`termination`] notifies attempts that their target has restarted.
//! - [`gossip`] exchanges loads and cached prompts with other routers.
//! - [`origins`] shares with other routers at which software version streams began.
//! - [`failures`] shares with other routers which targets fail part of their requests.
//! - [`retry`] takes retries from the fleet's budget.
//! - [`downstream`] holds parts of streams for callers that are behind.
//! - [`room`] checks which targets have the memory for a request.
//! - [`crashes`] shares with other routers which requests crash targets.
//! - [`admin`] answers health checks and serves the metrics.
//! - [`run`] starts all tasks and shuts them down on SIGTERM.

pub mod admin;
pub mod attempt;
pub mod choose;
pub mod confirm;
pub mod crashes;
pub mod downstream;
pub mod eligible;
pub mod errors;
pub mod evacuations;
pub mod failures;
pub mod flight;
pub mod follow;
pub mod gateway;
pub mod gossip;
pub mod intake;
pub mod job;
pub mod limits;
pub mod metrics;
pub mod missed;
pub mod missed_origins;
pub mod origins;
pub mod outage;
pub mod progress;
pub mod read_demand;
pub mod records;
pub mod refusal;
pub mod refuse;
pub mod register;
pub mod relay;
pub mod reload;
mod request_log;
pub mod retry;
pub mod role;
pub mod room;
pub mod run;
pub mod serve;
pub mod share_metrics;
pub mod shares;
pub mod single_version;
pub mod state;
pub mod store;
pub mod stored_origins;
pub mod suspension;
pub mod target_metrics;
pub mod targets;
pub mod termination;

pub use errors::Error;
pub use errors::Result;
