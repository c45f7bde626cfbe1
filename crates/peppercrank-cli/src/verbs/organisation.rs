// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Reads and changes the parameters of one organisation.

use std::str::FromStr;

use peppercrank_config::checks;
use peppercrank_config::object::Spec;
use peppercrank_config::object::Version;
use peppercrank_config::publish::Base;
use peppercrank_config::publish::Change;
use peppercrank_config::publish::Current;
use peppercrank_core::names::ObjectName;
use peppercrank_core::names::OrganisationName;
use peppercrank_core::objects::ObjectKey;
use peppercrank_core::objects::ObjectKind;
use peppercrank_core::objects::Organisation;
use peppercrank_core::objects::Overrides;
use peppercrank_core::objects::Template;
use peppercrank_core::units::Cost;
use serde_json::Value;
use serde_json::json;

use super::write::PublishRequest;
use super::write::publish_and_report;
use crate::access::Access;
use crate::errors;
use crate::errors::Error;
use crate::errors::Result;
use crate::errors::UsageError;
use crate::flags;
use crate::in_force::Wait;
use crate::object;
use crate::remote::PlatformClient;
use crate::report::Report;
use crate::report::row;
use crate::report::table;
use crate::words::Assignment;

/// Value for an unrestricted list; an empty value reverts to the template's list.
const ALL_ITEMS: &str = "*";

/// Sets parameters of an organisation, which is created if it is new.
pub(super) fn set(access: &Access, flags: &flags::SetOrganisation) -> Result<Report> {
    if flags.parameters.is_empty() {
        return Err(UsageError::MissingParameter.into());
    }
    let key = object_key(ObjectKind::Organisation, flags.name.as_str())?;
    let remote = PlatformClient::new(access)?;
    let current = remote.read(&key)?;
    let mut organisation = match &current {
        Some(current) => read(&key, current)?,
        None => new(&flags.parameters)?,
    };
    for assignment in &flags.parameters {
        assign(&mut organisation, assignment)?;
    }
    let found = current
        .as_ref()
        .map_or(Base::Absent, |c| Base::Version(c.version));
    let named = flags.if_version.map(|v| Base::Version(Version(v)));
    let request = PublishRequest {
        key,
        base: named.unwrap_or(found),
        change: Change::Put(json!(organisation)),
        id: flags.publish_id,
        wait: Wait::new(flags.wait, flags.within),
        replaced: current,
    };
    publish_and_report(access, &remote, &request)
}

/// Prints the effective parameters and the origin of each.
pub(super) fn get(access: &Access, flags: &flags::GetOrganisation) -> Result<Report> {
    let remote = PlatformClient::new(access)?;
    let (own_key, current, organisation) = fetch(&remote, &flags.name)?;
    let template_key = object_key(ObjectKind::Template, organisation.template.as_str())?;
    let template = remote.read_existing(&template_key)?;
    let spec = object::spec(&template.body);
    let checked = checks::validate_spec(ObjectKind::Template, &template_key.name, spec)?;
    let Spec::Template(Template { parameters }) = checked else {
        return Err(Error::NotFound(template_key));
    };
    let (parameters, own) = (json!(parameters), json!(organisation.overrides));
    let mut merged = parameters.clone();
    if let (Some(all), Some(own)) = (merged.as_object_mut(), own.as_object()) {
        all.extend(own.clone());
    }
    let title = object::display_name(&own_key);
    let head = format!(
        "{title}, version {}: {}, version {}\n",
        current.version,
        object::display_name(&template_key),
        template.version
    );
    let text = head + &parameters_table(&merged, &own);
    let json = json!({
        "name": flags.name,
        "version": current.version.0,
        "template": { "name": organisation.template, "version": template.version.0 },
        "parameters": merged,
        "overrides": own,
        "keys": organisation.keys,
    });
    Ok(Report::done(text, json))
}

fn parameters_table(merged: &Value, own: &Value) -> String {
    let mut rows = vec![row(&["PARAMETER", "VALUE", "FROM"])];
    for (name, value) in merged.as_object().into_iter().flatten() {
        let from = if own.get(name).is_some() {
            "its own"
        } else {
            "template"
        };
        rows.push(row(&[name, &value.to_string(), from]));
    }
    table(&rows)
}

fn fetch(
    remote: &PlatformClient,
    name: &OrganisationName,
) -> Result<(ObjectKey, Current, Organisation)> {
    let key = object_key(ObjectKind::Organisation, name.as_str())?;
    let current = remote.read_existing(&key)?;
    let organisation = read(&key, &current)?;
    Ok((key, current, organisation))
}

fn read(key: &ObjectKey, current: &Current) -> Result<Organisation> {
    let spec = object::spec(&current.body);
    match checks::validate_spec(key.kind, &key.name, spec)? {
        Spec::Organisation(organisation) => Ok(organisation),
        _ => Err(Error::NotFound(key.clone())),
    }
}

/// Returns a new organisation with the template that the parameters must name.
fn new(parameters: &[Assignment]) -> Result<Organisation> {
    let template = parameters.iter().find(|a| a.key == "template");
    let template = template.ok_or(UsageError::MissingTemplate)?;
    Ok(Organisation {
        template: parse(template)?,
        overrides: Overrides::default(),
        keys: Vec::new(),
    })
}

fn assign(organisation: &mut Organisation, a: &Assignment) -> Result<()> {
    let own = &mut organisation.overrides;
    match a.key.as_str() {
        "template" => organisation.template = parse(a)?,
        "keys" => organisation.keys = list(a)?.unwrap_or_default(),
        "weight" => own.weight = optional(a)?,
        "priority" => own.priority = optional(a)?,
        "limit" => own.limit = optional(a)?.map(Cost),
        "output" => own.output = optional(a)?,
        "deadline_ms" => own.deadline_ms = optional(a)?,
        "models" => own.models = list(a)?,
        "services" => own.services = list(a)?,
        _ => return Err(UsageError::UnknownParameter(a.key.clone()).into()),
    }
    Ok(())
}

fn optional<T: FromStr>(a: &Assignment) -> Result<Option<T>> {
    if a.value.is_empty() {
        return Ok(None);
    }
    parse(a).map(Some)
}

fn list<T: FromStr>(a: &Assignment) -> Result<Option<Vec<T>>> {
    match a.value.as_str() {
        "" => Ok(None),
        ALL_ITEMS => Ok(Some(Vec::new())),
        value => {
            let items = value.split(',').map(str::parse);
            let items = items.collect::<std::result::Result<_, _>>();
            items
                .map(Some)
                .map_err(|_e| errors::invalid_value(&a.key, value))
        }
    }
}

fn parse<T: FromStr>(a: &Assignment) -> Result<T> {
    let parsed = a.value.parse();
    parsed.map_err(|_e| errors::invalid_value(&a.key, &a.value))
}

/// Returns the key of an object from a name of a more specific type; all such names have the form
/// of object names.
pub(super) fn object_key(kind: ObjectKind, name: &str) -> Result<ObjectKey> {
    let name = ObjectName::new(name).map_err(|_e| errors::invalid_value(kind.code(), name))?;
    Ok(ObjectKey { kind, name })
}
