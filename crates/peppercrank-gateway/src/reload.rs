// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Reloads the settings on SIGHUP, and when the file has changed without a signal.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::events::Event;
use peppercrank_log::Field;
use peppercrank_settings::GatewaySettings;
use peppercrank_settings::file;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::limits::answer_limits;
use crate::state::retry_limits;

/// Interval between checks of the file.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the settings up to date. If the file is invalid, the last valid settings stay in force.
pub async fn keep_settings_current(
    gateway: Arc<Gateway>,
    path: PathBuf,
    settings: watch::Sender<Arc<GatewaySettings>>,
    mut hangup: Signal,
) {
    // The file may have changed since the settings in force were read, so the first check always
    // parses it.
    let mut last_text = String::new();
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = sleep(CHECK_INTERVAL) => {}
        }
        reload_if_changed(&gateway, &path, &settings, &mut last_text);
    }
}

fn reload_if_changed(
    gateway: &Gateway,
    path: &Path,
    settings: &watch::Sender<Arc<GatewaySettings>>,
    last_text: &mut String,
) {
    // An unreadable file may be in the process of being replaced, so wait for the next check.
    let Ok(text) = file::read(path) else {
        return;
    };
    if text == *last_text {
        return;
    }
    match GatewaySettings::parse(&text) {
        Ok(new) if new == *settings.borrow().as_ref() => {}
        Ok(new) => {
            gateway.state().retry_budget.set_limits(retry_limits(&new));
            gateway.answers.set_limits(answer_limits(&new));
            settings.send_replace(Arc::new(new));
            gateway.log.write(Event::SettingsRead, &[]);
        }
        Err(e) => {
            let text = e.to_string();
            let fields = [("error", Field::Text(&text))];
            gateway.log.write(Event::SettingsInvalid, &fields);
        }
    }
    *last_text = text;
}
