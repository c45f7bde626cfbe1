// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Parser for settings in JSON with comments, which reports the line and column of each error.

use std::collections::BTreeSet;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Value;
use jsonc_parser::parse_to_ast;
use serde::de::DeserializeOwned;
use serde_path_to_error::Path;
use serde_path_to_error::Segment;

use crate::Error;

/// Strict JSON except that comments and trailing commas are allowed.
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

/// Deserializes `T` from settings in JSON with comments.
///
/// If `T` rejects unknown keys and checks ranges while it deserializes, the reported line and
/// column are those of the invalid key or value, not the position at which the deserializer
/// detected the error.
///
/// # Errors
///
/// Returns [`Error::Settings`] with the position of the first error.
pub fn parse<T: DeserializeOwned>(text: &str) -> crate::Result<T> {
    let tree = parse_tree(text)?;
    reject_duplicate_keys(text, &tree)?;
    let plain = serde_json::Value::from(tree.clone());
    serde_path_to_error::deserialize(plain).map_err(|e| {
        let at = offset_of_path(&tree, e.path());
        error_at(text, at, &e.inner().to_string())
    })
}

/// Parses `text` into a syntax tree in which each node has its position.
fn parse_tree(text: &str) -> crate::Result<Value<'_>> {
    match parse_to_ast(text, &CollectOptions::default(), &SYNTAX) {
        Ok(result) => result
            .value
            .ok_or_else(|| error_at(text, text.len(), "no value")),
        Err(e) => Err(error_at(text, e.range().start, &e.kind().to_string())),
    }
}

/// Rejects duplicate keys in an object, because it is unclear which value is intended.
fn reject_duplicate_keys(text: &str, value: &Value<'_>) -> crate::Result<()> {
    match value {
        Value::Object(object) => {
            let mut seen = BTreeSet::new();
            for property in &object.properties {
                let name = property.name.as_str();
                if !seen.insert(name) {
                    let reason = format!("duplicate key `{name}`");
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

/// Returns the byte offset of the node at `path`, or of its deepest ancestor in the tree.
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

/// Returns the byte offset at which `value` starts.
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

/// Returns the error for byte offset `at` of `text`.
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
