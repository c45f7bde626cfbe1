// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The error types of the crate and helper constructors.

use std::fmt;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use peppercrank_config::Fault;
use peppercrank_config::object::PublishId;
use peppercrank_config::publish::Base;
use peppercrank_config::publish::Conflict;
use peppercrank_config::publish::Fate;
use peppercrank_core::names::TargetName;
use peppercrank_core::names::VmName;
use peppercrank_core::objects::ObjectKey;
use serde_json::Value;
use serde_json::json;

use crate::exit::Exit;
use crate::object;

/// `Result` is the result type of fallible functions in this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// `ArgumentError` states what a malformed argument was expected to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArgumentError {
    /// An object kind.
    ObjectKind,
    /// An output format.
    OutputFormat,
    /// A daemon kind.
    DaemonKind,
    /// The kind of system that a stand-in simulates.
    StandinKind,
    /// An assignment `key=value`.
    Assignment,
    /// An order id.
    OrderId,
}

/// `UsageError` is a command line that parses but is not valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UsageError {
    /// The URL of the platform is not configured.
    MissingPlatform,
    /// An environment variable has a malformed value.
    InvalidVariable(&'static str),
    /// `mark` needs exactly one of `--remove` and `--shutdown`.
    MissingMarkAction,
    /// `--grace` was given without `--remove`.
    GraceWithoutRemove,
    /// Organisations have no parameter of this name.
    UnknownParameter(String),
    /// The value of a parameter does not parse as the parameter's type.
    InvalidValue {
        /// Name of the parameter.
        key: String,
        /// The value as it was given.
        value: String,
    },
    /// A new organisation needs a template.
    MissingTemplate,
    /// `set-organisation` needs at least one parameter.
    MissingParameter,
    /// `order` needs exactly one command.
    AmbiguousOrderCommand,
    /// `--platform-port` was given without `--agents`.
    PlatformPortWithoutAgents,
}

/// `Error` is the reason why a subcommand failed.
#[derive(Debug)]
#[non_exhaustive]
pub enum Error {
    /// The command line could not be parsed.
    Arguments(xflags::Error),
    /// The command line parses but is not valid.
    Usage(UsageError),
    /// A settings file is invalid or a file could not be read.
    Settings(peppercrank_settings::Error),
    /// A file is not JSON with comments.
    File {
        /// The file.
        path: PathBuf,
        /// The parse error with its position.
        source: peppercrank_core::Error,
    },
    /// The content of the object failed validation.
    InvalidObject(Fault),
    /// One file of several failed validation.
    InvalidObjectFile {
        /// The file.
        path: PathBuf,
        /// The validation error.
        fault: Fault,
    },
    /// A directory contains no objects or cannot be read.
    Directory {
        /// The directory.
        path: PathBuf,
        /// The I/O error; `NotFound` if the directory contains no objects.
        source: io::Error,
    },
    /// Setting up the process failed: the runtime, a signal handler or a local fleet.
    Process(io::Error),
    /// A stand-in failed to start.
    Standin(peppercrank_standin::Error),
    /// The object was changed concurrently.
    Conflict(Box<Conflict>),
    /// The object does not exist.
    NotFound(ObjectKey),
    /// The platform's API did not answer before the timeout; nothing was written.
    Unavailable,
    /// The platform's API rejected the call.
    Platform(peppercrank_wire::platform::Failure),
    /// A write was sent, but whether it took effect was still unknown at the timeout.
    OutcomeUnknown(PublishId),
    /// A change was written but was not in force on all daemons before the timeout.
    NotInForce {
        /// Version of the changed object.
        version: u64,
        /// Number of daemons on which it is in force.
        done: usize,
        /// The daemons that reported an older version or did not answer.
        missing: Vec<crate::in_force::MissingDaemon>,
    },
    /// A leaving target did not drain before the timeout.
    NotDrained {
        /// Name of the target.
        target: TargetName,
        /// Number of requests that were still running on it.
        running: u32,
    },
    /// None of the daemons that answered is the agent of the target.
    NoAgent(TargetName),
    /// None of the daemons that answered knows a pool or target of this name.
    NoSuchTarget(String),
    /// The lease that authorises orders to the pool is held by another VM.
    LeaseHeld(VmName),
    /// Writing the output failed.
    Output(io::Error),
    /// A daemon or another component failed.
    Daemon(eyre::Report),
}

/// Returns the error for a file that is not JSON with comments.
#[must_use]
pub fn file(path: &Path, source: peppercrank_core::Error) -> Error {
    let path = path.to_path_buf();
    Error::File { path, source }
}

/// Returns the error for a directory that cannot be read or contains no objects.
#[must_use]
pub fn directory(path: &Path, source: io::Error) -> Error {
    let path = path.to_path_buf();
    Error::Directory { path, source }
}

/// Returns the error for a parameter value of the wrong type.
#[must_use]
pub fn invalid_value(key: &str, value: &str) -> Error {
    Error::Usage(UsageError::InvalidValue {
        key: key.to_owned(),
        value: value.to_owned(),
    })
}

impl Error {
    /// Returns the exit code for this error.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Arguments(_) | Self::Usage(_) => Exit::Usage,
            Self::Conflict(_) | Self::LeaseHeld(_) => Exit::Conflict,
            Self::NotFound(_) | Self::NoSuchTarget(_) => Exit::NotFound,
            Self::Unavailable => Exit::Unavailable,
            Self::OutcomeUnknown(_) => Exit::Unknown,
            Self::NotInForce { .. } | Self::NotDrained { .. } | Self::NoAgent(_) => {
                Exit::NotInForce
            }
            Self::Settings(peppercrank_settings::Error::File { .. })
            | Self::Directory { .. }
            | Self::Platform(_)
            | Self::Process(_)
            | Self::Standin(_)
            | Self::Output(_)
            | Self::Daemon(_) => Exit::Failure,
            Self::Settings(_)
            | Self::File { .. }
            | Self::InvalidObject(_)
            | Self::InvalidObjectFile { .. } => Exit::Invalid,
        }
    }

    /// Returns the error as JSON for scripts.
    #[must_use]
    pub fn json(&self) -> Value {
        let mut value = json!({
            "error": self.exit().name(),
            "exit": self.exit().code(),
            "message": self.to_string(),
        });
        match self {
            Self::Settings(peppercrank_settings::Error::Text(e)) | Self::File { source: e, .. } => {
                add_position(&mut value, e);
            }
            Self::InvalidObject(fault) | Self::InvalidObjectFile { fault, .. } => {
                value["kind"] = json!(fault.kind);
                value["path"] = json!(fault.path);
            }
            Self::Conflict(conflict) => {
                value["current"] = object::current_json(conflict.current.as_ref());
                value["differences"] = object::differences_json(&conflict.differences);
            }
            Self::OutcomeUnknown(id) => value["publish"] = json!(id),
            Self::NotInForce {
                version,
                done,
                missing,
            } => {
                value["version"] = json!(version);
                value["done"] = json!(done);
                value["missing"] = json!(missing);
            }
            _ => {}
        }
        value
    }
}

/// Adds the line and column of a parse error to the JSON output.
fn add_position(value: &mut Value, e: &peppercrank_core::Error) {
    if let peppercrank_core::Error::Settings { line, column, .. } = e {
        value["line"] = json!(line);
        value["column"] = json!(column);
    }
}

impl fmt::Display for ArgumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ObjectKind => "expected template, organisation, pool or mark",
            Self::OutputFormat => "expected text or json",
            Self::DaemonKind => "expected router, agent or gateway",
            Self::StandinKind => "expected engine, service or platform",
            Self::Assignment => "expected key=value",
            Self::OrderId => "expected 32 hexadecimal digits",
        })
    }
}

impl fmt::Display for UsageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingPlatform => {
                f.write_str("no platform: set --platform or PEPPERCRANK_PLATFORM")
            }
            Self::InvalidVariable(name) => write!(f, "{name} has a malformed value"),
            Self::MissingMarkAction => {
                f.write_str("exactly one of --remove and --shutdown is required")
            }
            Self::GraceWithoutRemove => f.write_str("--grace requires --remove"),
            Self::UnknownParameter(key) => write!(f, "an organisation has no parameter `{key}`"),
            Self::InvalidValue { key, value } => {
                write!(f, "`{value}` is not a valid value for `{key}`")
            }
            Self::MissingTemplate => {
                f.write_str("the organisation is new: template=NAME is required")
            }
            Self::MissingParameter => f.write_str("at least one key=value is required"),
            Self::PlatformPortWithoutAgents => write!(f, "--platform-port requires --agents"),
            Self::AmbiguousOrderCommand => f.write_str(
                "exactly one of --load-model, --load-adapter and --set-role is required",
            ),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Arguments(e) => e.fmt(f),
            Self::Usage(e) => e.fmt(f),
            Self::Settings(e) => e.fmt(f),
            Self::File { path, source } => write!(f, "{}: {source}", path.display()),
            Self::InvalidObject(e) => e.fmt(f),
            Self::InvalidObjectFile { path, fault } => write!(f, "{}: {fault}", path.display()),
            Self::Directory { path, source } => write!(f, "{}: {source}", path.display()),
            Self::Process(e) => write!(f, "the process could not be set up: {e}"),
            Self::Standin(e) => e.fmt(f),
            Self::Conflict(conflict) => fmt_conflict(f, conflict),
            Self::NotFound(key) => write!(f, "there is no {} `{}`", key.kind.code(), key.name),
            Self::Unavailable => f.write_str("the platform did not answer; nothing was written"),
            Self::Platform(e) => write!(f, "the platform refused the call: {e}"),
            Self::OutcomeUnknown(id) => write!(
                f,
                "the platform did not answer and the change may have taken effect; \
                 run the same command again with --publish-id {id}"
            ),
            Self::NotInForce {
                version,
                done,
                missing,
            } => {
                let all = done + missing.len();
                if all == 0 {
                    return write!(f, "version {version} was written, but no daemon is known");
                }
                write!(
                    f,
                    "version {version} is in force on {done} of {all} daemons"
                )?;
                missing.iter().try_for_each(|m| write!(f, "\n  {m}"))
            }
            Self::NotDrained { target, running } => {
                write!(
                    f,
                    "target `{target}` is marked, and {running} requests still run on it"
                )
            }
            Self::NoAgent(target) => write!(
                f,
                "target `{target}` is marked, but none of the daemons that answered is its \
                 agent; check the name"
            ),
            Self::NoSuchTarget(name) => write!(
                f,
                "none of the daemons that answered knows a pool or target `{name}`; nothing was ordered"
            ),
            Self::LeaseHeld(holder) => {
                write!(f, "`{holder}` holds the pool's lease; nothing was ordered")
            }
            Self::Output(e) => write!(f, "output: {e}"),
            Self::Daemon(e) => write!(f, "{e:#}"),
        }
    }
}

fn fmt_conflict(f: &mut fmt::Formatter<'_>, conflict: &Conflict) -> fmt::Result {
    let key = &conflict.key;
    write!(f, "conflict: {} `{}` ", key.kind.code(), key.name)?;
    match (&conflict.current, conflict.base) {
        (Some(c), Base::Absent) => write!(f, "is there already, at version {}", c.version)?,
        (Some(c), Base::Version(v)) => write!(f, "is at version {}, not {v}", c.version)?,
        (None, _) => f.write_str("was deleted")?,
    }
    f.write_str("; nothing was overwritten")?;
    if conflict.fate == Fate::MayBeWritten {
        f.write_str(", but ours may have been in force before theirs")?;
    }
    for difference in &conflict.differences {
        write!(f, "\n  {difference}")?;
    }
    if let Some(current) = &conflict.current {
        let spec = object::spec(&current.body);
        write!(f, "\ncurrent version {}:\n{spec:#}", current.version)?;
    }
    Ok(())
}

impl std::error::Error for ArgumentError {}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Settings(e) => Some(e),
            Self::File { source, .. } => Some(source),
            Self::InvalidObject(e) | Self::InvalidObjectFile { fault: e, .. } => Some(e),
            Self::Platform(e) => Some(e),
            Self::Output(e) | Self::Process(e) | Self::Directory { source: e, .. } => Some(e),
            Self::Standin(e) => Some(e),
            _ => None,
        }
    }
}

impl From<xflags::Error> for Error {
    fn from(e: xflags::Error) -> Self {
        Self::Arguments(e)
    }
}

impl From<peppercrank_settings::Error> for Error {
    fn from(e: peppercrank_settings::Error) -> Self {
        Self::Settings(e)
    }
}

impl From<UsageError> for Error {
    fn from(e: UsageError) -> Self {
        Self::Usage(e)
    }
}

impl From<Fault> for Error {
    fn from(e: Fault) -> Self {
        Self::InvalidObject(e)
    }
}
