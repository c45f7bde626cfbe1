// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Look-ups over the objects in force, kept up as each changes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use peppercrank_core::names::ModelName;
use peppercrank_core::names::OrganisationName;
use peppercrank_core::names::PoolName;
use peppercrank_core::names::TargetName;
use peppercrank_core::names::TemplateName;
use peppercrank_core::objects::Mark;
use peppercrank_core::objects::ObjectKey;
use peppercrank_core::objects::Organisation;
use peppercrank_core::objects::Overrides;
use peppercrank_core::objects::Parameters;
use peppercrank_core::objects::Pool;
use peppercrank_core::objects::PoolWorkload;
use peppercrank_core::objects::Template;

use crate::checks;
use crate::object::Spec;

/// `Effective` are the parameters of one organisation: its template's, with its own on top.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Effective {
    /// The organisation.
    pub name: OrganisationName,
    /// The template that it names.
    pub template: TemplateName,
    /// The parameters, none while the template is not in force.
    pub parameters: Option<Parameters>,
}

/// Look-ups over the objects in force.
#[derive(Debug, Default)]
pub(crate) struct Index {
    pub(crate) templates: BTreeMap<TemplateName, Template>,
    pub(crate) organisations: BTreeMap<OrganisationName, Organisation>,
    pub(crate) pools: BTreeMap<PoolName, Pool>,
    pub(crate) marks: BTreeMap<TargetName, Mark>,
    /// The organisations by API key digest; more than one is an operator's mistake.
    pub(crate) keys: BTreeMap<[u8; 32], BTreeSet<OrganisationName>>,
    /// The pools by model.
    pub(crate) models: BTreeMap<ModelName, BTreeSet<PoolName>>,
    /// The organisations by template.
    pub(crate) users: BTreeMap<TemplateName, BTreeSet<OrganisationName>>,
    pub(crate) effective: BTreeMap<OrganisationName, Arc<Effective>>,
}

impl Index {
    /// Puts the content of an object in force, in place of what it held before.
    pub(crate) fn put(&mut self, key: &ObjectKey, old: Option<&Spec>, new: Option<&Spec>) {
        if let Some(old) = old {
            self.remove(key, old);
        }
        if let Some(new) = new {
            self.insert(key, new);
        }
    }

    fn insert(&mut self, key: &ObjectKey, spec: &Spec) {
        match spec {
            Spec::Template(template) => self.insert_template(key, template),
            Spec::Organisation(organisation) => self.insert_organisation(key, organisation),
            Spec::Pool(pool) => self.insert_pool(key, pool),
            Spec::Mark(mark) => {
                self.marks.insert(mark.target.clone(), mark.clone());
            }
        }
    }

    fn remove(&mut self, key: &ObjectKey, spec: &Spec) {
        match spec {
            Spec::Template(_) => self.remove_template(key),
            Spec::Organisation(organisation) => self.remove_organisation(key, organisation),
            Spec::Pool(pool) => self.remove_pool(key, pool),
            Spec::Mark(mark) => {
                self.marks.remove(&mark.target);
            }
        }
    }

    fn insert_template(&mut self, key: &ObjectKey, template: &Template) {
        let Ok(name) = TemplateName::new(key.name.as_str()) else {
            return;
        };
        self.templates.insert(name.clone(), template.clone());
        self.resolve_users(&name);
    }

    fn remove_template(&mut self, key: &ObjectKey) {
        let Ok(name) = TemplateName::new(key.name.as_str()) else {
            return;
        };
        self.templates.remove(&name);
        self.resolve_users(&name);
    }

    fn insert_organisation(&mut self, key: &ObjectKey, organisation: &Organisation) {
        let Ok(name) = OrganisationName::new(key.name.as_str()) else {
            return;
        };
        for digest in organisation.keys.iter().filter_map(|k| checks::digest(k)) {
            self.keys.entry(digest).or_default().insert(name.clone());
        }
        let users = self.users.entry(organisation.template.clone()).or_default();
        users.insert(name.clone());
        self.organisations
            .insert(name.clone(), organisation.clone());
        self.resolve(&name);
    }

    fn remove_organisation(&mut self, key: &ObjectKey, organisation: &Organisation) {
        let Ok(name) = OrganisationName::new(key.name.as_str()) else {
            return;
        };
        for digest in organisation.keys.iter().filter_map(|k| checks::digest(k)) {
            discard(&mut self.keys, &digest, &name);
        }
        discard(&mut self.users, &organisation.template, &name);
        self.organisations.remove(&name);
        self.effective.remove(&name);
    }

    fn insert_pool(&mut self, key: &ObjectKey, pool: &Pool) {
        let Ok(name) = PoolName::new(key.name.as_str()) else {
            return;
        };
        for model in models(pool) {
            self.models
                .entry(model.clone())
                .or_default()
                .insert(name.clone());
        }
        self.pools.insert(name, pool.clone());
    }

    fn remove_pool(&mut self, key: &ObjectKey, pool: &Pool) {
        let Ok(name) = PoolName::new(key.name.as_str()) else {
            return;
        };
        for model in models(pool) {
            discard(&mut self.models, model, &name);
        }
        self.pools.remove(&name);
    }

    fn resolve_users(&mut self, template: &TemplateName) {
        let users = self.users.get(template).cloned().unwrap_or_default();
        for name in users {
            self.resolve(&name);
        }
    }

    fn resolve(&mut self, name: &OrganisationName) {
        let Some(organisation) = self.organisations.get(name) else {
            return;
        };
        let template = self.templates.get(&organisation.template);
        let effective = Effective {
            name: name.clone(),
            template: organisation.template.clone(),
            parameters: template.map(|t| overridden(&t.parameters, &organisation.overrides)),
        };
        self.effective.insert(name.clone(), Arc::new(effective));
    }
}

/// The models that a pool serves, none for a plain service.
pub(crate) fn models(pool: &Pool) -> &[ModelName] {
    match &pool.serves {
        PoolWorkload::Models(models) => models,
        PoolWorkload::Service { .. } => &[],
    }
}

fn overridden(base: &Parameters, own: &Overrides) -> Parameters {
    let models = own.models.as_ref().unwrap_or(&base.models);
    let services = own.services.as_ref().unwrap_or(&base.services);
    Parameters {
        weight: own.weight.unwrap_or(base.weight),
        priority: own.priority.unwrap_or(base.priority),
        limit: own.limit.unwrap_or(base.limit),
        output: own.output.unwrap_or(base.output),
        deadline_ms: own.deadline_ms.unwrap_or(base.deadline_ms),
        models: models.clone(),
        services: services.clone(),
    }
}

/// Takes `item` out of the set at `key`, and the set with its last item.
fn discard<K: Ord, T: Ord>(sets: &mut BTreeMap<K, BTreeSet<T>>, key: &K, item: &T) {
    let Some(set) = sets.get_mut(key) else {
        return;
    };
    set.remove(item);
    if set.is_empty() {
        sets.remove(key);
    }
}
