// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Publishing against lost answers, races and outages, case by case.

use std::time::Duration;

use peppercrank_config::Publish;
use peppercrank_config::Version;
use peppercrank_config::object::PublishId;
use peppercrank_config::publish::Base;
use peppercrank_config::publish::Change;
use peppercrank_config::publish::Current;
use peppercrank_config::publish::Done;
use peppercrank_config::publish::Failure;
use peppercrank_config::publish::Fate;
use peppercrank_config::publish::How;
use peppercrank_config::publish::Input;
use peppercrank_config::publish::Next;
use peppercrank_config::publish::Written;
use peppercrank_config::publish::key;
use peppercrank_core::objects::ObjectKind;
use peppercrank_core::time::Instant;
use serde_json::Value;
use serde_json::json;

/// One object of the platform's API, and what befalls the next calls.
#[derive(Default)]
struct Api {
    revision: u64,
    object: Option<Current>,
    mishaps: Vec<Mishap>,
    writes: u32,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Mishap {
    None,
    /// The call takes effect, its answer is lost.
    AnswerLost,
    /// The call has no effect, and that is not known.
    CallLost,
    Busy,
    Unreached,
    /// Another operator writes before this call.
    Overtaken,
    /// The call takes effect, then another operator writes, and the answer is lost.
    LostThenOvertaken,
}

impl Api {
    fn holding(weight: u32) -> Self {
        let mut api = Self::default();
        api.store(json!({"publish": "0".repeat(32), "spec": spec(weight)}));
        api
    }

    fn store(&mut self, body: Value) -> Version {
        self.revision += 1;
        let version = Version(self.revision);
        self.object = Some(Current { version, body });
        version
    }

    fn write(&mut self, base: Base, body: Option<Value>) -> Written {
        let held = self.object.as_ref().map(|o| Base::Version(o.version));
        if held.unwrap_or(Base::Absent) != base {
            return Written::Refused(self.object.clone());
        }
        self.writes += 1;
        let Some(body) = body else {
            self.revision += 1;
            self.object = None;
            return Written::Version(Version(self.revision));
        };
        Written::Version(self.store(body))
    }

    /// Carries out what the publisher asks for.
    fn call(&mut self, next: Next) -> Input {
        let mishap = if self.mishaps.is_empty() {
            Mishap::None
        } else {
            self.mishaps.remove(0)
        };
        if mishap == Mishap::Overtaken {
            self.store(json!({"spec": spec(99)}));
        }
        let failure = match mishap {
            Mishap::Busy => Some(Failure::Busy {
                after: Duration::from_secs(1),
            }),
            Mishap::Unreached => Some(Failure::Unreached),
            Mishap::CallLost => Some(Failure::Lost),
            _ => None,
        };
        let written = match (next, failure) {
            (Next::Read, Some(f)) => return Input::Read(Err(f)),
            (Next::Read, None) => return Input::Read(Ok(self.object.clone())),
            (_, Some(f)) => return Input::Written(Err(f)),
            (Next::Write { base, body }, None) => self.write(base, Some(body)),
            (Next::Remove { base }, None) => self.write(Base::Version(base), None),
            (other, None) => unreachable!("{other:?} is no call"),
        };
        if mishap == Mishap::LostThenOvertaken {
            self.store(json!({"spec": spec(99)}));
        }
        match mishap {
            Mishap::AnswerLost | Mishap::LostThenOvertaken => Input::Written(Err(Failure::Lost)),
            _ => Input::Written(Ok(written)),
        }
    }
}

fn spec(weight: u32) -> Value {
    json!({"parameters": {"weight": weight, "priority": 5, "limit": 1000, "output": 256,
        "deadline_ms": 60_000, "models": [], "services": []}})
}

fn publisher(id: u128, base: Base, change: Change) -> Publish {
    let key = key(ObjectKind::Template, "base").unwrap();
    let deadline = Instant::from_millis(30_000);
    Publish::new(key, PublishId(id), base, change, deadline)
}

/// Carries one act of publishing through to its end.
fn run(api: &mut Api, mut publish: Publish) -> Next {
    let mut now = Instant::ZERO;
    let mut next = publish.on(now, Input::Begin);
    loop {
        let input = match next {
            Next::Wait { until } => {
                assert!(until > now);
                now = until;
                Input::Due
            }
            call @ (Next::Read | Next::Write { .. } | Next::Remove { .. }) => api.call(call),
            end => return end,
        };
        next = publish.on(now, input);
    }
}

/// The mishap of each call in turn; what comes of it; the writes that took effect.
type Case = (&'static [Mishap], Result<(u64, How), Fate>, u32);

#[test]
fn verify_mishaps() {
    use Mishap::AnswerLost;
    use Mishap::Busy;
    use Mishap::CallLost;
    use Mishap::LostThenOvertaken;
    use Mishap::None;
    use Mishap::Overtaken;
    use Mishap::Unreached;
    let done = |version, how| Ok((version, how));
    let cases: [Case; 9] = [
        (&[], done(2, How::Written), 1),
        (&[None, AnswerLost], done(2, How::Recognised), 1),
        (
            &[None, AnswerLost, CallLost, Busy],
            done(2, How::Recognised),
            1,
        ),
        (&[None, CallLost], done(2, How::Written), 1),
        (&[None, Busy, Unreached], done(2, How::Written), 1),
        (&[CallLost, Busy, Unreached], done(2, How::Written), 1),
        (&[Overtaken], Err(Fate::NotWritten), 0),
        (&[None, Overtaken], Err(Fate::NotWritten), 0),
        (&[None, LostThenOvertaken], Err(Fate::MayBeWritten), 1),
    ];
    for (mishaps, expected, writes) in cases {
        let mut api = Api::holding(1);
        api.mishaps = mishaps.to_vec();
        let base = Base::Version(Version(1));
        let end = run(&mut api, publisher(7, base, Change::Put(spec(2))));
        let got = match end {
            Next::Done(Done { version, how }) => Ok((version.0, how)),
            Next::Conflict(conflict) => {
                assert_eq!(conflict.base, base);
                assert_eq!(conflict.current, api.object);
                assert_eq!(conflict.differences[0].path, "parameters.weight");
                Err(conflict.fate)
            }
            end => panic!("{mishaps:?} ended in {end:?}"),
        };
        assert_eq!((got, api.writes), (expected, writes), "{mishaps:?}");
    }
}

#[test]
fn verify_operators_racing() {
    // Two who saw version 1 each publish; whatever the order, one gets a conflict.
    for first in [1, 2] {
        let mut api = Api::holding(1);
        let base = Base::Version(Version(1));
        let contents = [(1, spec(11)), (2, spec(12))];
        let mut acts = contents.map(|(i, spec)| publisher(i, base, Change::Put(spec)));
        let writes = acts.each_mut().map(|act| {
            act.on(Instant::ZERO, Input::Begin);
            act.on(Instant::ZERO, Input::Read(Ok(api.object.clone())))
        });
        let mut order: Vec<_> = acts.into_iter().zip(writes).collect();
        if first == 2 {
            order.reverse();
        }
        let mut ends = order.into_iter().map(|(mut act, write)| {
            let input = api.call(write);
            act.on(Instant::ZERO, input)
        });
        assert!(matches!(ends.next(), Some(Next::Done(_))));
        let Some(Next::Conflict(conflict)) = ends.next() else {
            panic!("the second overwrote the first");
        };
        assert_eq!(conflict.base, base);
        assert_eq!(conflict.current.unwrap().version, Version(2));
        assert_eq!(conflict.fate, Fate::NotWritten);
    }
}

#[test]
fn verify_publish_again_with_same_id() {
    let mut api = Api::holding(1);
    let base = Base::Version(Version(1));
    let act = || publisher(7, base, Change::Put(spec(2)));
    // The operator's program died after its write; it is run again with the id that it printed.
    api.mishaps = vec![Mishap::None, Mishap::AnswerLost];
    let mut died = act();
    let read = died.on(Instant::ZERO, Input::Begin);
    let read = api.call(read);
    let write = died.on(Instant::ZERO, read);
    api.call(write);
    drop(died);
    let Next::Done(done) = run(&mut api, act()) else {
        panic!("not recognised");
    };
    assert_eq!(
        (done.version, done.how, api.writes),
        (Version(2), How::Recognised, 1)
    );
    // The same content by another act is left alone.
    let Next::Done(done) = run(&mut api, publisher(8, base, Change::Put(spec(2)))) else {
        panic!("written again");
    };
    assert_eq!(
        (done.version, done.how, api.writes),
        (Version(2), How::Unchanged, 1)
    );
}

#[test]
fn verify_create_and_delete() {
    let mut api = Api::default();
    let create = || publisher(1, Base::Absent, Change::Put(spec(1)));
    assert!(matches!(run(&mut api, create()), Next::Done(_)));
    let other = publisher(2, Base::Absent, Change::Put(spec(5)));
    assert!(
        matches!(run(&mut api, other), Next::Conflict(_)),
        "it exists"
    );
    let delete = |base| publisher(3, Base::Version(Version(base)), Change::Delete);
    assert!(matches!(run(&mut api, delete(9)), Next::Conflict(_)));
    api.mishaps = vec![Mishap::None, Mishap::AnswerLost];
    let Next::Done(done) = run(&mut api, delete(1)) else {
        panic!("not deleted");
    };
    assert_eq!((done.version, done.how), (Version(2), How::Recognised));
    // Created anew after its deletion, it is another object to who saw the first.
    assert!(matches!(
        run(&mut api, publisher(4, Base::Absent, Change::Put(spec(2)))),
        Next::Done(_)
    ));
    assert!(matches!(run(&mut api, delete(1)), Next::Conflict(_)));
}

#[test]
fn verify_invalid_never_sent() {
    let mut api = Api::holding(1);
    let act = publisher(1, Base::Version(Version(1)), Change::Put(spec(0)));
    let Next::Invalid(fault) = run(&mut api, act) else {
        panic!("sent");
    };
    assert_eq!(fault.path, "spec.parameters.weight");
    assert_eq!(api.writes, 0);
}

#[test]
fn verify_gives_up() {
    for (mishap, fate) in [
        (Mishap::Busy, Fate::NotWritten),
        (Mishap::Unreached, Fate::NotWritten),
        (Mishap::CallLost, Fate::MayBeWritten),
    ] {
        let mut api = Api::holding(1);
        api.mishaps = vec![mishap; 1_000];
        api.mishaps[0] = Mishap::None;
        let act = publisher(1, Base::Version(Version(1)), Change::Put(spec(2)));
        let end = run(&mut api, act);
        assert_eq!(end, Next::GiveUp(fate), "{mishap:?}");
        assert!(api.mishaps.len() > 900, "it pauses between calls");
    }
}
