// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Checks that a stream which its caller resumes goes on at the software version that began it.
//!
//! Two routers serve a pool whose targets run one version; a second one joins, and either may
//! leave. Routers put a version on the pool's record in the store before streams begin at it, and
//! write where streams began. Writes may be done without an answer, or done later if their
//! condition still holds. Routers may be cut off, and all of them killed at once. A caller returns
//! to either router. The model is of the protocol alone; it does not run the routers' code.

use crate::search::Model;

/// Property: no stream goes on at another version than the one that began it.
pub const JOINED: &str = "a stream goes on at another version";

/// Property: a stream whose version serves goes on, unless it began right before a kill.
pub const NOT_RESUMED: &str = "a stream is refused although targets of its version serve";

/// Number of routers.
const ROUTERS: usize = 2;

/// Number of streams.
const STREAMS: usize = 2;

/// Number of objects per router to which it writes where streams began.
const LANES: usize = 2;

/// Number of ticks for which a router that pauses writes nothing after a missing answer.
const PAUSE_TICKS: u8 = 3;

/// `Flaw` is a planted fault, which disables one rule of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// None: the protocol as specified.
    None,
    /// A router pauses after a write without an answer.
    PausesWrites,
    /// Writes of origins have no condition, so a late one replaces a newer one.
    OverwritesLate,
    /// A router that knows one version does not ask the store before it resumes a stream.
    TrustsKnowledge,
    /// Streams begin at a version that is not on record.
    BeginsUnrecorded,
    /// A router that starts does not read where streams began.
    ForgetsOrigins,
    /// A router takes a version off the record that serves, as its list of targets stands still.
    RetiresUnseen,
}

/// `Streams` is the model with its bounds.
#[derive(Debug, Clone, Copy)]
pub struct Streams {
    /// Planted fault.
    pub flaw: Flaw,
    /// Maximum number of writes that are done without an answer.
    pub lost: u8,
    /// Maximum number of writes that are not done at once.
    pub late: u8,
    /// Maximum number of kills of all routers.
    pub kills: u8,
    /// Maximum number of times that a router is cut off.
    pub cuts: u8,
    /// Maximum number of ticks, the time between two writes of a router.
    pub ticks: u8,
}

/// A software version, or several, as a set.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Versions(u8);

impl Versions {
    const NONE: Self = Self(0);
    const OLD: Self = Self(1);
    const NEW: Self = Self(2);

    const fn with(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    const fn contains(self, other: Self) -> bool {
        self.0 & other.0 == other.0
    }

    const fn without(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    const fn is_several(self) -> bool {
        self.0.count_ones() > 1
    }
}

/// What becomes of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fate {
    /// It is done and answered.
    Answered,
    /// It is done and not answered.
    Lost,
    /// It is not answered, and done later if its condition still holds.
    Late,
}

/// `Step` is one step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// Targets of the new version register.
    Join,
    /// The targets of a version leave.
    Leave(Versions),
    /// A router reads the targets and the record.
    Read(usize),
    /// A router puts the new version on record.
    Record(usize, Fate),
    /// A router takes versions that serve off the record, as it does not see them.
    Retire(usize),
    /// A stream begins at a router.
    Begin(usize, usize, Versions),
    /// A router writes where streams began.
    Write(usize, Fate),
    /// A late write is done, or its condition fails.
    Arrive(usize),
    /// All routers are killed.
    KillAll,
    /// A router starts.
    Start(usize),
    /// A router no longer reaches the store and the other router.
    Cut(usize),
    /// It reaches them again.
    Heal(usize),
    /// The caller of a stream returns to a router.
    Return(usize, usize),
    /// Time passes.
    Tick,
}

/// The version that began each stream, as far as it is known.
type Origins = [Versions; STREAMS];

/// An object of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Object<T> {
    revision: u8,
    content: T,
}

impl<T> Object<T> {
    /// Replaces the content if the object still has the expected revision.
    fn replace(&mut self, expected: Option<u8>, content: T) -> bool {
        let holds = expected.is_none_or(|revision| revision == self.revision);
        if holds {
            self.revision += 1;
            self.content = content;
        }
        holds
    }
}

/// A write on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Pending {
    Record(u8, Versions),
    Origins(usize, usize, Option<u8>, Origins),
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Lane {
    /// Revision of the object as last known.
    revision: u8,
    /// Origins that the object is known to hold.
    held: Origins,
    /// Whether a write of it had no answer.
    doubtful: bool,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Router {
    up: bool,
    cut: bool,
    /// Versions of targets that it sees or saw.
    seen: Versions,
    /// Versions that it knows to be on record.
    recorded: Versions,
    record_revision: u8,
    /// Origins that it knows.
    known: Origins,
    /// Origins of its own streams.
    own: Origins,
    lanes: [Lane; LANES],
    /// Ticks for which it writes nothing.
    pause: u8,
    wrote: bool,
}

impl Router {
    const fn in_touch(&self) -> bool {
        self.up && !self.cut
    }

    const fn versions(&self) -> Versions {
        self.seen.with(self.recorded)
    }

    /// Returns whether an origin of its own may be missing in the store.
    fn has_unwritten(&self) -> bool {
        let is_held = |s: usize| self.lanes.iter().any(|lane| lane.held[s] == self.own[s]);
        (0..STREAMS).any(|s| self.own[s] != Versions::NONE && !is_held(s))
    }

    fn must_write(&self) -> bool {
        self.in_touch() && self.pause == 0 && self.versions().is_several() && self.has_unwritten()
    }
}

/// `State` is one state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    tick: u8,
    lost: u8,
    late: u8,
    kills: u8,
    cuts: u8,
    /// Whether the new version has joined.
    released: bool,
    /// Versions whose targets serve.
    serving: Versions,
    record: Object<Versions>,
    origins: [[Object<Origins>; LANES]; ROUTERS],
    pending: Vec<Pending>,
    routers: [Router; ROUTERS],
    /// The version that began each stream.
    began: Origins,
    /// Number of ticks during which each stream's router was in touch and ran several versions.
    settled: [u8; STREAMS],
    joined: bool,
    refused: bool,
}

impl State {
    fn merge_known(&mut self) {
        let [a, b] = &mut self.routers;
        if !a.in_touch() || !b.in_touch() {
            return;
        }
        for s in 0..STREAMS {
            let known = a.known[s].with(b.known[s]);
            a.known[s] = known;
            b.known[s] = known;
        }
    }

    fn read(&mut self, router: usize) {
        let known = &mut self.routers[router];
        known.seen = known.seen.with(self.serving);
        known.recorded = self.record.content;
        known.record_revision = self.record.revision;
    }

    fn start(&mut self, router: usize, flaw: Flaw) {
        let mut started = Router {
            up: true,
            ..Router::default()
        };
        for (lane, object) in started.lanes.iter_mut().zip(&self.origins[router]) {
            lane.revision = object.revision;
            lane.held = object.content;
        }
        if flaw != Flaw::ForgetsOrigins {
            let objects = self.origins.iter().flatten();
            for object in objects {
                started.known = union(started.known, object.content);
            }
        }
        self.routers[router] = started;
        self.read(router);
    }

    fn record_version(&mut self, router: usize, fate: Fate) {
        let Router {
            seen,
            recorded,
            record_revision,
            ..
        } = self.routers[router];
        let versions = seen.with(recorded);
        self.count(fate);
        if fate == Fate::Late {
            self.push(Pending::Record(record_revision, versions));
            return;
        }
        let done = self.record.replace(Some(record_revision), versions);
        if done && fate == Fate::Answered {
            self.routers[router].recorded = versions;
            self.routers[router].record_revision = self.record.revision;
        }
    }

    /// Returns the versions on record that serve and are unknown to a router. Others stay on record
    /// for longer than the model lasts.
    const fn unseen(&self, router: &Router) -> Versions {
        Versions(self.record.content.0 & self.serving.0 & !router.seen.0)
    }

    fn retire(&mut self, router: usize) {
        let unseen = self.unseen(&self.routers[router]);
        let kept = self.record.content.without(unseen);
        self.record.replace(None, kept);
        self.routers[router].recorded = kept;
        self.routers[router].record_revision = self.record.revision;
    }

    fn write_origins(&mut self, router: usize, fate: Fate, flaw: Flaw) {
        self.count(fate);
        let known = &mut self.routers[router];
        known.wrote = true;
        if flaw == Flaw::PausesWrites && fate != Fate::Answered {
            known.pause = PAUSE_TICKS;
        }
        // A single object without a condition was the layout before lanes.
        let single = flaw == Flaw::OverwritesLate;
        let free = known.lanes.iter().position(|lane| !lane.doubtful);
        let index = free.filter(|_| !single).unwrap_or(0);
        let own = known.own;
        let lane = &mut known.lanes[index];
        let content = union(lane.held, own);
        let expected = (!single).then_some(lane.revision);
        lane.doubtful = fate != Fate::Answered;
        if fate == Fate::Late {
            self.push(Pending::Origins(router, index, expected, content));
            return;
        }
        let object = &mut self.origins[router][index];
        let done = object.replace(expected, content);
        if fate != Fate::Answered {
            return;
        }
        // A conflict brings the object as it is.
        lane.revision = object.revision;
        lane.held = object.content;
        known.wrote = done;
    }

    fn count(&mut self, fate: Fate) {
        self.lost += u8::from(fate == Fate::Lost);
        self.late += u8::from(fate == Fate::Late);
    }

    fn push(&mut self, pending: Pending) {
        self.pending.push(pending);
    }

    fn arrive(&mut self, index: usize) {
        match self.pending.remove(index) {
            Pending::Record(revision, versions) => {
                self.record.replace(Some(revision), versions);
            }
            Pending::Origins(router, lane, expected, content) => {
                self.origins[router][lane].replace(expected, content);
            }
        }
    }

    fn begin(&mut self, router: usize, stream: usize, version: Versions) {
        self.began[stream] = version;
        let known = &mut self.routers[router];
        known.known[stream] = version;
        known.own[stream] = version;
        known.wrote = false;
    }

    fn kill_all(&mut self) {
        self.kills += 1;
        for router in &mut self.routers {
            *router = Router {
                cut: router.cut,
                ..Router::default()
            };
        }
    }

    fn tick(&mut self) {
        self.tick += 1;
        self.merge_known();
        for router in &mut self.routers {
            let settles = router.in_touch() && router.versions().is_several();
            for s in (0..STREAMS).filter(|s| settles && router.own[*s] != Versions::NONE) {
                self.settled[s] += 1;
            }
            router.wrote = false;
            router.pause = router.pause.saturating_sub(1);
        }
    }

    /// Returns the version at which a router resumes a stream; `None` if it refuses.
    fn resumed_at(&mut self, router: usize, stream: usize, flaw: Flaw) -> Option<Versions> {
        if self.routers.iter().all(Router::in_touch) {
            let [a, b] = &self.routers;
            let known = a.known[stream].with(b.known[stream]);
            self.routers[router].known[stream] = known;
        }
        let known = self.routers[router].known[stream];
        if known != Versions::NONE {
            return Some(known);
        }
        if flaw == Flaw::TrustsKnowledge {
            let versions = self.routers[router].versions();
            return (!versions.is_several()).then_some(versions);
        }
        if self.routers[router].cut {
            return None;
        }
        // No stream begins at a version before it is on record.
        let recorded = self.record.content;
        (!recorded.is_several()).then_some(recorded)
    }

    fn resume(&mut self, router: usize, stream: usize, model: Streams) {
        let began = self.began[stream];
        let at = self.resumed_at(router, stream, model.flaw);
        self.joined |= at.is_some_and(|version| version != began);
        let settled = self.settled[stream] > model.late || !self.record.content.is_several();
        let serves = self.serving.contains(began) && !self.routers[router].cut;
        self.refused |= at.is_none() && settled && serves;
    }
}

fn union(a: Origins, b: Origins) -> Origins {
    std::array::from_fn(|s| a[s].with(b[s]))
}

impl Streams {
    fn fates(self, state: &State) -> Vec<Fate> {
        let mut fates = vec![Fate::Answered];
        if state.lost < self.lost {
            fates.push(Fate::Lost);
        }
        if state.late < self.late {
            fates.push(Fate::Late);
        }
        fates
    }

    fn router_steps(self, state: &State, index: usize) -> Vec<Step> {
        let router = &state.routers[index];
        let mut steps = Vec::new();
        if router.cut {
            steps.push(Step::Heal(index));
        } else if state.cuts < self.cuts {
            steps.push(Step::Cut(index));
        }
        if !router.up {
            if !router.cut {
                steps.push(Step::Start(index));
            }
            return steps;
        }
        for s in 0..STREAMS {
            if state.began[s] != Versions::NONE {
                steps.push(Step::Return(index, s));
            } else if s == 0 || state.began[s - 1] != Versions::NONE {
                let begun = [Versions::OLD, Versions::NEW].into_iter();
                let begun = begun.filter(|v| self.may_begin(state, router, *v));
                steps.extend(begun.map(|v| Step::Begin(index, s, v)));
            }
        }
        if router.cut {
            return steps;
        }
        steps.push(Step::Read(index));
        let fates = self.fates(state);
        if !router.recorded.contains(router.seen) {
            steps.extend(fates.iter().map(|fate| Step::Record(index, *fate)));
        }
        if self.flaw == Flaw::RetiresUnseen && state.unseen(router) != Versions::NONE {
            steps.push(Step::Retire(index));
        }
        if router.must_write() && !router.wrote {
            steps.extend(fates.iter().map(|fate| Step::Write(index, *fate)));
        }
        steps
    }

    fn may_begin(self, state: &State, router: &Router, version: Versions) -> bool {
        let is_recorded = router.recorded.contains(version);
        state.serving.contains(version)
            && router.seen.contains(version)
            && (is_recorded || self.flaw == Flaw::BeginsUnrecorded)
    }

    fn apply(self, state: &State, step: Step) -> State {
        let mut next = state.clone();
        match step {
            Step::Join => {
                next.released = true;
                next.serving = next.serving.with(Versions::NEW);
            }
            Step::Leave(version) => next.serving = next.serving.without(version),
            Step::Read(router) => next.read(router),
            Step::Record(router, fate) => next.record_version(router, fate),
            Step::Retire(router) => next.retire(router),
            Step::Begin(router, stream, version) => next.begin(router, stream, version),
            Step::Write(router, fate) => next.write_origins(router, fate, self.flaw),
            Step::Arrive(index) => next.arrive(index),
            Step::KillAll => next.kill_all(),
            Step::Start(router) => next.start(router, self.flaw),
            Step::Cut(router) => {
                next.cuts += 1;
                next.routers[router].cut = true;
            }
            Step::Heal(router) => next.routers[router].cut = false,
            Step::Return(router, stream) => next.resume(router, stream, self),
            Step::Tick => next.tick(),
        }
        next
    }
}

impl Model for Streams {
    type State = State;
    type Step = Step;

    fn initial_state(&self) -> State {
        let router = Router {
            up: true,
            seen: Versions::OLD,
            recorded: Versions::OLD,
            ..Router::default()
        };
        State {
            tick: 0,
            lost: 0,
            late: 0,
            kills: 0,
            cuts: 0,
            released: false,
            serving: Versions::OLD,
            record: Object {
                revision: 0,
                content: Versions::OLD,
            },
            origins: Default::default(),
            pending: Vec::new(),
            routers: [router; ROUTERS],
            began: Origins::default(),
            settled: [0; STREAMS],
            joined: false,
            refused: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = Vec::new();
        if !state.released {
            steps.push(Step::Join);
        }
        if state.serving.is_several() {
            steps.extend([Versions::OLD, Versions::NEW].map(Step::Leave));
        }
        steps.extend((0..ROUTERS).flat_map(|r| self.router_steps(state, r)));
        steps.extend((0..state.pending.len()).map(Step::Arrive));
        if state.kills < self.kills {
            steps.push(Step::KillAll);
        }
        let waits = |r: &Router| r.must_write() && !r.wrote;
        if state.tick < self.ticks && !state.routers.iter().any(waits) {
            steps.push(Step::Tick);
        }
        let steps = steps.into_iter();
        steps.map(|s| (s, self.apply(state, s))).collect()
    }

    fn violations(&self, state: &State) -> Vec<&'static str> {
        let rows = [(state.joined, JOINED), (state.refused, NOT_RESUMED)];
        let violated = rows.into_iter().filter(|(holds, _)| *holds);
        violated.map(|(_, property)| property).collect()
    }
}
