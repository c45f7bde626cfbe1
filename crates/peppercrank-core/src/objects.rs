// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What operators publish: templates, organisations, pools and marks.
//!
//! The types alone stand here; checks, versions and merging are `peppercrank-config`'s.

use serde::Deserialize;
use serde::Serialize;

use crate::names::ModelName;
use crate::names::ObjectName;
use crate::names::PoolName;
use crate::names::TargetName;
use crate::names::TemplateName;
use crate::units::Cost;

/// `Kind` is the kind of a configuration object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ObjectKind {
    /// A [`Template`].
    Template,
    /// An [`Organisation`].
    Organisation,
    /// A [`Pool`].
    Pool,
    /// A [`Mark`] of one target.
    Mark,
}

impl ObjectKind {
    /// All kinds.
    pub const ALL: &[Self] = &[Self::Template, Self::Organisation, Self::Pool, Self::Mark];

    /// `code` is the kind's word in the platform's paths and on the command line.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Template => "template",
            Self::Organisation => "organisation",
            Self::Pool => "pool",
            Self::Mark => "mark",
        }
    }

    /// `from_code` finds the kind with this code.
    #[must_use]
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|k| k.code() == code)
    }
}

/// `ObjectKey` names one configuration object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// The kind.
    pub kind: ObjectKind,
    /// The name within the kind.
    pub name: ObjectName,
}

/// `Parameters` are what an organisation may do, as its template sets them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Parameters {
    /// Share of a contended target, relative to other organisations; 1 to 1,000.
    pub weight: u32,
    /// Priority of its requests unless they ask for less; 0 (last) to 9 (first).
    pub priority: u8,
    /// Most work in flight at once over the whole fleet, in cost units.
    pub limit: Cost,
    /// Expected answer when a request sets no maximum, in tokens.
    pub output: u32,
    /// Time allowed a request that brings no deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Models it may call; empty for all.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Pools of plain services it may call; empty for all.
    #[serde(default)]
    pub services: Vec<PoolName>,
}

/// `Template` is an organisation template: the parameters of those that name it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// The parameters.
    pub parameters: Parameters,
}

/// `Overrides` are the parameters that one organisation sets apart from its template.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Overrides {
    /// See [`Parameters::weight`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// See [`Parameters::priority`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// See [`Parameters::limit`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<Cost>,
    /// See [`Parameters::output`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub output: Option<u32>,
    /// See [`Parameters::deadline_ms`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// See [`Parameters::models`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub models: Option<Vec<ModelName>>,
    /// See [`Parameters::services`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub services: Option<Vec<PoolName>>,
}

/// `Organisation` is one organisation: its template, its own parameters, its API keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The template.
    pub template: TemplateName,
    /// What differs from the template.
    #[serde(default)]
    pub overrides: Overrides,
    /// SHA-256 digests of its API keys, as lower-case hexadecimal.
    #[serde(default)]
    pub keys: Vec<String>,
}

/// `Serves` is what a pool serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum PoolWorkload {
    /// Chats of these models.
    Models(Vec<ModelName>),
    /// Calls of a plain service, each of this cost.
    Service {
        /// The cost of one call.
        cost: Cost,
        /// Whether calls may be repeated unless they say otherwise.
        ///
        /// Methods that HTTP defines as idempotent may always be.
        repeatable: bool,
    },
}

/// `Policy` is how a pool is balanced.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolPolicy {
    /// The multiple of the pool's mean load that no target exceeds; above 1, at most 10.
    pub cap: f64,
    /// Load that a target may always carry, whatever the mean, in cost units.
    pub floor: Cost,
    /// Requests that may wait at one target.
    pub queue: u32,
    /// Longest wait in that queue, in milliseconds.
    pub wait_ms: u64,
    /// Leading text of a new chat that ranks it, in bytes.
    pub prefix: u32,
    /// Targets that one request tries at most.
    pub tries: u32,
    /// Retries as a share of a router's requests, 0 to 1.
    pub retries: f64,
}

/// `Pool` is one pool of targets that serve the same requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// What it serves.
    pub serves: PoolWorkload,
    /// How it is balanced.
    pub policy: PoolPolicy,
}

/// `Action` is what a mark asks of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MarkAction {
    /// Take the target out: no new work, what runs may be ended after `grace_ms`.
    Remove,
    /// Shut the target down gracefully: no new work, what runs goes on to its end.
    Shutdown,
}

/// `Mark` marks one target as leaving; the object's name is the target's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mark {
    /// The target.
    pub target: TargetName,
    /// What to do.
    pub action: MarkAction,
    /// For a removal, the time left to what runs, in milliseconds.
    #[serde(default)]
    pub grace_ms: u64,
}
