// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Plays scripts of inputs by moment, and checks what each brings about.
//!
//! A line is `MILLIS VERB WORDS… | RESULTS`, with results parted by commas: `admit N`, `cancel N`,
//! `drained`, `refuse N CODE`, and `load=N`, `cap=N` or `wake=N` for what is seen afterwards.
//! `arrive N COST` is of organisation `kalev`'s, class 5, deadline 60,000; `wait N COST` may wait.
//! Settings of a word, such as `need=50`, may follow.

use std::time::Duration;

use peppercrank_admit::Action;
use peppercrank_admit::Admission;
use peppercrank_admit::Arrival;
use peppercrank_admit::Input;
use peppercrank_admit::Settings;
use peppercrank_admit::Ticket;
use peppercrank_core::blackboard::MeanLoad;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::names::TargetName;
use peppercrank_core::objects;
use peppercrank_core::objects::Mark;
use peppercrank_core::objects::Parameters;
use peppercrank_core::objects::PoolPolicy;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;

use crate::common::admission_with;
use crate::common::at;
use crate::common::organisation;
use crate::common::parameters;
use crate::common::policy;

/// The words of one line before the bar.
struct Words<'a>(Vec<&'a str>);

impl<'a> Words<'a> {
    /// The number in a place.
    fn number(&self, place: usize) -> u64 {
        let word = self
            .0
            .get(place)
            .unwrap_or_else(|| panic!("too short: {:?}", self.0));
        word.parse()
            .unwrap_or_else(|_| panic!("no number: {:?}", self.0))
    }

    /// The value of a setting.
    fn text(&self, name: &str) -> Option<&'a str> {
        let found = self.0.iter().find_map(|word| word.strip_prefix(name));
        found.and_then(|rest| rest.strip_prefix('='))
    }

    /// The number that a setting has, or the one to take without it.
    fn set(&self, name: &str, without: u64) -> u64 {
        let parse = |text: &str| text.parse().expect("a number");
        self.text(name).map_or(without, parse)
    }

    fn arrival(&self) -> Input {
        let number = self.number(2);
        Input::Arrive(Arrival {
            ticket: Ticket(number),
            attempt: AttemptId(self.set("attempt", number).into()),
            organisation: organisation(self.text("of").unwrap_or("kalev")),
            cost: Cost(self.number(3)),
            priority: u8::try_from(self.set("class", 5)).expect("small"),
            deadline: at(self.set("deadline", 60_000)),
            need: Duration::from_millis(self.set("need", 0)),
            may_wait: self.0[1] == "wait",
        })
    }

    fn parameters(&self) -> Input {
        let known = parameters();
        let small = |name, without| u32::try_from(self.set(name, without)).expect("small");
        let changed = Parameters {
            weight: small("weight", known.weight.into()),
            priority: u8::try_from(self.set("priority", known.priority.into())).expect("small"),
            limit: Cost(self.set("limit", known.limit.0)),
            ..known
        };
        Input::ParametersChanged(organisation(self.0[2]), Some(changed))
    }

    fn mark(&self, action: objects::MarkAction) -> Input {
        let target = TargetName::new("engine-1").expect("well formed");
        let grace_ms = self.number(2);
        Input::Marked(Mark {
            target,
            action,
            grace_ms,
        })
    }

    fn mean(&self) -> Input {
        let targets = u32::try_from(self.number(3)).expect("small");
        Input::MeanHeard(MeanLoad {
            total_load: Cost(self.number(2)),
            total_weight: 100 * u64::from(targets),
            target_count: targets,
            updated_at: at(self.set("at", self.number(0))),
        })
    }

    fn input(&self) -> Input {
        let small = || u32::try_from(self.number(2)).expect("small");
        match self.0[1] {
            "arrive" | "wait" => self.arrival(),
            "end" => Input::End(Ticket(self.number(2))),
            "gone" => Input::CallerGone(Ticket(self.number(2))),
            "actual" => Input::Actual {
                ticket: Ticket(self.number(2)),
                cost: Cost(self.number(3)),
            },
            "mean" => self.mean(),
            "engine" => Input::EngineHeard {
                running: small(),
                waiting: u32::try_from(self.number(3)).expect("small"),
            },
            "targets" => Input::TargetsHeard(small()),
            "weight" => Input::WeightChanged(small()),
            "queue" => Input::PolicyChanged(PoolPolicy {
                queue: small(),
                ..policy()
            }),
            "set" => self.parameters(),
            "forget" => Input::ParametersChanged(organisation(self.0[2]), None),
            "remove" => self.mark(objects::MarkAction::Remove),
            "shutdown" => self.mark(objects::MarkAction::Shutdown),
            "unmark" => Input::Unmarked,
            "stop" => Input::Stopping,
            "handed" => Input::HandedOver,
            "touched" => Input::Touched,
            "tick" => Input::Tick,
            verb => panic!("no such verb: {verb}"),
        }
    }
}

fn told(action: &Action) -> String {
    match action {
        Action::Admit { ticket, .. } => format!("admit {}", ticket.0),
        Action::Refuse { ticket, reason, .. } => format!("refuse {} {}", ticket.0, reason.code()),
        Action::Cancel { ticket, .. } => format!("cancel {}", ticket.0),
        Action::Drained => "drained".to_owned(),
    }
}

fn check_seen(admission: &Admission, result: &str, line: &str) {
    let (name, value) = result.split_once('=').expect("a setting");
    let millis = |wake: Instant| wake.since_origin().as_millis().to_string();
    let seen = match name {
        "load" => admission.load().0.to_string(),
        "cap" => admission.status().cap.0.to_string(),
        "wake" => admission.next_wake().map_or("none".to_owned(), millis),
        _ => panic!("no such result: {line}"),
    };
    assert_eq!(seen, value, "{line}");
}

/// Plays a script on an admission.
pub fn play_on(admission: &mut Admission, script: &str) {
    for line in script
        .lines()
        .map(str::trim)
        .filter(|line| !line.is_empty())
    {
        let (input, results) = line.split_once('|').expect("a bar in each line");
        let words = Words(input.split_whitespace().collect());
        let done = admission.on(at(words.number(0)), words.input());
        let done: Vec<_> = done.iter().map(told).collect();
        let results = results
            .split(',')
            .map(str::trim)
            .filter(|result| !result.is_empty());
        let (seen, expected): (Vec<_>, Vec<_>) = results.partition(|result| result.contains('='));
        assert_eq!(done, expected, "{line}");
        for result in seen {
            check_seen(admission, result, line);
        }
    }
}

/// Plays a script on an admission with the tests' settings and policy.
pub fn play(script: &str) {
    play_on(&mut admission_with(Settings::default(), policy()), script);
}
