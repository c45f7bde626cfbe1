// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Passes a stream on, event by event, and resumes it at another target where that is allowed.

use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use peppercrank_core::events::Event;
use peppercrank_direct::desired::RouteKind;
use peppercrank_direct::events::Events;
use peppercrank_direct::retries::After;
use peppercrank_direct::retries::ExecutionState;
use peppercrank_direct::silence::Heard;
use peppercrank_direct::silence::Silence;
use peppercrank_log::Field;
use peppercrank_wire::body;
use peppercrank_wire::body::Body;
use peppercrank_wire::body::BodySender;
use peppercrank_wire::client::ResponseBody;

use crate::attempt::FAILURE;
use crate::attempt::Loss;
use crate::attempt::TargetAnswer;
use crate::attempt::next;
use crate::attempt::send;
use crate::choose::begin;
use crate::crashes;
use crate::flight::Flight;
use crate::gateway::Gateway;
use crate::serve::Run;

/// Parts that may wait for a caller that reads slowly.
const DEPTH: usize = 8;

/// `Relay` is one stream on its way.
struct Relay {
    run: Run,
    flight: Flight,
    /// What follows; none once it was given up for another run.
    rest: Option<ResponseBody>,
    feed: BodySender,
    /// When the first part came, since the request did.
    began: Duration,
    /// Whole events only, of streams that may be resumed.
    events: Option<Events>,
    silence: Silence,
}

/// `Step` is what happened to a stream.
enum Step {
    Part(Bytes),
    End,
    Cut,
    Ended,
    Silent,
    CallerGone,
    Late,
}

/// `start` passes a stream on from a task of its own.
#[must_use]
pub fn start(run: &Run, flight: Flight, first: Bytes, rest: ResponseBody) -> Body {
    let (feed, body) = body::channel(DEPTH);
    let resumable = matches!(run.job.kind, RouteKind::Stream { resumable: true });
    let relay = Relay {
        run: run.clone(),
        flight,
        rest: Some(rest),
        feed,
        began: run.held(),
        events: resumable.then(Events::default),
        silence: Silence::new(run.gateway.now(), run.job.pause),
    };
    tokio::spawn(relay.go(first));
    body
}

impl Relay {
    async fn go(mut self, first: Bytes) {
        let gateway = Arc::clone(&self.run.gateway);
        let end = self.run.job.deadline;
        let mut late = pin!(gateway.until(end));
        let mut step = Step::Part(first);
        loop {
            match step {
                Step::Part(part) => {
                    // A caller that reads slowly must not hold its target past the deadline.
                    match gateway.in_time(end, self.pass(part)).await {
                        Some(Ok(())) => self.passed(),
                        Some(Err(_)) => return self.over("caller gone"),
                        None => return self.over("deadline passed"),
                    }
                }
                Step::End if self.is_whole() => return self.finish(),
                Step::End | Step::Cut => {
                    if !self.go_on("stream cut", Loss::BrokenOff).await {
                        return self.over("stream cut");
                    }
                }
                Step::Ended => {
                    if !self.go_on("target started again", Loss::StartedAgain).await {
                        return self.over("target started again");
                    }
                }
                // It may speak again, so it is waited for unless another run may go on.
                Step::Silent if !self.run.could_go_on() => {
                    self.silence.heard(self.run.gateway.now());
                }
                Step::Silent => {
                    if !self.go_on("stream silent", Loss::Other).await {
                        return self.over("stream silent");
                    }
                }
                Step::CallerGone => return self.over("caller gone"),
                Step::Late => return self.over("deadline passed"),
            }
            step = self.step(late.as_mut()).await;
        }
    }

    /// Waits for what happens next.
    async fn step(&mut self, late: Pin<&mut impl Future<Output = ()>>) -> Step {
        let Some(rest) = &mut self.rest else {
            return Step::Cut;
        };
        let gateway = &self.run.gateway;
        let watched = self.events.is_some();
        let termination = &mut self.flight.termination;
        tokio::select! {
            biased;
            part = next(rest) => match part {
                Ok(Some(part)) => Step::Part(part),
                Ok(None) => Step::End,
                Err(()) => Step::Cut,
            },
            () = self.feed.closed() => Step::CallerGone,
            () = late => Step::Late,
            () = termination.wait() => Step::Ended,
            () = quiet(gateway, self.silence), if watched => Step::Silent,
        }
    }

    /// Gives the run up and goes on with another.
    async fn go_on(&mut self, what: &'static str, loss: Loss) -> bool {
        // Closing the connection ends the run, which must not go on beside the next one.
        self.rest = None;
        self.flight.failed();
        self.run.note(&self.flight, what);
        self.run.lost(&self.flight, loss).await;
        self.resume().await
    }

    /// Passes a part on; of a stream that may be resumed, the events that it completes.
    async fn pass(&mut self, part: Bytes) -> Result<(), peppercrank_wire::Error> {
        let part = match &mut self.events {
            Some(events) => Bytes::from(events.push(&part)),
            None => part,
        };
        if part.is_empty() {
            return Ok(());
        }
        self.feed.send(part).await
    }

    /// Notes that a part was passed on.
    fn passed(&mut self) {
        let gateway = &self.run.gateway;
        let now = gateway.now();
        let quiet = self.silence.quiet(now);
        gateway.metrics.paused(self.run.job.kind, quiet);
        self.silence.heard(now);
    }

    fn is_whole(&self) -> bool {
        self.events.as_ref().is_none_or(Events::is_between)
    }

    /// Goes on at another target after the last whole event.
    async fn resume(&mut self) -> bool {
        while self.events.is_some() {
            let after = self.run.plan.after(ExecutionState::Unknown);
            if after != After::AgainIfAllowed || !self.run.may_repeat() {
                return false;
            }
            if self.resume_once().await {
                return true;
            }
        }
        false
    }

    async fn resume_once(&mut self) -> bool {
        let run = &mut self.run;
        if crashes::refuses(&run.gateway, &run.job).is_some() {
            return false;
        }
        let Ok(mut flight) = begin(&run.gateway, &run.job, &run.tried) else {
            return false;
        };
        run.tried.push(flight.counted.choice.key);
        let last = self.events.as_ref().and_then(Events::last);
        let last = last.map(str::to_owned);
        let until = run.patience(&flight);
        let sent = send(&run.gateway, &run.job, &mut flight, until, last.as_deref()).await;
        match sent {
            Ok(TargetAnswer::Stream { first, rest, .. }) => {
                if let Some(events) = &mut self.events {
                    events.restart();
                }
                let fields = [
                    ("request", Field::Text(&run.job.id)),
                    ("target", Field::Text(&flight.instance)),
                    ("after", Field::Text(last.as_deref().unwrap_or(""))),
                ];
                run.gateway.log.write(Event::Resumed, &fields);
                self.flight = flight;
                self.rest = Some(rest);
                self.silence.heard(self.run.gateway.now());
                self.pass(first).await.is_ok()
            }
            Ok(TargetAnswer::Failure(_)) => {
                // The target before it had served a part, so that the request is not to blame.
                flight.failed();
                run.note(&flight, FAILURE);
                false
            }
            Ok(TargetAnswer::Whole(_)) => {
                run.note(&flight, "no stream");
                false
            }
            Err(error) => {
                run.note(&flight, error.what);
                run.lost(&flight, error.loss).await;
                false
            }
        }
    }

    /// Ends a stream properly.
    fn finish(self) {
        self.run.cleared();
        self.run.done(&self.flight, StatusCode::OK, self.began);
        self.feed.finish();
    }

    /// Ends a stream before its end: the feed is dropped unfinished, so that the caller's
    /// connection breaks off.
    fn over(self, what: &'static str) {
        let quiet = self.silence.quiet(self.run.gateway.now());
        let content = self.run.job.fingerprint().to_string();
        let fields = [
            ("request", Field::Text(&self.run.job.id)),
            ("content", Field::Text(&content)),
            ("target", Field::Text(&self.flight.instance)),
            ("what", Field::Text(what)),
            ("first_ms", Field::Millis(self.began)),
            ("quiet_ms", Field::Millis(quiet)),
            ("held_ms", Field::Millis(self.run.held())),
        ];
        self.run.gateway.metrics.missed(what);
        self.run.gateway.log.write(Event::StreamCut, &fields);
    }
}

/// Returns once a stream is silent.
async fn quiet(gateway: &Gateway, silence: Silence) {
    while let Heard::Until(at) = silence.at(gateway.now()) {
        gateway.until(at).await;
    }
}
