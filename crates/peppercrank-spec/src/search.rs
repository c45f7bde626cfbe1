// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Explicit-state model checking: visits every reachable state of a model, or finds the shortest
//! path to a state that violates a property.

use std::fmt;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;

/// `Model` is a specification: its states, its steps, and the properties that no state may violate.
pub trait Model {
    /// State of all processes, the store and the network.
    type State: Clone + Eq + Hash + Debug;
    /// Transition between two states.
    type Step: Debug;
    /// Returns the initial state.
    fn initial_state(&self) -> Self::State;
    /// Returns each step enabled in `state`, with the state that it leads to.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Step, Self::State)>;
    /// Returns the properties that `state` violates.
    fn violations(&self, state: &Self::State) -> Vec<&'static str>;
}

/// `Coverage` is the size of a completely visited state space.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Coverage {
    /// Number of distinct states.
    pub states: usize,
    /// Length of the longest of the shortest paths to any state, in steps.
    pub depth: usize,
}

impl fmt::Display for Coverage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} states, depth {}", self.states, self.depth)
    }
}

/// `Counterexample` is a shortest path to a state that violates a property.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counterexample {
    /// Violated property.
    pub property: &'static str,
    /// Steps in order, formatted with [`Debug`].
    pub steps: Vec<String>,
}

impl fmt::Display for Counterexample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "violates: {}", self.property)?;
        for (i, step) in self.steps.iter().enumerate() {
            writeln!(f, "{:>3}. {step}", i + 1)?;
        }
        Ok(())
    }
}

impl std::error::Error for Counterexample {}

/// Visits every reachable state of `model`.
///
/// # Errors
///
/// Returns a shortest [`Counterexample`] if a reachable state violates a property.
pub fn check<M: Model>(model: &M) -> Result<Coverage, Counterexample> {
    let mut reach = bfs_reach(model.initial_state(), |s| successors(model, s));
    let mut coverage = Coverage {
        states: 0,
        depth: 0,
    };
    // The search is breadth-first: when the last state of a level is expanded, the states left to
    // visit are those of the next level.
    let mut level = 1;
    while let Some(state) = reach.next() {
        if !model.violations(&state).is_empty() {
            return Err(
                shortest_counterexample(model, |_| true).unwrap_or(Counterexample {
                    property: "violated, but not reproduced by the second search",
                    steps: Vec::new(),
                }),
            );
        }
        coverage.states += 1;
        level -= 1;
        if level == 0 {
            level = reach.remaining_nodes_low_bound();
            coverage.depth += usize::from(level > 0);
        }
    }
    Ok(coverage)
}

/// Returns a shortest path to a state that violates `property`, or `None` if there is none.
pub fn find_counterexample<M: Model>(model: &M, property: &'static str) -> Option<Counterexample> {
    shortest_counterexample(model, |p| p == property)
}

fn shortest_counterexample<M: Model>(
    model: &M,
    counts: impl Fn(&'static str) -> bool,
) -> Option<Counterexample> {
    let bad = |s: &M::State| model.violations(s).into_iter().find(|p| counts(p));
    let start = model.initial_state();
    let path = bfs(&start, |s| successors(model, s), |s| bad(s).is_some())?;
    let property = bad(path.last()?)?;
    let pairs = path.iter().zip(path.iter().skip(1));
    let steps = pairs.filter_map(|(from, to)| describe_step(model, from, to));
    Some(Counterexample {
        property,
        steps: steps.collect(),
    })
}

fn successors<M: Model>(model: &M, state: &M::State) -> Vec<M::State> {
    model.steps(state).into_iter().map(|s| s.1).collect()
}

/// Formats the step between two states.
fn describe_step<M: Model>(model: &M, from: &M::State, to: &M::State) -> Option<String> {
    let mut steps = model.steps(from).into_iter();
    let found = steps.find(|(_, s)| s == to);
    found.map(|(step, _)| format!("{step:?}"))
}
