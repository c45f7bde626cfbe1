// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Weighs spread, hints and pointers by one seeded trace through the real parts.
//!
//! Engines keep whatever they served and admit by a plain cap on requests in flight: the trial
//! tells how well contexts are found again, not how a cache or a queue behaves.
//!
//! `cargo run --release -p peppercrank-route --example trace_trial`

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the counts and times of a trial are small and never negative"
)]

mod fleet;

use peppercrank_core::hash::hash64;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::keys::PrefixKey;
use peppercrank_route::Ask;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::Churn;
use crate::fleet::Parts;
use crate::fleet::SERVICE_MS;
use crate::fleet::Size;
use crate::fleet::Totals;
use crate::fleet::Trial;

/// The document of a new chat: one in five is on the top one, three on others, one on none.
fn prefix(rng: &mut ChaCha8Rng) -> Option<PrefixKey> {
    let document = match rng.random_range(0..5) {
        0 => 0,
        1..=3 => rng.random_range(1..2_000_u64),
        _ => return None,
    };
    Some(PrefixKey(hash64(1, &document.to_be_bytes())))
}

fn run(name: &str, parts: Parts, size: Size, churn: Churn) {
    let mut rng = ChaCha8Rng::seed_from_u64(20_261_202);
    let mut trial = Trial::new(parts, size);
    let mut chats: Vec<(u64, Option<PrefixKey>, u64)> = Vec::new();
    let rate = size.engines as f64 * size.flight / SERVICE_MS;
    let total = size.seconds * 1_000;
    let mut now = 0.0;
    let mut halves = 0;
    while now < total as f64 {
        let even: f64 = rng.random_range(f64::EPSILON..1.0);
        now += -even.ln() / rate;
        let ms = now as u64;
        // The first quarter warms up, the churn comes at the half.
        if halves == 0 && ms > total / 4 || halves == 1 && ms > total / 2 {
            if halves == 1 {
                trial.churn(ms, churn);
            }
            if halves == 0 || churn != Churn::Nothing {
                trial.totals = Totals::default();
            }
            halves += 1;
        }
        let returning = !chats.is_empty() && rng.random_bool(0.7);
        let at = if returning {
            let recent = 4_000 * trial.routers.len();
            rng.random_range(chats.len().saturating_sub(recent)..chats.len())
        } else {
            chats.push((rng.random(), prefix(&mut rng), 0));
            chats.len() - 1
        };
        let (chat, prefix, turns) = chats[at];
        chats[at].2 += 1;
        let ask = Ask {
            chat: ChatKey(chat),
            prefix,
            returning,
            redirect: true,
        };
        let router = rng.random_range(0..trial.routers.len());
        trial.turn(ms, router, ask, turns, &mut rng);
    }
    let t = &trial.totals;
    let share = |part: u64, of: u64| part as f64 / of.max(1) as f64;
    println!(
        "{name:28} {:7}  {:6.2}% {:6.2}% {:6.2}%  {:5.3} {:5.3} {:5.3}  {:6.3}%  {:5.2}  {:6.3}",
        t.requests,
        100.0 * share(t.reused, t.possible),
        100.0 * share(t.reused, t.roomy),
        100.0 * share(t.met, t.returns),
        share(t.full, t.requests),
        share(t.elsewhere, t.requests),
        share(t.sends, t.requests),
        100.0 * share(t.refused, t.requests),
        t.skew,
        share(t.notes, t.requests),
    );
}

fn main() {
    let small = Size {
        engines: 9,
        routers: 3,
        flight: 16.0,
        seconds: 1_200,
        floor: 20.0,
    };
    let large = Size {
        engines: 1_300,
        routers: 370,
        flight: 16.0,
        seconds: 160,
        floor: 20.0,
    };
    let all = Parts {
        spread: true,
        hints: true,
        pointers: true,
    };
    println!(
        "{:28} requests  reuse   w.room  met     full  elsew sends  refused  skew   notes",
        ""
    );
    let bare = Parts {
        pointers: false,
        ..all
    };
    let no_spread = Parts {
        spread: false,
        ..all
    };
    let no_hints = Parts {
        hints: false,
        ..all
    };
    for (size, name) in [(small, "9"), (large, "1300")] {
        run(&format!("{name}, all parts"), all, size, Churn::Nothing);
        run(
            &format!("{name}, no spread"),
            no_spread,
            size,
            Churn::Nothing,
        );
        run(&format!("{name}, no pointers"), bare, size, Churn::Nothing);
    }
    let low = Size {
        floor: 4.0,
        ..large
    };
    run("1300, floor of 4", all, low, Churn::Nothing);
    run("9, no hints", no_hints, small, Churn::Nothing);
    for churn in [Churn::Join, Churn::Leave, Churn::Routers] {
        run(&format!("9, {churn:?}"), all, small, churn);
        run(&format!("9, {churn:?}, no pointers"), bare, small, churn);
    }
}
