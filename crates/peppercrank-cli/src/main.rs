// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The `peppercrank` command.

use std::env;
use std::io;
use std::process::ExitCode;

use peppercrank_cli::Environment;

fn main() -> ExitCode {
    let args = env::args_os().skip(1).collect();
    let environment = Environment::read();
    let exit = peppercrank_cli::run(args, &environment, &mut io::stdout(), &mut io::stderr());
    exit.into()
}
