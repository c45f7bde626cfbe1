// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Measures the cost of judging a request by its organisation's share, while a pool with 24
//! organisations is overloaded and 128 other routers tell of their demand.
//!
//! `cargo run --release -p peppercrank-direct --example share_cost`

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use peppercrank_core::time::Instant as Time;
use peppercrank_direct::peers::PoolId;
use peppercrank_direct::ranks::Rank;
use peppercrank_direct::shares::PoolView;
use peppercrank_direct::shares::Shares;
use peppercrank_direct::shares::demand::Arrival;
use peppercrank_direct::shares::demand::OrganisationId;
use peppercrank_direct::shares::report::DemandReport;

/// Number of organisations.
const ORGANISATIONS: u64 = 24;

/// Number of other routers.
const ROUTERS: u16 = 128;

/// Requests that are judged.
const REQUESTS: u64 = 100_000;

/// Time between two requests in microseconds: 100 a second.
const GAP_MICROS: u64 = 10_000;

fn hear(shares: &mut Shares, now: Time, sequence: u64) {
    for router in 0..ROUTERS {
        let demands = (0..ORGANISATIONS).map(|o| (OrganisationId::of(&format!("o{o}")), 5e3));
        let report = DemandReport::new(
            PoolId::of("pool"),
            (1, sequence),
            Some(5e6),
            demands.collect(),
        );
        let from = SocketAddr::from(([10, 0, 0, 1], router + 1));
        let _ignored = shares.record_report(now, from, &report);
    }
}

fn main() -> std::io::Result<()> {
    let mut shares = Shares::new(Arc::from("pool"), 1);
    let names = (0..ORGANISATIONS).map(|o| Arc::<str>::from(format!("o{o}")));
    let names = names.collect::<Vec<_>>();
    let view = PoolView {
        wait: Duration::from_millis(120),
        goal: Duration::from_millis(300),
        routers: 370,
    };
    let mut took = Duration::ZERO;
    for n in 0..REQUESTS {
        let now = Time::from_origin(Duration::from_micros(n * GAP_MICROS));
        if n % 100 == 0 {
            hear(&mut shares, now, n);
        }
        let arrival = Arrival {
            organisation: Arc::clone(&names[usize::try_from(n % ORGANISATIONS).unwrap_or(0)]),
            size: 1_000,
            rank: Rank::default(),
        };
        let start = Instant::now();
        std::hint::black_box(shares.admit(now, &view, &arrival));
        took += start.elapsed();
    }
    let each = took.as_nanos() / u128::from(REQUESTS);
    writeln!(std::io::stdout(), "{each} ns a request, updates included")
}
