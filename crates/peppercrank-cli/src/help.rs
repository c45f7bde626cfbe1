// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Help text of one subcommand, extracted from the complete help text.

/// Name of the command, which starts the heading of each section.
const COMMAND: &str = "peppercrank";

/// Returns the help for `subcommand` followed by the global flags, or the complete text if
/// `subcommand` is `None` or unknown.
pub(crate) fn help_for(whole: &str, subcommand: Option<&str>) -> String {
    subcommand
        .and_then(|v| section(whole, v))
        .unwrap_or_else(|| whole.to_owned())
}

fn section(whole: &str, subcommand: &str) -> Option<String> {
    let head = format!("{COMMAND} {subcommand}");
    let mut lines = whole.lines().skip_while(|line| *line != head);
    let first = lines.next()?;
    let rest = lines.take_while(|line| !is_section_heading(line));
    let own = std::iter::once(first).chain(rest);
    let common = whole
        .lines()
        .skip_while(|line| *line != "OPTIONS:")
        .skip(1)
        .take_while(|line| *line != "SUBCOMMANDS:");
    let own = own.collect::<Vec<_>>().join("\n");
    let common = common.collect::<Vec<_>>().join("\n");
    Some(format!(
        "{}\n\n  OPTIONS OF EVERY VERB:\n{}\n",
        own.trim_end(),
        common.trim_end()
    ))
}

/// Returns whether a line is the heading of a subcommand's section.
fn is_section_heading(line: &str) -> bool {
    let subcommand = line.strip_prefix(COMMAND);
    subcommand.is_some_and(|v| v.starts_with(' '))
}
