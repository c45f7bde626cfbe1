// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Claims against a fake store, with each of its failures.

mod common;

use std::time::Duration;

use peppercrank_core::keys::RequestId;
use peppercrank_core::refusal::AttemptOutcome;
use peppercrank_core::refusal::MayHaveRun;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::time::Instant;
use peppercrank_lease::claim::Action;
use peppercrank_lease::claim::Claims;
use peppercrank_lease::claim::Input;
use peppercrank_lease::claim::Policy;
use peppercrank_lease::claim::Verdict;
use peppercrank_lease::shard::CLAIM_BYTES;
use peppercrank_lease::shard::ClaimKey;
use peppercrank_lease::shard::EPOCH;
use peppercrank_lease::shard::SHARD_BYTES;
use peppercrank_lease::shard::Shard;
use peppercrank_lease::store::Answer;
use peppercrank_lease::store::CallId;

use crate::common::Store;
use crate::common::failed;

/// What the store does with one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    /// Takes it and answers.
    Served,
    /// Takes it, but the answer is lost.
    Unheard,
    /// Never sees it.
    Lost,
}

/// The objects: one shard and the epoch.
#[derive(Default)]
struct World {
    shard: Store<Shard>,
    epoch: Store<Shard>,
}

impl World {
    fn of(&mut self, shard: u16) -> &mut Store<Shard> {
        if shard == EPOCH {
            return &mut self.epoch;
        }
        &mut self.shard
    }

    fn number(&self) -> u32 {
        self.epoch.object.as_ref().map_or(0, |o| o.1.epoch())
    }
}

/// A router with its view of the store, and what it told.
struct Router {
    claims: Claims,
    told: Vec<(RequestId, Verdict)>,
    widest: usize,
}

impl Router {
    fn new(policy: Policy, seed: u64) -> Self {
        let claims = Claims::new(policy, seed).expect("policy in range");
        Self {
            claims,
            told: Vec::new(),
            widest: 0,
        }
    }

    /// Feeds an input and serves the calls that follow; the first ones by `fates`.
    fn on(&mut self, store: &mut World, now: Instant, input: Input, fates: &[Fate]) {
        let mut fates = fates.iter().copied();
        let mut actions = self.claims.on(now, input);
        while let Some(action) = actions.pop() {
            let (call, answer) = match action {
                Action::Tell { token, verdict } => {
                    self.told.push((token, verdict));
                    continue;
                }
                Action::Get { call, shard } => (call, store.of(shard).get()),
                Action::Put {
                    call,
                    shard,
                    base,
                    body,
                } => {
                    let store = store.of(shard);
                    let fate = fates.next().unwrap_or(Fate::Served);
                    self.widest = self.widest.max(body.len());
                    let answer = match fate {
                        Fate::Served => store.put(base, body),
                        Fate::Unheard => {
                            store.put(base, body);
                            failed()
                        }
                        Fate::Lost => failed(),
                    };
                    (call, answer)
                }
            };
            actions.extend(self.claims.on(now, Input::Answer { call, answer }));
        }
    }

    fn verdict(&self, token: u128) -> Option<Verdict> {
        let found = self.told.iter().find(|t| t.0 == RequestId(token));
        found.map(|t| t.1)
    }

    fn is_granted(&self, token: u128) -> bool {
        matches!(self.verdict(token), Some(Verdict::Granted { .. }))
    }
}

fn policy() -> Policy {
    Policy {
        shards: 1,
        ..Policy::default()
    }
}

fn claim(key: u128, token: u128) -> Input {
    Input::Claim {
        key: ClaimKey(key),
        token: RequestId(token),
        wait: Duration::from_secs(60),
    }
}

fn release(key: u128, token: u128) -> Input {
    let (key, token) = (ClaimKey(key), RequestId(token));
    Input::Release { key, token }
}

/// Makes a claim, answers the read of the epoch and returns the read of the shard.
fn read(claims: &mut Claims) -> CallId {
    let first = claims.on(at(0), claim(1, 10));
    let [Action::Get { call, shard: EPOCH }] = first[..] else {
        panic!("a read of the epoch, not {first:?}");
    };
    let answer = Answer::Absent;
    let next = claims.on(at(0), Input::Answer { call, answer });
    let [Action::Get { call, shard: 0 }] = next[..] else {
        panic!("a read of the shard, not {next:?}");
    };
    call
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

#[test]
fn verify_one_of_two_routers_is_granted_and_the_other_told_the_truth() {
    let mut store = World::default();
    let (mut a, mut b) = (Router::new(policy(), 1), Router::new(policy(), 2));
    a.on(&mut store, at(0), claim(1, 10), &[]);
    b.on(&mut store, at(0), claim(1, 20), &[]);
    assert!(a.is_granted(10));
    let told = b.verdict(20).and_then(Verdict::refusal);
    assert_eq!(
        told,
        Some(AttemptOutcome::MayHaveRun(MayHaveRun::AlreadyBegun))
    );
    assert_eq!((store.shard.reads, store.shard.writes), (2, 1));
}

#[test]
fn verify_each_fate_of_a_write() {
    // What becomes of the first write, and the writes that the store takes in all.
    let cases = [(Fate::Served, 1), (Fate::Unheard, 1), (Fate::Lost, 1)];
    for (fate, writes) in cases {
        let mut store = World::default();
        let mut a = Router::new(policy(), 1);
        a.on(&mut store, at(0), claim(1, 10), &[fate]);
        a.on(&mut store, at(500), Input::Tick, &[]);
        assert!(a.is_granted(10), "{fate:?}");
        assert_eq!(store.shard.writes, writes, "{fate:?}");
        assert_eq!(a.told.len(), 1, "{fate:?}");
    }
}

#[test]
fn verify_a_claim_given_up_after_a_lost_answer_is_removed() {
    let mut store = World::default();
    let (mut a, mut b) = (Router::new(policy(), 1), Router::new(policy(), 2));
    a.on(&mut store, at(0), claim(1, 10), &[Fate::Unheard]);
    // Nothing is tried before the wait is over.
    a.on(&mut store, at(2_000), Input::Tick, &[]);
    assert_eq!(a.verdict(10), Some(Verdict::Unavailable));
    a.on(&mut store, at(2_100), Input::Tick, &[]);
    b.on(&mut store, at(2_200), claim(1, 20), &[]);
    assert!(b.is_granted(20));
}

#[test]
fn verify_a_lost_write_cannot_take_effect_after_its_claim_was_given_up() {
    let mut store = World::default();
    let mut a = Router::new(policy(), 1);
    a.on(&mut store, at(0), claim(1, 10), &[Fate::Lost]);
    a.on(&mut store, at(2_000), Input::Tick, &[]);
    a.on(&mut store, at(2_100), Input::Tick, &[]);
    // The store held nothing, yet a write went over the lost one, which comes late.
    assert_eq!(store.shard.writes, 1);
    let mut late = Shard::default();
    late.add(ClaimKey(1), RequestId(10));
    let answer = store.shard.put(None, late);
    assert!(matches!(answer, Answer::Conflict { .. }), "{answer:?}");
}

#[test]
fn verify_an_outage_refuses_truly_then_at_once_and_ends() {
    let mut claims = Claims::new(policy(), 1).expect("policy in range");
    let mut out = claims.on(at(0), claim(1, 10));
    let mut told = Vec::new();
    for ms in (0..=2_000).step_by(10) {
        out.extend(claims.on(at(ms), Input::Tick));
        let calls: Vec<Action> = std::mem::take(&mut out);
        for action in calls {
            match action {
                Action::Get { call, .. } => {
                    let answer = failed();
                    out.extend(claims.on(at(ms), Input::Answer { call, answer }));
                }
                Action::Tell { token, verdict } => told.push((ms, token, verdict)),
                Action::Put { .. } => panic!("a write without a read"),
            }
        }
    }
    assert_eq!(told.len(), 1);
    assert!(told[0].0 <= 2_000 && told[0].2 == Verdict::Unavailable);
    let refusal = told[0].2.refusal();
    assert_eq!(
        refusal,
        Some(AttemptOutcome::NotRun(NotRun::ClaimUnavailable))
    );
    // From now on at once, with no call.
    let now = claims.on(at(2_001), claim(2, 11));
    let verdict = Verdict::Unavailable;
    let token = RequestId(11);
    assert_eq!(now, [Action::Tell { token, verdict }]);
    // An hour later one try finds it back.
    let back = claims.on(at(3_600_000), Input::Tick);
    let [Action::Get { call, .. }] = back[..] else {
        panic!("one try, not {back:?}");
    };
    let answer = Answer::Absent;
    claims.on(at(3_600_001), Input::Answer { call, answer });
    assert!(!claims.is_out());
}

#[test]
fn verify_a_silent_store_counts_as_failed_and_a_late_answer_is_ignored() {
    let mut claims = Claims::new(policy(), 1).expect("policy in range");
    let call = read(&mut claims);
    assert!(claims.on(at(999), Input::Tick).is_empty());
    claims.on(at(1_000), Input::Tick);
    let answer = Answer::Absent;
    let late = claims.on(at(5_000), Input::Answer { call, answer });
    assert!(late.is_empty());
    let told = claims.on(at(5_000), Input::Tick);
    let (token, verdict) = (RequestId(10), Verdict::Unavailable);
    assert_eq!(told, [Action::Tell { token, verdict }]);
}

#[test]
fn verify_an_answer_after_a_pause_claims_for_nobody() {
    let mut claims = Claims::new(policy(), 1).expect("policy in range");
    let call = read(&mut claims);
    let answer = Answer::Absent;
    let told = claims.on(at(7_200_000), Input::Answer { call, answer });
    let (token, verdict) = (RequestId(10), Verdict::Unavailable);
    assert_eq!(told, [Action::Tell { token, verdict }]);
}

#[test]
fn verify_a_release_frees_the_key_for_a_sending_again() {
    let mut store = World::default();
    let (mut a, mut b) = (Router::new(policy(), 1), Router::new(policy(), 2));
    a.on(&mut store, at(0), claim(1, 10), &[]);
    // Another's release, or an old one, frees nothing.
    b.on(&mut store, at(1), release(1, 20), &[]);
    b.on(&mut store, at(2), claim(1, 21), &[]);
    assert_eq!(b.verdict(21), Some(Verdict::Begun));
    a.on(&mut store, at(3), release(1, 10), &[]);
    b.on(&mut store, at(4), claim(1, 22), &[]);
    assert!(b.is_granted(22));
}

#[test]
fn verify_claims_travel_together_while_a_call_is_in_flight() {
    let mut store = World::default();
    let mut claims = Claims::new(policy(), 1).expect("policy in range");
    let mut out = claims.on(at(0), claim(0, 100));
    for n in 1..50 {
        assert!(claims.on(at(0), claim(n, 100 + n)).is_empty());
    }
    // The same key twice at one router needs no call to be told.
    let twice = claims.on(at(0), claim(7, 999));
    let (token, verdict) = (RequestId(999), Verdict::Begun);
    assert_eq!(twice, [Action::Tell { token, verdict }]);
    let mut granted = 0;
    while let Some(action) = out.pop() {
        let (call, answer) = match action {
            Action::Get { call, shard } => (call, store.of(shard).get()),
            Action::Put {
                call,
                shard,
                base,
                body,
            } => (call, store.of(shard).put(base, body)),
            Action::Tell { .. } => {
                granted += 1;
                continue;
            }
        };
        out.extend(claims.on(at(1), Input::Answer { call, answer }));
    }
    assert_eq!((granted, store.shard.reads, store.shard.writes), (50, 1, 1));
}

#[test]
fn verify_a_claim_lasts_its_retention_and_no_router_shortens_it() {
    let policy = policy();
    let period = 600_000;
    let mut store = World::default();
    let mut busy = Router::new(policy, 1);
    busy.on(&mut store, at(0), claim(1, 10), &[]);
    // A router that has just started has watched no epoch, however often it writes; that its
    // clock stands elsewhere does not count.
    for n in 0..100 {
        let mut fresh = Router::new(policy, n);
        let key = 1_000 + u128::from(n);
        fresh.on(&mut store, at(1_000_000_000 + n), claim(key, key), &[]);
    }
    assert_eq!(store.number(), 0);
    // One that watches lets it rise once a period; the claim outlives seven of them.
    let mut token = 20_000;
    for beat in 1..=8_u64 {
        token += 1_000;
        busy.on(&mut store, at(beat * period), claim(token, token), &[]);
        busy.on(&mut store, at(beat * period + 1), claim(1, token + 1), &[]);
        let kept = busy.verdict(token + 1) == Some(Verdict::Begun);
        assert_eq!(u64::from(store.number()), beat);
        assert_eq!(kept, beat <= 7, "after {beat} periods");
    }
}

#[test]
fn verify_a_router_that_was_idle_reads_the_epoch_before_it_claims() {
    let mut store = World::default();
    let (mut idle, mut other) = (Router::new(policy(), 1), Router::new(policy(), 2));
    idle.on(&mut store, at(0), claim(9, 9), &[]);
    // Others have let many epochs pass, none of them with a claim in this shard.
    store.epoch.put(None, Shard::of_epoch(20));
    idle.on(&mut store, at(6_000_000), claim(1, 10), &[]);
    other.on(&mut store, at(0), claim(1, 20), &[]);
    assert!(idle.is_granted(10));
    assert_eq!(other.verdict(20), Some(Verdict::Begun));
}

#[test]
fn verify_many_routers_let_the_epoch_rise_once_a_period() {
    let mut store = World::default();
    let mut routers: Vec<Router> = (0..20).map(|n| Router::new(policy(), n)).collect();
    for second in 0..3_600_u64 {
        for (n, router) in routers.iter_mut().enumerate() {
            let token = u128::from(second) * 20 + n as u128;
            if token.is_multiple_of(31) {
                router.on(&mut store, at(second * 1_000), claim(token, token), &[]);
            }
        }
    }
    assert_eq!(store.number(), 5);
    // Twenty routers: one read each a period, and who comes late to write it meets the number.
    assert!(store.epoch.reads <= 20 * 7, "{}", store.epoch.reads);
    assert!(store.epoch.writes <= 20 * 6, "{}", store.epoch.writes);
}

#[test]
fn verify_a_full_shard_refuses_and_the_bound_on_bytes_holds() {
    let small = Policy {
        bytes: SHARD_BYTES + 3 * CLAIM_BYTES,
        ..policy()
    };
    let mut store = World::default();
    let mut a = Router::new(small, 1);
    for n in 0..5 {
        a.on(&mut store, at(0), claim(u128::MAX - n, u128::MAX - n), &[]);
    }
    let told: Vec<bool> = (0..5).map(|n| a.is_granted(u128::MAX - n)).collect();
    assert_eq!(told, [true, true, true, false, false]);
    assert_eq!(a.verdict(u128::MAX - 4), Some(Verdict::Unavailable));
    let (_, mut body) = store.shard.object.expect("written");
    let text = serde_json::to_string(&body).expect("encodes");
    assert!(
        text.len() <= body.bytes(),
        "{} > {}",
        text.len(),
        body.bytes()
    );
    let back: Shard = serde_json::from_str(&text).expect("decodes");
    assert_eq!(back, body);
    body.reach(1, 0);
    assert!(body.is_empty());
}

#[test]
fn verify_bodies_that_are_not_ours_are_refused() {
    let bad = [
        r#"{"epoch":0,"claims":[["zz","00000000000000000000000000000001",0]]}"#,
        r#"{"epoch":0,"claims":[["00000000000000000000000000000001","1",0]]}"#,
        r#"{"epoch":0,"claims":[["00000000000000000000000000000001","00000000000000000000000000000001",1]]}"#,
        r#"{"epoch":-1,"claims":[]}"#,
        r#"{"claims":[]}"#,
        r#"{"epoch":0,"claims":[],"more":1}"#,
    ];
    for text in bad {
        assert!(serde_json::from_str::<Shard>(text).is_err(), "{text}");
    }
}

#[test]
fn verify_a_policy_that_cannot_keep_its_promise_is_refused() {
    let good = Policy::default();
    let bad = [
        Policy { shards: 0, ..good },
        Policy {
            shards: 10_000,
            ..good
        },
        Policy { bytes: 10, ..good },
        Policy {
            life: good.retention(),
            ..good
        },
        Policy { fails: 0, ..good },
        Policy {
            generations: 1,
            life: Duration::ZERO,
            ..good
        },
    ];
    assert_eq!(good.check(), Ok(()));
    for policy in bad {
        assert!(Claims::new(policy, 1).is_err(), "{policy:?}");
    }
}

#[test]
fn verify_a_slow_store_refuses_truly_and_leaves_no_claim_behind() {
    let mut store = World::default();
    let mut claims = Claims::new(policy(), 1).expect("policy in range");
    let mut calls: Vec<(u64, Action)> = Vec::new();
    let mut told = Vec::new();
    for ms in (0..120_000).step_by(10) {
        let input = if ms == 0 { claim(1, 10) } else { Input::Tick };
        let mut actions = claims.on(at(ms), input);
        // Each call takes five seconds for the first minute, then it takes ten milliseconds.
        let due: Vec<Action> = calls.extract_if(.., |c| c.0 <= ms).map(|c| c.1).collect();
        for action in due {
            let (call, answer) = match action {
                Action::Get { call, shard } => (call, store.of(shard).get()),
                Action::Put {
                    call,
                    shard,
                    base,
                    body,
                } => (call, store.of(shard).put(base, body)),
                Action::Tell { .. } => continue,
            };
            actions.extend(claims.on(at(ms), Input::Answer { call, answer }));
        }
        for action in actions {
            if let Action::Tell { verdict, .. } = action {
                told.push((ms, verdict));
            }
            let slow = if ms < 60_000 { 5_000 } else { 10 };
            calls.push((ms + slow, action));
        }
    }
    assert_eq!(told.len(), 1);
    assert!(
        told[0].0 <= 2_000 && told[0].1 == Verdict::Unavailable,
        "{told:?}"
    );
    assert!(!claims.is_out());
    let kept = store.shard.object.map_or(0, |o| o.1.len());
    assert_eq!((kept, claims.waiting()), (0, 0));
}

#[test]
fn verify_all_who_wait_are_told_when_the_store_is_held_to_be_out() {
    let mut claims = Claims::new(policy(), 1).expect("policy in range");
    let mut call = read(&mut claims);
    for token in 11..20 {
        claims.on(at(0), claim(token, token));
    }
    // Within the two seconds that each of them could have waited.
    for fails in 1..=3_u64 {
        let answer = failed();
        let told = claims.on(at(fails * 500 - 499), Input::Answer { call, answer });
        let expected = if fails == 3 { 10 } else { 0 };
        assert_eq!(told.len(), expected, "after {fails}");
        let next = claims.on(at(fails * 500 - 1), Input::Tick);
        if let [Action::Get { call: next, .. }] = next[..] {
            call = next;
        }
    }
    assert_eq!((claims.is_out(), claims.waiting()), (true, 0));
}
