// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The pointer table: events, notes, hand-over, loss, size.

use std::time::Duration;

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::keys::PrefixKey;
use peppercrank_core::time::Instant;
use peppercrank_route::Ask;
use peppercrank_route::Note;
use peppercrank_route::Place;
use peppercrank_route::Pointers;
use peppercrank_route::RankKey;
use peppercrank_route::Ranking;
use peppercrank_route::cache::CacheEvent;
use peppercrank_route::cache::Cached;
use peppercrank_route::cache::Change;
use peppercrank_route::cache::Intake;
use peppercrank_route::note::Context;
use peppercrank_route::pointer::SETTLE;
use peppercrank_route::rank::TargetHash;
use slotmap::KeyData;

/// Memory of the tables here, in bytes.
const BYTES: usize = 64 * 1024;

const NOW: Instant = Instant::from_millis(1_000_000);

fn target(n: u64) -> TargetKey {
    TargetKey::from(KeyData::from_ffi(1 << 32 | n))
}

fn hash(n: u64) -> TargetHash {
    TargetHash::of(&format!("engine-{n}"))
}

fn ranking(targets: impl IntoIterator<Item = u64>) -> Ranking {
    Ranking::new(targets.into_iter().map(|n| (target(n), hash(n), 1)))
}

fn ask(chat: u64) -> Ask {
    Ask {
        chat: ChatKey(chat),
        prefix: None,
        returning: true,
        redirect: true,
    }
}

/// A chat whose home in `ranking` is target `home`.
fn chat_of(ranking: &Ranking, home: u64, nth: usize) -> u64 {
    let mut chats = (1..).map(|n: u64| n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    chats
        .by_ref()
        .filter(|c| ranking.home(RankKey(*c)) == Some(target(home)))
        .nth(nth)
        .unwrap()
}

fn note(chat: u64, at: u64, held: bool, age: u32) -> Note {
    Note {
        context: Context::Chat(ChatKey(chat)),
        rank: RankKey(chat),
        target: hash(at),
        held,
        age,
    }
}

fn event(incarnation: u64, seq: u64, change: Change) -> CacheEvent {
    let key = 7;
    CacheEvent {
        incarnation,
        seq,
        change,
        key,
    }
}

fn here(chat: Cached) -> Place {
    let prefix = Cached::No;
    Place::Here { chat, prefix }
}

/// Where the table sends a returning chat.
fn place(pointers: &Pointers, chat: u64, ranking: &Ranking) -> Place {
    pointers.place(NOW, &ask(chat), ranking)
}

/// Events as `incarnation.seq` with `+` for stored and `-` for evicted | what is then known of 7,
/// served between events 2 and 3.
const EVENTS: &str = "
                        | Yes
1.0+ 1.1+ 1.2+ 1.3+     | Yes
1.0+ 1.1+ 1.2+ 1.3-     | No
1.0+ 1.1+ 1.2+ 1.3- 1.4+ | Yes
1.0+ 1.1+ 1.2+ 1.4+     | Yes
1.0+ 1.1+ 1.2+ 1.4-     | No
1.0+ 1.1+ 1.2+ 1.3- 1.3- | No
1.0+ 1.1+ 1.2+ 1.5- 1.4+ | No
1.0+ 1.1+ 1.2+ 1.5+ 1.4- | Yes
1.0+ 1.1+ 1.2+ 1.1-     | Yes
1.0+ 1.1+ 1.2+ next9    | Unknown
1.0+ 1.1+ 1.2+ next9 1.8- | Unknown
1.0+ 1.1+ 1.2+ next9 1.8- 1.9- | No
1.0+ 1.1+ 1.2+ next9 1.2- | Unknown
1.0+ 1.1+ 1.2+ next9 1.9+ | Yes
1.0+ 1.1+ 1.2+ next3    | Yes
1.0+ 1.1+ 1.2+ 0.9-     | Yes
1.0+ 1.1+ 1.2+ 2.0-     | No
1.0+ 1.1+ 1.2+ 2.0+     | Yes
1.0+ 1.1+ 1.2+ 2.0+ 1.4- | Yes
";

#[test]
fn verify_cache_events_prove_what_they_can() {
    let ranking = ranking(0..1);
    for line in EVENTS.trim_matches('\n').lines() {
        let (script, known) = line.split_once('|').unwrap();
        let mut pointers = Pointers::new(target(0), BYTES);
        let words: Vec<&str> = script.split_whitespace().collect();
        if words.is_empty() {
            pointers.served(NOW, &ask(7), false);
        }
        for (index, word) in words.into_iter().enumerate() {
            if index == 3 {
                pointers.served(NOW, &ask(7), false);
            }
            if let Some(next) = word.strip_prefix("next") {
                pointers.on_next(1, next.parse().unwrap());
                continue;
            }
            let (incarnation, seq) = word.trim_end_matches(['+', '-']).split_once('.').unwrap();
            let change = [Change::Evicted, Change::Stored][usize::from(word.ends_with('+'))];
            let event = event(incarnation.parse().unwrap(), seq.parse().unwrap(), change);
            pointers.on_event(NOW, &event, &ranking);
        }
        let cached = pointers.cached(7);
        assert_eq!(format!("{cached:?}"), known.trim(), "{script}");
    }
}

#[test]
fn verify_the_intake_names_each_disorder() {
    let ranking = ranking(0..1);
    let mut pointers = Pointers::new(target(0), BYTES);
    let cases = [
        (1, 0, Intake::InOrder),
        (1, 1, Intake::InOrder),
        (1, 5, Intake::Gap),
        (1, 3, Intake::Late),
        (1, 5, Intake::Late),
        (1, 6, Intake::InOrder),
        (2, 0, Intake::Restarted),
        (1, 7, Intake::Stale),
        (2, 1, Intake::InOrder),
        (2, u64::MAX, Intake::Gap),
    ];
    for (incarnation, seq, intake) in cases {
        let event = event(incarnation, seq, Change::Stored);
        let (got, _) = pointers.on_event(NOW, &event, &ranking);
        assert_eq!(got, intake, "{event:?}");
    }
}

#[test]
fn verify_an_agent_that_restarted_learns_from_events() {
    let ranking = ranking(0..2);
    let mut pointers = Pointers::new(target(0), BYTES);
    pointers.joined(NOW);
    pointers.on_event(NOW, &event(1, 40, Change::Stored), &ranking);
    assert_eq!(place(&pointers, 7, &ranking), here(Cached::Yes));
    // Of a context that only events name, a late one proves nothing: it may be gone again.
    let mut pointers = Pointers::new(target(0), BYTES);
    pointers.on_event(NOW, &event(1, 41, Change::Evicted), &ranking);
    pointers.on_event(NOW, &event(1, 40, Change::Stored), &ranking);
    assert_eq!(pointers.cached(7), Cached::No);
}

#[test]
fn verify_a_note_points_to_who_holds_the_chat() {
    let all = ranking(0..9);
    let chat = chat_of(&all, 0, 0);
    let mut pointers = Pointers::new(target(0), BYTES);
    assert_eq!(place(&pointers, chat, &all), here(Cached::No));
    pointers.learn(NOW, &note(chat, 5, true, 0), &all);
    assert_eq!(place(&pointers, chat, &all), Place::There(target(5)));
    assert_eq!(pointers.hint(&ask(chat), &all), Some(target(5)));
    let held_to_it = Ask {
        redirect: false,
        ..ask(chat)
    };
    assert_eq!(pointers.place(NOW, &held_to_it, &all), here(Cached::No));
    // Dead or draining: it ranks no more, and the pointer is of no use.
    let without = ranking((0..9).filter(|n| *n != 5));
    assert_eq!(place(&pointers, chat, &without), here(Cached::No));
    assert_eq!(pointers.hint(&ask(chat), &without), None);
    // Started anew: it holds nothing, but the report before the first tells of no restart.
    pointers.restarted(target(5), 3);
    assert_eq!(place(&pointers, chat, &all), Place::There(target(5)));
    pointers.restarted(target(5), 4);
    pointers.restarted(target(5), 3);
    assert_eq!(place(&pointers, chat, &all), here(Cached::No));
}

/// Notes as (target, held, age in steps) in the order of their arrival; where the chat is then.
type Notes<'a> = (&'a [(u64, bool, u32)], Option<u64>);

#[test]
fn verify_of_two_notes_the_fresher_counts() {
    let all = ranking(0..9);
    let chat = chat_of(&all, 0, 0);
    let cases: &[Notes<'_>] = &[
        (&[(5, true, 10), (6, true, 0)], Some(6)),
        (&[(6, true, 0), (5, true, 10)], Some(6)),
        (&[(5, true, 10), (5, false, 0)], None),
        (&[(5, true, 0), (5, false, 10)], Some(5)),
        (&[(5, true, 10), (6, false, 0)], Some(5)),
        (&[(0, true, 0)], None),
        (&[(77, true, 0)], None),
        (&[(5, true, u32::MAX)], Some(5)),
    ];
    for (notes, at) in cases {
        let mut pointers = Pointers::new(target(0), BYTES);
        for (holder, held, age) in *notes {
            pointers.learn(NOW, &note(chat, *holder, *held, *age), &all);
        }
        let expected = at.map_or(here(Cached::No), |n| Place::There(target(n)));
        assert_eq!(place(&pointers, chat, &all), expected, "{notes:?}");
    }
}

#[test]
fn verify_an_evicted_spilled_chat_is_taken_back() {
    let all = ranking(0..9);
    let chat = chat_of(&all, 0, 0);
    let mut holder = Pointers::new(target(5), BYTES);
    let mut home = Pointers::new(target(0), BYTES);
    holder.served(NOW, &ask(chat), true);
    home.learn(NOW, &note(chat, 5, true, 0), &all);
    let gone = CacheEvent {
        key: chat,
        ..event(1, 0, Change::Evicted)
    };
    let later = NOW + Duration::from_secs(9);
    let addressed = holder.on_event(later, &gone, &all).1.unwrap();
    assert_eq!(addressed.to, target(0), "the home is told");
    home.learn(later, &addressed.note, &all);
    assert_eq!(home.place(later, &ask(chat), &all), here(Cached::No));
}

#[test]
fn verify_a_target_that_joined_points_to_the_home_before() {
    let old = ranking(0..9);
    let new = ranking(0..10);
    let chat = chat_of(&new, 9, 0);
    let before = old.home(RankKey(chat)).unwrap();
    let mut joiner = Pointers::new(target(9), BYTES);
    joiner.joined(NOW);
    let first_turn = Ask {
        returning: false,
        ..ask(chat)
    };
    assert_eq!(joiner.place(NOW, &ask(chat), &new), Place::There(before));
    assert_eq!(joiner.place(NOW, &first_turn, &new), here(Cached::No));
    let settled = joiner.place(NOW + SETTLE, &ask(chat), &new);
    assert_eq!(settled, here(Cached::No));
    let alone = place(&joiner, chat, &ranking([9]));
    assert_eq!(alone, here(Cached::No), "a pool of one");
}

/// The number of a target.
fn index_of(key: TargetKey) -> usize {
    (0..100).position(|n| target(n) == key).unwrap()
}

/// Carries all notes of a change of ranking to the tables that they are for.
fn hand_over(from: &Pointers, to: &mut [Pointers], old: &Ranking, new: &Ranking) -> usize {
    let mut cursor = Some(0);
    let mut count = 0;
    while let Some(start) = cursor {
        let chunk = from.moved(NOW, old, new, start, 100);
        for addressed in &chunk.notes {
            to[index_of(addressed.to)].learn(NOW, &addressed.note, new);
        }
        count += chunk.notes.len();
        cursor = chunk.cursor;
    }
    count
}

fn tables(count: u64) -> Vec<Pointers> {
    let new = |n| Pointers::new(target(n), BYTES);
    (0..count).map(new).collect()
}

#[test]
fn verify_a_change_of_ranking_keeps_every_context_findable() {
    // How many there are before and after, where the chats of target 9 are, who tells.
    let cases = [
        ("a join: the homes of before tell", 9, 10, None, 0..9),
        ("a drain: the home hands on", 10, 9, Some(3), 9..10),
        ("a loss: the holders tell", 10, 9, Some(3), 0..9),
    ];
    for (name, before, after, at, senders) in cases {
        let old = ranking(0..before);
        let new = ranking(0..after);
        let wide = ranking(0..10);
        let mut agents = tables(10);
        let chats: Vec<u64> = (0..40).map(|n| chat_of(&wide, 9, n)).collect();
        let holder = |chat: u64| at.map_or_else(|| old.home(RankKey(chat)).unwrap(), target);
        for chat in &chats {
            agents[index_of(holder(*chat))].served(NOW, &ask(*chat), at.is_some());
            if name.starts_with("a drain") {
                agents[9].learn(NOW, &note(*chat, 3, true, 0), &old);
            }
        }
        for n in senders {
            let sender = std::mem::replace(&mut agents[n], Pointers::new(target(99), 0));
            hand_over(&sender, &mut agents, &old, &new);
            agents[n] = sender;
        }
        for chat in &chats {
            let first = new.home(RankKey(*chat)).unwrap();
            let place = agents[index_of(first)].place(NOW, &ask(*chat), &new);
            let found = match place {
                Place::There(t) => t == holder(*chat),
                Place::Here { .. } => first == holder(*chat),
            };
            assert!(found, "{name}: {chat} at {place:?}");
        }
    }
}

#[test]
fn verify_no_change_of_ranking_calls_for_no_note() {
    let all = ranking(0..9);
    let mut agents = tables(9);
    for n in 0..200 {
        agents[0].served(NOW, &ask(chat_of(&all, n % 9, 0) ^ n), n % 2 == 0);
    }
    let sender = agents.remove(0);
    assert_eq!(hand_over(&sender, &mut agents, &all, &all), 0);
}

#[test]
fn verify_a_prefix_is_hinted_at_its_holders() {
    let all = ranking(0..9);
    let mut home = Pointers::new(target(0), BYTES);
    let prefix = PrefixKey(5);
    let on_prefix = Ask {
        prefix: Some(prefix),
        ..ask(1)
    };
    assert_eq!(home.hint(&on_prefix, &all), None);
    for n in [3, 4, 0, 6] {
        let context = Context::Prefix(prefix);
        let mut note = note(1, n, true, 0);
        note.context = context;
        home.learn(NOW, &note, &all);
    }
    assert_eq!(home.hint(&on_prefix, &all), Some(target(6)));
    assert_eq!(home.hint(&on_prefix, &ranking([0, 3, 4])), Some(target(4)));
    assert_eq!(home.hint(&on_prefix, &ranking([0])), None);
}

#[test]
fn verify_the_table_stays_within_its_bytes_and_keeps_the_latest() {
    let all = ranking(0..1);
    for bytes in [0, 1, 10_000, 1 << 20] {
        let mut pointers = Pointers::new(target(0), bytes);
        let capacity = pointers.capacity() as u64;
        for n in 0..capacity * 4 {
            let now = NOW + Duration::from_secs(n);
            let key = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            pointers.served(now, &ask(key), false);
            assert_eq!(pointers.place(now, &ask(key), &all), here(Cached::Yes));
        }
        // One row of each part is the least.
        let (held, len) = (pointers.bytes(), pointers.len());
        assert!(held <= bytes.max(1_024), "{held} of {bytes}");
        assert!(len <= pointers.capacity());
        // The holders of prefixes are in the bytes.
        assert!(bytes <= 10_000 || held / len < 64, "{held} for {len}");
    }
}
