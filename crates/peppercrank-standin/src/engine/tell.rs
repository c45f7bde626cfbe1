// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! How a stream's answer is told: event by event, or in one body.

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

/// Frames of an answer that are made ahead of its reader.
const AHEAD: usize = 8;

/// `View` is whose answer is told, and under which id.
#[derive(Debug, Clone)]
pub(super) struct View {
    pub(super) key: StreamKey,
    /// The id in the answer's head.
    pub(super) head: String,
    /// The id in its body.
    pub(super) id: String,
    pub(super) model: String,
}

/// `Part` is what is new of a stream.
struct Part {
    pieces: Vec<String>,
    phase: Phase,
    usage: Usage,
}

impl Shared {
    /// Waits for what comes of a stream after its first `from` pieces.
    async fn part(&self, key: StreamKey, from: u32) -> Result<Part> {
        loop {
            let waker = {
                let mut state = self.state();
                let stream = state.engine.stream_of(key).ok_or(Error::Unknown)?;
                let ended = matches!(stream.phase, Phase::Done | Phase::Cancelled);
                if ended || stream.usage.made > from {
                    return Ok(Part {
                        pieces: (from..stream.usage.made)
                            .map(|n| stream.answer.piece(n))
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
pub(super) async fn whole(shared: &Shared, view: &View) -> Result<Reply> {
    let mut text = String::new();
    let mut from = 0;
    loop {
        let part = shared.part(view.key, from).await?;
        text.extend(part.pieces);
        from = part.usage.made;
        match part.phase {
            Phase::Waiting | Phase::Running => {}
            Phase::Cancelled => return Ok(web::dropped()),
            Phase::Done => {
                let body = answer::whole(&view.id, &view.model, &text, part.usage);
                return Ok(named(web::reply(&body), &view.head));
            }
        }
    }
}

/// Tells an answer event by event.
pub(super) fn streamed(shared: &Arc<Shared>, view: View, from: u32) -> Reply {
    let (feed, body) = body::channel(AHEAD);
    let mut reply = Reply::new(body);
    let kind = HeaderValue::from_static("text/event-stream");
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    let reply = named(reply, &view.head);
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        tokio::select! {
            () = feed.closed() => {}
            done = tell(&shared, &view, from, &feed) => {
                if done {
                    feed.finish();
                }
            }
        }
    });
    reply
}

/// Writes the events; tells whether that was the whole answer.
async fn tell(shared: &Shared, view: &View, mut from: u32, feed: &BodySender) -> bool {
    loop {
        let Ok(part) = shared.part(view.key, from).await else {
            return false;
        };
        for piece in &part.pieces {
            let event = answer::event(&view.id, piece);
            if feed.send(Bytes::from(event)).await.is_err() {
                return false;
            }
        }
        match part.phase {
            Phase::Waiting | Phase::Running => from = part.usage.made,
            Phase::Cancelled => return false,
            Phase::Done => return tell_end(view, from, part.usage, feed).await,
        }
    }
}

/// Writes what follows the last piece.
async fn tell_end(view: &View, from: u32, usage: Usage, feed: &BodySender) -> bool {
    // The last event is numbered `made`; who resumes after it has it already.
    if from <= usage.made {
        let last = answer::last_event(&view.id, usage);
        if feed.send(Bytes::from(last)).await.is_err() {
            return false;
        }
    }
    feed.send(Bytes::from_static(answer::DONE.as_bytes()))
        .await
        .is_ok()
}

/// Writes the id that an answer is to.
pub(super) fn named(mut reply: Reply, id: &str) -> Reply {
    // An id came in as a header, so it can go out as one.
    if let Ok(id) = HeaderValue::from_str(id) {
        reply.headers_mut().insert("x-request-id", id);
    }
    reply
}
