// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The engine itself, without input or output: continuous batching over a prefix cache.

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
use crate::engine::answer::MIN_TOKENS;
use crate::engine::answer::Usage;
use crate::engine::cache::Cache;
use crate::engine::journal::CachePage;
use crate::engine::journal::Journal;
use crate::engine::orders::Fenced;
use crate::engine::orders::Orders;
use crate::engine::prompt;
use crate::engine::settings::EngineSettings;
use crate::engine::stream::Chat;
use crate::engine::stream::Phase;
use crate::engine::stream::Stream;
use crate::engine::stream::StreamKey;
use crate::lag::Lagged;
use crate::runs::Runs;

/// `Load` is the engine's load report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Load {
    /// Which life of the engine reports.
    pub incarnation: u64,
    /// Chats that have a slot.
    pub running: usize,
    /// Chats that wait for one.
    pub waiting: usize,
    /// Prompt and answer tokens of all these, done or not.
    pub tokens: u64,
}

/// `Engine` is the model engine's state; callers pass the time in and carry its answers out.
#[derive(Debug)]
pub struct Engine {
    set: EngineSettings,
    cache: Cache,
    journal: Journal,
    orders: Orders,
    runs: Runs,
    load: Lagged<Load>,
    streams: SlotMap<StreamKey, Stream>,
    ids: HashMap<String, StreamKey>,
    waiting: BTreeSet<((u8, u64), StreamKey)>,
    running: BTreeSet<(Instant, StreamKey)>,
    ended: VecDeque<(Instant, StreamKey)>,
    news: BTreeSet<StreamKey>,
    tokens: u64,
    arrivals: u64,
}

impl Engine {
    /// `new` makes an idle engine with an empty cache.
    #[must_use]
    pub fn new(set: EngineSettings) -> Self {
        let orders = Orders {
            models: set.models.iter().cloned().collect(),
            ..Orders::default()
        };
        let idle = Load {
            incarnation: set.incarnation,
            ..Load::default()
        };
        Self {
            cache: Cache::new(set.cache_tokens / set.block_tokens.max(1)),
            journal: Journal::default(),
            orders,
            runs: Runs::default(),
            load: Lagged::new(idle),
            streams: SlotMap::with_key(),
            ids: HashMap::new(),
            waiting: BTreeSet::new(),
            running: BTreeSet::new(),
            ended: VecDeque::new(),
            news: BTreeSet::new(),
            tokens: 0,
            arrivals: 0,
            set,
        }
    }

    /// `submit` takes a chat in; it runs at once if a slot is free.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Model`] when its model is not loaded and [`Error::Duplicate`] when a
    /// stream of its id has not ended; neither ran.
    pub fn submit(&mut self, now: Instant, chat: Chat) -> Result<StreamKey> {
        if !self.orders.serves(&chat.body.model) {
            return Err(Error::Model(chat.body.model));
        }
        self.forget(now);
        let id = chat.tags.attempt.clone();
        if let Some(old) = self.find(&id) {
            if matches!(self.streams[old].phase, Phase::Waiting | Phase::Running) {
                return Err(Error::Duplicate);
            }
            self.streams.remove(old);
        }
        let stream = self.stream(now, chat);
        let rank = stream.rank;
        self.tokens += stream.tokens();
        let key = self.streams.insert(stream);
        self.ids.insert(id, key);
        self.waiting.insert((rank, key));
        self.fill(now);
        self.advance(now);
        Ok(key)
    }

    /// `next_due` is when [`Engine::advance`] has something to do.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        self.running.first().map(|(due, _)| *due)
    }

    /// `advance` generates what is due by `now`.
    pub fn advance(&mut self, now: Instant) {
        while let Some((due, key)) = self.running.first().copied()
            && due <= now
        {
            self.running.pop_first();
            self.step(due, key);
            // As of when it was due, however late the caller comes.
            self.report(due);
        }
        self.report(now);
    }

    /// `take_news` is the streams that got something or ended since it was last asked.
    pub fn take_news(&mut self) -> BTreeSet<StreamKey> {
        std::mem::take(&mut self.news)
    }

    /// `len` is how many streams are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// `is_empty` tells whether no stream is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// `find` finds the stream that answers an attempt.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<StreamKey> {
        self.ids.get(id).copied()
    }

    /// `stream_of` is a stream, unless it is forgotten.
    #[must_use]
    pub fn stream_of(&self, key: StreamKey) -> Option<&Stream> {
        self.streams.get(key)
    }

    /// `cancel` ends a stream where it is.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] when it ended before or is not known.
    pub fn cancel(&mut self, now: Instant, id: &str) -> Result<StreamKey> {
        let key = self.find(id).ok_or(Error::Unknown)?;
        let stream = self.streams.get_mut(key).ok_or(Error::Unknown)?;
        match stream.phase {
            Phase::Waiting => self.waiting.remove(&(stream.rank, key)),
            Phase::Running => self.running.remove(&(stream.due, key)),
            Phase::Done | Phase::Cancelled => return Err(Error::Unknown),
        };
        self.end(now, key, Phase::Cancelled);
        self.advance(now);
        Ok(key)
    }

    /// `load` is the load report that callers see at `now`.
    pub fn load(&mut self, now: Instant) -> Load {
        let lag = Duration::from_millis(self.set.load_lag_ms);
        *self.load.seen(now, lag)
    }

    /// `cache_page` is the cache events that callers see at `now`, numbered `since` and up.
    #[must_use]
    pub fn cache_page(&self, now: Instant, since: u64) -> CachePage {
        let late = Duration::from_millis(self.set.events_late_ms);
        CachePage {
            incarnation: self.set.incarnation,
            ..self.journal.page(now, since, late, self.set.events_gap)
        }
    }

    /// `order` obeys or refuses an order and returns the highest fencing number seen.
    ///
    /// # Errors
    ///
    /// Returns [`Error::OldFence`] for an older number, if this engine checks it.
    pub fn order(&mut self, order: Fenced) -> Result<u64> {
        self.orders.obey(order, self.set.check_fence)
    }

    /// `orders` is what the orders so far have made of the engine.
    #[must_use]
    pub const fn orders(&self) -> &Orders {
        &self.orders
    }

    /// `runs` is how often each request ran.
    #[must_use]
    pub const fn runs(&self) -> &Runs {
        &self.runs
    }

    /// The stream of a chat, not yet running.
    fn stream(&mut self, now: Instant, chat: Chat) -> Stream {
        self.arrivals += 1;
        let attempt = &chat.tags.attempt;
        let request = chat.tags.request.as_deref().unwrap_or(attempt);
        let output = chat.body.output().unwrap_or(self.set.answer_tokens);
        let text = chat.body.prompt();
        let usage = Usage {
            prompt: prompt::tokens(text.len()),
            ..Usage::default()
        };
        Stream {
            id: attempt.clone(),
            phase: Phase::Waiting,
            answer: Answer::new(&chat.body.digest(), request, attempt),
            usage,
            chain: prompt::chain(&chat.body.model, &text, self.set.block_tokens.max(1)),
            model: chat.body.model,
            text,
            tags: chat.tags,
            chat: chat.chat,
            prefix: chat.prefix,
            output: output.clamp(MIN_TOKENS, self.set.longest.max(MIN_TOKENS)),
            rank: (u8::MAX - chat.priority, self.arrivals),
            due: now,
        }
    }

    /// Gives free slots to those who wait, the highest priority first.
    fn fill(&mut self, now: Instant) {
        while self.running.len() < self.set.slots.max(1) {
            let Some((_, key)) = self.waiting.pop_first() else {
                return;
            };
            self.run(now, key);
        }
    }

    /// Puts one stream in a slot: reads its prompt, of which the cached part costs no time.
    fn run(&mut self, now: Instant, key: StreamKey) {
        let stream = &mut self.streams[key];
        self.runs.add(&stream.tags);
        let hits = self.cache.hits(&stream.chain);
        stream.usage.cached = (hits * self.set.block_tokens) as u64;
        let fresh = stream.usage.prompt - stream.usage.cached;
        let micros = fresh.saturating_mul(self.set.prefill_us);
        stream.phase = Phase::Running;
        stream.due = now + Duration::from_micros(micros.saturating_add(self.set.step_us));
        self.running.insert((stream.due, key));
        self.keep_blocks(now, key);
    }

    /// Generates one token of a stream.
    fn step(&mut self, due: Instant, key: StreamKey) {
        self.news.insert(key);
        let stream = &mut self.streams[key];
        stream.usage.made += 1;
        if stream.usage.made < stream.output {
            stream.due = due + Duration::from_micros(self.set.step_us);
            self.running.insert((stream.due, key));
            return;
        }
        self.end(due, key, Phase::Done);
    }

    /// Ends a stream that is in no queue any more and gives its slot away.
    fn end(&mut self, now: Instant, key: StreamKey, phase: Phase) {
        self.news.insert(key);
        let stream = &mut self.streams[key];
        let ran = stream.phase == Phase::Running;
        stream.phase = phase;
        self.tokens -= stream.tokens();
        stream.text.push_str(&stream.answer.text(stream.usage.made));
        if phase == Phase::Done {
            stream.text.push('\n');
        }
        if ran {
            stream.chain = prompt::chain(&stream.model, &stream.text, self.set.block_tokens.max(1));
            self.keep_blocks(now, key);
        }
        let stream = &mut self.streams[key];
        stream.text = String::new();
        stream.chain = Vec::new();
        let until = now + Duration::from_millis(self.set.keep_ms);
        self.ended.push_back((until, key));
        self.fill(now);
    }

    /// Caches a stream's blocks and lets them stand for its keys.
    fn keep_blocks(&mut self, now: Instant, key: StreamKey) {
        let stream = &self.streams[key];
        let chain = &stream.chain;
        let gone = self.cache.store(chain);
        // The middle block goes when the latter half of the chat has gone, the first when all has.
        let middle = chain.get(chain.len() / 2);
        let anchors = [(&stream.chat, middle), (&stream.prefix, chain.first())];
        for (name, block) in anchors {
            if let (Some(name), Some(block)) = (name, block)
                && self.cache.holds(*block)
            {
                self.journal.anchor(now, name, *block);
            }
        }
        self.journal.evicted(now, &gone);
    }

    /// `forget` forgets streams that have been kept for their time.
    pub fn forget(&mut self, now: Instant) {
        while let Some((until, key)) = self.ended.front().copied()
            && until <= now
        {
            self.ended.pop_front();
            let Some(stream) = self.streams.remove(key) else {
                continue;
            };
            if self.find(&stream.id) == Some(key) {
                self.ids.remove(&stream.id);
            }
        }
    }

    fn report(&mut self, now: Instant) {
        let load = Load {
            incarnation: self.set.incarnation,
            running: self.running.len(),
            waiting: self.waiting.len(),
            tokens: self.tokens,
        };
        self.load.set(now, load);
    }
}
