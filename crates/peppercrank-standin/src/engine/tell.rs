// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Responses with the answer of a stream, as events or as one body.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderValue;
use http::header;
use peppercrank_wire::body;
use peppercrank_wire::body::BodySender;
use peppercrank_wire::edge::Reply;

use crate::Error;
use crate::Result;
use crate::engine::answer;
use crate::engine::answer::Usage;
use crate::engine::serve::Shared;
use crate::engine::stream::Phase;
use crate::engine::stream::StreamKey;
use crate::web;

/// Number of frames that are buffered for the reader of an answer.
const BUFFERED_FRAMES: usize = 8;

/// The stream whose answer a response contains, and the ids it uses.
#[derive(Debug, Clone)]
pub(super) struct AnswerView {
    pub(super) key: StreamKey,
    /// Id in the response headers.
    pub(super) header_id: String,
    /// Id in the response body.
    pub(super) body_id: String,
    pub(super) model: String,
}

/// New tokens of a stream and its current state.
struct StreamUpdate {
    tokens: Vec<String>,
    phase: Phase,
    usage: Usage,
}

impl Shared {
    /// Waits until a stream has more than `from` tokens or has ended, and returns the tokens after
    /// the first `from`.
    async fn next_update(&self, key: StreamKey, from: u32) -> Result<StreamUpdate> {
        loop {
            let notified = {
                let mut state = self.state();
                let stream = state.engine.get(key).ok_or(Error::NotFound)?;
                let ended = matches!(stream.phase, Phase::Done | Phase::Cancelled);
                if ended || stream.usage.made > from {
                    return Ok(StreamUpdate {
                        tokens: (from..stream.usage.made)
                            .map(|n| stream.answer.token(n))
                            .collect(),
                        phase: stream.phase,
                        usage: stream.usage,
                    });
                }
                // Created while the lock is held, so that no notification is missed.
                Arc::clone(state.waker(key)).notified_owned()
            };
            notified.await;
        }
    }
}

/// Waits for the complete answer and returns it as one body.
pub(super) async fn complete_reply(shared: &Shared, view: &AnswerView) -> Result<Reply> {
    let mut text = String::new();
    let mut from = 0;
    loop {
        let update = shared.next_update(view.key, from).await?;
        text.extend(update.tokens);
        from = update.usage.made;
        match update.phase {
            Phase::Waiting | Phase::Running => {}
            Phase::Cancelled => return Ok(web::closed_connection()),
            Phase::Done => {
                let body = answer::completion(&view.body_id, &view.model, &text, update.usage);
                return Ok(with_request_id(web::json_reply(&body), &view.header_id));
            }
        }
    }
}

/// Returns a response that streams the answer as events, starting at event `from`.
pub(super) fn streaming_reply(shared: &Arc<Shared>, view: AnswerView, from: u32) -> Reply {
    let (feed, body) = body::channel(BUFFERED_FRAMES);
    let mut reply = Reply::new(body);
    let kind = HeaderValue::from_static("text/event-stream");
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    let reply = with_request_id(reply, &view.header_id);
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        tokio::select! {
            () = feed.closed() => {}
            done = send_events(&shared, &view, from, &feed) => {
                if done {
                    feed.finish();
                }
            }
        }
    });
    reply
}

/// Sends the events; returns whether the answer was sent to its end.
async fn send_events(shared: &Shared, view: &AnswerView, mut from: u32, feed: &BodySender) -> bool {
    loop {
        let Ok(update) = shared.next_update(view.key, from).await else {
            return false;
        };
        for token in &update.tokens {
            let event = answer::token_event(&view.body_id, token);
            if feed.send(Bytes::from(event)).await.is_err() {
                return false;
            }
        }
        match update.phase {
            Phase::Waiting | Phase::Running => from = update.usage.made,
            Phase::Cancelled => return false,
            Phase::Done => return send_end(view, from, update.usage, feed).await,
        }
    }
}

/// Sends the final event and the terminating one.
async fn send_end(view: &AnswerView, from: u32, usage: Usage, feed: &BodySender) -> bool {
    // The final event has number `made`; a client that resumes after it has already received it.
    if from <= usage.made {
        let last = answer::final_event(&view.body_id, usage);
        if feed.send(Bytes::from(last)).await.is_err() {
            return false;
        }
    }
    feed.send(Bytes::from_static(answer::DONE_EVENT.as_bytes()))
        .await
        .is_ok()
}

/// Sets the `x-request-id` header of a response.
pub(super) fn with_request_id(mut reply: Reply, id: &str) -> Reply {
    // The id was received in a header, so it is a valid header value.
    if let Ok(id) = HeaderValue::from_str(id) {
        reply.headers_mut().insert("x-request-id", id);
    }
    reply
}
