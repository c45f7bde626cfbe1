// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A simulated engine with the real admission and pointer table of its agent.

use std::time::Duration;

use peppercrank_admit::Admission;
use peppercrank_admit::Input;
use peppercrank_admit::Settings;
use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::names::OrganisationName;
use peppercrank_core::objects::Parameters;
use peppercrank_core::objects::PoolPolicy;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;
use peppercrank_route::Pointers;
use peppercrank_route::cache::CacheEvent;
use peppercrank_route::cache::Change;
use peppercrank_route::rank::TargetHash;
use slotmap::KeyData;

use crate::cache::Cache;
use crate::trace::ENGINE_CEILING;
use crate::trace::ORGANISATIONS;
use crate::trace::SHARES;
use crate::ways::Strategy;

/// Load cap as a multiple of the mean load.
pub const CAP_FACTOR: f64 = 1.25;

/// Load that an engine may always admit.
pub const CAP_FLOOR: u64 = ENGINE_CEILING / 4;

/// Maximum waiting time in an engine's queue, in milliseconds.
pub const MAX_QUEUE_WAIT_MS: u64 = 10_000;

/// Waiting time at an engine after which a request moves on to another one.
pub const QUEUE_PATIENCE: Duration = Duration::from_secs(2);

/// Maximum number of requests waiting at one engine.
const QUEUE_LIMIT: u32 = 64;

/// Size of an agent's pointer table in bytes.
const POINTER_TABLE_BYTES: usize = 1 << 18;

/// `Engine` is an engine with the state of its agent.
#[derive(Debug)]
pub struct Engine {
    /// The agent's admission.
    pub admission: Admission,
    /// The agent's pointer table.
    pub pointers: Pointers,
    /// The engine's prompt cache.
    pub cache: Cache,
    /// Whether the engine is reachable.
    pub up: bool,
    /// Number of times the engine has started.
    pub incarnation: u64,
    /// Total cost of waiting requests.
    pub waiting_cost: u64,
    seq: u64,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    ///
    /// # Panics
    ///
    /// Panics if the constants of this benchmark are out of range.
    #[must_use]
    pub fn new(now: Instant, n: usize, strategy: Strategy, memory: u64, incarnation: u64) -> Self {
        let capped = strategy.is_capped();
        let policy = PoolPolicy {
            cap: if capped { CAP_FACTOR } else { 10.0 },
            floor: Cost(if capped { CAP_FLOOR } else { ENGINE_CEILING }),
            queue: QUEUE_LIMIT,
            wait_ms: MAX_QUEUE_WAIT_MS,
            prefix: 1_024,
            tries: crate::ways::MAX_ATTEMPTS,
            retries: 0.3,
        };
        let settings = Settings {
            ceiling: Cost(ENGINE_CEILING),
            patience: QUEUE_PATIENCE,
            ..Settings::default()
        };
        let mut admission = Admission::new(now, settings, policy).expect("settings in range");
        admission.on(now, Input::TargetsHeard(1));
        for of in 0..ORGANISATIONS {
            let parameters =
                Input::ParametersChanged(organisation_name(of), Some(organisation_parameters(of)));
            admission.on(now, parameters);
        }
        Self {
            admission,
            pointers: Pointers::new(target_key(n), POINTER_TABLE_BYTES),
            cache: Cache::new(memory),
            up: true,
            incarnation,
            waiting_cost: 0,
            seq: 0,
        }
    }

    /// Returns the cost of running and waiting requests.
    #[must_use]
    pub fn load(&self) -> u64 {
        self.admission.status().reserved.0 + self.waiting_cost
    }

    /// Returns the engine's next cache event.
    pub fn next_cache_event(&mut self, change: Change, key: u64) -> CacheEvent {
        self.seq += 1;
        CacheEvent {
            incarnation: self.incarnation,
            seq: self.seq,
            change,
            key,
        }
    }
}

/// Returns the name of an organisation.
///
/// # Panics
///
/// Never: the generated names are well formed.
#[must_use]
pub fn organisation_name(of: usize) -> OrganisationName {
    OrganisationName::new(&format!("organisation-{of}")).expect("well formed")
}

/// Returns the target key of an engine.
#[must_use]
pub fn target_key(n: usize) -> TargetKey {
    TargetKey::from(KeyData::from_ffi(1 << 32 | (n as u64 + 1)))
}

/// Returns the index of the engine with this key.
#[must_use]
pub fn engine_index(target: TargetKey) -> usize {
    let low = slotmap::Key::data(&target).as_ffi() & 0xffff_ffff;
    low as usize - 1
}

/// Returns the hash of an engine's name.
#[must_use]
pub fn target_hash(n: usize) -> TargetHash {
    TargetHash::of(&format!("engine-{n}"))
}

/// Returns an organisation's parameters, weighted by its usual share of the traffic.
fn organisation_parameters(of: usize) -> Parameters {
    Parameters {
        weight: SHARES[of],
        priority: 5,
        limit: Cost(1 << 40),
        output: 250,
        deadline_ms: 120_000,
        models: Vec::new(),
        services: Vec::new(),
    }
}
