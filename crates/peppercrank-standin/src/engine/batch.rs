// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Simulated engine without I/O: continuous batching with a prefix cache.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use peppercrank_core::time::Instant;
use serde::Serialize;
use slotmap::SlotMap;

use crate::Error;
use crate::Result;
use crate::engine::answer::Answer;
use crate::engine::answer::MIN_ANSWER_TOKENS;
use crate::engine::answer::Usage;
use crate::engine::cache::PrefixCache;
use crate::engine::journal::CachePage;
use crate::engine::journal::Journal;
use crate::engine::orders::FencedOrder;
use crate::engine::orders::OrderState;
use crate::engine::prompt;
use crate::engine::settings::EngineSettings;
use crate::engine::stream::ChatRequest;
use crate::engine::stream::Phase;
use crate::engine::stream::Stream;
use crate::engine::stream::StreamKey;
use crate::lag::Lagged;
use crate::runs::RunCounts;

/// Load report of the engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Load {
    /// Incarnation of the engine, which changes with each restart.
    pub incarnation: u64,
    /// Number of chats that have a slot.
    pub running: usize,
    /// Number of chats that wait for a slot.
    pub waiting: usize,
    /// Total prompt and answer tokens of these chats, processed or not.
    pub tokens: u64,
}

/// State of the simulated engine; callers pass in the time and deliver the answers.
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    cache: PrefixCache,
    journal: Journal,
    orders: OrderState,
    runs: RunCounts,
    reported_load: Lagged<Load>,
    streams: SlotMap<StreamKey, Stream>,
    keys_by_id: HashMap<String, StreamKey>,
    waiting: BTreeSet<((u8, u64), StreamKey)>,
    running: BTreeSet<(Instant, StreamKey)>,
    retained: VecDeque<(Instant, StreamKey)>,
    changed: BTreeSet<StreamKey>,
    pending_tokens: u64,
    submitted: u64,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        let orders = OrderState {
            models: settings.models.iter().cloned().collect(),
            ..OrderState::default()
        };
        let idle = Load {
            incarnation: settings.incarnation,
            ..Load::default()
        };
        Self {
            cache: PrefixCache::new(settings.cache_tokens / settings.block_tokens.max(1)),
            journal: Journal::default(),
            orders,
            runs: RunCounts::default(),
            reported_load: Lagged::new(idle),
            streams: SlotMap::with_key(),
            keys_by_id: HashMap::new(),
            waiting: BTreeSet::new(),
            running: BTreeSet::new(),
            retained: VecDeque::new(),
            changed: BTreeSet::new(),
            pending_tokens: 0,
            submitted: 0,
            settings,
        }
    }

    /// Queues a chat; it starts at once if a slot is free.
    ///
    /// # Errors
    ///
    /// Returns [`Error::ModelNotLoaded`] if its model is not loaded and
    /// [`Error::DuplicateStream`] if a stream with its id has not ended; in both cases the chat
    /// does not run.
    pub fn submit(&mut self, now: Instant, chat: ChatRequest) -> Result<StreamKey> {
        if !self.orders.is_loaded(&chat.body.model) {
            return Err(Error::ModelNotLoaded(chat.body.model));
        }
        self.drop_expired(now);
        let id = chat.ids.attempt.clone();
        if let Some(old) = self.find(&id) {
            if matches!(self.streams[old].phase, Phase::Waiting | Phase::Running) {
                return Err(Error::DuplicateStream);
            }
            self.streams.remove(old);
        }
        let stream = self.new_stream(now, chat);
        let rank = stream.queue_rank;
        self.pending_tokens += stream.total_tokens();
        let key = self.streams.insert(stream);
        self.keys_by_id.insert(id, key);
        self.waiting.insert((rank, key));
        self.fill_slots(now);
        self.advance(now);
        Ok(key)
    }

    /// Returns the time at which [`Engine::advance`] has work to do, or `None` if no stream runs.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        self.running.first().map(|(due, _)| *due)
    }

    /// Generates the tokens that are due by `now`.
    pub fn advance(&mut self, now: Instant) {
        while let Some((due, key)) = self.running.first().copied()
            && due <= now
        {
            self.running.pop_first();
            self.generate_token(due, key);
            // The load changes when the token was due, even if the caller advances late.
            self.update_load(due);
        }
        self.update_load(now);
    }

    /// Returns the streams that got a token or ended since the previous call.
    pub fn take_changed(&mut self) -> BTreeSet<StreamKey> {
        std::mem::take(&mut self.changed)
    }

    /// Returns the number of streams, including retained ones that have ended.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether there are no streams, not even retained ones.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Returns the stream that answers an attempt, or `None` if there is none.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<StreamKey> {
        self.keys_by_id.get(id).copied()
    }

    /// Returns a stream, or `None` if it has been discarded.
    #[must_use]
    pub fn get(&self, key: StreamKey) -> Option<&Stream> {
        self.streams.get(key)
    }

    /// Cancels a waiting or running stream.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotFound`] if it has already ended or does not exist.
    pub fn cancel(&mut self, now: Instant, id: &str) -> Result<StreamKey> {
        let key = self.find(id).ok_or(Error::NotFound)?;
        let stream = self.streams.get_mut(key).ok_or(Error::NotFound)?;
        match stream.phase {
            Phase::Waiting => self.waiting.remove(&(stream.queue_rank, key)),
            Phase::Running => self.running.remove(&(stream.next_token_at, key)),
            Phase::Done | Phase::Cancelled => return Err(Error::NotFound),
        };
        self.end_stream(now, key, Phase::Cancelled);
        self.advance(now);
        Ok(key)
    }

    /// Returns the load report that callers see at `now`.
    pub fn load(&mut self, now: Instant) -> Load {
        let lag = Duration::from_millis(self.settings.load_lag_ms);
        *self.reported_load.visible_at(now, lag)
    }

    /// Returns the cache events that callers see at `now`, starting at sequence number `since`.
    #[must_use]
    pub fn cache_page(&self, now: Instant, since: u64) -> CachePage {
        let delay = Duration::from_millis(self.settings.events_late_ms);
        CachePage {
            incarnation: self.settings.incarnation,
            ..self
                .journal
                .page(now, since, delay, self.settings.events_gap)
        }
    }

    /// Applies an order and returns the highest fencing number received.
    ///
    /// # Errors
    ///
    /// Returns [`Error::StaleFence`] for a lower number than before, if this engine checks it.
    pub fn apply_order(&mut self, order: FencedOrder) -> Result<u64> {
        self.orders.apply(order, self.settings.check_fence)
    }

    /// Returns the result of the orders applied so far.
    #[must_use]
    pub const fn orders(&self) -> &OrderState {
        &self.orders
    }

    /// Returns how often each request ran.
    #[must_use]
    pub const fn runs(&self) -> &RunCounts {
        &self.runs
    }

    /// Creates the stream of a chat, in the waiting phase.
    fn new_stream(&mut self, now: Instant, chat: ChatRequest) -> Stream {
        self.submitted += 1;
        let attempt = &chat.ids.attempt;
        let request = chat.ids.request.as_deref().unwrap_or(attempt);
        let output_tokens = chat
            .body
            .requested_tokens()
            .unwrap_or(self.settings.answer_tokens);
        let text = chat.body.prompt();
        let usage = Usage {
            prompt: prompt::token_count(text.len()),
            ..Usage::default()
        };
        Stream {
            id: attempt.clone(),
            phase: Phase::Waiting,
            answer: Answer::new(&chat.body.digest(), request, attempt),
            usage,
            blocks: prompt::block_hashes(
                &chat.body.model,
                &text,
                self.settings.block_tokens.max(1),
            ),
            model: chat.body.model,
            text,
            ids: chat.ids,
            chat_key: chat.chat_key,
            prefix_key: chat.prefix_key,
            output_tokens: output_tokens.clamp(
                MIN_ANSWER_TOKENS,
                self.settings.longest.max(MIN_ANSWER_TOKENS),
            ),
            queue_rank: (u8::MAX - chat.priority, self.submitted),
            next_token_at: now,
        }
    }

    /// Assigns free slots to waiting streams, the highest priority first.
    fn fill_slots(&mut self, now: Instant) {
        while self.running.len() < self.settings.slots.max(1) {
            let Some((_, key)) = self.waiting.pop_first() else {
                return;
            };
            self.start_stream(now, key);
        }
    }

    /// Puts a stream in a slot and schedules its prefill; cached prompt blocks take no time.
    fn start_stream(&mut self, now: Instant, key: StreamKey) {
        let stream = &mut self.streams[key];
        self.runs.record_run(&stream.ids);
        let cached_blocks = self.cache.cached_prefix(&stream.blocks);
        stream.usage.cached = (cached_blocks * self.settings.block_tokens) as u64;
        let uncached = stream.usage.prompt - stream.usage.cached;
        let micros = uncached.saturating_mul(self.settings.prefill_us);
        stream.phase = Phase::Running;
        stream.next_token_at =
            now + Duration::from_micros(micros.saturating_add(self.settings.step_us));
        self.running.insert((stream.next_token_at, key));
        self.cache_blocks(now, key);
    }

    /// Generates one token of a stream.
    fn generate_token(&mut self, due: Instant, key: StreamKey) {
        self.changed.insert(key);
        let stream = &mut self.streams[key];
        stream.usage.made += 1;
        if stream.usage.made < stream.output_tokens {
            stream.next_token_at = due + Duration::from_micros(self.settings.step_us);
            self.running.insert((stream.next_token_at, key));
            return;
        }
        self.end_stream(due, key, Phase::Done);
    }

    /// Ends a stream that was removed from its queue and reassigns its slot.
    fn end_stream(&mut self, now: Instant, key: StreamKey, phase: Phase) {
        self.changed.insert(key);
        let stream = &mut self.streams[key];
        let ran = stream.phase == Phase::Running;
        stream.phase = phase;
        self.pending_tokens -= stream.total_tokens();
        stream.text.push_str(&stream.answer.text(stream.usage.made));
        if phase == Phase::Done {
            stream.text.push('\n');
        }
        if ran {
            stream.blocks = prompt::block_hashes(
                &stream.model,
                &stream.text,
                self.settings.block_tokens.max(1),
            );
            self.cache_blocks(now, key);
        }
        let stream = &mut self.streams[key];
        stream.text = String::new();
        stream.blocks = Vec::new();
        let until = now + Duration::from_millis(self.settings.keep_ms);
        self.retained.push_back((until, key));
        self.fill_slots(now);
    }

    /// Caches the blocks of a stream and records the cache events of its keys.
    fn cache_blocks(&mut self, now: Instant, key: StreamKey) {
        let stream = &self.streams[key];
        let chain = &stream.blocks;
        let evicted = self.cache.insert(chain);
        // A chat counts as evicted with its middle block, when the latter half is gone, and a
        // prefix with its first block, when all of it is gone.
        let middle = chain.get(chain.len() / 2);
        let key_blocks = [
            (&stream.chat_key, middle),
            (&stream.prefix_key, chain.first()),
        ];
        for (name, block) in key_blocks {
            if let (Some(name), Some(block)) = (name, block)
                && self.cache.contains(*block)
            {
                self.journal.record_stored(now, name, *block);
            }
        }
        self.journal.record_evicted(now, &evicted);
    }

    /// Discards ended streams whose retention time has elapsed.
    pub fn drop_expired(&mut self, now: Instant) {
        while let Some((until, key)) = self.retained.front().copied()
            && until <= now
        {
            self.retained.pop_front();
            let Some(stream) = self.streams.remove(key) else {
                continue;
            };
            if self.find(&stream.id) == Some(key) {
                self.keys_by_id.remove(&stream.id);
            }
        }
    }

    fn update_load(&mut self, now: Instant) {
        let load = Load {
            incarnation: self.settings.incarnation,
            running: self.running.len(),
            waiting: self.waiting.len(),
            tokens: self.pending_tokens,
        };
        self.reported_load.set(now, load);
    }
}
