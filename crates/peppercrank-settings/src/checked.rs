// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Deserializers that check a value's range where it stands, so that its place is known.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde::de::Visitor;

use crate::errors;
use crate::units;

/// `duration` reads a duration of `LEAST` to `MOST` milliseconds.
///
/// # Errors
///
/// Fails for anything but a text with a unit, and outside the range.
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

/// `bytes` reads a size of `LEAST` to `MOST` bytes.
///
/// # Errors
///
/// Fails for anything but a text with a unit, and outside the range.
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

/// `count` reads a whole number of `LEAST` to `MOST`.
///
/// # Errors
///
/// Fails for anything but a whole number, and outside the range.
pub fn count<'de, D, const MIN: u32, const MAX: u32>(from: D) -> Result<u32, D::Error>
where
    D: Deserializer<'de>,
{
    from.deserialize_any(CountVisitor::<MIN, MAX>)
}

/// `share` reads a number of 0 to 1.
///
/// # Errors
///
/// Fails for anything but a number, and outside the range.
pub fn share<'de, D>(from: D) -> Result<f64, D::Error>
where
    D: Deserializer<'de>,
{
    from.deserialize_any(FractionVisitor)
}

/// `seconds` reads a number of seconds, `LEAST` to `MOST`, with fractions.
///
/// # Errors
///
/// Fails for anything but a number, and outside the range.
pub fn seconds<'de, D, const MIN: u32, const MAX: u32>(from: D) -> Result<Duration, D::Error>
where
    D: Deserializer<'de>,
{
    let number = number::<D, MIN, MAX>(from)?;
    Ok(Duration::from_secs_f64(number))
}

/// `number` reads a number of `LEAST` to `MOST`, with fractions.
///
/// # Errors
///
/// Fails for anything but a number, and outside the range.
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

/// Reads a text by a function.
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

/// Reads a whole number in a range.
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

/// Reads a number of 0 to 1.
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
