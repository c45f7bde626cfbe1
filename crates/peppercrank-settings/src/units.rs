// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Parsing and formatting of durations and sizes with units.

use std::time::Duration;

use crate::Result;
use crate::errors;

/// Units of a duration with their lengths in milliseconds. The parser takes the first unit that the
/// text ends with, so `ms` must come before `s`.
const DURATION_UNITS: &[(&str, u64)] = &[("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

/// Units of a size with their lengths in bytes. The parser takes the first unit that the text ends
/// with, so `B`, with which all of them end, must come last.
const SIZE_UNITS: &[(&str, u64)] = &[
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("B", 1),
];

/// Parses a whole number followed by `ms`, `s`, `m` or `h`.
///
/// # Errors
///
/// Returns [`crate::Error::Duration`] for a missing or unknown unit, a fraction or an overflow.
///
/// # Examples
///
/// ```
/// use peppercrank_settings::units::parse_duration;
///
/// assert_eq!(parse_duration("5m").unwrap().as_secs(), 300);
/// assert!(parse_duration("5").is_err());
/// ```
pub fn parse_duration(text: &str) -> Result<Duration> {
    let millis =
        parse_with_unit(text, DURATION_UNITS).ok_or_else(|| errors::invalid_duration(text))?;
    Ok(Duration::from_millis(millis))
}

/// Parses a whole number followed by `B`, `KiB`, `MiB` or `GiB`.
///
/// # Errors
///
/// Returns [`crate::Error::Bytes`] for a missing or unknown unit, a fraction or an overflow.
pub fn parse_bytes(text: &str) -> Result<u64> {
    parse_with_unit(text, SIZE_UNITS).ok_or_else(|| errors::invalid_size(text))
}

/// Formats `millis` milliseconds in the largest unit that gives a whole number.
#[must_use]
pub fn format_duration(millis: u64) -> String {
    format_with_unit(millis, DURATION_UNITS)
}

/// Formats `bytes` in the largest unit that gives a whole number.
#[must_use]
pub fn format_bytes(bytes: u64) -> String {
    format_with_unit(bytes, SIZE_UNITS)
}

/// Parses a number with a unit and returns it in the base unit.
fn parse_with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let (digits, scale) = units
        .iter()
        .find_map(|(unit, scale)| Some((text.strip_suffix(unit)?, *scale)))?;
    // `u64::from_str` would accept a sign.
    if !digits.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    digits.parse::<u64>().ok()?.checked_mul(scale)
}

/// Formats `value` with the largest unit that divides it.
fn format_with_unit(value: u64, units: &[(&str, u64)]) -> String {
    let fits = units
        .iter()
        .filter(|(_, scale)| value > 0 && value.is_multiple_of(*scale));
    let least = units.iter().min_by_key(|(_, scale)| *scale);
    let unit = fits.max_by_key(|(_, scale)| *scale).or(least);
    unit.map_or_else(String::new, |(unit, scale)| {
        format!("{}{unit}", value / scale)
    })
}
