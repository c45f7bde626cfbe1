// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The division of the extra retries between routers.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::time::Instant;
use peppercrank_gateway::state::RegisteredRouter;
use peppercrank_gateway::state::State;
use peppercrank_settings::GatewaySettings;

/// Extra retries of the whole fleet in a window.
const EXTRA: usize = 50;

const SETTINGS: &str = r#"{
    "name": "gateway-1", "zone": "a",
    "listen": "127.0.0.1:0", "ready": "127.0.0.1:0", "peers": "127.0.0.1:0",
    "store": "127.0.0.1:1", "stop_seconds": 20,
    "retry": { "share": 0.2, "extra": 50, "window_seconds": 10 }
}"#;

/// Returns how many retries a router makes that got no request, two windows after its start.
fn extra_retries(routers_read: bool) -> usize {
    let settings = GatewaySettings::parse(SETTINGS).expect("valid settings");
    let mut state = State::new(Instant::ZERO, &settings);
    state.routers_read = routers_read;
    let now = Instant::ZERO + 2 * Duration::from_secs(10);
    let pool: Arc<str> = "pool".into();
    (0..EXTRA)
        .take_while(|_| state.spend_retry(now, &pool))
        .count()
}

/// A router that started while the store did not answer took the extra of the whole fleet.
#[test]
fn verify_a_router_without_the_list_of_routers_takes_no_extra_retries() {
    assert_eq!(extra_retries(false), 0);
    assert_ne!(extra_retries(true), 0);
}

/// Returns how many retries a router makes at these seconds after its start, until none is left.
fn spend_all(state: &mut State, seconds: u64) -> usize {
    let now = Instant::ZERO + Duration::from_secs(seconds);
    let pool: Arc<str> = "pool".into();
    (0..EXTRA)
        .take_while(|_| state.spend_retry(now, &pool))
        .count()
}

/// The last of four routers that stop in turn took what each of the others had spent before.
#[test]
fn verify_the_extra_of_routers_that_left_is_not_used_again_in_the_window() {
    let settings = GatewaySettings::parse(SETTINGS).expect("valid settings");
    let mut state = State::new(Instant::ZERO, &settings);
    state.routers_read = true;
    let router = RegisteredRouter {
        address: "127.0.0.1:1".parse().expect("an address"),
        revision: 1,
        last_heard: Instant::ZERO,
    };
    for name in ["gateway-2", "gateway-3", "gateway-4"] {
        state.routers.insert(name.into(), router);
    }
    let each = spend_all(&mut state, 20);
    assert_ne!(each, 0);
    let mut fleet = 4 * each;
    for (name, seconds) in [("gateway-2", 22), ("gateway-3", 24), ("gateway-4", 26)] {
        state.routers.remove(name);
        let others = state.routers.len();
        fleet += spend_all(&mut state, seconds) * (others + 1);
    }
    assert!(fleet <= EXTRA, "{fleet} of {EXTRA}");
    assert!(spend_all(&mut state, 40) > 2 * each);
}
