// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Connection settings of a subcommand: flags take precedence over the environment.

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

/// Environment variable with the URL of the platform's API.
pub const PLATFORM_VAR: &str = "PEPPERCRANK_PLATFORM";

/// Environment variable with the bearer token for the platform's API.
pub const TOKEN_VAR: &str = "PEPPERCRANK_TOKEN";

/// Environment variable with the bearer token for the daemons' operator endpoints.
pub const OPERATORS_TOKEN_VAR: &str = "PEPPERCRANK_OPERATORS_TOKEN";

/// Environment variable with a comma-separated list of daemons' operator addresses.
pub const DAEMONS_VAR: &str = "PEPPERCRANK_DAEMONS";

/// Default total time for reads from and writes to the platform, retries included.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(20);

/// Default port of the operator endpoint on each VM in the platform's list.
const DEFAULT_OPERATORS_PORT: u16 = 7002;

/// `Environment` holds the settings taken from environment variables.
#[derive(Debug, Clone, Default)]
pub struct Environment {
    /// URL of the platform's API.
    pub platform: Option<String>,
    /// Bearer token for the platform's API.
    pub token: Option<String>,
    /// Bearer token for the daemons' operator endpoints.
    pub operators_token: Option<String>,
    /// Comma-separated operator addresses of the daemons.
    pub daemons: Option<String>,
}

impl Environment {
    /// Reads the environment variables of this process.
    #[must_use]
    pub fn read() -> Self {
        // An empty variable counts as unset.
        let variable = |name| env::var(name).ok().filter(|text| !text.is_empty());
        Self {
            platform: variable(PLATFORM_VAR),
            token: variable(TOKEN_VAR),
            operators_token: variable(OPERATORS_TOKEN_VAR),
            daemons: variable(DAEMONS_VAR),
        }
    }
}

/// `Access` holds the resolved connection settings and output format of a subcommand.
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
    /// Resolves the global flags against the environment.
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

    /// Returns the platform's URL, or a usage error if none is configured. Subcommands that do not
    /// need the platform never call this.
    pub(crate) fn platform(&self) -> Result<BaseUrl> {
        Ok(self.platform.ok_or(UsageError::MissingPlatform)?)
    }
}

/// Returns the daemons given by flags. Without such flags the environment variable applies, unless
/// `--operators-port` asks for the platform's VM list.
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
