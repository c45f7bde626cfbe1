// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Initial configuration of a local fleet.

use serde_json::Value;
use serde_json::json;

/// SHA-256 of `demo-key`, the API key of the organisation `demo`.
const DEMO_DIGEST: &str = "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c";

/// Returns the initial objects as kind, name and spec.
pub(super) fn initial_objects() -> [(&'static str, &'static str, Value); 5] {
    let policy = json!({
        "cap": 1.25, "floor": 20_000, "queue": 64, "wait_ms": 2_000,
        "prefix": 1_024, "tries": 3, "retries": 0.2
    });
    let app = json!({
        "cap": 1.5, "floor": 16, "queue": 64, "wait_ms": 1_000,
        "prefix": 1, "tries": 2, "retries": 0.1
    });
    let parameters = json!({
        "weight": 10, "priority": 5, "limit": 10_000_000, "output": 200, "deadline_ms": 120_000
    });
    [
        (
            "pool",
            "engines",
            json!({ "serves": { "models": ["local"] }, "policy": policy }),
        ),
        (
            "pool",
            "app",
            json!({ "serves": { "service": { "cost": 1, "repeatable": false } }, "policy": app }),
        ),
        ("template", "standard", json!({ "parameters": parameters })),
        ("organisation", "guest", json!({ "template": "standard" })),
        (
            "organisation",
            "demo",
            json!({ "template": "standard", "keys": [DEMO_DIGEST] }),
        ),
    ]
}
