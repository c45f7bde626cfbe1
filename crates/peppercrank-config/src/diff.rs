// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The differences between two contents, field by field.

use std::collections::BTreeSet;
use std::fmt;

use serde_json::Value;

/// `Difference` is one field in which two contents differ.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    /// The path of the field, for example `policy.cap`.
    pub path: String,
    /// The value in ours, none where it is missing.
    pub ours: Option<Value>,
    /// The value in theirs, none where it is missing.
    pub theirs: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let show = |v: &Option<Value>| v.as_ref().map_or("-".to_owned(), Value::to_string);
        let ours = show(&self.ours);
        let theirs = show(&self.theirs);
        write!(f, "{}: ours {ours}, theirs {theirs}", self.path)
    }
}

/// `diff` lists the fields in which two contents differ; lists are compared whole.
#[must_use]
pub fn diff(ours: &Value, theirs: &Value) -> Vec<Difference> {
    let mut found = Vec::new();
    walk("", Some(ours), Some(theirs), &mut found);
    found
}

fn walk(path: &str, ours: Option<&Value>, theirs: Option<&Value>, found: &mut Vec<Difference>) {
    if ours == theirs {
        return;
    }
    let (Some(Value::Object(a)), Some(Value::Object(b))) = (ours, theirs) else {
        found.push(Difference {
            path: path.to_owned(),
            ours: ours.cloned(),
            theirs: theirs.cloned(),
        });
        return;
    };
    let fields: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
    for field in fields {
        let below = match path {
            "" => field.clone(),
            path => format!("{path}.{field}"),
        };
        walk(&below, a.get(field), b.get(field), found);
    }
}
