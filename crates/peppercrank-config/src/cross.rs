// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Warnings that need more than one object: they hold nothing back.

use std::fmt;

use peppercrank_core::names::ModelName;
use peppercrank_core::names::OrganisationName;
use peppercrank_core::names::PoolName;
use peppercrank_core::names::TemplateName;

use crate::index::Effective;
use crate::store::Store;

/// `Warning` is a reference between objects that leads nowhere, or to too many.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[non_exhaustive]
pub enum Warning {
    /// An organisation's template is not in force: its requests are refused.
    NoTemplate {
        /// The organisation.
        organisation: OrganisationName,
        /// The template that it names.
        template: TemplateName,
    },
    /// Organisations name the same API key: its requests are refused.
    SharedKey {
        /// The organisations.
        organisations: Vec<OrganisationName>,
    },
    /// An organisation may call a model that no pool serves.
    NoModel {
        /// The organisation.
        organisation: OrganisationName,
        /// The model.
        model: ModelName,
    },
    /// An organisation may call a plain service that is no pool.
    NoService {
        /// The organisation.
        organisation: OrganisationName,
        /// The pool.
        service: PoolName,
    },
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoTemplate {
                organisation,
                template,
            } => write!(f, "organisation `{organisation}`: no template `{template}`"),
            Self::SharedKey { organisations } => {
                write!(f, "organisations {organisations:?} share an API key")
            }
            Self::NoModel {
                organisation,
                model,
            } => write!(f, "organisation `{organisation}`: no pool serves `{model}`"),
            Self::NoService {
                organisation,
                service,
            } => write!(f, "organisation `{organisation}`: no pool `{service}`"),
        }
    }
}

/// `warnings` lists what the objects in force refer to in vain.
#[must_use]
pub fn warnings(store: &Store) -> Vec<Warning> {
    let shared = store.index().keys.values().filter(|names| names.len() > 1);
    let shared = shared.map(|names| Warning::SharedKey {
        organisations: names.iter().cloned().collect(),
    });
    let vain = store.organisations().flat_map(|e| vain(store, e));
    shared.chain(vain).collect()
}

fn vain(store: &Store, effective: &Effective) -> Vec<Warning> {
    let organisation = &effective.name;
    let Some(parameters) = &effective.parameters else {
        return vec![Warning::NoTemplate {
            organisation: organisation.clone(),
            template: effective.template.clone(),
        }];
    };
    let models = parameters.models.iter();
    let models = models.filter(|m| store.pools_of(m).next().is_none());
    let models = models.map(|model| Warning::NoModel {
        organisation: organisation.clone(),
        model: model.clone(),
    });
    let services = parameters.services.iter();
    let services = services.filter(|s| store.pool(s).is_none());
    let services = services.map(|service| Warning::NoService {
        organisation: organisation.clone(),
        service: service.clone(),
    });
    models.chain(services).collect()
}
