// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! All documentation pages: links resolve, indexes are complete, no placeholders are left, and the
//! names they mention exist.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use peppercrank_core::events::Event;

/// Directories with pages outside `docs`.
const PLACES: &[&str] = &[".", "deploy"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns all pages with their text.
fn all() -> Vec<(PathBuf, String)> {
    let mut found = PLACES.iter().flat_map(|p| pages(p)).collect::<Vec<_>>();
    let mut places = vec!["docs".to_owned()];
    while let Some(place) = places.pop() {
        found.extend(pages(&place));
        for entry in fs::read_dir(root().join(&place)).expect("a directory") {
            let entry = entry.expect("an entry");
            if entry.path().is_dir() {
                places.push(format!("{place}/{}", entry.file_name().display()));
            }
        }
    }
    assert!(found.len() > 30, "pages are not found any more");
    found
}

/// Returns the pages of one directory, sorted by name.
fn pages(place: &str) -> Vec<(PathBuf, String)> {
    let entries = fs::read_dir(root().join(place)).expect("a directory");
    let paths = entries.map(|e| e.expect("an entry").path());
    let mut paths = paths
        .filter(|p| p.extension().is_some_and(|e| e == "md"))
        .collect::<Vec<_>>();
    paths.sort();
    let read = |path: PathBuf| {
        let text = fs::read_to_string(&path).expect("a text");
        (path, text)
    };
    paths.into_iter().map(read).collect()
}

/// Returns the anchor of a heading.
fn anchor(heading: &str) -> String {
    let kept = heading.trim_start_matches('#').trim().to_lowercase();
    let kept = kept
        .chars()
        .filter(|c| c.is_alphanumeric() || " -_".contains(*c));
    kept.collect::<String>().replace(' ', "-")
}

#[test]
fn verify_every_link_leads_somewhere() {
    let mut lost = Vec::new();
    for (path, text) in all() {
        let place = path.parent().expect("a directory");
        for link in text.split("](").skip(1) {
            let target = link.split(')').next().expect("a target");
            if target.starts_with("http") {
                continue;
            }
            let (file, head) = target.split_once('#').unwrap_or((target, ""));
            let to = if file.is_empty() {
                path.clone()
            } else {
                place.join(file)
            };
            let found = to.exists()
                && (head.is_empty() || {
                    let text = fs::read_to_string(&to).expect("a page");
                    let mut heads = text.lines().filter(|l| l.starts_with('#'));
                    heads.any(|h| anchor(h) == head)
                });
            if !found {
                lost.push(format!("{}: {target}", path.display()));
            }
        }
    }
    assert!(lost.is_empty(), "{lost:#?}");
}

#[test]
fn verify_every_page_is_in_its_index() {
    for place in ["docs/design", "docs/operators"] {
        let index = fs::read_to_string(root().join(place).join("README.md")).expect("an index");
        for (path, _) in pages(place) {
            let name = path.file_name().and_then(|n| n.to_str()).expect("a name");
            let row = format!("| [{name}]({name}) | ");
            assert!(
                name == "README.md" || index.contains(&row),
                "{place}: {name}"
            );
        }
    }
}

#[test]
fn verify_nothing_is_left_to_be_filled_in() {
    let mut open = Vec::new();
    for (path, text) in all() {
        let marks = text.lines().filter(|line| {
            let letters =
                line.len() > 3 && line.bytes().all(|b| b.is_ascii_uppercase() || b == b'_');
            letters || ["TODO", "FIXME", "TBD"].iter().any(|m| line.contains(m))
        });
        open.extend(marks.map(|line| format!("{}: {line}", path.display())));
    }
    assert!(open.is_empty(), "{open:#?}");
}

/// Returns the concatenated sources below a directory, such as `tests`, of every crate, including
/// those of the platform.
fn sources(part: &str) -> String {
    let crates = fs::read_dir(root().join("crates")).expect("the crates");
    let platform = fs::read_dir(root().join("platform")).expect("the platform's crates");
    let mut places = crates
        .chain(platform)
        .map(|e| e.expect("an entry").path().join(part))
        .chain([root().join("platform").join(part)])
        .filter(|p| p.exists())
        .collect::<Vec<_>>();
    let mut all = String::new();
    while let Some(place) = places.pop() {
        for entry in fs::read_dir(place).expect("a directory") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                places.push(path);
            } else {
                all += &fs::read_to_string(path).expect("a source");
            }
        }
    }
    all
}

#[test]
fn verify_every_test_that_a_page_names_exists() {
    let tests = sources("tests");
    let mut lost = Vec::new();
    for (path, text) in all() {
        for name in text.split('`').skip(1).step_by(2) {
            // `verify_…` stands for any test, and the name of a test file for all of its tests.
            let whole =
                name.starts_with("verify_") && name.is_ascii() && !name.contains([' ', '/', '.']);
            let known = tests.contains(&format!("fn {name}(")) || is_file(name);
            if whole && !known {
                lost.push(format!("{}: {name}", path.display()));
            }
        }
    }
    assert!(lost.is_empty(), "{lost:#?}");
}

/// Returns whether a crate has a test file of this name.
fn is_file(name: &str) -> bool {
    let crates = fs::read_dir(root().join("crates")).expect("the crates");
    let mut crates = crates.map(|e| e.expect("an entry").path());
    crates.any(|c| c.join(format!("tests/{name}.rs")).exists())
}

/// Returns whether a path such as `route::rank` or `router::job` names a module or an item.
fn is_named(path: &str) -> bool {
    let parts = path.split("::").collect::<Vec<_>>();
    let own = root().join(format!("crates/peppercrank-{}/src", parts[0]));
    // Modules of the daemons are written without their crate's name.
    let (source, rest) = if own.exists() {
        (own, &parts[1..])
    } else {
        (
            root().join("crates/peppercrank-daemon/src"),
            parts.as_slice(),
        )
    };
    let Some((last, parents)) = rest.split_last() else {
        return true;
    };
    let place = parents
        .iter()
        .fold(source.clone(), |place, p| place.join(p));
    if place.join(format!("{last}.rs")).exists() || place.join(last).join("mod.rs").exists() {
        return true;
    }
    let homes = [
        place.with_extension("rs"),
        place.join("mod.rs"),
        source.join("lib.rs"),
    ];
    let mut texts = homes
        .iter()
        .filter_map(|home| fs::read_to_string(home).ok());
    let ends = [
        format!("::{last};"),
        format!("struct {last} "),
        format!("enum {last} "),
    ];
    texts.any(|text| ends.iter().any(|end| text.contains(end)))
}

#[test]
fn verify_every_module_of_the_architecture_exists() {
    let page = fs::read_to_string(root().join("docs/ARCHITECTURE.md")).expect("a page");
    let names = page.split('`').skip(1).step_by(2);
    let names = names.filter(|n| n.contains("::") && !n.contains(' '));
    let names = names.collect::<Vec<_>>();
    assert!(names.len() > 20, "{names:?}");
    let lost = names.iter().filter(|n| !is_named(n)).collect::<Vec<_>>();
    assert!(lost.is_empty(), "{lost:?}");
}

#[test]
fn verify_every_event_is_logged_somewhere() {
    let sources = sources("src");
    let missing = Event::ALL.iter().filter(|e| {
        let name = format!("Event::{e:?}");
        let mut uses = sources
            .match_indices(&name)
            .map(|(at, _)| &sources[at + name.len()..]);
        !uses.any(|rest| !rest.starts_with(|c: char| c.is_ascii_alphanumeric()))
    });
    let missing = missing.collect::<Vec<_>>();
    assert!(
        missing.is_empty(),
        "catalogued and never logged: {missing:?}"
    );
}
