// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Engines that come, go and fail, and who knows of it when.

use std::rc::Rc;

use peppercrank_admit::Input;
use peppercrank_core::names::TargetName;
use peppercrank_core::objects::Mark;
use peppercrank_core::objects::MarkAction;
use peppercrank_core::refusal::MayHaveRun;
use peppercrank_route::Event;

use super::FEW;
use super::Happening;
use super::World;
use super::rank;
use crate::churn::Step;
use crate::churn::VIEW_MS;
use crate::engine::Engine;
use crate::engine::key;
use crate::router::Router;
use crate::ways::Way;

impl World<'_> {
    pub(super) fn change(&mut self, step: Step) {
        match step {
            Step::Up(n) => self.start(n),
            Step::Down(n) => self.break_down(n),
            Step::Mark(n) => {
                self.leaving[n] = true;
                let target = TargetName::new(&format!("engine-{n}")).expect("well formed");
                let mark = Mark {
                    target,
                    action: MarkAction::Shutdown,
                    grace_ms: 0,
                };
                self.put(n, Input::Marked(mark));
            }
            Step::Unmark(n) => {
                self.leaving[n] = false;
                self.put(n, Input::Unmarked);
            }
            Step::Routers => {
                self.replace_routers(1_000_000);
                return;
            }
        }
        // What changes at one moment is seen at one moment.
        if self.seen == Some(self.now) {
            return;
        }
        self.seen = Some(self.now);
        self.plan(self.now + VIEW_MS, Happening::View);
        let late = VIEW_MS + self.churn.lag();
        self.plan(self.now + late, Happening::LateView);
    }

    fn start(&mut self, n: usize) {
        let incarnation = self.engines[n].incarnation + 1;
        let at = self.at();
        let memory = self.shape.memory;
        self.engines[n] = Engine::new(at, n, self.way, memory, incarnation);
        self.engines[n].pointers.joined(at);
    }

    /// Ends all that was at an engine with an unknown fate.
    fn break_down(&mut self, n: usize) {
        self.drop_load(n);
        self.engines[n].up = false;
        self.engines[n].waiting = 0;
        let there = self.flights.iter_mut();
        let there = there.filter(|(_, flight)| flight.engine == n);
        let cut = there.map(|(turn, flight)| {
            flight.waits = false;
            let event = Event::MayHaveRun {
                attempt: flight.attempt,
                reason: MayHaveRun::Cut,
            };
            (*turn, event)
        });
        self.news.extend(cut.collect::<Vec<_>>());
    }

    /// Puts the engines that take new work in the agents' view.
    pub(super) fn look(&mut self) {
        let able = |n: &usize| self.engines[*n].up && !self.leaving[*n];
        let live: Vec<usize> = (0..self.engines.len()).filter(able).collect();
        self.ranking = rank(&live);
        self.live = Rc::new(live);
        if self.engines.len() > FEW {
            return;
        }
        let starts: Vec<u64> = self.engines.iter().map(|e| e.incarnation).collect();
        for engine in &mut self.engines {
            for (n, incarnation) in starts.iter().enumerate() {
                engine.pointers.restarted(key(n), *incarnation);
            }
        }
    }

    /// Agents and every second router know of a change; pointers are handed over.
    pub(super) fn view(&mut self) {
        let old = self.ranking.clone();
        self.look();
        for router in self.routers.iter_mut().step_by(2) {
            router.see(&self.ranking, &self.live);
        }
        if self.way != Way::Ours {
            return;
        }
        let at = self.at();
        for n in 0..self.engines.len() {
            if !self.engines[n].up {
                continue;
            }
            let pointers = &self.engines[n].pointers;
            let chunk = pointers.moved(at, &old, &self.ranking, 0, usize::MAX);
            for told in chunk.notes {
                self.tell(&told);
            }
        }
    }

    /// The other routers know of it.
    pub(super) fn view_late(&mut self) {
        for router in self.routers.iter_mut().skip(1).step_by(2) {
            router.see(&self.ranking, &self.live);
        }
    }

    pub(super) fn replace_routers(&mut self, seed: u64) {
        let seeds = (0..self.shape.routers as u64).map(|n| seed + n);
        let routers = seeds.map(|seed| Router::new(seed, &self.ranking, &self.live));
        self.routers = routers.collect();
    }
}
