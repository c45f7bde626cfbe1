// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Keeps one kind of store entries up to date: lists them once, then watches for changes.

use std::sync::Arc;
use std::time::Duration;

use peppercrank_core::events::Event as LogEvent;
use peppercrank_core::time::Instant;
use peppercrank_direct::call_backoff::CallBackoff;
use peppercrank_direct::catch_up::Proof;
use peppercrank_direct::catch_up::ReadMode;
use peppercrank_direct::era::Era;
use peppercrank_direct::era::EraOrder;
use peppercrank_direct::foreign_changes::ForeignChanges;
use peppercrank_direct::truncation::AnswerSize;
use peppercrank_direct::truncation::GATHER_PAUSE;
use peppercrank_direct::truncation::Next;
use peppercrank_direct::truncation::Truncation;
use peppercrank_log::Field;
use peppercrank_platform::read::AnswerReader;
use peppercrank_platform::read::ChangesReader;
use peppercrank_platform::read::PageReader;
use peppercrank_platform::store;
use peppercrank_platform::store::Changes;
use peppercrank_platform::store::Entry;
use peppercrank_platform::store::Event;
use peppercrank_platform::store::Kind;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::intake::Intake;
use crate::missed;
use crate::missed::MissedChange;
use crate::outage::Outage;
use crate::outage::OutageListener;
use crate::role::CONFIRM_WAIT;
use crate::role::FollowerRole;
use crate::store::BodyContent;
use crate::store::CallOutcome;
use crate::store::CallResult;
use crate::store::Store;
use crate::store::jittered;

/// Pause after the first failed call. It doubles with each further failure.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Maximum pause between failed calls. It bounds how late the store's recovery is noticed.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Time between a follower's own calls during an outage. One follower calls the store more often
/// and tells the others when it recovers, but they do not depend on it alone.
const OUTAGE_CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// Time for the store's answer to begin, in addition to the wait that was asked for. Answers
/// normally take milliseconds, and some hundreds from a slow store.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Like [`ANSWER_TIMEOUT`], for a call after a failed one. It is shorter so that a request that is
/// lost in an outage does not delay the detection of the store's recovery.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause between calls that confirm the configuration while a router that has just started must
/// not trust it.
const START_CHECK_PACE: Duration = Duration::from_millis(200);

/// Answers below this size hold no configuration, whose caller limits alone are larger.
const MIN_CONFIGURATION_BYTES: usize = 128;

/// Follows one kind of store entries.
#[derive(Debug)]
pub struct Follower {
    gateway: Arc<Gateway>,
    store: Store,
    role: FollowerRole,
    kind: Kind,
    outage: Outage,
    /// Signals when the store becomes unavailable or recovers.
    outage_listener: OutageListener,
    intake: Intake,
    /// The store era to which the known revision belongs.
    era: Option<Era>,
    /// Consecutive failed calls.
    failures: u32,
    /// Consecutive answers that did not prove the known configuration to be the newest.
    unproven_answers: u32,
    /// Detects answers that the store may have truncated.
    truncation: Truncation,
    /// Whether the next call is to be answered at once.
    is_hasty: bool,
    /// How long a call is left alone although other routers know more.
    backoff: CallBackoff,
}

/// The outcome of one poll, which determines when the next one follows.
enum PollOutcome {
    Done,
    PollAgain,
    PossiblyTruncated,
    Relist,
    Failed(&'static str),
}

impl Follower {
    /// Creates a follower for the entries of its role.
    #[must_use]
    pub fn new(gateway: &Arc<Gateway>, store: &Store, role: FollowerRole, outage: &Outage) -> Self {
        let kind = role.kind();
        Self {
            gateway: Arc::clone(gateway),
            store: store.clone(),
            role,
            kind,
            outage: outage.clone(),
            outage_listener: outage.subscribe(),
            intake: Intake::new(gateway, kind),
            era: None,
            failures: 0,
            unproven_answers: 0,
            truncation: Truncation::default(),
            is_hasty: false,
            backoff: CallBackoff::default(),
        }
    }

    /// Follows the entries until the task is dropped.
    pub async fn run(mut self) {
        loop {
            self.defer_to_confirmer().await;
            let outcome = self.poll().await;
            self.finish_poll(outcome).await;
        }
    }

    /// During an outage, waits until the follower that confirms the configuration has detected the
    /// store's recovery, or for [`OUTAGE_CHECK_INTERVAL`]. Returns at once for that follower. Calls
    /// have a cost, so only one follower makes them frequently during an outage.
    async fn defer_to_confirmer(&mut self) {
        let store_down = self.outage_listener.is_store_down();
        if store_down && !matches!(self.role, FollowerRole::ConfirmConfiguration(_)) {
            let _result = timeout(
                OUTAGE_CHECK_INTERVAL,
                self.outage_listener.wait_for_recovery(),
            )
            .await;
        }
    }

    async fn poll(&mut self) -> PollOutcome {
        let known_revision = self.known_revision();
        match &mut self.role {
            FollowerRole::ConfirmConfiguration(confirmer)
                if known_revision.is_some() && self.gateway.state().must_check_start() =>
            {
                if confirmer.check_start().await {
                    return PollOutcome::Done;
                }
            }
            FollowerRole::ConfirmConfiguration(confirmer) if known_revision.is_some() => {
                let by_router = confirmer.confirm_by_router().await;
                self.gateway.metrics.count_confirmation(by_router);
                // Only a call to the store itself can detect its recovery.
                if by_router && !self.outage.is_store_down() {
                    return PollOutcome::Done;
                }
            }
            // A router that confirms its configuration with the store learns of changes from the
            // answers, and needs no watch.
            FollowerRole::WatchConfiguration(confirmer) if confirmer.asks_store() => {
                return PollOutcome::Done;
            }
            FollowerRole::ConfirmConfiguration(_)
            | FollowerRole::WatchConfiguration(_)
            | FollowerRole::Targets
            | FollowerRole::Routers
            | FollowerRole::Evacuations(_) => {}
        }
        match self.next_read_mode() {
            ReadMode::Snapshot => self.list().await,
            ReadMode::Changes(revision) => self.watch(revision).await,
        }
    }

    /// Decides what to ask the store for.
    fn next_read_mode(&self) -> ReadMode {
        if self.kind == Kind::Configuration {
            let now = self.gateway.now();
            let state = self.gateway.state();
            return state.catch_up.next_read(state.freshness.age(now));
        }
        // If another follower noticed a new era first, the known revision is no longer valid.
        let same_era = self.gateway.state().eras.newest() == self.era;
        let revision = self.intake.revision.filter(|_| same_era);
        revision.map_or(ReadMode::Snapshot, ReadMode::Changes)
    }

    /// The revision up to which the entries are known. Both followers of the configuration share
    /// one revision.
    fn known_revision(&self) -> Option<u64> {
        match self.kind {
            Kind::Configuration => self.gateway.state().catch_up.revision(),
            Kind::Targets | Kind::Routers | Kind::Evacuations => self.intake.revision,
        }
    }

    async fn finish_poll(&mut self, outcome: PollOutcome) {
        match outcome {
            PollOutcome::Done => {
                self.failures = 0;
                self.pace().await;
            }
            PollOutcome::PollAgain => {}
            PollOutcome::PossiblyTruncated => sleep(GATHER_PAUSE).await,
            PollOutcome::Relist => {
                self.intake.revision = None;
                if self.kind == Kind::Targets {
                    self.forget_records();
                }
                if self.kind == Kind::Configuration {
                    self.gateway.state().catch_up.reset();
                }
                let fields = [("kind", Field::Text(self.kind.as_str()))];
                self.gateway.log.write(LogEvent::EntriesRelisted, &fields);
            }
            PollOutcome::Failed(cause) => {
                self.record_store_lost(cause);
                // The next answer may come from a restarted store with other limits.
                self.truncation = Truncation::default();
                let pause = RETRY_PAUSE * 2_u32.saturating_pow(self.failures.min(4));
                self.failures += 1;
                sleep(jittered(pause.min(MAX_RETRY_PAUSE))).await;
            }
        }
    }

    /// Waits before the next call, so that one call reads several changes. Each call has a cost.
    async fn pace(&self) {
        // A router that has just started is not ready until other routers have answered.
        if self.gateway.state().start_check.is_pending()
            && matches!(self.role, FollowerRole::ConfirmConfiguration(_))
        {
            return sleep(START_CHECK_PACE).await;
        }
        // The first list is requested without a wait. The follower that watches the configuration
        // waits nevertheless, since the one that confirms it requests that list.
        if self.known_revision().is_none()
            && !matches!(self.role, FollowerRole::WatchConfiguration(_))
        {
            return;
        }
        let routers = self.gateway.state().routers.len() + 1;
        sleep(jittered(self.role.pace(routers))).await;
    }

    async fn list(&mut self) -> PollOutcome {
        let asked_at = self.gateway.now();
        let start_era = self.gateway.state().eras.newest();
        let mut entries = Vec::new();
        let mut after = None;
        let mut first = None;
        loop {
            let path = store::list_path(self.kind, after.as_deref());
            let reader = PageReader::new(self.kind);
            let BodyContent { bytes, content } =
                match self.call(&path, Duration::ZERO, reader).await {
                    Ok(body) => body,
                    Err(outcome) => return outcome,
                };
            let Ok(page) = content else {
                return PollOutcome::Failed("malformed list");
            };
            if page.next.is_some() && page.next == after {
                return PollOutcome::Failed("list without end");
            }
            self.truncation.record_list_page(bytes);
            entries.extend(page.entries);
            // Later pages may lack changes made since the first one, so watch from the first page's
            // revision.
            let revision = *first.get_or_insert(page.revision);
            after = page.next;
            let era = self.gateway.state().eras.newest();
            if start_era.is_some() && era != start_era {
                // Pages from two eras do not form a consistent list.
                return PollOutcome::Relist;
            }
            if after.is_none() {
                self.era = era;
                return self.apply_list(asked_at, revision, entries);
            }
        }
    }

    /// Applies the complete list, which reflects at least this revision.
    fn apply_list(&mut self, asked_at: Instant, revision: u64, entries: Vec<Entry>) -> PollOutcome {
        if self.kind == Kind::Configuration {
            let events = entries.into_iter().map(Event::Put).collect();
            let changes = Changes { events, revision };
            // The calls that follow the store's recovery are made after this, and need not be
            // repeated.
            self.report_foreign_changes(asked_at, ReadMode::Snapshot, &changes);
            self.record_store_back();
            let proof = self
                .intake
                .apply_configurations(asked_at, ReadMode::Snapshot, changes);
            return self.follow_up(proof);
        }
        self.record_store_back();
        self.intake.replace(asked_at, entries);
        self.intake.revision = Some(revision);
        self.record_known(asked_at);
        PollOutcome::Done
    }

    async fn watch(&mut self, revision: u64) -> PollOutcome {
        let wait = if std::mem::take(&mut self.is_hasty) {
            CONFIRM_WAIT
        } else {
            self.role.wait()
        };
        let asked_at = self.gateway.now();
        let path = store::watch_path(self.kind, revision, wait);
        let reader = ChangesReader::new(self.kind);
        let BodyContent { bytes, content } = match self.call(&path, wait, reader).await {
            Ok(body) => body,
            Err(outcome) => return outcome,
        };
        let Ok(changes) = content else {
            return PollOutcome::Failed("malformed changes");
        };
        let reading = ReadMode::Changes(revision);
        self.report_foreign_changes(asked_at, reading, &changes);
        self.record_store_back();
        if self.kind == Kind::Configuration {
            let proof = self.intake.apply_configurations(asked_at, reading, changes);
            return self.follow_up(proof);
        }
        let next = self.truncation.record_answer(AnswerSize {
            changes: changes.events.len(),
            bytes,
        });
        self.intake.revision = Some(changes.revision);
        self.intake.apply(asked_at, changes.events);
        match next {
            Next::Soon => PollOutcome::PossiblyTruncated,
            Next::Paced => {
                self.record_known(asked_at);
                PollOutcome::Done
            }
        }
    }

    /// Records that all entries are known as of `asked_at`.
    fn record_known(&self, asked_at: Instant) {
        if self.kind == Kind::Targets {
            self.gateway.state().targets_known_at = Some(asked_at);
        }
    }

    /// Decides how to continue after an answer about the configuration.
    ///
    /// After a change, the follower that confirms polls again at once, which costs a call but
    /// transfers no configuration. While changes continue, it reads the state after the usual
    /// pause.
    fn follow_up(&mut self, proof: Proof) -> PollOutcome {
        match proof {
            Proof::Newest => self.unproven_answers = 0,
            Proof::Nothing => self.unproven_answers += 1,
        }
        match self.role {
            FollowerRole::ConfirmConfiguration(_) if self.unproven_answers == 1 => {
                PollOutcome::PollAgain
            }
            _ => PollOutcome::Done,
        }
    }

    async fn call<R: AnswerReader>(
        &mut self,
        path: &str,
        wait: Duration,
        reader: R,
    ) -> Result<BodyContent<R::Output>, PollOutcome> {
        let answer_timeout = if self.failures == 0 {
            ANSWER_TIMEOUT
        } else {
            PROBE_TIMEOUT
        };
        let asked_at = self.gateway.now();
        let asked_era = self.gateway.state().eras.newest();
        let answer = tokio::select! {
            answer = self.store.get(path, wait + answer_timeout) => answer,
            // A call is abandoned once the store has recovered, as its connection may be dead, but
            // never after its answer has begun.
            () = self.outage_listener.wait_for_recovery() => return Err(PollOutcome::PollAgain),
            () = evacuations_outdated(&self.gateway, self.kind) => {
                self.store.close();
                return Err(PollOutcome::Relist);
            }
            () = targets_wanted(&self.gateway, self.kind), if wait > CONFIRM_WAIT => {
                self.is_hasty = true;
                return Err(PollOutcome::PollAgain);
            }
            missed = missed::missed_change(
                &self.gateway,
                &self.role,
                self.backoff,
                self.intake.revision,
            ) => return Err(self.replace_silent_connection(missed)),
        };
        let CallOutcome { result, era } = match answer {
            Ok(answer) => self.store.read_answer_with(answer, reader).await,
            Err(_) => CallOutcome::no_answer(),
        };
        self.gateway
            .metrics
            .count_store_call(self.kind.as_str(), result.code());
        self.log_configuration_call(wait, asked_at, &result);
        match self.gateway.observe_era(era, asked_era) {
            EraOrder::Same => {}
            // The revisions in the answer are of a newer era, so everything must be read again.
            EraOrder::Newer => return Err(PollOutcome::Relist),
            EraOrder::Older => return Err(PollOutcome::Done),
        }
        match result {
            CallResult::Done(body) => {
                self.failures = 0;
                let took = self.gateway.now().since(asked_at);
                self.backoff.record_answered(took);
                Ok(body)
            }
            CallResult::HistoryGone => Err(PollOutcome::Relist),
            CallResult::Rejected(_) => Err(PollOutcome::Failed("refused")),
            CallResult::NoAnswer => Err(PollOutcome::Failed("no answer")),
            CallResult::Truncated => Err(PollOutcome::Failed("answer broke off")),
            CallResult::Conflict(_) | CallResult::Missing => {
                Err(PollOutcome::Failed("unexpected answer"))
            }
        }
    }

    /// Abandons a watch whose connection seems to be silent. The next call uses a new connection, as
    /// the unused ones may be silent too.
    fn replace_silent_connection(&mut self, missed: MissedChange) -> PollOutcome {
        self.store.close();
        let kind = self.kind.as_str();
        self.gateway
            .metrics
            .count_store_call(kind, missed.outcome());
        // Suspicions come no faster than short calls are made, which leaves each call enough time.
        if missed == MissedChange::ReadByRouters {
            self.backoff.record_replaced();
            let fields = [("kind", Field::Text(kind))];
            self.gateway.log.write(LogEvent::WatchOvertaken, &fields);
        }
        PollOutcome::PollAgain
    }

    /// Tells the other followers of changes that an answer to a short call reveals.
    fn report_foreign_changes(&self, asked_at: Instant, mode: ReadMode, changes: &Changes) {
        if !matches!(self.role, FollowerRole::ConfirmConfiguration(_)) {
            return;
        }
        let took = self.gateway.now().since(asked_at);
        let found = ForeignChanges::find(mode, changes.revision, changes.events.len(), took);
        if found.is_some() {
            self.gateway.foreign_changes.send_replace(found);
        }
    }

    /// Logs calls for the configuration that returned one or failed.
    fn log_configuration_call<T>(
        &self,
        wait: Duration,
        asked_at: Instant,
        result: &CallResult<BodyContent<T>>,
    ) {
        let bytes = match result {
            CallResult::Done(body) => body.bytes,
            _ => 0,
        };
        let empty = matches!(result, CallResult::Done(_)) && bytes < MIN_CONFIGURATION_BYTES;
        if self.kind != Kind::Configuration || empty {
            return;
        }
        let fields = [
            ("after", Field::Number(self.known_revision().unwrap_or(0))),
            ("waits_ms", Field::Millis(wait)),
            ("bytes", Field::Number(bytes as u64)),
            ("took_ms", Field::Millis(self.gateway.now().since(asked_at))),
            ("outcome", Field::Text(result.code())),
        ];
        self.gateway.log.write(LogEvent::ChangesRead, &fields);
    }

    /// Has the records of software versions read again, as targets may have come and gone unseen.
    fn forget_records(&self) {
        self.gateway.state().version_records.invalidate();
        self.gateway.versions_changed.notify_one();
    }

    /// Records that the store does not answer.
    fn record_store_lost(&self, cause: &'static str) {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        state.directory.store_lost();
        state.store_down_since.get_or_insert(now);
        drop(state);
        if self.outage.set_store_down(true) {
            let fields = [("what", Field::Text(cause))];
            self.gateway.log.write(LogEvent::PlatformDown, &fields);
        }
    }

    /// Records that the store answers.
    fn record_store_back(&self) {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        state.directory.store_recovered(now);
        state.store_down_since = None;
        drop(state);
        if self.outage.set_store_down(false) {
            self.forget_records();
            self.gateway.log.write(LogEvent::PlatformUp, &[]);
        }
    }
}

/// Returns when it is to be read which targets there are now. Waits forever for other kinds.
async fn targets_wanted(gateway: &Gateway, kind: Kind) {
    match kind {
        Kind::Targets => gateway.targets_wanted.notified().await,
        Kind::Configuration | Kind::Evacuations | Kind::Routers => std::future::pending().await,
    }
}

/// Returns when another router knows of different evacuations. Waits forever for other kinds.
async fn evacuations_outdated(gateway: &Gateway, kind: Kind) {
    match kind {
        Kind::Evacuations => gateway.evacuations_outdated.notified().await,
        Kind::Configuration | Kind::Targets | Kind::Routers => std::future::pending().await,
    }
}
