// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The requests of a run, drawn from a seed before any routing.

use peppercrank_core::hash::hash64;
use peppercrank_core::units::Cost;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::cache::Cache;

/// Organisations in a trace; the first may surge.
pub const ORGANISATIONS: usize = 10;

/// Shares of the organisations, a few large, in hundredths.
pub const SHARES: [u32; ORGANISATIONS] = [10, 25, 20, 15, 5, 5, 5, 5, 5, 5];

/// Prompt tokens of a document.
pub const DOCUMENT_TOKENS: u64 = 8_000;

/// Generated tokens that a router expects, and their mean.
pub const MEAN_OUTPUT_TOKENS: u64 = 250;

/// Milliseconds between generated tokens.
const MS_PER_OUTPUT_TOKEN: f64 = 60.0;

/// Prompt tokens that are read in a millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 8.0;

/// Work that an engine can carry at once: about 45 requests whose context is cached.
pub const ENGINE_CEILING: u64 = 48_000;

/// Rounds in which the rate of a load is found.
const RATE_ITERATIONS: usize = 3;

/// Seconds before the start from which chats may stem.
const LEAD_IN_SECONDS: f64 = 1_200.0;

/// `Shape` is what a trace is drawn from.
#[derive(Debug, Clone, Copy)]
pub struct Workload {
    /// Engines when it starts.
    pub engines: usize,
    /// Routers.
    pub routers: usize,
    /// Seconds of arrivals.
    pub arrival_seconds: u64,
    /// Seconds after which measuring begins.
    pub warm_up_seconds: u64,
    /// Load offered, as a share of all ceilings, if contexts were always found.
    pub target_load: f64,
    /// When the first organisation offers ten times its share, in seconds.
    pub surge: Option<(u64, u64)>,
    /// Documents; the first one has a fifth of the chats on documents.
    pub documents: usize,
    /// Share of new chats that are on a document.
    pub document_chat_share: f64,
    /// Mean pause of a returning chat, in seconds.
    pub mean_pause_seconds: f64,
    /// Share of pauses that take an hour in the mean.
    pub long_pause_share: f64,
    /// Tokens that an engine can hold.
    pub cache_tokens: u64,
}

impl Workload {
    /// `measured` is the first minute that is measured, and the one after the last.
    #[must_use]
    pub fn measured_minutes(&self) -> (usize, usize) {
        (
            self.warm_up_seconds as usize / 60,
            self.arrival_seconds as usize / 60,
        )
    }

    /// `middle` is the minute in which the churn begins.
    #[must_use]
    pub fn churn_minute(&self) -> usize {
        self.arrival_seconds as usize / 120
    }
}

/// `Turn` is one request.
#[derive(Debug, Clone, Copy)]
pub struct Turn {
    /// When it comes, in milliseconds.
    pub arrival_ms: u64,
    /// Whose it is.
    pub organisation: usize,
    /// The chat's key.
    pub chat: u64,
    /// The document's key.
    pub document: Option<u64>,
    /// Tokens of the chat's earlier turns.
    pub prior_tokens: u32,
    /// New prompt tokens.
    pub new_tokens: u32,
    /// Tokens that will be generated.
    pub output_tokens: u32,
}

impl Turn {
    /// `prompt` is the whole prompt, in tokens.
    #[must_use]
    pub fn prompt_tokens(&self) -> u64 {
        self.document.map_or(0, |_| DOCUMENT_TOKENS)
            + u64::from(self.prior_tokens + self.new_tokens)
    }

    /// `cost` is what it costs an engine that holds `cached` tokens of its prompt.
    #[must_use]
    pub fn cost(&self, cached: u64) -> Cost {
        Cost::for_chat(
            self.prompt_tokens() - cached.min(self.prompt_tokens()),
            MEAN_OUTPUT_TOKENS,
        )
    }

    /// `read_time` is how long an engine that holds `cached` tokens reads the prompt, in
    /// milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, cached: u64) -> u64 {
        ((self.prompt_tokens() - cached.min(self.prompt_tokens())) as f64 / PREFILL_TOKENS_PER_MS)
            as u64
    }

    /// `write_time` is how long the answer takes then, in milliseconds.
    #[must_use]
    pub fn decode_ms(&self) -> u64 {
        (f64::from(self.output_tokens) * MS_PER_OUTPUT_TOKEN) as u64
    }

    /// The work that it is to an engine: its cost over the time for which that is reserved.
    fn work(&self, cached: u64) -> f64 {
        let read = self.cost(cached).0 as f64 * self.prefill_ms(cached) as f64;
        read + Cost::for_chat(0, MEAN_OUTPUT_TOKENS).0 as f64 * self.decode_ms() as f64
    }
}

/// `Trace` is the requests in the order of their coming.
#[derive(Debug, Clone)]
pub struct Trace {
    /// The requests.
    pub turns: Vec<Turn>,
    /// What one memory of the size of all engines' would have reused of each.
    pub reuse_bound: Vec<u64>,
    /// Load offered if that much were reused, as a share of all ceilings.
    pub offered_load: f64,
}

impl Trace {
    /// `new` draws the trace of a shape; the surge is not part of its load.
    #[must_use]
    pub fn new(workload: &Workload) -> Self {
        let without_surge = Workload {
            surge: None,
            ..*workload
        };
        // The load of a rate is only known once its requests are drawn.
        let mut rate = workload.engines as f64;
        for _ in 0..RATE_ITERATIONS {
            rate *= workload.target_load / Self::generate(&without_surge, rate).offered_load;
        }
        Self::generate(workload, rate)
    }

    fn generate(workload: &Workload, rate: f64) -> Self {
        let mut turns = Vec::new();
        let documents = DocumentPopularity::new(workload.documents);
        for organisation in 0..ORGANISATIONS {
            draw_organisation(workload, rate, organisation, &documents, &mut turns);
        }
        turns.sort_by_key(|turn| (turn.arrival_ms, turn.chat));
        let mut all = Cache::new(workload.cache_tokens * workload.engines as u64);
        let mut work = 0.0;
        let mut reuse_bound = Vec::with_capacity(turns.len());
        for turn in &turns {
            let cached = all.reuse(turn);
            all.store(turn);
            reuse_bound.push(cached);
            if turn.arrival_ms >= workload.warm_up_seconds * 1_000 {
                work += turn.work(cached);
            }
        }
        let seconds = workload.arrival_seconds - workload.warm_up_seconds;
        let room = (seconds * 1_000 * ENGINE_CEILING) as f64 * workload.engines as f64;
        let offered_load = work / room;
        Self {
            turns,
            reuse_bound,
            offered_load,
        }
    }
}

/// Draws one organisation's chats from a seed of its own, so that no other's differ by them.
fn draw_organisation(
    workload: &Workload,
    rate: f64,
    of: usize,
    documents: &DocumentPopularity,
    turns: &mut Vec<Turn>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(20_261_202 + of as u64);
    // A chat has 3.3 turns in the mean.
    let chats = rate * f64::from(SHARES[of]) / 100.0 * 0.3;
    let mut at = -LEAD_IN_SECONDS;
    while at < workload.arrival_seconds as f64 {
        let surge = workload
            .surge
            .filter(|(from, to)| of == 0 && (*from as f64..*to as f64).contains(&at));
        at += exponential(&mut rng, surge.map_or(1.0, |_| 0.1) / chats);
        draw_chat(workload, at, of, documents, &mut rng, turns);
    }
}

fn draw_chat(
    workload: &Workload,
    at: f64,
    organisation: usize,
    documents: &DocumentPopularity,
    rng: &mut ChaCha8Rng,
    turns: &mut Vec<Turn>,
) {
    let chat = rng.random();
    let document = rng
        .random_bool(workload.document_chat_share)
        .then(|| documents.sample(rng));
    let (mut at, mut prior_tokens) = (at, 0);
    loop {
        let new_tokens = rng.random_range(50..350);
        let output_tokens = exponential(rng, MEAN_OUTPUT_TOKENS as f64).clamp(1.0, 2_000.0) as u32;
        let turn = Turn {
            arrival_ms: (at.max(0.0) * 1_000.0) as u64,
            organisation,
            chat,
            document,
            prior_tokens,
            new_tokens,
            output_tokens,
        };
        if at >= workload.arrival_seconds as f64 {
            return;
        }
        if at >= 0.0 {
            turns.push(turn);
        }
        prior_tokens += new_tokens + output_tokens;
        if !rng.random_bool(0.7) {
            return;
        }
        let long = rng.random_bool(workload.long_pause_share);
        let pause = if long {
            3_600.0
        } else {
            workload.mean_pause_seconds
        };
        // Reading the answer and writing on takes a while at least.
        at += f64::from(output_tokens) * MS_PER_OUTPUT_TOKEN / 1_000.0
            + 10.0
            + exponential(rng, pause);
    }
}

/// Draws from an exponential distribution.
fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    let even: f64 = rng.random_range(f64::EPSILON..1.0);
    -even.ln() * mean
}

/// `Documents` is how often each document is asked for: Zipf after the first.
struct DocumentPopularity {
    cumulative_shares: Vec<f64>,
}

impl DocumentPopularity {
    fn new(count: usize) -> Self {
        let rest: f64 = (2..=count).map(|n| 1.0 / n as f64).sum();
        let mut sum = 0.0;
        let share = |n: usize| if n == 1 { 0.2 } else { 0.8 / n as f64 / rest };
        let sums = (1..=count).map(|n| {
            sum += share(n);
            sum
        });
        Self {
            cumulative_shares: sums.collect(),
        }
    }

    fn sample(&self, rng: &mut ChaCha8Rng) -> u64 {
        let at: f64 = rng.random();
        let place = self.cumulative_shares.partition_point(|sum| *sum < at);
        hash64(1, &(place as u64).to_be_bytes())
    }
}
