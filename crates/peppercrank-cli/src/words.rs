// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Words of the command line, read into types.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use peppercrank_core::objects::ObjectKind;

use crate::errors::Word;

/// `KindWord` is the kind of an object as an argument.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindWord(pub ObjectKind);

impl FromStr for KindWord {
    type Err = Word;

    fn from_str(s: &str) -> Result<Self, Word> {
        ObjectKind::from_code(s).map(Self).ok_or(Word::Kind)
    }
}

/// `Form` is the form of the output.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Form {
    /// For people.
    #[default]
    Text,
    /// One JSON value a run.
    Json,
}

impl FromStr for Form {
    type Err = Word;

    fn from_str(s: &str) -> Result<Self, Word> {
        match s {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(Word::Form),
        }
    }
}

/// `Span` is a duration with its unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span(pub Duration);

impl FromStr for Span {
    type Err = peppercrank_settings::Error;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        peppercrank_settings::units::parse_duration(s).map(Self)
    }
}

/// `OrderWord` is the id of an order, hexadecimal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderWord(pub u128);

impl FromStr for OrderWord {
    type Err = Word;

    fn from_str(s: &str) -> Result<Self, Word> {
        let plain = s.len() == 32 && s.bytes().all(|b| b.is_ascii_hexdigit());
        let id = u128::from_str_radix(s, 16).map_err(|_e| Word::Order)?;
        plain.then_some(Self(id)).ok_or(Word::Order)
    }
}

impl fmt::Display for OrderWord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// `Daemon` is which daemon a settings file is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Daemon {
    /// The router.
    Router,
    /// The agent.
    Agent,
    /// The gateway.
    Gateway,
}

impl Daemon {
    /// `word` is the daemon's verb.
    #[must_use]
    pub const fn word(self) -> &'static str {
        match self {
            Self::Router => "router",
            Self::Agent => "agent",
            Self::Gateway => "gateway",
        }
    }
}

impl FromStr for Daemon {
    type Err = Word;

    fn from_str(s: &str) -> Result<Self, Word> {
        match s {
            "router" => Ok(Self::Router),
            "agent" => Ok(Self::Agent),
            "gateway" => Ok(Self::Gateway),
            _ => Err(Word::Daemon),
        }
    }
}

/// `Part` is which system a stand-in stands in for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
    /// The platform.
    Platform,
}

impl Part {
    /// `word` is the part's word.
    #[must_use]
    pub const fn word(self) -> &'static str {
        match self {
            Self::Engine => "engine",
            Self::Service => "service",
            Self::Platform => "platform",
        }
    }
}

impl FromStr for Part {
    type Err = Word;

    fn from_str(s: &str) -> Result<Self, Word> {
        match s {
            "engine" => Ok(Self::Engine),
            "service" => Ok(Self::Service),
            "platform" => Ok(Self::Platform),
            _ => Err(Word::Part),
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
    type Err = Word;

    fn from_str(s: &str) -> Result<Self, Word> {
        let (key, value) = s.split_once('=').ok_or(Word::Assignment)?;
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
