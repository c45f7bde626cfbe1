// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The page of metrics agrees with the code, and each reason stands from the start.

use peppercrank_core::refusal::MayHaveRun;
use peppercrank_core::refusal::NotRun;
use peppercrank_daemon::metrics::Metrics;

const PAGE: &str = include_str!("../../../docs/METRICS.md");

/// The names that the metrics' own text declares.
fn declared(text: &str) -> Vec<&str> {
    let types = text
        .lines()
        .filter_map(|l| l.strip_prefix("# TYPE peppercrank_"));
    types.filter_map(|l| l.split(' ').next()).collect()
}

#[test]
fn verify_each_metric_has_its_row() {
    let text = Metrics::new().text();
    let names = declared(&text);
    assert!(!names.is_empty());
    for name in &names {
        assert!(
            PAGE.contains(&format!("| `{name}` |")),
            "docs/METRICS.md lacks {name}"
        );
    }
    let rows = PAGE.lines().filter(|l| l.starts_with("| `")).count();
    assert_eq!(rows, names.len(), "{names:?}");
}

#[test]
fn verify_each_reason_stands_at_zero() {
    let text = Metrics::new().text();
    for family in ["requests", "attempts", "retries"] {
        for reason in NotRun::ALL {
            let line = format!(
                "peppercrank_{family}_total{{run=\"not_run\",reason=\"{}\"}} 0",
                reason.code()
            );
            assert!(text.contains(&line), "{line}");
        }
        for reason in MayHaveRun::ALL {
            let line = format!(
                "peppercrank_{family}_total{{run=\"may_have_run\",reason=\"{}\"}} 0",
                reason.code()
            );
            assert!(text.contains(&line), "{line}");
        }
    }
}
