// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What holds after any inputs in any order, checked against a plain model of what is in flight.

mod common;

use std::collections::BTreeMap;
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
use peppercrank_core::objects::PoolPolicy;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use common::NAMES;
use common::admission_with;
use common::at;
use common::organisation;
use common::policy;

/// The seed of the generator, so that every run checks the same cases.
const SEED: u64 = 4;

/// Targets in the fleet; the part of a limit is half of it.
const TARGETS: u32 = 2;

/// One input, drawn, and the time that passes before it.
#[derive(Debug, Clone, Copy)]
struct Step {
    pass: i16,
    kind: u8,
    first: u16,
    second: u16,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            pass: i16::arbitrary(g) % 700,
            kind: u8::arbitrary(g),
            first: u16::arbitrary(g),
            second: u16::arbitrary(g),
        }
    }
}

/// A request as the model knows it.
#[derive(Debug, Clone, Copy)]
struct Known {
    attempt: AttemptId,
    organisation: usize,
    cost: Cost,
    until: Instant,
}

/// The model: plain sets of what waits and runs, and the cap by its formula.
#[derive(Debug, Default)]
struct Model {
    waiting: BTreeMap<Ticket, Known>,
    running: BTreeMap<Ticket, Known>,
    answered: BTreeMap<Ticket, u32>,
    ran: BTreeMap<AttemptId, Instant>,
    mean: Option<MeanLoad>,
    floor: u64,
    touched: Instant,
    mark: Option<(Instant, Mark)>,
    clock: u64,
    now: Instant,
    arrivals: u64,
}

impl Model {
    fn load(&self) -> Cost {
        self.running.values().map(|known| known.cost).sum()
    }

    fn cap(&self) -> u64 {
        let Some(mean) = self.mean else {
            return self.floor;
        };
        let age = self.now.since(mean.updated_at).as_millis();
        let left = 30_000_u128.saturating_sub(age).min(25_000);
        let faded = u128::from(mean.for_weight(100).0) * left / 25_000;
        let relative = u64::try_from(faded * 1_250 / 1_000).expect("loads are small");
        relative.max(self.floor)
    }

    /// Draws the input that a step stands for.
    fn input(&mut self, step: Step) -> Input {
        let (first, second) = (u64::from(step.first), u64::from(step.second));
        match step.kind % 24 {
            0..=9 => Input::Arrive(self.arrival(first, second)),
            10..=13 => Input::End(self.pick(first)),
            14 => Input::Actual {
                ticket: self.pick(first),
                cost: Cost(second % 200),
            },
            15 => Input::CallerGone(self.pick(first)),
            16 => self.hear(first, second),
            17 => {
                self.floor = first % 400;
                Input::PolicyChanged(PoolPolicy {
                    floor: Cost(self.floor),
                    queue: step.second.into(),
                    ..policy()
                })
            }
            18 if first % 4 == 0 => self.mark(second),
            19 => {
                self.mark = None;
                Input::Unmarked
            }
            20 => Input::HandedOver,
            21 | 22 => {
                self.touched = self.now;
                Input::Touched
            }
            _ => Input::Tick,
        }
    }

    /// One in eight is a copy of an earlier attempt.
    fn arrival(&mut self, first: u64, second: u64) -> Arrival {
        self.arrivals += 1;
        let ticket = Ticket(self.arrivals);
        let copy = first.is_multiple_of(8);
        let attempt = if copy {
            second % self.arrivals
        } else {
            self.arrivals
        };
        let number = usize::try_from(first / 8 % 3).expect("less than three");
        let deadline = self.now + Duration::from_millis(second % 4_000);
        let need = Duration::from_millis(first % 300);
        let cost = Cost(1 + second % 160);
        let known = Known {
            attempt: AttemptId(attempt.into()),
            organisation: number,
            cost,
            until: deadline.min(self.now + Duration::from_millis(policy().wait_ms)),
        };
        self.waiting.insert(ticket, known);
        Arrival {
            ticket,
            attempt: known.attempt,
            organisation: organisation(NAMES[number]),
            cost,
            priority: u8::try_from(first % 10).expect("less than ten"),
            deadline,
            need,
            may_wait: !second.is_multiple_of(3),
        }
    }

    fn hear(&mut self, first: u64, second: u64) -> Input {
        let mean = MeanLoad {
            total_load: Cost(first % 3_000),
            total_weight: 100 * u64::from(TARGETS),
            target_count: TARGETS,
            // Heard up to eight seconds late, or as of a moment to come.
            updated_at: at((self.clock + second % 1_000).saturating_sub(second % 9_000)),
        };
        let kept = MeanLoad {
            updated_at: mean.updated_at.min(self.now),
            ..mean
        };
        if self
            .mean
            .is_none_or(|known| known.updated_at <= kept.updated_at)
        {
            self.mean = Some(kept);
        }
        Input::MeanHeard(mean)
    }

    fn mark(&mut self, second: u64) -> Input {
        let action = if second.is_multiple_of(2) {
            objects::MarkAction::Remove
        } else {
            objects::MarkAction::Shutdown
        };
        let mark = Mark {
            target: TargetName::new("engine-1").expect("well formed"),
            action,
            grace_ms: second % 3_000,
        };
        let known = self.mark.take().filter(|(_, known)| known.action == action);
        let since = known.map_or(self.now, |(since, _)| since);
        self.mark = Some((since, mark.clone()));
        Input::Marked(mark)
    }

    /// A ticket that runs mostly, else any, even one that never was.
    fn pick(&self, first: u64) -> Ticket {
        let index = usize::try_from(first / 4).expect("small");
        let running = self.running.keys().nth(index % self.running.len().max(1));
        match running {
            Some(ticket) if !first.is_multiple_of(4) => *ticket,
            _ => Ticket(first % (self.arrivals + 2)),
        }
    }

    /// Takes in what an input changes by itself.
    fn before(&mut self, input: &Input) {
        match input {
            Input::End(ticket) => {
                self.running.remove(ticket);
            }
            Input::Actual { ticket, cost } => {
                if let Some(known) = self.running.get_mut(ticket) {
                    known.cost = *cost;
                }
            }
            _ => {}
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Admit { ticket, attempt } => self.admit(ticket, attempt),
            Action::Refuse { ticket, .. } => {
                self.answer(ticket);
                self.waiting
                    .remove(&ticket)
                    .expect("only what waits is refused");
            }
            Action::Cancel { ticket, .. } => {
                assert!(self.running.contains_key(&ticket));
                let (since, mark) = self.mark.as_ref().expect("marked");
                assert_eq!(mark.action, objects::MarkAction::Remove);
                assert!(self.now >= *since + Duration::from_millis(mark.grace_ms));
            }
            Action::Drained => {
                assert!(self.running.is_empty() && self.mark.is_some());
            }
        }
    }

    fn admit(&mut self, ticket: Ticket, attempt: AttemptId) {
        self.answer(ticket);
        let known = self
            .waiting
            .remove(&ticket)
            .expect("only what waits is admitted");
        assert_eq!(known.attempt, attempt);
        assert!(self.mark.is_none(), "a leaving target takes nothing");
        assert!(self.now.since(self.touched) < Duration::from_secs(30));
        assert!(self.now < known.until, "given up already");
        let alone = self.running.is_empty();
        let total = self.load() + known.cost;
        assert!(
            alone || total.0 <= self.cap(),
            "{total:?} over {}",
            self.cap()
        );
        self.check_limit(known);
        let again = self.ran.insert(attempt, self.now);
        let window = Duration::from_secs(60);
        assert!(again.is_none_or(|before| self.now.since(before) > window));
        self.running.insert(ticket, known);
    }

    fn check_limit(&self, new: Known) {
        let of = |known: &&Known| known.organisation == new.organisation;
        let running: Cost = self
            .running
            .values()
            .filter(of)
            .map(|known| known.cost)
            .sum();
        let alone = running == Cost::ZERO;
        assert!(
            alone || running + new.cost <= Cost(500),
            "over the part of the limit"
        );
    }

    fn answer(&mut self, ticket: Ticket) {
        let answers = self.answered.entry(ticket).or_default();
        *answers += 1;
        assert_eq!(*answers, 1, "{ticket:?} is answered once");
    }

    fn check(&self, admission: &Admission) {
        let status = admission.status();
        assert_eq!(status.cap.0, self.cap());
        assert_eq!(status.reserved, self.load());
        assert_eq!(status.running, self.running.len());
        assert_eq!(status.waiting, self.waiting.len());
        if self.mark.is_some() {
            assert!(self.waiting.is_empty(), "nothing waits at a leaving target");
        }
        for known in self.waiting.values() {
            assert!(known.until > self.now, "given up and not answered");
            let wake = admission.next_wake().expect("something waits");
            assert!(wake <= known.until);
        }
    }
}

fn play(steps: Vec<Step>) -> bool {
    let mut admission = admission_with(Settings::default(), policy());
    admission.on(at(0), Input::TargetsHeard(TARGETS));
    let mut model = Model {
        floor: policy().floor.0,
        ..Model::default()
    };
    for step in steps {
        // One step in eight goes back in time.
        let pass = if step.kind.is_multiple_of(8) {
            step.pass
        } else {
            step.pass.abs()
        };
        model.clock = model.clock.saturating_add_signed(pass.into());
        model.now = model.now.max(at(model.clock));
        let input = model.input(step);
        model.before(&input);
        for action in admission.on(at(model.clock), input) {
            model.act(action);
        }
        model.check(&admission);
    }
    finish(&mut admission, &mut model);
    true
}

/// Lets everything end, after which every arrival has its one answer.
fn finish(admission: &mut Admission, model: &mut Model) {
    let running: Vec<_> = model.running.keys().copied().collect();
    for ticket in running {
        model.running.remove(&ticket);
        for action in admission.on(model.now, Input::End(ticket)) {
            model.act(action);
        }
    }
    model.now = model.now + Duration::from_secs(60);
    for action in admission.on(model.now, Input::Tick) {
        model.act(action);
    }
    assert!(model.waiting.is_empty());
    let answered = u64::try_from(model.answered.len()).expect("small");
    assert_eq!(answered, model.arrivals);
}

#[test]
fn verify_any_inputs_in_any_order() {
    let seeded = Gen::from_size_and_seed(400, SEED);
    let check = QuickCheck::new().rng(seeded).tests(300);
    check
        .max_tests(300)
        .quickcheck(play as fn(Vec<Step>) -> bool);
}
