// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Changes of engines and routers, and the delays until others know of them.

use std::rc::Rc;

use peppercrank_admit::Input;
use peppercrank_core::names::TargetName;
use peppercrank_core::objects::Mark;
use peppercrank_core::objects::MarkAction;
use peppercrank_core::refusal::MayHaveRun;
use peppercrank_route::Event;

use super::BEST_HELD_MAX_ENGINES;
use super::ScheduledEvent;
use super::Simulation;
use super::ranking_of;
use crate::churn::ChurnStep;
use crate::churn::VIEW_DELAY_MS;
use crate::engine::Engine;
use crate::engine::target_key;
use crate::router::Router;
use crate::ways::Strategy;

impl Simulation<'_> {
    pub(super) fn apply_churn(&mut self, step: ChurnStep) {
        match step {
            ChurnStep::Up(n) => self.start_engine(n),
            ChurnStep::Down(n) => self.fail_engine(n),
            ChurnStep::Mark(n) => {
                self.leaving[n] = true;
                let target = TargetName::new(&format!("engine-{n}")).expect("well formed");
                let mark = Mark {
                    target,
                    action: MarkAction::Shutdown,
                    grace_ms: 0,
                };
                self.admission_input(n, Input::Marked(mark));
            }
            ChurnStep::Unmark(n) => {
                self.leaving[n] = false;
                self.admission_input(n, Input::Unmarked);
            }
            ChurnStep::Routers => {
                self.replace_routers(1_000_000);
                return;
            }
        }
        // Changes at the same time become known at the same time.
        if self.last_change_ms == Some(self.now_ms) {
            return;
        }
        self.last_change_ms = Some(self.now_ms);
        self.schedule_at(self.now_ms + VIEW_DELAY_MS, ScheduledEvent::ViewUpdate);
        let late = VIEW_DELAY_MS + self.churn.late_view_ms();
        self.schedule_at(self.now_ms + late, ScheduledEvent::LateViewUpdate);
    }

    fn start_engine(&mut self, n: usize) {
        let incarnation = self.engines[n].incarnation + 1;
        let at = self.instant();
        let memory = self.workload.cache_tokens;
        self.engines[n] = Engine::new(at, n, self.strategy, memory, incarnation);
        self.engines[n].pointers.joined(at);
    }

    /// Fails an engine; all its requests end with an unknown outcome.
    fn fail_engine(&mut self, n: usize) {
        self.forget_engine_load(n);
        self.engines[n].up = false;
        self.engines[n].waiting_cost = 0;
        let there = self.active.iter_mut();
        let there = there.filter(|(_, flight)| flight.engine == n);
        let cut = there.map(|(turn, flight)| {
            flight.is_waiting = false;
            let event = Event::MayHaveRun {
                attempt: flight.attempt,
                reason: MayHaveRun::Cut,
            };
            (*turn, event)
        });
        self.pending_events.extend(cut.collect::<Vec<_>>());
    }

    /// Updates the ranking to the engines that take new work, which is the view of the agents.
    pub(super) fn refresh_ranking(&mut self) {
        let able = |n: &usize| self.engines[*n].up && !self.leaving[*n];
        let live: Vec<usize> = (0..self.engines.len()).filter(able).collect();
        self.ranking = ranking_of(&live);
        self.live = Rc::new(live);
        if self.engines.len() > BEST_HELD_MAX_ENGINES {
            return;
        }
        let starts: Vec<u64> = self.engines.iter().map(|e| e.incarnation).collect();
        for engine in &mut self.engines {
            for (n, incarnation) in starts.iter().enumerate() {
                engine.pointers.restarted(target_key(n), *incarnation);
            }
        }
    }

    /// Updates the view of agents and of every second router, and hands over pointers that moved.
    pub(super) fn update_views(&mut self) {
        let old = self.ranking.clone();
        self.refresh_ranking();
        for router in self.routers.iter_mut().step_by(2) {
            router.set_ranking(&self.ranking, &self.live);
        }
        if self.strategy != Strategy::Peppercrank {
            return;
        }
        let at = self.instant();
        for n in 0..self.engines.len() {
            if !self.engines[n].up {
                continue;
            }
            let pointers = &self.engines[n].pointers;
            let chunk = pointers.moved(at, &old, &self.ranking, 0, usize::MAX);
            for note in chunk.notes {
                self.deliver_note(&note);
            }
        }
    }

    /// Updates the view of the other routers.
    pub(super) fn update_late_views(&mut self) {
        for router in self.routers.iter_mut().skip(1).step_by(2) {
            router.set_ranking(&self.ranking, &self.live);
        }
    }

    pub(super) fn replace_routers(&mut self, seed: u64) {
        let seeds = (0..self.workload.routers as u64).map(|n| seed + n);
        let routers = seeds.map(|seed| Router::new(seed, &self.ranking, &self.live));
        self.routers = routers.collect();
    }
}
