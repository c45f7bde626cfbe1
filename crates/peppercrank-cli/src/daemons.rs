// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The daemons' operators' pages, asked side by side.

use std::fmt;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use peppercrank_settings::Secret;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

use crate::access::Access;
use crate::errors::Result;
use crate::remote::PlatformClient;

/// Pages asked for at once; so 1,670 small ones took 2.7 s on loopback, their server included.
const MAX_CONCURRENCY: usize = 16;

/// Time for one page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// `Daemon` is one daemon's operators' address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Daemon {
    /// The VM's name, or the address where none is known.
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
}

/// `Silence` is why a daemon gave no page.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PageError {
    /// It could not be reached, or did not answer in time.
    Unreached,
    /// It answered with this HTTP status.
    Refused(u16),
    /// Its answer is not what the page should hold.
    Malformed,
}

impl fmt::Display for PageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreached => f.write_str("does not answer"),
            Self::Refused(401 | 403) => f.write_str("refuses the operators' token"),
            Self::Refused(status) => write!(f, "answers {status}"),
            Self::Malformed => f.write_str("answers what is no status"),
        }
    }
}

/// `Pages` reads operators' pages.
#[derive(Debug)]
pub(crate) struct PageClient {
    agent: Agent,
    bearer: Option<String>,
}

impl PageClient {
    pub(crate) fn new(token: Option<&Secret>) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_global(Some(PAGE_TIMEOUT))
            .build();
        Self {
            agent: Agent::new_with_config(config),
            bearer: token.map(|t| format!("Bearer {}", t.reveal())),
        }
    }

    /// Asks all daemons for one page, and gives the answers in their order.
    pub(crate) fn fetch_all<T>(
        &self,
        daemons: &[Daemon],
        path: &str,
    ) -> Vec<std::result::Result<T, PageError>>
    where
        T: DeserializeOwned + Send,
    {
        let share = daemons.len().div_ceil(MAX_CONCURRENCY).max(1);
        thread::scope(|scope| {
            let lanes = daemons.chunks(share).map(|some| {
                scope.spawn(move || some.iter().map(|d| self.fetch(d, path)).collect::<Vec<_>>())
            });
            // All lanes start before the first is waited for.
            let lanes = lanes.collect::<Vec<_>>();
            let answers = lanes.into_iter().zip(daemons.chunks(share));
            let answers = answers.flat_map(|(lane, some)| {
                let lost = || some.iter().map(|_| Err(PageError::Unreached)).collect();
                lane.join().unwrap_or_else(|_panic| lost())
            });
            answers.collect()
        })
    }

    fn fetch<T: DeserializeOwned>(
        &self,
        daemon: &Daemon,
        path: &str,
    ) -> std::result::Result<T, PageError> {
        let request = self.agent.get(format!("http://{}{path}", daemon.address));
        let request = match &self.bearer {
            Some(bearer) => request.header("authorization", bearer),
            None => request,
        };
        let mut answer = request.call().map_err(|_e| PageError::Unreached)?;
        let status = answer.status().as_u16();
        if status != 200 {
            return Err(PageError::Refused(status));
        }
        let body = answer.body_mut().read_json();
        body.map_err(|_e| PageError::Malformed)
    }
}

/// Finds the daemons: those of the flags, else those of the platform's list that stay.
pub(crate) fn discover(access: &Access) -> Result<Vec<Daemon>> {
    if !access.daemons.is_empty() {
        let named = access.daemons.iter().map(|address| Daemon {
            name: address.to_string(),
            address: *address,
        });
        return Ok(named.collect());
    }
    let list = PlatformClient::new(access)?.vms()?;
    let staying = list.vms.into_iter().filter(|vm| !vm.leaving);
    let daemons = staying.map(|vm| Daemon {
        name: vm.name.to_string(),
        address: SocketAddr::new(vm.address.ip(), access.port),
    });
    Ok(daemons.collect())
}
