// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What both daemons do alike: serve until told to stop, finish what runs, and end.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::events::Event;
use peppercrank_settings::Limits as Settings;
use peppercrank_wire::edge::Call;
use peppercrank_wire::edge::Edge;
use peppercrank_wire::edge::Limits;
use peppercrank_wire::edge::Reply;
use peppercrank_wire::edge::ServeSummary;
use peppercrank_wire::pages::PagesServer;
use peppercrank_wire::stop::Stop;
use tokio::task::JoinHandle;

use crate::errors::Error;
use crate::errors::Result;
use crate::fleet::Fleet;

/// `Process` is a daemon that serves, as its end is waited for.
#[derive(Debug)]
pub struct Process {
    /// The operators' pages, served until the end.
    pub pages: PagesServer,
    /// The task that serves.
    pub serving: JoinHandle<ServeSummary>,
}

impl Process {
    /// `finished` waits for the daemon to end.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Start`] when its task failed.
    pub async fn finished(self) -> Result<ServeSummary> {
        let ended = self.serving.await;
        drop(self.pages);
        ended.map_err(|e| Error::Start {
            cause: std::io::Error::other(e),
        })
    }
}

/// `serve` answers calls until told to stop, then finishes what runs.
///
/// `stopping` is called once, when the signal comes.
pub async fn serve<F, R>(
    edge: Edge,
    fleet: &Arc<Fleet>,
    limits: Limits,
    mut stop: Stop,
    stopping: impl FnOnce() + Send + 'static,
    answer: F,
) -> ServeSummary
where
    F: Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    let address = edge.local_addr().to_string();
    fleet.log.write_about(Event::Started, &address);
    let signal = stop.clone();
    let told = Arc::clone(fleet);
    tokio::spawn(async move {
        stop.wait().await;
        told.log.write_about(Event::Stopping, "");
        told.stop();
        stopping();
    });
    edge.serve(limits, signal, answer).await
}

/// `end` tells the peers and the log that a daemon has ended.
pub fn end(fleet: &Fleet, finished: ServeSummary) {
    fleet.leave();
    if finished.cut > 0 {
        fleet
            .log
            .write_about(Event::StreamsCutAtStop, &finished.cut.to_string());
    }
    fleet.log.write_about(Event::Stopped, "");
}

/// `limits` makes the edge's limits of the settings, with `drain` for what runs at a stop.
#[must_use]
pub fn limits(settings: &Settings, drain: Duration) -> Limits {
    Limits {
        connections: usize::try_from(settings.connections).unwrap_or(usize::MAX),
        head: settings.head,
        body: settings.body as u64,
        head_time: settings.head_time,
        body_time: settings.body_time,
        idle: settings.idle_time,
        total: settings.total_time,
        drain,
        ..Limits::default()
    }
}
