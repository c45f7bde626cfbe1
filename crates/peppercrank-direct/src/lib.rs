// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Decisions of a router that sends requests straight to targets, without input or output.
//!
//! - [`admission`]: who is admitted to a pool that cannot serve all who ask.
//! - [`content`]: what tells that a request is the same as an earlier one.
//! - [`decide`]: whether a request is sent, and where to.
//! - [`desired`]: the operators' configuration, indexed for the request path.
//! - [`directory`]: the targets there are, and which of them leave.
//! - [`era`]: which life of the store an answer tells of.
//! - [`evacuations`]: the availability zones whose targets get no new work.
//! - [`events`]: whole events of streams that may be resumed.
//! - [`freshness`]: how old the knowledge of keys may be before requests are refused.
//! - [`in_flight`]: what an attempt counts for at its target.
//! - [`notice`]: what a target says of new work in its answers.
//! - [`place`]: which target a request goes to, by its predicted first token.
//! - [`prefixes`]: which target holds which part of which prompt.
//! - [`catch_up`]: how the configuration is read anew, and what an answer proves.
//! - [`quarantine`]: requests under which targets end are kept from further ones.
//! - [`ranks`]: how urgent requests are among those of their pool.
//! - [`rates`]: what is learnt of a pool's speed.
//! - [`regions`]: in which regions a request may run.
//! - [`registration`]: what targets tell of themselves.
//! - [`retries`]: the fleet's retry budget, and what follows a failed attempt.
//! - [`starts`]: which start of a target is meant.
//! - [`stats`]: what a router knows of each target.
//! - [`suspension`]: whether the machine was suspended.
//! - [`target`]: whether one target takes new work, and why not.
//! - [`peers`]: what routers tell each other.
//! - [`warm_up`]: how little a cold target gets from all routers together.

pub mod admission;
pub mod attribution;
pub mod catch_up;
pub mod confirm;
pub mod congestion;
pub mod content;
pub mod decide;
pub mod desired;
pub mod directory;
pub mod era;
pub mod evacuations;
pub mod events;
pub mod freshness;
pub mod in_flight;
pub mod notice;
pub mod overcount;
pub mod peers;
pub mod place;
pub mod prefixes;
pub mod quarantine;
pub mod ranks;
pub mod rates;
pub mod regions;
pub mod registration;
pub mod reports;
pub mod retries;
pub mod silence;
pub mod starts;
pub mod stats;
pub mod suspension;
pub mod target;
pub mod truncation;
pub mod warm_up;
