// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! One run of the command, from its arguments to its exit code.

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
use crate::words::Form;

/// `run` carries out one command line, without the program's name.
///
/// Results go to `out`, errors to `err`; with `--output json` each is one JSON value.
pub fn run(
    args: Vec<OsString>,
    environment: &Environment,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Exit {
    let verb = verb_of(&args);
    let form = form_of(&args);
    let flags = match Peppercrank::from_vec(args) {
        Ok(flags) => flags,
        Err(e) if e.is_help() => {
            let text = help::of_verb(&e.to_string(), verb.as_deref());
            return write(out, err, &text, Exit::Done);
        }
        Err(e) => return fail(err, &Error::Flags(e), form),
    };
    match carry(&flags, environment, out) {
        Ok((exit, text)) => write(out, err, &text, exit),
        Err(e) => fail(err, &e, form),
    }
}

fn carry(
    flags: &Peppercrank,
    environment: &Environment,
    out: &mut dyn Write,
) -> Result<(Exit, String)> {
    let access = Access::new(flags, environment)?;
    let report = verbs::carry(&access, &flags.subcommand, out)?;
    Ok((report.exit, report.show(access.form)))
}

fn write(out: &mut dyn Write, err: &mut dyn Write, text: &str, exit: Exit) -> Exit {
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    match written {
        Ok(()) => exit,
        Err(e) => fail(err, &Error::Output(e), Form::Text),
    }
}

fn fail(err: &mut dyn Write, error: &Error, form: Form) -> Exit {
    let text = match form {
        Form::Text => error.to_string(),
        Form::Json => error.json().to_string(),
    };
    // There is nowhere left to tell of it.
    let _unwritten = writeln!(err, "{text}");
    error.exit()
}

/// The verb, for its help: the first argument that is a verb's name.
fn verb_of(args: &[OsString]) -> Option<String> {
    let words = args.iter().filter_map(|a| a.to_str());
    words
        .into_iter()
        .find(|word| verbs::NAMES.contains(word))
        .map(str::to_owned)
}

/// The form of errors, which must be known before the arguments are known to parse.
fn form_of(args: &[OsString]) -> Form {
    let json = args
        .windows(2)
        .any(|pair| pair[0] == "--output" && pair[1] == "json");
    if json { Form::Json } else { Form::Text }
}
