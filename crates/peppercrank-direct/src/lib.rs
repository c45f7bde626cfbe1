// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Sans-I/O decision logic of a router that sends requests directly to targets.
//!
//! - [`admission`]: admission control for overloaded pools.
//! - [`attribution`]: whether a failure counts against its target or the request.
//! - [`call_backoff`]: how long a call to the store is not replaced by another.
//! - [`catch_up`]: how the configuration is read anew, and what an answer proves.
//! - [`confirm`]: confirmations between routers that their API keys are current.
//! - [`congestion`]: whether the router's own link is congested.
//! - [`content`]: fingerprints that identify requests by their content.
//! - [`decide`]: whether a request is sent, and where to.
//! - [`desired`]: the operators' configuration, indexed for the request path.
//! - [`directory`]: the known targets, and which of them are leaving.
//! - [`era`]: which generation of the store an answer belongs to.
//! - [`evacuations`]: the availability zones whose targets get no new work.
//! - [`events`]: where the events of streams end.
//! - [`failures`]: targets that fail part of their requests, known from all routers.
//! - [`features`]: optional behaviour that a deployment's settings call for.
//! - [`foreign_changes`]: what an answer of the store reveals about other kinds of entries.
//! - [`freshness`]: how old the knowledge of API keys may be before requests are refused.
//! - [`in_flight`]: accounting of one attempt at its target.
//! - [`leaving`]: announcements between routers that targets leave.
//! - [`memory`]: memory that the requests in flight take at each target.
//! - [`notice`]: what a target's answers say about new work.
//! - [`origins`]: the software versions at which streams began.
//! - [`overcount`]: correction of a pool's mean load for work that peers overcount.
//! - [`peers`]: datagrams between routers, and the work of the other routers.
//! - [`place`]: choice of a request's target by the predicted time to the first token.
//! - [`pool_versions`]: software versions that the targets of each pool run.
//! - [`prefixes`]: index of the prompt prefixes that targets hold.
//! - [`quarantine`]: quarantine of requests that crash targets.
//! - [`ranks`]: order of requests by priority within a pool.
//! - [`rates`]: running estimates of a pool's speed.
//! - [`regions`]: the regions in which a request may run.
//! - [`registration`]: what targets register about themselves.
//! - [`reports`]: load reports of targets, relayed between routers.
//! - [`retries`]: the fleet's retry budget, and the next step after a failed attempt.
//! - [`routing`]: names of the ways in which routes divide streams among pools.
//! - [`shares`]: division of an overloaded pool's room between organisations.
//! - [`silence`]: detection of streams that have stalled.
//! - [`slowdown`]: how much slower than usual targets work at the moment.
//! - [`start_check`]: whether a router that has started may trust the store.
//! - [`starts`]: which start of a target is meant.
//! - [`stats`]: load, latency and failures of each target.
//! - [`stored_origins`]: origins of a router's own streams, kept in the store.
//! - [`suspension`]: whether the machine was suspended.
//! - [`target`]: whether a target takes new work, and why not.
//! - [`truncation`]: whether an answer of the store may have been truncated.
//! - [`version_records`]: records in the store of the versions that served each pool.
//! - [`warm_up`]: limits on the work of a cold target, summed over all routers.

pub mod admission;
pub mod attribution;
pub mod call_backoff;
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
pub mod failures;
pub mod features;
pub mod foreign_changes;
pub mod freshness;
pub mod in_flight;
pub mod joining;
pub mod leaving;
pub mod memory;
pub mod notice;
pub mod occupancy;
pub mod origins;
pub mod overcount;

pub mod peers;
pub mod place;
pub mod pool_versions;
pub mod prefixes;
pub mod quarantine;
pub mod ranks;
pub mod rates;
pub mod regions;
pub mod registration;
pub mod reports;
pub mod retries;
pub mod routing;
pub mod shares;
pub mod silence;
pub mod slowdown;
pub mod start_check;
pub mod starts;
pub mod stats;
pub mod stored_origins;
pub mod suspension;
pub mod target;
pub mod truncation;
mod version_record;
pub mod version_records;
pub mod warm_up;
