// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! In which regions a request may run.
//!
//! A route and an organisation may each name regions; where both do, a request may run only where both allow it. A target whose
//! region is not known is in none that is named.

use std::sync::Arc;

/// `Regions` are those in which a request may run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Regions {
    /// It may run in any.
    #[default]
    Any,
    /// It may run in these.
    Only(Arc<[Arc<str>]>),
}

impl Regions {
    /// `of` are those that a list names; an empty list names none, and so allows any.
    #[must_use]
    pub fn of(named: Vec<Arc<str>>) -> Self {
        if named.is_empty() {
            return Self::Any;
        }
        Self::Only(named.into())
    }

    /// `both` are those that this and another list allow.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        let (Self::Only(own), Self::Only(others)) = (self, other) else {
            return match self {
                Self::Any => other.clone(),
                Self::Only(_) => self.clone(),
            };
        };
        let common = own.iter().filter(|r| others.contains(r)).cloned();
        Self::Only(common.collect())
    }

    /// `allows` tells whether a request may run at a target of this region; none where it is not known.
    #[must_use]
    pub fn allows(&self, region: Option<&str>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(allowed) => region.is_some_and(|r| allowed.iter().any(|a| **a == *r)),
        }
    }
}
