// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Passing a target's answer on, whole or not at all.

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Limited;
use peppercrank_core::keys::AttemptId;
use peppercrank_core::keys::RequestId;
use peppercrank_core::refusal::MayHaveRun;
use peppercrank_core::time::Instant;
use peppercrank_core::units::Cost;
use peppercrank_route::resume;
use peppercrank_route::resume::Input;
use peppercrank_route::resume::Stream;
use peppercrank_wire::body;
use peppercrank_wire::body::BodySender;
use peppercrank_wire::client::Client;
use peppercrank_wire::client::ResponseBody;
use peppercrank_wire::client::Reuse;
use tokio::time::sleep_until;

use crate::agent::work::Work;
use crate::clock::Clock;
use crate::headers;
use crate::reply;
use crate::stream::Events;
use crate::stream::Kind;
use crate::stream::Usage;
use crate::stream::named_in;

/// Frames that may wait for a slow reader before the target is held back.
pub const DEPTH: usize = 16;

/// The longest answer that is read whole before any of it is passed on, in bytes.
pub const MAX_WHOLE: usize = 16 * 1_024 * 1_024;

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
    /// What the answer alone is expected to cost.
    pub output: Cost,
    /// When its time is over.
    pub deadline: Instant,
    /// The clock.
    pub clock: Clock,
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
pub async fn plain(mut from: ResponseBody, to: BodySender, work: &Work) -> Ending {
    loop {
        match next(&mut from, &to, work).await {
            Step::Frame(bytes) => {
                if to.send(bytes).await.is_err() {
                    return Ending::ReaderGone;
                }
            }
            Step::End => {
                to.finish();
                return Ending::Whole(None);
            }
            Step::Cut => return Ending::Cut,
            Step::ReaderGone => return Ending::ReaderGone,
            Step::Cancelled => return Ending::Cancelled,
        }
    }
}

/// `whole` reads an engine's whole answer, which is checked before any of it is passed on.
///
/// # Errors
///
/// Returns why the answer is none.
pub async fn whole(
    from: ResponseBody,
    work: &Work,
    attempt: AttemptId,
) -> Result<Bytes, MayHaveRun> {
    let read = Limited::new(from, MAX_WHOLE).collect();
    let read = tokio::select! {
        read = read => read,
        () = work.cancelled() => return Err(MayHaveRun::Cut),
    };
    let Ok(read) = read else {
        return Err(MayHaveRun::Cut);
    };
    let bytes = read.to_bytes();
    match named_in(&bytes) {
        Some(named) if named != attempt => Err(MayHaveRun::WrongAnswer),
        _ => Ok(bytes),
    }
}

/// `streamed` passes a streamed answer on event by event, and resumes it after a cut.
///
/// A stream that cannot be made whole ends with an error event, so that it never looks whole.
pub async fn streamed(
    mut from: ResponseBody,
    to: BodySender,
    work: &Work,
    source: &Source<'_>,
    resumed: impl Fn(),
) -> Ending {
    let mut stream = Stream::new(source.attempt, source.deadline);
    let mut events = Events::default();
    let mut input = None;
    loop {
        let heard = match input.take() {
            Some(input) => input,
            None => match next(&mut from, &to, work).await {
                Step::Frame(bytes) => {
                    events.push(&bytes);
                    if stream.passed() == 0 {
                        // The prompt has been read, whatever of it was cached.
                        work.revise(source.output);
                    }
                    match pass_whole(&mut events, &mut stream, source, &to).await {
                        Some(end) => return finish(end, to, source, &events).await,
                        None => continue,
                    }
                }
                Step::End | Step::Cut => Input::Cut,
                Step::ReaderGone => Input::CallerGone,
                Step::Cancelled => {
                    fail(to, source, MayHaveRun::Cut).await;
                    return Ending::Cancelled;
                }
            },
        };
        match stream.on(source.clock.now(), heard) {
            resume::Step::Resume { from: at } => {
                events.restart();
                match ask_again(source, at).await {
                    Ok(body) => {
                        resumed();
                        from = body;
                    }
                    Err(failed) => input = Some(failed),
                }
            }
            resume::Step::Wait { until } => {
                sleep_until(source.clock.timer_instant(until).into()).await;
                input = Some(Input::Tick);
            }
            end => return finish(end, to, source, &events).await,
        }
    }
}

/// Passes on what is whole of a stream; returns its end when it has come.
async fn pass_whole(
    events: &mut Events,
    stream: &mut Stream,
    source: &Source<'_>,
    to: &BodySender,
) -> Option<resume::Step> {
    let mut batch = BytesMut::new();
    let mut end = None;
    while let Some(event) = events.pull() {
        let input = match event.kind {
            Kind::Part(attempt) => Input::Event {
                attempt: attempt.unwrap_or(source.attempt),
            },
            Kind::Done => Input::End,
            // The engine itself says that it cannot go on.
            Kind::Error => Input::Gone,
        };
        let step = stream.on(source.clock.now(), input);
        if matches!(step, resume::Step::Pass | resume::Step::Finish) {
            batch.extend_from_slice(&event.bytes);
        }
        if step != resume::Step::Pass {
            end = Some(step);
            break;
        }
    }
    if end.is_none() && events.is_overlong() {
        end = Some(resume::Step::Fail(MayHaveRun::BadAnswer));
    }
    if !batch.is_empty() && to.send(batch.freeze()).await.is_err() {
        return Some(resume::Step::Cancel);
    }
    end
}

/// Ends a stream as its state machine said.
async fn finish(end: resume::Step, to: BodySender, source: &Source<'_>, events: &Events) -> Ending {
    match end {
        resume::Step::Finish => {
            to.finish();
            Ending::Whole(events.usage())
        }
        resume::Step::Fail(reason) => {
            fail(to, source, reason).await;
            Ending::Cut
        }
        _ => Ending::ReaderGone,
    }
}

async fn next(from: &mut ResponseBody, to: &BodySender, work: &Work) -> Step {
    tokio::select! {
        biased;
        () = work.cancelled() => Step::Cancelled,
        () = to.closed() => Step::ReaderGone,
        frame = from.frame() => match frame {
            None => Step::End,
            Some(Err(_)) => Step::Cut,
            Some(Ok(frame)) => Step::Frame(frame.into_data().unwrap_or_default()),
        },
    }
}

/// Ends a stream with an error event in place of the events that are missing.
async fn fail(to: BodySender, source: &Source<'_>, reason: MayHaveRun) {
    let event = reply::error_event(reason, Some(source.request));
    if to.send(event.into()).await.is_ok() {
        to.finish();
    }
}

/// Asks the engine for the rest of a stream.
async fn ask_again(source: &Source<'_>, from: u64) -> Result<ResponseBody, Input> {
    let path = format!("/v1/streams/{}?from={from}", source.attempt);
    let Ok(request) = Request::get(path).body(body::empty()) else {
        return Err(Input::Gone);
    };
    let sent = source.client.send(source.target, request, Reuse::Allowed);
    let Ok(answer) = sent.await else {
        return Err(Input::Cut);
    };
    if answer.status().is_success() && echoes(answer.headers(), source.attempt) {
        return Ok(answer.into_body());
    }
    // An engine that answers so does not have the stream any more.
    if answer.status().is_client_error() {
        return Err(Input::Gone);
    }
    Err(Input::Cut)
}

/// `echoes` tells whether an answer is to this attempt.
#[must_use]
pub fn echoes(of: &http::HeaderMap, attempt: AttemptId) -> bool {
    headers::parsed(of, &headers::REQUEST_ID) == Some(attempt)
}
