// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Configuration objects that operators publish: templates, organisations, pools and marks.
//!
//! This module only defines the types; `peppercrank-config` validates, versions and merges them.

use serde::Deserialize;
use serde::Serialize;

use crate::names::ModelName;
use crate::names::ObjectName;
use crate::names::PoolName;
use crate::names::TargetName;
use crate::names::TemplateName;
use crate::units::Cost;

/// Kind of a configuration object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ObjectKind {
    /// Quotas, defaults and permissions that several organisations share; see [`Template`].
    Template,
    /// The API keys of an organisation and its deviations from a template; see [`Organisation`].
    Organisation,
    /// The requests that a pool serves and how they are balanced; see [`Pool`].
    Pool,
    /// The order to take one target out of service; see [`Mark`].
    Mark,
}

impl ObjectKind {
    /// All kinds.
    pub const ALL: &[Self] = &[Self::Template, Self::Organisation, Self::Pool, Self::Mark];

    /// Returns the name of the kind in the paths of the platform API and on the command line.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Template => "template",
            Self::Organisation => "organisation",
            Self::Pool => "pool",
            Self::Mark => "mark",
        }
    }

    /// Returns the kind with this code, or `None` if the code is unknown.
    #[must_use]
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|k| k.code() == code)
    }
}

/// The kind and name that together identify a configuration object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// The kind of the object.
    pub kind: ObjectKind,
    /// The name, unique within the kind.
    pub name: ObjectName,
}

/// Quotas, defaults and permissions of an organisation, as set by its template.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Parameters {
    /// Share of a contended target relative to other organisations, 1 to 1,000.
    pub weight: u32,
    /// Priority of requests that do not ask for a lower one, 0 (lowest) to 9 (highest).
    pub priority: u8,
    /// Maximum work in flight across the whole fleet, in cost units.
    pub limit: Cost,
    /// Expected output length of a request that sets no maximum, in tokens.
    pub output: u32,
    /// Deadline of a request that sets none, in milliseconds.
    pub deadline_ms: u64,
    /// Models that the organisation may call; empty allows all.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Pools of plain services that the organisation may call; empty allows all.
    #[serde(default)]
    pub services: Vec<PoolName>,
}

/// An organisation template, which provides the parameters of the organisations that use it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// The parameters of organisations without overrides.
    pub parameters: Parameters,
}

/// Parameters that an organisation sets itself. `None` takes the value from its template.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Overrides {
    /// Share of a contended target relative to other organisations, 1 to 1,000.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// Priority of requests that do not ask for a lower one, 0 (lowest) to 9 (highest).
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// Maximum work in flight across the whole fleet, in cost units.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<Cost>,
    /// Expected output length of a request that sets no maximum, in tokens.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub output: Option<u32>,
    /// Deadline of a request that sets none, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Models that the organisation may call; an empty list allows all.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub models: Option<Vec<ModelName>>,
    /// Pools of plain services that the organisation may call; an empty list allows all.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub services: Option<Vec<PoolName>>,
}

/// An organisation with its template, its parameter overrides and its API keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The template that provides the default parameters.
    pub template: TemplateName,
    /// Parameters that differ from the template.
    #[serde(default)]
    pub overrides: Overrides,
    /// SHA-256 digests of the API keys, in lowercase hexadecimal.
    #[serde(default)]
    pub keys: Vec<String>,
}

/// The requests that a pool serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum PoolWorkload {
    /// Chats with these models.
    Models(Vec<ModelName>),
    /// Calls to a plain service.
    Service {
        /// The cost of one call.
        cost: Cost,
        /// Whether a call may be repeated if it does not specify this itself.
        ///
        /// Methods that HTTP defines as idempotent may always be repeated.
        repeatable: bool,
    },
}

/// Load balancing policy of a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolPolicy {
    /// Maximum load of a target as a multiple of the mean load of the pool; above 1, at most 10.
    pub cap: f64,
    /// Load that a target may carry regardless of the mean load, in cost units.
    pub floor: Cost,
    /// Maximum number of requests queued at one target.
    pub queue: u32,
    /// Maximum time that a request waits in the queue, in milliseconds.
    pub wait_ms: u64,
    /// Length of the leading text that determines the target ranking of a new chat, in bytes.
    pub prefix: u32,
    /// Maximum number of targets tried for one request.
    pub tries: u32,
    /// Maximum retries as a fraction of the requests of a router, 0 to 1.
    pub retries: f64,
}

/// A pool of targets that serve the same requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The requests that the pool serves.
    pub serves: PoolWorkload,
    /// How requests are balanced over the targets.
    pub policy: PoolPolicy,
}

/// How a marked target is taken out of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MarkAction {
    /// Removes the target: no new requests; running requests may be ended after `grace_ms`.
    Remove,
    /// Shuts the target down gracefully: no new requests; running requests are completed.
    Shutdown,
}

/// Marks a target as leaving; the object has the same name as the target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mark {
    /// The marked target.
    pub target: TargetName,
    /// How the target is taken out of service.
    pub action: MarkAction,
    /// For a removal, the time that running requests have left to complete, in milliseconds.
    #[serde(default)]
    pub grace_ms: u64,
}
