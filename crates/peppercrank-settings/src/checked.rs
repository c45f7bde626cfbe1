// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Deserializers that check the range of a value, so that errors carry the position of the value.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde::de::Visitor;

use crate::errors;
use crate::units;

/// Deserializes a duration of `MIN` to `MAX` milliseconds.
///
/// # Errors
///
/// Fails if the value is not a string with a number and a unit, or is out of range.
pub fn duration<'de, D, const MIN: u64, const MAX: u64>(from: D) -> Result<Duration, D::Error>
where
    D: Deserializer<'de>,
{
    from.deserialize_any(TextVisitor {
        expected: "a duration with its unit, such as \"250ms\", \"2s\" or \"5m\"",
        parse: |text: &str| {
            let time = units::parse_duration(text)?;
            let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
            if (MIN..=MAX).contains(&millis) {
                return Ok(time);
            }
            let min = units::format_duration(MIN);
            Err(errors::out_of_range(
                text,
                &min,
                &units::format_duration(MAX),
            ))
        },
    })
}

/// Deserializes a size of `MIN` to `MAX` bytes.
///
/// # Errors
///
/// Fails if the value is not a string with a number and a unit, or is out of range.
pub fn bytes<'de, D, const MIN: u64, const MAX: u64>(from: D) -> Result<usize, D::Error>
where
    D: Deserializer<'de>,
{
    from.deserialize_any(TextVisitor {
        expected: "a size with its unit, such as \"64KiB\" or \"1MiB\"",
        parse: |text: &str| {
            let size = units::parse_bytes(text)?;
            let whole = usize::try_from(size).ok();
            let fits = (MIN..=MAX).contains(&size);
            let min = units::format_bytes(MIN);
            whole
                .filter(|_| fits)
                .ok_or_else(|| errors::out_of_range(text, &min, &units::format_bytes(MAX)))
        },
    })
}

/// Deserializes an integer of `MIN` to `MAX`.
///
/// # Errors
///
/// Fails if the value is not an integer or is out of range.
pub fn count<'de, D, const MIN: u32, const MAX: u32>(from: D) -> Result<u32, D::Error>
where
    D: Deserializer<'de>,
{
    from.deserialize_any(CountVisitor::<MIN, MAX>)
}

/// Deserializes a fraction of 0 to 1.
///
/// # Errors
///
/// Fails if the value is not a number or is out of range.
pub fn share<'de, D>(from: D) -> Result<f64, D::Error>
where
    D: Deserializer<'de>,
{
    from.deserialize_any(FractionVisitor)
}

/// Deserializes a duration from a number of seconds with fractions, `MIN` to `MAX`.
///
/// # Errors
///
/// Fails if the value is not a number or is out of range.
pub fn seconds<'de, D, const MIN: u32, const MAX: u32>(from: D) -> Result<Duration, D::Error>
where
    D: Deserializer<'de>,
{
    let number = number::<D, MIN, MAX>(from)?;
    Ok(Duration::from_secs_f64(number))
}

/// Deserializes a number with fractions, `MIN` to `MAX`.
///
/// # Errors
///
/// Fails if the value is not a number or is out of range.
pub fn number<'de, D, const MIN: u32, const MAX: u32>(from: D) -> Result<f64, D::Error>
where
    D: Deserializer<'de>,
{
    let number = f64::deserialize(from)?;
    if (f64::from(MIN)..=f64::from(MAX)).contains(&number) {
        return Ok(number);
    }
    let (min, max) = (MIN.to_string(), MAX.to_string());
    Err(D::Error::custom(errors::out_of_range(
        &number.to_string(),
        &min,
        &max,
    )))
}

/// Visitor that parses a string with a function.
struct TextVisitor<F> {
    expected: &'static str,
    parse: F,
}

impl<T, F: FnOnce(&str) -> crate::Result<T>> Visitor<'_> for TextVisitor<F> {
    type Value = T;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.expected)
    }

    fn visit_str<E: Error>(self, v: &str) -> Result<T, E> {
        (self.parse)(v).map_err(E::custom)
    }
}

/// Visitor for an integer of `MIN` to `MAX`.
struct CountVisitor<const MIN: u32, const MAX: u32>;

impl<const MIN: u32, const MAX: u32> Visitor<'_> for CountVisitor<MIN, MAX> {
    type Value = u32;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a whole number of {MIN} to {MAX}")
    }

    fn visit_u64<E: Error>(self, v: u64) -> Result<u32, E> {
        let small = u32::try_from(v).ok();
        let fits = small.filter(|n| (MIN..=MAX).contains(n));
        let (min, max) = (MIN.to_string(), MAX.to_string());
        fits.ok_or_else(|| E::custom(errors::out_of_range(&v.to_string(), &min, &max)))
    }
}

/// Visitor for a fraction of 0 to 1.
struct FractionVisitor;

impl Visitor<'_> for FractionVisitor {
    type Value = f64;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a number of 0 to 1")
    }

    fn visit_f64<E: Error>(self, v: f64) -> Result<f64, E> {
        if (0.0..=1.0).contains(&v) {
            return Ok(v);
        }
        Err(E::custom(errors::out_of_range(&v.to_string(), "0", "1")))
    }

    fn visit_u64<E: Error>(self, v: u64) -> Result<f64, E> {
        match v {
            0 => Ok(0.0),
            1 => Ok(1.0),
            _ => Err(E::custom(errors::out_of_range(&v.to_string(), "0", "1"))),
        }
    }
}
