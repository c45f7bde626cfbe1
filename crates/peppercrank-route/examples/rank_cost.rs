// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Prints the cost of a ranking and the memory of the tables, as measured where it runs.
//!
//! `cargo run --release -p peppercrank-route --example rank_cost`

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant as StdInstant;

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::keys::PrefixKey;
use peppercrank_core::time::Instant;
use peppercrank_route::Ask;
use peppercrank_route::Hints;
use peppercrank_route::Pointers;
use peppercrank_route::Ranking;
use peppercrank_route::rank::TargetHash;
use slotmap::KeyData;

/// Rankings in one round.
const CALLS: u64 = 20_000;

/// Rounds; the median of them is printed, and the greatest.
const ROUNDS: usize = 11;

/// Candidates asked for.
const COUNT: usize = 8;

/// A ranking of `size` targets with the weights 1 to `weights`.
fn ranking(size: u64, weights: u64) -> Ranking {
    Ranking::new((1..=size).map(|n| {
        let key = TargetKey::from(KeyData::from_ffi(1 << 32 | n));
        let hash = TargetHash::of(&format!("engine-{n}"));
        let weight = u32::try_from(n % weights + 1).unwrap_or(1);
        (key, hash, weight)
    }))
}

/// Microseconds of one call: the median round and the greatest.
fn micros(call: impl Fn(u64)) -> (f64, f64) {
    let mut rounds: Vec<Duration> = (0..ROUNDS)
        .map(|_| {
            let start = StdInstant::now();
            (0..CALLS).for_each(|n| call(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
            start.elapsed()
        })
        .collect();
    rounds.sort();
    let of = |round: Duration| {
        round.as_secs_f64() * 1e6 / f64::from(u32::try_from(CALLS).unwrap_or(u32::MAX))
    };
    (of(rounds[ROUNDS / 2]), of(rounds[ROUNDS - 1]))
}

fn main() {
    println!(
        "microseconds a ranking of {COUNT}, median and greatest of {ROUNDS} rounds of {CALLS}"
    );
    println!("targets  equal weights  weights 1-16  breadth 16    breadth 256");
    for size in [9, 100, 400, 1_300] {
        let equal = ranking(size, 1);
        let mixed = ranking(size, 16);
        let prefix = Some(PrefixKey(1));
        let plain = |ranking: &Ranking| {
            micros(|n| {
                black_box(ranking.order(ChatKey(n), None, 1, COUNT));
            })
        };
        let spread = |breadth| {
            micros(|n| {
                black_box(equal.order(ChatKey(n), prefix, breadth, COUNT));
            })
        };
        let cells = [plain(&equal), plain(&mixed), spread(16), spread(256)];
        let cells = cells.map(|(median, most)| format!("{median:5.2} {most:5.2}  "));
        println!("{size:7}  {}", cells.join(" "));
    }
    let own = TargetKey::from(KeyData::from_ffi(1 << 32 | 1));
    let mut pointers = Pointers::new(own, 1 << 20);
    for n in 0..60_000_u64 {
        let ask = Ask {
            chat: ChatKey(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            prefix: None,
            returning: true,
            redirect: true,
        };
        pointers.served(Instant::from_millis(n), &ask, false);
    }
    let (bytes, len) = (pointers.bytes(), pointers.len());
    println!(
        "pointer table: {bytes} bytes, {len} entries, {} bytes each",
        bytes.div_ceil(len)
    );
    let hints = Hints::new(10_000);
    println!(
        "hints: {} bytes for {} chats",
        hints.bytes(),
        hints.capacity()
    );
    let ranking = ranking(1_300, 1);
    let (median, most) = micros(|n| {
        black_box(pointers.hint(
            &Ask {
                chat: ChatKey(n),
                prefix: Some(PrefixKey(n)),
                returning: true,
                redirect: true,
            },
            &ranking,
        ));
        black_box(pointers.cached(n));
    });
    let fewer = self::ranking(1_299, 1);
    let start = StdInstant::now();
    let chunk = pointers.moved(Instant::ZERO, &ranking, &fewer, 0, usize::MAX);
    let elapsed = start.elapsed().as_secs_f64() * 1e3;
    let notes = chunk.notes.len();
    println!("one leaves of 1300: {notes} notes of {len} entries in {elapsed:.1} ms");
    println!("pointer look-up: {median:.3} {most:.3} microseconds");
}
