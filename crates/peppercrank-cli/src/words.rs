// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Words of the command line, read into types.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use peppercrank_core::objects::ObjectKind;

use crate::errors::ArgumentError;

/// `KindWord` is the kind of an object as an argument.
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

/// `Form` is the form of the output.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON value a run.
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

/// `Span` is a duration with its unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DurationArg(pub Duration);

impl FromStr for DurationArg {
    type Err = peppercrank_settings::Error;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        peppercrank_settings::units::parse_duration(s).map(Self)
    }
}

/// `OrderWord` is the id of an order, hexadecimal.
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

/// `Daemon` is which daemon a settings file is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DaemonKind {
    /// The router.
    Router,
    /// The agent.
    Agent,
    /// The gateway.
    Gateway,
}

impl DaemonKind {
    /// `word` is the daemon's verb.
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

/// `Part` is which system a stand-in stands in for.
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
    /// `word` is the part's word.
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

/// `Assignment` is one `key=value`; with no value the parameter is the template's again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The parameter.
    pub key: String,
    /// Its value, empty to take it back.
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
