// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The mean load of a pool over a fleet.

use peppercrank_core::names::PoolName;
use peppercrank_core::units::Cost;

use crate::net::Net;

#[test]
fn verify_mean_of_a_small_pool_is_exact() {
    let mut net = Net::fleet(5, 4, 9, &["pool"]);
    net.run(5_000);
    for nth in 4..13 {
        net.load(nth, 1_000 * nth as u64);
    }
    net.run(10_000);
    let pool = PoolName::new("pool").expect("a name");
    for by in 4..13 {
        let estimate = net.nodes[by].part.estimate(&pool, net.now);
        let mean = estimate.expect("fresh reports").mean;
        assert_eq!(mean.target_count, 9, "at {by}");
        assert_eq!(mean.for_weight(10), Cost(8_000), "at {by}");
    }
}
