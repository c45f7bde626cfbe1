// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Delivery of an answer that has begun, whole or with its error told.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use peppercrank_core::events::Event as LogEvent;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::refusal::AttemptOutcome;
use peppercrank_core::refusal::MayHaveRun;
use peppercrank_route::Event;
use peppercrank_wire::body;
use peppercrank_wire::body::BodySender;
use peppercrank_wire::client::ResponseBody;
use peppercrank_wire::edge::Reply;
use peppercrank_wire::headers::strip_hop_by_hop;
use tokio::time::sleep_until;

use crate::agent::relay::DEPTH;
use crate::headers;
use crate::reply;
use crate::router::job::Shape;
use crate::router::request::Course;
use crate::router::try_once::Begun;
use crate::stream::Events;
use crate::stream::Kind;

/// What comes after a part of an answer.
enum Step {
    Part(Bytes),
    End,
    Failed(MayHaveRun),
    CallerGone,
}

/// `start` starts to deliver an answer and returns its head.
pub fn start(mut course: Course, attempt: AttemptId, begun: Begun) -> Reply {
    let Begun {
        mut head,
        first,
        rest,
    } = begun;
    course.on(Event::FirstByte { attempt });
    let waited = course.router.clock.now().since(course.begun);
    course.router.metrics.first.observe(waited.as_secs_f64());
    strip_hop_by_hop(&mut head.headers);
    let target = head.headers.get(headers::TARGET).cloned();
    headers::strip_ours(&mut head.headers);
    if let Some(target) = target {
        head.headers.insert(headers::TARGET, target);
    }
    let Some(rest) = rest else {
        course.served(attempt);
        return Reply::from_parts(head, body::full(first));
    };
    let kind = headers::text(&head.headers, &http::header::CONTENT_TYPE);
    let events = kind.is_some_and(|k| k.starts_with("text/event-stream"));
    let streamed = course.job.shape == Shape::Streamed && events;
    let (feed, body) = body::channel(DEPTH);
    tokio::spawn(async move {
        if streamed {
            pass_events(course, attempt, first, rest, feed).await;
        } else {
            pass_plain(course, attempt, first, rest, feed).await;
        }
    });
    Reply::from_parts(head, body)
}

/// Passes a stream on event by event; one that breaks off ends with an error event.
async fn pass_events(
    mut course: Course,
    attempt: AttemptId,
    first: Bytes,
    mut rest: ResponseBody,
    to: BodySender,
) {
    let mut events = Events::default();
    let mut step = Step::Part(first);
    let mut last = None;
    let reason = loop {
        match step {
            Step::Part(bytes) => {
                events.push(&bytes);
                let mut batch = BytesMut::new();
                while let Some(event) = events.pull() {
                    batch.extend_from_slice(&event.bytes);
                    last = Some(event.kind);
                }
                if !batch.is_empty() && to.send(batch.freeze()).await.is_err() {
                    return gone(course);
                }
                if events.is_overlong() {
                    break MayHaveRun::BadAnswer;
                }
            }
            Step::End if last == Some(Kind::Done) => {
                to.finish();
                return course.served(attempt);
            }
            Step::End if last == Some(Kind::Error) => {
                to.finish();
                return failed(&mut course, attempt, MayHaveRun::Cut);
            }
            Step::End => break MayHaveRun::Cut,
            Step::Failed(reason) => break reason,
            Step::CallerGone => return gone(course),
        }
        step = next(&course, &mut rest, &to).await;
    };
    let event = reply::error_event(reason, Some(course.job.id));
    if to.send(event.into()).await.is_ok() {
        to.finish();
    }
    failed(&mut course, attempt, reason);
}

/// Passes an answer on as it comes; one that breaks off breaks the caller's off too.
async fn pass_plain(
    mut course: Course,
    attempt: AttemptId,
    first: Bytes,
    mut rest: ResponseBody,
    to: BodySender,
) {
    let mut step = Step::Part(first);
    loop {
        match step {
            Step::Part(bytes) => {
                if to.send(bytes).await.is_err() {
                    return gone(course);
                }
            }
            Step::End => {
                to.finish();
                return course.served(attempt);
            }
            Step::Failed(reason) => return failed(&mut course, attempt, reason),
            Step::CallerGone => return gone(course),
        }
        step = next(&course, &mut rest, &to).await;
    }
}

async fn next(course: &Course, rest: &mut ResponseBody, to: &BodySender) -> Step {
    let end = course
        .router
        .clock
        .timer_instant(course.job.deadline)
        .into();
    tokio::select! {
        biased;
        () = to.closed() => Step::CallerGone,
        frame = rest.frame() => match frame {
            None => Step::End,
            Some(Ok(frame)) => Step::Part(frame.into_data().unwrap_or_default()),
            Some(Err(_)) => Step::Failed(MayHaveRun::Cut),
        },
        () = sleep_until(end) => Step::Failed(MayHaveRun::Timeout),
    }
}

/// Notes that an answer broke off after some of it was delivered.
fn failed(course: &mut Course, attempt: AttemptId, reason: MayHaveRun) {
    course.on(Event::MayHaveRun { attempt, reason });
    course.router.count(AttemptOutcome::MayHaveRun(reason));
    let about = format!("{} {}", course.job.id, reason.code());
    course
        .router
        .fleet
        .log
        .write_about(LogEvent::StreamCut, &about);
}

/// Notes that the caller went away; dropping the answer's body cancels the work.
fn gone(mut course: Course) {
    course.on(Event::CallerGone);
    course
        .router
        .count(AttemptOutcome::MayHaveRun(MayHaveRun::CallerGone));
    course
        .router
        .fleet
        .log
        .write_about(LogEvent::CallerGone, &course.job.id.to_string());
}
