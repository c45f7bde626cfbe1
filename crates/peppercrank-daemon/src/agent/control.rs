// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The controllers that keep the admission and the pointers in step with the fleet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use peppercrank_admit::Input;
use peppercrank_core::events::Event;
use peppercrank_core::names::OrganisationName;
use peppercrank_core::objects::Mark;
use peppercrank_core::objects::Parameters;
use peppercrank_core::objects::PoolPolicy;
use peppercrank_route::Note;
use peppercrank_route::Ranking;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::agent::Agent;
use crate::fleet::lock;

/// Time between two reports of the load, and two readings of the mean.
const LOAD_PERIOD: Duration = Duration::from_millis(200);

/// Entries of the pointer table that one step of a hand-over looks at.
const STEP: usize = 1_024;

/// Time between two steps of a hand-over, so that its notes fit the control budget.
const STEP_PERIOD: Duration = Duration::from_millis(50);

/// Starts the controllers.
pub(super) fn start(agent: &Arc<Agent>, notes: mpsc::Receiver<Note>) {
    let desk = Arc::clone(&agent.desk);
    tokio::spawn(async move { desk.tick().await });
    tokio::spawn(follow_load(Arc::clone(agent)));
    tokio::spawn(follow_changes(Arc::clone(agent)));
    tokio::spawn(follow_touch(Arc::clone(agent)));
    tokio::spawn(follow_ranking(Arc::clone(agent)));
    tokio::spawn(learn(Arc::clone(agent), notes));
}

/// Tells the load to peers, and the mean to the admission.
async fn follow_load(agent: Arc<Agent>) {
    loop {
        let status = agent.desk.status();
        agent.fleet.report(agent.desk.demand(), status.leaving);
        agent.metrics.load.set(gauge(status.reserved.0));
        agent.metrics.cap.set(gauge(status.cap.0));
        agent.metrics.waiting.set(gauge(status.waiting as u64));
        agent.metrics.open.set(gauge(status.running as u64));
        if let Some(mean) = agent.fleet.mean(agent.pool()) {
            agent.desk.put(Input::MeanHeard(mean));
        }
        sleep(LOAD_PERIOD).await;
    }
}

fn gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

/// What the configuration says for this agent.
#[derive(Debug, Default)]
struct Wanted {
    policy: Option<PoolPolicy>,
    mark: Option<Mark>,
    organisations: BTreeMap<OrganisationName, Option<Parameters>>,
}

/// Keeps policy, parameters and mark as the configuration says.
async fn follow_changes(agent: Arc<Agent>) {
    let mut changes = agent.fleet.changes();
    let mut known = Wanted::default();
    loop {
        changes.borrow_and_update();
        let wanted = read(&agent);
        apply(&agent, &known, &wanted);
        known = wanted;
        let targets = u32::try_from(agent.fleet.board().targets.len()).unwrap_or(u32::MAX);
        agent.desk.put(Input::TargetsHeard(targets));
        if changes.changed().await.is_err() {
            return;
        }
    }
}

fn read(agent: &Agent) -> Wanted {
    agent.fleet.with_store(|store| Wanted {
        policy: store.pool(agent.pool()).map(|p| p.policy.clone()),
        mark: store.mark(&agent.settings.target.name).cloned(),
        organisations: store
            .organisations()
            .map(|o| (o.name.clone(), o.parameters.clone()))
            .collect(),
    })
}

fn apply(agent: &Agent, known: &Wanted, wanted: &Wanted) {
    if let Some(policy) = wanted
        .policy
        .as_ref()
        .filter(|p| known.policy.as_ref() != Some(p))
    {
        agent.desk.put(Input::PolicyChanged(policy.clone()));
    }
    for name in known.organisations.keys() {
        if !wanted.organisations.contains_key(name) {
            agent.desk.put(Input::ParametersChanged(name.clone(), None));
        }
    }
    for (name, parameters) in &wanted.organisations {
        if known.organisations.get(name) != Some(parameters) {
            agent
                .desk
                .put(Input::ParametersChanged(name.clone(), parameters.clone()));
        }
    }
    if known.mark == wanted.mark {
        return;
    }
    match &wanted.mark {
        Some(mark) => {
            let about = agent.settings.target.name.as_str();
            agent.fleet.log.write_about(Event::TargetLeaving, about);
            agent.desk.put(Input::Marked(mark.clone()));
        }
        None => agent.desk.put(Input::Unmarked),
    }
}

/// Tells the admission, again and again, that the process is in touch while it is.
async fn follow_touch(agent: Arc<Agent>) {
    loop {
        if agent.fleet.is_in_touch() {
            agent.desk.put(Input::Touched);
        }
        sleep(LOAD_PERIOD).await;
    }
}

/// Hands pointers on when the ranking changes, and says so once the target leaves.
async fn follow_ranking(agent: Arc<Agent>) {
    let mut old = agent.ranking();
    loop {
        let new = agent.ranking();
        if !Arc::ptr_eq(&old, &new) {
            hand_over(&agent, &old, &new).await;
            old = new;
        }
        // The mark may reach the admission after the ranking, so both are looked at again.
        if agent.desk.status().leaving && !old.ranks(agent.own) {
            agent.desk.put(Input::HandedOver);
        }
        sleep(LOAD_PERIOD).await;
    }
}

async fn hand_over(agent: &Agent, old: &Ranking, new: &Ranking) {
    let mut cursor = Some(0);
    while let Some(at) = cursor {
        let now = agent.clock.now();
        let chunk = lock(&agent.pointers).moved(now, old, new, at, STEP);
        for note in &chunk.notes {
            agent.fleet.tell(note);
        }
        cursor = chunk.cursor;
        if !chunk.notes.is_empty() {
            sleep(STEP_PERIOD).await;
        }
    }
}

/// Takes in the notes that others send.
async fn learn(agent: Arc<Agent>, mut notes: mpsc::Receiver<Note>) {
    while let Some(note) = notes.recv().await {
        let ranking = agent.ranking();
        lock(&agent.pointers).learn(agent.clock.now(), &note, &ranking);
    }
}
