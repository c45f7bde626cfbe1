// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Orders to the engine: none reaches it after a newer holder's.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::StatusCode;
use peppercrank_core::events::Event;
use peppercrank_lease::gate::Action;
use peppercrank_lease::gate::Engine;
use peppercrank_lease::gate::Gate;
use peppercrank_lease::gate::Input;
use peppercrank_lease::gate::Order;
use peppercrank_lease::gate::OrderId;
use peppercrank_lease::gate::Outcome;
use peppercrank_lease::gate::Policy;
use peppercrank_lease::gate::Reply;
use peppercrank_lease::lease::KIND;
use peppercrank_lease::lease::Lease;
use peppercrank_lease::store::Answer;
use peppercrank_lease::store::CallId;
use peppercrank_lease::store::Version;
use peppercrank_wire::body;
use peppercrank_wire::client::Reuse;
use peppercrank_wire::client::SendError;
use peppercrank_wire::platform::Failure;
use peppercrank_wire::platform::Fetched;
use peppercrank_wire::platform::Object;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::agent::Agent;
use crate::fleet::control::Given;

/// Time for the engine to answer an order; then its fate counts as unknown.
const ENGINE: Duration = Duration::from_secs(5);

/// Results that may wait to be read.
const RESULTS: usize = 64;

/// `Desk` drives the gate of one agent.
struct Desk {
    agent: Arc<Agent>,
    gate: Gate,
    /// Who wants to know what became of each order.
    waiting: HashMap<OrderId, Vec<oneshot::Sender<String>>>,
    results: mpsc::Sender<Input>,
}

/// `run` takes orders in until none can come any more.
pub async fn run(agent: Arc<Agent>, mut orders: mpsc::Receiver<Given>) {
    let engine = if agent.settings.target.checks_orders {
        Engine::Checks
    } else {
        Engine::Ignores
    };
    let policy = Policy {
        engine,
        ..Policy::default()
    };
    let gate = Gate::new(policy, agent.clock.now());
    let (results, mut heard) = mpsc::channel(RESULTS);
    let mut desk = Desk {
        agent,
        gate,
        waiting: HashMap::new(),
        results,
    };
    loop {
        let wake = desk
            .gate
            .wake()
            .map(|at| desk.agent.clock.timer_instant(at).into());
        let timer = async {
            match wake {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            given = orders.recv() => match given {
                Some(given) => desk.take(given),
                None => return,
            },
            Some(input) = heard.recv() => desk.put(input),
            () = timer => desk.put(Input::Tick),
        }
    }
}

impl Desk {
    fn take(&mut self, given: Given) {
        let Ok(command) = serde_json::from_str(&given.order.order) else {
            let _told = given.told.send(r#""malformed""#.to_owned());
            return;
        };
        let id = OrderId(given.order.id);
        let fence = Version(given.order.fence);
        let seq = given.order.seq;
        self.waiting.entry(id).or_default().push(given.told);
        self.put(Input::Order(Order {
            id,
            fence,
            seq,
            command,
        }));
    }

    fn put(&mut self, input: Input) {
        let now = self.agent.clock.now();
        for action in self.gate.on(now, input) {
            match action {
                Action::Read { call } => self.read(call),
                Action::Pass(order) => self.pass(order),
                Action::Tell { id, outcome } => self.tell(id, outcome),
            }
        }
    }

    /// Reads the lease of the target's pool, on a thread that may block.
    fn read(&self, call: CallId) {
        let platform = self.agent.fleet.platform.clone();
        let pool = self.agent.settings.target.pool.clone();
        let results = self.results.clone();
        tokio::task::spawn_blocking(move || {
            let answer = lease(platform.get(KIND, pool.as_str()));
            // The desk ends with the agent; then nobody waits for the answer.
            let _heard = results.blocking_send(Input::Lease { call, answer });
        });
    }

    fn pass(&self, order: Order) {
        let agent = Arc::clone(&self.agent);
        let results = self.results.clone();
        tokio::spawn(async move {
            let id = order.id;
            let reply = timeout(ENGINE, pass(&agent, &order))
                .await
                .unwrap_or(Reply::Unknown);
            let about = format!("{:032x} fence {} {reply:?}", id.0, order.fence.0);
            agent.fleet.log.write_about(Event::OrderPassed, &about);
            let _heard = results.send(Input::Engine { id, reply }).await;
        });
    }

    fn tell(&mut self, id: OrderId, outcome: Outcome) {
        if let Outcome::Stale { least } = outcome {
            let about = format!("{:032x} fence below {}", id.0, least.0);
            self.agent
                .fleet
                .log
                .write_about(Event::OrderRefused, &about);
        }
        let text = serde_json::to_string(&outcome).unwrap_or_default();
        for asker in self.waiting.remove(&id).unwrap_or_default() {
            // One that no longer waits sends its order again, and is told then.
            let _told = asker.send(text.clone());
        }
    }
}

fn lease(read: Result<Fetched, Failure>) -> Answer<Lease> {
    match read {
        Ok(Fetched::Found(Object {
            version,
            body: Some(body),
        })) => match serde_json::from_value(body) {
            Ok(body) => Answer::Found {
                version: Version(version),
                body,
            },
            Err(_) => Answer::Failed { after: None },
        },
        Ok(Fetched::Found(_) | Fetched::Absent) => Answer::Absent,
        Err(Failure::Throttled(after)) => Answer::Failed { after },
        Err(_) => Answer::Failed { after: None },
    }
}

async fn pass(agent: &Agent, order: &Order) -> Reply {
    let text = json!({ "fence": order.fence.0, "order": order.command }).to_string();
    let request = Request::post("/orders")
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(body::full(text));
    let Ok(request) = request else {
        return Reply::Refused;
    };
    // A kept connection may close under the order, and then nobody knows whether it was obeyed.
    match agent
        .client
        .send(agent.settings.target.address, request, Reuse::Never)
        .await
    {
        Ok(answer) if answer.status() == StatusCode::OK => Reply::Obeyed,
        Ok(answer) if answer.status().is_client_error() => Reply::Refused,
        Err(SendError::NotSent(_)) => Reply::Refused,
        Ok(_) | Err(SendError::MayHaveBeenSent(_)) => Reply::Unknown,
    }
}
