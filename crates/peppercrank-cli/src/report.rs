// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Result of a subcommand as text and as JSON.

use serde_json::Value;

use crate::exit::Exit;
use crate::words::OutputFormat;

/// `Report` is the result of a subcommand.
#[derive(Debug, Clone)]
pub(crate) struct Report {
    pub(crate) exit: Exit,
    text: String,
    json: Value,
}

impl Report {
    /// Creates the report of a successful subcommand.
    pub(crate) fn done(text: String, json: Value) -> Self {
        Self::with_exit(Exit::Done, text, json)
    }

    /// Creates a report with the given exit code.
    pub(crate) const fn with_exit(exit: Exit, text: String, json: Value) -> Self {
        Self { exit, text, json }
    }

    /// Adds a field to the text and the JSON.
    pub(crate) fn with_field(mut self, name: &str, value: &Value) -> Self {
        self.text = format!("{}\n{name}: {value}", self.text.trim_end());
        self.json[name] = value.clone();
        self
    }

    /// Renders the report, terminated by a newline unless the text is empty.
    pub(crate) fn render(&self, form: OutputFormat) -> String {
        match form {
            OutputFormat::Text if self.text.is_empty() => String::new(),
            OutputFormat::Text => format!("{}\n", self.text.trim_end()),
            OutputFormat::Json => format!("{}\n", self.json),
        }
    }
}

/// Formats rows as aligned columns; the first row is the header.
pub(crate) fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let widths = (0..columns).map(|at| {
        let cells = rows.iter().filter_map(|row| row.get(at));
        cells.map(|c| c.chars().count()).max().unwrap_or(0)
    });
    let widths = widths.collect::<Vec<_>>();
    let lines = rows.iter().map(|row| {
        let cells = row.iter().zip(&widths);
        let cells = cells.map(|(cell, width)| format!("{cell:<width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        format!("{}\n", line.trim_end())
    });
    lines.collect()
}

/// Creates a row for [`table`].
pub(crate) fn row(cells: &[&str]) -> Vec<String> {
    cells.iter().map(|&c| c.to_owned()).collect()
}
