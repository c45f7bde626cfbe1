// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The requests of a simulation, generated from a seed independently of routing.

use peppercrank_core::hash::hash64;
use peppercrank_core::units::Cost;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::cache::Cache;

/// Number of organisations in a trace; the first one may surge.
pub const ORGANISATIONS: usize = 10;

/// Traffic share of each organisation in percent; a few are large.
pub const SHARES: [u32; ORGANISATIONS] = [10, 25, 20, 15, 5, 5, 5, 5, 5, 5];

/// Prompt tokens of a document.
pub const DOCUMENT_TOKENS: u64 = 8_000;

/// Output tokens that a router expects, and their mean.
pub const MEAN_OUTPUT_TOKENS: u64 = 250;

/// Milliseconds between generated tokens.
const MS_PER_OUTPUT_TOKEN: f64 = 60.0;

/// Prefill speed in prompt tokens per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 8.0;

/// Cost that an engine can carry at once: about 45 requests whose context is cached.
pub const ENGINE_CEILING: u64 = 48_000;

/// Iterations to find the arrival rate that yields the target load.
const RATE_ITERATIONS: usize = 3;

/// Chats may have started this many seconds before the run.
const LEAD_IN_SECONDS: f64 = 1_200.0;

/// `Workload` holds the parameters of a trace.
#[derive(Debug, Clone, Copy)]
pub struct Workload {
    /// Number of engines at the start.
    pub engines: usize,
    /// Number of routers.
    pub routers: usize,
    /// Duration in seconds in which requests arrive.
    pub arrival_seconds: u64,
    /// Warm-up in seconds before measuring begins.
    pub warm_up_seconds: u64,
    /// Offered load as a share of the engines' total ceiling, if all reusable contexts were found.
    pub target_load: f64,
    /// Start and end in seconds of the time in which the first organisation sends ten times its
    /// share.
    pub surge: Option<(u64, u64)>,
    /// Number of documents; the first one is used by a fifth of the chats on documents.
    pub documents: usize,
    /// Share of new chats that use a document.
    pub document_chat_share: f64,
    /// Mean pause in seconds between the turns of a chat.
    pub mean_pause_seconds: f64,
    /// Share of pauses with a mean of an hour instead.
    pub long_pause_share: f64,
    /// Size of an engine's cache in tokens.
    pub cache_tokens: u64,
}

impl Workload {
    /// Returns the first measured minute and the one after the last.
    #[must_use]
    pub fn measured_minutes(&self) -> (usize, usize) {
        (
            self.warm_up_seconds as usize / 60,
            self.arrival_seconds as usize / 60,
        )
    }

    /// Returns the minute in which the churn begins.
    #[must_use]
    pub fn churn_minute(&self) -> usize {
        self.arrival_seconds as usize / 120
    }
}

/// `Turn` is one request of a chat.
#[derive(Debug, Clone, Copy)]
pub struct Turn {
    /// Arrival time in milliseconds.
    pub arrival_ms: u64,
    /// Index of the organisation.
    pub organisation: usize,
    /// Key of the chat.
    pub chat: u64,
    /// Key of the document, if the chat uses one.
    pub document: Option<u64>,
    /// Prompt tokens from earlier turns of the chat.
    pub prior_tokens: u32,
    /// Prompt tokens that are new in this turn.
    pub new_tokens: u32,
    /// Output tokens that will be generated.
    pub output_tokens: u32,
}

impl Turn {
    /// Returns the length of the whole prompt in tokens.
    #[must_use]
    pub fn prompt_tokens(&self) -> u64 {
        self.document.map_or(0, |_| DOCUMENT_TOKENS)
            + u64::from(self.prior_tokens + self.new_tokens)
    }

    /// Returns the cost for an engine that has `cached` tokens of the prompt.
    #[must_use]
    pub fn cost(&self, cached: u64) -> Cost {
        Cost::for_chat(
            self.prompt_tokens() - cached.min(self.prompt_tokens()),
            MEAN_OUTPUT_TOKENS,
        )
    }

    /// Returns the prefill time in milliseconds on an engine that has `cached` tokens of the
    /// prompt.
    #[must_use]
    pub fn prefill_ms(&self, cached: u64) -> u64 {
        ((self.prompt_tokens() - cached.min(self.prompt_tokens())) as f64 / PREFILL_TOKENS_PER_MS)
            as u64
    }

    /// Returns the time to generate the answer after prefill, in milliseconds.
    #[must_use]
    pub fn decode_ms(&self) -> u64 {
        (f64::from(self.output_tokens) * MS_PER_OUTPUT_TOKEN) as u64
    }

    /// Returns the load on an engine: cost multiplied by the milliseconds for which it is
    /// reserved.
    fn work(&self, cached: u64) -> f64 {
        let read = self.cost(cached).0 as f64 * self.prefill_ms(cached) as f64;
        read + Cost::for_chat(0, MEAN_OUTPUT_TOKENS).0 as f64 * self.decode_ms() as f64
    }
}

/// `Trace` is a sequence of requests in order of arrival.
#[derive(Debug, Clone)]
pub struct Trace {
    /// The requests.
    pub turns: Vec<Turn>,
    /// Tokens of each request that a single cache of the engines' total size would have reused.
    pub reuse_bound: Vec<u64>,
    /// Offered load with that reuse, as a share of the engines' total ceiling.
    pub offered_load: f64,
}

impl Trace {
    /// Generates the trace of a workload; the surge does not count towards the target load.
    #[must_use]
    pub fn new(workload: &Workload) -> Self {
        let without_surge = Workload {
            surge: None,
            ..*workload
        };
        // The load that results from a rate is only known after generating its requests.
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

/// Generates the chats of one organisation from a seed of its own, so that the other
/// organisations' chats do not depend on them.
fn draw_organisation(
    workload: &Workload,
    rate: f64,
    of: usize,
    documents: &DocumentPopularity,
    turns: &mut Vec<Turn>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(20_261_202 + of as u64);
    // A chat has 3.3 turns on average.
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
        // Reading the answer and writing the next message takes at least 10 s.
        at += f64::from(output_tokens) * MS_PER_OUTPUT_TOKEN / 1_000.0
            + 10.0
            + exponential(rng, pause);
    }
}

/// Samples an exponential distribution.
fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    let even: f64 = rng.random_range(f64::EPSILON..1.0);
    -even.ln() * mean
}

/// Popularity of documents: a fifth for the first, the rest by Zipf's law.
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
