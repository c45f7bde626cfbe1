// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The search itself, on a model whose states can be counted by hand.

use peppercrank_spec::search::Coverage;
use peppercrank_spec::search::Model;
use peppercrank_spec::search::check;
use peppercrank_spec::search::find_counterexample;

/// Property: the two numbers are never both equal to the bad one.
const MET: &str = "both met";

/// Two numbers, each of which counts up to a bound.
struct Pair {
    bound: u8,
    bad: Option<u8>,
}

impl Model for Pair {
    type State = (u8, u8);
    type Step = &'static str;

    fn initial_state(&self) -> (u8, u8) {
        (0, 0)
    }

    fn steps(&self, (a, b): &(u8, u8)) -> Vec<(&'static str, (u8, u8))> {
        let mut steps = Vec::new();
        if *a < self.bound {
            steps.push(("left", (a + 1, *b)));
        }
        if *b < self.bound {
            steps.push(("right", (*a, b + 1)));
        }
        steps
    }

    fn violations(&self, (a, b): &(u8, u8)) -> Vec<&'static str> {
        let met = a == b && Some(*a) == self.bad;
        met.then_some(MET).into_iter().collect()
    }
}

#[test]
fn verify_every_state_is_visited_and_the_depth_is_right() {
    for bound in 0..6 {
        let coverage = check(&Pair { bound, bad: None });
        let side = usize::from(bound) + 1;
        let states = side * side;
        let depth = 2 * usize::from(bound);
        assert_eq!(coverage, Ok(Coverage { states, depth }));
    }
}

#[test]
fn verify_the_shortest_way_to_a_violation_is_shown() {
    let model = Pair {
        bound: 5,
        bad: Some(2),
    };
    let found = find_counterexample(&model, MET).expect("it can be reached");
    assert_eq!((found.property, found.steps.len()), (MET, 4));
    assert_eq!(check(&model), Err(found));
    assert_eq!(find_counterexample(&model, "another property"), None);
}
