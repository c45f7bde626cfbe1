// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One target's admission with a few organisations, for the tests.

use peppercrank_admit::Admission;
use peppercrank_admit::Input;
use peppercrank_admit::Settings;
use peppercrank_core::names::OrganisationName;
use peppercrank_core::objects::Parameters;
use peppercrank_core::objects::PoolPolicy;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;

/// The organisations that every test knows.
pub const NAMES: [&str; 3] = ["kalev", "linda", "vanemuine"];

pub fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

pub fn policy() -> PoolPolicy {
    PoolPolicy {
        cap: 1.25,
        floor: Cost(100),
        queue: 8,
        wait_ms: 2_000,
        prefix: 1_024,
        tries: 3,
        retries: 0.1,
    }
}

pub fn parameters() -> Parameters {
    Parameters {
        weight: 10,
        priority: 9,
        limit: Cost(1_000),
        output: 100,
        deadline_ms: 30_000,
        models: Vec::new(),
        services: Vec::new(),
    }
}

pub fn organisation(name: &str) -> OrganisationName {
    OrganisationName::new(name).expect("the tests' names are well formed")
}

/// An admission with the tests' policy that knows [`NAMES`] and one live target.
pub fn admission_with(settings: Settings, policy: PoolPolicy) -> Admission {
    let mut admission = Admission::new(Instant::ZERO, settings, policy).expect("in range");
    admission.on(Instant::ZERO, Input::TargetsHeard(1));
    for name in NAMES {
        let input = Input::ParametersChanged(organisation(name), Some(parameters()));
        admission.on(Instant::ZERO, input);
    }
    admission
}
