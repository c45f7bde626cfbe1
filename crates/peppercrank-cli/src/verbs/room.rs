// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Reports who holds the room of each pool, from the metrics of gateways.
//!
//! Each gateway estimates an organisation's demand and share over the whole fleet, and what a target
//! holds and how slow it is, so the largest of their figures is shown; refusals, failures, requests in flight and memory are counted by each gateway for itself,
//! so they are added up.

mod samples;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

use crate::daemons::Daemon;
use crate::daemons::PageClient;
use crate::exit::Exit;
use crate::flags;
use crate::report::Report;
use crate::report::row;
use crate::report::table;

use samples::Sample;

/// Path of a gateway's metrics.
const METRICS_PATH: &str = "/metrics";

/// Prefix of the names of a gateway's metrics.
const PREFIX: &str = "peppercrank_gateway_";

/// How the figures of several gateways are combined.
#[derive(Debug, Clone, Copy)]
enum Combine {
    Least,
    Largest,
    Sum,
}

/// A column of a table: its heading, the metric that it shows, and how figures are combined.
type Column = (&'static str, &'static str, Combine);

/// A table: the labels that identify a row, and its columns.
struct Table {
    labels: &'static [&'static str],
    columns: &'static [Column],
}

/// The tables, in the order in which they are printed.
const TABLES: [(&str, Table); 4] = [
    (
        "pools",
        Table {
            labels: &["pool"],
            columns: &[
                ("ADMITTED", "room_fraction", Combine::Least),
                ("REPEATS LEFT", "repeats_left", Combine::Sum),
            ],
        },
    ),
    (
        "organisations",
        Table {
            labels: &["pool", "organisation"],
            columns: &[
                ("IN FLIGHT", "in_flight", Combine::Sum),
                ("DEMAND", "organisation_demand", Combine::Largest),
                ("SHARE", "organisation_share", Combine::Largest),
                ("REFUSED", "over_share_total", Combine::Sum),
            ],
        },
    ),
    (
        "targets",
        Table {
            labels: &["target"],
            columns: &[
                (
                    "LAST SLOWDOWN %",
                    "target_slowdown_percent",
                    Combine::Largest,
                ),
                ("MEMORY", "target_memory_tokens", Combine::Sum),
                ("FAILURES", "target_failures_total", Combine::Sum),
            ],
        },
    ),
    (
        "pool_targets",
        Table {
            labels: &["pool", "target"],
            columns: &[
                ("BELIEVED", "target_believed_tokens", Combine::Largest),
                ("CAPACITY", "target_capacity_tokens", Combine::Largest),
                (
                    "SLOWDOWN NOW %",
                    "target_current_slowdown_percent",
                    Combine::Largest,
                ),
            ],
        },
    ),
];

/// Fetches the metrics of the gateways and reports the room of pools.
pub(super) fn room(flags: &flags::Room) -> Report {
    let addresses = [flags.first]
        .into_iter()
        .chain(flags.others.iter().copied());
    let daemons = addresses.map(gateway);
    let daemons = daemons.collect::<Vec<_>>();
    let pages = PageClient::new(None).fetch_texts(&daemons, METRICS_PATH);
    let mut samples = Vec::new();
    let mut silent = Vec::new();
    for (daemon, page) in daemons.iter().zip(pages) {
        match page {
            Ok(page) => samples.extend(samples::parse(&page, PREFIX)),
            Err(error) => silent.push((daemon, error)),
        }
    }
    let mut text = String::new();
    let mut json = json!({});
    for (name, kind) in &TABLES {
        let rows = kind.rows(&samples);
        json[name] = kind.json(&rows);
        if !rows.is_empty() {
            text.push_str(&kind.text(&rows));
            text.push('\n');
        }
    }
    for (daemon, error) in &silent {
        // Writing to a string never fails.
        let _written = writeln!(text, "{} {error}", daemon.address);
    }
    let errors = silent
        .iter()
        .map(|(daemon, error)| json!({ "gateway": daemon.address.to_string(), "why": error }));
    json["silent"] = errors.collect();
    let exit = if silent.is_empty() {
        Exit::Done
    } else {
        Exit::Failure
    };
    Report::with_exit(exit, text, json)
}

fn gateway(address: SocketAddr) -> Daemon {
    Daemon {
        name: address.to_string(),
        address,
    }
}

/// The figures of a table by the values of its labels; a figure is `None` if no gateway tells it.
type Rows<'a> = BTreeMap<Vec<&'a str>, Vec<Option<f64>>>;

impl Combine {
    const fn apply(self, before: f64, next: f64) -> f64 {
        match self {
            Self::Least => before.min(next),
            Self::Largest => before.max(next),
            Self::Sum => before + next,
        }
    }
}

impl Table {
    fn rows<'a>(&self, samples: &'a [Sample]) -> Rows<'a> {
        let mut rows = Rows::new();
        for sample in samples {
            let columns = self.columns.iter();
            let Some(column) = columns.clone().position(|(_, m, _)| *m == sample.metric) else {
                continue;
            };
            let labels = self.labels.iter().map(|label| sample.label(label));
            let Some(labels) = labels.collect::<Option<Vec<_>>>() else {
                continue;
            };
            let figures = rows
                .entry(labels)
                .or_insert_with(|| vec![None; columns.len()]);
            let (_, _, combine) = self.columns[column];
            let figure = &mut figures[column];
            *figure = Some(figure.map_or(sample.value, |f| combine.apply(f, sample.value)));
        }
        rows
    }

    fn text(&self, rows: &Rows<'_>) -> String {
        let heads = self.labels.iter().map(|label| label.to_uppercase());
        let heads = heads.chain(self.columns.iter().map(|(head, ..)| (*head).to_owned()));
        let mut lines = vec![heads.collect::<Vec<_>>()];
        for (labels, figures) in rows {
            let mut cells = row(labels);
            let figures = figures.iter().map(|f| f.map_or("-".to_owned(), rounded));
            cells.extend(figures);
            lines.push(cells);
        }
        table(&lines)
    }

    fn json(&self, rows: &Rows<'_>) -> Value {
        let rows = rows.iter().map(|(labels, figures)| {
            let mut row = json!({});
            for (label, value) in self.labels.iter().zip(labels) {
                row[label] = json!(value);
            }
            for ((_, metric, _), figure) in self.columns.iter().zip(figures) {
                row[metric] = json!(figure);
            }
            row
        });
        rows.collect()
    }
}

/// Formats a figure with at most two decimals.
fn rounded(figure: f64) -> String {
    let text = format!("{figure:.2}");
    let text = text.trim_end_matches('0').trim_end_matches('.');
    text.to_owned()
}
