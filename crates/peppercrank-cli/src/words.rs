// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Argument types of the command line.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use peppercrank_core::objects::ObjectKind;

use crate::errors::ArgumentError;

/// `KindArg` is an object kind given as an argument.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindArg(pub ObjectKind);

impl FromStr for KindArg {
    type Err = ArgumentError;

    fn from_str(s: &str) -> Result<Self, ArgumentError> {
        ObjectKind::from_code(s)
            .map(Self)
            .ok_or(ArgumentError::ObjectKind)
    }
}

/// `OutputFormat` is the format of the output.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON value per run.
    Json,
}

impl FromStr for OutputFormat {
    type Err = ArgumentError;

    fn from_str(s: &str) -> Result<Self, ArgumentError> {
        match s {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(ArgumentError::OutputFormat),
        }
    }
}

/// `DurationArg` is a duration with a unit, such as `30s`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DurationArg(pub Duration);

impl FromStr for DurationArg {
    type Err = peppercrank_settings::Error;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        peppercrank_settings::units::parse_duration(s).map(Self)
    }
}

/// `OrderIdArg` is an order id of 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderIdArg(pub u128);

impl FromStr for OrderIdArg {
    type Err = ArgumentError;

    fn from_str(s: &str) -> Result<Self, ArgumentError> {
        let plain = s.len() == 32 && s.bytes().all(|b| b.is_ascii_hexdigit());
        let id = u128::from_str_radix(s, 16).map_err(|_e| ArgumentError::OrderId)?;
        plain.then_some(Self(id)).ok_or(ArgumentError::OrderId)
    }
}

impl fmt::Display for OrderIdArg {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// `DaemonKind` is the kind of daemon that a settings file configures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DaemonKind {
    /// A router.
    Router,
    /// An agent.
    Agent,
    /// A gateway.
    Gateway,
}

impl DaemonKind {
    /// Returns the name as given on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Router => "router",
            Self::Agent => "agent",
            Self::Gateway => "gateway",
        }
    }
}

impl FromStr for DaemonKind {
    type Err = ArgumentError;

    fn from_str(s: &str) -> Result<Self, ArgumentError> {
        match s {
            "router" => Ok(Self::Router),
            "agent" => Ok(Self::Agent),
            "gateway" => Ok(Self::Gateway),
            _ => Err(ArgumentError::DaemonKind),
        }
    }
}

/// `StandinKind` is the kind of system that a stand-in simulates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandinKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
    /// The platform.
    Platform,
}

impl StandinKind {
    /// Returns the name as given on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Engine => "engine",
            Self::Service => "service",
            Self::Platform => "platform",
        }
    }
}

impl FromStr for StandinKind {
    type Err = ArgumentError;

    fn from_str(s: &str) -> Result<Self, ArgumentError> {
        match s {
            "engine" => Ok(Self::Engine),
            "service" => Ok(Self::Service),
            "platform" => Ok(Self::Platform),
            _ => Err(ArgumentError::StandinKind),
        }
    }
}

/// `Assignment` is a `key=value` argument. An empty value reverts the parameter to the template's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Name of the parameter.
    pub key: String,
    /// New value; empty to revert to the template's.
    pub value: String,
}

impl FromStr for Assignment {
    type Err = ArgumentError;

    fn from_str(s: &str) -> Result<Self, ArgumentError> {
        let (key, value) = s.split_once('=').ok_or(ArgumentError::Assignment)?;
        Ok(Self {
            key: key.to_owned(),
            value: value.to_owned(),
        })
    }
}

impl fmt::Display for Assignment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}={}", self.key, self.value)
    }
}
