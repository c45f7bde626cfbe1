// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Order of requests by priority within a pool.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_direct::desired::CallerLimits;
use peppercrank_direct::desired::Desired;
use peppercrank_direct::desired::Organisation;
use peppercrank_direct::desired::PoolShare;
use peppercrank_direct::desired::Route;
use peppercrank_direct::desired::RouteKind;
use peppercrank_direct::ranks::Rank;
use peppercrank_direct::ranks::Ranks;
use peppercrank_direct::regions::Regions;

fn route(name: &str, pool: &str, priority: u8, goal: u64) -> Route {
    Route {
        name: name.into(),
        host: "host.example".into(),
        prefix: format!("/{name}/").into(),
        kind: RouteKind::Stream { resumable: true },
        timeout: Duration::from_secs(6),
        latency_goal: Duration::from_millis(goal),
        max_event_gap: None,
        priority,
        pools: vec![PoolShare {
            pool: pool.into(),
            weight: 1,
        }],
        max_targets: 2,
        public: false,
        regions: Regions::Any,
    }
}

fn organisation(name: &str, priority: Option<u8>) -> Organisation {
    Organisation {
        name: name.into(),
        priority,
        keys: vec![Arc::from(name)],
        regions: Regions::Any,
    }
}

fn desired(organisations: Vec<Organisation>) -> Desired {
    Desired {
        version: 1,
        routes: vec![
            route("long", "engines", 0, 1_000),
            route("short", "engines", 3, 600),
            route("plain", "services", 2, 150),
        ],
        pools: Vec::new(),
        caller_limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        organisations,
    }
}

#[test]
fn verify_the_organisation_goes_first_and_the_route_decides_among_equals() {
    let desired = desired(vec![
        organisation("late", Some(5)),
        organisation("first", Some(1)),
        organisation("other", Some(5)),
    ]);
    let ranks = Ranks::new(&desired);
    let level = |route: usize, organisation: usize| {
        let organisation = &desired.organisations[organisation];
        let rank = ranks.rank("engines", &desired.routes[route], Some(organisation));
        assert_eq!(rank.levels, 4);
        rank.level
    };
    assert_eq!(
        [level(0, 1), level(1, 1), level(0, 0), level(1, 0)],
        [0, 1, 2, 3]
    );
    assert_eq!(level(1, 2), level(1, 0));
}

#[test]
fn verify_without_priorities_of_organisations_the_route_decides() {
    for organisations in [vec![], vec![organisation("any", None)]] {
        let desired = desired(organisations);
        let ranks = Ranks::new(&desired);
        let organisation = desired.organisations.first();
        let rank = |route: usize| ranks.rank("engines", &desired.routes[route], organisation);
        assert_eq!((rank(0).level, rank(0).levels), (0, 2));
        assert_eq!((rank(1).level, rank(1).levels), (1, 2));
    }
}

#[test]
fn verify_a_pool_has_the_shortest_goal_of_its_routes() {
    let ranks = Ranks::new(&desired(Vec::new()));
    assert_eq!(ranks.shortest_goal("engines"), Duration::from_millis(600));
    assert_eq!(ranks.shortest_goal("services"), Duration::from_millis(150));
    assert!(!ranks.shortest_goal("unknown").is_zero());
}

#[test]
fn verify_ranks_fit_on_a_shorter_scale_in_order() {
    let levels = 0..30;
    let scaled = levels.map(|level| Rank { level, levels: 30 }.scaled(9));
    let scaled = scaled.collect::<Vec<_>>();
    assert!(scaled.is_sorted());
    assert_eq!((scaled[0], scaled[29]), (0, 9));
    let few_levels = Rank {
        level: 2,
        levels: 6,
    };
    assert_eq!(few_levels.scaled(9), 2);
    assert_eq!(Rank::default().scaled(9), 0);
}
