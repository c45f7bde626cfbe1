// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Samples of metrics in the Prometheus text format.

/// `Sample` is one figure of a metric.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Sample {
    /// Name of the metric, without the prefix.
    pub(super) metric: String,
    labels: Vec<(String, String)>,
    /// The figure.
    pub(super) value: f64,
}

impl Sample {
    /// Returns the value of a label, if the sample has it.
    pub(super) fn label(&self, name: &str) -> Option<&str> {
        let mut labels = self.labels.iter();
        let found = labels.find(|(label, _)| label == name)?;
        Some(&found.1)
    }
}

/// Returns the samples of the metrics whose names begin with `prefix`. Lines that are no samples
/// are skipped.
pub(super) fn parse(page: &str, prefix: &str) -> Vec<Sample> {
    let lines = page.lines().filter(|line| !line.starts_with('#'));
    lines
        .filter_map(|line| parse_line(line.strip_prefix(prefix)?))
        .collect()
}

fn parse_line(line: &str) -> Option<Sample> {
    let (series, value) = line.rsplit_once(' ')?;
    let value = value.parse::<f64>().ok()?;
    let (metric, labels) = match series.split_once('{') {
        Some((metric, labels)) => (metric, parse_labels(labels.strip_suffix('}')?)?),
        None => (series, Vec::new()),
    };
    Some(Sample {
        metric: metric.to_owned(),
        labels,
        value,
    })
}

/// Parses `name="value"` pairs, separated by commas.
fn parse_labels(mut text: &str) -> Option<Vec<(String, String)>> {
    let mut labels = Vec::new();
    while !text.is_empty() {
        let (name, rest) = text.split_once("=\"")?;
        let (value, rest) = parse_value(rest)?;
        labels.push((name.to_owned(), value));
        text = rest.strip_prefix(',').unwrap_or(rest);
    }
    Some(labels)
}

/// Parses a label's value up to its closing quote, and returns the text after it.
fn parse_value(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return Some((value, &text[at + 1..])),
            '\\' => match chars.next()?.1 {
                'n' => value.push('\n'),
                escaped => value.push(escaped),
            },
            c => value.push(c),
        }
    }
    None
}
