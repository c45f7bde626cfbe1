// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Streams that are cut, resumed, crossed or given up.

use peppercrank_core::keys::AttemptId;
use peppercrank_core::time::Instant;
use peppercrank_route::resume::Input;
use peppercrank_route::resume::Step;
use peppercrank_route::resume::Stream;

/// Inputs, `e` for an event and `x` for one of another attempt | the steps that are no pass.
///
/// A wait is followed by its tick at once; the deadline is 1 s after the start.
const CASES: &str = "
e e end         | Finish
end             | Finish
e cut e end     | Resume 1, Finish
cut e end       | Resume 0, Finish
e cut cut e cut e end | Resume 1, Wait 50, Resume 1, Resume 2, Finish
e cut cut cut cut end | Resume 1, Wait 50, Resume 1, Wait 150, Resume 1, Fail Cut, Ignore
e cut gone      | Resume 1, Fail Cut
e x e           | Fail WrongAnswer, Ignore
e cut x         | Resume 1, Fail WrongAnswer
e late          | Fail Timeout
e late end      | Fail Timeout, Ignore
e close cut cut | Resume 1, Fail Cut
e caller e      | Cancel, Ignore
e tick e end    | Wait 1000, Finish
";

#[test]
fn verify_a_cut_stream_is_resumed_or_ends_with_an_error() {
    for line in CASES.trim().lines() {
        let (script, expected) = line.split_once('|').unwrap();
        let mut now = Instant::ZERO;
        let mut stream = Stream::new(AttemptId(1), Instant::from_millis(1_000));
        let mut steps = Vec::new();
        let mut passed = 0;
        for word in script.split_whitespace() {
            let input = match word {
                "e" => Input::Event {
                    attempt: AttemptId(1),
                },
                "x" => Input::Event {
                    attempt: AttemptId(2),
                },
                "end" => Input::End,
                "cut" => Input::Cut,
                "gone" => Input::Gone,
                "caller" => Input::CallerGone,
                "close" => {
                    now = Instant::from_millis(990);
                    continue;
                }
                "late" => {
                    now = Instant::from_millis(1_000);
                    Input::Tick
                }
                _ => Input::Tick,
            };
            let mut step = stream.on(now, input);
            if let (Step::Wait { until }, Input::Cut) = (step, input) {
                steps.push(format!("Wait {}", until.since_origin().as_millis()));
                now = until;
                step = stream.on(now, Input::Tick);
            }
            match step {
                Step::Pass => passed += 1,
                Step::Resume { from } => steps.push(format!("Resume {from}")),
                Step::Wait { until } => {
                    steps.push(format!("Wait {}", until.since_origin().as_millis()));
                }
                Step::Fail(reason) => steps.push(format!("Fail {reason:?}")),
                Step::Finish | Step::Cancel | Step::Ignore => steps.push(format!("{step:?}")),
            }
        }
        assert_eq!(steps.join(", "), expected.trim(), "{script}");
        assert_eq!(stream.passed(), passed, "{script}");
    }
}

#[test]
fn verify_what_a_cut_connection_still_brings_ends_nothing() {
    let at = Instant::from_millis;
    let mut stream = Stream::new(AttemptId(1), at(1_000));
    stream.on(at(0), Input::Cut);
    let wait = stream.on(at(0), Input::Cut);
    assert_eq!(wait, Step::Wait { until: at(50) });
    let attempt = AttemptId(1);
    for stray in [
        Input::End,
        Input::Cut,
        Input::Event { attempt },
        Input::Tick,
    ] {
        assert_eq!(stream.on(at(1), stray), wait, "{stray:?}");
    }
    assert_eq!(stream.on(at(50), Input::Tick), Step::Resume { from: 0 });
}
