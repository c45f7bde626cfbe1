// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How a verb reaches the platform and the daemons: flags first, then the environment.

use std::env;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use peppercrank_settings::BaseUrl;
use peppercrank_settings::Secret;

use crate::errors::Misuse;
use crate::errors::Result;
use crate::flags::Peppercrank;
use crate::words::Form;

/// The variable that names the platform's API.
pub const PLATFORM: &str = "PEPPERCRANK_PLATFORM";

/// The variable that holds the platform's token.
pub const TOKEN: &str = "PEPPERCRANK_TOKEN";

/// The variable that holds the token of the operators' pages.
pub const OPERATORS_TOKEN: &str = "PEPPERCRANK_OPERATORS_TOKEN";

/// The variable that names daemons' operators' addresses, parted by commas.
pub const DAEMONS: &str = "PEPPERCRANK_DAEMONS";

/// Time for reading or writing the platform, unless set.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(20);

/// Port of the operators' pages on the VMs of the platform's list, unless set.
const DEFAULT_PORT: u16 = 7002;

/// `Environment` is what a run takes from its environment.
#[derive(Debug, Clone, Default)]
pub struct Environment {
    /// The platform's API.
    pub platform: Option<String>,
    /// The platform's token.
    pub token: Option<String>,
    /// The token of the operators' pages.
    pub operators: Option<String>,
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
            platform: variable(PLATFORM),
            token: variable(TOKEN),
            operators: variable(OPERATORS_TOKEN),
            daemons: variable(DAEMONS),
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
    pub(crate) form: Form,
}

impl Access {
    /// Takes the flags that every verb has.
    pub(crate) fn new(flags: &Peppercrank, environment: &Environment) -> Result<Self> {
        let Environment {
            platform,
            token,
            operators,
            daemons,
        } = environment;
        Ok(Self {
            platform: choose(flags.platform, platform.as_ref(), PLATFORM)?,
            token: choose(flags.token.clone(), token.as_ref(), TOKEN)?,
            operators: choose(
                flags.operators_token.clone(),
                operators.as_ref(),
                OPERATORS_TOKEN,
            )?,
            timeout: flags.timeout.map_or(DEFAULT_TIMEOUT, |t| t.0),
            daemons: addresses(flags, daemons.as_deref())?,
            port: flags.operators_port.unwrap_or(DEFAULT_PORT),
            form: flags.output.unwrap_or_default(),
        })
    }

    /// The platform, which some verbs can do without.
    pub(crate) fn platform(&self) -> Result<BaseUrl> {
        Ok(self.platform.ok_or(Misuse::NoPlatform)?)
    }
}

/// The daemons that are named: by flags, or else by the variable unless a port asks for the list.
fn addresses(flags: &Peppercrank, text: Option<&str>) -> Result<Vec<SocketAddr>> {
    if !flags.daemon.is_empty() || flags.operators_port.is_some() {
        return Ok(flags.daemon.clone());
    }
    let parts = text.into_iter().flat_map(|t| t.split(','));
    let parsed = parts.map(|part| part.trim().parse::<SocketAddr>());
    let parsed = parsed.collect::<std::result::Result<_, _>>();
    Ok(parsed.map_err(|_e| Misuse::Variable(DAEMONS))?)
}

fn choose<T: FromStr>(
    flag: Option<T>,
    text: Option<&String>,
    name: &'static str,
) -> Result<Option<T>> {
    if flag.is_some() {
        return Ok(flag);
    }
    let parsed = text.map(|t| t.parse::<T>()).transpose();
    Ok(parsed.map_err(|_e| Misuse::Variable(name))?)
}
