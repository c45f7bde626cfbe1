// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Formats the addresses of a local fleet.

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

use crate::access::DAEMONS_VAR;
use crate::access::OPERATORS_TOKEN_VAR;
use crate::access::PLATFORM_VAR;
use crate::verbs::local::AgentFleet;
use crate::verbs::local::LOCAL_TOKEN;
use crate::words::OutputFormat;

impl AgentFleet {
    /// Formats the addresses of all components.
    pub(super) fn render(&self, form: OutputFormat) -> String {
        match form {
            OutputFormat::Json => self.json().to_string(),
            OutputFormat::Text => self.lines().join("\n"),
        }
    }

    /// Returns the operator addresses of all daemons.
    fn operators(&self) -> Vec<SocketAddr> {
        let agents = self.agents.iter().map(|a| a.operators);
        let routers = self.routers.iter().map(|r| r.operators);
        agents.chain(routers).collect()
    }

    fn json(&self) -> Value {
        let routers: Vec<_> = self.routers.iter().map(|r| r.address).collect();
        let agents: Vec<_> = self.agents.iter().map(|a| a.address).collect();
        let targets: Vec<_> = self.targets.iter().map(|t| t.addr).collect();
        json!({
            "routers": routers, "agents": agents, "targets": targets,
            "platform": self.platform.addr, "operators": self.operators(),
            "operators_token": LOCAL_TOKEN
        })
    }

    fn lines(&self) -> Vec<String> {
        let platform = self.platform.addr;
        let mut lines = vec![format!("platform  http://{platform}")];
        for (agent, target) in self.agents.iter().zip(&self.targets) {
            lines.push(format!(
                "target    http://{}  agent http://{}  operators http://{}  {}",
                target.addr, agent.address, agent.operators, agent.agent.settings.target.name
            ));
        }
        for router in &self.routers {
            lines.push(format!(
                "router    http://{}  operators http://{}",
                router.address, router.operators
            ));
        }
        let daemons: Vec<_> = self.operators().iter().map(ToString::to_string).collect();
        lines.push("for the other subcommands, in another terminal:".to_owned());
        // A single line can be copied and pasted at once.
        lines.push(format!(
            "export {PLATFORM_VAR}=http://{platform} {OPERATORS_TOKEN_VAR}={LOCAL_TOKEN} {DAEMONS_VAR}={}",
            daemons.join(",")
        ));
        lines.push("ready".to_owned());
        lines
    }
}
