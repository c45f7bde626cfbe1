// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Typed settings of the daemons, read from JSON with comments.
//!
//! The types validate themselves during deserialization: each unknown key, wrong unit or value out
//! of range is an error with its line and column.
//!
//! # Examples
//!
//! ```
//! use peppercrank_settings::RouterSettings;
//!
//! let wrong = RouterSettings::parse("{\n  \"listen\": 8080 // no address\n}");
//! let text = wrong.map_err(|e| e.to_string()).unwrap_err();
//! assert!(text.starts_with("line 2, column 3:"));
//! ```

pub mod agent;
pub mod checked;
pub mod errors;
pub mod fleet;
pub mod gateway;
pub mod keys;
pub mod limits;
pub mod router;
pub mod secret;
pub mod units;
pub mod url;

pub mod file;

pub use agent::AgentSettings;
pub use errors::Error;
pub use errors::Result;
pub use fleet::FleetSettings;
pub use gateway::GatewaySettings;
pub use limits::Limits;
pub use router::RouterSettings;
pub use secret::Secret;
pub use url::BaseUrl;
