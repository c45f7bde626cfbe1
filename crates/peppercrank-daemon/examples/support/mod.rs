// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What the measurements share: named runtimes, the process's own counts, places in a list.

use std::fs;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

/// `runtime` makes a runtime whose threads bear a name, by which their processor time is told.
pub fn runtime(name: &str, workers: usize) -> Runtime {
    let built = Builder::new_multi_thread()
        .worker_threads(workers)
        .thread_name(name)
        .enable_all()
        .build();
    built.expect("a runtime")
}

/// `core_time` is the processor time so far of all threads whose names begin with one of these.
///
/// From `/proc/self/task/*/schedstat`, whose first number is in nanoseconds. Threads that have
/// ended are not counted, so both readings of a span need the same threads.
pub fn core_time(names: &[&str]) -> Duration {
    let tasks = fs::read_dir("/proc/self/task").expect("a Linux /proc");
    let nanos = tasks.flatten().filter_map(|task| {
        let comm = fs::read_to_string(task.path().join("comm")).ok()?;
        names.iter().any(|n| comm.starts_with(n)).then_some(())?;
        let stat = fs::read_to_string(task.path().join("schedstat")).ok()?;
        stat.split(' ').next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(nanos.sum())
}

/// `resident` is the memory that the process holds, in KB.
pub fn resident() -> u64 {
    status("VmRSS:")
}

/// `threads` is the number of threads of the process.
pub fn threads() -> u64 {
    status("Threads:")
}

fn status(field: &str) -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("a Linux /proc");
    let line = status.lines().find(|l| l.starts_with(field));
    let value = line.and_then(|l| l.split_whitespace().nth(1));
    value.and_then(|v| v.parse().ok()).expect("a number")
}

/// `places` is the median and the 95th of 100.
pub fn places(times: &mut [Duration]) -> [Duration; 2] {
    times.sort_unstable();
    [50, 95].map(|of| times[(times.len() * of / 100).min(times.len() - 1)])
}

/// `micros` writes a duration in microseconds.
pub fn micros(time: Duration) -> String {
    format!("{:.0} µs", time.as_secs_f64() * 1e6)
}

/// `fleet` is the settings of one process's part in the fleet.
pub fn fleet(vm: &str, zone: &str, platform: &str) -> Value {
    let any = "127.0.0.1:0";
    json!({
        "vm": vm, "zone": zone, "gossip": any, "control": any, "operators": any,
        "platform": {"url": platform},
        "keys": [{"id": 1, "secret": "00112233445566778899aabbccddeeff"}],
    })
}

/// `put` writes to the platform stand-in, which is on a runtime of its own; it returns the answer.
pub fn put(platform: &str, path: &str, body: &Value) -> Value {
    let sent = ureq::put(format!("{platform}/{path}"))
        .header("if-none-match", "*")
        .send_json(body);
    let mut answer = sent.expect("a platform that takes it");
    answer.body_mut().read_json().unwrap_or_default()
}

/// `configure` publishes one pool of each sort, a template and an organisation.
///
/// The limits are far above any load here: what is measured is the path, not the admission.
pub fn configure(platform: &str) {
    let most = 1_u64 << 40;
    let parameters = json!({
        "weight": 1, "priority": 5, "limit": most, "output": 24, "deadline_ms": 3_600_000,
    });
    let policy = json!({
        "cap": 1.25, "floor": most, "queue": 100, "wait_ms": 1_000, "prefix": 256,
        "tries": 3, "retries": 0.1,
    });
    let models = json!({"serves": {"models": ["m"]}, "policy": policy});
    for (path, spec) in [
        ("template/plain", json!({"parameters": parameters})),
        ("organisation/guest", json!({"template": "plain"})),
        ("pool/engines", models),
    ] {
        put(platform, &format!("objects/{path}"), &json!({"spec": spec}));
    }
}
