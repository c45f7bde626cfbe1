// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Bytes of answers that a process holds for callers that are behind, within a budget.
//!
//! A stream may be ahead of its caller by its own limit; beyond it the writer waits, which holds
//! back the sender. When all streams and answers together exceed the budget, the stream whose caller
//! has not read for the longest time is cut: its bytes are dropped, and its body ends with an error.
//! Answers that are still being collected have a limit of their own, as they may have no end; they
//! cut no stream beyond it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Bytes;
use http_body_util::BodyExt;
use slotmap::SlotMap;
use slotmap::new_key_type;
use tokio::time::Instant;

use crate::Error;
use crate::Result;
use crate::body::Body;

mod collected;
mod stream;

pub use collected::CollectedAnswer;
pub use stream::BufferWriter;
use stream::BufferedBody;

/// Bytes that count for each part in addition to its length, for its place in the queue.
const PART_OVERHEAD: usize = 64;

/// Bytes of an answer that are collected even while others have reached the limit, so that usual
/// answers need not be passed on before they are complete.
const MIN_COLLECTED_BYTES: usize = 32 * 1_024;

new_key_type! {
    /// Identifies a stream of a budget.
    struct StreamKey;
}

/// Limits of a [`BufferBudget`], in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BufferLimits {
    /// Bytes that one stream holds before its writer waits.
    pub stream: usize,
    /// Bytes that all answers hold together while they are being collected.
    pub collected: usize,
    /// Bytes that all streams and answers hold together.
    pub total: usize,
}

/// Whether an answer may be collected further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// There is room for more.
    Enough,
    /// The answers being collected have reached their limit.
    Collected,
    /// The budget is exceeded, even where no stream holds anything.
    Exceeded,
}

/// What a budget's streams hold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BufferUse {
    /// Bytes held for callers.
    pub bytes: usize,
    /// Streams that are held back because their callers are behind.
    pub waiting: usize,
    /// Streams that were cut since the start to free memory.
    pub cut: u64,
}

/// Why a stream is no longer read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// Its reader was dropped.
    ReaderGone,
    /// It was cut to free memory.
    Cut,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    /// The writer ended the stream regularly.
    Finished,
    /// The writer ended the stream early.
    Aborted,
    /// The budget took the stream's bytes.
    Cut,
    ReaderGone,
}

#[derive(Debug)]
struct Stream {
    parts: VecDeque<Bytes>,
    bytes: usize,
    /// When its reader last took a part, or the first unread part came.
    stalled_since: Instant,
    state: State,
    reader: Option<Waker>,
    /// Waits for room.
    writer: Option<Waker>,
    /// Waits until the stream is no longer read.
    watcher: Option<Waker>,
}

impl Stream {
    fn unread(&self) -> Option<Unread> {
        match self.state {
            State::Cut => Some(Unread::Cut),
            State::ReaderGone => Some(Unread::ReaderGone),
            State::Open | State::Finished | State::Aborted => None,
        }
    }
}

#[derive(Debug)]
struct Inner {
    limits: BufferLimits,
    /// Bytes of all streams and answers.
    bytes: usize,
    /// Those of answers that are being collected.
    collected: usize,
    cut: u64,
    streams: SlotMap<StreamKey, Stream>,
}

impl Inner {
    /// Ends a stream and drops its bytes.
    fn close(&mut self, key: StreamKey, state: State) {
        let Some(stream) = self.streams.get_mut(key) else {
            return;
        };
        self.bytes -= stream.bytes;
        stream.bytes = 0;
        stream.parts = VecDeque::new();
        stream.state = state;
        let wakers = [&mut stream.reader, &mut stream.writer, &mut stream.watcher];
        let wakers = wakers.into_iter().filter_map(Option::take);
        wakers.for_each(Waker::wake);
    }

    /// Takes the next part of a stream.
    fn poll_part(&mut self, key: StreamKey, cx: &Context<'_>) -> Poll<Option<Result<Bytes>>> {
        let Some(stream) = self.streams.get_mut(key) else {
            return Poll::Ready(Some(Err(Error::Aborted)));
        };
        if let Some(part) = stream.parts.pop_front() {
            let size = part.len() + PART_OVERHEAD;
            stream.bytes -= size;
            stream.stalled_since = Instant::now();
            self.bytes -= size;
            if let Some(writer) = stream.writer.take() {
                writer.wake();
            }
            return Poll::Ready(Some(Ok(part)));
        }
        match stream.state {
            State::Open => {
                stream.reader = Some(cx.waker().clone());
                Poll::Pending
            }
            State::Finished => Poll::Ready(None),
            State::Aborted | State::Cut | State::ReaderGone => {
                Poll::Ready(Some(Err(Error::Aborted)))
            }
        }
    }

    /// Cuts streams until the budget is kept or no stream holds anything.
    fn enforce(&mut self) {
        while self.bytes > self.limits.total {
            let holding = self.streams.iter().filter(|(_, s)| s.bytes > 0);
            // Its caller is the least likely to read the rest in time.
            let longest = holding.min_by_key(|(_, s)| s.stalled_since);
            let Some((key, _)) = longest else {
                return;
            };
            self.close(key, State::Cut);
            self.cut += 1;
        }
    }
}

/// Budget of the bytes that a process holds for callers that are behind.
#[derive(Debug, Clone)]
pub struct BufferBudget(Arc<Mutex<Inner>>);

impl BufferBudget {
    /// Creates a budget.
    #[must_use]
    pub fn new(limits: BufferLimits) -> Self {
        Self(Arc::new(Mutex::new(Inner {
            limits,
            bytes: 0,
            collected: 0,
            cut: 0,
            streams: SlotMap::with_key(),
        })))
    }

    /// Changes the limits, from the next part on.
    pub fn set_limits(&self, limits: BufferLimits) {
        self.lock().limits = limits;
    }

    /// Returns what is held now.
    #[must_use]
    pub fn usage(&self) -> BufferUse {
        let inner = self.lock();
        let limit = inner.limits.stream;
        let waiting = inner.streams.values().filter(|s| s.bytes >= limit);
        BufferUse {
            bytes: inner.bytes,
            waiting: waiting.count(),
            cut: inner.cut,
        }
    }

    /// Returns a body and its writer.
    #[must_use]
    pub fn stream(&self) -> (BufferWriter, Body) {
        let key = self.lock().streams.insert(Stream {
            parts: VecDeque::new(),
            bytes: 0,
            stalled_since: Instant::now(),
            state: State::Open,
            reader: None,
            writer: None,
            watcher: None,
        });
        let body = BufferedBody {
            budget: self.clone(),
            key,
            ended: false,
        };
        let writer = BufferWriter {
            budget: self.clone(),
            key,
        };
        (writer, body.boxed_unsync())
    }

    /// Returns a counter for the bytes of an answer that is being collected.
    #[must_use]
    pub fn hold(&self) -> HeldBytes {
        HeldBytes {
            budget: self.clone(),
            bytes: 0,
            is_complete: false,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes of a budget that are counted until this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: BufferBudget,
    bytes: usize,
    is_complete: bool,
}

impl HeldBytes {
    /// Counts further bytes, and returns whether more may follow. Streams are cut if the budget is
    /// exceeded.
    #[must_use]
    pub fn add(&mut self, bytes: usize) -> Room {
        let mut inner = self.budget.lock();
        inner.bytes += bytes;
        inner.collected += bytes;
        self.bytes += bytes;
        // More than fits alone is given up before any stream is cut for it.
        if self.bytes > inner.limits.total {
            return Room::Exceeded;
        }
        if self.bytes > MIN_COLLECTED_BYTES && inner.collected > inner.limits.collected {
            return Room::Collected;
        }
        inner.enforce();
        if inner.bytes > inner.limits.total {
            Room::Exceeded
        } else {
            Room::Enough
        }
    }

    /// Records that the answer is complete, so that it only waits for its caller.
    pub fn complete(&mut self) {
        self.budget.lock().collected -= self.bytes;
        self.is_complete = true;
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let mut inner = self.budget.lock();
        inner.bytes -= self.bytes;
        if !self.is_complete {
            inner.collected -= self.bytes;
        }
    }
}

/// Bytes that count toward a budget until they are dropped.
#[derive(Debug)]
struct CountedBytes {
    bytes: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns bytes that count toward their budget until the last copy is dropped.
#[must_use]
pub fn counted(bytes: Bytes, held: HeldBytes) -> Bytes {
    Bytes::from_owner(CountedBytes { bytes, _held: held })
}
