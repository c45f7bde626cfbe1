// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The admission of a target, awaited: each request asks and gets one answer.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use peppercrank_admit::Action;
use peppercrank_admit::Admission;
use peppercrank_admit::Arrival;
use peppercrank_admit::Input;
use peppercrank_admit::Permit;
use peppercrank_admit::Releases;
use peppercrank_admit::Status;
use peppercrank_admit::Ticket;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::refusal::AttemptOutcome;
use peppercrank_core::refusal::NotRun;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::sleep_until;

use crate::clock::Clock;
use crate::reply::Refusal;

/// `Desk` puts requests before the admission and carries its actions out.
#[derive(Debug)]
pub struct Desk {
    inner: Mutex<Inner>,
    releases: Releases,
    clock: Clock,
    tickets: AtomicU64,
    /// Told when the next wake may have changed.
    news: Notify,
    drained: watch::Sender<bool>,
}

#[derive(Debug)]
struct Inner {
    admission: Admission,
    waiting: HashMap<Ticket, oneshot::Sender<Answer>>,
    running: HashMap<Ticket, Arc<Notify>>,
}

/// `Answer` is what the admission says to one request.
#[derive(Debug)]
enum Answer {
    Admitted(Permit, Arc<Notify>),
    Refused(Refusal),
}

/// `Pass` is the right of one request to run; dropping it releases what it reserved.
#[derive(Debug)]
#[must_use = "dropping the pass at once releases the request's reservation"]
pub struct Pass {
    desk: Arc<Desk>,
    ticket: Ticket,
    permit: Option<Permit>,
    cancel: Arc<Notify>,
}

/// `Waiting` tells the admission when the one who asked goes away before the answer.
struct Waiting<'a> {
    desk: &'a Desk,
    ticket: Ticket,
    answer: oneshot::Receiver<Answer>,
    over: bool,
}

impl Desk {
    /// `new` puts a desk before an admission.
    #[must_use]
    pub fn new(admission: Admission, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(Inner {
                admission,
                waiting: HashMap::new(),
                running: HashMap::new(),
            }),
            releases: Releases::default(),
            clock,
            tickets: AtomicU64::new(0),
            news: Notify::new(),
            drained: watch::Sender::new(false),
        })
    }

    /// `ask` asks for one request to run; `arrival` makes the arrival of its ticket.
    ///
    /// Dropping the future takes the request back.
    ///
    /// # Errors
    ///
    /// Returns the admission's refusal.
    pub async fn ask(
        self: &Arc<Self>,
        arrival: impl FnOnce(Ticket) -> Arrival,
    ) -> Result<Pass, Refusal> {
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        let (tx, answer) = oneshot::channel();
        let mut waiting = Waiting {
            desk: self,
            ticket,
            answer,
            over: false,
        };
        self.lock().waiting.insert(ticket, tx);
        self.put(Input::Arrive(arrival(ticket)));
        let answer = (&mut waiting.answer).await;
        waiting.over = true;
        match answer {
            Ok(Answer::Admitted(permit, cancel)) => {
                let desk = Arc::clone(self);
                Ok(Pass {
                    desk,
                    ticket,
                    permit: Some(permit),
                    cancel,
                })
            }
            Ok(Answer::Refused(refusal)) => Err(refusal),
            // The desk answers every ticket; a lost answer means that it ran nothing.
            Err(_) => Err(Refusal::not_run(NotRun::NotReady)),
        }
    }

    /// `put` gives the admission an input and carries out what it says.
    pub fn put(&self, input: Input) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.put(now, input, &self.releases, &self.drained);
        // Answers whose askers are gone drop their permits at once.
        inner.settle(now, &self.releases, &self.drained);
        drop(inner);
        self.news.notify_one();
    }

    /// `cancel` ends one attempt, waiting or running.
    pub fn cancel(&self, attempt: AttemptId) -> bool {
        let ticket = self.lock().admission.ticket(attempt);
        let Some(ticket) = ticket else {
            return false;
        };
        self.put(Input::CallerGone(ticket));
        if let Some(cancel) = self.lock().running.get(&ticket) {
            cancel.notify_one();
        }
        true
    }

    /// `status` is the admission's own.
    #[must_use]
    pub fn status(&self) -> Status {
        self.lock().admission.status()
    }

    /// `demand` is the load to report to peers: what runs and what waits.
    #[must_use]
    pub fn demand(&self) -> Cost {
        self.lock().admission.demand()
    }

    /// `drained` tells when the target is drained.
    #[must_use]
    pub fn drained(&self) -> watch::Receiver<bool> {
        self.drained.subscribe()
    }

    /// `tick` wakes the admission whenever it asks to be, for ever.
    pub async fn tick(&self) {
        loop {
            let wake = self.lock().admission.next_wake();
            let news = self.news.notified();
            match wake {
                None => news.await,
                Some(at) => {
                    let at = self.clock.timer_instant(at).into();
                    tokio::select! {
                        () = news => {}
                        () = sleep_until(at) => self.put(Input::Tick),
                    }
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // The admission is whole after each call, so a poisoned lock guards a good one.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn put(
        &mut self,
        now: Instant,
        input: Input,
        releases: &Releases,
        drained: &watch::Sender<bool>,
    ) {
        if matches!(input, Input::Unmarked) {
            drained.send_replace(false);
        }
        for action in self.admission.on(now, input) {
            match action {
                Action::Admit { ticket, .. } => self.admit(ticket, releases),
                Action::Refuse {
                    ticket,
                    reason,
                    retry_after,
                    ..
                } => {
                    let outcome = AttemptOutcome::NotRun(reason);
                    self.answer(
                        ticket,
                        Answer::Refused(Refusal {
                            outcome,
                            retry_after,
                        }),
                    );
                }
                Action::Cancel { ticket, .. } => self.cancel(ticket),
                Action::Drained => {
                    drained.send_replace(true);
                }
            }
        }
    }

    /// Takes in the ends of requests until there are none.
    fn settle(&mut self, now: Instant, releases: &Releases, drained: &watch::Sender<bool>) {
        loop {
            let ended = releases.drain();
            if ended.is_empty() {
                return;
            }
            for ticket in ended {
                self.running.remove(&ticket);
                self.put(now, Input::End(ticket), releases, drained);
            }
        }
    }

    fn admit(&mut self, ticket: Ticket, releases: &Releases) {
        let cancel = Arc::new(Notify::new());
        self.running.insert(ticket, Arc::clone(&cancel));
        self.answer(ticket, Answer::Admitted(releases.permit(ticket), cancel));
    }

    fn answer(&mut self, ticket: Ticket, answer: Answer) {
        if let Some(asker) = self.waiting.remove(&ticket) {
            // An asker that is gone hands the answer back, and its permit drops here.
            drop(asker.send(answer));
        }
    }

    fn cancel(&self, ticket: Ticket) {
        if let Some(cancel) = self.running.get(&ticket) {
            cancel.notify_one();
        }
    }
}

impl Pass {
    /// `cancelled` returns when the request is to be ended.
    pub async fn cancelled(&self) {
        self.cancel.notified().await;
    }

    /// `revise` puts the true cost in place of the expected one.
    pub fn revise(&self, cost: Cost) {
        self.desk.put(Input::Actual {
            ticket: self.ticket,
            cost,
        });
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        drop(self.permit.take());
        self.desk.put(Input::Tick);
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.over {
            return;
        }
        // An answer that came but was not taken holds a permit, which drops here.
        self.answer.close();
        drop(self.answer.try_recv());
        self.desk.lock().waiting.remove(&self.ticket);
        self.desk.put(Input::CallerGone(self.ticket));
    }
}
