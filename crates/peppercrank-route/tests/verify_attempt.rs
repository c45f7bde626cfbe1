// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Contract and fault cases of one request over its attempts.

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::keys::RequestId;
use peppercrank_core::refusal::AttemptOutcome;
use peppercrank_core::refusal::MayHaveRun;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::time::Instant;
use peppercrank_route::Event;
use peppercrank_route::Next;
use peppercrank_route::Request;
use peppercrank_route::Retries;
use peppercrank_route::Terms;
use slotmap::Key;
use slotmap::KeyData;

/// The deadline of every request here, in milliseconds.
const DEADLINE: u64 = 10_000;

fn target(n: u64) -> TargetKey {
    TargetKey::from(KeyData::from_ffi(1 << 32 | n))
}

fn request(repeatable: bool, tries: u32) -> Request {
    Request::new(Terms {
        id: RequestId(7),
        repeatable,
        deadline: Instant::from_millis(DEADLINE),
        tries,
    })
}

/// Name | repeatable | tries | ranked | what each attempt meets | targets sent to | end.
///
/// `code>N` is a refusal with a hint to target N.
const CASES: &str = "
plain                   | yes | 3 | 1 2 3   | begin done               | 1     | finish
unary                   | no  | 3 | 1 2 3   | done                     | 1     | finish
caller gone             | yes | 3 | 1 2     | gone                     | 1     | finish
caller gone in delivery | no  | 3 | 1 2     | begin gone               | 1     | finish
no target               | yes | 3 |         |                          |       | no_target
walk down               | no  | 3 | 1 2 3   | over_cap leaving done    | 1 2 3 | finish
tries end               | yes | 2 | 1 2 3   | over_cap queue_full      | 1 2   | queue_full
no tries count as one   | yes | 0 | 1 2     | over_cap                 | 1     | over_cap
pool of one             | yes | 3 | 1       | over_cap                 | 1     | over_cap
all leaving             | yes | 4 | 1 2     | leaving leaving          | 1 2   | leaving
hint jumps the queue    | yes | 4 | 1 2 3   | over_cap>3 done          | 1 3   | finish
hint off the list       | yes | 4 | 1 2     | elsewhere>9 done         | 1 9   | finish
one hint a request      | yes | 4 | 1 2 3 4 | over_cap>3 over_cap>4 done | 1 3 2 | finish
hint cycle              | yes | 4 | 1 2     | over_cap>2 over_cap>1    | 1 2   | over_cap
hint to itself          | yes | 4 | 1 2     | over_cap>1 done          | 1 2   | finish
back to who had room    | yes | 4 | 1 2 3   | elsewhere>3 over_cap done | 1 3 1 | finish
elsewhere, no hint      | yes | 4 | 1 2     | elsewhere done           | 1 1   | finish
elsewhere for ever      | yes | 9 | 1 2     | elsewhere elsewhere elsewhere | 1 1 2 | elsewhere
limit is a part of each  | yes | 4 | 1 2     | organisation_limit organisation_limit | 1 2 | organisation_limit
claim held is final     | no  | 4 | 1 2     | claim_held               | 1     | claim_held
target saw the deadline | no  | 4 | 1 2     | deadline                 | 1     | deadline
connect, then served    | no  | 3 | 1 2     | connect done             | 1 2   | finish
repeatable, cut         | yes | 3 | 1 2     | cut done                 | 1 2   | finish
not repeatable, cut     | no  | 3 | 1 2     | cut                      | 1     | cut
cut in delivery         | yes | 3 | 1 2     | begin cut                | 1     | cut
doubt outlives refusal  | yes | 2 | 1 2     | timeout over_cap         | 1 2   | timeout
doubt outlives finality | yes | 3 | 1 2     | timeout claim_held       | 1 2   | timeout
first doubt is told     | yes | 2 | 1 2     | cut target_failed        | 1 2   | cut
already begun           | yes | 3 | 1 2     | already_begun            | 1     | already_begun
duplicate may run       | yes | 3 | 1 2     | duplicate_attempt        | 1     | already_begun
refused after it began  | no  | 3 | 1 2     | begin over_cap           | 1     | bad_answer
deadline in flight      | yes | 3 | 1 2     | late                     | 1     | timeout
deadline in delivery    | yes | 3 | 1 2     | begin late               | 1     | timeout
";

/// The event that a word of the script stands for.
fn event(word: &str, attempt: AttemptId, now: &mut Instant) -> Event {
    let (code, hint) = word.split_once('>').unwrap_or((word, ""));
    let hint = hint.parse().ok().map(target);
    match code {
        "begin" => Event::FirstByte { attempt },
        "done" => Event::Done { attempt },
        "gone" => Event::CallerGone,
        "late" => {
            *now = Instant::from_millis(DEADLINE);
            Event::Tick
        }
        _ => match (NotRun::from_code(code), MayHaveRun::from_code(code)) {
            (Some(reason), _) => Event::NotRun {
                attempt,
                reason,
                hint,
            },
            (None, Some(reason)) => Event::MayHaveRun { attempt, reason },
            (None, None) => panic!("no such word: {word}"),
        },
    }
}

/// Plays a script against a request and returns the targets that it was sent to and its end.
fn play(
    request: &mut Request,
    retries: &mut Retries,
    ranked: &str,
    script: &str,
) -> (String, Next) {
    let mut now = Instant::ZERO;
    let mut words = script.split_whitespace();
    let mut sent = Vec::new();
    let mut current = AttemptId(0);
    let ranked = ranked
        .split_whitespace()
        .map(|n| target(n.parse().unwrap()));
    let mut next = request.on(now, Event::Ranked(ranked.collect()), retries);
    loop {
        match next {
            Next::Send {
                target, attempt, ..
            } => {
                sent.push((target.data().as_ffi() & 0xffff_ffff).to_string());
                current = attempt;
            }
            Next::Wait { until } => {
                now = until;
                next = request.on(now, Event::Tick, retries);
                continue;
            }
            Next::Deliver | Next::Ignore => {}
            Next::Finish { .. } | Next::Refuse { .. } => {
                assert_eq!(words.next(), None, "the script was not played to its end");
                return (sent.join(" "), next);
            }
        }
        let event = event(words.next().unwrap(), current, &mut now);
        next = request.on(now, event, retries);
    }
}

/// The code of an end, and whether it is true that nothing may have run.
fn end(next: Next) -> &'static str {
    match next {
        Next::Refuse {
            outcome: AttemptOutcome::NotRun(reason),
            ..
        } => reason.code(),
        Next::Refuse {
            outcome: AttemptOutcome::MayHaveRun(reason),
            ..
        } => reason.code(),
        _ => "finish",
    }
}

#[test]
fn verify_attempts_follow_the_table() {
    for line in CASES.trim().lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let [name, repeatable, tries, ranked, script, targets, ending] = cells[..] else {
            panic!("seven cells: {line}");
        };
        let mut retries = Retries::new(0.2, 1);
        let mut request = request(repeatable == "yes", tries.parse().unwrap());
        let (sent, next) = play(&mut request, &mut retries, ranked, script);
        assert_eq!((sent.as_str(), end(next)), (targets, ending), "{name}");
        assert!(request.is_over(), "{name}");
    }
}
