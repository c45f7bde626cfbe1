// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Attribution of a failed answer to the target or to the request itself.
//!
//! Some requests fail on every target. If their failures were counted at once, they would eject
//! healthy targets, so the answer of the next target decides.

use std::sync::Arc;

use crate::directory::TargetKey;

/// Target that answered a request with a failure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// Key of the target.
    pub key: TargetKey,
    /// Name of its instance.
    pub instance: Arc<str>,
}

/// How a request ended for which targets had answered with failures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// Another target served the request.
    Served,
    /// No target served the request.
    Failed,
}

/// Targets that failed one request, until it is known what to attribute the failures to.
#[derive(Debug, Clone, Default)]
pub struct Attribution {
    suspects: Vec<Suspect>,
}

impl Attribution {
    /// Records a target that answered with a failure.
    pub fn add_suspect(&mut self, suspect: Suspect) {
        self.suspects.push(suspect);
    }

    /// Returns the targets that the failures count against, and forgets them.
    ///
    /// If another target served the request, the request was not the cause; if two targets failed
    /// it, the request was. If only one target was tried, because the request may run only once,
    /// the failure counts against that target.
    pub fn resolve(&mut self, end: RequestEnd) -> Vec<Suspect> {
        let suspects = std::mem::take(&mut self.suspects);
        match end {
            RequestEnd::Failed if suspects.len() > 1 => Vec::new(),
            RequestEnd::Served | RequestEnd::Failed => suspects,
        }
    }
}
