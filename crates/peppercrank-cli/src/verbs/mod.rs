// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The subcommands.

mod batch;
mod daemon;
mod explain;
mod local;
mod mark;
mod objects;
mod order;
mod organisation;
mod read;
mod room;
mod settings;
mod standin;
mod status;
mod write;

use std::io::Write;

use crate::access::Access;
use crate::errors::Result;
use crate::flags::PeppercrankCmd;
use crate::report::Report;

/// Names of all subcommands.
pub(crate) const SUBCOMMANDS: &[&str] = &[
    "publish",
    "publish-all",
    "revise",
    "get",
    "list",
    "delete",
    "diff",
    "validate",
    "set-organisation",
    "get-organisation",
    "mark",
    "unmark",
    "order",
    "status",
    "room",
    "check-objects",
    "check-settings",
    "explain",
    "router",
    "agent",
    "local",
    "standin",
];

/// Executes a subcommand.
pub(crate) fn dispatch(
    access: &Access,
    subcommand: &PeppercrankCmd,
    out: &mut dyn Write,
) -> Result<Report> {
    match subcommand {
        PeppercrankCmd::Publish(flags) => write::publish(access, flags),
        PeppercrankCmd::PublishAll(flags) => batch::publish_all(access, flags),
        PeppercrankCmd::Revise(flags) => write::revise(access, flags),
        PeppercrankCmd::Delete(flags) => write::delete(access, flags),
        PeppercrankCmd::Get(flags) => read::get(access, flags),
        PeppercrankCmd::List(flags) => read::list(access, flags),
        PeppercrankCmd::Diff(flags) => read::diff(access, flags),
        PeppercrankCmd::Validate(flags) => read::validate(flags),
        PeppercrankCmd::SetOrganisation(flags) => organisation::set(access, flags),
        PeppercrankCmd::GetOrganisation(flags) => organisation::get(access, flags),
        PeppercrankCmd::Mark(flags) => mark::mark(access, flags),
        PeppercrankCmd::Unmark(flags) => mark::unmark(access, flags),
        PeppercrankCmd::Order(flags) => order::order(access, flags),
        PeppercrankCmd::Status(_) => status::status(access),
        PeppercrankCmd::Room(flags) => Ok(room::room(flags)),
        PeppercrankCmd::CheckObjects(_) => objects::check(access),
        PeppercrankCmd::CheckSettings(flags) => settings::check(flags),
        PeppercrankCmd::Explain(flags) => explain::explain(flags),
        PeppercrankCmd::Router(flags) => daemon::router(flags),
        PeppercrankCmd::Agent(flags) => daemon::agent(flags),
        PeppercrankCmd::Local(flags) => local::local(access, flags, out),
        PeppercrankCmd::Standin(flags) => standin::standin(access, flags, out),
    }
}
