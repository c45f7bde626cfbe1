// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Passing a target's answer on, whole or not at all.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::keys::RequestId;
use peppercrank_core::refusal::MayHaveRun;
use peppercrank_wire::body;
use peppercrank_wire::body::Feed;
use peppercrank_wire::client::AnswerBody;
use peppercrank_wire::client::Client;
use peppercrank_wire::client::Reuse;
use tokio::time::sleep;

use crate::agent::desk::Pass;
use crate::headers;
use crate::reply;
use crate::stream::Events;
use crate::stream::Usage;

/// Frames that may wait for a slow reader before the target is held back.
pub const DEPTH: usize = 16;

/// Times that one stream is resumed at most.
const RESUMES: u32 = 3;

/// Time before the first resumption; it doubles with each further one.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// `Ending` is how the passing on of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer went out.
    Whole(Option<Usage>),
    /// The target's answer broke off and could not be made whole.
    Cut,
    /// The reader went away.
    ReaderGone,
    /// The admission ended the request.
    Cancelled,
}

/// `Source` is where a streamed answer comes from, and whose it is.
#[derive(Debug)]
pub struct Source<'a> {
    /// The client towards the target.
    pub client: &'a Client,
    /// The target.
    pub target: std::net::SocketAddr,
    /// The attempt.
    pub attempt: AttemptId,
    /// The request.
    pub request: RequestId,
}

/// What to do after one frame, or the lack of one.
enum Step {
    Frame(Bytes),
    End,
    Cut,
    ReaderGone,
    Cancelled,
}

/// `plain` passes an answer on as it comes; one that breaks off breaks the copy off too.
pub async fn plain(mut from: AnswerBody, to: Feed, pass: &Pass, usage: bool) -> Ending {
    // The usage stands in a chat's answer, which is short; a service's may be long.
    let mut seen = Vec::new();
    loop {
        match next(&mut from, &to, pass).await {
            Step::Frame(bytes) => {
                if usage {
                    seen.extend_from_slice(&bytes);
                }
                if to.send(bytes).await.is_err() {
                    return Ending::ReaderGone;
                }
            }
            Step::End => {
                to.finish();
                return Ending::Whole(Usage::read(&seen));
            }
            Step::Cut => return Ending::Cut,
            Step::ReaderGone => return Ending::ReaderGone,
            Step::Cancelled => return Ending::Cancelled,
        }
    }
}

/// `streamed` passes a streamed answer on event by event, and resumes it after a cut.
///
/// A stream that cannot be made whole ends with an error event, so that it never looks whole.
pub async fn streamed(
    mut from: AnswerBody,
    to: Feed,
    pass: &Pass,
    source: &Source<'_>,
    resumed: impl Fn(),
) -> Ending {
    let mut events = Events::default();
    let mut tries = 0;
    loop {
        match next(&mut from, &to, pass).await {
            Step::Frame(bytes) => {
                let whole = events.feed(&bytes);
                if !whole.is_empty() && to.send(whole).await.is_err() {
                    cancel(source).await;
                    return Ending::ReaderGone;
                }
            }
            Step::End if events.is_whole() => {
                to.finish();
                return Ending::Whole(events.usage());
            }
            Step::End | Step::Cut => {
                events.restart();
                match resume(source, events.count(), &mut tries).await {
                    Some(body) => {
                        resumed();
                        from = body;
                    }
                    None => {
                        return fail(to, source, MayHaveRun::Cut, Ending::Cut).await;
                    }
                }
            }
            Step::ReaderGone => {
                cancel(source).await;
                return Ending::ReaderGone;
            }
            Step::Cancelled => {
                cancel(source).await;
                return fail(to, source, MayHaveRun::Cut, Ending::Cancelled).await;
            }
        }
    }
}

async fn next(from: &mut AnswerBody, to: &Feed, pass: &Pass) -> Step {
    tokio::select! {
        biased;
        () = pass.cancelled() => Step::Cancelled,
        () = to.closed() => Step::ReaderGone,
        frame = from.frame() => match frame {
            None => Step::End,
            Some(Err(_)) => Step::Cut,
            Some(Ok(frame)) => Step::Frame(frame.into_data().unwrap_or_default()),
        },
    }
}

/// Ends a stream with an error event in place of the events that are missing.
async fn fail(to: Feed, source: &Source<'_>, reason: MayHaveRun, ending: Ending) -> Ending {
    let event = reply::error_event(reason, Some(source.request));
    if to.send(event.into()).await.is_ok() {
        to.finish();
    }
    ending
}

/// Asks the engine for the rest of a stream, a few times.
async fn resume(source: &Source<'_>, from: u64, tries: &mut u32) -> Option<AnswerBody> {
    while *tries < RESUMES {
        sleep(RESUME_PAUSE * (1 << *tries)).await;
        *tries += 1;
        let path = format!("/v1/streams/{}?from={from}", source.attempt);
        let request = Request::get(path).body(body::empty()).ok()?;
        let Ok(answer) = source
            .client
            .send(source.target, request, Reuse::Allowed)
            .await
        else {
            continue;
        };
        if answer.status().is_success() && echoes(answer.headers(), source.attempt) {
            return Some(answer.into_body());
        }
        // The engine answers and does not have the stream any more.
        if answer.status().is_client_error() {
            return None;
        }
    }
    None
}

/// Tells the engine that nobody wants the rest of a stream.
async fn cancel(source: &Source<'_>) {
    let path = format!("/v1/streams/{}", source.attempt);
    let request = Request::builder()
        .method(Method::DELETE)
        .uri(path)
        .body(body::empty());
    if let Ok(request) = request {
        // A lost cancellation costs work of the engine, never a wrong answer.
        drop(
            source
                .client
                .send(source.target, request, Reuse::Allowed)
                .await,
        );
    }
}

/// `echoes` tells whether an answer is to this attempt.
#[must_use]
pub fn echoes(of: &http::HeaderMap, attempt: AttemptId) -> bool {
    headers::parsed(of, &headers::REQUEST_ID) == Some(attempt)
}
