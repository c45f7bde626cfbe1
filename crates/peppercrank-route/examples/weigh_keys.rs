// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Weighs what a chat is ranked by: preference of the own zone, and the length of the prefix.
//!
//! `cargo run --release -p peppercrank-route --example weigh_keys`

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the counts of a trial are small and never negative"
)]

use std::collections::HashMap;
use std::collections::HashSet;

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::keys::ChatKey;
use peppercrank_route::RankKey;
use peppercrank_route::Ranking;
use peppercrank_route::prefix::Part;
use peppercrank_route::prefix::lead;
use peppercrank_route::rank::TargetHash;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::KeyData;

/// Chats in each run.
const CHATS: u64 = 20_000;

/// Engines in the runs of prefixes.
const ENGINES: u64 = 9;

/// A ranking as a router of zone 0 of `zones` makes it when it favours that zone.
fn ranking(targets: u64, zones: u64, own: u64, favour: u32) -> Ranking {
    Ranking::new((0..targets).map(|n| {
        let key = TargetKey::from(KeyData::from_ffi(1 << 32 | n));
        let hash = TargetHash::of(&format!("engine-{n}"));
        let weight = if n % zones == own { favour } else { 10 };
        (key, hash, weight)
    }))
}

/// Prints how often routers of two zones agree on a chat's home when each favours its own zone.
fn weigh_zones() {
    println!("favour  targets  zones  two routers agree  home in the own zone");
    for (targets, zones) in [(9, 4), (1_300, 15)] {
        for favour in [10, 15, 20, 40, 80] {
            let here = ranking(targets, zones, 0, favour);
            let there = ranking(targets, zones, 1, favour);
            let mut rng = ChaCha8Rng::seed_from_u64(1);
            let (mut agree, mut local) = (0_u64, 0_u64);
            for _ in 0..CHATS {
                let key = RankKey(rng.random());
                let home = here.home(key);
                agree += u64::from(home == there.home(key));
                let index = home.map(|h| slotmap::Key::data(&h).as_ffi() & 0xffff_ffff);
                local += u64::from(index.is_some_and(|n| n % zones == 0));
            }
            let share = |n: u64| 100.0 * n as f64 / CHATS as f64;
            println!(
                "{:5.1}x {targets:8} {zones:6} {:17.1}% {:20.1}%",
                f64::from(favour) / 10.0,
                share(agree),
                share(local),
            );
        }
    }
}

/// `Document` is what chats of a trace begin with.
#[derive(Debug, Clone)]
struct Document {
    system: String,
    text: String,
}

/// Text of `bytes` bytes that no other seed gives.
fn text(seed: u64, bytes: usize) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    (0..bytes)
        .map(|_| char::from(rng.random_range(b'a'..=b'z')))
        .collect()
}

/// Long documents behind one short system prompt, or short ones behind few long prompts.
fn documents(long: bool) -> Vec<Document> {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let prompts: Vec<String> = (0..10)
        .map(|n| text(n, if long { 1_200 } else { 6_000 }))
        .collect();
    let count = if long { 400 } else { 4_000 };
    (0..count)
        .map(|n| {
            let prompt = if long { 0 } else { n as usize % prompts.len() };
            let even: f64 = rng.random_range(0.0..1.0);
            // 4 to 200 KB, or 0.2 to 20 KB, evenly on the scale of logarithms.
            let bytes = if long {
                4_000.0 * 50.0_f64.powf(even)
            } else {
                200.0 * 100.0_f64.powf(even)
            };
            Document {
                system: prompts[prompt].clone(),
                text: text(100 + n, bytes as usize),
            }
        })
        .collect()
}

/// Prints, for blocks of several lengths, what is reused of the leads of new chats, and the skew.
fn weigh_blocks(name: &str, long: bool) {
    let documents = documents(long);
    println!(
        "{name}: block, chats with a key, lead reused of what could be, most/mean of bytes left"
    );
    for block in [0, 256, 1_024, 4_096, 16_384, 65_536] {
        let ranking = ranking(ENGINES, 4, 0, 10);
        let mut rng = ChaCha8Rng::seed_from_u64(3);
        let mut held: HashSet<(TargetKey, u64)> = HashSet::new();
        let mut known: HashSet<u64> = HashSet::new();
        let mut load: HashMap<TargetKey, usize> = HashMap::new();
        let (mut keyed, mut reused, mut possible) = (0, 0, 0);
        for _ in 0..CHATS {
            // Squared, so that few documents take most of the traffic.
            let even: f64 = rng.random_range(0.0..1.0);
            let at = (even.powi(3) * documents.len() as f64) as usize;
            let document = &documents[at];
            let question = text(rng.random(), 120);
            let parts = [
                Part {
                    role: "system",
                    text: &document.system,
                },
                Part {
                    role: "user",
                    text: &document.text,
                },
                Part {
                    role: "user",
                    text: &question,
                },
            ];
            let prefix = lead("m", &parts, block).prefix;
            keyed += usize::from(prefix.is_some());
            let Some(home) = ranking.home(RankKey::of(ChatKey(rng.random()), prefix)) else {
                continue;
            };
            let bytes = document.text.len();
            let hit = !held.insert((home, at as u64));
            possible += if known.insert(at as u64) { 0 } else { bytes };
            reused += if hit { bytes } else { 0 };
            *load.entry(home).or_default() += if hit { 120 } else { bytes + 120 };
        }
        let most = load.values().max().copied().unwrap_or_default() as f64;
        let mean = load.values().sum::<usize>() as f64 / ENGINES as f64;
        println!(
            "{block:7} {:6.1}% {:6.1}% {:6.2}",
            100.0 * f64::from(keyed as u32) / CHATS as f64,
            100.0 * reused as f64 / possible as f64,
            most / mean,
        );
    }
}

fn main() {
    weigh_zones();
    weigh_blocks("long documents, one short system prompt", true);
    weigh_blocks("short documents, ten long system prompts", false);
}
