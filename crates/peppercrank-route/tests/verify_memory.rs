// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! What a router reads from a chat and remembers: prefix keys, hints, the spread of hot prefixes.

use peppercrank_core::blackboard::TargetKey;
use peppercrank_core::keys::ChatKey;
use peppercrank_core::keys::PrefixKey;
use peppercrank_core::time::Instant;
use peppercrank_route::Hints;
use peppercrank_route::Spread;
use peppercrank_route::prefix::Part;
use peppercrank_route::prefix::lead;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::KeyData;

fn target(n: u64) -> TargetKey {
    TargetKey::from(KeyData::from_ffi(1 << 32 | n))
}

fn parts<'a>(texts: &[(&'a str, &'a str)]) -> Vec<Part<'a>> {
    texts
        .iter()
        .map(|(role, text)| Part { role, text })
        .collect()
}

/// Messages, `d` for a long document and `s` for a short text | block in bytes | has a key | returns.
const LEADS: &str = "
                                | 1024 | false | false
user:s                          | 1024 | false | false
user:d                          | 0    | false | false
user:d                          | 1024 | true  | false
user:s                          | 6    | true  | false
user:s                          | 7    | false | false
system:s user:d                 | 1024 | true  | false
user:s assistant:d              | 1024 | false | true
user:s assistant:d user:d       | 1024 | false | true
user:d assistant:s user:s       | 1024 | true  | true
";

#[test]
fn verify_a_prefix_key_is_of_the_text_before_the_first_answer() {
    let long = "A judgment. ".repeat(400);
    let text = |kind| if kind == "d" { long.as_str() } else { "Hello." };
    for line in LEADS.trim_matches('\n').lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let messages = cells[0]
            .split_whitespace()
            .map(|m| m.split_once(':').unwrap());
        let texts: Vec<(&str, &str)> = messages.map(|(role, kind)| (role, text(kind))).collect();
        let lead = lead("m", &parts(&texts), cells[1].parse().unwrap());
        assert_eq!(lead.prefix.is_some().to_string(), cells[2], "{line}");
        assert_eq!(lead.returning.to_string(), cells[3], "{line}");
    }
}

#[test]
fn verify_equal_leads_share_a_key_and_others_do_not() {
    let long = "A judgment. ".repeat(400);
    let other = "An appeal.. ".repeat(400);
    let key = |model, texts: &[(&str, &str)]| lead(model, &parts(texts), 2_048).prefix;
    let base = key("m", &[("system", &long), ("user", "Digest it.")]);
    let grown = [
        ("system", long.as_str()),
        ("user", "Who won?"),
        ("assistant", "A."),
    ];
    let same = key("m", &grown);
    assert_eq!(base, same);
    for differing in [
        key("n", &[("system", &long)]),
        key("m", &[("user", &long)]),
        key("m", &[("system", &other)]),
        key("m", &[("system", &long[..600]), ("system", &long[600..])]),
    ] {
        assert!(differing.is_some() && differing != base);
    }
    // A cut within a character of several bytes is no fault.
    assert!(lead("m", &parts(&[("user", "ääääää")]), 3).prefix.is_some());
}

#[test]
fn verify_hints_forget_the_oldest_and_stay_bounded() {
    let mut rng = ChaCha8Rng::seed_from_u64(8);
    let mut hints = Hints::new(1_000);
    let (bytes, capacity) = (hints.bytes(), hints.capacity());
    let chats: Vec<ChatKey> = (0..10_000).map(|_| ChatKey(rng.random())).collect();
    for (chat, second) in chats.iter().zip(0..) {
        hints.put(Instant::from_millis(second * 1_000), *chat, target(second));
        assert_eq!(hints.get(*chat), Some(target(second)));
    }
    assert_eq!((hints.bytes(), hints.capacity()), (bytes, capacity));
    let kept = |chat: &&ChatKey| hints.get(**chat).is_some();
    let latest = chats[9_800..].iter().filter(kept).count();
    assert!(latest >= 190, "{latest} of the latest 200");
    assert_eq!(hints.get(chats[0]), None);
    hints.remove(chats[9_999]);
    assert_eq!(hints.get(chats[9_999]), None);
}

#[test]
fn verify_a_home_is_told_once_of_each_target() {
    let mut hints = Hints::new(100);
    // Served by, home, whether the home pointed there, whether it is to be told.
    let cases = [
        (1, 1, false, false),
        (2, 1, false, true),
        (2, 1, false, false),
        (3, 1, true, false),
        (3, 1, false, false),
        (3, 4, false, true),
        (2, 4, false, true),
    ];
    for (step, (served, home, knew, tell)) in cases.into_iter().enumerate() {
        let told = hints.served(
            Instant::ZERO,
            ChatKey(1),
            target(served),
            target(home),
            knew,
        );
        assert_eq!(told, tell, "step {step}");
    }
}

#[test]
fn verify_a_spread_settles_where_few_first_tries_are_refused() {
    // Demand of one prefix in multiples of what a target takes, least and most breadth.
    let cases = [(0.5, 1, 1), (1.8, 2, 4), (20.0, 20, 32), (200.0, 200, 320)];
    for (demand, least, most) in cases {
        let mut rng = ChaCha8Rng::seed_from_u64(3);
        let mut spread = Spread::new(64);
        let prefix = PrefixKey(1);
        let mut refused = 0;
        let mut sum = 0.0;
        for n in 0..40_000 {
            let breadth = f64::from(spread.breadth(Some(prefix)));
            // The targets of a spread take their parts; what is over is refused.
            let over = (1.0 - breadth / demand).clamp(0.02, 1.0) * f64::from(demand > 1.0);
            let refuse = rng.random_bool(over);
            if refuse {
                spread.refused(Instant::ZERO, prefix);
            } else {
                spread.admitted(Instant::ZERO, prefix);
            }
            if n >= 20_000 {
                refused += u32::from(refuse);
                sum += breadth;
            }
        }
        let mean = sum / 20_000.0;
        let fits = f64::from(least) * 0.9..=f64::from(most);
        assert!(fits.contains(&mean), "demand {demand}: breadth {mean}");
        assert!(refused <= 1_200, "demand {demand}: {refused} of 20,000");
    }
    assert_eq!(Spread::new(8).breadth(None), 1);
}
