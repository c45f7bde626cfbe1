// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Embeds the library's parts without the daemons: a router and three agents in virtual time.
//!
//! Everything that a daemon does by sockets and clocks is a function call here. Chats return again
//! and again; half-way through, one engine is shut down gracefully.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use peppercrank::admit::Action;
use peppercrank::admit::Admission;
use peppercrank::admit::Arrival;
use peppercrank::admit::Input;
use peppercrank::admit::Permit;
use peppercrank::admit::Releases;
use peppercrank::admit::Settings;
use peppercrank::admit::Ticket;
use peppercrank::core::blackboard::Blackboard;
use peppercrank::core::blackboard::MeanLoad;
use peppercrank::core::blackboard::Target;
use peppercrank::core::blackboard::TargetKey;
use peppercrank::core::blackboard::TargetState;
use peppercrank::core::keys::AttemptId;
use peppercrank::core::keys::ChatKey;
use peppercrank::core::keys::RequestId;
use peppercrank::core::names::OrganisationName;
use peppercrank::core::names::PoolName;
use peppercrank::core::objects;
use peppercrank::core::objects::Mark;
use peppercrank::core::objects::Parameters;
use peppercrank::core::objects::PoolPolicy;
use peppercrank::core::refusal::NotRun;
use peppercrank::core::time::Instant;
use peppercrank::core::units::Cost;
use peppercrank::route::Ask;
use peppercrank::route::Event;
use peppercrank::route::Next;
use peppercrank::route::Place;
use peppercrank::route::Pointers;
use peppercrank::route::Ranking;
use peppercrank::route::Room;
use peppercrank::route::Routes;
use peppercrank::route::Terms;

/// Requests sent, one each [`STEP`].
const REQUESTS: u64 = 2_000;

/// Chats that take turns.
const CHATS: u64 = 50;

/// Time between two requests.
const STEP: Duration = Duration::from_millis(100);

/// Time that an engine takes for a request.
const WORK: Duration = Duration::from_millis(1_500);

/// What each request is expected to cost.
const COST: Cost = Cost(1_000);

/// The engine that is shut down.
const LEAVING: &str = "engine-1";

/// `Tally` is what became of the requests.
#[derive(Debug, Default)]
pub struct Tally {
    /// Requests that ran.
    pub ran: u64,
    /// Requests of a chat that had run before.
    pub returning: u64,
    /// Those of them that met the engine which ran their chat last.
    pub met: u64,
    /// Attempts that an agent refused as not run, each tried elsewhere or given up.
    pub refused: u64,
    /// Requests that no engine took.
    pub failed: u64,
    /// Requests that the leaving engine took after it was marked.
    pub late: u64,
    /// When the leaving engine had no work left, if it came to that.
    pub drained: Option<Instant>,
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "ran                 {}", self.ran)?;
        writeln!(f, "returning           {}", self.returning)?;
        writeln!(f, "met their context   {}", self.met)?;
        writeln!(f, "attempts refused    {}", self.refused)?;
        writeln!(f, "requests refused    {}", self.failed)?;
        writeln!(f, "taken by {LEAVING} after its mark: {}", self.late)?;
        match self.drained {
            Some(at) => write!(f, "{LEAVING} drained at {:?}", at.since_origin()),
            None => write!(f, "{LEAVING} not drained"),
        }
    }
}

/// One agent with the engine beside it.
struct Agent {
    admission: Admission,
    pointers: Pointers,
    releases: Releases,
    /// What runs: each request's permit, and when the engine will be done with it.
    running: Vec<(Instant, Permit)>,
    leaving: bool,
}

impl Agent {
    fn new(own: TargetKey) -> Self {
        let admission = Admission::new(Instant::ZERO, Settings::default(), policy());
        let mut admission = admission.expect("settings in range");
        let changed = Input::ParametersChanged(organisation(), Some(parameters()));
        admission.on(Instant::ZERO, changed);
        Self {
            admission,
            pointers: Pointers::new(own, 1 << 16),
            releases: Releases::default(),
            running: Vec::new(),
            leaving: false,
        }
    }

    /// Ends what the engine is done with, and tells whether the target is drained by that.
    fn advance(&mut self, now: Instant, mean: MeanLoad) -> bool {
        // Dropping a permit is all that it takes, whatever ended the request.
        self.running.retain(|(end, _)| *end > now);
        let ended = self.releases.drain();
        let inputs = ended.into_iter().map(Input::End);
        let targets = Input::TargetsHeard(mean.target_count);
        let news = [Input::MeanHeard(mean), targets, Input::Touched];
        let mut drained = false;
        for input in inputs.chain(news) {
            let actions = self.admission.on(now, input);
            drained |= actions.contains(&Action::Drained);
        }
        drained
    }

    /// Takes one attempt in; a refusal comes with the target that holds the context.
    fn attempt(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        ask: &Ask,
        ranking: &Ranking,
        number: u64,
    ) -> Result<(), (NotRun, Option<TargetKey>)> {
        if let Place::There(target) = self.pointers.place(now, ask, ranking) {
            return Err((NotRun::Elsewhere, Some(target)));
        }
        let arrival = Arrival {
            ticket: Ticket(number),
            attempt,
            organisation: organisation(),
            cost: COST,
            priority: 5,
            deadline: now + Duration::from_secs(60),
            need: Duration::ZERO,
            // A daemon lets the last try wait; here each gets its answer at once.
            may_wait: false,
        };
        let actions = self.admission.on(now, Input::Arrive(arrival));
        match actions.first() {
            Some(Action::Admit { ticket, .. }) => {
                self.running
                    .push((now + WORK, self.releases.permit(*ticket)));
                Ok(())
            }
            Some(Action::Refuse { reason, .. }) => Err((*reason, self.pointers.hint(ask, ranking))),
            other => unreachable!("an arrival that may not wait is answered at once: {other:?}"),
        }
    }
}

/// One router, its agents, and what all of them see.
struct Fleet {
    board: Blackboard,
    routes: Routes,
    agents: BTreeMap<TargetKey, Agent>,
    /// The engine that ran each chat last.
    ran: BTreeMap<ChatKey, TargetKey>,
    tickets: u64,
    tally: Tally,
}

impl Fleet {
    fn new(engines: u16) -> Self {
        let mut board = Blackboard::default();
        let keys = (0..engines).map(|number| board.upsert(target(number)));
        let agents = keys.map(|key| (key, Agent::new(key))).collect();
        let room = Room {
            chats: 100,
            prefixes: 8,
        };
        let mut routes = Routes::new(policy().retries, 1, room);
        routes.ranking = Ranking::of_pool(&board, &pool());
        Self {
            board,
            routes,
            agents,
            ran: BTreeMap::new(),
            tickets: 0,
            tally: Tally::default(),
        }
    }

    /// Lets time pass at each agent; the mean is exact here, where gossip would bring it.
    fn advance(&mut self, now: Instant) {
        let loads = self.agents.values().map(|a| a.admission.status().reserved);
        let mean = MeanLoad {
            total_load: loads.fold(Cost::ZERO, |sum, load| Cost(sum.0 + load.0)),
            total_weight: self.agents.len() as u64 * 100,
            target_count: u32::try_from(self.agents.len()).expect("a few"),
            updated_at: now,
        };
        for agent in self.agents.values_mut() {
            if agent.advance(now, mean) {
                self.tally.drained = Some(now);
            }
        }
    }

    /// Takes one request through its attempts.
    fn request(&mut self, now: Instant, number: u64, chat: ChatKey) {
        let before = self.ran.get(&chat).copied();
        let terms = Terms {
            id: RequestId(number.into()),
            repeatable: true,
            deadline: now + Duration::from_secs(60),
            tries: policy().tries,
        };
        let (mut trip, mut next) = self.routes.begin(now, chat, None, terms);
        loop {
            let event = match next {
                Next::Send {
                    target,
                    attempt,
                    redirect,
                    ..
                } => {
                    let ask = Ask {
                        chat,
                        prefix: None,
                        returning: before.is_some(),
                        redirect,
                    };
                    match self.send(now, target, attempt, &ask) {
                        Ok(()) => {
                            let spilled = trip.is_spilled();
                            self.served(now, target, &ask, spilled);
                            Event::Done { attempt }
                        }
                        Err((reason, hint)) => {
                            self.tally.refused += 1;
                            Event::NotRun {
                                attempt,
                                reason,
                                hint,
                            }
                        }
                    }
                }
                // Nobody waits in virtual time: the moment has come.
                Next::Wait { .. } | Next::Deliver => Event::Tick,
                Next::Finish { .. } => break,
                Next::Refuse { .. } => {
                    self.tally.failed += 1;
                    return;
                }
                Next::Ignore => unreachable!("each event is of the attempt in flight"),
            };
            next = self.routes.on(now, &mut trip, event);
        }
        for told in self.routes.notes(now, &trip) {
            if let Some(home) = self.agents.get_mut(&told.to) {
                home.pointers.learn(now, &told.note, &self.routes.ranking);
            }
        }
    }

    fn send(
        &mut self,
        now: Instant,
        target: TargetKey,
        attempt: AttemptId,
        ask: &Ask,
    ) -> Result<(), (NotRun, Option<TargetKey>)> {
        self.tickets += 1;
        let Some(agent) = self.agents.get_mut(&target) else {
            return Err((NotRun::Connect, None));
        };
        agent.attempt(now, attempt, ask, &self.routes.ranking, self.tickets)
    }

    /// Notes which engine ran a request.
    fn served(&mut self, now: Instant, target: TargetKey, ask: &Ask, spilled: bool) {
        if let Some(agent) = self.agents.get_mut(&target) {
            agent.pointers.served(now, ask, spilled);
            self.tally.late += u64::from(agent.leaving);
        }
        self.tally.ran += 1;
        if let Some(before) = self.ran.insert(ask.chat, target) {
            self.tally.returning += 1;
            self.tally.met += u64::from(before == target);
        }
    }

    /// Marks the engine as leaving: its agent hears of it, then the router, then pointers move.
    fn shut_down(&mut self, now: Instant) {
        let name = LEAVING.parse().expect("a name");
        let key = self.board.keys_by_name[&name];
        let mark = Mark {
            target: name,
            action: objects::MarkAction::Shutdown,
            grace_ms: 0,
        };
        let agent = self.agents.get_mut(&key).expect("an agent");
        agent.leaving = true;
        agent.admission.on(now, Input::Marked(mark));
        self.board.targets[key].state = TargetState::Leaving;
        let old = std::mem::replace(
            &mut self.routes.ranking,
            Ranking::of_pool(&self.board, &pool()),
        );
        let new = &self.routes.ranking;
        let all = agent.pointers.capacity();
        let chunk = agent.pointers.moved(now, &old, new, 0, all);
        agent.admission.on(now, Input::HandedOver);
        for told in chunk.notes {
            let home = self.agents.get_mut(&told.to).expect("an agent");
            home.pointers.learn(now, &told.note, new);
        }
    }
}

/// `run` sends the requests and returns what became of them.
#[must_use]
pub fn run() -> Tally {
    let mut fleet = Fleet::new(3);
    let mut now = Instant::ZERO;
    for number in 0..REQUESTS {
        fleet.advance(now);
        if number == REQUESTS / 2 {
            fleet.shut_down(now);
        }
        let chat = format!("chat-{}", number * 7 % CHATS);
        fleet.request(now, number, ChatKey::derive("kalev", &chat));
        now = now + STEP;
    }
    fleet.advance(now + WORK);
    fleet.tally
}

fn target(number: u16) -> Target {
    Target {
        name: format!("engine-{number}").parse().expect("a name"),
        pool: pool(),
        vm: format!("vm-{number}").parse().expect("a name"),
        zone: "rae".parse().expect("a name"),
        address: ([127, 0, 0, 1], 7_000 + number).into(),
        weight: 100,
        state: TargetState::Live,
    }
}

fn pool() -> PoolName {
    "engines".parse().expect("a name")
}

fn organisation() -> OrganisationName {
    "kalev".parse().expect("a name")
}

fn policy() -> PoolPolicy {
    PoolPolicy {
        cap: 1.25,
        floor: Cost(8 * COST.0),
        queue: 16,
        wait_ms: 2_000,
        prefix: 0,
        tries: 3,
        retries: 0.2,
    }
}

fn parameters() -> Parameters {
    Parameters {
        weight: 10,
        priority: 5,
        limit: Cost(1_000 * COST.0),
        output: 200,
        deadline_ms: 60_000,
        models: Vec::new(),
        services: Vec::new(),
    }
}

fn main() {
    println!("{}", run());
}
