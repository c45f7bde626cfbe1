// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Regions in which a request may run.
//!
//! A route and an organisation may each list regions. If both do, a request may run only where both
//! allow it. A target whose region is unknown is in none of the listed ones.

use std::sync::Arc;

/// `Regions` is the set of regions in which a request may run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Regions {
    /// All regions.
    #[default]
    Any,
    /// These regions only.
    Only(Arc<[Arc<str>]>),
}

impl Regions {
    /// Returns the regions of a list. An empty list allows any region.
    #[must_use]
    pub fn of(named: Vec<Arc<str>>) -> Self {
        if named.is_empty() {
            return Self::Any;
        }
        Self::Only(named.into())
    }

    /// Returns the regions that both sets allow.
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

    /// Returns whether a request may run at a target in this region; `None` if its region is
    /// unknown.
    #[must_use]
    pub fn allows(&self, region: Option<&str>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(allowed) => region.is_some_and(|r| allowed.iter().any(|a| **a == *r)),
        }
    }
}
