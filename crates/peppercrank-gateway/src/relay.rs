// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Forwards a stream event by event, and resumes it at another target where the route allows that.

use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use peppercrank_core::events::Event;
use peppercrank_direct::desired::RouteKind;
use peppercrank_direct::events::EventBuffer;
use peppercrank_direct::retries::ExecutionState;
use peppercrank_direct::retries::NextStep;
use peppercrank_direct::silence::SilenceDetector;
use peppercrank_direct::silence::StreamState;
use peppercrank_log::Field;
use peppercrank_platform::call;
use peppercrank_wire::Error as WireError;
use peppercrank_wire::body::Body;
use peppercrank_wire::buffer::Unread;
use peppercrank_wire::client::Framing;
use peppercrank_wire::client::ResponseBody;

use crate::attempt::AttemptError;
use crate::attempt::Content;
use crate::attempt::CrashEvidence;
use crate::attempt::ENDLESS_FRAMING;
use crate::attempt::TARGET_FAILURE;
use crate::attempt::TargetAnswer;
use crate::attempt::next_part;
use crate::attempt::send;
use crate::choose::reserve_target;
use crate::crashes;
use crate::downstream::Downstream;
use crate::flight::Flight;
use crate::gateway::Gateway;
use crate::origins;
use crate::retry;
use crate::retry::RetryGuard;
use crate::serve::ActiveRequest;

/// Log text and metrics label of a stream that was cut since its caller was behind.
const CUT_FOR_MEMORY: &str = "cut for memory";

/// Log text and metrics label of a run whose events do not follow those before.
const OUT_OF_ORDER: &str = "events out of order";

/// Log text and metrics label of a stream that was not complete, or not read, at its deadline.
const DEADLINE_PASSED: &str = "deadline passed";

/// Wait before the check whether a target's process has ended, since the kernel may close its
/// connections some milliseconds before its address.
const END_CHECK_DELAY: Duration = Duration::from_millis(20);

/// Time for the check whether a target's process has ended, after which it counts as running. A
/// machine that runs refuses a connection within a round trip.
const END_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// A stream being forwarded to its caller.
struct Relay {
    request: ActiveRequest,
    flight: Flight,
    /// The remaining answer; `None` once this attempt was abandoned.
    upstream: Option<ResponseBody>,
    downstream: Downstream,
    /// Time from the request's arrival to the first part.
    first_part_after: Duration,
    content: Content,
    /// Splits the stream into complete events; only for streams that may be resumed.
    events: Option<EventBuffer>,
    stall_timer: SilenceDetector,
}

/// What happened next on a stream.
enum StreamEvent {
    Part(Bytes),
    End,
    Truncated,
    Endless,
    TargetRestarted,
    Stalled,
    Unread(Unread),
    DeadlinePassed,
}

/// Why a part was not forwarded as it came.
enum ForwardError {
    /// The stream is no longer read.
    Unread(Unread),
    /// An event of the run does not follow those before.
    OutOfOrder,
}

/// Outcome of an attempt to resume a stream.
enum Resumption {
    /// Another target continues the stream.
    Resumed,
    /// The attempt failed.
    Lost(ExecutionState),
    /// No further attempt can be made.
    Impossible,
}

/// Starts a task that forwards a stream, and returns the body for the caller.
#[must_use]
pub fn start(
    request: &ActiveRequest,
    flight: Flight,
    content: Content,
    first: Bytes,
    rest: ResponseBody,
) -> Body {
    let (downstream, body) = Downstream::open(&request.gateway);
    let resumable = content == Content::Events
        && matches!(request.job.kind, RouteKind::Stream { resumable: true });
    if resumable {
        origins::record_stream(&request.gateway, &request.job, &flight);
    }
    let last_event_id = call::last_event_id(&request.job.head.headers);
    let relay = Relay {
        request: request.clone(),
        flight,
        upstream: Some(rest),
        downstream,
        first_part_after: request.elapsed(),
        content,
        events: resumable.then(|| EventBuffer::after(last_event_id)),
        stall_timer: SilenceDetector::new(request.gateway.now(), request.job.max_gap),
    };
    tokio::spawn(relay.run(first));
    body
}

impl Relay {
    async fn run(mut self, first: Bytes) {
        let gateway = Arc::clone(&self.request.gateway);
        let deadline = self.request.job.deadline;
        let mut deadline_timer = pin!(gateway.sleep_until(deadline));
        let mut event = StreamEvent::Part(first);
        loop {
            match event {
                StreamEvent::Part(part) => {
                    // A slow reader must not occupy the target past the deadline.
                    match gateway.timeout_at(deadline, self.forward(part)).await {
                        Some(Ok(())) => self.record_forwarded(),
                        Some(Err(ForwardError::Unread(unread))) => {
                            return self.abort(unread_cause(unread));
                        }
                        Some(Err(ForwardError::OutOfOrder)) => {
                            if !self.fail_over(OUT_OF_ORDER, CrashEvidence::None).await {
                                return self.abort(OUT_OF_ORDER);
                            }
                        }
                        None => return self.pass_deadline(),
                    }
                }
                StreamEvent::End if self.is_complete().await => {
                    return self.finish().await;
                }
                StreamEvent::End | StreamEvent::Truncated => {
                    if !self
                        .fail_over("stream cut", CrashEvidence::ConnectionLost)
                        .await
                    {
                        return self.abort("stream cut");
                    }
                }
                StreamEvent::Endless => {
                    if !self.fail_over(ENDLESS_FRAMING, CrashEvidence::None).await {
                        return self.abort(ENDLESS_FRAMING);
                    }
                }
                StreamEvent::TargetRestarted => {
                    if !self
                        .fail_over("target started again", CrashEvidence::TargetRestarted)
                        .await
                    {
                        return self.abort("target started again");
                    }
                }
                // Keep waiting, as the stream may continue and no other target can take over.
                StreamEvent::Stalled if !self.request.can_fail_over() => {
                    self.stall_timer.record_part(self.request.gateway.now());
                }
                StreamEvent::Stalled => {
                    if !self.fail_over("stream silent", CrashEvidence::None).await {
                        return self.abort("stream silent");
                    }
                }
                StreamEvent::Unread(unread) => return self.abort(unread_cause(unread)),
                StreamEvent::DeadlinePassed => return self.pass_deadline(),
            }
            event = self.next_event(deadline_timer.as_mut()).await;
        }
    }

    /// Waits for the next event.
    async fn next_event(
        &mut self,
        deadline_timer: Pin<&mut impl Future<Output = ()>>,
    ) -> StreamEvent {
        let can_resume = self.can_resume();
        let Some(upstream) = &mut self.upstream else {
            return StreamEvent::Truncated;
        };
        let gateway = &self.request.gateway;
        let termination = &mut self.flight.termination;
        tokio::select! {
            biased;
            // First, since parts without end may always be ready.
            () = deadline_timer => StreamEvent::DeadlinePassed,
            part = next_part(upstream) => match part {
                Ok(Some(part)) => StreamEvent::Part(part),
                Ok(None) => StreamEvent::End,
                Err(WireError::ResponseEndless) => StreamEvent::Endless,
                Err(_) => StreamEvent::Truncated,
            },
            unread = self.downstream.closed() => StreamEvent::Unread(unread),
            () = termination.wait() => StreamEvent::TargetRestarted,
            () = wait_for_stall(gateway, self.stall_timer), if can_resume => StreamEvent::Stalled,
        }
    }

    /// Abandons the current attempt and tries to resume the stream at another target.
    async fn fail_over(&mut self, cause: &'static str, crash_evidence: CrashEvidence) -> bool {
        // Closing the connection cancels the attempt, which must not run concurrently with the next
        // one.
        self.upstream = None;
        match crash_evidence {
            CrashEvidence::ConnectionLost => self.flight.record_fault(),
            CrashEvidence::None | CrashEvidence::TargetRestarted => self.flight.record_failure(),
        }
        self.request.log_failed_attempt(&self.flight, cause);
        self.request.record_loss(&self.flight, crash_evidence).await;
        let error = AttemptError::broken_stream(cause, crash_evidence);
        let request = &self.request;
        let execution = request.execution_after_loss(&self.flight, &error).await;
        self.try_resume(execution).await
    }

    /// Forwards a part. For a stream that may be resumed, forwards the events that the part
    /// completes.
    async fn forward(&mut self, part: Bytes) -> Result<(), ForwardError> {
        self.flight.boundary.push(&part);
        let part = match &mut self.events {
            Some(events) => Bytes::from(events.push(&part)),
            None => part,
        };
        if !part.is_empty() {
            let sent = self.downstream.send(part).await;
            sent.map_err(ForwardError::Unread)?;
        }
        if self.events.as_ref().is_some_and(EventBuffer::is_disordered) {
            return Err(ForwardError::OutOfOrder);
        }
        Ok(())
    }

    /// Records that a part was forwarded.
    fn record_forwarded(&mut self) {
        let gateway = &self.request.gateway;
        let now = gateway.now();
        let gap = self.stall_timer.idle_time(now);
        gateway.metrics.observe_gap(self.request.job.kind, gap);
        self.stall_timer.record_part(now);
        crashes::record_survival(gateway, &self.request.job, &mut self.flight);
    }

    /// Returns whether what has arrived is the whole answer, if its body has ended.
    async fn is_complete(&self) -> bool {
        match self.content {
            Content::Events => {
                self.flight.boundary.is_between_events() && !self.has_target_ended().await
            }
            Content::Bytes => true,
        }
    }

    /// Returns whether the end of the connection, which alone ended the stream, came with the end
    /// of the target's process.
    async fn has_target_ended(&self) -> bool {
        // A target that leaves may end as soon as its last stream is complete.
        if self.flight.framing != Some(Framing::Close) || !self.flight.is_in_service() {
            return false;
        }
        let gateway = &self.request.gateway;
        gateway.sleep_until(gateway.now() + END_CHECK_DELAY).await;
        let until = gateway.now() + END_CHECK_TIMEOUT;
        let ended = gateway.timeout_at(until, crashes::has_ended(gateway, &self.flight));
        ended.await == Some(true)
    }

    /// Returns whether the route allows another target to continue the stream, and the caller has
    /// received complete events only.
    fn can_resume(&self) -> bool {
        self.events.as_ref().is_some_and(EventBuffer::can_resume)
    }

    /// Resumes at another target after the last complete event. `execution` is how the attempt
    /// before ended. Returns whether that succeeded.
    async fn try_resume(&mut self, mut execution: ExecutionState) -> bool {
        let mut retry = None;
        while self.can_resume() {
            match self.request.plan.record_attempt(execution) {
                NextStep::Retry => {}
                NextStep::RetryWithinBudget => match self.request.spend_retry() {
                    Some(next) => retry = Some(next),
                    None => return false,
                },
                NextStep::Refuse | NextStep::Fail => return false,
            }
            match self.resume_at_next_target(retry.as_mut()).await {
                Resumption::Resumed => return true,
                Resumption::Lost(state) => execution = state,
                Resumption::Impossible => return false,
            }
        }
        false
    }

    async fn resume_at_next_target(&mut self, retry: Option<&mut RetryGuard>) -> Resumption {
        let request = &mut self.request;
        if crashes::quarantine_delay(&request.gateway, &request.job).is_some() {
            return Resumption::Impossible;
        }
        let Ok(mut flight) = reserve_target(
            &request.gateway,
            &request.job,
            &request.tried,
            request.version,
        ) else {
            return Resumption::Impossible;
        };
        request.tried.push(flight.in_flight.choice.key);
        let last = self.events.as_ref().and_then(EventBuffer::last_event_id);
        let last = last.map(str::to_owned);
        let first_part_deadline = request.first_part_deadline(&flight);
        let sending = send(
            &request.gateway,
            &request.job,
            &mut flight,
            first_part_deadline,
            last.as_deref(),
        );
        match retry::track(retry, sending).await {
            Ok(TargetAnswer::Stream { first, rest, .. }) => {
                if let Some(events) = &mut self.events {
                    events.discard_partial();
                }
                let fields = [
                    ("request", Field::Text(&request.job.id)),
                    ("target", Field::Text(&flight.instance)),
                    ("software", Field::Text(&flight.version)),
                    ("began_at", Field::Text(&self.flight.version)),
                    ("after", Field::Text(last.as_deref().unwrap_or(""))),
                ];
                request.gateway.log.write(Event::Resumed, &fields);
                self.flight = flight;
                self.upstream = Some(rest);
                self.stall_timer.record_part(self.request.gateway.now());
                match self.forward(first).await {
                    Ok(()) => Resumption::Resumed,
                    Err(ForwardError::Unread(_)) => Resumption::Impossible,
                    Err(ForwardError::OutOfOrder) => {
                        self.upstream = None;
                        self.flight.record_failure();
                        self.request.log_failed_attempt(&self.flight, OUT_OF_ORDER);
                        Resumption::Lost(ExecutionState::Unknown)
                    }
                }
            }
            Ok(TargetAnswer::Failure(_)) => {
                // The previous target served part of the stream, so the request is not at fault.
                flight.record_fault();
                request.log_failed_attempt(&flight, TARGET_FAILURE);
                Resumption::Lost(ExecutionState::Failed)
            }
            Ok(TargetAnswer::Whole(_)) => {
                request.log_failed_attempt(&flight, "no stream");
                Resumption::Lost(ExecutionState::Unknown)
            }
            Err(error) => {
                request.log_failed_attempt(&flight, error.cause);
                request.record_loss(&flight, error.crash_evidence).await;
                Resumption::Lost(request.execution_after_loss(&flight, &error).await)
            }
        }
    }

    /// Ends a complete stream, and waits until the caller has read it.
    async fn finish(self) {
        let request = &self.request;
        crashes::record_served(&request.gateway, &request.job, &self.flight, StatusCode::OK);
        self.request
            .log_answered(&self.flight, StatusCode::OK, self.first_part_after);
        let Some(unread) = self.downstream.finish() else {
            return;
        };
        // The target is done, so the request no longer counts toward its load.
        drop(self.flight);
        drop(self.upstream);
        let gateway = &self.request.gateway;
        let read = gateway.timeout_at(self.request.job.deadline, unread.closed());
        let cause = match read.await {
            Some(Unread::ReaderGone) => return,
            Some(Unread::Cut) => CUT_FOR_MEMORY,
            None => {
                unread.cut();
                DEADLINE_PASSED
            }
        };
        let fields = [
            ("request", Field::Text(&self.request.job.id)),
            ("what", Field::Text(cause)),
            ("held_ms", Field::Millis(self.request.elapsed())),
        ];
        gateway.metrics.count_failed_attempt(cause);
        gateway.log.write(Event::StreamCut, &fields);
    }

    /// Ends a stream at its deadline, after which nothing of it is held.
    fn pass_deadline(self) {
        self.downstream.cut();
        self.abort(DEADLINE_PASSED);
    }

    /// Ends an incomplete stream. The body is dropped unfinished, which breaks the caller's
    /// connection and so signals that the stream is truncated.
    fn abort(self, cause: &'static str) {
        let gap = self.stall_timer.idle_time(self.request.gateway.now());
        let content = self.request.job.fingerprint().to_string();
        let parts = self.request.job.part_names();
        let fields = [
            ("request", Field::Text(&self.request.job.id)),
            ("content", Field::Text(&content)),
            ("parts", Field::Text(&parts)),
            ("target", Field::Text(&self.flight.instance)),
            ("what", Field::Text(cause)),
            ("framing", Field::Text(self.flight.framing_name())),
            ("first_ms", Field::Millis(self.first_part_after)),
            ("quiet_ms", Field::Millis(gap)),
            ("held_ms", Field::Millis(self.request.elapsed())),
        ];
        self.request.gateway.metrics.count_failed_attempt(cause);
        self.request.gateway.log.write(Event::StreamCut, &fields);
    }
}

/// Returns the log text and metrics label for why a stream is no longer read.
const fn unread_cause(unread: Unread) -> &'static str {
    match unread {
        Unread::ReaderGone => "caller gone",
        Unread::Cut => CUT_FOR_MEMORY,
    }
}

/// Returns once a stream has been silent for too long.
async fn wait_for_stall(gateway: &Gateway, stall_timer: SilenceDetector) {
    while let StreamState::ActiveUntil(at) = stall_timer.state(gateway.now()) {
        gateway.sleep_until(at).await;
    }
}
