// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The `peppercrank-gateway` command.

mod flags;

use peppercrank_settings::GatewaySettings;

use flags::PeppercrankGateway;

fn main() -> eyre::Result<()> {
    let flags = PeppercrankGateway::from_env_or_exit();
    if flags.check {
        GatewaySettings::load(&flags.settings)?;
        return Ok(());
    }
    peppercrank_gateway::run::run(&flags.settings)?;
    Ok(())
}
