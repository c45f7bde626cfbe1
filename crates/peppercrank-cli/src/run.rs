// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Runs the command, from its arguments to its exit code.

use std::ffi::OsString;
use std::io::Write;

use crate::access::Access;
use crate::access::Environment;
use crate::errors::Error;
use crate::errors::Result;
use crate::exit::Exit;
use crate::flags::Peppercrank;
use crate::help;
use crate::verbs;
use crate::words::OutputFormat;

/// Executes one command line, given without the program name.
///
/// Results are written to `out` and errors to `err`; with `--output json` each is one JSON value.
pub fn run(
    args: Vec<OsString>,
    environment: &Environment,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Exit {
    let subcommand = find_subcommand(&args);
    let form = error_format(&args);
    let flags = match Peppercrank::from_vec(args) {
        Ok(flags) => flags,
        Err(e) if e.is_help() => {
            let text = help::help_for(&e.to_string(), subcommand.as_deref());
            return write(out, err, &text, Exit::Done);
        }
        Err(e) => return print_error(err, &Error::Arguments(e), form),
    };
    match execute(&flags, environment, out) {
        Ok((exit, text)) => write(out, err, &text, exit),
        Err(e) => print_error(err, &e, form),
    }
}

fn execute(
    flags: &Peppercrank,
    environment: &Environment,
    out: &mut dyn Write,
) -> Result<(Exit, String)> {
    let access = Access::new(flags, environment)?;
    let report = verbs::dispatch(&access, &flags.subcommand, out)?;
    Ok((report.exit, report.render(access.format)))
}

fn write(out: &mut dyn Write, err: &mut dyn Write, text: &str, exit: Exit) -> Exit {
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    match written {
        Ok(()) => exit,
        Err(e) => print_error(err, &Error::Output(e), OutputFormat::Text),
    }
}

fn print_error(err: &mut dyn Write, error: &Error, form: OutputFormat) -> Exit {
    let text = match form {
        OutputFormat::Text => error.to_string(),
        OutputFormat::Json => error.json().to_string(),
    };
    // A failure to write to standard error cannot be reported anywhere.
    let _unwritten = writeln!(err, "{text}");
    error.exit()
}

/// Returns the subcommand whose help to print: the first argument that is a subcommand name.
fn find_subcommand(args: &[OsString]) -> Option<String> {
    let words = args.iter().filter_map(|a| a.to_str());
    words
        .into_iter()
        .find(|word| verbs::SUBCOMMANDS.contains(word))
        .map(str::to_owned)
}

/// Returns the output format of errors, which must be known even if the arguments do not parse.
fn error_format(args: &[OsString]) -> OutputFormat {
    let json = args
        .windows(2)
        .any(|pair| pair[0] == "--output" && pair[1] == "json");
    if json {
        OutputFormat::Json
    } else {
        OutputFormat::Text
    }
}
