// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Settings texts: JSON with comments, checked, with line and column in each error.

use std::collections::BTreeSet;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Value;
use jsonc_parser::parse_to_ast;
use serde::de::DeserializeOwned;
use serde_path_to_error::Path;
use serde_path_to_error::Segment;

use crate::Error;

/// Strict JSON but for comments and trailing commas.
const SYNTAX: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// `parse` reads a settings text, JSON with comments, into `T`.
///
/// A type that refuses unknown keys and checks ranges as it deserializes gets the line and column
/// of each fault: the faulty key or value itself, not where the reader stood when it noticed.
///
/// # Errors
///
/// Returns [`Error::Settings`] with the place of the first fault.
pub fn parse<T: DeserializeOwned>(text: &str) -> crate::Result<T> {
    let tree = parse_tree(text)?;
    reject_duplicate_keys(text, &tree)?;
    let plain = serde_json::Value::from(tree.clone());
    serde_path_to_error::deserialize(plain).map_err(|e| {
        let at = offset_of_path(&tree, e.path());
        error_at(text, at, &e.inner().to_string())
    })
}

/// The syntax tree of `text`, with the place of each part.
fn parse_tree(text: &str) -> crate::Result<Value<'_>> {
    match parse_to_ast(text, &CollectOptions::default(), &SYNTAX) {
        Ok(result) => result
            .value
            .ok_or_else(|| error_at(text, text.len(), "no value")),
        Err(e) => Err(error_at(text, e.range().start, &e.kind().to_string())),
    }
}

/// Refuses a key that stands twice in one object: which was meant cannot be known.
fn reject_duplicate_keys(text: &str, value: &Value<'_>) -> crate::Result<()> {
    match value {
        Value::Object(object) => {
            let mut seen = BTreeSet::new();
            for property in &object.properties {
                let name = property.name.as_str();
                if !seen.insert(name) {
                    let reason = format!("the key `{name}` stands twice");
                    return Err(error_at(text, property.range.start, &reason));
                }
                reject_duplicate_keys(text, &property.value)?;
            }
            Ok(())
        }
        Value::Array(array) => array
            .elements
            .iter()
            .try_for_each(|v| reject_duplicate_keys(text, v)),
        _ => Ok(()),
    }
}

/// The byte at which the part at `path` begins, or the last known part on the way there.
fn offset_of_path(tree: &Value<'_>, path: &Path) -> usize {
    let mut at = start_offset(tree);
    let mut value = tree;
    for segment in path {
        match (segment, value) {
            (Segment::Map { key }, Value::Object(object)) => {
                let Some(property) = object.properties.iter().find(|p| p.name.as_str() == key)
                else {
                    return at;
                };
                at = property.range.start;
                value = &property.value;
            }
            (Segment::Seq { index }, Value::Array(array)) => {
                let Some(element) = array.elements.get(*index) else {
                    return at;
                };
                at = start_offset(element);
                value = element;
            }
            _ => return at,
        }
    }
    at
}

/// The byte at which `value` begins.
fn start_offset(value: &Value<'_>) -> usize {
    match value {
        Value::StringLit(v) => v.range.start,
        Value::NumberLit(v) => v.range.start,
        Value::BooleanLit(v) => v.range.start,
        Value::Object(v) => v.range.start,
        Value::Array(v) => v.range.start,
        Value::NullKeyword(v) => v.range.start,
    }
}

/// The error for a fault at byte `at` of `text`.
fn error_at(text: &str, at: usize, reason: &str) -> Error {
    let before = text.get(..at).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().map_or(0, |l| l.chars().count()) + 1;
    Error::Settings {
        line,
        column,
        reason: reason.to_owned(),
    }
}
