// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How a member describes itself.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use peppercrank_core::blackboard::Target;
use peppercrank_core::blackboard::TargetState;
use peppercrank_core::hash::hash64;
use peppercrank_core::names::PoolName;
use peppercrank_core::names::TargetName;
use peppercrank_core::names::VmName;
use peppercrank_core::names::ZoneName;

/// `MemberId` stands for a VM name in messages: the hash of the name, 8 bytes.
///
/// Among 1,670 names two share an id with a probability of about 8e-14.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub [u8; 8]);

impl MemberId {
    /// `of` derives the id from the VM's name.
    #[must_use]
    pub fn of(vm: &VmName) -> Self {
        Self(hash64(0, vm.as_str().as_bytes()).to_be_bytes())
    }
}

/// `Agent` describes the target beside an agent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Agent {
    /// The target's name.
    pub target: TargetName,
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// Where its agent takes requests.
    pub address: SocketAddr,
    /// Relative capacity; 0 takes no new work.
    pub weight: u32,
}

/// `Role` is what a member does.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// It routes callers' requests.
    Router,
    /// It stands beside a target.
    Agent(Agent),
}

/// `Description` is what a member says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Description {
    /// The VM that it runs on.
    pub vm: VmName,
    /// The availability zone.
    pub zone: ZoneName,
    /// Where it takes datagrams of this protocol.
    pub gossip: SocketAddr,
    /// Where it takes control calls.
    pub control: SocketAddr,
    /// What it does.
    pub role: Role,
}

impl Description {
    /// `agent` is the description of the target, if this member stands beside one.
    #[must_use]
    pub fn agent(&self) -> Option<&Agent> {
        match &self.role {
            Role::Router => None,
            Role::Agent(agent) => Some(agent),
        }
    }

    /// `pool` is the pool of the target, if this member stands beside one.
    #[must_use]
    pub fn pool(&self) -> Option<&PoolName> {
        self.agent().map(|a| &a.pool)
    }

    /// `target` is the target as the blackboard holds it.
    #[must_use]
    pub fn target(&self, state: TargetState) -> Option<Target> {
        let agent = self.agent()?;
        Some(Target {
            name: agent.target.clone(),
            pool: agent.pool.clone(),
            vm: self.vm.clone(),
            zone: self.zone.clone(),
            address: agent.address,
            weight: agent.weight,
            state,
        })
    }

    /// `stamp` is a short hash of the whole description, equal in every process.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        let role = match &self.role {
            Role::Router => String::new(),
            Role::Agent(a) => format!("{} {} {} {}", a.target, a.pool, a.address, a.weight),
        };
        let text = format!(
            "{} {} {} {} {role}",
            self.vm, self.zone, self.gossip, self.control
        );
        let [a, b, c, d, ..] = hash64(1, text.as_bytes()).to_be_bytes();
        Stamp([a, b, c, d])
    }
}

/// `Stamp` is a short hash of a description, by which peers notice that it changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp(pub [u8; 4]);
