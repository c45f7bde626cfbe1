// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Help for one verb, cut out of the whole text.

/// The command's name, with which the heads of the text's sections begin.
const COMMAND: &str = "peppercrank";

/// `of_verb` is the help for `verb`, with the flags that every verb takes; else the whole text.
pub(crate) fn help_for(whole: &str, verb: Option<&str>) -> String {
    verb.and_then(|v| section(whole, v))
        .unwrap_or_else(|| whole.to_owned())
}

fn section(whole: &str, verb: &str) -> Option<String> {
    let head = format!("{COMMAND} {verb}");
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

/// Tells whether a line is the head of a verb's section.
fn is_section_heading(line: &str) -> bool {
    let verb = line.strip_prefix(COMMAND);
    verb.is_some_and(|v| v.starts_with(' '))
}
