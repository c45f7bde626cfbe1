// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Share of the source lines that implement coordination, which must not fall below a minimum; the
//! share of tests is printed.
//!
//! `cargo test -p peppercrank-cli --test verify_shares -- --nocapture` prints both.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

/// Crates whose `src` implements coordination between nodes.
const COORDINATION: &[&str] = &[
    "peppercrank-admit",
    "peppercrank-config",
    "peppercrank-direct",
    "peppercrank-lease",
    "peppercrank-member",
    "peppercrank-route",
    "peppercrank-spec",
];

/// Modules of the gateway that do the same: routing, membership, state and its recovery. The rest
/// of that crate moves bytes and does not count.
const GATEWAY: &[&str] = &[
    "choose", "flight", "follow", "gossip", "intake", "register", "state",
];

/// Counts the lines of the gateway's coordination modules.
fn gateway() -> Lines {
    let place = Path::new(env!("CARGO_MANIFEST_DIR")).join("../peppercrank-gateway/src");
    let mut lines = Lines::default();
    for module in GATEWAY {
        let text = fs::read_to_string(place.join(format!("{module}.rs")));
        lines.add(Lines::of(&text.expect("a module of the gateway")));
    }
    lines
}

/// Line counts: all lines, and those that are neither blank nor a comment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Lines {
    all: u64,
    code: u64,
}

impl Lines {
    fn of(text: &str) -> Self {
        let code = |line: &&str| !line.trim().is_empty() && !line.trim_start().starts_with("//");
        Self {
            all: text.lines().count() as u64,
            code: text.lines().filter(code).count() as u64,
        }
    }

    fn add(&mut self, other: Self) {
        self.all += other.all;
        self.code += other.code;
    }

    /// Returns the share of `whole` in thousandths, by all lines and by lines of code.
    fn share(self, whole: Self) -> (u64, u64) {
        (self.all * 1_000 / whole.all, self.code * 1_000 / whole.code)
    }
}

/// Counts the lines below a directory.
fn count(place: &Path) -> Lines {
    let mut lines = Lines::default();
    for entry in fs::read_dir(place).into_iter().flatten() {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            lines.add(count(&path));
        } else if path.extension().is_some_and(|e| e == "rs") {
            lines.add(Lines::of(&fs::read_to_string(path).expect("a source")));
        }
    }
    lines
}

/// Counts the lines of each part (`src`, `tests`, `examples`, `benches`) of each crate.
fn parts() -> BTreeMap<(String, String), Lines> {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut parts = BTreeMap::new();
    for entry in fs::read_dir(crates).expect("the crates") {
        let place = entry.expect("an entry").path();
        let name = place.file_name().and_then(|n| n.to_str()).expect("a name");
        for part in ["src", "tests", "examples", "benches"] {
            let lines = count(&place.join(part));
            parts.insert((name.to_owned(), part.to_owned()), lines);
        }
    }
    parts
}

#[test]
fn verify_coordination_is_over_a_quarter() {
    let (mut whole, mut tests, mut coordination) = Default::default();
    for ((name, part), lines) in parts() {
        Lines::add(&mut whole, lines);
        if part == "tests" {
            Lines::add(&mut tests, lines);
        }
        if part == "src" && COORDINATION.contains(&name.as_str()) {
            Lines::add(&mut coordination, lines);
        }
    }
    coordination.add(gateway());
    println!("lines: {whole:?}");
    println!(
        "tests: {tests:?}, thousandths (all, code): {:?}",
        tests.share(whole)
    );
    let (all, code) = coordination.share(whole);
    println!(
        "coordination: {coordination:?}, thousandths (all, code): {:?}",
        (all, code)
    );
    assert!(
        whole.code > 10_000,
        "the sources are not found any more: {whole:?}"
    );
    assert!(all > 250, "coordination is {all} thousandths of all lines");
    assert!(
        code > 250,
        "coordination is {code} thousandths of the lines of code"
    );
}

#[test]
fn verify_lines_are_counted_by_kind() {
    let text = "//! doc\n\nfn f() {\n    // why\n    g();\n}\n";
    assert_eq!(Lines::of(text), Lines { all: 6, code: 3 });
}
