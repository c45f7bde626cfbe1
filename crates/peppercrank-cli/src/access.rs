// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How a verb reaches the platform and the daemons: flags first, then the environment.

use std::env;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use peppercrank_settings::BaseUrl;
use peppercrank_settings::Secret;

use crate::errors::Result;
use crate::errors::UsageError;
use crate::flags::Peppercrank;
use crate::words::OutputFormat;

/// The variable that names the platform's API.
pub const PLATFORM_VAR: &str = "PEPPERCRANK_PLATFORM";

/// The variable that holds the platform's token.
pub const TOKEN_VAR: &str = "PEPPERCRANK_TOKEN";

/// The variable that holds the token of the operators' pages.
pub const OPERATORS_TOKEN_VAR: &str = "PEPPERCRANK_OPERATORS_TOKEN";

/// The variable that names daemons' operators' addresses, parted by commas.
pub const DAEMONS_VAR: &str = "PEPPERCRANK_DAEMONS";

/// Time for reading or writing the platform, unless set.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(20);

/// Port of the operators' pages on the VMs of the platform's list, unless set.
const DEFAULT_OPERATORS_PORT: u16 = 7002;

/// `Environment` is what a run takes from its environment.
#[derive(Debug, Clone, Default)]
pub struct Environment {
    /// The platform's API.
    pub platform: Option<String>,
    /// The platform's token.
    pub token: Option<String>,
    /// The token of the operators' pages.
    pub operators_token: Option<String>,
    /// The operators' addresses of the daemons, parted by commas.
    pub daemons: Option<String>,
}

impl Environment {
    /// `read` reads the process's environment.
    #[must_use]
    pub fn read() -> Self {
        // An empty variable is as good as none, as shells leave them.
        let variable = |name| env::var(name).ok().filter(|text| !text.is_empty());
        Self {
            platform: variable(PLATFORM_VAR),
            token: variable(TOKEN_VAR),
            operators_token: variable(OPERATORS_TOKEN_VAR),
            daemons: variable(DAEMONS_VAR),
        }
    }
}

/// `Access` is how a verb reaches the platform and the daemons.
#[derive(Debug)]
pub(crate) struct Access {
    platform: Option<BaseUrl>,
    pub(crate) token: Option<Secret>,
    pub(crate) operators: Option<Secret>,
    pub(crate) timeout: Duration,
    pub(crate) daemons: Vec<SocketAddr>,
    pub(crate) port: u16,
    pub(crate) format: OutputFormat,
}

impl Access {
    /// Takes the flags that every verb has.
    pub(crate) fn new(flags: &Peppercrank, environment: &Environment) -> Result<Self> {
        let Environment {
            platform,
            token,
            operators_token,
            daemons,
        } = environment;
        Ok(Self {
            platform: flag_or_variable(flags.platform, platform.as_ref(), PLATFORM_VAR)?,
            token: flag_or_variable(flags.token.clone(), token.as_ref(), TOKEN_VAR)?,
            operators: flag_or_variable(
                flags.operators_token.clone(),
                operators_token.as_ref(),
                OPERATORS_TOKEN_VAR,
            )?,
            timeout: flags.timeout.map_or(DEFAULT_TIMEOUT, |t| t.0),
            daemons: daemon_addresses(flags, daemons.as_deref())?,
            port: flags.operators_port.unwrap_or(DEFAULT_OPERATORS_PORT),
            format: flags.output.unwrap_or_default(),
        })
    }

    /// The platform, which some verbs can do without.
    pub(crate) fn platform(&self) -> Result<BaseUrl> {
        Ok(self.platform.ok_or(UsageError::MissingPlatform)?)
    }
}

/// The daemons that are named: by flags, or else by the variable unless a port asks for the list.
fn daemon_addresses(flags: &Peppercrank, text: Option<&str>) -> Result<Vec<SocketAddr>> {
    if !flags.daemon.is_empty() || flags.operators_port.is_some() {
        return Ok(flags.daemon.clone());
    }
    let parts = text.into_iter().flat_map(|t| t.split(','));
    let parsed = parts.map(|part| part.trim().parse::<SocketAddr>());
    let parsed = parsed.collect::<std::result::Result<_, _>>();
    Ok(parsed.map_err(|_e| UsageError::InvalidVariable(DAEMONS_VAR))?)
}

fn flag_or_variable<T: FromStr>(
    flag: Option<T>,
    text: Option<&String>,
    name: &'static str,
) -> Result<Option<T>> {
    if flag.is_some() {
        return Ok(flag);
    }
    let parsed = text.map(|t| t.parse::<T>()).transpose();
    Ok(parsed.map_err(|_e| UsageError::InvalidVariable(name))?)
}
