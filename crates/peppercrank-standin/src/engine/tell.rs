// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How a stream's answer is told: event by event, or in one body.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderValue;
use http::header;
use peppercrank_wire::body;
use peppercrank_wire::body::Feed;
use peppercrank_wire::edge::Reply;

use crate::Error;
use crate::Result;
use crate::engine::answer;
use crate::engine::answer::Usage;
use crate::engine::serve::Shared;
use crate::engine::stream::Phase;
use crate::engine::stream::StreamKey;
use crate::web;

/// Frames of an answer that are made ahead of its reader.
const BUFFERED_FRAMES: usize = 8;

/// `View` is whose answer is told, and under which id.
#[derive(Debug, Clone)]
pub(super) struct AnswerView {
    pub(super) key: StreamKey,
    /// The id in the answer's head.
    pub(super) header_id: String,
    /// The id in its body.
    pub(super) body_id: String,
    pub(super) model: String,
}

/// `Part` is what is new of a stream.
struct StreamUpdate {
    tokens: Vec<String>,
    phase: Phase,
    usage: Usage,
}

impl Shared {
    /// Waits for what comes of a stream after its first `from` pieces.
    async fn next_update(&self, key: StreamKey, from: u32) -> Result<StreamUpdate> {
        loop {
            let waker = {
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
                // Made while the lock is held, so that no news slips by.
                Arc::clone(state.waker(key)).notified_owned()
            };
            waker.await;
        }
    }
}

/// Waits for the whole answer and tells it in one body.
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

/// Tells an answer event by event.
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

/// Writes the events; tells whether that was the whole answer.
async fn send_events(shared: &Shared, view: &AnswerView, mut from: u32, feed: &Feed) -> bool {
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

/// Writes what follows the last piece.
async fn send_end(view: &AnswerView, from: u32, usage: Usage, feed: &Feed) -> bool {
    // The last event is numbered `made`; who resumes after it has it already.
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

/// Writes the id that an answer is to.
pub(super) fn with_request_id(mut reply: Reply, id: &str) -> Reply {
    // An id came in as a header, so it can go out as one.
    if let Ok(id) = HeaderValue::from_str(id) {
        reply.headers_mut().insert("x-request-id", id);
    }
    reply
}
