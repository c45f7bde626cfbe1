// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Whom a failure that a target answers speaks against: the target, or the request itself.
//!
//! Some requests fail wherever they run. Counted against their targets they would eject sound ones, so
//! the next target's answer is heard first.

use std::sync::Arc;

use crate::directory::TargetKey;

/// `Suspect` is a target that answered a request with a failure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// The target.
    pub key: TargetKey,
    /// Its name.
    pub instance: Arc<str>,
}

/// `End` is how a request ended that targets had failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// Another target served it.
    Served,
    /// No target did.
    Failed,
}

/// `Attribution` is which targets failed one request, until it is known what that says.
#[derive(Debug, Clone, Default)]
pub struct Attribution {
    suspects: Vec<Suspect>,
}

impl Attribution {
    /// `suspect` notes a target that answered with a failure.
    pub fn add_suspect(&mut self, suspect: Suspect) {
        self.suspects.push(suspect);
    }

    /// `settle` lists the targets that the failures speak against, and forgets them.
    ///
    /// What another target served was not the request's fault; what two failed was. Where nobody else was asked, as the
    /// request may run once only, it speaks against the one that was.
    pub fn resolve(&mut self, end: RequestEnd) -> Vec<Suspect> {
        let suspects = std::mem::take(&mut self.suspects);
        match end {
            RequestEnd::Failed if suspects.len() > 1 => Vec::new(),
            RequestEnd::Served | RequestEnd::Failed => suspects,
        }
    }
}
